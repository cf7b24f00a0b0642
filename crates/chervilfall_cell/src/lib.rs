//! Starts a cell of separate processes on loopback, measures them, and audits what its endpoints
//! recorded.

mod audit;
mod availability;
mod cell;
mod fault;
mod files;
mod layout;
mod process;
mod prove;
mod usage;

pub use audit::{audit, Audit, Violation};
pub use availability::Availability;
pub use cell::{Cell, CellOptions};
pub use fault::{Fault, FaultReport, DEFAULT_STAND_MS, PROOF_SETTINGS};
pub use layout::{Layout, LayoutEndpoint, LayoutEntry};
pub use prove::{prove, PromiseCounts, Proof, ProveOptions};
pub use usage::{EntryUsage, PackingSample, UsageMeter};
