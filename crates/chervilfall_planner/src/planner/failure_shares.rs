//! Quarantines endpoints that fail part of their runs.

use crate::endpoint::{Endpoint, EndpointKey};
use crate::event::{EndReason, EndedRun};
use crate::metrics;
use crate::planner::Planner;
use crate::policy::failure_share::{quarantine_worst, FailureShare};

impl Planner {
    /// Records an end with its endpoint, and quarantines the endpoints of its pool that fail most.
    pub(super) fn update_failure_share(&mut self, key: EndpointKey, end: &EndedRun) {
        let failed = match end.how {
            EndReason::Done => false,
            EndReason::Failed => true,
            EndReason::Stopped | EndReason::Lapsed | EndReason::Broken | EndReason::Alone => return,
        };
        if !self.limits.policies.failure_share {
            return;
        }
        let endpoint = &mut self.endpoints[key];
        if endpoint
            .failure_share
            .record(self.now, end.task.job, failed)
        {
            log::info!(endpoint:% = endpoint.entry.id; "endpoint has completed its trials, quarantine ended");
        }
        if failed && self.endpoints[key].failure_share.is_candidate() {
            self.quarantine_worst_of_pool(key);
        }
    }

    fn quarantine_worst_of_pool(&mut self, key: EndpointKey) {
        let service = self.endpoints[key].entry.service.clone();
        let pool = self.endpoints.iter_mut().filter(|(_, endpoint)| {
            endpoint.listed && !endpoint.defunct && endpoint.entry.service == service
        });
        let (keys, mut shares): (Vec<EndpointKey>, Vec<&mut FailureShare>) = pool
            .map(|(key, endpoint)| (key, &mut endpoint.failure_share))
            .unzip();
        for (position, pause_ms) in quarantine_worst(self.now, &mut shares) {
            let endpoint: &Endpoint = &self.endpoints[keys[position]];
            let (ends, failures) = endpoint.failure_share.counts();
            metrics::quarantined_by_share();
            log::warn!(
                endpoint:% = endpoint.entry.id, ends = ends, failures = failures, pause_ms = pause_ms;
                "endpoint fails part of its runs, quarantined"
            );
        }
    }
}
