//! Who holds which shard: rows of entry instances and shards in the table.
//!
//! A row of an entry instance that stands still for longer than the entry lease shows an
//! instance that is gone or cut off from the table. The fence is the shard's row: a claim raises
//! its version, and every commit asks for the version of its writer's claim.

use std::collections::BTreeMap;

use chervilfall_platform::{Condition, Row, RowKey, RowVersion, ScanRequest, Transaction, Write};
use chervilfall_types::{EntryId, Epoch, Instant, ShardId};

use crate::action::{StoreCall, StoreOrder};
use crate::context::Context;
use crate::event::StoreReply;
use crate::ledger::record::{EntryRow, ShardRow};
use crate::ledger::Ledger;
use crate::policy::rendezvous;

const PREFIX: &str = "holder/";
const ENTRY_PREFIX: &str = "holder/entry/";
const SHARD_PREFIX: &str = "holder/shard/";

/// Returns the key of a shard's row.
pub(crate) fn shard_row_key(shard: ShardId) -> RowKey {
    RowKey(format!("{SHARD_PREFIX}{:05}", shard.0))
}

#[derive(Debug)]
struct SeenEntry {
    version: RowVersion,
    row: EntryRow,
    changed: Instant,
}

#[derive(Debug, Clone, Default)]
struct SeenShard {
    version: RowVersion,
    row: ShardRow,
}

/// The rows as they were last read.
#[derive(Debug, Default)]
pub(crate) struct Holders {
    entries: BTreeMap<EntryId, SeenEntry>,
    shards: BTreeMap<ShardId, SeenShard>,
    beat: u64,
    next_renewal: Instant,
    writing: bool,
    reading: bool,
    was_read: bool,
    fresh: bool,
    /// When the last read that succeeded was sent.
    read_at: Instant,
    /// Since when reads have succeeded without a gap.
    unbroken_since: Instant,
    shard_writes: BTreeMap<ShardId, ShardWrite>,
}

/// A change of a shard's row that is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ShardWrite {
    Claim { epoch: Epoch, version: RowVersion },
    Release,
}

impl Holders {
    pub(crate) const fn was_read(&self) -> bool {
        self.was_read
    }

    pub(crate) fn entry_row_written(&mut self) {
        self.writing = false;
    }

    /// Returns whether no other instance can have taken a shard that the last read showed as held
    /// here: reads have succeeded for a whole lease without a gap that another could have taken
    /// for the end of this instance.
    pub(crate) const fn is_confirmed(&self, now: Instant, lease_ms: u64) -> bool {
        self.was_read
            && now.since(self.read_at) < lease_ms / 2
            && now.since(self.unbroken_since) >= lease_ms
    }

    fn take(&mut self, rows: &[Row], sent: Instant, lease_ms: u64) {
        if !self.was_read || sent.since(self.read_at) >= lease_ms / 2 {
            self.unbroken_since = sent;
        }
        self.read_at = sent;
        self.was_read = true;
        self.fresh = true;
        for row in rows {
            if row.key.0.starts_with(ENTRY_PREFIX) {
                self.take_entry(row, sent);
            } else if let Some(number) = row.key.0.strip_prefix(SHARD_PREFIX) {
                let Ok(number) = number.parse() else { continue };
                let seen = SeenShard {
                    version: row.version,
                    row: serde_json::from_str(&row.value).unwrap_or_default(),
                };
                self.shards.insert(ShardId(number), seen);
            }
        }
    }

    fn take_entry(&mut self, row: &Row, sent: Instant) {
        let Ok(entry) = serde_json::from_str::<EntryRow>(&row.value) else {
            return;
        };
        let id = entry.incarnation.entry;
        let known = self.entries.get(&id).map(|seen| seen.version);
        if known != Some(row.version) {
            let seen = SeenEntry {
                version: row.version,
                row: entry,
                changed: sent,
            };
            self.entries.insert(id, seen);
        }
    }

    /// Returns the instances whose rows moved within the entry lease.
    fn live(&self, now: Instant, lease_ms: u64) -> impl Iterator<Item = &SeenEntry> {
        self.entries
            .values()
            .filter(move |seen| now.since(seen.changed) < lease_ms)
    }

    /// Returns whether the holder of a shard is gone: it gave the shard back, was restarted, or
    /// its row stands still.
    fn is_free(&self, seen: &SeenShard, now: Instant, lease_ms: u64) -> bool {
        let Some(holder) = seen.row.holder else {
            return true;
        };
        let Some(entry) = self.entries.get(&holder.entry) else {
            return true;
        };
        entry.row.incarnation != holder || now.since(entry.changed) >= lease_ms
    }
}

impl Ledger {
    /// Renews this instance's row and reads all rows when it is time.
    pub(super) fn renew(&mut self, context: &mut Context<'_>) {
        if context.now < self.holders.next_renewal {
            return;
        }
        self.holders.next_renewal = context.now.after(context.settings.entry_renew_ms);
        if !self.holders.reading {
            self.holders.reading = true;
            let call = StoreCall::Scan(ScanRequest {
                prefix: PREFIX.to_owned(),
            });
            context.store(StoreOrder::Holders, call);
        }
        if !self.holders.writing && context.settings.owns {
            self.holders.writing = true;
            self.holders.beat += 1;
            let row = EntryRow {
                incarnation: context.identity.incarnation,
                beat: self.holders.beat,
                eligible: !self.stopping,
            };
            let key = RowKey(format!("{ENTRY_PREFIX}{:05}", context.me().0));
            let write = Write {
                key,
                value: serde_json::to_string(&row).ok(),
            };
            let transaction = Transaction {
                conditions: Vec::new(),
                writes: vec![write],
            };
            context.store(StoreOrder::EntryRow, StoreCall::Commit(transaction));
        }
    }

    /// Takes the rows of entry instances and shards.
    pub(super) fn holders_read(
        &mut self,
        context: &mut Context<'_>,
        sent: Instant,
        reply: StoreReply,
    ) {
        self.holders.reading = false;
        let StoreReply::Rows(Ok(rows)) = reply else {
            return;
        };
        let lease_ms = context.settings.entry_lease_ms;
        self.holders.take(&rows, sent, lease_ms);
        let lost: Vec<ShardId> = self
            .shards
            .values()
            .filter(|shard| {
                let seen = self.holders.shards.get(&shard.id);
                seen.is_some_and(|seen| seen.row.epoch > shard.epoch)
            })
            .map(|shard| shard.id)
            .collect();
        for shard in lost {
            self.drop_shard(context, shard);
        }
    }

    /// Claims shards that should be held here and are free, and gives back those that should not.
    pub(super) fn settle_holders(&mut self, context: &mut Context<'_>) {
        if !std::mem::take(&mut self.holders.fresh) || !context.settings.owns {
            return;
        }
        let lease_ms = context.settings.entry_lease_ms;
        let live: Vec<EntryId> = self
            .holders
            .live(context.now, lease_ms)
            .filter(|seen| seen.row.eligible)
            .map(|seen| seen.row.incarnation.entry)
            .collect();
        for number in 0..context.settings.shards {
            let shard = ShardId(number);
            let seen = self.holders.shards.get(&shard).cloned().unwrap_or_default();
            let winner = rendezvous::winner(&format!("shard-{number}"), live.iter().copied());
            let mine = winner == Some(context.me()) && !self.stopping;
            let held = self.shards.contains_key(&shard);
            let own = seen.row.holder == Some(context.identity.incarnation);
            let elsewhere = !mine && (winner.is_some() || self.stopping);
            if let Some(shard) = self.shards.get_mut(&shard) {
                shard.releasing &= !mine;
            }
            if held && elsewhere {
                self.release_shard(context, shard);
            } else if !held && own && elsewhere {
                // A claim took effect and its answer was lost.
                self.write_release(context, shard, seen.version, seen.row.epoch);
            } else if !held && mine && (own || self.holders.is_free(&seen, context.now, lease_ms)) {
                self.claim_shard(context, shard, &seen);
            }
        }
    }

    fn claim_shard(&mut self, context: &mut Context<'_>, shard: ShardId, seen: &SeenShard) {
        let row = ShardRow {
            holder: Some(context.identity.incarnation),
            epoch: Epoch(seen.row.epoch.0 + 1),
        };
        let write = ShardWrite::Claim {
            epoch: row.epoch,
            version: RowVersion(seen.version.0 + 1),
        };
        self.write_shard_row(context, shard, seen.version, &row, write);
    }

    fn release_shard(&mut self, context: &mut Context<'_>, id: ShardId) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        if !shard.drained_of_commits() {
            shard.releasing = true;
            return;
        }
        let (version, epoch) = (shard.row_version, shard.epoch);
        self.write_release(context, id, version, epoch);
    }

    fn write_release(
        &mut self,
        context: &mut Context<'_>,
        shard: ShardId,
        version: RowVersion,
        epoch: Epoch,
    ) {
        let row = ShardRow {
            holder: None,
            epoch,
        };
        self.write_shard_row(context, shard, version, &row, ShardWrite::Release);
    }

    fn write_shard_row(
        &mut self,
        context: &mut Context<'_>,
        shard: ShardId,
        version: RowVersion,
        row: &ShardRow,
        write: ShardWrite,
    ) {
        if self.holders.shard_writes.contains_key(&shard) || !self.budget.take(context.now) {
            return;
        }
        self.holders.shard_writes.insert(shard, write);
        let key = shard_row_key(shard);
        let transaction = Transaction {
            conditions: vec![Condition {
                key: key.clone(),
                version,
            }],
            writes: vec![Write {
                key,
                value: serde_json::to_string(row).ok(),
            }],
        };
        context.store(StoreOrder::ShardRow(shard), StoreCall::Commit(transaction));
    }

    /// Takes the answer to a change of a shard's row. After an unknown outcome the next read of
    /// the rows shows what holds: an own claim that took effect is claimed anew.
    pub(super) fn shard_row_written(
        &mut self,
        context: &mut Context<'_>,
        shard: ShardId,
        reply: &StoreReply,
    ) {
        let Some(write) = self.holders.shard_writes.remove(&shard) else {
            return;
        };
        let written =
            matches!(reply, StoreReply::Commit(Ok(answer)) if answer.conflicts.is_empty());
        match write {
            ShardWrite::Claim { epoch, version } if written => {
                self.open_shard(context, shard, epoch, version.0);
            }
            ShardWrite::Release if written => self.drop_shard(context, shard),
            ShardWrite::Claim { .. } | ShardWrite::Release => {
                self.holders.next_renewal = context.now.after(100);
            }
        }
    }
}
