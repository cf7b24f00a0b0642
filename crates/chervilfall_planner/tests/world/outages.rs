//! What happens as the store comes back after an outage, in virtual time and with real nodes.

/// A way in which an outage of the store ends.
#[derive(Debug, Clone, Copy)]
pub struct OutageEnd {
    pub name: &'static str,
    /// The holder is lost as the store comes back.
    pub holder_lost: bool,
}

/// The ways in which an outage of the store ends.
pub const OUTAGE_ENDS: [OutageEnd; 2] = [
    OutageEnd {
        name: "the holder stays",
        holder_lost: false,
    },
    OutageEnd {
        name: "the next holder finds the ends",
        holder_lost: true,
    },
];
