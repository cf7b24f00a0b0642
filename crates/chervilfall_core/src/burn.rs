//! Service-level burn: how fast each objective's error budget is used.

use std::collections::{BTreeMap, VecDeque};

use chervilfall_types::{Instant, WorkClass};

use crate::configuration::Objective;

/// Length of one bucket, in milliseconds.
const BUCKET_MS: u64 = 10_000;
/// Length of the short window, in milliseconds.
const SHORT_MS: u64 = 300_000;
/// Length of the long window, in milliseconds.
const LONG_MS: u64 = 3_600_000;
/// Burn rate over both windows from which an operator is paged, in thousandths.
const PAGE_BURN_PERMILLE: u64 = 14_400;

/// Burn of one objective.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BurnRow {
    /// Name of the workload class.
    pub class: &'static str,
    /// Requests that ended in the long window.
    pub requests: u64,
    /// Those that missed the objective.
    pub bad: u64,
    /// Burn rate over five minutes, in thousandths of the allowed rate.
    pub burn_short_permille: u64,
    /// Burn rate over an hour, in thousandths of the allowed rate.
    pub burn_long_permille: u64,
    /// Share of the hour's budget that is left, in thousandths.
    pub budget_left_permille: u64,
    /// Whether both windows burn fast enough to page.
    pub page: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    requests: u64,
    bad: u64,
}

#[derive(Debug)]
struct Bucket {
    from: Instant,
    counts: Counts,
}

/// Good and bad requests by class over the last hour.
#[derive(Debug, Default)]
pub(crate) struct Burn {
    buckets: BTreeMap<WorkClass, VecDeque<Bucket>>,
}

impl Burn {
    /// Counts a request that ended.
    pub(crate) fn record(&mut self, now: Instant, class: WorkClass, good: bool) {
        let from = Instant(now.0 - now.0 % BUCKET_MS);
        let buckets = self.buckets.entry(class).or_default();
        if buckets.back().is_none_or(|bucket| bucket.from != from) {
            buckets.push_back(Bucket {
                from,
                counts: Counts::default(),
            });
        }
        if let Some(bucket) = buckets.back_mut() {
            bucket.counts.requests += 1;
            bucket.counts.bad += u64::from(!good);
        }
        while buckets
            .front()
            .is_some_and(|bucket| now.since(bucket.from) > LONG_MS)
        {
            buckets.pop_front();
        }
    }

    /// Returns the burn of each objective.
    pub(crate) fn report(&self, now: Instant, objectives: &[Objective]) -> Vec<BurnRow> {
        objectives
            .iter()
            .map(|objective| self.row(now, objective))
            .collect()
    }

    fn row(&self, now: Instant, objective: &Objective) -> BurnRow {
        let short = self.counts(now, objective.class, SHORT_MS);
        let long = self.counts(now, objective.class, LONG_MS);
        let burn_short_permille = burn_permille(short, objective.success_permille);
        let burn_long_permille = burn_permille(long, objective.success_permille);
        BurnRow {
            class: objective.class.name(),
            requests: long.requests,
            bad: long.bad,
            burn_short_permille,
            burn_long_permille,
            budget_left_permille: 1_000_u64.saturating_sub(burn_long_permille),
            page: burn_short_permille.min(burn_long_permille) >= PAGE_BURN_PERMILLE,
        }
    }

    fn counts(&self, now: Instant, class: WorkClass, window_ms: u64) -> Counts {
        let mut total = Counts::default();
        let buckets = self.buckets.get(&class).into_iter().flatten();
        for bucket in buckets.filter(|bucket| now.since(bucket.from) <= window_ms) {
            total.requests += bucket.counts.requests;
            total.bad += bucket.counts.bad;
        }
        total
    }
}

/// Returns the share of bad requests over the allowed share, in thousandths.
fn burn_permille(counts: Counts, success_permille: u64) -> u64 {
    let allowed_permille = 1_000_u64.saturating_sub(success_permille).max(1);
    if counts.requests == 0 {
        return 0;
    }
    counts.bad * 1_000_000 / (counts.requests * allowed_permille)
}
