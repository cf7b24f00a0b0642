//! The world of a history: virtual time, engines, and everything that is on its way.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use chervilfall_core::{Action, Engine, Event, Identity, RpcCall, RpcReply, Ticket};
use chervilfall_fake::FakeTime;
use chervilfall_types::{Answer, EntryId, EntryIncarnation, Instant, RequestKey, Verdict};
use chervilfall_wire::PeerMessage;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::core_settings::core_settings;
use crate::history::{History, StepKind, WorkKind};
use crate::links::{Links, Pair};
use crate::oracle::{Oracle, Violation};
use crate::outside::{domain_name, Outside};
use crate::tamper::Tamper;

pub(crate) const DOMAINS: usize = 2;
pub(crate) const ENTRIES_A_DOMAIN: usize = 2;
const ENDPOINTS_A_DOMAIN: usize = 2;
pub(crate) const ENTRIES: usize = DOMAINS * ENTRIES_A_DOMAIN;
/// Time between two ticks of an engine, in microseconds.
const TICK_US: u64 = 40_000;
/// Time between two looks at the links, in microseconds.
const LINK_CHECK_US: u64 = 100_000;
/// Time after the last fault in which everything must come to rest, in microseconds.
const SETTLE_US: u64 = 60_000_000;
/// Time before the first step, in microseconds.
const WARM_UP_US: u64 = 3_000_000;

/// Result of a history.
#[derive(Debug, Clone)]
pub struct RunReport {
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Requests that were submitted.
    pub requests: u64,
    /// Attempts that endpoints started.
    pub starts: u64,
    /// The trace, if one was asked for.
    pub trace: Vec<String>,
}

/// Something that is due at a time.
#[derive(Debug)]
pub(crate) enum Due {
    Tick {
        entry: usize,
        run: u64,
    },
    Links,
    Give {
        entry: usize,
        run: u64,
        event: Event,
    },
    Message {
        from: usize,
        to: usize,
        session: u64,
        event: Event,
    },
    Held {
        from: usize,
        to: usize,
        session: u64,
    },
    Agent(crate::world_calls::AgentTrip),
    Poll(crate::world_calls::PollTrip),
    Store(crate::world_calls::StoreTrip),
    Step(usize),
    Replace {
        entry: usize,
    },
}

#[derive(Debug)]
struct Scheduled {
    at_us: u64,
    number: u64,
    due: Due,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.number).cmp(&(other.at_us, other.number))
    }
}

/// One entry instance.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) engine: Option<Engine>,
    pub(crate) nonce: u64,
    pub(crate) run: u64,
    pub(crate) opened_us: u64,
    /// How much faster than the world its clock runs, in parts per million.
    rate_ppm: u64,
    pub(crate) paused_until_us: u64,
    /// Events that wait for the end of a pause.
    backlog: Vec<Event>,
    pub(crate) stopping: bool,
}

/// Faults in force: the ends of each, in microseconds.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    pub(crate) outage_us: u64,
    pub(crate) lose_us: u64,
    pub(crate) slow_us: u64,
    pub(crate) cut_us: [u64; DOMAINS],
    pub(crate) pairs: Vec<(Pair, u64)>,
}

/// The world.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) now_us: u64,
    pub(crate) rng: SmallRng,
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    pub(crate) slots: Vec<Slot>,
    pub(crate) links: Links,
    pub(crate) outside: Outside,
    pub(crate) faults: Faults,
    pub(crate) oracle: Oracle,
    pub(crate) tamper: Option<Tamper>,
    pub(crate) submitted: Vec<(RequestKey, WorkKind)>,
    next_ticket: u64,
    pub(crate) finals: Vec<(Ticket, Answer)>,
    /// Text that a traced event or action must hold, and the trace.
    pub(crate) trace: Option<Trace>,
}

/// What happened around one request.
#[derive(Debug)]
pub(crate) struct Trace {
    wanted: String,
    pub(crate) lines: Vec<String>,
}

/// Runs a history and returns what the oracle found.
#[must_use]
pub fn run_history(history: &History, tamper: Option<Tamper>) -> RunReport {
    run_traced(history, tamper, None)
}

/// Runs a history as [`run_history`] does, and traces events and actions that hold a text, for
/// instance the key of a request.
#[must_use]
pub fn run_traced(history: &History, tamper: Option<Tamper>, wanted: Option<&str>) -> RunReport {
    let mut world = World::new(history.seed, tamper);
    world.trace = wanted.map(|wanted| Trace {
        wanted: wanted.to_owned(),
        lines: Vec::new(),
    });
    for entry in 0..ENTRIES {
        world.open(entry);
    }
    world.schedule(0, Due::Links);
    let mut at_us = WARM_UP_US;
    for (number, step) in history.steps.iter().enumerate() {
        at_us += u64::from(step.after_ms) * 1_000;
        world.schedule_at(at_us, Due::Step(number));
    }
    let kinds: Vec<StepKind> = history.steps.iter().map(|step| step.kind).collect();
    world.run_until(at_us, &kinds);
    world.end_faults();
    let rest_us = world.now_us + SETTLE_US;
    world.run_until(rest_us, &kinds);
    world.finish(&kinds)
}

impl World {
    fn new(seed: u64, tamper: Option<Tamper>) -> Self {
        let slot = |entry: usize| Slot {
            engine: None,
            nonce: 0,
            run: 0,
            opened_us: 0,
            rate_ppm: entry as u64 * 100,
            paused_until_us: 0,
            backlog: Vec::new(),
            stopping: false,
        };
        Self {
            now_us: 0,
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            scheduled: 0,
            slots: (0..ENTRIES).map(slot).collect(),
            links: Links::new(ENTRIES),
            outside: Outside::new(DOMAINS, ENDPOINTS_A_DOMAIN, tamper),
            faults: Faults::default(),
            oracle: Oracle::default(),
            tamper,
            submitted: Vec::new(),
            next_ticket: 0,
            finals: Vec::new(),
            trace: None,
        }
    }

    /// Returns a number below `bound`.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound.max(1))
    }

    pub(crate) fn schedule(&mut self, after_us: u64, due: Due) {
        self.schedule_at(self.now_us + after_us, due);
    }

    pub(crate) fn schedule_at(&mut self, at_us: u64, due: Due) {
        self.scheduled += 1;
        let scheduled = Scheduled {
            at_us,
            number: self.scheduled,
            due,
        };
        self.queue.push(Reverse(scheduled));
    }

    pub(crate) fn run_until(&mut self, until_us: u64, kinds: &[StepKind]) {
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at_us > until_us {
                break;
            }
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.now_us = next.at_us;
            self.happen(next.due, kinds);
        }
        self.now_us = until_us;
    }

    fn happen(&mut self, due: Due, kinds: &[StepKind]) {
        match due {
            Due::Tick { entry, run } => {
                if self.slots[entry].run == run && self.slots[entry].engine.is_some() {
                    self.schedule(TICK_US, Due::Tick { entry, run });
                    if !self.is_paused(entry) {
                        self.give(entry, Event::Tick);
                        self.replace_stopped(entry);
                    }
                }
            }
            Due::Links => {
                self.check_links();
                self.schedule(LINK_CHECK_US, Due::Links);
            }
            Due::Give { entry, run, event } => {
                if self.slots[entry].run == run {
                    self.give(entry, event);
                }
            }
            Due::Message {
                from,
                to,
                session,
                event,
            } => self.arrive(from, to, session, event),
            Due::Held { from, to, session } => self.held(from, to, session),
            Due::Agent(trip) => self.agent_trip(trip),
            Due::Poll(trip) => self.poll_trip(trip),
            Due::Store(trip) => self.store_trip(&trip),
            Due::Step(number) => {
                self.note(usize::MAX - 1, "Log step", &kinds[number]);
                self.step(kinds[number]);
            }
            Due::Replace { entry } => {
                if self.slots[entry].engine.is_none() {
                    self.open(entry);
                }
            }
        }
    }

    /// Starts a run of an entry instance.
    pub(crate) fn open(&mut self, entry: usize) {
        let nonce = self.rng.random();
        let seed = self.rng.random();
        let identity = Identity {
            incarnation: EntryIncarnation {
                entry: entry_id(entry),
                nonce,
            },
            domain: domain_name(domain_of(entry)),
        };
        let slot = &mut self.slots[entry];
        slot.engine = Some(Engine::new(identity, core_settings(entry), seed));
        slot.nonce = nonce;
        slot.run += 1;
        slot.opened_us = self.now_us;
        slot.paused_until_us = 0;
        slot.backlog.clear();
        slot.stopping = false;
        let run = slot.run;
        self.schedule(0, Due::Tick { entry, run });
    }

    /// Ends the run of an entry instance without warning.
    pub(crate) fn kill(&mut self, entry: usize) {
        let slot = &mut self.slots[entry];
        slot.engine = None;
        slot.run += 1;
        slot.backlog.clear();
        self.break_links(entry);
    }

    fn replace_stopped(&mut self, entry: usize) {
        let slot = &self.slots[entry];
        let stopped = slot.engine.as_ref().is_some_and(Engine::is_stopped);
        if slot.stopping && stopped {
            self.kill(entry);
            self.schedule(200_000, Due::Replace { entry });
        }
    }

    pub(crate) fn is_paused(&self, entry: usize) -> bool {
        self.now_us < self.slots[entry].paused_until_us
    }

    /// Returns an engine's own time.
    pub(crate) fn engine_time(&self, entry: usize) -> Instant {
        let slot = &self.slots[entry];
        let passed_us = self.now_us - slot.opened_us;
        Instant((passed_us + passed_us * slot.rate_ppm / 1_000_000) / 1_000)
    }

    pub(crate) const fn agent_time(&self) -> FakeTime {
        FakeTime(self.now_us)
    }

    /// Gives an event to an engine, now or at the end of its pause.
    pub(crate) fn give(&mut self, entry: usize, event: Event) {
        if self.slots[entry].engine.is_none() {
            return;
        }
        if self.is_paused(entry) {
            self.slots[entry].backlog.push(event);
            return;
        }
        let mut events = std::mem::take(&mut self.slots[entry].backlog);
        events.push(event);
        for event in events {
            let now = self.engine_time(entry);
            let mut actions = Vec::new();
            self.note(entry, "<-", &event);
            let Some(engine) = &mut self.slots[entry].engine else {
                return;
            };
            engine.handle(now, event, &mut actions);
            let version = engine.configuration_version();
            let nonce = self.slots[entry].nonce;
            self.oracle.version(nonce, version);
            for action in actions {
                self.carry_out(entry, action);
            }
        }
    }

    /// Adds an event or an action to the trace if it is wanted.
    pub(crate) fn note(&mut self, entry: usize, arrow: &str, what: &impl std::fmt::Debug) {
        let Some(trace) = &mut self.trace else {
            return;
        };
        let text = format!("{what:?}");
        if text.contains(&trace.wanted) || text.starts_with("Log") || arrow.starts_with("Log") {
            let ms = self.now_us / 1_000;
            trace
                .lines
                .push(format!("{ms} {} {arrow} {text}", entry + 1));
        }
    }

    fn carry_out(&mut self, entry: usize, action: Action) {
        self.note(entry, "->", &action);
        match action {
            Action::Reply { ticket, reply } => self.replied(ticket, reply),
            Action::Send { to, mut message } => {
                if self.tamper == Some(Tamper::TrustRefusals) {
                    trust_refusal(&mut message);
                }
                let to = to.0 as usize - 1;
                let delay_us = 500 + self.below(3_000);
                if let Some((session, at_us)) = self.links.send(entry, to, self.now_us, delay_us) {
                    let from = entry_id(entry);
                    let event = Event::Peer { from, message };
                    let due = Due::Message {
                        from: entry,
                        to,
                        session,
                        event,
                    };
                    self.schedule_at(at_us, due);
                }
            }
            Action::Agent(order) => self.send_to_agent(entry, order),
            Action::Store { order, call } => self.send_to_store(entry, order, call),
            Action::Log { .. } => {}
        }
    }

    fn replied(&mut self, ticket: Ticket, reply: RpcReply) {
        let RpcReply::Answer(mut answer) = reply else {
            return;
        };
        if self.tamper == Some(Tamper::RoundDown) && answer.verdict == Some(Verdict::MayHaveRun) {
            answer.verdict = Some(Verdict::NotRun);
        }
        self.finals.push((ticket, answer.clone()));
        self.oracle.answered(ticket, answer.clone(), self.now_us);
        if self.tamper == Some(Tamper::AnswerTwice) {
            self.oracle.answered(ticket, answer, self.now_us);
        }
    }

    /// Returns the ticket of the next call.
    pub(crate) const fn peek_ticket(&self) -> Ticket {
        Ticket(self.next_ticket + 1)
    }

    /// Has a caller call an instance.
    pub(crate) fn call(&mut self, entry: usize, call: RpcCall) -> Ticket {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let call = Box::new(call);
        self.give(entry, Event::Rpc { ticket, call });
        ticket
    }

    /// Ends all faults and replaces instances that are gone.
    fn end_faults(&mut self) {
        self.faults = Faults::default();
        for entry in 0..ENTRIES {
            self.slots[entry].paused_until_us = 0;
            if self.slots[entry].engine.is_none() {
                self.open(entry);
            }
        }
        for endpoint in &mut self.outside.endpoints {
            endpoint.frozen_until_us = 0;
            endpoint.agent.faults.fail_everything = false;
        }
    }
}

/// Has an instance speak for all others on what became of a key.
fn trust_refusal(message: &mut PeerMessage) {
    if let PeerMessage::Fetched(fetched) = message {
        fetched.authoritative = true;
    }
}

pub(crate) fn entry_id(entry: usize) -> EntryId {
    EntryId(u32::try_from(entry).unwrap_or(0) + 1)
}

pub(crate) const fn domain_of(entry: usize) -> usize {
    entry / ENTRIES_A_DOMAIN
}
