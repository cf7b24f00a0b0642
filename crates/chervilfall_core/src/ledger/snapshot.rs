//! Compaction: the image of a shard's log goes into the object store, and the rows of the log
//! before it are used again.
//!
//! The log is a ring of rows, so that nothing has to be deleted from the table. A snapshot takes
//! effect when the shard's snapshot row points to it, which is conditional on the shard's row as
//! every commit is.

use chervilfall_platform::{Condition, RowKey, RowVersion, ScanRequest, Transaction, Write};
use chervilfall_types::{Instant, ShardId};
use serde::{Deserialize, Serialize};

use crate::action::{StoreCall, StoreOrder};
use crate::context::Context;
use crate::event::StoreReply;
use crate::ledger::holders::shard_row_key;
use crate::ledger::image::Image;
use crate::ledger::shard::Shard;
use crate::ledger::{Ledger, PART};

/// Pause before a failed step is tried again, in milliseconds.
const RETRY_MS: u64 = 500;
/// How often old claims and jobs are looked for, in milliseconds.
const FORGET_MS: u64 = 5_000;

/// The snapshot row of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotRow {
    /// Name of the object with the image.
    pub(crate) object: String,
    /// Number of the last commit in the image.
    pub(crate) through: u64,
}

/// Where a snapshot stands.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) enum SnapshotPhase {
    /// None is being made.
    #[default]
    Idle,
    /// The object is being written.
    Writing(SnapshotRow),
    /// The snapshot row is being written.
    Pointing(SnapshotRow),
}

/// Snapshots of one shard.
#[derive(Debug, Default)]
pub(crate) struct Snapshots {
    phase: SnapshotPhase,
    retry_at: Instant,
    next_forget: Instant,
    /// The one in force.
    pub(crate) present: Option<SnapshotRow>,
    /// Version of the snapshot row.
    version: RowVersion,
}

impl Snapshots {
    /// Returns whether the write of a snapshot row failed and has to be repeated.
    fn is_stuck(&self) -> bool {
        matches!(self.phase, SnapshotPhase::Pointing(_)) && self.retry_at != Instant(0)
    }

    /// Returns the number of the last commit that the snapshot in force holds.
    pub(crate) fn through(&self) -> u64 {
        self.present.as_ref().map_or(0, |present| present.through)
    }
}

/// Returns the key of a shard's snapshot row.
fn snapshot_key(shard: ShardId) -> RowKey {
    RowKey(format!("snapshot/{:05}", shard.0))
}

impl Ledger {
    /// Begins snapshots that are due and forgets what was kept long enough.
    pub(super) fn compact(&mut self, context: &mut Context<'_>) {
        for shard in self.shards.values_mut().filter(|shard| shard.is_active()) {
            shard.forget_old(context);
            let rows = shard.next_row - 1 - shard.snapshots.through();
            let due = rows >= context.settings.compact_rows as u64;
            if context.now < shard.snapshots.retry_at {
                continue;
            }
            if shard.snapshots.is_stuck() {
                shard.point_again(context);
                continue;
            }
            if !due || shard.snapshots.phase != SnapshotPhase::Idle {
                continue;
            }
            if !self.budget.take(context.now) {
                return;
            }
            shard.write_snapshot(context);
        }
    }

    /// Takes the answer to the write of a snapshot's object.
    pub(super) fn snapshot_written(
        &mut self,
        context: &mut Context<'_>,
        id: ShardId,
        reply: &StoreReply,
    ) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let SnapshotPhase::Writing(row) = shard.snapshots.phase.clone() else {
            return;
        };
        if matches!(reply, StoreReply::ObjectWritten(Ok(()))) {
            shard.point_to_snapshot(context, row);
        } else {
            shard.give_snapshot_up(context);
        }
    }

    /// Takes the answer to the write of a snapshot row.
    pub(super) fn snapshot_pointed(
        &mut self,
        context: &mut Context<'_>,
        id: ShardId,
        reply: &StoreReply,
    ) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let SnapshotPhase::Pointing(row) = shard.snapshots.phase.clone() else {
            return;
        };
        match reply {
            StoreReply::Commit(Ok(answer)) => {
                let lost = shard_row_key(id);
                if answer.conflicts.iter().any(|conflict| conflict.key == lost) {
                    self.drop_shard(context, id);
                } else {
                    // A conflict on the snapshot row shows an earlier copy of this write, since
                    // only the holder writes it.
                    shard.snapshot_in_force(context, row);
                }
            }
            // After an unknown outcome only the same write may follow.
            StoreReply::Commit(Err(_)) => {
                shard.snapshots.retry_at = context.now.after(RETRY_MS);
            }
            _ => {}
        }
    }
}

impl Ledger {
    /// Reads shards again whose reading failed.
    pub(super) fn load_again(&mut self, context: &mut Context<'_>) {
        for shard in self.shards.values_mut() {
            if shard.load_at.is_some_and(|at| context.now >= at) {
                shard.load_at = None;
                shard.read_snapshot_row(context);
            }
        }
    }
}

impl Shard {
    /// Takes the snapshot row and asks for what it points to.
    pub(super) fn snapshot_row_read(&mut self, context: &mut Context<'_>, reply: &StoreReply) {
        let StoreReply::Rows(Ok(rows)) = reply else {
            self.load_later(context);
            return;
        };
        self.snapshots.version = rows.first().map_or(RowVersion(0), |row| row.version);
        let row = rows
            .first()
            .and_then(|row| serde_json::from_str(&row.value).ok());
        self.snapshots.present = row;
        match &self.snapshots.present {
            Some(present) => {
                let name = present.object.clone();
                let order = StoreOrder::ShardSnapshot(self.id);
                context.store(order, StoreCall::GetObject { name });
            }
            None => self.read_log(context),
        }
    }

    /// Takes the image that the snapshot row points to.
    pub(super) fn snapshot_read(&mut self, context: &mut Context<'_>, reply: &StoreReply) {
        let StoreReply::Object(Ok(text)) = reply else {
            self.load_later(context);
            return;
        };
        match serde_json::from_str::<Image>(text) {
            Ok(image) => {
                self.image = image;
                self.read_log(context);
            }
            Err(error) => {
                let text = format!("Shard {} has an unreadable snapshot: {error}.", self.id.0);
                context.log(PART, text);
                self.load_later(context);
            }
        }
    }

    /// Has the shard read again after a pause.
    pub(super) fn load_later(&mut self, context: &Context<'_>) {
        self.load_at = Some(context.now.after(RETRY_MS));
    }

    fn forget_old(&mut self, context: &Context<'_>) {
        if context.now < self.snapshots.next_forget {
            return;
        }
        self.snapshots.next_forget = context.now.after(FORGET_MS);
        let retention_ms = context.settings.ledger_retention_ms;
        for key in self.image.forget_old(context.now, retention_ms) {
            self.claims.remove(&key);
            self.jobs.remove(&key);
        }
    }

    fn write_snapshot(&mut self, context: &mut Context<'_>) {
        let through = self.next_row - 1;
        let (shard, epoch) = (self.id.0, self.epoch.0);
        let object = format!("snapshot/{shard:05}/{epoch}-{through}");
        let Ok(image) = serde_json::to_string(&self.image) else {
            return;
        };
        let row = SnapshotRow {
            object: object.clone(),
            through,
        };
        self.snapshots.phase = SnapshotPhase::Writing(row);
        let call = StoreCall::PutObject {
            name: object,
            content: image,
        };
        context.store(StoreOrder::SnapshotWrite(self.id), call);
    }

    fn point_again(&mut self, context: &mut Context<'_>) {
        self.snapshots.retry_at = Instant(0);
        if let SnapshotPhase::Pointing(row) = self.snapshots.phase.clone() {
            self.point_to_snapshot(context, row);
        }
    }

    fn point_to_snapshot(&mut self, context: &mut Context<'_>, row: SnapshotRow) {
        let transaction = Transaction {
            conditions: vec![
                Condition {
                    key: shard_row_key(self.id),
                    version: self.row_version,
                },
                Condition {
                    key: snapshot_key(self.id),
                    version: self.snapshots.version,
                },
            ],
            writes: vec![Write {
                key: snapshot_key(self.id),
                value: serde_json::to_string(&row).ok(),
            }],
        };
        self.snapshots.phase = SnapshotPhase::Pointing(row);
        let order = StoreOrder::SnapshotRow(self.id);
        context.store(order, StoreCall::Commit(transaction));
    }

    fn snapshot_in_force(&mut self, context: &mut Context<'_>, row: SnapshotRow) {
        self.snapshots.phase = SnapshotPhase::Idle;
        self.snapshots.version.0 += 1;
        let text = format!(
            "Shard {} has a snapshot through {}.",
            self.id.0, row.through
        );
        context.log(PART, text);
        if let Some(old) = self.snapshots.present.replace(row) {
            let call = StoreCall::DeleteObject { name: old.object };
            context.store(StoreOrder::SnapshotDelete(self.id), call);
        }
    }

    fn give_snapshot_up(&mut self, context: &Context<'_>) {
        self.snapshots.phase = SnapshotPhase::Idle;
        self.snapshots.retry_at = context.now.after(RETRY_MS);
    }

    /// Asks for the snapshot row; the image and then the log are read after it.
    pub(super) fn read_snapshot_row(&self, context: &mut Context<'_>) {
        let call = StoreCall::Scan(ScanRequest {
            prefix: snapshot_key(self.id).0,
        });
        context.store(StoreOrder::ShardSnapshotRow(self.id), call);
    }
}
