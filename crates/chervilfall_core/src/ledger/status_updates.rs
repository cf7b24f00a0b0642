//! Status updates of attempts at tasks, and what follows from them.

use chervilfall_types::{
    AttemptKey, EndpointName, EntryId, Epoch, RequestKey, ShardId, TaskKey, WorkClass,
};
use chervilfall_wire::{AttemptEnd, AttemptState, PeerMessage};
use rand::rngs::SmallRng;

use crate::context::Context;
use crate::ledger::job::{Job, Out, Task, TaskPhase};
use crate::ledger::record::{Record, TaskOutcome};
use crate::ledger::shard::Shard;
use crate::ledger::Ledger;
use crate::policy::backoff;
use crate::policy::shard_map::shard_of;

/// What becomes of a task whose attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Next {
    /// Its outcome is final.
    End(TaskOutcome),
    /// Another attempt follows; the flag says whether this one counts as a failure.
    Again { failed: bool },
}

impl Ledger {
    /// Handles a status update of an attempt at a task.
    pub(crate) fn handle_status_update(
        &mut self,
        context: &mut Context<'_>,
        rng: &mut SmallRng,
        from: EntryId,
        attempt: &AttemptKey,
        state: AttemptState,
    ) {
        let key = &attempt.task.request;
        let id = shard_of(key, context.settings.shards);
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        if !shard.is_active() {
            return;
        }
        let Some(job) = shard.jobs.get_mut(key) else {
            refuse_status_update(context, from, attempt, &state);
            return;
        };
        let index = attempt.task.index as usize;
        if job
            .tasks
            .get(index)
            .is_none_or(|task| !may_concern(task, attempt))
        {
            if !shard.awaits_commit_of(attempt) {
                refuse_status_update(context, from, attempt, &state);
            }
            return;
        }
        match state {
            AttemptState::Waiting => job.seen(context, from, attempt, None),
            AttemptState::Running { endpoint, epoch } => {
                if job.has_seen_newer(attempt, &endpoint, epoch) {
                    return;
                }
                job.first_start.get_or_insert(context.now);
                job.last_endpoint = Some(endpoint.clone());
                let text = format!("Task {index} runs on {endpoint}.");
                job.note(context.now, text);
                job.tasks[index].started = true;
                job.seen(context, from, attempt, Some((endpoint, epoch)));
            }
            AttemptState::Astray(_) => {
                if let TaskPhase::Out(out) = &mut job.tasks[index].phase {
                    out.lost |= out.owner == from;
                }
                return;
            }
            AttemptState::Ended { end, endpoint, .. } => {
                if endpoint.is_some() {
                    job.first_start.get_or_insert(context.now);
                    job.last_endpoint = endpoint;
                }
                self.task_ended(context, rng, from, attempt, &end);
                return;
            }
        }
        let withdraw = job.cancelled || job.aborting;
        if withdraw {
            context.send(from, PeerMessage::Withdraw(attempt.clone()));
        }
    }

    fn task_ended(
        &mut self,
        context: &mut Context<'_>,
        rng: &mut SmallRng,
        from: EntryId,
        attempt: &AttemptKey,
        end: &AttemptEnd,
    ) {
        let key = &attempt.task.request;
        let id = shard_of(key, context.settings.shards);
        let index = attempt.task.index;
        let Some(job) = self.shards.get_mut(&id).and_then(|s| s.jobs.get_mut(key)) else {
            return;
        };
        let text = format!("Task {index}: {}.", described(end));
        job.note(context.now, text);
        let task = &mut job.tasks[index as usize];
        task.started |= !matches!(end, AttemptEnd::NotRun { .. });
        let is_out = matches!(task.phase, TaskPhase::Out(_));
        let task = task.clone();
        let next = next(job, &task, end, context.settings.task_attempts);
        match next {
            Next::End(outcome) => {
                let ack = PeerMessage::Acknowledge(attempt.clone());
                self.end_task(id, key, index, outcome, vec![(from, ack)]);
            }
            Next::Again { failed } => {
                context.send(from, PeerMessage::Acknowledge(attempt.clone()));
                // While it is not known which attempt is out, the end of one says nothing of
                // the others.
                if is_out {
                    self.wait_again(context, rng, id, key, index, failed);
                }
            }
        }
        self.check_gang(context, id, key);
    }

    /// Records the final outcome of a task.
    pub(super) fn end_task(
        &mut self,
        id: ShardId,
        key: &RequestKey,
        task: u32,
        outcome: TaskOutcome,
        then: Vec<(EntryId, PeerMessage)>,
    ) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let Some(job) = shard.jobs.get_mut(key) else {
            return;
        };
        job.tasks[task as usize].phase = TaskPhase::Ended(outcome.clone());
        let record = Record::TaskEnded {
            key: key.clone(),
            task,
            outcome,
        };
        shard.push(record, then);
    }

    /// Puts a task that does not run back in line after a backoff.
    pub(super) fn wait_again(
        &mut self,
        context: &Context<'_>,
        rng: &mut SmallRng,
        id: ShardId,
        key: &RequestKey,
        index: u32,
        failed: bool,
    ) {
        let job = self.shards.get_mut(&id).and_then(|s| s.jobs.get_mut(key));
        let Some(task) = job.and_then(|job| job.tasks.get_mut(index as usize)) else {
            return;
        };
        task.phase = TaskPhase::Waiting;
        task.failures += u32::from(failed);
        let base_ms = context.settings.task_backoff_ms;
        let delay_ms = backoff::delay_ms(base_ms, task.failures.max(1), rng);
        let at = context.now.after(delay_ms);
        self.ready_again.set(at, (id, key.clone(), index));
    }

    /// Withdraws the rest of a gang of which a task did not start or run, and starts it anew
    /// once nothing of it runs.
    pub(super) fn check_gang(&mut self, context: &mut Context<'_>, id: ShardId, key: &RequestKey) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let Some(job) = shard.jobs.get_mut(key) else {
            return;
        };
        if job.request.work.class != WorkClass::Gang || job.cancelled || job.is_final() {
            return;
        }
        let waits = |task: &Task| task.phase == TaskPhase::Waiting;
        if !job.tasks.iter().any(waits) {
            return;
        }
        if !job.aborting {
            job.aborting = true;
            for (owner, attempt) in job.attempts_out() {
                context.send(owner, PeerMessage::Withdraw(attempt));
            }
        }
        let out = |task: &Task| matches!(task.phase, TaskPhase::Out(_) | TaskPhase::Recovering);
        if job.tasks.iter().any(out) {
            return;
        }
        let ended = |task: &Task| task.phase != TaskPhase::Waiting;
        if job.tasks.iter().any(ended) {
            for task in &mut job.tasks {
                task.phase = TaskPhase::Waiting;
            }
            shard.push(Record::GangReset { key: key.clone() }, Vec::new());
            let at = context.now.after(context.settings.task_backoff_ms);
            self.ready_again.set(at, (id, key.clone(), 0));
        }
    }
}

impl Shard {
    /// Returns whether a task's end is known but not durable: until it is, whoever remembers the
    /// attempt must not forget it.
    fn awaits_commit_of(&self, attempt: &AttemptKey) -> bool {
        let TaskKey { request, index } = &attempt.task;
        let job = self.jobs.get(request);
        let task = job.and_then(|job| job.tasks.get(*index as usize));
        let ended = task.is_some_and(|task| matches!(task.phase, TaskPhase::Ended(_)));
        let image = self.image.jobs.get(request);
        ended && image.is_some_and(|image| !image.ended.contains_key(index))
    }
}

impl Job {
    /// Notes where an attempt is.
    fn seen(
        &mut self,
        context: &Context<'_>,
        owner: EntryId,
        attempt: &AttemptKey,
        place: Option<(EndpointName, Epoch)>,
    ) {
        let task = &mut self.tasks[attempt.task.index as usize];
        let start_by = match &task.phase {
            TaskPhase::Out(out) => out.start_by,
            _ => context.now.after(context.settings.queue_ms),
        };
        task.phase = TaskPhase::Out(Out {
            attempt: attempt.clone(),
            owner,
            start_by,
            place,
            lost: false,
        });
    }

    /// Returns whether a later owner of the endpoint has reported the attempt.
    fn has_seen_newer(&self, attempt: &AttemptKey, endpoint: &EndpointName, epoch: Epoch) -> bool {
        match &self.tasks[attempt.task.index as usize].phase {
            TaskPhase::Out(out) => out
                .place
                .as_ref()
                .is_some_and(|(known, newest)| known == endpoint && *newest > epoch),
            _ => false,
        }
    }
}

/// Returns whether a status update of an attempt may concern a task: the attempt is the one that is out, or
/// none is known to be.
fn may_concern(task: &Task, attempt: &AttemptKey) -> bool {
    match &task.phase {
        TaskPhase::Waiting | TaskPhase::Recovering => true,
        TaskPhase::Out(out) => out.attempt == *attempt,
        TaskPhase::Ended(_) => false,
    }
}

/// Has an owner forget an attempt that no longer matters, or stop it.
fn refuse_status_update(
    context: &mut Context<'_>,
    from: EntryId,
    attempt: &AttemptKey,
    state: &AttemptState,
) {
    let message = match state {
        AttemptState::Ended { .. } => PeerMessage::Acknowledge(attempt.clone()),
        AttemptState::Waiting | AttemptState::Running { .. } => {
            PeerMessage::Withdraw(attempt.clone())
        }
        AttemptState::Astray(_) => return,
    };
    context.send(from, message);
}

fn next(job: &Job, task: &Task, end: &AttemptEnd, max_failures: u32) -> Next {
    let service = job.request.work.class == WorkClass::Service;
    let tries_left = task.failures + 1 < max_failures;
    match end {
        AttemptEnd::NotRun { .. } if job.cancelled => Next::End(task.given_up()),
        AttemptEnd::NotRun { .. } => Next::Again { failed: false },
        _ if job.cancelled => Next::End(ended_outcome(end)),
        _ if service => Next::Again { failed: true },
        AttemptEnd::Ran(result) => Next::End(TaskOutcome::Ran(result.clone())),
        AttemptEnd::Failed(_) if job.may_repeat() && tries_left => Next::Again { failed: true },
        AttemptEnd::Failed(message) => Next::End(TaskOutcome::Failed(message.clone())),
        AttemptEnd::MayHaveRun(_) | AttemptEnd::Stopped if job.may_repeat() => {
            Next::Again { failed: false }
        }
        AttemptEnd::MayHaveRun(_) | AttemptEnd::Stopped => Next::End(TaskOutcome::MayHaveRun),
    }
}

fn ended_outcome(end: &AttemptEnd) -> TaskOutcome {
    match end {
        AttemptEnd::Ran(result) => TaskOutcome::Ran(result.clone()),
        AttemptEnd::Failed(message) => TaskOutcome::Failed(message.clone()),
        AttemptEnd::NotRun { .. } => TaskOutcome::NotRun,
        AttemptEnd::MayHaveRun(_) | AttemptEnd::Stopped => TaskOutcome::MayHaveRun,
    }
}

fn described(end: &AttemptEnd) -> String {
    match end {
        AttemptEnd::Ran(_) => "ran".to_owned(),
        AttemptEnd::Failed(message) => format!("failed: {message}"),
        AttemptEnd::NotRun { reason, .. } => format!("did not run: {reason:?}"),
        AttemptEnd::MayHaveRun(reason) => format!("may have run: {reason:?}"),
        AttemptEnd::Stopped => "was stopped".to_owned(),
    }
}
