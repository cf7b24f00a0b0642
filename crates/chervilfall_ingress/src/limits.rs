//! Limits of a request, and of all connections together.

/// Bytes of a connection besides its head and its body: its task, and what the system receives for
/// it ahead of reading.
const CONNECTION_BYTES: u64 = 24_576;
/// Parts of the machine's memory: one for connections, one for bodies. The others are for the
/// process's own work.
const MEMORY_PARTS: u64 = 4;
/// Connections of callers may take this many of [`DESCRIPTOR_PARTS`] of the descriptors.
const CALLER_DESCRIPTOR_PARTS: usize = 3;
/// Parts of the descriptors: four are for connections to endpoints, one is for the store, links and
/// files.
const DESCRIPTOR_PARTS: usize = 8;
/// Most connections if neither memory nor descriptors are limited.
const DEFAULT_MAX_CONNECTIONS: usize = 4_096;
/// Most bytes of bodies if memory is not limited.
const DEFAULT_MAX_HELD_BYTES: u64 = 268_435_456;

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

/// Limits of all connections together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum number of bytes that requests may hold, in their bodies and as decoded jobs.
    pub max_held_bytes: u64,
}

impl ProcessLimits {
    /// Returns the limits of a process whose machine has some memory and which may open some
    /// descriptors, for heads of a size.
    #[must_use]
    pub fn of_machine(
        memory_bytes: Option<u64>,
        max_descriptors: Option<usize>,
        max_head_bytes: usize,
    ) -> Self {
        let share = memory_bytes.map(|bytes| bytes / MEMORY_PARTS);
        let by_memory = share.map(|share| share / (CONNECTION_BYTES + max_head_bytes as u64));
        let by_memory = by_memory.and_then(|count| usize::try_from(count).ok());
        let by_descriptors =
            max_descriptors.map(|count| count / DESCRIPTOR_PARTS * CALLER_DESCRIPTOR_PARTS);
        let max_connections = by_memory.into_iter().chain(by_descriptors).min();
        Self {
            max_connections: max_connections.unwrap_or(DEFAULT_MAX_CONNECTIONS).max(1),
            max_held_bytes: share.unwrap_or(DEFAULT_MAX_HELD_BYTES),
        }
    }
}
