//! Keeps room together for gangs.
//!
//! A gang needs all its room at one moment. Without a reservation, tasks of lower rank take each piece
//! as it comes free, and a wide gang waits until the queue is empty.

use std::collections::BTreeSet;

use crate::endpoint::EndpointKey;

/// Most gangs that room is kept for at a time; reserved room stands idle until the last piece is free.
const GANGS: usize = 3;

/// Endpoints that are kept for gangs.
#[derive(Debug, Default)]
pub(crate) struct Reservations {
    gangs: usize,
    kept: BTreeSet<EndpointKey>,
}

impl Reservations {
    /// Returns whether room is kept for as many gangs as may be.
    pub(crate) const fn is_full(&self) -> bool {
        self.gangs >= GANGS
    }

    /// Returns whether an endpoint is kept for some gang.
    pub(crate) fn keeps(&self, endpoint: EndpointKey) -> bool {
        self.kept.contains(&endpoint)
    }

    /// Keeps endpoints for `count` tasks of a gang: of the candidates, which come with the number of
    /// tasks that fit now and that fit when they are empty, those that are nearest to free. Keeps
    /// none if all of them together can't hold the gang.
    pub(crate) fn keep(&mut self, mut candidates: Vec<(EndpointKey, u32, u32)>, count: u32) {
        candidates.retain(|(endpoint, _, _)| !self.keeps(*endpoint));
        let most: u64 = candidates
            .iter()
            .map(|(_, _, empty)| u64::from(*empty))
            .sum();
        if self.is_full() || most < u64::from(count) {
            return;
        }
        self.gangs += 1;
        candidates.sort_by_key(|(endpoint, now, empty)| (empty.saturating_sub(*now), *endpoint));
        let mut held = 0;
        for (endpoint, _, empty) in candidates {
            if held >= count {
                return;
            }
            held += empty;
            self.kept.insert(endpoint);
        }
    }
}
