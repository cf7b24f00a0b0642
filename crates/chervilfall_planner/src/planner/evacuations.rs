//! Evacuations of failure domains: the endpoints of an evacuated domain are given no new work, as if
//! all of them were draining. What runs there ends there.

use std::collections::{BTreeMap, BTreeSet};

use crate::endpoint::DomainName;
use crate::ids::Millis;
use crate::limits::Limits;
use crate::metrics;
use crate::planner::Planner;

/// The evacuations in force.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    /// When each was first read by this holder.
    since_ms: BTreeMap<DomainName, Millis>,
    /// When the last reading of them was requested.
    read_ms: Millis,
}

impl Evacuations {
    /// Returns whether they were read so recently that a domain without one may be given work.
    fn are_known(&self, now: Millis, limits: &Limits) -> bool {
        let age_ms = now.saturating_sub(self.read_ms);
        limits
            .evacuations_age_ms
            .is_none_or(|max_ms| age_ms <= max_ms)
    }
}

impl Planner {
    /// Records the evacuations that were read together with the list of endpoints.
    pub(super) fn update_evacuations(&mut self, read_ms: Millis, evacuated: BTreeSet<DomainName>) {
        self.evacuations.read_ms = read_ms;
        for endpoint in self.endpoints.values_mut() {
            endpoint.evacuated = evacuated.contains(&endpoint.entry.domain);
        }
        let before = std::mem::take(&mut self.evacuations.since_ms);
        for (domain, since_ms) in &before {
            if !evacuated.contains(domain) {
                let lasted_ms = self.now.saturating_sub(*since_ms);
                log::info!(domain = domain.as_str(), lasted_ms = lasted_ms; "evacuation of the failure domain has ended");
                metrics::evacuation(domain, None);
            }
        }
        for domain in evacuated {
            let since_ms = before.get(&domain).copied().unwrap_or(self.now);
            if !before.contains_key(&domain) {
                log::info!(domain = domain.as_str(), tasks = self.tasks_in(&domain); "failure domain is evacuated, it gets no more work");
            }
            metrics::evacuation(&domain, Some(self.now.saturating_sub(since_ms)));
            self.evacuations.since_ms.insert(domain, since_ms);
        }
    }

    /// Returns whether it is known which failure domains may be given work.
    pub(super) fn evacuations_are_known(&self) -> bool {
        self.evacuations.are_known(self.now, &self.limits)
    }

    /// Returns the time since the last reading of the evacuations was requested.
    pub(super) const fn evacuations_age_ms(&self) -> Millis {
        self.now.saturating_sub(self.evacuations.read_ms)
    }

    /// Returns the number of tasks that are placed in a failure domain.
    fn tasks_in(&self, domain: &str) -> usize {
        let endpoints = self.endpoints.values();
        let inside = endpoints.filter(|endpoint| endpoint.entry.domain == domain);
        inside.map(|endpoint| endpoint.placed.len()).sum()
    }
}
