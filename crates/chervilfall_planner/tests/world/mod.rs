//! A simulation of planners in virtual time: nodes, a store, endpoints, an advice service, and an
//! oracle that checks what endpoints and callers observe.

#![allow(dead_code)]

pub mod busy;
mod callers;
pub mod counters;
pub mod endpoint;
pub mod lines;
mod nodes;
pub mod oracle;
mod orders;
pub mod outages;
pub mod random;
pub mod standstill;
pub mod store;
pub mod tables;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use chervilfall_planner::{
    Action, AdviceTimings, Answer, Batch, Candidate, Configuration, DomainName, EndpointId,
    EndpointKey, Event, Identity, JobId, JobSpec, Limits, Planner, Queue, StartNote, Step, TaskKey,
};

use busy::WorkCost;
use endpoint::{CrashBehavior, FakeEndpoint};
use random::Random;
use standstill::Standstill;
use store::FakeStore;

/// One-way network delay of an order or a transaction, in milliseconds.
const ONE_WAY_DELAY_MS: u64 = 2;
/// Time of day at the start of the simulation, in milliseconds since 1970.
pub const START_UNIX_MS: u64 = 1_700_000_000_000;
/// Milliseconds after which a call to an endpoint or to the store times out.
const TIMEOUT_MS: u64 = 500;

/// Something that is due at a later time.
#[derive(Debug, Clone)]
pub enum ScheduledEvent {
    /// An order reaches its endpoint: sending node, its term, the order, when it was sent.
    DeliverOrder(usize, u64, Box<Action>, u64),
    /// An event reaches a node's planner, if it still has this term.
    DeliverEvent(usize, u64, Box<Event>),
    /// A transaction of a node and term reaches the store; the flag tells whether it is answered.
    ApplyCommit(usize, u64, Box<Batch>, bool),
}

/// A node that may hold the group.
pub struct FakeNode {
    pub planner: Option<Planner>,
    pub candidate: Candidate,
    pub frozen_until_ms: u64,
    /// Its planner is at work until then, in nanoseconds.
    pub busy_until_ns: u64,
    pub cut_until_ms: u64,
    pub store_cut_until_ms: u64,
    /// When its process was last started after a kill.
    pub began_ms: u64,
    /// Failure domain; the store is in domain 0.
    pub domain: usize,
    pub replies: BTreeMap<u64, Answer>,
    /// Starts that it ordered as the holder and could not store.
    pub unstored: Vec<StartNote>,
    pub keys: BTreeMap<EndpointKey, EndpointId>,
}

/// The simulation: all nodes, the store, the endpoints and the faults in force.
pub struct World {
    pub now: u64,
    pub limits: Limits,
    pub nodes: Vec<FakeNode>,
    pub store: FakeStore,
    pub endpoints: BTreeMap<EndpointId, FakeEndpoint>,
    pub config: Arc<Configuration>,
    pub queue: Queue,
    pub scheduled: BTreeMap<(u64, u64), ScheduledEvent>,
    pub sequence: u64,
    pub random: Random,
    /// Percentage of orders that are not answered and are carried out late.
    pub late_percent: u64,
    /// Starts reach no endpoint, though no fault is in force: for tests of the checks.
    pub drops_starts: bool,
    /// When a node last took the group over.
    taken_over_ms: u64,
    /// Last time at which an answer of the store could be lost.
    store_lossy_ms: u64,
    /// Failure domains cannot reach each other until then.
    pub partitioned_until_ms: u64,
    /// Broken invariants that were found so far.
    pub violations: Vec<String>,
    /// Faults and takeovers, for [`World::event_log`].
    pub faults: Vec<(u64, String)>,
    /// Nodes that can call for advice.
    pub advisors: u32,
    /// Nodes whose calls for advice fail at once.
    pub failing_advisors: BTreeSet<u32>,
    pub failed_advice_calls: u64,
    /// Calls for advice take as long as the queue's timings say, instead of 15 ms.
    pub advice_timed: bool,
    /// Percentage of endpoints that the advice service allows a step.
    pub advice_percent: u64,
    /// The same for the steps of some jobs.
    pub advice_percents: BTreeMap<JobId, u64>,
    /// Time that a planner's work takes; none if work takes no time.
    pub work_cost: Option<WorkCost>,
    /// Processor time that planners spent on their events.
    pub planning: Duration,
    pub jobs: BTreeMap<JobId, JobSpec>,
    pub accepted: BTreeSet<JobId>,
    pub refused: BTreeSet<JobId>,
    pub cancelled: BTreeSet<JobId>,
    /// Percentage of the runs of some jobs that fail, on any endpoint.
    pub failing: BTreeMap<JobId, u64>,
    /// Jobs whose tasks crash their endpoints.
    pub crashing: BTreeMap<JobId, CrashBehavior>,
    /// Planners read the last entry that an endpoint has written, instead of its current state.
    pub uses_reported_entries: bool,
    /// Failure domains that are evacuated.
    pub evacuated: BTreeSet<DomainName>,
    /// Percentage of new holders that renew their claim once while they read the rows, and get no
    /// answer although the store carries the renewal out.
    pub unanswered_renewal_percent: u64,
    /// Crashed endpoints are replaced after this time.
    pub restart_delay_ms: u64,
    /// Replacements of crashed endpoints keep their name.
    keeps_names: bool,
    next_request: u64,
    /// Check that no job stands still.
    pub standstill: Standstill,
}

/// Returns a step whose tasks need one core each.
pub fn step(count: u32, work_ms: u64) -> Step {
    Step {
        count,
        cpu_milli: 1_000,
        memory_mb: 100,
        estimate_ms: work_ms,
        ..Step::default()
    }
}

impl World {
    pub fn new(nodes: usize, endpoints: usize, seed: u64) -> Self {
        let queue = Queue {
            name: "batch".to_owned(),
            service: "pool".to_owned(),
            priority: 1,
            attempts: 2,
            stretch: 2.0,
            target_latency_ms: 1_000,
            advice: Some(AdviceTimings {
                decide_ms: 10.0,
                each_ms: 0.1,
                valid_ms: 1_500,
            }),
            configuration: 1,
        };
        let config = Configuration {
            version: 1,
            queues: BTreeMap::from([(queue.name.clone(), queue.clone())]),
            ..Configuration::default()
        };
        let nodes = (0..nodes).map(|number| FakeNode {
            planner: None,
            candidate: identity(number, number as u64 + 1, 0),
            frozen_until_ms: 0,
            busy_until_ns: 0,
            cut_until_ms: 0,
            store_cut_until_ms: 0,
            began_ms: 0,
            domain: 0,
            replies: BTreeMap::new(),
            unstored: Vec::new(),
            keys: BTreeMap::new(),
        });
        let endpoints = (0..endpoints).map(|number| {
            let endpoint = FakeEndpoint::new(number, 4_000);
            (endpoint.id.clone(), endpoint)
        });
        Self {
            now: 1_000,
            limits: Limits::default(),
            nodes: nodes.collect(),
            store: FakeStore::default(),
            endpoints: endpoints.collect(),
            config: Arc::new(config),
            queue,
            scheduled: BTreeMap::new(),
            sequence: 0,
            random: Random::new(seed),
            late_percent: 0,
            drops_starts: false,
            taken_over_ms: 0,
            store_lossy_ms: 0,
            partitioned_until_ms: 0,
            violations: Vec::new(),
            faults: Vec::new(),
            advisors: 4,
            failing_advisors: BTreeSet::new(),
            failed_advice_calls: 0,
            advice_timed: false,
            advice_percent: 100,
            advice_percents: BTreeMap::new(),
            work_cost: None,
            planning: Duration::ZERO,
            jobs: BTreeMap::new(),
            accepted: BTreeSet::new(),
            refused: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            failing: BTreeMap::new(),
            crashing: BTreeMap::new(),
            uses_reported_entries: false,
            evacuated: BTreeSet::new(),
            unanswered_renewal_percent: 0,
            restart_delay_ms: 4_000,
            keeps_names: false,
            next_request: 0,
            standstill: Standstill::default(),
        }
    }

    fn schedule(&mut self, delay_ms: u64, event: ScheduledEvent) {
        self.sequence += 1;
        self.scheduled
            .insert((self.now + delay_ms, self.sequence), event);
    }

    /// Advances the simulation by this time.
    pub fn run(&mut self, for_ms: u64) {
        let end = self.now + for_ms;
        while self.now < end {
            self.now += 5;
            if self.store.lost_answer_percent > 0 {
                self.store_lossy_ms = self.now;
            }
            self.deliver_due_events();
            let now = self.now;
            let store_down = self.store.down_until_ms > now;
            for endpoint in self.endpoints.values_mut() {
                endpoint.advance(now, &mut self.violations);
                endpoint.write_report(now, store_down);
            }
            self.break_gangs_with_lost_members();
            self.restart_crashed_endpoints();
            self.answer_holds();
            for node in 0..self.nodes.len() {
                self.run_node(node);
            }
            self.check();
        }
    }

    /// Advances the simulation until `done` holds.
    ///
    /// # Panics
    ///
    /// Panics with the violations found if `done` does not hold within `bound_ms`.
    pub fn run_until(&mut self, bound_ms: u64, done: impl Fn(&Self) -> bool) {
        let end = self.now + bound_ms;
        while self.now < end {
            if done(self) {
                return;
            }
            self.run(5);
        }
        panic!(
            "not done within {bound_ms} ms; violations: {:?}",
            self.violations
        );
    }

    fn deliver_due_events(&mut self) {
        while let Some(entry) = self.scheduled.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                ScheduledEvent::DeliverOrder(node, term, action, sent_ms) => {
                    self.deliver_order(node, term, *action, sent_ms);
                }
                ScheduledEvent::DeliverEvent(node, term, event) => {
                    self.deliver_event(node, term, *event);
                }
                ScheduledEvent::ApplyCommit(node, term, batch, answered) => {
                    let outcome = self.store.commit(self.now, &batch);
                    self.violations.append(&mut self.store.refused);
                    if answered && self.now < self.store.down_until_ms {
                        // The store became unreachable while the call was in flight.
                        continue;
                    }
                    if answered {
                        let (number, copy) = (batch.number, batch.copy);
                        let event = Event::Committed {
                            number,
                            copy,
                            outcome,
                        };
                        self.schedule(
                            ONE_WAY_DELAY_MS,
                            ScheduledEvent::DeliverEvent(node, term, Box::new(event)),
                        );
                    }
                }
            }
        }
    }

    /// Ends the remaining members of gangs that have lost a member in a crash.
    fn break_gangs_with_lost_members(&mut self) {
        let crashed = self.endpoints.values_mut();
        let lost_runs = crashed.flat_map(|endpoint| std::mem::take(&mut endpoint.lost_runs));
        let lost_runs: Vec<_> = lost_runs.collect();
        for (member, run) in lost_runs {
            let steps = self.jobs.get(&member.job).map(|job| &job.steps);
            let step = steps.and_then(|steps| steps.get(usize::from(member.step)));
            if !step.is_some_and(|step| step.gang) {
                continue;
            }
            let others = self.endpoints.values_mut();
            let others = others.flat_map(|endpoint| &mut endpoint.running);
            for (task, other) in others {
                let same_step = (task.job, task.step) == (member.job, member.step);
                other.broken |= same_step && other.run == run;
            }
        }
    }

    /// Starts a new incarnation of each endpoint that crashed at least `restart_delay_ms` ago.
    fn restart_crashed_endpoints(&mut self) {
        let (now, restart_delay_ms) = (self.now, self.restart_delay_ms);
        let due = self.endpoints.values_mut().filter(|endpoint| {
            let crashed = endpoint.crashed;
            !endpoint.replaced && crashed.is_some_and(|(at_ms, _)| now >= at_ms + restart_delay_ms)
        });
        let mut replacements = Vec::new();
        for endpoint in due {
            if self.keeps_names {
                // The wall clock may have been set back since the last start.
                let stepped_ms = self.random.below(2) * self.random.below(20_000);
                let born_ms = START_UNIX_MS + now - stepped_ms;
                endpoint.start_again(now, born_ms, self.random.below(200_000));
                self.faults
                    .push((now, format!("fault {} has restarted", endpoint.id)));
                continue;
            }
            endpoint.replaced = true;
            endpoint.listed = false;
            replacements.push(endpoint.next_incarnation(0));
        }
        for endpoint in replacements {
            let number = self.endpoints.len();
            let mut endpoint = endpoint.next_incarnation(number);
            endpoint.replaced_other_ms = now;
            self.endpoints.insert(endpoint.id.clone(), endpoint);
        }
    }

    /// Makes the usual queue ask the advice service, which allows a step most endpoints.
    pub fn advise_usual_queue(&mut self) {
        self.advice_percent = 80;
        self.queue.advice = Some(AdviceTimings {
            decide_ms: 20.0,
            each_ms: 1.0,
            valid_ms: 1_500,
        });
        self.config = Arc::new(Configuration {
            queues: BTreeMap::from([(self.queue.name.clone(), self.queue.clone())]),
            ..Configuration::clone(&self.config)
        });
    }

    /// Makes endpoints keep their names when they restart, and report when they were started.
    pub fn keep_names(&mut self) {
        self.keeps_names = true;
        for endpoint in self.endpoints.values_mut() {
            endpoint.born_ms = Some(START_UNIX_MS);
        }
    }

    /// Returns the times of a task's starts and of the crashes that it caused, each in order.
    pub fn starts_and_crashes(&self, task: TaskKey) -> (Vec<u64>, Vec<u64>) {
        let starts = self
            .endpoints
            .values()
            .flat_map(|endpoint| &endpoint.starts);
        let starts = starts.filter(|(_, started, _)| *started == task);
        let mut starts: Vec<u64> = starts.map(|(at_ms, ..)| *at_ms).collect();
        let crashes = self.endpoints.values().flat_map(FakeEndpoint::crashes);
        let crashes = crashes.filter(|(_, culprit)| *culprit == Some(task));
        let mut crashes: Vec<u64> = crashes.map(|(at_ms, _)| at_ms).collect();
        starts.sort_unstable();
        crashes.sort_unstable();
        (starts, crashes)
    }

    /// Returns the number of starts of a job's tasks and of the crashes that they caused.
    pub fn starts_and_crashes_of(&self, job: JobId) -> (usize, usize) {
        let starts = self
            .endpoints
            .values()
            .flat_map(|endpoint| &endpoint.starts);
        let starts = starts.filter(|(_, task, _)| task.job == job).count();
        let crashes = self.endpoints.values().flat_map(FakeEndpoint::crashes);
        let culprits = crashes.filter_map(|(_, culprit)| culprit);
        (starts, culprits.filter(|task| task.job == job).count())
    }

    /// Returns the highest number of endpoint crashes during runs of one task of a job, whatever
    /// caused them.
    pub fn max_crashes_under(&self, job: JobId) -> usize {
        oracle::max_crashes_under(&self.endpoints, job)
    }

    /// Returns whether a task of the job has used all attempts of its queue, according to the
    /// failures that endpoints have reported.
    pub fn has_used_attempts(&self, job: JobId) -> bool {
        let attempts = self.queue.attempts as usize;
        oracle::has_used_attempts(&self.endpoints, &self.jobs, job, attempts)
    }

    fn check(&mut self) {
        oracle::check_overlaps(self.endpoints.values(), self.now, &mut self.violations);
        let mut standstill = std::mem::take(&mut self.standstill);
        standstill.check(self);
        self.standstill = standstill;
    }

    /// Returns the starts and ends of every task and endpoint that a violation names, and all
    /// faults, in order of time.
    pub fn event_log(&self) -> String {
        let mut lines: Vec<(u64, String)> = Vec::new();
        for endpoint in self.endpoints.values() {
            let id = &endpoint.id;
            for (at_ms, task, run) in &endpoint.starts {
                lines.push((*at_ms, format!("{task} run {run} starts on {id}")));
            }
            for (task, run, how, at_ms) in &endpoint.acknowledged_ends {
                lines.push((
                    *at_ms,
                    format!("{task} run {run} ends {how:?} on {id}, acknowledged"),
                ));
            }
        }
        lines.extend(self.faults.iter().cloned());
        lines.sort();
        let named = |line: &str| {
            let task = line.split(' ').next().unwrap_or("");
            let concerned = |violation: &String| {
                let subject = violation.split(' ').next().unwrap_or("");
                subject == task || line.contains(&format!(" on {subject}"))
            };
            task == "fault" || self.violations.iter().any(concerned)
        };
        let lines = lines.iter().filter(|(_, line)| named(line));
        let lines: Vec<String> = lines
            .map(|(at_ms, line)| format!("{at_ms} {line}"))
            .collect();
        lines.join("\n")
    }

    /// Checks the whole history for violations.
    pub fn check_history(&mut self) {
        let attempts = self.queue.attempts as usize;
        oracle::check_history(
            self.endpoints.values(),
            attempts,
            &self.jobs,
            &self.refused,
            &mut self.violations,
        );
        oracle::check_crashes(&self.endpoints, &mut self.violations);
    }

    /// Returns the node that holds the group, if one does.
    pub fn holder(&self) -> Option<usize> {
        let holders = self.nodes.iter().enumerate();
        holders
            .filter_map(|(number, node)| Some((node.planner.as_ref()?.term(), number)))
            .max()
            .map(|(_, number)| number)
    }

    /// Kills a node's process, which restarts at once.
    pub fn kill(&mut self, node: usize) {
        let incarnation = 1_000 + self.sequence;
        let state = &mut self.nodes[node];
        state.planner = None;
        state.unstored.clear();
        state.began_ms = self.now;
        state.candidate = identity(node, incarnation, self.now);
    }
}

fn identity(node: usize, incarnation: u64, started_ms: u64) -> Candidate {
    Candidate::new(Identity {
        node: format!("node-{node}"),
        incarnation,
        address: format!("127.0.0.1:{node}"),
        started_ms,
        size_permille: 1_000,
    })
}
