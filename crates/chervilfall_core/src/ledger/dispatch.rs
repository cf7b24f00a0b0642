//! Dispatch of tasks to owners of the job's failure domain.

use chervilfall_types::{EntryId, Epoch, Instant, RemoteInstant, RequestKey, ShardId, WorkClass};
use chervilfall_wire::{AttemptSpec, GangPlacement, PeerMessage, Placement, Requester};

use crate::context::Context;
use crate::ledger::job::{Job, Out, TaskPhase};
use crate::ledger::record::Record;
use crate::ledger::shard::Shard;
use crate::ledger::{Ledger, LedgerSurroundings};
use crate::policy::route::{self, RouteScope};
use crate::remote_clock::RemoteClock;

/// Most tasks that are dispatched between two events, so that the control thread stays quick.
const MAX_DISPATCHED: usize = 256;

/// The owner to which a task is sent.
#[derive(Debug, Clone, Copy)]
struct Chosen {
    owner: EntryId,
    clock: RemoteClock,
    start_by: Instant,
}

impl Ledger {
    /// Puts tasks back in line whose backoff has passed.
    pub(super) fn ready_tasks(&mut self, now: Instant) {
        while let Some((shard, key, task)) = self.ready_again.pop(now) {
            let Some(shard) = self.shards.get_mut(&shard) else {
                continue;
            };
            let Some(job) = shard.jobs.get_mut(&key) else {
                continue;
            };
            let waits = job
                .tasks
                .get(task as usize)
                .is_some_and(|task| task.phase == TaskPhase::Waiting);
            if !waits {
                continue;
            }
            if !job.ready.contains(&task) {
                job.ready.push_back(task);
            }
            shard.ready.insert(key);
        }
    }

    /// Sends ready tasks to owners.
    pub(super) fn dispatch(
        &mut self,
        context: &mut Context<'_>,
        around: &mut LedgerSurroundings<'_>,
    ) {
        let mut left = MAX_DISPATCHED;
        for shard in self.shards.values_mut() {
            let keys: Vec<RequestKey> = shard.ready.iter().cloned().collect();
            for key in keys {
                if left == 0 {
                    return;
                }
                if shard.dispatch_job(context, around, &key, &mut left) {
                    shard.ready.remove(&key);
                }
            }
        }
    }
}

impl Shard {
    /// Dispatches what is ready of a job; returns whether nothing of it is left in line.
    fn dispatch_job(
        &mut self,
        context: &mut Context<'_>,
        around: &mut LedgerSurroundings<'_>,
        key: &RequestKey,
        left: &mut usize,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(key) else {
            return true;
        };
        if job.request.work.class == WorkClass::Gang {
            return self.dispatch_gang(context, around, key, left);
        }
        if !job.may_repeat() {
            self.log_first_dispatch(key);
        }
        while *left > 0 {
            let Some(job) = self.jobs.get_mut(key) else {
                return true;
            };
            let Some(index) = job.ready.pop_front() else {
                return true;
            };
            if !is_waiting(job, index) {
                continue;
            }
            let Some(chosen) = choose(context, around, job) else {
                job.ready.push_front(index);
                return false;
            };
            let Some(spec) = out_spec(job, index, self.id, self.epoch, chosen) else {
                continue;
            };
            *left -= 1;
            let start_by = bound(context, chosen);
            let placement = Box::new(Placement { spec, start_by });
            context.send(chosen.owner, PeerMessage::Place(placement));
        }
        false
    }

    /// Writes to the log that tasks may run from now on; they come back in line once that is
    /// durable.
    fn log_first_dispatch(&mut self, key: &RequestKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let (logged, first): (Vec<u32>, Vec<u32>) =
            job.ready.iter().partition(|index| is_logged(job, **index));
        job.ready = logged.into();
        if !first.is_empty() {
            let record = Record::Dispatched {
                key: key.clone(),
                tasks: first,
            };
            self.push(record, Vec::new());
        }
    }

    /// Dispatches a gang once all its tasks wait.
    fn dispatch_gang(
        &mut self,
        context: &mut Context<'_>,
        around: &mut LedgerSurroundings<'_>,
        key: &RequestKey,
        left: &mut usize,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(key) else {
            return true;
        };
        let all_wait = (0..).take(job.tasks.len()).all(|i| is_waiting(job, i));
        if !all_wait || job.cancelled {
            return true;
        }
        if !job.may_repeat() && !job.tasks.iter().all(|task| task.logged) {
            job.all_ready();
            self.log_first_dispatch(key);
            return true;
        }
        let Some(chosen) = choose(context, around, job) else {
            return false;
        };
        job.ready.clear();
        job.aborting = false;
        let count = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
        let specs = (0..count)
            .filter_map(|index| out_spec(job, index, self.id, self.epoch, chosen))
            .collect();
        *left = left.saturating_sub(job.tasks.len());
        let start_by = bound(context, chosen);
        let placement = Box::new(GangPlacement { specs, start_by });
        context.send(chosen.owner, PeerMessage::PlaceGang(placement));
        true
    }
}

fn is_waiting(job: &Job, index: u32) -> bool {
    job.tasks
        .get(index as usize)
        .is_some_and(|task| task.phase == TaskPhase::Waiting)
}

fn is_logged(job: &Job, index: u32) -> bool {
    job.tasks
        .get(index as usize)
        .is_some_and(|task| task.logged)
}

fn choose(context: &Context<'_>, around: &mut LedgerSurroundings<'_>, job: &Job) -> Option<Chosen> {
    let scope = RouteScope {
        me: context.me(),
        domain: Some(&job.domain),
        avoid: None,
    };
    let need = job.request.work.resources;
    let owner = route::choose(around.members, scope, &need, around.rng)?;
    let member = around.members.get_mut(owner)?;
    member.forwarded += 1;
    Some(Chosen {
        owner,
        clock: member.clock?,
        start_by: context.now.after(context.settings.queue_ms),
    })
}

fn bound(context: &Context<'_>, chosen: Chosen) -> RemoteInstant {
    let drift_ppm = context.settings.clock_drift_ppm;
    chosen.clock.bound(chosen.start_by, drift_ppm)
}

/// Marks a task as out and returns the attempt to place.
fn out_spec(
    job: &mut Job,
    index: u32,
    shard: ShardId,
    epoch: Epoch,
    chosen: Chosen,
) -> Option<AttemptSpec> {
    let attempt = job.next_attempt(index, epoch)?;
    let work = &job.request.work;
    let spec = AttemptSpec {
        key: attempt.clone(),
        requester: Requester::Shard { shard, epoch },
        class: work.class,
        priority: work.priority,
        team: job.request.team.clone(),
        service: work.service.clone(),
        resources: work.resources,
        run_ms: work.run_ms,
        payload: work.payload.clone(),
    };
    job.tasks[index as usize].phase = TaskPhase::Out(Out {
        attempt,
        owner: chosen.owner,
        start_by: chosen.start_by,
        place: None,
        lost: false,
    });
    Some(spec)
}
