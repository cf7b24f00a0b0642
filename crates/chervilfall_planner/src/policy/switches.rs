//! Switches for individual policies, so that the effect of each can be evaluated.

use serde::Deserialize;

/// Switches for policies; all are on by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policies {
    /// Latency-tolerant work leaves headroom for latency-sensitive work.
    pub headroom: bool,
    /// A gang reserves the resources that its call for tickets is about.
    pub reservations: bool,
    /// Latency-sensitive work goes to fast endpoints and latency-tolerant work to slow ones.
    pub speed: bool,
}

impl Default for Policies {
    fn default() -> Self {
        Self {
            headroom: true,
            reservations: true,
            speed: true,
        }
    }
}
