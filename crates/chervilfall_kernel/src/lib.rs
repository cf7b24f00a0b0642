//! Micro-kernel: a typed directory of services by name, start-up and shutdown in order, the control
//! thread, and the time that a process counts.

mod clock;
mod control_thread;
mod directory;
mod kernel;

pub use clock::{Clocks, Deadline, DeadlinePassed, MachineClocks, ProcessClock};
pub use control_thread::{ControlLoop, ControlThread, ControlThreadError, Work};
pub use directory::{Directory, MissingService};
pub use kernel::{Kernel, Service};
