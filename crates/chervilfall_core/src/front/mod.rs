//! The front half: takes requests of callers, sends them where they are served, and answers.

mod call;
mod lookup;
mod outcomes;

use std::collections::{BTreeMap, BTreeSet};

use chervilfall_types::{
    Answer, AttemptKey, EntryId, ExplainEvent, Instant, Phase, Reason, Request, RequestKey,
    Verdict, WorkClass,
};
use chervilfall_wire::{Fetched, PeerMessage, RequestDigest};
use rand::rngs::SmallRng;

use crate::burn::Burn;
use crate::context::Context;
use crate::directory::Directory;
use crate::members::Members;
use crate::policy::retry_budget::RetryBudget;
use crate::policy::shard_map::{digest, shard_of};
use crate::rpc::{RequestReport, RpcReply, Ticket};
use crate::timers::Timers;

use lookup::Lookups;
use outcomes::Outcomes;

/// When to come back while no instance holds the shard of a key, in milliseconds.
const NO_HOLDER_RETRY_AFTER_MS: u64 = 1_000;
/// When to come back to an instance that keeps as many requests as it may, in milliseconds.
const FULL_RETRY_AFTER_MS: u64 = 1_000;
/// Waiting time under which a call counts as good while no objective is configured.
const DEFAULT_WAIT_OBJECTIVE_MS: u64 = 1_000;

/// What the front reads but does not own.
pub(crate) struct Surroundings<'a> {
    pub(crate) members: &'a mut Members,
    pub(crate) directory: &'a Directory,
    pub(crate) rng: &'a mut SmallRng,
    pub(crate) burn: &'a mut Burn,
    pub(crate) wait_objective_ms: Option<u64>,
}

/// Where a request stands at its front.
#[derive(Debug, Clone, PartialEq, Eq)]
enum FrontPhase {
    /// The key of a non-idempotent call is being claimed.
    Claiming,
    /// An attempt is with an owner.
    Placed(PlacedAttempt),
    /// The holder of the shard is asked to accept a job.
    Accepting,
    /// This instance took the call first.
    Elsewhere(EntryId),
    /// The key was claimed through another instance, and its answer is known or lost.
    NotOurs,
    /// The answer is final.
    Final,
}

/// The attempt that may run.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PlacedAttempt {
    key: AttemptKey,
    owner: EntryId,
    start_by: Instant,
    /// Whether contact with its owner was lost.
    lost: bool,
}

/// One request.
#[derive(Debug)]
struct Taken {
    request: Request,
    digest: RequestDigest,
    since: Instant,
    deadline: Instant,
    phase: FrontPhase,
    attempts: u32,
    /// Callers that wait.
    waiters: Vec<Ticket>,
    /// Instances that want the final answer.
    watchers: BTreeSet<EntryId>,
    /// How long the submission of a job waits for the final answer, in milliseconds.
    wait_ms: u64,
    answer: Option<Answer>,
    history: Vec<ExplainEvent>,
}

impl Taken {
    fn note(&mut self, now: Instant, event: String) {
        self.history.push(ExplainEvent {
            at_ms: now.since(self.since),
            event,
        });
    }
}

/// Requests that this instance took.
#[derive(Debug)]
pub(crate) struct Front {
    requests: BTreeMap<RequestKey, Taken>,
    timers: Timers<RequestKey>,
    lookups: Lookups,
    outcomes: Outcomes,
    retries: RetryBudget,
    stopping: bool,
}

impl Front {
    pub(crate) fn new(retry_permille: u32) -> Self {
        Self {
            requests: BTreeMap::new(),
            timers: Timers::new(),
            lookups: Lookups::new(),
            outcomes: Outcomes::default(),
            retries: RetryBudget::new(retry_permille),
            stopping: false,
        }
    }

    /// Refuses new requests from now on.
    pub(crate) fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns whether no caller waits and every outcome is recorded.
    pub(crate) fn is_idle(&self) -> bool {
        let waiting = |taken: &Taken| taken.phase != FrontPhase::Final;
        let waits = self.requests.values().any(waiting);
        !waits && self.lookups.is_empty() && self.outcomes.is_empty()
    }

    /// Takes a submission.
    pub(crate) fn submit(
        &mut self,
        context: &mut Context<'_>,
        around: &mut Surroundings<'_>,
        ticket: Ticket,
        request: Request,
        wait_ms: u64,
    ) {
        let digest = digest(&request);
        self.forget_refused(&request.key);
        if let Some(taken) = self.requests.get_mut(&request.key) {
            if taken.digest != digest {
                let answer = Answer::not_run(request.key, Reason::DuplicateKey, None);
                context.reply(ticket, RpcReply::Answer(answer));
            } else if let Some(answer) = taken.answer.clone() {
                context.reply(ticket, RpcReply::Answer(answer));
            } else {
                taken.waiters.push(ticket);
            }
            return;
        }
        if let Some(answer) = self.refusal(context, around, &request) {
            around.burn.record(context.now, request.work.class, false);
            context.reply(ticket, RpcReply::Answer(answer));
            return;
        }
        let key = request.key.clone();
        let deadline = context.now.after(request.deadline_ms);
        self.timers.set(deadline, key.clone());
        let mut taken = Taken {
            digest,
            since: context.now,
            deadline,
            phase: FrontPhase::Accepting,
            attempts: 0,
            waiters: vec![ticket],
            watchers: BTreeSet::new(),
            wait_ms,
            answer: None,
            history: Vec::new(),
            request,
        };
        taken.note(context.now, format!("Taken by entry {}.", context.me()));
        self.requests.insert(key.clone(), taken);
        self.begin(context, around, &key);
    }

    /// Forgets a request that did not run, so that a repeat of it is a new try.
    fn forget_refused(&mut self, key: &RequestKey) {
        let refused = |answer: &Answer| {
            answer.phase == Phase::Refused && answer.verdict == Some(Verdict::NotRun)
        };
        let known = self
            .requests
            .get(key)
            .and_then(|taken| taken.answer.as_ref());
        if known.is_some_and(refused) {
            self.requests.remove(key);
        }
    }

    fn refusal(
        &self,
        context: &Context<'_>,
        around: &Surroundings<'_>,
        request: &Request,
    ) -> Option<Answer> {
        let refuse = |reason, retry_after_ms| {
            Some(Answer::not_run(request.key.clone(), reason, retry_after_ms))
        };
        if self.stopping {
            return refuse(Reason::Stopping, Some(0));
        }
        if let Some(reason) = around.directory.refusal(request) {
            return refuse(reason, None);
        }
        if self.requests.len() >= context.settings.max_requests {
            return refuse(Reason::Overloaded, Some(FULL_RETRY_AFTER_MS));
        }
        let needs_shard = request.work.class != WorkClass::Call || !request.work.idempotent;
        let shard = shard_of(&request.key, context.settings.shards);
        if needs_shard && around.members.holder(shard).is_none() {
            return refuse(Reason::StoreUnavailable, Some(NO_HOLDER_RETRY_AFTER_MS));
        }
        None
    }

    /// Sends a taken request on its way.
    fn begin(
        &mut self,
        context: &mut Context<'_>,
        around: &mut Surroundings<'_>,
        key: &RequestKey,
    ) {
        let Some(taken) = self.requests.get_mut(key) else {
            return;
        };
        let shard = shard_of(key, context.settings.shards);
        let holder = around.members.holder(shard);
        if taken.request.work.class != WorkClass::Call {
            if let Some(holder) = holder {
                let request = Box::new(taken.request.clone());
                context.send(holder, PeerMessage::Accept(request));
            }
        } else if taken.request.work.idempotent {
            self.retries.deposit();
            self.place(context, around, key, None);
        } else if let Some(holder) = holder {
            taken.phase = FrontPhase::Claiming;
            self.outcomes
                .send_last_outcome(context, around.members, key);
            let message = PeerMessage::Claim {
                key: key.clone(),
                digest: taken.digest,
                by: context.identity.incarnation,
            };
            context.send(holder, message);
        }
    }

    /// Takes the holder's word on a job.
    pub(crate) fn accepted(
        &mut self,
        context: &mut Context<'_>,
        around: &mut Surroundings<'_>,
        answer: &Answer,
    ) {
        let accepting = self
            .requests
            .get(&answer.key)
            .is_some_and(|taken| taken.phase == FrontPhase::Accepting);
        if !accepting {
            return;
        }
        let key = answer.key.clone();
        let Some(taken) = self.requests.remove(&key) else {
            return;
        };
        if answer.phase == Phase::Refused {
            let class = taken.request.work.class;
            around.burn.record(context.now, class, false);
        }
        for waiter in taken.waiters {
            if taken.wait_ms == 0 || answer.phase.is_final() {
                context.reply(waiter, RpcReply::Answer(answer.clone()));
            } else {
                self.fetch(context, around.members, waiter, &key, taken.wait_ms);
            }
        }
    }

    /// Takes the word of an instance that can't act on a key.
    pub(crate) fn not_holder(
        &mut self,
        context: &mut Context<'_>,
        around: &mut Surroundings<'_>,
        key: &RequestKey,
        reason: Reason,
    ) {
        let asked = self.requests.get(key).is_some_and(|taken| {
            matches!(taken.phase, FrontPhase::Claiming | FrontPhase::Accepting)
        });
        if asked {
            let retry = Some(NO_HOLDER_RETRY_AFTER_MS);
            let answer = Answer::not_run(key.clone(), reason, retry);
            self.finish(context, around, key, answer);
        }
    }

    /// Does what is due.
    pub(crate) fn tick(&mut self, context: &mut Context<'_>, around: &mut Surroundings<'_>) {
        while let Some(key) = self.timers.pop(context.now) {
            self.expire(context, around, &key);
        }
        self.lookups.tick(context, around.members);
        self.outcomes.tick(context, around.members);
    }

    fn expire(
        &mut self,
        context: &mut Context<'_>,
        around: &mut Surroundings<'_>,
        key: &RequestKey,
    ) {
        let Some(taken) = self.requests.get_mut(key) else {
            return;
        };
        if context.now < taken.deadline {
            return;
        }
        let answer = match &taken.phase {
            FrontPhase::Final => {
                self.requests.remove(key);
                return;
            }
            FrontPhase::Claiming => Answer::not_run(key.clone(), Reason::Deadline, Some(0)),
            FrontPhase::Placed(placed) => {
                let message = PeerMessage::Withdraw(placed.key.clone());
                context.send(placed.owner, message);
                Answer::may_have_run(key.clone(), Reason::Deadline)
            }
            FrontPhase::Accepting | FrontPhase::Elsewhere(_) | FrontPhase::NotOurs => {
                Answer::may_have_run(key.clone(), Reason::Deadline)
            }
        };
        self.finish(context, around, key, answer);
    }

    /// Gives a request its final answer.
    fn finish(
        &mut self,
        context: &mut Context<'_>,
        around: &mut Surroundings<'_>,
        key: &RequestKey,
        answer: Answer,
    ) {
        let Some(taken) = self.requests.get_mut(key) else {
            return;
        };
        if taken.phase == FrontPhase::Final {
            return;
        }
        // Only a granted claim leads to a placement; while it is asked for it is not ours.
        let claimed =
            !taken.request.work.idempotent && matches!(taken.phase, FrontPhase::Placed(_));
        taken.phase = FrontPhase::Final;
        taken.note(context.now, describe(&answer));
        let objective_ms = around
            .wait_objective_ms
            .unwrap_or(DEFAULT_WAIT_OBJECTIVE_MS);
        let waited_ms = answer.waited_ms.unwrap_or(0);
        let good = answer.verdict == Some(Verdict::Ran) && waited_ms <= objective_ms;
        around
            .burn
            .record(context.now, taken.request.work.class, good);
        for waiter in taken.waiters.drain(..) {
            context.reply(waiter, RpcReply::Answer(answer.clone()));
        }
        for watcher in std::mem::take(&mut taken.watchers) {
            let fetched = Fetched {
                key: key.clone(),
                answer: Some(Box::new(answer.clone())),
                authoritative: false,
                history: taken.history.clone(),
            };
            context.send(watcher, PeerMessage::Fetched(Box::new(fetched)));
        }
        taken.answer = Some(answer.clone());
        taken.request.work.payload = String::new();
        taken.deadline = context.now.after(context.settings.retention_ms);
        self.timers.set(taken.deadline, key.clone());
        if claimed {
            self.outcomes.keep(context, around.members, answer);
        }
    }

    /// Returns what this front knows of a key.
    pub(crate) fn known(&self, key: &RequestKey) -> Option<(Answer, Vec<ExplainEvent>)> {
        let taken = self.requests.get(key)?;
        let pending = || Answer::pending(key.clone(), Phase::Queued);
        let answer = taken.answer.clone().unwrap_or_else(pending);
        Some((answer, taken.history.clone()))
    }

    /// Notes that the holder of a shard has kept the outcome of a claimed call.
    pub(crate) fn recorded(&mut self, key: &RequestKey) {
        self.outcomes.recorded(key);
    }

    /// Returns whether the outcome of a claimed call is known here and maybe not to the ledger.
    pub(crate) fn has_unrecorded(&self, key: &RequestKey) -> bool {
        self.outcomes.holds(key)
    }

    /// Returns whether this front alone knows what became of a key: an idempotent call is an
    /// execution of its own at each front.
    pub(crate) fn is_authoritative(&self, key: &RequestKey) -> bool {
        self.requests.get(key).is_some_and(|taken| {
            taken.request.work.class == WorkClass::Call && taken.request.work.idempotent
        })
    }

    /// Has an instance told the final answer of a request that is on its way here.
    pub(crate) fn watch(&mut self, key: &RequestKey, watcher: EntryId) {
        if let Some(taken) = self.requests.get_mut(key) {
            if taken.phase != FrontPhase::Final {
                taken.watchers.insert(watcher);
            }
        }
    }

    pub(crate) fn reports(&self) -> Vec<RequestReport> {
        self.requests
            .iter()
            .map(|(key, taken)| {
                let answer = taken.answer.as_ref();
                RequestReport {
                    key: key.clone(),
                    team: taken.request.team.clone(),
                    class: taken.request.work.class.name(),
                    phase: answer.map_or(Phase::Queued, |answer| answer.phase),
                    verdict: answer.and_then(|answer| answer.verdict),
                    tasks: None,
                }
            })
            .collect()
    }
}

fn describe(answer: &Answer) -> String {
    match (answer.verdict, answer.reason) {
        (Some(verdict), Some(reason)) => format!("Answered {verdict:?}: {reason:?}."),
        (Some(verdict), None) => format!("Answered {verdict:?}."),
        (None, _) => "Answered.".to_owned(),
    }
}
