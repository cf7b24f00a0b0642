//! Tells what happened to a job, and how objectives burn, from the structured log lines of nodes.
//!
//! [`read_lines`] reads the lines, [`JobTimeline::build`] picks those that touch a job and puts them in order of
//! time. Machines' clocks differ: the order of one node's lines is certain, the order between nodes is
//! not, and the story says where the lines themselves show a difference. [`Burn::from_lines`] counts what ended in
//! time, [`page`] draws it.

mod burn;
mod clocks;
mod line;
mod page;
mod timeline;

pub use burn::{Burn, BurnError, Point, Series};
pub use clocks::ClockDifference;
pub use line::{read_lines, LogLine, ParsedLines};
pub use page::{page, PageError};
pub use timeline::{JobTimeline, LeftOut, TimelineEntry};
