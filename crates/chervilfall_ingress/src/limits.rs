//! Limits of a request.

/// Limits of a request, as the configuration in force sets them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a head, in bytes.
    pub max_head_bytes: usize,
    /// Time for a head from its first byte on, in milliseconds.
    pub head_ms: u64,
    /// Time that a connection may stay idle between two requests, in milliseconds. Also the longest
    /// pause within a body.
    pub idle_ms: u64,
}
