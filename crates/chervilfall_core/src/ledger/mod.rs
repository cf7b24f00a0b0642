//! The ledger: shards of the request keys, held through the table, with a log each.
//!
//! The holder of a shard claims keys of non-idempotent calls, accepts jobs durably and supervises
//! their tasks. Every commit is conditional on the shard's row, so a holder that was replaced
//! can't write.

mod claims;
mod commit;
mod dispatch;
mod holders;
mod image;
mod job;
mod record;
mod recovery;
mod shard;
mod snapshot;
mod status_updates;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use chervilfall_types::{
    Answer, EntryId, Epoch, ExplainEvent, Instant, Phase, Reason, RequestKey, ShardId, Verdict,
    WorkClass,
};
use chervilfall_wire::{Fetched, PeerMessage, ShardClaim};
use rand::rngs::SmallRng;

use crate::action::StoreOrder;
use crate::context::Context;
use crate::directory::Directory;
use crate::event::StoreReply;
use crate::members::Members;
use crate::policy::shard_map::shard_of;
use crate::policy::write_budget::WriteBudget;
use crate::rpc::RequestReport;
use crate::timers::Timers;

use holders::Holders;
use shard::{Shard, ShardPhase};

/// Prefix of the log lines.
const PART: &str = "ledger";

/// What the ledger reads but does not own.
pub(crate) struct LedgerSurroundings<'a> {
    pub(crate) members: &'a mut Members,
    pub(crate) directory: &'a Directory,
    pub(crate) rng: &'a mut SmallRng,
}

/// A task of a job.
type TaskRef = (ShardId, RequestKey, u32);

/// Shards of the request keys.
#[derive(Debug)]
pub(crate) struct Ledger {
    holders: Holders,
    shards: BTreeMap<ShardId, Shard>,
    watchers: HashMap<RequestKey, BTreeSet<EntryId>>,
    ready_again: Timers<TaskRef>,
    budget: WriteBudget,
    commits: u64,
    last_commit: ShardId,
    /// Whether the table answered the last call.
    reachable: bool,
    next_check: Instant,
    stopping: bool,
    /// Jobs that became final since the engine last asked.
    finished: Vec<FinishedJob>,
}

/// A job that became final.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FinishedJob {
    pub(crate) class: WorkClass,
    /// Whether all its tasks ran, and none failed.
    pub(crate) succeeded: bool,
    /// Time from acceptance to the first start, in milliseconds.
    pub(crate) waited_ms: u64,
}

impl Ledger {
    pub(crate) fn new(table_writes_per_s: u32) -> Self {
        Self {
            holders: Holders::default(),
            shards: BTreeMap::new(),
            watchers: HashMap::new(),
            ready_again: Timers::new(),
            budget: WriteBudget::new(table_writes_per_s),
            commits: 0,
            last_commit: ShardId(0),
            reachable: false,
            next_check: Instant(0),
            stopping: false,
            finished: Vec::new(),
        }
    }

    /// Does what is due.
    pub(crate) fn tick(&mut self, context: &mut Context<'_>, around: &mut LedgerSurroundings<'_>) {
        self.renew(context);
        self.settle_holders(context);
        self.ready_tasks(context.now);
        self.load_again(context);
        if context.now >= self.next_check {
            self.next_check = context.now.after(100);
            self.recover(context, around);
        }
        self.dispatch(context, around);
        self.commit_due(context);
        self.compact(context);
    }

    /// Takes an answer of the platform.
    pub(crate) fn store(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        order: StoreOrder,
        sent: Instant,
        reply: StoreReply,
    ) {
        self.reachable = !matches!(reply, StoreReply::Commit(Err(_)) | StoreReply::Rows(Err(_)));
        match order {
            StoreOrder::Holders => self.holders_read(context, sent, reply),
            StoreOrder::EntryRow => self.holders.entry_row_written(),
            StoreOrder::ShardRow(shard) => self.shard_row_written(context, shard, &reply),
            StoreOrder::ShardSnapshotRow(shard) => {
                if let Some(shard) = self.shards.get_mut(&shard) {
                    shard.snapshot_row_read(context, &reply);
                }
            }
            StoreOrder::ShardSnapshot(shard) => {
                if let Some(shard) = self.shards.get_mut(&shard) {
                    shard.snapshot_read(context, &reply);
                }
            }
            StoreOrder::ShardLog(shard) => self.log_read(context, members, shard, &reply),
            StoreOrder::SnapshotWrite(shard) => self.snapshot_written(context, shard, &reply),
            StoreOrder::SnapshotRow(shard) => self.snapshot_pointed(context, shard, &reply),
            StoreOrder::Commit(shard) => self.committed(context, shard, &reply),
            StoreOrder::Resolve(shard) => self.resolved(context, shard, &reply),
            _ => {}
        }
    }

    /// Refuses new work from now on, and gives the shards back once their commits are done.
    pub(crate) fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns whether no shard is held.
    pub(crate) fn is_idle(&self) -> bool {
        self.shards.is_empty()
    }

    /// Returns whether the table answered the last call.
    pub(crate) const fn reachable(&self) -> bool {
        self.reachable
    }

    /// Returns whether the shard rows were read once.
    pub(crate) const fn synced(&self) -> bool {
        self.holders.was_read()
    }

    /// Returns the shards that are held, those that are being given back included: until they are
    /// given back, status updates of their tasks belong here.
    pub(crate) fn claims(&self) -> Vec<ShardClaim> {
        self.shards
            .values()
            .filter(|shard| shard.is_active())
            .map(|shard| ShardClaim {
                shard: shard.id,
                epoch: shard.epoch,
            })
            .collect()
    }

    /// Returns the shard of a key if it is held and usable here.
    fn serving(&mut self, context: &Context<'_>, key: &RequestKey) -> Option<&mut Shard> {
        let shard = shard_of(key, context.settings.shards);
        let shard = self.shards.get_mut(&shard)?;
        shard.is_serving().then_some(shard)
    }

    /// Returns what is known of a key.
    pub(crate) fn known(
        &mut self,
        context: &Context<'_>,
        key: &RequestKey,
    ) -> Option<(Answer, Vec<ExplainEvent>)> {
        let now = context.now;
        let shard = self.serving(context, key)?;
        if let Some(job) = shard.jobs.get(key) {
            return Some((job.answer(key, now), job.history.clone()));
        }
        // The call of a claimed key may run until its outcome is known.
        let claim = shard.claims.get(key)?;
        let pending = || Answer::pending(key.clone(), Phase::Queued);
        let answer = claim.outcome.clone().unwrap_or_else(pending);
        Some((answer, Vec::new()))
    }

    /// Returns whether the shard of a key is surely held here, so that a key that is not known
    /// here is known nowhere.
    pub(crate) fn is_authoritative(&mut self, context: &Context<'_>, key: &RequestKey) -> bool {
        let lease_ms = context.settings.entry_lease_ms;
        self.holders.is_confirmed(context.now, lease_ms) && self.serving(context, key).is_some()
    }

    /// Has an instance told the final answer of a job.
    pub(crate) fn watch(&mut self, key: &RequestKey, watcher: EntryId) {
        self.watchers
            .entry(key.clone())
            .or_default()
            .insert(watcher);
    }

    /// Returns the jobs that became final since the last call.
    pub(crate) fn take_finished(&mut self) -> Vec<FinishedJob> {
        std::mem::take(&mut self.finished)
    }

    /// Notes that a job is settled, and tells those who wait its answer.
    fn job_final(&mut self, context: &mut Context<'_>, key: &RequestKey) {
        let id = shard_of(key, context.settings.shards);
        let job = self.shards.get(&id).and_then(|shard| shard.jobs.get(key));
        let Some(answer) = job.map(|job| job.answer(key, context.now)) else {
            return;
        };
        // What its caller took back, a retired service among it, missed no objective.
        if let Some(job) = job.filter(|job| !job.cancelled) {
            self.finished.push(FinishedJob {
                class: job.request.work.class,
                succeeded: answer.verdict == Some(Verdict::Ran) && answer.reason.is_none(),
                waited_ms: answer.waited_ms.unwrap_or(0),
            });
        }
        self.notify_watchers(context, key, &answer);
    }

    /// Tells instances that wait for the final answer of a request.
    fn notify_watchers(&mut self, context: &mut Context<'_>, key: &RequestKey, answer: &Answer) {
        for watcher in self.watchers.remove(key).unwrap_or_default() {
            let fetched = Fetched {
                key: key.clone(),
                answer: Some(Box::new(answer.clone())),
                authoritative: true,
                history: Vec::new(),
            };
            context.send(watcher, PeerMessage::Fetched(Box::new(fetched)));
        }
    }

    pub(crate) fn reports(&self, now: Instant) -> Vec<RequestReport> {
        let jobs = self.shards.values().flat_map(|shard| shard.jobs.iter());
        jobs.map(|(key, job)| {
            let answer = job.answer(key, now);
            RequestReport {
                key: key.clone(),
                team: job.request.team.clone(),
                class: job.request.work.class.name(),
                phase: answer.phase,
                verdict: answer.verdict,
                tasks: answer.tasks,
            }
        })
        .collect()
    }

    /// Tells an instance that a link came up to all shards held here, which has it report their
    /// attempts.
    pub(crate) fn peer_up(&mut self, context: &mut Context<'_>, entry: EntryId) {
        for shard in self.shards.values_mut().filter(|shard| shard.is_active()) {
            shard.inquired.remove(&entry);
            let message = PeerMessage::Inquire {
                shard: shard.id,
                epoch: shard.epoch,
            };
            context.send(entry, message);
        }
    }

    /// Marks attempts whose owner can't be reached.
    pub(crate) fn peer_down(&mut self, entry: EntryId) {
        for shard in self.shards.values_mut() {
            shard.inquired.remove(&entry);
            for job in shard.jobs.values_mut() {
                job.owner_lost(entry);
            }
        }
    }

    /// Takes the word of an instance that a newer holder of a shard has asked it.
    pub(crate) fn fenced(&mut self, context: &mut Context<'_>, shard: ShardId, epoch: Epoch) {
        let older = self
            .shards
            .get(&shard)
            .is_some_and(|held| held.epoch < epoch);
        if older {
            self.drop_shard(context, shard);
        }
    }

    /// Gives up a shard that another instance holds now.
    fn drop_shard(&mut self, context: &mut Context<'_>, id: ShardId) {
        let Some(shard) = self.shards.remove(&id) else {
            return;
        };
        context.log(PART, format!("Lost shard {}.", id.0));
        shard.refuse_pending(context, Reason::StoreUnavailable);
    }

    /// Begins to use a claimed shard: reads its log.
    fn open_shard(&mut self, context: &mut Context<'_>, id: ShardId, epoch: Epoch, version: u64) {
        context.log(PART, format!("Holds shard {} at epoch {}.", id.0, epoch.0));
        let shard = Shard::new(id, epoch, version);
        shard.read_snapshot_row(context);
        self.shards.insert(id, shard);
    }

    fn set_phase(&mut self, id: ShardId, phase: ShardPhase) {
        if let Some(shard) = self.shards.get_mut(&id) {
            shard.phase = phase;
        }
    }
}
