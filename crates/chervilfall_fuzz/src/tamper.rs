//! Deliberate breaks at the interfaces of the core, which the oracle must catch.

/// One break.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tamper {
    /// Agents take orders of any epoch, and while no lease is in force.
    SkipEpochCheck,
    /// Agents start attempts after their start bound.
    IgnoreStartBy,
    /// Agents say that they can carry four times as much, and check nothing.
    Overfill,
    /// Callers are told that work did not run when it may have run.
    RoundDown,
    /// A commit whose answer was lost is reported as not written.
    ForgetLostCommit,
    /// Fences on endpoints are forgotten, and inquiries are answered unasked.
    SkipFence,
    /// A configuration of any version is put into force.
    VersionGoesBack,
    /// Callers get their answer twice.
    AnswerTwice,
    /// What any instance knows of a key counts as what became of it.
    TrustRefusals,
}

impl Tamper {
    /// Returns the break with a name on the command line.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Some(match name {
            "epoch" => Self::SkipEpochCheck,
            "start-by" => Self::IgnoreStartBy,
            "overfill" => Self::Overfill,
            "verdict" => Self::RoundDown,
            "commit" => Self::ForgetLostCommit,
            "fence" => Self::SkipFence,
            "version" => Self::VersionGoesBack,
            "answer" => Self::AnswerTwice,
            "look-up" => Self::TrustRefusals,
            _ => return None,
        })
    }
}
