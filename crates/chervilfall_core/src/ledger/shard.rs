//! One shard of the request keys while it is held.

use std::collections::{BTreeMap, BTreeSet};

use chervilfall_platform::{RowKey, RowVersion, ScanRequest};
use chervilfall_types::{
    Answer, EntryId, EntryIncarnation, Epoch, Instant, Reason, RequestKey, ShardId,
};
use chervilfall_wire::{ClaimAnswer, PeerMessage, RequestDigest};

use crate::action::{StoreCall, StoreOrder};
use crate::context::Context;
use crate::ledger::image::Image;
use crate::ledger::job::Job;
use crate::ledger::record::{LogRow, Record};
use crate::ledger::snapshot::Snapshots;

/// When to come back while the table is away, in milliseconds.
pub(super) const STORE_RETRY_AFTER_MS: u64 = 1_000;

/// What a holder does with its shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ShardPhase {
    /// Reads the log.
    Loading,
    /// Serves; tasks of recovered jobs may still have to be found.
    Serving,
}

/// A claimed key.
#[derive(Debug, Clone)]
pub(crate) struct Claim {
    pub(crate) digest: RequestDigest,
    pub(crate) by: EntryIncarnation,
    pub(crate) outcome: Option<Answer>,
}

/// A record that waits for the next commit, and what is sent once it is durable.
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    pub(crate) record: Record,
    pub(crate) then: Vec<(EntryId, PeerMessage)>,
}

/// A commit that is on its way.
#[derive(Debug)]
pub(crate) struct InFlight {
    pub(crate) row: LogRow,
    pub(crate) pending: Vec<Pending>,
    /// Whether those who wait were told that the outcome is unknown.
    pub(crate) doubted: bool,
    /// When the outcome is read, if it is unknown and not being read.
    pub(crate) resolve_at: Option<Instant>,
}

/// One shard.
#[derive(Debug)]
pub(crate) struct Shard {
    pub(crate) id: ShardId,
    pub(crate) epoch: Epoch,
    pub(crate) row_version: RowVersion,
    pub(crate) phase: ShardPhase,
    pub(crate) releasing: bool,
    pub(crate) claims: BTreeMap<RequestKey, Claim>,
    pub(crate) jobs: BTreeMap<RequestKey, Job>,
    /// Jobs with tasks that wait for an owner.
    pub(crate) ready: BTreeSet<RequestKey>,
    pub(crate) pending: Vec<Pending>,
    pub(crate) in_flight: Option<InFlight>,
    pub(crate) next_commit: Instant,
    pub(crate) next_row: u64,
    /// Versions of the rows of the ring that have been written.
    pub(crate) versions: BTreeMap<RowKey, RowVersion>,
    /// What the durable records make together.
    pub(crate) image: Image,
    pub(crate) snapshots: Snapshots,
    /// When to read the shard again after a failure.
    pub(crate) load_at: Option<Instant>,
    /// Instances that have reported all attempts of the shard under this epoch.
    pub(crate) inquired: BTreeSet<EntryId>,
}

impl Shard {
    pub(crate) fn new(id: ShardId, epoch: Epoch, version: u64) -> Self {
        Self {
            id,
            epoch,
            row_version: RowVersion(version),
            phase: ShardPhase::Loading,
            releasing: false,
            claims: BTreeMap::new(),
            jobs: BTreeMap::new(),
            ready: BTreeSet::new(),
            pending: Vec::new(),
            in_flight: None,
            next_commit: Instant(0),
            next_row: 1,
            versions: BTreeMap::new(),
            image: Image::default(),
            snapshots: Snapshots::default(),
            load_at: None,
            inquired: BTreeSet::new(),
        }
    }

    /// Returns whether requests are taken.
    pub(crate) fn is_serving(&self) -> bool {
        self.phase == ShardPhase::Serving && !self.releasing
    }

    /// Returns whether the log has been read.
    pub(crate) fn is_active(&self) -> bool {
        self.phase == ShardPhase::Serving
    }

    /// Returns whether nothing waits to be written.
    pub(crate) fn drained_of_commits(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none() && self.phase == ShardPhase::Serving
    }

    /// Returns the prefix of the keys of the log's rows.
    pub(crate) fn log_prefix(&self) -> String {
        format!("log/{:05}/", self.id.0)
    }

    /// Returns the key of the next row, in a ring of `ring` rows, and the version that it has.
    pub(crate) fn next_slot(&self, ring: u64) -> (RowKey, RowVersion) {
        let slot = self.next_row % ring;
        let key = RowKey(format!("{}{slot:06}", self.log_prefix()));
        let version = self.versions.get(&key).copied().unwrap_or_default();
        (key, version)
    }

    /// Returns whether the ring has a row that no snapshot needs.
    pub(crate) fn has_slot(&self, ring: u64) -> bool {
        self.next_row - self.snapshots.through() <= ring
    }

    pub(crate) fn read_log(&self, context: &mut Context<'_>) {
        let call = StoreCall::Scan(ScanRequest {
            prefix: self.log_prefix(),
        });
        context.store(StoreOrder::ShardLog(self.id), call);
    }

    /// Adds a record to the next commit.
    pub(crate) fn push(&mut self, record: Record, then: Vec<(EntryId, PeerMessage)>) {
        if let Some(job) = record.job_key().and_then(|key| self.jobs.get_mut(key)) {
            job.unwritten += 1;
        }
        self.pending.push(Pending { record, then });
    }

    /// Tells those who wait for records that these were not, or maybe not, made durable.
    pub(crate) fn refuse_pending(mut self, context: &mut Context<'_>, reason: Reason) {
        if let Some(in_flight) = self.in_flight.take() {
            if !in_flight.doubted {
                doubt(context, &in_flight.pending);
            }
        }
        refuse(context, &self.pending, reason);
    }
}

/// Refuses requests whose records were surely not written.
pub(super) fn refuse(context: &mut Context<'_>, pending: &[Pending], reason: Reason) {
    let retry_after_ms = Some(STORE_RETRY_AFTER_MS);
    for (to, message) in pending.iter().flat_map(|pending| &pending.then) {
        match message {
            PeerMessage::Claimed { key, .. } => {
                let answer = ClaimAnswer::Refused {
                    reason,
                    retry_after_ms,
                };
                let key = key.clone();
                context.send(*to, PeerMessage::Claimed { key, answer });
            }
            PeerMessage::Accepted(answer) => {
                let answer = Answer::not_run(answer.key.clone(), reason, retry_after_ms);
                context.send(*to, PeerMessage::Accepted(Box::new(answer)));
            }
            _ => {}
        }
    }
}

/// Answers requests whose records may have been written: a claim that nobody uses is refused, a
/// job may run.
pub(super) fn doubt(context: &mut Context<'_>, pending: &[Pending]) {
    let retry_after_ms = Some(STORE_RETRY_AFTER_MS);
    for (to, message) in pending.iter().flat_map(|pending| &pending.then) {
        match message {
            PeerMessage::Claimed { key, .. } => {
                let answer = ClaimAnswer::Refused {
                    reason: Reason::StoreUnavailable,
                    retry_after_ms,
                };
                let key = key.clone();
                context.send(*to, PeerMessage::Claimed { key, answer });
            }
            PeerMessage::Accepted(answer) => {
                let mut answer = Answer::may_have_run(answer.key.clone(), Reason::StoreUnavailable);
                answer.retry_after_ms = retry_after_ms;
                context.send(*to, PeerMessage::Accepted(Box::new(answer)));
            }
            _ => {}
        }
    }
}
