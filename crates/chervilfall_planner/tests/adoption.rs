//! What a new holder makes of the runs and ends that endpoints list.
//!
//! It may find two runs of one task, because the second started between its first lists of the two
//! endpoints.
//!
//! Guards against two runs of a task at the same time, 0.6 s after a takeover. The earlier holder,
//! whose commits the store already refused, learned of a failed run and started the next one on an
//! endpoint that its successor had not reached yet. The successor adopted the run that had failed,
//! ordered the next one to stop, learned of the failure, and started a third while the second was
//! still stopping.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use chervilfall_planner::{
    Action, CommitOutcome, Configuration, EndReason, EndedRun, EndpointEntry, EndpointId,
    EndpointKey, Event, HoldAnswer, HoldReport, HolderRow, JobId, JobRow, JobSpec, Limits, Planner,
    Queue, RosterEntry, Run, RunningRun, Step, StoredGroup, Takeover, TaskKey,
};

const TASK: TaskKey = TaskKey {
    job: JobId(7),
    occurrence: 0,
    step: 0,
    index: 0,
};
/// The endpoints of the run that fails and of the next one.
const FAILED_RUN_ENDPOINT: &str = "first";
const NEXT_RUN_ENDPOINT: &str = "second";

/// A holder that has just taken over, and the orders that it has sent.
struct Successor {
    planner: Planner,
    now: u64,
    /// When all endpoints were started, if they say so.
    born_ms: Option<u64>,
    keys: BTreeMap<String, EndpointKey>,
    holds: BTreeSet<String>,
    starts: Vec<Run>,
    stops: Vec<Run>,
}

impl Successor {
    fn open() -> Self {
        Self::open_with(None, false)
    }

    /// Opens a holder whose predecessor may have marked the endpoint of the failed run as silent,
    /// with the time by the store's clock at which its leases lapse. All endpoints may have
    /// `restarted` since.
    fn open_with(lapses_store_ms: Option<u64>, restarted: bool) -> Self {
        let queue = Queue {
            name: "batch".to_owned(),
            service: "pool".to_owned(),
            attempts: 3,
            stretch: 2.0,
            ..Queue::default()
        };
        let step = Step {
            count: 1,
            cpu_milli: 1_000,
            estimate_ms: 1_000,
            ..Step::default()
        };
        let spec = JobSpec {
            spec: "text".to_owned(),
            steps: vec![step],
            ..JobSpec::default()
        };
        let row = JobRow {
            queue: queue.clone(),
            spec,
            accepted_unix_ms: 1,
            account: None,
            beyond: false,
        };
        let roster = [FAILED_RUN_ENDPOINT, NEXT_RUN_ENDPOINT].map(|name| RosterEntry {
            id: EndpointId(name.to_owned()),
            born_ms: restarted.then_some(1),
            address: format!("{name}:1"),
            lapses_store_ms: lapses_store_ms.filter(|_| name == FAILED_RUN_ENDPOINT),
            stale_leases: None,
            capacity: None,
        });
        let stored = StoredGroup {
            jobs: vec![(TASK.job, row)],
            roster: roster.to_vec(),
            ..StoredGroup::default()
        };
        let mut successor = Self {
            planner: Planner::new(Limits::default(), takeover(), stored, 10_000),
            now: 10_000,
            born_ms: restarted.then_some(2),
            keys: BTreeMap::new(),
            holds: BTreeSet::new(),
            starts: Vec::new(),
            stops: Vec::new(),
        };
        let configuration = Configuration {
            version: 1,
            queues: BTreeMap::from([(queue.name.clone(), queue)]),
            ..Configuration::default()
        };
        successor.handle_event(Event::Configured(Arc::new(configuration)));
        successor.read_endpoints();
        successor.advance(10);
        successor
    }

    /// Reads the list of endpoints, with a new report of each.
    fn read_endpoints(&mut self) {
        let read_ms = self.now;
        let entries = [FAILED_RUN_ENDPOINT, NEXT_RUN_ENDPOINT].map(|name| EndpointEntry {
            report: read_ms,
            born_ms: self.born_ms,
            ..entry(name)
        });
        self.handle_event(Event::Endpoints {
            read_ms,
            entries: entries.to_vec(),
            evacuated: BTreeSet::new(),
        });
    }

    fn handle_event(&mut self, event: Event) {
        for action in self.planner.handle(self.now, event) {
            match action {
                Action::Commit(batch) => {
                    let stored = Event::Committed {
                        number: batch.number,
                        copy: batch.copy,
                        outcome: CommitOutcome::Stored {
                            version: 100 + batch.number,
                            store_ms: self.now,
                        },
                    };
                    self.handle_event(stored);
                }
                Action::Hold(order) => {
                    self.keys.insert(order.id.0.clone(), order.endpoint);
                    self.holds.insert(order.id.0);
                }
                Action::Start(order) => self.starts.push(order.run),
                Action::Stop(order) => self.stops.push(order.run),
                _ => {}
            }
        }
    }

    fn advance(&mut self, for_ms: u64) {
        for _ in 0..for_ms / 10 {
            self.now += 10;
            let unix_ms = self.now;
            self.handle_event(Event::Tick { unix_ms });
        }
    }

    /// Answers the hold of an endpoint with its lists, once the holder has sent one.
    fn answer_hold(&mut self, name: &str, running: &[Run], ended: &[(u64, Run, EndReason)]) {
        let ended = ended.iter().map(|(number, run, how)| EndedRun {
            number: *number,
            task: TASK,
            run: *run,
            how: *how,
            checkpoint: String::new(),
        });
        self.answer_hold_with_ends(name, running, ended.collect());
    }

    /// Answers the hold of an endpoint, which runs nothing, with as many ends of other jobs as fit
    /// into a list, after `end_number` others.
    fn answer_hold_with_full_list(&mut self, name: &str, end_number: u64) {
        let numbers = (end_number + 1..).take(Limits::default().max_listed_ends);
        let ended = numbers.map(|number| EndedRun {
            number,
            task: TaskKey {
                job: JobId(8),
                ..TASK
            },
            run: 1,
            how: EndReason::Done,
            checkpoint: String::new(),
        });
        self.answer_hold_with_ends(name, &[], ended.collect());
    }

    fn answer_hold_with_ends(&mut self, name: &str, running: &[Run], ended: Vec<EndedRun>) {
        let mut waited_ms = 0;
        while !self.holds.remove(name) {
            self.advance(10);
            waited_ms += 10;
            assert!(waited_ms < 2_000, "{name} receives a hold");
        }
        let running = running.iter().map(|run| RunningRun {
            task: TASK,
            run: *run,
            checkpoint: String::new(),
        });
        let report = HoldReport {
            born_ms: self.born_ms,
            clock_ms: self.now,
            running: running.collect(),
            ended,
            partial: false,
        };
        let answer = HoldAnswer::Report(report);
        self.handle_event(Event::Held {
            endpoint: self.keys[name],
            sent_ms: self.now,
            answer,
        });
    }
}

fn takeover() -> Takeover {
    let row = HolderRow {
        term: 2,
        node: "successor".to_owned(),
        incarnation: 2,
        address: "127.0.0.1:1".to_owned(),
        number: 0,
        released: false,
        settled: false,
        cpu_permille: 500,
        recovering: true,
        wanted_permille: 0,
        standstill_ms: 0,
        written_store_ms: 0,
    };
    Takeover {
        row,
        fence: 100,
        version: 100,
        predecessor_seen_ms: Some(9_000),
        predecessor_written_store_ms: 0,
        predecessor_gone_ms: None,
    }
}

fn entry(name: &str) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId(name.to_owned()),
        address: format!("{name}:1"),
        service: "pool".to_owned(),
        domain: "a".to_owned(),
        draining: false,
        cpu_milli: 4_000,
        memory_mb: 4_000,
        gpus: 0,
        rack: None,
        labels: BTreeSet::new(),
        report: 1,
        born_ms: None,
        remaining_ms: None,
        cold_left_ms: 0,
    }
}

#[test]
fn the_later_of_two_runs_goes_on_alone() {
    struct Case {
        name: &'static str,
        /// Endpoints in the order of their first lists, and the run that each lists as running.
        lists: [(&'static str, Run); 2],
    }
    let cases = [
        Case {
            name: "the failed run is listed first",
            lists: [(FAILED_RUN_ENDPOINT, 1), (NEXT_RUN_ENDPOINT, 2)],
        },
        Case {
            name: "the next run is listed first, and an older list of the other endpoint arrives later",
            lists: [(NEXT_RUN_ENDPOINT, 2), (FAILED_RUN_ENDPOINT, 1)],
        },
    ];
    for case in cases {
        let mut successor = Successor::open();
        for (name, run) in case.lists {
            successor.answer_hold(name, &[run], &[]);
        }
        successor.answer_hold(FAILED_RUN_ENDPOINT, &[], &[(1, 1, EndReason::Failed)]);
        for _ in 0..5 {
            successor.answer_hold(NEXT_RUN_ENDPOINT, &[2], &[]);
            successor.advance(50);
        }
        assert_eq!(successor.starts, Vec::<Run>::new(), "{}", case.name);
        assert!(!successor.stops.contains(&2), "{}: stopped", case.name);
        // The run fails as well. Only now does the next one start.
        successor.answer_hold(NEXT_RUN_ENDPOINT, &[], &[(1, 2, EndReason::Failed)]);
        successor.advance(100);
        assert_eq!(successor.starts.len(), 1, "{}", case.name);
    }
}

#[test]
fn a_task_is_not_started_while_a_run_of_it_is_being_stopped() {
    let mut successor = Successor::open();
    // The run with the higher number is listed first, and ends while the other one is being
    // stopped.
    successor.answer_hold(NEXT_RUN_ENDPOINT, &[2], &[]);
    successor.answer_hold(FAILED_RUN_ENDPOINT, &[1], &[]);
    successor.advance(20);
    assert_eq!(successor.stops, [1]);
    successor.answer_hold(NEXT_RUN_ENDPOINT, &[], &[(1, 2, EndReason::Failed)]);
    for _ in 0..5 {
        successor.answer_hold(FAILED_RUN_ENDPOINT, &[1], &[]);
        successor.advance(50);
    }
    assert_eq!(successor.starts, Vec::<Run>::new());
    successor.answer_hold(FAILED_RUN_ENDPOINT, &[], &[(1, 1, EndReason::Stopped)]);
    successor.advance(100);
    assert_eq!(successor.starts.len(), 1);
}

// Guards against a done task that runs again because its end is listed after the leases of the
// earlier holder would have lapsed.
#[test]
fn an_inherited_task_waits_until_its_endpoint_has_listed_all_ends() {
    struct Case {
        name: &'static str,
        /// When the leases lapse of the endpoint, if it is marked as silent.
        lapses_store_ms: Option<u64>,
        /// The endpoint has restarted since the earlier holder wrote the roster.
        restarted: bool,
        /// How long the lists of the endpoint hold as many ends as they can.
        listing_ms: u64,
    }
    let cases = [
        Case {
            name: "listed before the leases lapse",
            lapses_store_ms: None,
            restarted: false,
            listing_ms: 1_000,
        },
        Case {
            name: "listed after the leases of a silent endpoint would have lapsed",
            lapses_store_ms: Some(10_500),
            restarted: false,
            listing_ms: 1_000,
        },
        Case {
            name: "listed by the next incarnation",
            lapses_store_ms: None,
            restarted: true,
            listing_ms: 1_000,
        },
        Case {
            name: "listed after all leases would have lapsed",
            lapses_store_ms: None,
            restarted: false,
            listing_ms: 15_000,
        },
    ];
    for case in cases {
        let mut successor = Successor::open_with(case.lapses_store_ms, case.restarted);
        let until_ms = successor.now + case.listing_ms;
        let mut end_number = 0;
        while successor.now < until_ms {
            successor.read_endpoints();
            successor.answer_hold(NEXT_RUN_ENDPOINT, &[], &[]);
            successor.answer_hold_with_full_list(FAILED_RUN_ENDPOINT, end_number);
            end_number += Limits::default().max_listed_ends as u64;
            successor.advance(50);
        }
        let last = (end_number + 1, 1, EndReason::Done);
        successor.answer_hold(FAILED_RUN_ENDPOINT, &[], &[last]);
        successor.advance(100);
        assert_eq!(successor.starts, Vec::<Run>::new(), "{}", case.name);
    }
}
