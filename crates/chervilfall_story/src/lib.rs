//! Tells what happened to a job, and how objectives burn, from the structured log lines of nodes.
//!
//! [`read_lines`] reads the lines, [`Story::tell`] picks those that touch a job and puts them in order of
//! time. Machines' clocks differ: the order of one node's lines is certain, the order between nodes is
//! not, and the story says where the lines themselves show a difference. [`Burn::count`] counts what ended in
//! time, [`page`] draws it.

mod burn;
mod clocks;
mod line;
mod page;
mod story;

pub use burn::{Burn, BurnError, Point, Series};
pub use clocks::ClockDifference;
pub use line::{read_lines, Lines, LogLine};
pub use page::{page, PageError};
pub use story::{Entry, LeftOut, Story};
