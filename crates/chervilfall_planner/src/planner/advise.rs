//! Calls to the advice service, distributed over the nodes.
//!
//! The service handles one call at a time per calling node, so a slow call delays all calls queued
//! behind it. Each node has at most one call in flight; slow calls may use only some of the nodes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::action::{Action, AdviceOrder};
use crate::advice::{Grant, Permission};
use crate::config::AdviceTimings;
use crate::endpoint::EndpointKey;
use crate::event::{AdviceAnswer, NodeId};
use crate::ids::{CallNumber, EndpointId, Millis};
use crate::job::MAX_TIME_MS;
use crate::metrics;
use crate::planner::call_holds::HoldOutcome;
use crate::planner::Planner;
use crate::policy::advice_size::GrantShare;
use crate::tasks::StepKey;

/// Share of the nodes that slow calls may use, as a fraction. With one half, wide gangs on 350
/// endpoints met their objective in 53 of 320 cases, with three quarters in 121, and other work
/// lost less than that. The other nodes are left for fast calls, which would otherwise wait until a
/// slow call ends.
const SLOW_CALL_NODE_SHARE: (usize, usize) = (7, 8);

/// A call in flight.
#[derive(Debug)]
pub(crate) struct AdviceCall {
    node: NodeId,
    step: StepKey,
    /// The endpoints named in the call. A ticket is for the incarnation that the call was about.
    endpoints: BTreeMap<EndpointId, EndpointKey>,
    valid_ms: Millis,
    sent_ms: Millis,
    deadline_ms: Millis,
    slow: bool,
}

impl AdviceCall {
    /// Returns the answer, or a failure if it grants an endpoint that the call does not name: then it is
    /// the answer to another call, and what it does not grant is not denied.
    fn checked(&self, number: CallNumber, answer: AdviceAnswer) -> AdviceAnswer {
        let AdviceAnswer::Granted(granted) = &answer else {
            return answer;
        };
        let foreign = granted
            .iter()
            .find(|(id, _)| !self.endpoints.contains_key(id));
        let Some((foreign, _)) = foreign else {
            return answer;
        };
        metrics::advice_in_doubt("not_named");
        log::warn!(
            call:% = number, step:% = self.step, caller = self.node, endpoint:% = foreign;
            "advice grants an endpoint that was not named, answer dropped"
        );
        AdviceAnswer::Failed
    }
}

impl Planner {
    pub(super) fn set_nodes(&mut self, nodes: Vec<NodeId>) {
        self.node_health.set_nodes(&nodes);
        let linked: BTreeSet<NodeId> = nodes.iter().copied().collect();
        self.nodes = nodes;
        let lost: Vec<CallNumber> = self
            .advice_calls
            .iter()
            .filter(|(_, call)| !linked.contains(&call.node))
            .map(|(number, _)| *number)
            .collect();
        for number in lost {
            self.handle_advice_answer(number, AdviceAnswer::Failed);
        }
    }

    /// Returns whether a node can make a call now.
    pub(super) fn can_call_advice(&self, slow: bool) -> bool {
        self.node_for_call(slow).is_some()
    }

    /// Returns a node that can make a call now.
    fn node_for_call(&self, slow: bool) -> Option<NodeId> {
        let calls = self.advice_calls.values();
        if slow {
            let slow_calls = calls.clone().filter(|call| call.slow).count();
            let max_slow_calls =
                (self.nodes.len() * SLOW_CALL_NODE_SHARE.0 / SLOW_CALL_NODE_SHARE.1).max(1);
            if slow_calls >= max_slow_calls {
                return None;
            }
        }
        self.work
            .add(|work| work.nodes_searched += self.nodes.len() as u64);
        let busy: BTreeSet<NodeId> = calls.map(|call| call.node).collect();
        let idle = self.nodes.iter().filter(|node| !busy.contains(node));
        // The planner's own node is used last, because it also runs the planner.
        if !self.limits.policies.advice_node_health {
            return idle.copied().max_by_key(|node| *node != 0);
        }
        let usable = idle.filter(|node| self.node_health.may_call(self.now, **node));
        usable.copied().max_by_key(|node| {
            (
                Reverse(self.node_health.recent_failures(self.now, *node)),
                *node != 0,
            )
        })
    }

    /// Records the outcome of a call for the health of the node that made it.
    fn note_call_outcome(&mut self, node: NodeId, succeeded: bool) {
        if succeeded {
            if self.node_health.succeeded(self.now, node) {
                log::info!(caller = node; "advice calls of an ejected node succeed again");
            }
            return;
        }
        let ejection_ms = self.node_health.failed(self.now, node);
        let Some(ejection_ms) = ejection_ms.filter(|_| self.limits.policies.advice_node_health)
        else {
            return;
        };
        metrics::advice_node_ejected();
        log::warn!(
            caller = node, for_ms = ejection_ms, ejected = self.node_health.ejected(self.now),
            nodes = self.nodes.len();
            "advice calls of a node fail, node ejected"
        );
    }

    /// Requests advice on endpoints for a step. Returns none if no node can make the call, or nothing is
    /// to be asked.
    pub(super) fn request_advice(
        &mut self,
        step: StepKey,
        timings: AdviceTimings,
        keys: &[EndpointKey],
    ) -> Option<CallNumber> {
        let keys = &keys[..keys.len().min(self.limits.advice_endpoints)];
        if keys.is_empty() {
            return None;
        }
        let slow = timings.is_slow();
        let node = self.node_for_call(slow)?;
        let job = self.jobs.get_mut(&step.job)?;
        let progress = job.step_progress_mut(step)?;
        let number = self.last_advice_call.next();
        self.last_advice_call = number;
        progress.advice.begin_call(number, keys.to_vec());
        let named = keys.iter().filter_map(|key| {
            let endpoint = self.endpoints.get(*key)?;
            Some((endpoint.entry.id.clone(), *key))
        });
        let named: Vec<(EndpointId, EndpointKey)> = named.collect();
        let endpoints: Vec<EndpointId> = named.iter().map(|(id, _)| id.clone()).collect();
        let timeout_ms = timings.call_ms(endpoints.len()) + self.limits.advice_slack_ms;
        self.advice_calls.insert(
            number,
            AdviceCall {
                node,
                step,
                endpoints: named.into_iter().collect(),
                valid_ms: timings.valid_ms.min(MAX_TIME_MS),
                sent_ms: self.now,
                deadline_ms: self.now + timeout_ms + self.limits.advice_slack_ms,
                slow,
            },
        );
        let order = AdviceOrder {
            number,
            step: step.to_string(),
            endpoints,
            timeout_ms,
        };
        metrics::advice_endpoints_named(order.endpoints.len());
        self.actions.push(Action::Advise { node, order });
        Some(number)
    }

    pub(super) fn expire_advice_calls(&mut self) {
        let late = self
            .advice_calls
            .iter()
            .filter(|(_, call)| self.now >= call.deadline_ms);
        let late: Vec<CallNumber> = late.map(|(number, _)| *number).collect();
        for number in late {
            self.handle_advice_answer(number, AdviceAnswer::Failed);
        }
    }

    pub(super) fn handle_advice_answer(&mut self, number: CallNumber, answer: AdviceAnswer) {
        let Some(call) = self.advice_calls.remove(&number) else {
            return;
        };
        let answer = call.checked(number, answer);
        let took_ms = self.now.saturating_sub(call.sent_ms);
        metrics::advice(took_ms, answer != AdviceAnswer::Failed);
        self.note_call_outcome(call.node, answer != AdviceAnswer::Failed);
        let outcome = self.record_advice(number, &call, answer);
        self.end_call_hold(number, outcome);
    }

    /// Records the answer to a call for its step; returns what it means for capacity kept for it.
    fn record_advice(
        &mut self,
        number: CallNumber,
        call: &AdviceCall,
        answer: AdviceAnswer,
    ) -> HoldOutcome {
        let took_ms = self.now.saturating_sub(call.sent_ms);
        let Some(job) = self.jobs.get_mut(&call.step.job) else {
            return HoldOutcome::Failed;
        };
        let job_ended = job.outcome.is_some();
        let Some(progress) = job.step_progress_mut(call.step) else {
            return HoldOutcome::Failed;
        };
        progress.advice.end_call(number);
        if job_ended || progress.complete() {
            return HoldOutcome::Failed;
        }
        let AdviceAnswer::Granted(granted) = answer else {
            log::info!(step:% = call.step, caller = call.node, took_ms = took_ms; "advice failed");
            return HoldOutcome::Failed;
        };
        progress.advice.note_answer();
        log::info!(
            step:% = call.step, caller = call.node, took_ms = took_ms,
            asked = call.endpoints.len(), granted = granted.len();
            "advice received"
        );
        // A ticket is valid from an unknown moment after the call was sent. Assumes the earliest at
        // which the service can have begun to answer, shortly before now.
        let valid_until_ms =
            self.now + call.valid_ms - self.limits.ticket_margin_ms.min(call.valid_ms);
        let surely_valid_until_ms = call.sent_ms + call.valid_ms;
        let keys = call.endpoints.values().copied();
        let unknown: BTreeSet<EndpointKey> = keys
            .filter(|key| progress.advice.is_unasked(*key))
            .collect();
        let mut newly_granted = 0;
        for key in call.endpoints.values() {
            if self.endpoints.contains_key(*key) {
                progress
                    .advice
                    .record_permission(*key, number, Permission::Denied);
            }
        }
        for (id, ticket) in granted {
            let key = call.endpoints.get(&id);
            if let Some(key) = key.filter(|key| self.endpoints.contains_key(**key)) {
                newly_granted += usize::from(unknown.contains(key));
                let grant = Grant {
                    ticket,
                    valid_until_ms,
                    surely_valid_until_ms,
                };
                progress
                    .advice
                    .record_permission(*key, number, Permission::Granted(grant));
            }
        }
        self.note_grants(call.step, unknown.len(), newly_granted);
        self.changed.note_answer(call.step);
        let fits = self.note_gang_answer(call.step);
        self.schedule_due = true;
        if fits {
            HoldOutcome::Fits
        } else {
            HoldOutcome::Taken
        }
    }

    /// Records that an endpoint has refused a step's ticket.
    pub(super) fn note_refused_ticket(&mut self, step: StepKey, endpoint: EndpointKey) {
        let job = self.jobs.get_mut(&step.job);
        let Some(progress) = job.and_then(|job| job.step_progress_mut(step)) else {
            return;
        };
        let forgotten = progress.advice.refuse_ticket(endpoint, self.now);
        if forgotten == 0 {
            return;
        }
        metrics::advice_in_doubt("ticket_refused");
        log::warn!(
            step:% = step, endpoint:% = self.endpoints[endpoint].entry.id, forgotten = forgotten;
            "ticket refused before it can have expired, endpoints are asked about again"
        );
        self.schedule_due = true;
    }

    /// Learns from the answers about endpoints that were not asked about for the step before.
    fn note_grants(&mut self, step: StepKey, answers: usize, granted: usize) {
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let queue = &job.queue.name;
        if !self.grant_shares.contains_key(queue) {
            self.grant_shares
                .insert(queue.clone(), GrantShare::default());
        }
        let Some(grants) = self.grant_shares.get_mut(queue) else {
            return;
        };
        let was_known = grants.share().is_some();
        // A call names at most a few hundred endpoints.
        let narrow = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        grants.record(narrow(answers), narrow(granted));
        let Some(share) = grants.share() else {
            return;
        };
        metrics::advice_granted_share(queue, share);
        if !was_known && self.limits.policies.advice_call_size {
            log::info!(queue = queue.as_str(), granted_share = share; "advice calls are sized by need");
        }
    }
}
