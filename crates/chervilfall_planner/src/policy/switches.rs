//! Which policies are in force, so that each can be switched off to see what it is worth.

use serde::Deserialize;

/// Switches of policies; all are on by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policies {
    /// Patient work leaves room for hurried work.
    pub headroom: bool,
    /// Work whose objective is short goes to fast endpoints, work that can wait to slow ones.
    pub speed: bool,
}

impl Default for Policies {
    fn default() -> Self {
        Self {
            headroom: true,
            speed: true,
        }
    }
}
