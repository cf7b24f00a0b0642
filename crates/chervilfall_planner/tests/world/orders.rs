//! Delivery of orders to endpoints: lost, late, or answered.

use chervilfall_planner::{Action, EndpointId, Event, HoldAnswer, StartAnswer, StopAnswer};

use super::endpoint::{FakeEndpoint, JobFaults};
use super::{ScheduledEvent, World, ONE_WAY_DELAY_MS, TIMEOUT_MS};

/// Milliseconds without a fault after which a node counts as undisturbed.
const UNDISTURBED_MS: u64 = 3_000;

impl World {
    pub(super) fn send_order(&mut self, node: usize, term: u64, action: Action) {
        let id = order_target(&action).clone();
        if self.drops_starts && matches!(action, Action::Start(_)) {
            let event = Box::new(unanswered_event(&action, self.now));
            self.schedule(TIMEOUT_MS, ScheduledEvent::DeliverEvent(node, term, event));
            return;
        }
        let endpoint = self.endpoints.get(&id);
        let cut = endpoint.is_none_or(|endpoint| endpoint.dead) || self.is_cut_off(node, &id);
        let unanswered_event = unanswered_event(&action, self.now);
        let mut wait_ms = TIMEOUT_MS;
        if let Action::Hold(order) = &action {
            wait_ms += order.wait_ms;
        }
        let replaced = self
            .endpoints
            .get(&id)
            .is_some_and(|endpoint| endpoint.replaced);
        if replaced && !self.is_partitioned(node, &id) {
            let event = Box::new(wrong_incarnation_event(&action, self.now));
            self.schedule(
                2 * ONE_WAY_DELAY_MS,
                ScheduledEvent::DeliverEvent(node, term, event),
            );
            return;
        }
        let next_life = self
            .delay_to_next_incarnation(&id, wait_ms)
            .filter(|_| !self.is_cut_off(node, &id));
        if let Some(delay_ms) = next_life {
            // The caller retries the connection until the next incarnation accepts it.
            let sent_ms = self.now;
            self.schedule(
                delay_ms,
                ScheduledEvent::DeliverOrder(node, term, Box::new(action), sent_ms),
            );
            return;
        }
        if cut {
            self.schedule(
                wait_ms,
                ScheduledEvent::DeliverEvent(node, term, Box::new(unanswered_event)),
            );
            return;
        }
        if self.random.percent(self.late_percent) {
            let delay_ms = 2_000 + self.random.below(10_000);
            let sent_ms = self.now;
            self.schedule(
                delay_ms,
                ScheduledEvent::DeliverOrder(usize::MAX, term, Box::new(action), sent_ms),
            );
            self.schedule(
                wait_ms,
                ScheduledEvent::DeliverEvent(node, term, Box::new(unanswered_event)),
            );
            return;
        }
        let sent_ms = self.now;
        self.schedule(
            ONE_WAY_DELAY_MS,
            ScheduledEvent::DeliverOrder(node, term, Box::new(action), sent_ms),
        );
    }

    /// Returns whether a node's orders cannot reach an endpoint now.
    fn is_cut_off(&self, node: usize, id: &EndpointId) -> bool {
        let endpoint = self.endpoints.get(id);
        let cut = endpoint.is_some_and(|endpoint| endpoint.cut_until_ms > self.now);
        cut || self.nodes[node].cut_until_ms > self.now || self.is_partitioned(node, id)
    }

    /// Returns the delay until the next incarnation of a crashed endpoint, under the same name,
    /// accepts an order, if the caller waits that long.
    fn delay_to_next_incarnation(&self, id: &EndpointId, wait_ms: u64) -> Option<u64> {
        let endpoint = self.endpoints.get(id)?;
        let (crashed_ms, _) = endpoint.crashed.filter(|_| self.keeps_names)?;
        let delay_ms =
            (crashed_ms + self.restart_delay_ms + ONE_WAY_DELAY_MS).saturating_sub(self.now);
        (delay_ms < wait_ms).then_some(delay_ms)
    }

    /// Returns whether neither a node nor its connection to the store has had a fault for
    /// `UNDISTURBED_MS`.
    fn is_undisturbed(&self, node: usize) -> bool {
        let Some(node) = self.nodes.get(node) else {
            return false;
        };
        let faults_until_ms = [
            node.frozen_until_ms,
            node.cut_until_ms,
            node.store_cut_until_ms,
            node.began_ms,
            self.store.down_until_ms,
            self.partitioned_until_ms,
            self.store_lossy_ms,
        ];
        let is_over = |until_ms: &u64| until_ms.saturating_add(UNDISTURBED_MS) <= self.now;
        faults_until_ms.iter().all(is_over)
    }

    /// Returns when a fault was last in force, as far as can be told from the state of now.
    pub(super) fn last_disturbed_ms(&self) -> u64 {
        let toggled = self.late_percent > 0
            || self.store.slow_ms > 0
            || !self.failing_advisors.is_empty()
            || self.endpoints.values().any(|endpoint| endpoint.fails_all);
        let nodes = self.nodes.iter().flat_map(|node| {
            [
                node.frozen_until_ms,
                node.cut_until_ms,
                node.store_cut_until_ms,
                node.began_ms,
            ]
        });
        let endpoints = self.endpoints.values();
        let endpoints = endpoints.map(FakeEndpoint::last_disturbed_ms);
        let until_ms = nodes.chain(endpoints).chain([
            self.store.down_until_ms,
            self.partitioned_until_ms,
            self.store_lossy_ms,
            if toggled { self.now } else { 0 },
        ]);
        until_ms.max().unwrap_or(0).min(self.now)
    }

    pub(super) fn is_partitioned(&self, node: usize, id: &EndpointId) -> bool {
        let domain = self.endpoints.get(id).map_or(0, |endpoint| endpoint.domain);
        self.partitioned_until_ms > self.now && self.nodes[node].domain != domain
    }

    pub(super) fn deliver_order(&mut self, node: usize, term: u64, action: Action, sent_ms: u64) {
        let now = self.now;
        let id = order_target(&action).clone();
        let undisturbed = self.is_undisturbed(node);
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        let late = node == usize::MAX;
        // Orders that an endpoint has received and not carried out are lost when it crashes.
        if late && endpoint.started_ms > sent_ms {
            return;
        }
        if endpoint.dead {
            if !late {
                let event = Box::new(unanswered_event(&action, sent_ms));
                self.schedule(TIMEOUT_MS, ScheduledEvent::DeliverEvent(node, term, event));
            }
            return;
        }
        let event = match action {
            Action::Start(order) => {
                let spec = self.jobs.get(&order.task.job).cloned();
                let crashing = self.crashing.get(&order.task.job).copied();
                let faults = JobFaults {
                    crashing,
                    fail_percent: self.failing.get(&order.task.job).copied(),
                };
                let answer = endpoint.start(now, &order, spec.as_ref(), faults, &mut self.random);
                if undisturbed && endpoint.starts.last() == Some(&(now, order.task, order.run)) {
                    endpoint
                        .starts_by_undisturbed_nodes
                        .push((now, order.task, order.run));
                }
                Some(Event::Started {
                    endpoint: order.endpoint,
                    task: order.task,
                    run: order.run,
                    answer,
                })
            }
            Action::Stop(order) => {
                let answer = endpoint.stop(now, &order);
                Some(Event::Stopped {
                    endpoint: order.endpoint,
                    task: order.task,
                    run: order.run,
                    answer,
                })
            }
            Action::Hold(order) => {
                endpoint.hold(now, &order, node, term, sent_ms);
                None
            }
            _ => None,
        };
        if let (Some(event), false) = (event, late) {
            self.schedule(
                ONE_WAY_DELAY_MS,
                ScheduledEvent::DeliverEvent(node, term, Box::new(event)),
            );
        }
    }

    pub(super) fn answer_holds(&mut self) {
        let now = self.now;
        let mut answers = Vec::new();
        for endpoint in self.endpoints.values_mut() {
            answers.extend(endpoint.ready_holds(now));
        }
        for hold in answers {
            if hold.node == usize::MAX {
                continue;
            }
            let lost = self.is_partitioned(hold.node, &hold.id);
            let term = hold.term;
            let event = Event::Held {
                endpoint: hold.endpoint,
                sent_ms: hold.sent_ms,
                answer: if lost {
                    HoldAnswer::Unanswered
                } else {
                    hold.answer
                },
            };
            let delay_ms = if lost { TIMEOUT_MS } else { ONE_WAY_DELAY_MS };
            self.schedule(
                delay_ms,
                ScheduledEvent::DeliverEvent(hold.node, term, Box::new(event)),
            );
        }
    }
}

fn order_target(action: &Action) -> &EndpointId {
    match action {
        Action::Start(order) => &order.id,
        Action::Stop(order) => &order.id,
        Action::Hold(order) => &order.id,
        other => panic!("no order to an endpoint: {other:?}"),
    }
}

fn unanswered_event(action: &Action, sent_ms: u64) -> Event {
    let answers = (
        StartAnswer::Unanswered,
        StopAnswer::Unanswered,
        HoldAnswer::Unanswered,
    );
    answer_event(action, sent_ms, answers)
}

fn wrong_incarnation_event(action: &Action, sent_ms: u64) -> Event {
    let answers = (
        StartAnswer::OtherIncarnation,
        StopAnswer::OtherIncarnation,
        HoldAnswer::OtherIncarnation,
    );
    answer_event(action, sent_ms, answers)
}

/// Returns the event that answers an order, with the answer for its kind.
fn answer_event(
    action: &Action,
    sent_ms: u64,
    answers: (StartAnswer, StopAnswer, HoldAnswer),
) -> Event {
    match action {
        Action::Start(order) => Event::Started {
            endpoint: order.endpoint,
            task: order.task,
            run: order.run,
            answer: answers.0,
        },
        Action::Stop(order) => Event::Stopped {
            endpoint: order.endpoint,
            task: order.task,
            run: order.run,
            answer: answers.1,
        },
        Action::Hold(order) => Event::Held {
            endpoint: order.endpoint,
            sent_ms,
            answer: answers.2,
        },
        other => panic!("no order to an endpoint: {other:?}"),
    }
}
