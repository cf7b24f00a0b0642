//! What the daemon can be asked to do.

pub(crate) mod check;
pub(crate) mod serve;
