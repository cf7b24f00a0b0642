//! Calls of engines to agents and the platform: delays, losses, repeats and late arrivals.

use chervilfall_agent::{PollRequest, Refusal};
use chervilfall_core::{
    AgentCall, AgentFailure, AgentOrder, AgentReply, EndpointKey, Event, StoreCall, StoreFailure,
    StoreOrder,
};
use chervilfall_types::Instant;

use crate::oracle::Violation;
use crate::outside::{agent_failed, store_failed};
use crate::tamper::Tamper;
use crate::world::{domain_of, Due, World};

/// How long an engine waits for an agent beyond the wait that it asks for, in microseconds.
const AGENT_TIMEOUT_US: u64 = 400_000;
/// How long an engine waits for the platform, in microseconds.
const STORE_TIMEOUT_US: u64 = 500_000;
/// Pause between two looks of a poll, in microseconds.
const POLL_LOOK_US: u64 = 20_000;

/// Who waits for an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Caller {
    entry: usize,
    run: u64,
    sent: Instant,
    /// When it gives up.
    until_us: u64,
}

/// A call on its way to an agent.
#[derive(Debug)]
pub(crate) struct AgentTrip {
    caller: Caller,
    key: EndpointKey,
    endpoint: usize,
    call: AgentCall,
    /// Whether the answer is wanted; not for a second copy.
    wanted: bool,
}

/// A poll that waits at an agent.
#[derive(Debug)]
pub(crate) struct PollTrip {
    caller: Caller,
    key: EndpointKey,
    endpoint: usize,
    ask: PollRequest,
    over_us: u64,
}

/// A call on its way to the platform.
#[derive(Debug)]
pub(crate) struct StoreTrip {
    caller: Caller,
    order: StoreOrder,
    call: StoreCall,
}

impl World {
    pub(crate) fn send_to_agent(&mut self, entry: usize, order: AgentOrder) {
        let Some(endpoint) = self.outside.find(&order.base) else {
            return;
        };
        let wait_us = match &order.call {
            AgentCall::Poll(ask) => ask.wait_ms * 1_000,
            _ => 0,
        };
        let caller = Caller {
            entry,
            run: self.slots[entry].run,
            sent: self.engine_time(entry),
            until_us: self.now_us + wait_us + AGENT_TIMEOUT_US,
        };
        if self.agent_is_cut(entry, endpoint) {
            let failure = if self.below(2) == 0 {
                AgentFailure::NoEffect
            } else {
                AgentFailure::Unknown
            };
            self.agent_answer(caller, order.endpoint, agent_failed(&order.call, failure));
            return;
        }
        let slow = self.now_us < self.faults.slow_us;
        let mut delay_us = 300 + self.below(2_000);
        if slow {
            delay_us += self.below(1_500_000);
        }
        if slow && self.below(3) == 0 {
            let late_us = self.below(4_000_000);
            let copy = AgentTrip {
                caller,
                key: order.endpoint,
                endpoint,
                call: order.call.clone(),
                wanted: false,
            };
            self.schedule(late_us, Due::Agent(copy));
        }
        let trip = AgentTrip {
            caller,
            key: order.endpoint,
            endpoint,
            call: order.call,
            wanted: true,
        };
        self.schedule(delay_us, Due::Agent(trip));
    }

    fn agent_is_cut(&self, entry: usize, endpoint: usize) -> bool {
        let domains = [domain_of(entry), self.outside.endpoints[endpoint].domain];
        domains[0] != domains[1]
            && domains
                .iter()
                .any(|domain| self.now_us < self.faults.cut_us[*domain])
    }

    /// A call reaches an agent, or waits until the endpoint is no longer frozen.
    pub(crate) fn agent_trip(&mut self, trip: AgentTrip) {
        let frozen_until_us = self.outside.endpoints[trip.endpoint].frozen_until_us;
        if self.now_us < frozen_until_us {
            if trip.wanted {
                self.give_up_later(&trip, AgentFailure::Unknown);
            }
            let trip = AgentTrip {
                wanted: false,
                ..trip
            };
            self.schedule_at(frozen_until_us, Due::Agent(trip));
            return;
        }
        let now = self.agent_time();
        let reply = self.outside.call_agent(trip.endpoint, now, &trip.call);
        self.look_for_refusals(reply.as_ref());
        if !trip.wanted {
            return;
        }
        match (reply, &trip.call) {
            (Some(reply), _) => self.agent_answer(trip.caller, trip.key, reply),
            (None, AgentCall::Poll(ask)) => {
                let poll = PollTrip {
                    caller: trip.caller,
                    key: trip.key,
                    endpoint: trip.endpoint,
                    ask: ask.clone(),
                    over_us: self.now_us + ask.wait_ms * 1_000,
                };
                self.schedule(POLL_LOOK_US, Due::Poll(poll));
            }
            (None, _) => {}
        }
    }

    fn give_up_later(&mut self, trip: &AgentTrip, failure: AgentFailure) {
        let Caller {
            entry,
            run,
            sent,
            until_us,
        } = trip.caller;
        let event = Event::Agent {
            endpoint: trip.key,
            sent,
            reply: agent_failed(&trip.call, failure),
        };
        let at_us = until_us.max(self.now_us);
        self.schedule_at(at_us, Due::Give { entry, run, event });
    }

    /// An order that does not fit shows that the scheduler admitted more than there is.
    fn look_for_refusals(&mut self, reply: Option<&AgentReply>) {
        let Some(AgentReply::Exchange(Ok(answer))) = reply else {
            return;
        };
        for start in &answer.starts {
            if start.refusal == Some(Refusal::NoRoom) {
                let violation = Violation::Overcommitted(start.attempt.clone());
                self.oracle.violations.push(violation);
            }
        }
    }

    pub(crate) fn poll_trip(&mut self, trip: PollTrip) {
        let over = self.now_us >= trip.over_us;
        let now = self.agent_time();
        let reply = self.outside.end_poll(trip.endpoint, now, &trip.ask, over);
        match reply {
            Some(reply) => self.agent_answer(trip.caller, trip.key, reply),
            None => self.schedule(POLL_LOOK_US, Due::Poll(trip)),
        }
    }

    /// Sends an answer back; one that comes too late, or over a cut, is a failure.
    fn agent_answer(&mut self, caller: Caller, endpoint: EndpointKey, reply: AgentReply) {
        let Caller {
            entry,
            run,
            sent,
            until_us,
        } = caller;
        let at_us = self.now_us + 300 + self.below(2_000);
        let reply = if at_us > until_us {
            match reply {
                AgentReply::Lease(_) => AgentReply::Lease(Err(AgentFailure::Unknown)),
                AgentReply::List(_) => AgentReply::List(Err(AgentFailure::Unknown)),
                AgentReply::Exchange(_) => AgentReply::Exchange(Err(AgentFailure::Unknown)),
                AgentReply::Poll(_) => AgentReply::Poll(Err(AgentFailure::Unknown)),
                AgentReply::Release(_) => AgentReply::Release(Err(AgentFailure::Unknown)),
            }
        } else {
            reply
        };
        let event = Event::Agent {
            endpoint,
            sent,
            reply,
        };
        self.schedule_at(at_us, Due::Give { entry, run, event });
    }

    pub(crate) fn send_to_store(&mut self, entry: usize, order: StoreOrder, call: StoreCall) {
        let caller = Caller {
            entry,
            run: self.slots[entry].run,
            sent: self.engine_time(entry),
            until_us: self.now_us + STORE_TIMEOUT_US,
        };
        let delay_us = 500 + self.below(4_000);
        let trip = StoreTrip {
            caller,
            order,
            call,
        };
        self.schedule(delay_us, Due::Store(trip));
    }

    /// A call reaches the platform, or does not.
    pub(crate) fn store_trip(&mut self, trip: &StoreTrip) {
        let domain = domain_of(trip.caller.entry);
        let away = self.now_us < self.faults.outage_us || self.now_us < self.faults.cut_us[domain];
        let lost = self.now_us < self.faults.lose_us && self.below(2) == 0;
        if away {
            let failure = if self.below(2) == 0 {
                StoreFailure::NoEffect
            } else {
                StoreFailure::Unknown
            };
            let reply = store_failed(&trip.call, failure);
            self.store_answer(trip, reply);
            return;
        }
        let reply = self.outside.call_store(&trip.call);
        if !lost {
            self.store_answer(trip, reply);
            return;
        }
        let failure = if self.tamper == Some(Tamper::ForgetLostCommit) {
            StoreFailure::NoEffect
        } else {
            StoreFailure::Unknown
        };
        let reply = store_failed(&trip.call, failure);
        self.store_answer(trip, reply);
    }

    fn store_answer(&mut self, trip: &StoreTrip, reply: chervilfall_core::StoreReply) {
        let Caller {
            entry, run, sent, ..
        } = trip.caller;
        let event = Event::Store {
            order: trip.order,
            sent,
            reply,
        };
        let delay_us = 500 + self.below(4_000);
        self.schedule(delay_us, Due::Give { entry, run, event });
    }
}
