//! Logs and metrics.

mod lines;
mod logs;
mod meter;

pub use lines::open_lines;
pub use logs::open_logs;
pub use meter::{Meter, MeterError};
