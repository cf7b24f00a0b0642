//! Shares of the nodes between the queues that call for advice.
//!
//! Each node makes one call at a time. Fast calls would wait for as long as a slow call takes, so
//! some nodes are kept free of slow calls: as many as fast calls need. The other nodes are shared
//! between the queues with slow calls, so that a queue of better rank does not use all of them.

use crate::ids::Millis;

/// Nodes kept per node that fast calls use on average. Such calls arrive in bursts of twice the
/// usual rate.
const BURST_FACTOR: f64 = 2.0;
/// Time over which the use by fast calls is averaged: several waves of arrivals' bursts.
const MEMORY_MS: f64 = 3_000.0;
/// Time of observation from which the average counts.
const MIN_OBSERVED_MS: Millis = 2_000;

/// Use of the nodes by fast calls.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FastCallLoad {
    mean: f64,
    began_ms: Option<Millis>,
    noted_ms: Millis,
}

impl FastCallLoad {
    /// Records the number of fast calls that are in flight or wait for a node.
    pub fn note(&mut self, now: Millis, calls: u32) {
        if self.began_ms.is_none() {
            self.began_ms = Some(now);
            self.noted_ms = now;
            self.mean = f64::from(calls);
        }
        let passed = now.saturating_sub(self.noted_ms) as f64 / MEMORY_MS;
        self.noted_ms = now;
        self.mean += passed.min(1.0) * (f64::from(calls) - self.mean);
    }

    /// Returns how many of `nodes` nodes are kept free of slow calls, if that is known: at least
    /// one, and at most half of them.
    #[must_use]
    pub fn kept_nodes(&self, nodes: usize) -> Option<usize> {
        let observed_ms = self.noted_ms.saturating_sub(self.began_ms?);
        // The mean is not negative and at most the number of steps.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let needed = (self.mean * BURST_FACTOR).ceil() as usize;
        (observed_ms >= MIN_OBSERVED_MS).then(|| needed.max(1).min(nodes / 2))
    }
}

/// Slow calls of a queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueCalls {
    /// Calls in flight.
    pub in_flight: usize,
    /// Steps that wait for a node.
    pub waiting: usize,
}

/// Returns whether a queue may make another slow call. Queues with waiting steps are entitled to
/// equal shares of the nodes; a queue may use more only if that leaves the others' shares.
#[must_use]
pub fn may_call(own: QueueCalls, others: &[QueueCalls], max_slow_calls: usize) -> bool {
    let in_flight = own.in_flight + others.iter().map(|other| other.in_flight).sum::<usize>();
    let idle = max_slow_calls.saturating_sub(in_flight);
    let waiting = others.iter().filter(|other| other.waiting > 0);
    let share = (max_slow_calls / (waiting.clone().count() + 1)).max(1);
    let entitled = waiting.map(|other| other.waiting.min(share.saturating_sub(other.in_flight)));
    idle > 0 && (own.in_flight < share || idle > entitled.sum())
}
