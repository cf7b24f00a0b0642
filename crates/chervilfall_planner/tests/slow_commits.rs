//! Commits while the store is slow and more waits than one commit holds.
//!
//! Guards against a store that is 50 times slower than usual and turns three quarters of the
//! submissions away, because each job takes several rows and rows are spent on jobs that are late.

mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use chervilfall_planner::{Answer, Asker, EndReason, JobId, JobSpec, JobState, Policies, Request};
use world::tables::JobTables;
use world::{step, World};

/// Additional time of a transaction, with which it takes 570 ms from its sending to its answer.
const SLOW_MS: u64 = 562;
/// Time during which the store is slow and short jobs are submitted.
const LOAD_MS: u64 = 4_000;
/// Time between two short jobs: 120 a second.
const SHORT_INTERVAL_MS: [u64; 6] = [5, 10, 10, 5, 10, 10];
/// Time between two jobs of the steady load, which goes on before, during and after.
const STEADY_INTERVAL_MS: u64 = 50;
/// Time that a submission may wait for its commit.
const WAIT_MS: u64 = 1_400;
/// Work of a short job.
const SHORT_WORK_MS: u64 = 400;
/// Objective of a short job beyond twice its work. Its submission and its end wait for a commit each,
/// and for the commit that is in flight.
const TARGET_LATENCY_MS: u64 = 1_700;
/// First number of the jobs of the steady load.
const FIRST_STEADY: u64 = 100_000;
/// Time for all jobs to end, and to be forgotten.
const SETTLE_MS: u64 = 10_000;

fn short_job() -> JobSpec {
    JobSpec {
        spec: "the text of a short job".repeat(10),
        steps: vec![step(3, SHORT_WORK_MS)],
        ..JobSpec::default()
    }
}

fn no_policies() -> Policies {
    Policies {
        texts_in_job_rows: false,
        commit_order: false,
        ..Policies::default()
    }
}

/// What callers saw of the short jobs.
#[derive(Debug, Default, Clone, Copy)]
struct Served {
    submitted: usize,
    accepted: usize,
    /// Ends shown within the objective, and within three times the objective.
    in_time: usize,
    with_worth: usize,
    /// Accepted jobs that had not ended when all was over.
    unfinished: usize,
}

struct Caller {
    node: usize,
    request: u64,
    submitted_ms: u64,
    ended_ms: Option<u64>,
}

/// Submits jobs without waiting for answers, and looks at what callers are told.
#[derive(Default)]
struct Load {
    callers: BTreeMap<u64, Caller>,
    next_short: u64,
    next_steady: u64,
}

impl Load {
    fn submit(&mut self, world: &mut World, id: u64) {
        let spec = short_job();
        world.jobs.insert(JobId(id), spec.clone());
        let request = Request::Submit {
            queue: world.queue.clone(),
            id: JobId(id),
            spec,
            wait_ms: WAIT_MS,
            account: None,
        };
        if let Some((node, request)) = world.request(request) {
            let caller = Caller {
                node,
                request,
                submitted_ms: world.now,
                ended_ms: None,
            };
            self.callers.insert(id, caller);
        }
    }

    fn run(&mut self, world: &mut World, for_ms: u64, with_short: bool) {
        let end_ms = world.now + for_ms;
        let mut next_short_ms = world.now;
        while world.now < end_ms {
            if with_short && world.now >= next_short_ms {
                self.next_short += 1;
                self.submit(world, self.next_short);
                let position = usize::try_from(self.next_short).expect("small");
                next_short_ms += SHORT_INTERVAL_MS[position % SHORT_INTERVAL_MS.len()];
            }
            if world.now % STEADY_INTERVAL_MS == 0 {
                self.next_steady += 1;
                self.submit(world, FIRST_STEADY + self.next_steady);
                self.look(world);
            }
            world.run(5);
        }
        self.look(world);
    }

    /// Notes the jobs that are shown as completed by now.
    fn look(&mut self, world: &mut World) {
        let open: Vec<u64> = self
            .callers
            .iter()
            .filter_map(|(id, caller)| {
                (caller.ended_ms.is_none() && accepted(world, caller)).then_some(*id)
            })
            .collect();
        for id in open {
            let Some(holder) = world.holder() else {
                return;
            };
            let state = Request::State {
                id: JobId(id),
                asker: Asker::default(),
            };
            let answer = world.request_to_node(holder, state);
            if answer == Some(Answer::State(JobState::Completed)) {
                let now = world.now;
                let caller = self.callers.get_mut(&id).expect("a caller");
                caller.ended_ms = Some(now);
            }
        }
    }

    fn served(&self, world: &World) -> Served {
        let objective_ms = short_job().objective_ms(&world.queue);
        let mut served = Served::default();
        for (id, caller) in &self.callers {
            let accepted = accepted(world, caller);
            let took_ms = caller
                .ended_ms
                .map(|ended_ms| ended_ms - caller.submitted_ms);
            served.unfinished += usize::from(accepted && took_ms.is_none());
            if *id >= FIRST_STEADY {
                continue;
            }
            served.submitted += 1;
            served.accepted += usize::from(accepted);
            served.in_time += usize::from(took_ms.is_some_and(|ms| ms <= objective_ms));
            served.with_worth += usize::from(took_ms.is_some_and(|ms| ms <= 3 * objective_ms));
        }
        served
    }
}

fn accepted(world: &World, caller: &Caller) -> bool {
    world.nodes[caller.node].replies.get(&caller.request) == Some(&Answer::Accepted)
}

fn world_with(policies: Policies) -> World {
    let mut world = World::new(3, 120, 21);
    world.limits.policies = policies;
    world.queue.advice = None;
    world.queue.priority = 0;
    // Some runs fail; no job uses up its attempts.
    world.queue.attempts = 10;
    world.queue.stretch = 2.0;
    world.queue.target_latency_ms = TARGET_LATENCY_MS;
    world.configure([]);
    world.run(3_000);
    world
}

fn play(policies: Policies) -> Served {
    let mut world = world_with(policies);
    let mut load = Load::default();
    load.run(&mut world, 1_000, false);
    world.store.slow_ms = SLOW_MS;
    load.run(&mut world, LOAD_MS, true);
    world.store.slow_ms = 0;
    load.run(&mut world, SETTLE_MS, false);
    world.run(3_000);
    load.look(&mut world);
    world.check_history();
    assert_eq!(world.violations, Vec::<String>::new());
    load.served(&world)
}

#[test]
fn more_jobs_are_served_while_the_store_is_slow() {
    struct Case {
        name: &'static str,
        texts_in_job_rows: bool,
        commit_order: bool,
        /// Bounds of the short jobs that are accepted, and of those shown as completed in time.
        accepted_percent: RangeInclusive<usize>,
        in_time_percent: RangeInclusive<usize>,
    }
    let cases = [
        Case {
            name: "neither policy",
            texts_in_job_rows: false,
            commit_order: false,
            accepted_percent: 0..=55,
            in_time_percent: 0..=45,
        },
        Case {
            name: "texts in job rows only",
            texts_in_job_rows: true,
            commit_order: false,
            accepted_percent: 60..=75,
            in_time_percent: 45..=60,
        },
        Case {
            name: "order only",
            texts_in_job_rows: false,
            commit_order: true,
            accepted_percent: 60..=75,
            in_time_percent: 50..=65,
        },
        Case {
            name: "both policies",
            texts_in_job_rows: true,
            commit_order: true,
            accepted_percent: 85..=100,
            in_time_percent: 75..=100,
        },
    ];
    for case in cases {
        let served = play(Policies {
            texts_in_job_rows: case.texts_in_job_rows,
            commit_order: case.commit_order,
            ..Policies::default()
        });
        println!("{}: {served:?}", case.name);
        let percent = |jobs: usize| jobs * 100 / served.submitted;
        let (accepted, in_time) = (percent(served.accepted), percent(served.in_time));
        let expected = case.accepted_percent.contains(&accepted);
        assert!(expected, "{}: {served:?}", case.name);
        let expected = case.in_time_percent.contains(&in_time);
        assert!(expected, "{}: {served:?}", case.name);
        assert_eq!(served.unfinished, 0, "{}: {served:?}", case.name);
    }
}

/// Guards against a forecast that takes the rate of jobs stored so far for the rate of the store, and
/// refuses jobs that the store could take in time.
#[test]
fn the_forecast_loses_nothing_while_the_store_is_slow() {
    let [with, without] = [true, false].map(|admission_forecast| {
        play(Policies {
            admission_forecast,
            ..Policies::default()
        })
    });
    println!("with the forecast: {with:?}");
    println!("without it: {without:?}");
    assert!(with.accepted >= without.accepted, "{with:?}, {without:?}");
    assert!(with.in_time >= without.in_time, "{with:?}, {without:?}");
}

/// Time for which a finished job can be asked for in the tests of rows.
const STATUS_MS: u64 = 3_000;

/// Loses the holder and runs until another node has taken over.
fn lose_holder(world: &mut World) {
    let lost = world.holder().expect("a holder");
    world.nodes[lost].frozen_until_ms = world.now + 6_000;
    world.run_until(6_000, |world| world.holder() != Some(lost));
}

#[test]
fn rows_of_both_versions_outlive_takeovers_and_are_removed() {
    struct Case {
        name: &'static str,
        /// Policies of the holders, in order.
        policies: [Policies; 3],
    }
    let (old, new) = (no_policies(), Policies::default());
    let cases = [
        Case {
            name: "this version only",
            policies: [new, new, new],
        },
        Case {
            name: "the previous version, then this one",
            policies: [old, new, new],
        },
        Case {
            name: "this version, then the previous one",
            policies: [new, old, old],
        },
        Case {
            name: "in turn",
            policies: [new, old, new],
        },
    ];
    for case in cases {
        let mut world = world_with(case.policies[0]);
        world.limits.status_ms = STATUS_MS;
        world.nodes.iter_mut().for_each(|node| node.planner = None);
        world.run(4_000);
        let mut load = Load::default();
        world.store.slow_ms = SLOW_MS;
        load.run(&mut world, LOAD_MS / 2, true);
        for policies in &case.policies[1..] {
            world.limits.policies = *policies;
            lose_holder(&mut world);
            load.run(&mut world, LOAD_MS / 2, true);
        }
        world.store.slow_ms = 0;
        world.run(2 * SETTLE_MS);
        world.check_history();
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
        let callers = load.callers.iter();
        let accepted = callers.filter(|(_, caller)| accepted(&world, caller));
        let unfinished: Vec<u64> = accepted
            .filter(|(id, _)| !all_done(&world, JobId(**id)))
            .map(|(id, _)| *id)
            .collect();
        assert_eq!(unfinished, Vec::<u64>::new(), "{}", case.name);
        let absent = &world.store.absent_removals;
        assert_eq!(absent, &Vec::<String>::new(), "{}", case.name);
        for table in ["jobs", "texts", "progress", "ended"] {
            let left = world.store.table(table).len();
            assert_eq!(left, 0, "{}: rows of {table}", case.name);
        }
    }
}

/// Returns whether an end of each task of a job was acknowledged.
fn all_done(world: &World, job: JobId) -> bool {
    let endpoints = world.endpoints.values();
    let ends = endpoints.flat_map(|endpoint| &endpoint.acknowledged_ends);
    let done = ends.filter(|(task, _, how, _)| task.job == job && *how == EndReason::Done);
    let tasks: BTreeSet<u32> = done.map(|(task, ..)| task.index).collect();
    tasks.len() == short_job().steps[0].count as usize
}

#[test]
fn a_short_text_is_in_the_row_of_its_job() {
    struct Case {
        name: &'static str,
        policies: Policies,
        text: String,
        in_job_row: bool,
    }
    let cases = [
        Case {
            name: "a short text",
            policies: Policies::default(),
            text: "x".repeat(1_024),
            in_job_row: true,
        },
        Case {
            name: "a long text",
            policies: Policies::default(),
            text: "x".repeat(1_025),
            in_job_row: false,
        },
        Case {
            name: "no text: a row without one says that there is another row",
            policies: Policies::default(),
            text: String::new(),
            in_job_row: false,
        },
        Case {
            name: "a short text without the policy",
            policies: no_policies(),
            text: "x".to_owned(),
            in_job_row: false,
        },
    ];
    for case in cases {
        let mut world = world_with(case.policies);
        let spec = JobSpec {
            spec: case.text.clone(),
            ..short_job()
        };
        assert_eq!(world.submit(1, spec), Answer::Accepted, "{}", case.name);
        let JobTables { job, text, .. } = world.job_tables(1);
        let row = job.expect("a row");
        let in_job_row = row.spec.spec == case.text && text.is_none();
        let in_own_row = row.spec.spec.is_empty() && text == Some(case.text);
        assert_eq!(
            (in_job_row, in_own_row),
            (case.in_job_row, !case.in_job_row),
            "{}",
            case.name
        );
    }
}

#[test]
fn a_job_cancelled_while_it_waits_for_its_commit_never_runs() {
    // The cancellation was stored first and the job's row afterwards. The next holder found the row
    // of an open job, and ran it.
    const JOBS: u64 = 200;
    for policies in [Policies::default(), no_policies()] {
        let mut world = world_with(policies);
        let mut load = Load::default();
        for id in 1..=JOBS {
            load.submit(&mut world, id);
        }
        let cancel = Request::Cancel {
            id: JobId(JOBS),
            asker: Asker::default(),
        };
        assert_eq!(world.ask(cancel), Answer::Cancelled);
        world.run(500);
        assert!(accepted(&world, &load.callers[&JOBS]));
        lose_holder(&mut world);
        world.run(SETTLE_MS);
        let endpoints = world.endpoints.values();
        let starts = endpoints.flat_map(|endpoint| &endpoint.starts);
        let starts = starts.filter(|(_, task, _)| task.job == JobId(JOBS));
        assert_eq!(starts.count(), 0, "{policies:?}");
    }
}
