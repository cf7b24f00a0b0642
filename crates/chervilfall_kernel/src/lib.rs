//! Micro-kernel: a typed directory of services by name, start-up and shutdown in order, and the
//! control thread.

mod control_thread;
mod directory;
mod kernel;

pub use control_thread::{ControlLoop, ControlThread, ControlThreadError, Work};
pub use directory::{Directory, MissingService};
pub use kernel::{Kernel, Service};
