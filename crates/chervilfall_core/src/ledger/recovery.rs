//! Recovery: a new holder reads the log, then finds running attempts before it places any.

use chervilfall_platform::Row;
use chervilfall_types::{EntryId, Epoch, RequestKey, ShardId};
use chervilfall_wire::PeerMessage;

use crate::context::Context;
use crate::event::StoreReply;
use crate::ledger::image::{ClaimImage, JobImage};
use crate::ledger::job::{Job, TaskPhase};
use crate::ledger::record::LogRow;
use crate::ledger::shard::{Claim, Shard, ShardPhase};
use crate::ledger::{Ledger, LedgerSurroundings, PART};
use crate::members::Members;

impl Ledger {
    /// Takes the log of a shard and begins to serve it.
    pub(super) fn log_read(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        id: ShardId,
        reply: &StoreReply,
    ) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let StoreReply::Rows(Ok(rows)) = reply else {
            shard.load_later(context);
            return;
        };
        shard.load(context, rows);
        let text = format!(
            "Serves shard {} with {} jobs and {} claims.",
            id.0,
            shard.jobs.len(),
            shard.claims.len()
        );
        context.log(PART, text);
        let epoch = shard.epoch;
        self.set_phase(id, ShardPhase::Serving);
        let mut peers = members.connected_peers(context.me());
        peers.push(context.me());
        for peer in peers {
            context.send(peer, PeerMessage::Inquire { shard: id, epoch });
        }
    }

    /// Takes the word of an instance that it has reported all attempts of a shard.
    pub(crate) fn inquired(&mut self, from: EntryId, id: ShardId, epoch: Epoch) {
        if let Some(shard) = self.shards.get_mut(&id) {
            if shard.epoch == epoch {
                shard.inquired.insert(from);
            }
        }
    }

    /// Settles tasks of which it is now known that no attempt runs.
    pub(super) fn recover(
        &mut self,
        context: &mut Context<'_>,
        around: &mut LedgerSurroundings<'_>,
    ) {
        let mut settled: Vec<(ShardId, RequestKey, u32)> = Vec::new();
        for shard in self.shards.values().filter(|shard| shard.is_active()) {
            for (key, job) in &shard.jobs {
                let doubtful = doubtful_tasks(context, job);
                if doubtful.is_empty() {
                    continue;
                }
                let reported = |entry| shard.inquired.contains(&entry);
                let covered =
                    around
                        .directory
                        .is_covered(context, around.members, &job.domain, reported);
                if covered {
                    settled.extend(doubtful.into_iter().map(|t| (shard.id, key.clone(), t)));
                }
            }
        }
        for (shard, key, task) in settled {
            self.settle_task(context, around, shard, &key, task);
            self.check_gang(context, shard, &key);
        }
    }

    /// Puts a task back in line of which no attempt runs, or gives it up if it may have run and
    /// must not run again.
    fn settle_task(
        &mut self,
        context: &mut Context<'_>,
        around: &mut LedgerSurroundings<'_>,
        id: ShardId,
        key: &RequestKey,
        index: u32,
    ) {
        let job = self.shards.get_mut(&id).and_then(|s| s.jobs.get_mut(key));
        let Some(job) = job else {
            return;
        };
        let may_repeat = job.may_repeat();
        let task = &mut job.tasks[index as usize];
        let never_out = task.phase == TaskPhase::Recovering && !task.logged && !task.started;
        task.started |= !never_out;
        let outcome = task.given_up();
        if job.cancelled {
            self.end_task(id, key, index, outcome, Vec::new());
        } else if never_out || may_repeat {
            self.wait_again(context, around.rng, id, key, index, false);
        } else {
            self.end_task(id, key, index, outcome, Vec::new());
        }
    }
}

/// Returns the tasks of which an attempt may run unseen, and can't start any more.
fn doubtful_tasks(context: &Context<'_>, job: &Job) -> Vec<u32> {
    (0..)
        .zip(&job.tasks)
        .filter(|(_, task)| match &task.phase {
            TaskPhase::Recovering => true,
            TaskPhase::Out(out) => out.lost && context.now > out.start_by,
            TaskPhase::Waiting | TaskPhase::Ended(_) => false,
        })
        .map(|(index, _)| index)
        .collect()
}

impl Shard {
    /// Takes the rows of the log that are newer than the image, and makes the shard's state.
    fn load(&mut self, context: &Context<'_>, rows: &[Row]) {
        let mut log = Vec::new();
        for row in rows {
            self.versions.insert(row.key.clone(), row.version);
            log.extend(serde_json::from_str::<LogRow>(&row.value));
        }
        log.retain(|row| row.number > self.snapshots.through());
        log.sort_by_key(|row| row.number);
        self.next_row = self.snapshots.through() + 1;
        for row in log {
            self.next_row = row.number + 1;
            for record in &row.records {
                self.image.apply(context.now, record);
            }
        }
        self.image.restart_retention(context.now);
        self.claims = self.image.claims.iter().map(claim_of).collect();
        let jobs = self.image.jobs.iter();
        self.jobs = jobs
            .map(|(key, job)| (key.clone(), job_of(context, job)))
            .collect();
    }
}

fn claim_of((key, claim): (&RequestKey, &ClaimImage)) -> (RequestKey, Claim) {
    let claim = Claim {
        digest: claim.digest,
        by: claim.by,
        outcome: claim.outcome.clone(),
    };
    (key.clone(), claim)
}

/// Returns a job whose tasks that have not ended have yet to be found.
fn job_of(context: &Context<'_>, image: &JobImage) -> Job {
    let request = image.request.clone();
    let mut job = Job::new(request, image.digest, image.domain.clone(), context.now);
    job.durable = true;
    job.cancelled = image.cancelled;
    job.note(context.now, "Recovered from the log.".to_owned());
    // The log tells the first placement only of tasks that must not run again.
    let may_repeat = job.may_repeat();
    for (index, task) in (0..).zip(&mut job.tasks) {
        task.logged = image.logged.contains(&index);
        task.started = may_repeat;
        task.phase = match image.ended.get(&index) {
            Some(outcome) => TaskPhase::Ended(outcome.clone()),
            None => TaskPhase::Recovering,
        };
    }
    job
}
