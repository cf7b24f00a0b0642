//! What a new owner does with an endpoint's list: the list is the truth.

use std::collections::HashSet;

use chervilfall_agent::{AgentEvent, AgentOutcome, ListAnswer, RunningAttempt};
use chervilfall_types::{AttemptKey, Instant, Reason, Resources};
use chervilfall_wire::AttemptEnd;

use crate::context::Context;
use crate::event::AgentFailure;
use crate::members::Members;
use crate::owner::attempt::{Attempt, AttemptPhase};
use crate::owner::endpoint::Lease;
use crate::owner::fences::Fences;
use crate::owner::note::AttemptNote;
use crate::owner::{AttemptId, EndpointKey, Owner, PART};
use crate::policy::quarantine::Ends;
use crate::remote_clock::RemoteClock;

impl Owner {
    /// Takes an endpoint's list.
    pub(super) fn list_arrived(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        key: EndpointKey,
        sent: Instant,
        result: Result<ListAnswer, AgentFailure>,
    ) {
        let endpoint = &mut self.endpoints[key];
        if !endpoint.was_granted_before(sent) {
            return;
        }
        endpoint.listing = false;
        let Lease::Syncing { .. } = endpoint.lease else {
            return;
        };
        match result {
            Ok(answer) => self.take_endpoint_list(context, members, key, answer),
            Err(AgentFailure::Stale(_)) => self.lose(context, key),
            // The next check of the ownership asks again.
            Err(_) => {}
        }
    }

    fn take_endpoint_list(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        key: EndpointKey,
        answer: ListAnswer,
    ) {
        let endpoint = &mut self.endpoints[key];
        let since_ours = endpoint.has_been_ours_since_the_last_list();
        endpoint.clock = Some(RemoteClock::new(answer.clock, context.now));
        endpoint.listed_under = endpoint.lease.grant().map(|(epoch, _)| epoch);
        endpoint.capacity = answer.capacity;
        endpoint.leaving |= answer.leaving;
        endpoint.last_event = answer.last_event;
        endpoint.fence = Fences::from_note(&answer.fence);
        let fence = endpoint.fence.clone();
        self.fences.merge(&fence);
        self.refuse_fenced(context, members);
        let mut seen = HashSet::new();
        for running in answer.running {
            seen.insert(running.attempt.clone());
            self.found_running(context, members, key, &running);
        }
        for event in answer.ended {
            seen.insert(event.attempt.clone());
            self.agent_event(context, members, key, event);
        }
        self.settle_missing(context, members, key, &seen, since_ours);
        self.fence_endpoints();
        self.finish_sync(context, key);
    }

    /// Puts a synced endpoint to use once it has the fence.
    pub(super) fn finish_sync(&mut self, context: &mut Context<'_>, key: EndpointKey) {
        let endpoint = &mut self.endpoints[key];
        let Lease::Syncing { epoch, until } = endpoint.lease else {
            return;
        };
        let listed = endpoint.listed_under == Some(epoch);
        if !listed || !endpoint.fence_is(&self.fences) {
            return;
        }
        endpoint.lease = Lease::Held { epoch, until };
        endpoint.poll_at = context.now;
        let name = endpoint.record.name.clone();
        let attempts = endpoint.attempts.len();
        self.ownership_changed = true;
        self.room_changed = true;
        let text = format!("Owns endpoint {name} with {attempts} attempts.");
        context.log(PART, text);
    }

    /// Asks every endpoint that lacks the present fences to take them.
    pub(super) fn fence_endpoints(&mut self) {
        for (key, endpoint) in &mut self.endpoints {
            if endpoint.lease.grant().is_some() && endpoint.fence != self.fences {
                endpoint.fence_wanted = true;
                self.with_orders.insert(key);
            }
        }
    }

    fn found_running(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        key: EndpointKey,
        running: &RunningAttempt,
    ) {
        let Some(id) =
            self.known_or_adopted(key, &running.attempt, &running.note, running.resources)
        else {
            return;
        };
        if !matches!(self.attempts[id].phase, AttemptPhase::Ended { .. }) {
            self.move_to(id, AttemptPhase::Running { endpoint: key });
            self.report(context, members, id);
        }
        if self.attempts[id].withdrawn {
            self.order_stop(id);
        }
    }

    fn known_or_adopted(
        &mut self,
        key: EndpointKey,
        attempt: &AttemptKey,
        note: &str,
        resources: Resources,
    ) -> Option<AttemptId> {
        if let Some(id) = self.by_key.get(attempt) {
            return Some(*id);
        }
        self.adopt(key, attempt, note, resources)
    }

    /// Takes over an attempt that another owner started, from the note that it left.
    fn adopt(
        &mut self,
        key: EndpointKey,
        attempt: &AttemptKey,
        note: &str,
        resources: Resources,
    ) -> Option<AttemptId> {
        let spec = AttemptNote::spec(note, attempt.clone(), resources)?;
        let id = self.attempts.insert(Attempt {
            spec,
            phase: AttemptPhase::Queued {
                start_by: Instant(0),
            },
            withdrawn: false,
            started: None,
            ran_ms: 0,
        });
        self.by_key.insert(attempt.clone(), id);
        self.move_to(id, AttemptPhase::Running { endpoint: key });
        Some(id)
    }

    /// Settles attempts that the endpoint's list lacks. If nobody else has held the endpoint since
    /// its last list, an ordered start never happened, because the new epoch fences the order;
    /// else another owner may have seen it run and had it forgotten. One that ran is lost.
    fn settle_missing(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        key: EndpointKey,
        seen: &HashSet<AttemptKey>,
        since_ours: bool,
    ) {
        let ids: Vec<AttemptId> = self.endpoints[key].attempts.iter().copied().collect();
        for id in ids {
            let attempt = &self.attempts[id];
            if seen.contains(&attempt.spec.key) {
                continue;
            }
            match attempt.phase {
                AttemptPhase::Sent { .. } if since_ours => self.requeue(context, members, id),
                AttemptPhase::Sent { .. } | AttemptPhase::Running { .. } => {
                    let end = AttemptEnd::MayHaveRun(Reason::AttemptLost);
                    self.end_attempt(context, members, id, end);
                }
                AttemptPhase::Queued { .. } | AttemptPhase::Ended { .. } => {}
            }
        }
    }

    /// Handles the end of an attempt on an endpoint.
    pub(super) fn agent_event(
        &mut self,
        context: &mut Context<'_>,
        members: &Members,
        key: EndpointKey,
        event: AgentEvent,
    ) {
        let endpoint = &mut self.endpoints[key];
        endpoint.last_event = endpoint.last_event.max(event.number);
        // An ended attempt holds nothing any more.
        let ended = Resources::default();
        let Some(id) = self.known_or_adopted(key, &event.attempt, &event.note, ended) else {
            return;
        };
        if matches!(self.attempts[id].phase, AttemptPhase::Ended { .. }) {
            return;
        }
        self.judge_endpoint(context, key, &event.outcome);
        self.end_attempt(context, members, id, end_of(event.outcome));
    }

    /// Counts how an attempt ended for or against its endpoint.
    fn judge_endpoint(
        &mut self,
        context: &mut Context<'_>,
        key: EndpointKey,
        outcome: &AgentOutcome,
    ) {
        let now = context.now;
        match outcome {
            AgentOutcome::Ran(_) => self.endpoints[key].health.succeeded(now),
            AgentOutcome::Failed(_) => {
                let others = self.endpoints.iter().filter(|(other, _)| *other != key);
                let others = others.fold(Ends::default(), |sum, (_, endpoint)| {
                    sum.plus(endpoint.health.ends())
                });
                let endpoint = &mut self.endpoints[key];
                if let Some(length_ms) = endpoint.health.failed(now, others) {
                    let name = endpoint.record.name.clone();
                    let text = format!("Quarantines endpoint {name} for {length_ms} ms.");
                    context.log(PART, text);
                }
            }
            AgentOutcome::Stopped | AgentOutcome::Checkpointed => {}
        }
    }
}

fn end_of(outcome: AgentOutcome) -> AttemptEnd {
    match outcome {
        AgentOutcome::Ran(result) => AttemptEnd::Ran(result),
        AgentOutcome::Failed(message) => AttemptEnd::Failed(message),
        AgentOutcome::Stopped | AgentOutcome::Checkpointed => AttemptEnd::Stopped,
    }
}
