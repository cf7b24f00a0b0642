//! Interactive calls: claim of the key, placement, retries and the answer.

use chervilfall_types::{
    Answer, AttemptKey, EndpointName, EntryId, Instant, Phase, Reason, RequestKey, TaskKey, Verdict,
};
use chervilfall_wire::{
    AttemptEnd, AttemptSpec, AttemptState, ClaimAnswer, PeerMessage, Placement, Requester,
};

use crate::context::Context;
use crate::front::{Front, FrontPhase, PlacedAttempt, Surroundings};
use crate::policy::route::{self, RouteScope};
use crate::rpc::{RpcReply, Ticket};

/// Where an attempt ran, and how long.
#[derive(Debug, Default)]
struct Run {
    endpoint: Option<EndpointName>,
    ran_ms: u64,
}

/// When to come back while no owner can be reached, in milliseconds.
const NO_OWNER_RETRY_AFTER_MS: u64 = 500;

impl Front {
    /// Places the next attempt at a call, if there is time for one.
    pub(super) fn place(
        &mut self,
        context: &mut Context<'_>,
        around: &mut Surroundings<'_>,
        key: &RequestKey,
        avoid: Option<EntryId>,
    ) {
        let Some(taken) = self.requests.get_mut(key) else {
            return;
        };
        let margin_ms = context.settings.answer_margin_ms;
        let last_start = Instant(taken.deadline.0.saturating_sub(margin_ms));
        let start_by = last_start.min(context.now.after(context.settings.call_start_ms));
        if start_by <= context.now {
            let answer = Answer::not_run(key.clone(), Reason::Deadline, Some(0));
            self.finish(context, around, key, answer);
            return;
        }
        let scope = RouteScope {
            me: context.me(),
            domain: None,
            avoid,
        };
        let need = taken.request.work.resources;
        let owner = route::choose(around.members, scope, &need, around.rng);
        let Some((owner, clock)) = owner.and_then(|owner| {
            let member = around.members.get_mut(owner)?;
            member.forwarded += 1;
            Some((owner, member.clock?))
        }) else {
            let retry = Some(NO_OWNER_RETRY_AFTER_MS);
            let answer = Answer::not_run(key.clone(), Reason::NoEndpoint, retry);
            self.finish(context, around, key, answer);
            return;
        };
        taken.attempts += 1;
        let attempt = AttemptKey {
            task: TaskKey {
                request: key.clone(),
                index: 0,
            },
            origin: context.identity.incarnation.nonce,
            number: taken.attempts,
        };
        let work = &taken.request.work;
        let spec = AttemptSpec {
            key: attempt.clone(),
            requester: Requester::Entry(context.identity.incarnation),
            class: work.class,
            priority: work.priority,
            team: taken.request.team.clone(),
            service: work.service.clone(),
            resources: work.resources,
            run_ms: work.run_ms,
            payload: work.payload.clone(),
        };
        taken.phase = FrontPhase::Placed(PlacedAttempt {
            key: attempt,
            owner,
            start_by,
            lost: false,
        });
        taken.note(context.now, format!("Sent to owner {owner}."));
        let placement = Placement {
            spec,
            start_by: clock.bound(start_by, context.settings.clock_drift_ppm),
        };
        context.send(owner, PeerMessage::Place(Box::new(placement)));
    }

    /// Takes the answer to a claim.
    pub(crate) fn claimed(
        &mut self,
        context: &mut Context<'_>,
        around: &mut Surroundings<'_>,
        key: &RequestKey,
        claim: ClaimAnswer,
    ) {
        let claiming = self
            .requests
            .get(key)
            .is_some_and(|taken| taken.phase == FrontPhase::Claiming);
        if !claiming {
            if claim == ClaimAnswer::Granted {
                // The caller has been told that its work does not run, so the key is freed.
                let answer = Answer::not_run(key.clone(), Reason::Deadline, None);
                self.outcomes.keep(context, around.members, answer);
            }
            return;
        }
        match claim {
            ClaimAnswer::Granted => {
                self.retries.deposit();
                self.place(context, around, key, None);
            }
            ClaimAnswer::Refused {
                reason,
                retry_after_ms,
            } => {
                let answer = Answer::not_run(key.clone(), reason, retry_after_ms);
                self.finish_unclaimed(context, around, key, answer);
            }
            ClaimAnswer::Taken {
                answer: Some(answer),
                ..
            } => self.finish_unclaimed(context, around, key, *answer),
            ClaimAnswer::Taken { by, answer: None } => {
                let member = around.members.get(by.entry);
                let present = member.and_then(|member| member.incarnation) == Some(by);
                if present && by != context.identity.incarnation {
                    self.follow(context, key, by.entry);
                } else {
                    let answer = Answer::may_have_run(key.clone(), Reason::AttemptLost);
                    self.finish_unclaimed(context, around, key, answer);
                }
            }
        }
    }

    /// Waits for the answer of the instance that took the call first.
    fn follow(&mut self, context: &mut Context<'_>, key: &RequestKey, entry: EntryId) {
        if let Some(taken) = self.requests.get_mut(key) {
            taken.phase = FrontPhase::Elsewhere(entry);
            taken.note(context.now, format!("Runs through entry {entry} already."));
        }
        let message = PeerMessage::Fetch {
            key: key.clone(),
            watch: true,
        };
        context.send(entry, message);
    }

    /// Takes the answer of the instance that took the call first.
    pub(super) fn followed(
        &mut self,
        context: &mut Context<'_>,
        around: &mut Surroundings<'_>,
        from: EntryId,
        key: &RequestKey,
        answer: Option<Answer>,
    ) {
        let elsewhere = self
            .requests
            .get(key)
            .is_some_and(|taken| taken.phase == FrontPhase::Elsewhere(from));
        if !elsewhere {
            return;
        }
        match answer {
            Some(answer) if answer.phase.is_final() => self.finish(context, around, key, answer),
            Some(_) => {}
            None => {
                let answer = Answer::may_have_run(key.clone(), Reason::AttemptLost);
                self.finish(context, around, key, answer);
            }
        }
    }

    /// Gives a final answer to a call whose claim is not ours.
    fn finish_unclaimed(
        &mut self,
        context: &mut Context<'_>,
        around: &mut Surroundings<'_>,
        key: &RequestKey,
        answer: Answer,
    ) {
        if let Some(taken) = self.requests.get_mut(key) {
            taken.phase = FrontPhase::NotOurs;
        }
        self.finish(context, around, key, answer);
    }

    /// Handles a status update of an attempt at a call.
    pub(crate) fn handle_status_update(
        &mut self,
        context: &mut Context<'_>,
        around: &mut Surroundings<'_>,
        from: EntryId,
        attempt: &AttemptKey,
        state: AttemptState,
    ) {
        if matches!(state, AttemptState::Ended { .. }) {
            context.send(from, PeerMessage::Acknowledge(attempt.clone()));
        }
        let key = attempt.task.request.clone();
        let Some(taken) = self.requests.get_mut(&key) else {
            return;
        };
        let FrontPhase::Placed(placed) = &mut taken.phase else {
            return;
        };
        if placed.key != *attempt {
            return;
        }
        match state {
            AttemptState::Waiting | AttemptState::Running { .. } => {
                placed.owner = from;
                placed.lost = false;
            }
            AttemptState::Astray(_) => placed.lost |= placed.owner == from,
            AttemptState::Ended {
                end,
                endpoint,
                ran_ms,
            } => {
                let place = endpoint.as_ref().map(|name| format!(" on {name}"));
                let place = place.unwrap_or_default();
                taken.note(context.now, format!("Attempt{place}: {}.", outcome(&end)));
                self.ended(context, around, &key, end, Run { endpoint, ran_ms });
            }
        }
    }

    fn ended(
        &mut self,
        context: &mut Context<'_>,
        around: &mut Surroundings<'_>,
        key: &RequestKey,
        end: AttemptEnd,
        run: Run,
    ) {
        let Some(taken) = self.requests.get(key) else {
            return;
        };
        let passed_ms = context.now.since(taken.since);
        let waited_ms = Some(passed_ms.saturating_sub(run.ran_ms));
        let mut answer = match end {
            AttemptEnd::Ran(result) => {
                let mut answer = Answer::pending(key.clone(), Phase::Done);
                answer.verdict = Some(Verdict::Ran);
                answer.result = Some(result);
                answer
            }
            AttemptEnd::Failed(message) => {
                let mut answer = Answer::pending(key.clone(), Phase::Done);
                answer.verdict = Some(Verdict::Ran);
                answer.reason = Some(Reason::TaskFailed);
                answer.result = Some(message);
                answer
            }
            AttemptEnd::NotRun {
                reason: Reason::Cancelled,
                ..
            } => {
                let mut answer = Answer::not_run(key.clone(), Reason::Cancelled, None);
                answer.phase = Phase::Cancelled;
                answer
            }
            AttemptEnd::NotRun {
                reason,
                retry_after_ms,
            } => {
                if self.retry(context, around, key) {
                    return;
                }
                Answer::not_run(key.clone(), reason, retry_after_ms.or(Some(0)))
            }
            AttemptEnd::MayHaveRun(reason) => {
                if taken.request.work.idempotent && self.retry(context, around, key) {
                    return;
                }
                Answer::may_have_run(key.clone(), reason)
            }
            AttemptEnd::Stopped => {
                let mut answer = Answer::may_have_run(key.clone(), Reason::Cancelled);
                answer.phase = Phase::Cancelled;
                answer
            }
        };
        answer.waited_ms = waited_ms;
        answer.endpoint = run.endpoint;
        self.finish(context, around, key, answer);
    }

    /// Places another attempt if there is time and the retry budget allows it.
    fn retry(
        &mut self,
        context: &mut Context<'_>,
        around: &mut Surroundings<'_>,
        key: &RequestKey,
    ) -> bool {
        let Some(taken) = self.requests.get(key) else {
            return false;
        };
        let FrontPhase::Placed(placed) = &taken.phase else {
            return false;
        };
        let avoid = Some(placed.owner);
        let margin_ms = context.settings.answer_margin_ms;
        if context.now.after(margin_ms) >= taken.deadline || !self.retries.withdraw() {
            return false;
        }
        self.place(context, around, key, avoid);
        true
    }

    /// Marks attempts whose owner can't be reached.
    pub(crate) fn owner_lost(&mut self, entry: EntryId) {
        for taken in self.requests.values_mut() {
            if let FrontPhase::Placed(placed) = &mut taken.phase {
                placed.lost |= placed.owner == entry;
            }
        }
    }

    /// Settles idempotent calls whose attempt surely does not run and never will.
    pub(crate) fn settle_lost(&mut self, context: &mut Context<'_>, around: &mut Surroundings<'_>) {
        let lost: Vec<(RequestKey, EntryId)> = self
            .requests
            .iter()
            .filter_map(|(key, taken)| match &taken.phase {
                FrontPhase::Placed(placed) if placed.lost && context.now > placed.start_by => {
                    Some((key.clone(), placed.owner))
                }
                _ => None,
            })
            .collect();
        for (key, owner) in lost {
            let Some(domain) = around.members.get(owner).map(|m| m.domain.clone()) else {
                continue;
            };
            let covered = around
                .directory
                .is_covered(context, around.members, &domain, |entry| entry != owner);
            if covered {
                let end = AttemptEnd::not_run(Reason::AttemptLost);
                self.ended(context, around, &key, end, Run::default());
            }
        }
    }

    /// Withdraws a call on behalf of another instance.
    pub(crate) fn withdraw(&self, context: &mut Context<'_>, key: &RequestKey) {
        let phase = self.requests.get(key).map(|taken| &taken.phase);
        if let Some(FrontPhase::Placed(placed)) = phase {
            let message = PeerMessage::Withdraw(placed.key.clone());
            context.send(placed.owner, message);
        }
    }

    /// Withdraws a call that runs through this instance; returns whether there is one.
    pub(crate) fn cancel(
        &mut self,
        context: &mut Context<'_>,
        ticket: Ticket,
        key: &RequestKey,
    ) -> bool {
        let Some(taken) = self.requests.get_mut(key) else {
            return false;
        };
        match &taken.phase {
            FrontPhase::Placed(placed) => {
                let message = PeerMessage::Withdraw(placed.key.clone());
                context.send(placed.owner, message);
                taken.waiters.push(ticket);
                true
            }
            // The refusal of one try says nothing of a later one that another instance took.
            FrontPhase::Final
                if taken
                    .answer
                    .as_ref()
                    .is_some_and(|a| a.phase == Phase::Refused) =>
            {
                false
            }
            FrontPhase::Final => {
                if let Some(answer) = taken.answer.clone() {
                    context.reply(ticket, RpcReply::Answer(answer));
                }
                true
            }
            _ => false,
        }
    }
}

fn outcome(end: &AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Ran(_) => "ran",
        AttemptEnd::Failed(_) => "ran and failed",
        AttemptEnd::NotRun { .. } => "did not run",
        AttemptEnd::MayHaveRun(_) => "may have run",
        AttemptEnd::Stopped => "was stopped",
    }
}
