//! Tells what happened to a job, from the structured log lines of several nodes.
//!
//! [`read_lines`] reads the lines, [`Story::tell`] picks those that touch a job and puts them in order of
//! time. Machines' clocks differ: the order of one node's lines is certain, the order between nodes is
//! not, and the story says where the lines themselves show a difference.

mod clocks;
mod line;
mod story;

pub use clocks::ClockDifference;
pub use line::{read_lines, Lines, LogLine};
pub use story::{Entry, LeftOut, Story};
