//! Group commit: records of a shard that came since the last commit go into one row.

use chervilfall_platform::{Condition, Row, RowVersion, ScanRequest, Transaction, Write};
use chervilfall_types::{Reason, ShardId};
use chervilfall_wire::{ClaimAnswer, PeerMessage};

use crate::action::{StoreCall, StoreOrder};
use crate::context::Context;
use crate::event::{StoreFailure, StoreReply};
use crate::ledger::holders::shard_row_key;
use crate::ledger::record::{LogRow, Record};
use crate::ledger::shard::{doubt, refuse, InFlight, Pending, Shard};
use crate::ledger::Ledger;

/// Pause before a commit is tried again while the table is away, in milliseconds.
const RETRY_MS: u64 = 200;

impl Ledger {
    /// Begins commits of shards whose interval has passed.
    pub(super) fn commit_due(&mut self, context: &mut Context<'_>) {
        // The shard after the one that committed last goes first, so that none starves while the
        // budget is short.
        let after = self.last_commit;
        let (first, second): (Vec<ShardId>, Vec<ShardId>) =
            self.shards.keys().partition(|id| **id > after);
        for id in first.into_iter().chain(second) {
            let Some(shard) = self.shards.get_mut(&id) else {
                continue;
            };
            let resolve_at = shard.in_flight.as_ref().and_then(|f| f.resolve_at);
            if resolve_at.is_some_and(|at| context.now >= at) {
                resolve(context, shard);
                continue;
            }
            let due = context.now >= shard.next_commit;
            if !due || shard.in_flight.is_some() || shard.pending.is_empty() {
                continue;
            }
            if !shard.has_slot(ring_rows(context)) {
                continue;
            }
            if !self.budget.take(context.now) {
                return;
            }
            self.commits += 1;
            self.last_commit = id;
            let pending = std::mem::take(&mut shard.pending);
            let row = LogRow {
                writer: context.identity.incarnation,
                epoch: shard.epoch,
                commit: self.commits,
                number: shard.next_row,
                records: pending.iter().map(|p| p.record.clone()).collect(),
            };
            shard.next_commit = context.now.after(context.settings.commit_interval_ms);
            shard.in_flight = Some(InFlight {
                row,
                pending,
                doubted: false,
                resolve_at: None,
            });
            send_commit(context, shard);
        }
    }

    /// Takes the answer to a commit.
    pub(super) fn committed(&mut self, context: &mut Context<'_>, id: ShardId, reply: &StoreReply) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        match reply {
            StoreReply::Commit(Ok(answer)) if answer.conflicts.is_empty() => {
                self.durable(context, id);
            }
            StoreReply::Commit(Ok(answer)) => {
                let lost = answer
                    .conflicts
                    .iter()
                    .any(|conflict| conflict.key == shard_row_key(id));
                if lost {
                    self.drop_shard(context, id);
                } else {
                    // The row is there: an earlier copy of this commit wrote it.
                    resolve(context, shard);
                }
            }
            StoreReply::Commit(Err(StoreFailure::NoEffect)) => self.not_written(context, id),
            _ => {
                doubt_once(context, shard);
                resolve_later(context, shard);
            }
        }
    }

    /// Takes the read that resolves a commit with an unknown outcome.
    pub(super) fn resolved(&mut self, context: &mut Context<'_>, id: ShardId, reply: &StoreReply) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let Some(in_flight) = &shard.in_flight else {
            return;
        };
        let StoreReply::Rows(Ok(rows)) = reply else {
            resolve_later(context, shard);
            return;
        };
        let (key, _) = shard.next_slot(ring_rows(context));
        match rows.iter().find(|row| row.key == key) {
            Some(row) if is_ours(row, &in_flight.row) => self.durable(context, id),
            Some(row) if is_newer(row, &in_flight.row) => self.drop_shard(context, id),
            // A late copy of the write and this repeat can't both take effect.
            Some(_) | None => send_commit(context, shard),
        }
    }

    /// Carries out what waited for a commit.
    fn durable(&mut self, context: &mut Context<'_>, id: ShardId) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let Some(in_flight) = shard.in_flight.take() else {
            return;
        };
        let (key, version) = shard.next_slot(ring_rows(context));
        shard.versions.insert(key, RowVersion(version.0 + 1));
        shard.next_row += 1;
        for pending in &in_flight.pending {
            shard.image.apply(context.now, &pending.record);
        }
        let mut settled = Vec::new();
        for pending in in_flight.pending {
            settled.extend(shard.settled_by(&pending.record));
            if in_flight.doubted && frees_claim(&pending) {
                let Record::Claimed { key, .. } = &pending.record else {
                    continue;
                };
                shard.claims.remove(key);
                let key = key.clone();
                shard.push(Record::Released { key }, Vec::new());
                continue;
            }
            shard.apply_durable(context, &pending.record);
            for (to, message) in pending.then {
                context.send(to, message);
            }
        }
        for key in settled {
            self.job_final(context, &key);
        }
    }

    /// Puts records back that were surely not written, and refuses the requests among them.
    fn not_written(&mut self, context: &mut Context<'_>, id: ShardId) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let Some(in_flight) = shard.in_flight.take() else {
            return;
        };
        if in_flight.doubted {
            // An earlier copy of the commit may have taken effect.
            shard.in_flight = Some(in_flight);
            resolve_later(context, shard);
            return;
        }
        shard.next_commit = context.now.after(RETRY_MS);
        let (requests, facts): (Vec<Pending>, Vec<Pending>) =
            in_flight.pending.into_iter().partition(is_request);
        refuse(context, &requests, Reason::StoreUnavailable);
        for pending in &requests {
            shard.forget_request(&pending.record);
        }
        let later = std::mem::replace(&mut shard.pending, facts);
        shard.pending.extend(later);
    }
}

/// Returns whether a record takes a request that can be refused.
const fn is_request(pending: &Pending) -> bool {
    matches!(
        pending.record,
        Record::Claimed { .. } | Record::Accepted { .. }
    )
}

/// Returns whether a record is a claim whose caller was told that it is refused.
fn frees_claim(pending: &Pending) -> bool {
    let granted = |(_, message): &(_, PeerMessage)| {
        matches!(
            message,
            PeerMessage::Claimed {
                answer: ClaimAnswer::Granted,
                ..
            }
        )
    };
    matches!(pending.record, Record::Claimed { .. }) && pending.then.iter().any(granted)
}

fn doubt_once(context: &mut Context<'_>, shard: &mut Shard) {
    if let Some(in_flight) = &mut shard.in_flight {
        if !in_flight.doubted {
            in_flight.doubted = true;
            doubt(context, &in_flight.pending);
        }
    }
}

/// Returns the number of rows in the ring of a shard's log.
pub(super) fn ring_rows(context: &Context<'_>) -> u64 {
    /// Snapshots that the ring has room for.
    const SNAPSHOTS: u64 = 3;
    context.settings.compact_rows as u64 * SNAPSHOTS
}

fn send_commit(context: &mut Context<'_>, shard: &Shard) {
    let Some(in_flight) = &shard.in_flight else {
        return;
    };
    let (key, version) = shard.next_slot(ring_rows(context));
    let transaction = Transaction {
        conditions: vec![
            Condition {
                key: shard_row_key(shard.id),
                version: shard.row_version,
            },
            Condition {
                key: key.clone(),
                version,
            },
        ],
        writes: vec![Write {
            key,
            value: serde_json::to_string(&in_flight.row).ok(),
        }],
    };
    context.store(StoreOrder::Commit(shard.id), StoreCall::Commit(transaction));
}

fn resolve_later(context: &Context<'_>, shard: &mut Shard) {
    if let Some(in_flight) = &mut shard.in_flight {
        in_flight.resolve_at = Some(context.now.after(RETRY_MS));
    }
}

fn resolve(context: &mut Context<'_>, shard: &mut Shard) {
    if let Some(in_flight) = &mut shard.in_flight {
        in_flight.resolve_at = None;
    }
    let call = StoreCall::Scan(ScanRequest {
        prefix: shard.next_slot(ring_rows(context)).0 .0,
    });
    context.store(StoreOrder::Resolve(shard.id), call);
}

/// Returns whether a row was written by a later holder.
fn is_newer(row: &Row, ours: &LogRow) -> bool {
    serde_json::from_str::<LogRow>(&row.value).is_ok_and(|row| row.epoch > ours.epoch)
}

fn is_ours(row: &Row, ours: &LogRow) -> bool {
    serde_json::from_str::<LogRow>(&row.value)
        .is_ok_and(|row| row.writer == ours.writer && row.commit == ours.commit)
}
