//! One endpoint's agent as a state machine: lease, attempts, events, fence and journal.

use std::collections::{BTreeMap, HashMap};

use chervilfall_agent::{
    AgentEvent, AgentOutcome, AttemptUsage, ExchangeAnswer, ExchangeRequest, LeaseAnswer,
    LeaseRequest, ListAnswer, PollAnswer, PollRequest, Refusal, RunningAttempt, StaleEpoch,
    StartOrder, StartResult, StopMode,
};
use chervilfall_types::{AttemptKey, EndpointName, Epoch, RemoteInstant, Resources};
use serde::{Deserialize, Serialize};

use crate::journal::{JournalEntry, JournalKind};

/// Time since an agent started, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FakeTime(pub u64);

impl FakeTime {
    const fn of_ms(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns the whole milliseconds.
    #[must_use]
    pub const fn ms(self) -> u64 {
        self.0 / 1_000
    }
}

/// How far reported usage lags, in milliseconds.
const USAGE_LAG_MS: u64 = 2_000;
/// Prefix of a payload that says how long the attempt really runs, in milliseconds.
const RUN_PREFIX: &str = "run=";

/// Fixed properties of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct AgentLimits {
    /// What it can carry.
    pub capacity: Resources,
    /// How long it goes on without a lease before it stops its attempts, in milliseconds.
    pub orphan_ms: u64,
}

/// Faults that can be set at run time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AgentFaults {
    /// Whether every attempt fails at once.
    pub fail_everything: bool,
    /// How much longer attempts run, in thousandths of their time.
    pub slow_permille: u64,
    /// Whether calls are not answered, and do not take effect, until this is taken back.
    pub freeze: bool,
    /// How much longer each call takes, in milliseconds.
    pub delay_ms: u64,
    /// Whether the endpoint says that it is leaving.
    pub leaving: bool,
}

#[derive(Debug)]
struct Lease {
    holder: String,
    until_ms: u64,
}

#[derive(Debug)]
struct Running {
    order: StartOrder,
    started: FakeTime,
    ends_at_ms: Option<u64>,
    throttled: bool,
}

/// One endpoint's agent.
#[derive(Debug)]
pub struct Agent {
    base_us: u64,
    checks_capacity: bool,
    checks_start_bound: bool,
    name: EndpointName,
    limits: AgentLimits,
    /// Faults that are set.
    pub faults: AgentFaults,
    epoch: Epoch,
    lease: Option<Lease>,
    /// When the last lease lapsed or was given back.
    lease_end_ms: u64,
    fence: String,
    running: BTreeMap<AttemptKey, Running>,
    ended: BTreeMap<u64, AgentEvent>,
    last_event: u64,
    /// Attempts that must not start by a late copy of their order, until their start bound.
    settled: HashMap<AttemptKey, (RemoteInstant, Option<Refusal>)>,
    /// What it started and ended.
    pub journal: Vec<JournalEntry>,
}

impl Agent {
    /// Returns an agent that counts time from `base_us`, the system's clock in microseconds when
    /// it started. Its epochs begin there too, above all that an earlier run of it can have
    /// granted.
    #[must_use]
    pub fn new(name: EndpointName, limits: AgentLimits, base_us: u64) -> Self {
        Self {
            base_us,
            checks_capacity: true,
            checks_start_bound: true,
            name,
            limits,
            faults: AgentFaults::default(),
            epoch: Epoch(base_us),
            lease: None,
            lease_end_ms: 0,
            fence: String::new(),
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            last_event: 0,
            settled: HashMap::new(),
            journal: Vec::new(),
        }
    }

    /// Ends what is due: attempts that ran their time, the lease, and attempts without one. Each
    /// ends at the time at which it was due, however late this is called.
    pub fn advance(&mut self, now: FakeTime) {
        if let Some(lease) = &self.lease {
            if now.ms() >= lease.until_ms {
                self.lease_end_ms = lease.until_ms;
                self.lease = None;
            }
        }
        let orphaned_at_ms = self.lease_end_ms + self.limits.orphan_ms;
        let orphaned = self.lease.is_none() && now.ms() >= orphaned_at_ms;
        let bound_ms = if orphaned { orphaned_at_ms } else { now.ms() };
        let mut due: Vec<(u64, AttemptKey)> = self
            .running
            .iter()
            .filter_map(|(key, running)| Some((running.ends_at_ms?, key.clone())))
            .filter(|(at_ms, _)| *at_ms <= bound_ms)
            .collect();
        due.sort();
        for (at_ms, key) in due {
            let outcome = self.outcome_of(&key);
            self.end(now.min(FakeTime::of_ms(at_ms)), &key, outcome);
        }
        if orphaned {
            let left: Vec<AttemptKey> = self.running.keys().cloned().collect();
            for key in left {
                let at = FakeTime::of_ms(orphaned_at_ms);
                self.end(now.min(at), &key, AgentOutcome::Stopped);
            }
        }
        self.settled
            .retain(|_, (start_by, _)| start_by.0 >= now.ms());
    }

    fn outcome_of(&self, key: &AttemptKey) -> AgentOutcome {
        if self.faults.fail_everything {
            return AgentOutcome::Failed("the endpoint fails everything".to_owned());
        }
        AgentOutcome::Ran(format!("done {}/{}", key.task.request, key.task.index))
    }

    fn end(&mut self, at: FakeTime, key: &AttemptKey, outcome: AgentOutcome) {
        let Some(running) = self.running.remove(key) else {
            return;
        };
        // Due times are whole milliseconds; nothing ends before it started.
        let at = at.max(running.started);
        self.last_event += 1;
        let event = AgentEvent {
            number: self.last_event,
            attempt: key.clone(),
            outcome: outcome.clone(),
            note: running.order.note,
        };
        self.ended.insert(event.number, event);
        let settled = (running.order.start_by, None);
        self.settled.insert(key.clone(), settled);
        self.record(at, key, JournalKind::Ended(outcome));
    }

    fn record(&mut self, now: FakeTime, attempt: &AttemptKey, kind: JournalKind) {
        self.journal.push(JournalEntry {
            at_us: self.base_us + now.0,
            endpoint: self.name.clone(),
            attempt: attempt.clone(),
            kind,
        });
    }

    fn reserved(&self) -> Resources {
        let mut reserved = Resources::default();
        for running in self.running.values() {
            reserved += running.order.resources;
        }
        reserved
    }

    /// Returns the epoch in force and puts a lease into force if there is none: for tests that
    /// show what happens without the check of epochs.
    pub fn force_epoch(&mut self) -> Epoch {
        self.lease.get_or_insert(Lease {
            holder: String::new(),
            until_ms: u64::MAX,
        });
        self.epoch
    }

    /// Starts attempts after their start bound from now on: for tests that show what happens
    /// without the check of the bound.
    pub const fn ignore_start_bound(&mut self) {
        self.checks_start_bound = false;
    }

    /// Takes attempts beyond the capacity from now on: for tests that show what happens without
    /// the check of capacity.
    pub const fn ignore_capacity(&mut self) {
        self.checks_capacity = false;
    }

    fn check(&self, epoch: Epoch) -> Result<(), StaleEpoch> {
        if self.lease.is_some() && epoch == self.epoch {
            return Ok(());
        }
        Err(StaleEpoch { epoch: self.epoch })
    }

    /// Grants the control lease, unless another holder's is in force.
    pub fn lease(&mut self, now: FakeTime, ask: LeaseRequest) -> LeaseAnswer {
        let other = self
            .lease
            .as_ref()
            .filter(|lease| lease.holder != ask.holder);
        if let Some(lease) = other {
            return LeaseAnswer {
                granted: false,
                epoch: self.epoch,
                remaining_ms: lease.until_ms - now.ms(),
                clock: RemoteInstant(now.ms()),
            };
        }
        self.epoch.0 += 1;
        self.lease = Some(Lease {
            holder: ask.holder,
            until_ms: now.ms() + ask.lease_ms,
        });
        LeaseAnswer {
            granted: true,
            epoch: self.epoch,
            remaining_ms: ask.lease_ms,
            clock: RemoteInstant(now.ms()),
        }
    }

    /// Takes the lease back.
    ///
    /// # Errors
    ///
    /// Returns the epoch in force if the asker's is another or has lapsed.
    pub fn release(&mut self, now: FakeTime, epoch: Epoch) -> Result<(), StaleEpoch> {
        self.check(epoch)?;
        self.lease = None;
        self.lease_end_ms = now.ms();
        Ok(())
    }

    /// Carries out orders.
    ///
    /// # Errors
    ///
    /// Returns the epoch in force if the asker's is another or has lapsed.
    pub fn exchange(
        &mut self,
        now: FakeTime,
        ask: ExchangeRequest,
    ) -> Result<ExchangeAnswer, StaleEpoch> {
        self.check(ask.epoch)?;
        if let Some(fence) = ask.fence {
            self.fence = fence;
        }
        for key in &ask.forget {
            self.ended.retain(|_, event| event.attempt != *key);
        }
        let mut starts = Vec::new();
        for order in ask.starts {
            let attempt = order.attempt.clone();
            let refusal = self.start(now, order);
            starts.push(StartResult { attempt, refusal });
        }
        for stop in ask.stops {
            match stop.mode {
                StopMode::Stop => self.end(now, &stop.attempt, AgentOutcome::Stopped),
                StopMode::Checkpoint => self.end(now, &stop.attempt, AgentOutcome::Checkpointed),
                StopMode::Throttle => self.throttle(now, &stop.attempt),
            }
        }
        Ok(ExchangeAnswer {
            clock: RemoteInstant(now.ms()),
            starts,
        })
    }

    fn start(&mut self, now: FakeTime, order: StartOrder) -> Option<Refusal> {
        if self.running.contains_key(&order.attempt) {
            return None;
        }
        if let Some((_, refusal)) = self.settled.get(&order.attempt) {
            return *refusal;
        }
        let known = |event: &AgentEvent| event.attempt == order.attempt;
        if self.ended.values().any(known) {
            return None;
        }
        let refusal = self.refusal(now, &order);
        if refusal.is_some() {
            let settled = (order.start_by, refusal);
            self.settled.insert(order.attempt, settled);
            return refusal;
        }
        let key = order.attempt.clone();
        let run_ms = self.run_ms(&order);
        let ends_at_ms =
            (!order.endless || self.faults.fail_everything).then_some(now.ms() + run_ms);
        let running = Running {
            order,
            started: now,
            ends_at_ms,
            throttled: false,
        };
        self.running.insert(key.clone(), running);
        let kind = JournalKind::Started {
            reserved: self.reserved(),
            capacity: self.limits.capacity,
            leaving: self.faults.leaving,
        };
        self.record(now, &key, kind);
        None
    }

    fn refusal(&self, now: FakeTime, order: &StartOrder) -> Option<Refusal> {
        if self.checks_start_bound && now.ms() > order.start_by.0 {
            return Some(Refusal::Late);
        }
        if self.faults.leaving {
            return Some(Refusal::Leaving);
        }
        let free = self.limits.capacity.saturating_sub(&self.reserved());
        let full = self.checks_capacity && !order.resources.fits(&free);
        full.then_some(Refusal::NoRoom)
    }

    /// Returns how long an attempt really runs.
    fn run_ms(&self, order: &StartOrder) -> u64 {
        if self.faults.fail_everything {
            return 0;
        }
        let said = order.payload.strip_prefix(RUN_PREFIX);
        let said = said.and_then(|rest| rest.split(';').next()?.parse().ok());
        let run_ms: u64 = said.unwrap_or(order.run_ms);
        run_ms + run_ms * self.faults.slow_permille / 1_000
    }

    /// Doubles what is left of an attempt's time.
    fn throttle(&mut self, now: FakeTime, key: &AttemptKey) {
        if let Some(running) = self.running.get_mut(key) {
            if !running.throttled {
                running.throttled = true;
                running.ends_at_ms = running
                    .ends_at_ms
                    .map(|at_ms| at_ms + at_ms.saturating_sub(now.ms()));
            }
        }
    }

    /// Renews the lease, unless the request came too late.
    ///
    /// # Errors
    ///
    /// Returns the epoch in force if the asker's is another or has lapsed.
    pub fn renew(&mut self, now: FakeTime, ask: &PollRequest) -> Result<(), StaleEpoch> {
        self.check(ask.epoch)?;
        if let Some(lease) = &mut self.lease {
            if now.ms() <= ask.renew_by.0 {
                lease.until_ms = lease.until_ms.max(now.ms() + ask.lease_ms);
            }
        }
        Ok(())
    }

    /// Returns whether there are events after a number.
    #[must_use]
    pub const fn has_events(&self, after: u64) -> bool {
        self.last_event > after
    }

    /// Returns the events after a number.
    ///
    /// # Errors
    ///
    /// Returns the epoch in force if the asker's is another or has lapsed.
    pub fn poll(&self, now: FakeTime, ask: &PollRequest) -> Result<PollAnswer, StaleEpoch> {
        self.check(ask.epoch)?;
        let events = self.ended.range(ask.after + 1..);
        Ok(PollAnswer {
            clock: RemoteInstant(now.ms()),
            events: events
                .map(|(_, event)| AgentEvent {
                    note: String::new(),
                    ..event.clone()
                })
                .collect(),
            leaving: self.faults.leaving,
            usage: self.usage(now),
        })
    }

    /// Returns what attempts used a while ago: less than they hold, as declared sizes are far off,
    /// and nothing of those that started since.
    fn usage(&self, now: FakeTime) -> Vec<AttemptUsage> {
        let used = |running: &Running| {
            let amounts = running
                .order
                .resources
                .amounts()
                .map(|amount| amount * 6 / 10);
            Resources::from_amounts(amounts)
        };
        self.running
            .iter()
            .filter(|(_, running)| now.ms() >= running.started.ms() + USAGE_LAG_MS)
            .map(|(key, running)| AttemptUsage {
                attempt: key.clone(),
                used: used(running),
            })
            .collect()
    }

    /// Returns everything that runs or has ended.
    ///
    /// # Errors
    ///
    /// Returns the epoch in force if the asker's is another or has lapsed.
    pub fn list(&self, now: FakeTime, epoch: Epoch) -> Result<ListAnswer, StaleEpoch> {
        self.check(epoch)?;
        let running = self.running.iter().map(|(key, running)| RunningAttempt {
            attempt: key.clone(),
            resources: running.order.resources,
            note: running.order.note.clone(),
        });
        Ok(ListAnswer {
            clock: RemoteInstant(now.ms()),
            capacity: self.limits.capacity,
            leaving: self.faults.leaving,
            running: running.collect(),
            ended: self.ended.values().cloned().collect(),
            last_event: self.last_event,
            fence: self.fence.clone(),
        })
    }

    /// Returns when the next attempt ends by itself.
    #[must_use]
    pub fn next_end_ms(&self) -> Option<u64> {
        self.running
            .values()
            .filter_map(|running| running.ends_at_ms)
            .min()
    }

    /// Returns what its attempts hold and what it can carry.
    #[must_use]
    pub fn load(&self) -> (Resources, Resources) {
        (self.reserved(), self.limits.capacity)
    }
}
