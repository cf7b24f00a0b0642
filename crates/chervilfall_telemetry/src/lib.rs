//! Logs and metrics of a process.

mod lines;
mod logs;
mod prometheus;

pub use lines::open_stdout_log;
pub use logs::open_logs;
pub use prometheus::{MetricsError, MetricsHandle};
