//! Jobs whose progress needs more than one row.

mod world;

use std::collections::BTreeSet;

use chervilfall_planner::{Answer, Asker, JobId, JobSpec, JobState, Request, Step};
use world::{World, START_UNIX_MS};

/// Time that a holder needs to know the intervals between its commits.
const WARM_UP_MS: u64 = 12_000;
/// Bound of a job.
const JOB_MS: u64 = 180_000;
/// Number of the job.
const JOB: u64 = 7;
/// Bytes of a row on the users' platform, as a node states them to its planner.
const ROW_BYTES: usize = 48_128;
/// Label of the endpoint that is away for a while.
const LABEL: &str = "b";
/// When that endpoint is lost after the first occurrence, and for how long.
const LOST_AFTER_MS: u64 = 6_000;
const AWAY_MS: u64 = 3_900;
/// When the holder freezes for the first time, the time between these, and for how long it does.
const FIRST_TAKEOVER_MS: u64 = 8_000;
const TAKEOVER_INTERVAL_MS: u64 = 14_000;
const FREEZE_MS: u64 = 6_000;
/// When endpoints crash.
const CRASH_AFTER_MS: u64 = 3_000;
/// Time between looks at the job.
const STEP_MS: u64 = 100;

struct Case {
    name: &'static str,
    row_bytes: usize,
    steps: Vec<Step>,
    repeat_count: u32,
    interval_ms: u64,
    /// Length of an absence of the endpoint with the label.
    away_ms: u64,
    /// Number of times that the holder freezes, so that another node takes over.
    takeovers: u64,
    /// Percentage of all runs that fail.
    fail_percent: u64,
    /// Crashes of endpoints while the job runs.
    crashes: usize,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            name: "",
            row_bytes: ROW_BYTES,
            steps: Vec::new(),
            repeat_count: 0,
            interval_ms: 200,
            away_ms: AWAY_MS,
            takeovers: 0,
            fail_percent: 0,
            crashes: 0,
        }
    }
}

fn task(count: u32, cpu_milli: u32, work_ms: u64) -> Step {
    Step {
        cpu_milli,
        memory_mb: 1,
        ..world::step(count, work_ms)
    }
}

/// Returns steps side by side, and a last one after them that only the endpoint with the label runs.
fn steps_before_a_label(steps: u16) -> Vec<Step> {
    let mut all = vec![task(1, 20, 100); usize::from(steps) - 1];
    all.push(Step {
        after: (0..steps - 1).collect(),
        required_label: Some(LABEL.to_owned()),
        ..task(1, 20, 100)
    });
    all
}

/// Returns a world of endpoints of 16 cores, one of which has the label.
fn world(case: &Case) -> World {
    let mut world = World::new(3, 8, 5);
    world.queue.advice = None;
    world.queue.attempts = 1_000;
    world.configure([]);
    world.limits.row_bytes = case.row_bytes;
    world.limits.status_ms = 20_000;
    world.keep_names();
    for (number, endpoint) in world.endpoints.values_mut().enumerate() {
        endpoint.cpu_milli = 16_000;
        endpoint.fail_percent = case.fail_percent;
        if number == 0 {
            endpoint.labels.insert(LABEL.to_owned());
        }
    }
    world.run(WARM_UP_MS);
    world
}

fn state(world: &mut World) -> Answer {
    world.ask(Request::State {
        id: JobId(JOB),
        asker: Asker::default(),
    })
}

/// Freezes the holder each time that one of the takeovers of a case is due, and crashes endpoints.
fn disturb(world: &mut World, case: &Case, since_ms: u64) {
    let takeovers =
        (0..case.takeovers).map(|number| FIRST_TAKEOVER_MS + number * TAKEOVER_INTERVAL_MS);
    if takeovers.into_iter().any(|at_ms| is_step(since_ms, at_ms)) {
        let holder = world.holder().expect("a holder");
        world.nodes[holder].frozen_until_ms = world.now + FREEZE_MS;
    }
    if is_step(since_ms, CRASH_AFTER_MS) {
        for endpoint in world.endpoints.values_mut().skip(1).take(case.crashes) {
            endpoint.crash(world.now, None);
        }
    }
    if is_step(since_ms, LOST_AFTER_MS) {
        let labelled = world.endpoints.values_mut().next().expect("an endpoint");
        labelled.cut_until_ms = world.now + case.away_ms;
    }
}

/// Returns whether a time is within the step of the simulation that ends now.
fn is_step(since_ms: u64, at_ms: u64) -> bool {
    (at_ms..at_ms + STEP_MS).contains(&since_ms)
}

fn play(case: &Case) {
    let mut world = world(case);
    let spec = JobSpec {
        spec: "text".to_owned(),
        steps: case.steps.clone(),
        repeat_count: case.repeat_count,
        first_due_unix_ms: START_UNIX_MS + world.now,
        interval_ms: case.interval_ms,
    };
    assert_eq!(world.submit(JOB, spec), Answer::Accepted, "{}", case.name);
    let begin_ms = world.now;
    let mut rows = BTreeSet::new();
    loop {
        world.run(STEP_MS);
        let since_ms = world.now - begin_ms;
        disturb(&mut world, case, since_ms);
        let progress = world.store.table("progress");
        rows.extend(progress.into_iter().map(|(key, _)| key));
        if world.holder().is_none() {
            continue;
        }
        match state(&mut world) {
            Answer::State(JobState::Completed) => break,
            Answer::State(JobState::Failed) => panic!("{}: shown as failed", case.name),
            _ => assert!(
                world.now < begin_ms + JOB_MS,
                "{}: not completed",
                case.name
            ),
        }
    }
    assert!(rows.len() > 1, "{}: the progress fits one row", case.name);
    world.check_history();
    assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
    world.run(world.limits.status_ms + 10_000);
    for table in ["jobs", "texts", "progress", "ended"] {
        assert_eq!(world.store.table(table), [], "{}: {table}", case.name);
    }
    assert_eq!(world.store.absent_removals, Vec::<String>::new());
}

/// Guards against an accepted job that is shown as failed because its progress outgrows a row.
#[test]
fn a_job_whose_progress_outgrows_a_row_runs_to_its_end() {
    let cases = [
        Case {
            name: "occurrences of many steps wait for an endpoint",
            steps: steps_before_a_label(64),
            repeat_count: 60,
            ..Case::default()
        },
        Case {
            name: "the same, with takeovers",
            steps: steps_before_a_label(64),
            repeat_count: 60,
            takeovers: 2,
            ..Case::default()
        },
        Case {
            name: "a longer absence",
            steps: steps_before_a_label(64),
            repeat_count: 60,
            away_ms: 20_000,
            takeovers: 1,
            ..Case::default()
        },
        Case {
            name: "more steps",
            steps: steps_before_a_label(250),
            repeat_count: 12,
            interval_ms: 1_000,
            takeovers: 1,
            ..Case::default()
        },
        Case {
            name: "small rows",
            row_bytes: 1_500,
            steps: steps_before_a_label(16),
            repeat_count: 60,
            takeovers: 2,
            ..Case::default()
        },
        Case {
            name: "ends out of order in a wide step",
            row_bytes: 1_500,
            steps: vec![task(6_000, 100, 400)],
            takeovers: 1,
            fail_percent: 20,
            ..Case::default()
        },
        Case {
            name: "runs that crash with their endpoints",
            row_bytes: 1_500,
            steps: vec![task(9_000, 100, 900)],
            takeovers: 1,
            crashes: 3,
            ..Case::default()
        },
    ];
    for case in &cases {
        play(case);
    }
}
