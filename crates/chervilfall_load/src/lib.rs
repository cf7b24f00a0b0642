//! Open-loop load: requests arrive by a schedule that does not wait for answers.

mod mix;
mod outcome;
mod run;

pub use mix::{plan, PlannedKind, PlannedRequest, Users};
pub use outcome::{Outcome, Summary, WaitTimes};
pub use run::{finish_jobs, run, LoadSettings};
