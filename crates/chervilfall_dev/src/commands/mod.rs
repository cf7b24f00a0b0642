//! The commands, a file each.

pub(crate) mod cell;
pub(crate) mod fuzz;
pub(crate) mod generate;
pub(crate) mod prove;
pub(crate) mod standin;
