//! Group commits: changes are collected and written to the store in batches.

use std::collections::{BTreeMap, BTreeSet};

use crate::action::{Action, Answer, StepDownReason};
use crate::commit::{Batch, CommitOutcome};
use crate::election::HolderRow;
use crate::endpoint::{Endpoint, EndpointKey};
use crate::ids::{JobId, Millis, RowVersion, Run, TaskKey};
use crate::metrics;
use crate::planner::batch::{BatchBuilder, WrittenProgress};
use crate::planner::gap::ServiceMilestone;
use crate::planner::Planner;
use crate::record::{encode, RosterBucket, RosterEntry, CLAIMS, HOLDER, ROSTER};
use crate::resources::Resources;
use crate::starts::STARTS;

/// Factor of the recent commit duration after which another copy of a commit is sent.
const COPY_INTERVAL_FACTOR: u64 = 2;
/// Duration from which on a commit is logged as slow: a hundred times that of a healthy store.
const SLOW_COMMIT_MS: Millis = 400;
/// Upper limit on how often the interval between copies is doubled.
const MAX_COPY_DOUBLINGS: usize = 2;

/// A batch that has been sent to the store, and what follows when it is stored.
#[derive(Debug)]
pub(crate) struct InFlightCommit {
    batch: Batch,
    /// Bytes of its values.
    value_bytes: usize,
    pub(crate) first_sent_ms: Millis,
    /// Number of copies that have not been answered.
    unanswered_copies: usize,
    /// When each copy was sent.
    sent_ms: Vec<Millis>,
    /// When another copy is due.
    next_copy_ms: Millis,
    new_jobs: BTreeSet<JobId>,
    /// Rows that new jobs use or could have used.
    rows_for_jobs: usize,
    progress: Vec<WrittenProgress>,
    acknowledgements: BTreeMap<EndpointKey, u64>,
    /// Starts that may be ordered once the batch is stored.
    announced: Vec<(TaskKey, EndpointKey, Run)>,
    /// Endpoints that may be granted leases once the batch is stored.
    grantable: BTreeSet<EndpointKey>,
    /// Capacities that the roster states once the batch is stored.
    rostered_capacities: Vec<(EndpointKey, Resources)>,
    releases: bool,
}

impl InFlightCommit {
    pub(crate) fn contains_new_job(&self, id: JobId) -> bool {
        self.new_jobs.contains(&id)
    }

    /// Returns another copy of the batch, to be sent now. Copies add load to the store, so the
    /// interval between them grows.
    fn next_copy(&mut self, now: Millis, copy_interval_ms: Millis) -> Batch {
        let doublings = self.unanswered_copies.min(MAX_COPY_DOUBLINGS);
        self.unanswered_copies += 1;
        self.next_copy_ms = now + (copy_interval_ms << doublings);
        self.batch.copy = self.sent_ms.len();
        self.sent_ms.push(now);
        self.batch.clone()
    }
}

impl Planner {
    pub(super) fn commit_if_due(&mut self) {
        let value_bytes = self.in_flight.as_ref().map_or(0, |sent| sent.value_bytes);
        let copy_ms = self.commit_copy_interval_ms(value_bytes);
        if let Some(commit) = &mut self.in_flight {
            if self.now >= commit.next_copy_ms
                && commit.unanswered_copies < self.limits.commit_copies
            {
                let copy = commit.next_copy(self.now, copy_ms);
                self.actions.push(Action::Commit(copy));
            }
            return;
        }
        let since_ms = self.now.saturating_sub(self.last_batch_ms);
        let wanted = !self.unsaved.is_empty() || !self.start_ring.is_saved() || self.releasing;
        let due = wanted && since_ms >= self.limits.commit_gap_ms;
        if due || since_ms >= self.limits.renew_ms {
            self.send_batch();
        }
    }

    fn send_batch(&mut self) {
        self.holder.number += 1;
        let mut builder = BatchBuilder::new(self.limits.commit_rows, self.limits.commit_bytes);
        // Endpoints can be used only once they are in the stored roster, so it precedes jobs.
        self.add_roster(&mut builder);
        self.add_starts(&mut builder);
        self.add_job_changes(&mut builder);
        self.note_batch_built();
        let acknowledgements = self.unsaved.take_acknowledgements();
        let complete = self.unsaved.new_jobs.is_empty() && self.unsaved.progress.is_empty();
        let releases = self.releasing && complete;
        let row = HolderRow {
            released: releases,
            settled: self.barrier.is_none(),
            standstill_ms: self.commit_gaps.stall_timeout_ms(),
            written_store_ms: self.store_now_ms(),
            ..self.holder.clone()
        };
        builder.put(CLAIMS, HOLDER.to_owned(), row.encode());
        let batch = Batch {
            number: self.holder.number,
            copy: 0,
            expected: self.version,
            changes: builder.changes,
            timeout_ms: self.limits.commit_timeout_ms,
        };
        self.last_batch_ms = self.now;
        self.actions.push(Action::Commit(batch.clone()));
        self.in_flight = Some(InFlightCommit {
            batch,
            value_bytes: builder.value_bytes,
            first_sent_ms: self.now,
            unanswered_copies: 1,
            sent_ms: vec![self.now],
            next_copy_ms: self.now + self.commit_copy_interval_ms(builder.value_bytes),
            new_jobs: builder.new_jobs,
            rows_for_jobs: builder.rows_for_jobs,
            progress: builder.progress,
            acknowledgements,
            announced: builder.announced,
            grantable: builder.grantable,
            rostered_capacities: builder.rostered_capacities,
            releases,
        });
    }

    /// Returns the interval until another copy of a commit is sent: a multiple of the recent commit
    /// duration, and at least the time that its bytes take.
    fn commit_copy_interval_ms(&self, value_bytes: usize) -> Millis {
        let carried_ms = (value_bytes / self.limits.commit_bytes_per_ms.max(1)) as Millis;
        let interval_ms = (self.commit_duration_ms * COPY_INTERVAL_FACTOR).max(carried_ms);
        interval_ms.clamp(self.limits.commit_copy_ms, self.limits.commit_timeout_ms)
    }

    /// Returns an estimate of the store's clock, or 0 if it has not been read.
    pub(super) fn store_now_ms(&self) -> Millis {
        self.store_clock.map_or(0, |(theirs_ms, at_ms)| {
            theirs_ms + self.now.saturating_sub(at_ms)
        })
    }

    /// Adds the buckets of the roster that have changed, as far as they fit.
    fn add_roster(&mut self, builder: &mut BatchBuilder) {
        if self.unsaved.roster.is_empty() {
            return;
        }
        let mut members: BTreeMap<RosterBucket, Vec<EndpointKey>> = BTreeMap::new();
        for (key, endpoint) in &self.endpoints {
            let bucket = RosterBucket::of(&endpoint.entry.id);
            if self.unsaved.roster.contains(&bucket) {
                members.entry(bucket).or_default().push(key);
            }
        }
        while builder.has_room() {
            let Some(bucket) = self.unsaved.roster.pop_first() else {
                return;
            };
            let members = members.remove(&bucket).unwrap_or_default();
            self.add_bucket(builder, bucket, &members);
        }
    }

    /// Adds a bucket of the roster. If its endpoints are too many for a row, none of them is used until
    /// some have left.
    fn add_bucket(
        &mut self,
        builder: &mut BatchBuilder,
        bucket: RosterBucket,
        members: &[EndpointKey],
    ) {
        let members = || members.iter().copied();
        let entries = members().filter_map(|key| self.endpoints.get(key));
        let row: Vec<RosterEntry> = entries.map(Endpoint::roster_entry).collect();
        let row = encode(&row);
        if row.len() > self.limits.row_bytes {
            metrics::roster_row_too_large();
            log::error!(
                bucket:% = bucket.key(), endpoints = members().count(), bytes = row.len();
                "endpoints are too many for a row of the roster, they are not used"
            );
            for key in members() {
                if let Some(endpoint) = self.endpoints.get_mut(key) {
                    endpoint.rostered = false;
                }
            }
            return;
        }
        for key in members() {
            let Some(endpoint) = self.endpoints.get_mut(key) else {
                continue;
            };
            if endpoint.lapses_store_ms.is_none() {
                builder.grantable.insert(key);
            } else {
                // The stored roster may list it as silent from now on.
                endpoint.rostered = false;
            }
            let capacity = endpoint.capacity_for_roster();
            // From now on the stored roster may state this capacity.
            endpoint.rostered_capacity = endpoint.rostered_capacity.or(capacity);
            if let Some(capacity) = capacity {
                builder.rostered_capacities.push((key, capacity));
            }
        }
        builder.put(ROSTER, bucket.key(), row);
    }

    fn add_starts(&mut self, builder: &mut BatchBuilder) {
        let (store_ms, row_bytes) = (self.store_now_ms(), self.limits.row_bytes);
        while builder.has_room() {
            let Some((key, value)) = self.start_ring.take_row(store_ms, row_bytes) else {
                return;
            };
            builder.put(STARTS, key, value);
        }
    }

    pub(super) fn handle_commit_outcome(
        &mut self,
        number: u64,
        copy: usize,
        outcome: CommitOutcome,
    ) {
        let Some(commit) = &mut self.in_flight else {
            return;
        };
        if commit.batch.number != number {
            return;
        }
        commit.unanswered_copies = commit.unanswered_copies.saturating_sub(1);
        if let (CommitOutcome::Stored { .. }, Some(sent_ms)) = (&outcome, commit.sent_ms.get(copy))
        {
            let took_ms = self.now.saturating_sub(*sent_ms);
            self.commit_duration_ms = took_ms.max(self.commit_duration_ms * 3 / 4);
        }
        match outcome {
            CommitOutcome::Stored { version, store_ms } => {
                let sent_ms = commit.sent_ms.get(copy).copied();
                self.store_clock_bound = sent_ms.map(|sent_ms| (store_ms, sent_ms));
                self.store_clock = Some((store_ms, self.now));
                self.handle_stored(version);
            }
            CommitOutcome::Conflict(found) => self.handle_conflict(found),
            CommitOutcome::NotDone | CommitOutcome::Unknown => {
                if commit.unanswered_copies == 0 {
                    commit.next_copy_ms = self.now + self.limits.commit_retry_ms;
                }
                log::debug!(number = number, outcome = outcome.label(); "commit not answered with success");
            }
        }
    }

    fn handle_conflict(&mut self, found: Option<(RowVersion, Vec<u8>)>) {
        let row = found.and_then(|(version, bytes)| {
            let row = HolderRow::decode(&bytes);
            row.map(|row| (version, row)).ok()
        });
        let number = self.in_flight.as_ref().map(|commit| commit.batch.number);
        match row.filter(|(_, row)| row.is_same_claim(&self.holder)) {
            // An earlier copy of the batch was stored.
            Some((version, row)) if Some(row.number) == number => self.handle_stored(version),
            Some((version, row)) if Some(row.number) < number => self.resend_commit(version),
            _ => self.step_down(StepDownReason::ClaimLost),
        }
    }

    /// Sends the batch in flight on the condition that the claim row has this version: a renewal
    /// that was not answered was stored before it, so none of its copies was. All of them show the
    /// same version, and the first one to do so is followed by another copy.
    fn resend_commit(&mut self, version: RowVersion) {
        let Some(commit) = &mut self.in_flight else {
            return;
        };
        if version <= commit.batch.expected {
            return;
        }
        commit.batch.expected = version;
        let copy = commit.next_copy(self.now, self.limits.commit_copy_ms);
        log::info!(number = copy.number, version = version; "commit resent after an unanswered renewal");
        self.actions.push(Action::Commit(copy));
    }

    fn handle_stored(&mut self, version: RowVersion) {
        let Some(commit) = self.in_flight.take() else {
            return;
        };
        let took_ms = self.now.saturating_sub(commit.first_sent_ms);
        self.commit_gaps.note(self.now);
        if took_ms > SLOW_COMMIT_MS {
            log::warn!(number = commit.batch.number, took_ms = took_ms; "commit was slow");
        }
        metrics::commit(took_ms);
        self.note_commit_stored(took_ms, commit.rows_for_jobs);
        self.version = version;
        self.start_ring.stored();
        self.claim_confirmed_ms = commit.first_sent_ms;
        for id in commit.new_jobs {
            self.handle_job_stored(id);
        }
        for written in commit.progress {
            self.handle_progress_stored(written);
        }
        for (task, endpoint, run) in commit.announced {
            self.start_announced(endpoint, task, run);
        }
        for (key, number) in commit.acknowledgements {
            if let Some(endpoint) = self.endpoints.get_mut(key) {
                endpoint.acknowledged = endpoint.acknowledged.max(number);
                endpoint.next_hold_ms = endpoint.batched_hold_due_ms(self.now, &self.limits);
            }
        }
        for (key, capacity) in commit.rostered_capacities {
            if let Some(endpoint) = self.endpoints.get_mut(key) {
                endpoint.rostered_capacity = Some(capacity);
            }
        }
        for key in commit.grantable {
            if let Some(endpoint) = self.endpoints.get_mut(key) {
                endpoint.rostered = true;
            }
        }
        if commit.releases {
            self.step_down(StepDownReason::Released);
            return;
        }
        self.schedule_if_due();
        self.send_holds();
    }

    fn handle_job_stored(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.stored = true;
        let submitters = std::mem::take(&mut job.submitters);
        let account = job.account.map(|account| self.accounts.name(account));
        metrics::accepted(self.now.saturating_sub(job.accepted_ms));
        log::info!(
            job:% = id, queue = job.queue.name.as_str(), service = job.queue.service.as_str(),
            account = account, forecast_ms = job.forecast_ms, quota_ms = job.quota_ms,
            configuration = self.config.version, steps = job.spec.steps.len(), waited_ms = self.now.saturating_sub(job.accepted_ms);
            "accepted"
        );
        for to in submitters {
            self.reply(to, Answer::Accepted);
        }
        self.record_resumption(ServiceMilestone::Accepted);
        self.activate(id);
    }

    fn handle_progress_stored(&mut self, written: WrittenProgress) {
        let Some(job) = self.jobs.get_mut(&written.job) else {
            return;
        };
        job.visible_outcome = written.outcome;
        if !written.cancelled {
            return;
        }
        job.cancel_stored = true;
        let submitters = if written.pre_cancelled {
            Vec::new()
        } else {
            std::mem::take(&mut job.submitters)
        };
        let cancellers = std::mem::take(&mut job.cancellers);
        let cancelled = if written.pre_cancelled {
            Answer::Unknown
        } else {
            Answer::Cancelled
        };
        for to in submitters {
            self.reply(to, Answer::Accepted);
        }
        for to in cancellers {
            self.reply(to, cancelled);
        }
    }
}
