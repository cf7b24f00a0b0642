//! Determines which node makes the calls to an endpoint: the holder, or a follower in the endpoint's
//! failure domain that relays the holder's orders.
//!
//! The holder calls endpoints itself as long as its processor suffices. The relay of an endpoint is
//! chosen by rendezvous hashing, so that a follower that joins or leaves moves only its own
//! endpoints.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::event::NodeId;
use crate::ids::{EndpointId, Millis};

/// Endpoints that a holder calls itself for each thousandth of a core of its size. A hold each 0.7 s and
/// some starts, at a quarter of a millisecond each, take about half a thousandth of a core, so that half
/// of the processor is left for planning.
const ENDPOINTS_PER_PERMILLE: u64 = 1;
/// The holder stops using relays below this share of the number from which it uses them, in tenths,
/// so that an endpoint that comes and goes does not move all calls.
const RESUME_TENTHS: u64 = 9;
/// How long the holder calls an endpoint itself after an order through a relay was not answered: the
/// endpoint's leases last little longer.
const DIRECT_MS: Millis = 2_000;
/// Part of the endpoints that the holder can call itself which it calls in place of relays that do not
/// answer, as a divisor. If many do not answer at once, the holder is too slow for their answers or part
/// of the network is cut off, and calls of its own would make it slower still.
const DIRECT_DIVISOR: u64 = 8;
/// Time after an order was not answered within which a second one counts against the relay, and for
/// which the next relay is used then.
const NEXT_RELAY_MS: Millis = 10_000;

/// Odd multiplier of a multiplicative hash: 2^64 divided by the golden ratio.
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Determines whether the holder uses relays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayUse {
    /// Number of endpoints that the holder calls itself; `None` if it uses no relays.
    max_direct: Option<u64>,
    active: bool,
}

impl RelayUse {
    /// Starts without relays, for a node of a size in thousandths of a core.
    #[must_use]
    pub fn new(enabled: bool, size_permille: u64) -> Self {
        let max_direct = size_permille.saturating_mul(ENDPOINTS_PER_PERMILLE);
        Self {
            max_direct: enabled.then_some(max_direct),
            active: false,
        }
    }

    /// Sets the number of endpoints; returns whether relays are used from now on if that changes.
    pub fn set_endpoints(&mut self, endpoints: usize) -> Option<bool> {
        let max_direct = self.max_direct?;
        let endpoints = endpoints as u64;
        let active = if self.active {
            endpoints.saturating_mul(10) >= max_direct.saturating_mul(RESUME_TENTHS)
        } else {
            endpoints > max_direct
        };
        let changed = std::mem::replace(&mut self.active, active) != active;
        changed.then_some(active)
    }

    /// Returns whether relays are used.
    #[must_use]
    pub const fn is_active(&self) -> bool {
        self.active
    }
}

/// Endpoints that the holder calls itself because their relays did not answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectCalls {
    max: usize,
    /// When these calls end, the earliest first.
    until_ms: VecDeque<Millis>,
}

impl DirectCalls {
    /// Starts without such calls, for a node of a size in thousandths of a core.
    #[must_use]
    pub fn new(size_permille: u64) -> Self {
        let carried = size_permille.saturating_mul(ENDPOINTS_PER_PERMILLE);
        Self {
            max: usize::try_from((carried / DIRECT_DIVISOR).max(1)).unwrap_or(usize::MAX),
            until_ms: VecDeque::new(),
        }
    }

    /// Adds an endpoint and returns until when it is called; none if there are as many as the holder can
    /// call.
    fn add(&mut self, now: Millis) -> Option<Millis> {
        while self.until_ms.front().is_some_and(|until| *until <= now) {
            self.until_ms.pop_front();
        }
        if self.until_ms.len() >= self.max {
            return None;
        }
        let until_ms = now + DIRECT_MS;
        self.until_ms.push_back(until_ms);
        Some(until_ms)
    }
}

/// A follower that can relay orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayCandidate {
    /// Number of its link.
    pub link: NodeId,
    /// Hash of its name, which stays the same when it links again.
    name_hash: u64,
}

impl RelayCandidate {
    /// Describes a follower by its link and its name.
    #[must_use]
    pub fn new(link: NodeId, name: &str) -> Self {
        Self {
            link,
            name_hash: hash(name),
        }
    }

    /// Returns the rank for an endpoint. A node that has two links is reached over the later one.
    fn rank(&self, endpoint_hash: u64) -> (u64, NodeId) {
        (mix(self.name_hash ^ endpoint_hash), self.link)
    }
}

/// Relays of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RelayChoice {
    /// The relay to use.
    pub first: Option<NodeId>,
    /// Another node, for while the first one does not answer.
    pub next: Option<NodeId>,
}

impl RelayChoice {
    /// Chooses among the followers in the failure domain of an endpoint.
    #[must_use]
    pub fn new(endpoint: &EndpointId, candidates: &[RelayCandidate]) -> Self {
        let endpoint_hash = hash(endpoint);
        let (mut first, mut next) = (None, None);
        for candidate in candidates {
            let rank = candidate.rank(endpoint_hash);
            match first {
                Some((hash, _)) if hash == rank.0 => first = first.max(Some(rank)),
                Some(_) if first > Some(rank) => next = next.max(Some(rank)),
                _ => next = first.replace(rank),
            }
        }
        let link = |(_, link): (u64, NodeId)| link;
        Self {
            first: first.map(link),
            next: next.map(link),
        }
    }

    /// Returns the link to use for a path; `None` if the holder makes the call.
    #[must_use]
    pub const fn link(&self, path: CallPath) -> Option<NodeId> {
        match path {
            CallPath::Direct => None,
            CallPath::First => self.first,
            CallPath::Next => self.next,
        }
    }
}

/// Spreads the difference of two hashes over all bits. Ranks of all endpoints and followers of a
/// domain are compared whenever a follower joins or leaves, so this is cheaper than a hasher.
const fn mix(value: u64) -> u64 {
    let value = value.wrapping_mul(HASH_MULTIPLIER);
    (value ^ (value >> 32)).wrapping_mul(HASH_MULTIPLIER)
}

fn hash<T: Hash + ?Sized>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Path of the calls to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPath {
    /// The holder makes them.
    Direct,
    /// The first relay makes them.
    First,
    /// The next relay makes them.
    Next,
}

/// Orders to an endpoint that were not answered through a relay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RelayHealth {
    /// When that was last noticed.
    failed_ms: Option<Millis>,
    direct_until_ms: Millis,
    next_until_ms: Millis,
}

impl RelayHealth {
    /// Returns the path of the next order.
    #[must_use]
    pub const fn path(&self, now: Millis) -> CallPath {
        if now < self.direct_until_ms {
            CallPath::Direct
        } else if now < self.next_until_ms {
            CallPath::Next
        } else {
            CallPath::First
        }
    }

    /// Records that an order sent at `sent_ms` through a relay was not answered. The holder makes the next
    /// calls if that is one more of `direct`.
    pub fn record_unanswered(&mut self, now: Millis, sent_ms: Millis, direct: &mut DirectCalls) {
        // Orders that were in flight together fail for one reason.
        if self.failed_ms.is_some_and(|failed_ms| sent_ms <= failed_ms) {
            return;
        }
        let recent = self
            .failed_ms
            .is_some_and(|failed_ms| now.saturating_sub(failed_ms) < NEXT_RELAY_MS);
        self.failed_ms = Some(now);
        let uses_next = now < self.next_until_ms;
        if recent && !uses_next {
            self.next_until_ms = now + NEXT_RELAY_MS;
        } else if let Some(until_ms) = direct.add(now) {
            self.direct_until_ms = until_ms;
        } else if uses_next {
            self.next_until_ms = now;
        } else {
            self.next_until_ms = now + NEXT_RELAY_MS;
        }
    }
}
