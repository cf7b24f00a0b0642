//! Reconstructs the timeline of a job and the burn of objectives from the structured logs of nodes.
//!
//! [`read_lines`] parses log lines. [`JobTimeline::build`] selects the lines that concern a job and
//! sorts them by time. Clocks of nodes differ: the order of lines from one node is reliable, the
//! order across nodes is not; the timeline lists the clock differences that the lines prove.
//! [`Burn::from_lines`] computes error budget burn, and [`page`] renders it as HTML.

mod burn;
mod clocks;
mod line;
mod page;
mod timeline;
mod waits;

pub use burn::{Burn, BurnError, Point, Series};
pub use clocks::ClockDifference;
pub use line::{read_lines, LogLine, ParsedLines};
pub use page::{page, PageError};
pub use timeline::{JobTimeline, LeftOut, TimelineEntry};
pub use waits::WaitTotal;
