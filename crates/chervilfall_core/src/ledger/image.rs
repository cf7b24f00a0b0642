//! What a shard's log says: the state that all its durable records make together.
//!
//! The image holds nothing that is only hoped to become durable, so it can be written as a
//! snapshot at any time, and a new holder starts from it.

use std::collections::{BTreeMap, BTreeSet};

use chervilfall_types::{Answer, DomainName, EntryIncarnation, Instant, Request, RequestKey};
use chervilfall_wire::RequestDigest;
use serde::{Deserialize, Serialize};

use crate::ledger::record::{Record, TaskOutcome};

/// A claimed key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimImage {
    pub(crate) digest: RequestDigest,
    pub(crate) by: EntryIncarnation,
    pub(crate) outcome: Option<Answer>,
    /// Since when this holder has known it to be claimed.
    #[serde(skip)]
    pub(crate) since: Instant,
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobImage {
    pub(crate) request: Request,
    pub(crate) digest: RequestDigest,
    pub(crate) domain: DomainName,
    /// Tasks that may have been placed.
    pub(crate) logged: BTreeSet<u32>,
    /// Tasks with a final outcome.
    pub(crate) ended: BTreeMap<u32, TaskOutcome>,
    pub(crate) cancelled: bool,
    /// Since when this holder has known it to be final.
    #[serde(skip)]
    pub(crate) final_since: Option<Instant>,
}

impl JobImage {
    fn is_final(&self) -> bool {
        self.ended.len() == self.request.work.tasks as usize
    }
}

/// The state of a shard's log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Image {
    pub(crate) claims: BTreeMap<RequestKey, ClaimImage>,
    pub(crate) jobs: BTreeMap<RequestKey, JobImage>,
}

impl Image {
    /// Takes a durable record in.
    pub(crate) fn apply(&mut self, now: Instant, record: &Record) {
        match record {
            Record::Claimed { key, digest, by } => {
                let claim = ClaimImage {
                    digest: *digest,
                    by: *by,
                    outcome: None,
                    since: now,
                };
                self.claims.insert(key.clone(), claim);
            }
            Record::Released { key } => {
                self.claims.remove(key);
            }
            Record::Outcome(answer) => {
                if let Some(claim) = self.claims.get_mut(&answer.key) {
                    claim.outcome = Some(answer.clone());
                }
            }
            Record::Accepted {
                request,
                digest,
                domain,
            } => {
                let job = JobImage {
                    request: request.clone(),
                    digest: *digest,
                    domain: domain.clone(),
                    logged: BTreeSet::new(),
                    ended: BTreeMap::new(),
                    cancelled: false,
                    final_since: None,
                };
                self.jobs.insert(request.key.clone(), job);
            }
            Record::Dispatched { key, tasks } => {
                if let Some(job) = self.jobs.get_mut(key) {
                    job.logged.extend(tasks);
                }
            }
            Record::TaskEnded { key, task, outcome } => {
                if let Some(job) = self.jobs.get_mut(key) {
                    job.ended.insert(*task, outcome.clone());
                    if job.is_final() {
                        job.final_since = Some(now);
                    }
                }
            }
            Record::GangReset { key } => {
                if let Some(job) = self.jobs.get_mut(key) {
                    job.ended.clear();
                    job.final_since = None;
                }
            }
            Record::Cancelled { key, ended } => {
                if let Some(job) = self.jobs.get_mut(key) {
                    job.cancelled = true;
                    job.ended.extend(ended.clone());
                    if job.is_final() {
                        job.final_since = Some(now);
                    }
                }
            }
        }
    }

    /// Returns whether the outcome of a claimed call is known.
    pub(crate) fn has_outcome(&self, key: &RequestKey) -> bool {
        let claim = self.claims.get(key);
        claim.is_some_and(|claim| claim.outcome.is_some())
    }

    /// Begins the retention of everything anew; used by a new holder, who does not know how long
    /// the one before kept it.
    pub(crate) fn restart_retention(&mut self, now: Instant) {
        for claim in self.claims.values_mut() {
            claim.since = now;
        }
        for job in self.jobs.values_mut() {
            job.final_since = job.is_final().then_some(now);
        }
    }

    /// Forgets claims and final jobs that were kept for `retention_ms`, and returns their keys.
    pub(crate) fn forget_old(&mut self, now: Instant, retention_ms: u64) -> Vec<RequestKey> {
        let old = |since: Instant| now.since(since) >= retention_ms;
        let mut forgotten = Vec::new();
        self.claims.retain(|key, claim| {
            let keep = !old(claim.since);
            if !keep {
                forgotten.push(key.clone());
            }
            keep
        });
        self.jobs.retain(|key, job| {
            let keep = !job.final_since.is_some_and(old);
            if !keep {
                forgotten.push(key.clone());
            }
            keep
        });
        forgotten
    }
}
