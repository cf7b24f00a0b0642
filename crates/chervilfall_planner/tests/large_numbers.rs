//! Jobs with large numbers in them: what is kept and stored of them follows from what runs.

mod world;

use chervilfall_planner::{Answer, Asker, JobId, JobSpec, JobState, ProgressRow, Request, Step};
use world::World;

/// Time that a holder needs to know the intervals between its commits.
const WARM_UP_MS: u64 = 12_000;
/// Bound of a job.
const JOB_MS: u64 = 120_000;
/// Number of the job.
const JOB: u64 = 7;

/// Returns three nodes, and endpoints of 16 cores that never fail a run and keep their names.
fn world() -> World {
    let mut world = World::new(3, 4, 5);
    world.queue.advice = None;
    world.keep_names();
    for endpoint in world.endpoints.values_mut() {
        endpoint.cpu_milli = 16_000;
        endpoint.fail_percent = 0;
    }
    world.run(WARM_UP_MS);
    world
}

fn tasks(count: u32, cpu_milli: u32) -> Step {
    Step {
        cpu_milli,
        memory_mb: 1,
        ..world::step(count, 20)
    }
}

fn state(world: &mut World) -> Answer {
    let state = Request::State {
        id: JobId(JOB),
        asker: Asker::default(),
    };
    world.ask(state)
}

/// Returns the size of the largest row of progress or of an ended job.
fn largest_row(world: &World) -> usize {
    let tables = ["progress", "ended"].map(|table| world.store.table(table));
    let rows = tables.iter().flatten().map(|(_, value)| value.len());
    rows.max().unwrap_or(0)
}

/// Guards against a row of progress that outgrows what the store takes, which stopped all commits of
/// the group, and against occurrences that a new holder runs again.
#[test]
fn occurrences_beyond_a_row_are_stored_and_never_run_again() {
    struct Case {
        name: &'static str,
        repeat_count: u32,
        steps: Vec<Step>,
    }
    let second = Step {
        after: vec![0],
        ..tasks(1, 100)
    };
    let cases = [
        Case {
            name: "occurrences of one task",
            repeat_count: 6_000,
            steps: vec![tasks(1, 100)],
        },
        Case {
            name: "occurrences of two steps",
            repeat_count: 2_000,
            steps: vec![tasks(2, 100), second],
        },
        Case {
            name: "occurrences of eight steps",
            repeat_count: 350,
            steps: vec![tasks(1, 100); 8],
        },
    ];
    for case in cases {
        let mut world = world();
        let spec = JobSpec {
            spec: "text".to_owned(),
            steps: case.steps,
            repeat_count: case.repeat_count,
            first_due_unix_ms: 1,
            interval_ms: 1,
        };
        assert_eq!(world.submit(JOB, spec), Answer::Accepted, "{}", case.name);
        let (bound_ms, mut next_takeover_ms) = (world.now + JOB_MS, world.now + 3_000);
        let mut frozen = 0;
        while world.holder().is_none() || state(&mut world) != Answer::State(JobState::Completed) {
            assert!(world.now < bound_ms, "{}: not completed", case.name);
            world.run(100);
            let row_bytes = largest_row(&world);
            assert!(
                row_bytes <= world.limits.row_bytes,
                "{}: {row_bytes}",
                case.name
            );
            if let Some(holder) = world.holder().filter(|_| frozen < 2) {
                if world.now >= next_takeover_ms {
                    world.nodes[holder].frozen_until_ms = world.now + 6_000;
                    next_takeover_ms = world.now + 12_000;
                    frozen += 1;
                }
            }
        }
        assert!(frozen > 0, "{}: no takeover", case.name);
        world.check_history();
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
    }
}

/// Guards against accepted jobs that together take more memory than there is.
#[test]
fn jobs_beyond_the_memory_for_jobs_are_refused_until_others_are_forgotten() {
    let mut world = World::new(1, 4, 5);
    world.queue.advice = None;
    world.limits.max_job_bytes = 1_000_000;
    world.limits.status_ms = 5_000;
    world.run(WARM_UP_MS);
    let large = || JobSpec {
        spec: "text".to_owned(),
        steps: vec![tasks(1, 100); 100],
        ..JobSpec::default()
    };
    let small = JobSpec {
        spec: "text".to_owned(),
        steps: vec![tasks(1, 100)],
        ..JobSpec::default()
    };
    let answers: Vec<Answer> = (0..30).map(|id| world.submit(JOB + id, large())).collect();
    let accepted = answers.iter().filter(|answer| **answer == Answer::Accepted);
    assert!((1..29).contains(&accepted.count()), "{answers:?}");
    assert!(matches!(answers[29], Answer::Refused { .. }), "{answers:?}");
    assert_eq!(world.submit(JOB + 100, small), Answer::Accepted);
    // The jobs complete, and can no longer be asked for.
    world.run(30_000);
    assert_eq!(world.submit(JOB + 200, large()), Answer::Accepted);
}

/// Returns a row with the progress of the tenth occurrence also as that of seven beyond the limit, and
/// without that of the first ones; other rows as they are.
fn with_other_occurrences(row: &[u8]) -> Vec<u8> {
    let Ok(mut progress) = ProgressRow::decode(row) else {
        return row.to_vec();
    };
    let tenth = progress.steps.iter().filter(|step| step.occurrence == 10);
    let tenth: Vec<_> = tenth.cloned().collect();
    progress.steps.retain(|step| step.occurrence > 3);
    for occurrence in 130..137 {
        let mut more = tenth.clone();
        for step in &mut more {
            step.occurrence = occurrence;
        }
        progress.steps.append(&mut more);
    }
    let mut bytes = Vec::new();
    ciborium::into_writer(&progress, &mut bytes).expect("a row");
    bytes
}

/// Guards against a repeated job that stands still because all occurrences that it may have open have
/// lapsed, with or without stored progress.
#[test]
fn occurrences_whose_runs_have_lapsed_run_under_the_next_holder() {
    struct Case {
        name: &'static str,
        /// Duration of the steps, one after the other.
        work_ms: &'static [u64],
        repeat_count: u32,
        /// The rows are of a holder that had other occurrences open, as it knew another limit. They are
        /// not what ran, so the history is not checked.
        other_limit: bool,
    }
    let cases = [
        Case {
            name: "occurrences without progress",
            work_ms: &[3_000],
            repeat_count: 1_500,
            other_limit: false,
        },
        Case {
            name: "occurrences with finished steps",
            work_ms: &[20, 20, 20, 20, 20, 20, 20, 12_000],
            repeat_count: 200,
            other_limit: false,
        },
        Case {
            name: "more open occurrences than may be, among them some without progress",
            work_ms: &[20, 20, 20, 20, 20, 20, 20, 12_000],
            repeat_count: 200,
            other_limit: true,
        },
    ];
    for case in cases {
        let mut world = world();
        let steps = (0..).zip(case.work_ms).map(|(position, work_ms)| Step {
            cpu_milli: 20,
            after: (0..position).collect(),
            ..world::step(1, *work_ms)
        });
        let spec = JobSpec {
            spec: "text".to_owned(),
            steps: steps.collect(),
            repeat_count: case.repeat_count,
            first_due_unix_ms: 1,
            interval_ms: 1,
        };
        assert_eq!(world.submit(JOB, spec), Answer::Accepted, "{}", case.name);
        world.run(5_000);
        let until_ms = world.now + 15_000;
        for node in 0..world.nodes.len() {
            world.kill(node);
            world.nodes[node].frozen_until_ms = until_ms;
        }
        if case.other_limit {
            world.store.rewrite(with_other_occurrences);
        }
        world.run(20_000);
        let bound_ms = world.now + JOB_MS;
        while world.holder().is_none() || state(&mut world) != Answer::State(JobState::Completed) {
            assert!(world.now < bound_ms, "{}: not completed", case.name);
            world.run(100);
        }
        if !case.other_limit {
            world.check_history();
        }
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
    }
}
