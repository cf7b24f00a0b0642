//! Stateful fuzzing of the decision core: several engines over fakes of everything around them,
//! in virtual time, driven by generated histories and checked by an oracle.
//!
//! This is no simulator of a cluster: endpoints are the same small agent fakes that the stand-ins
//! use, and links and the table are queues with delays and faults.

mod core_settings;
mod history;
mod links;
mod oracle;
mod outside;
mod shrink;
mod steps;
mod tamper;
mod world;
mod world_calls;
mod world_finish;
mod world_links;

pub use history::{generate, generate_with_look_ups, History, Step, StepKind, WorkKind};
pub use oracle::Violation;
pub use shrink::shrink;
pub use tamper::Tamper;
pub use world::{run_history, run_traced, RunReport};
