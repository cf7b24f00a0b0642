//! Kinds of jobs: where, when and how often their tasks run.

mod world;

use std::collections::BTreeSet;

use chervilfall_planner::{Answer, Asker, JobId, JobSpec, JobState, Request, Step};
use world::{step, World};

/// Time of day when the simulated clock is at 0.
const START_UNIX_MS: u64 = 1_700_000_000_000;
/// Number of endpoints on the first rack; the others are on the second.
const FIRST_RACK: usize = 2;
/// Label of one endpoint.
const SPECIAL: &str = "special";

/// Returns a world with six endpoints of four cores on two racks; the last one has a label.
fn racks() -> World {
    let mut world = World::new(3, 6, 7);
    for (number, endpoint) in world.endpoints.values_mut().enumerate() {
        let rack = if number < FIRST_RACK { "r1" } else { "r2" };
        endpoint.rack = Some(rack.to_owned());
        endpoint.labels.insert(rack.to_owned());
        if number == 5 {
            endpoint.labels.insert(SPECIAL.to_owned());
        }
    }
    world.run(1_500);
    world
}

fn job(step: Step) -> JobSpec {
    JobSpec {
        spec: "text".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    }
}

/// Returns the number of starts on each endpoint, in order of the endpoints' names.
fn starts(world: &World) -> Vec<usize> {
    let endpoints = world.endpoints.values();
    endpoints.map(|endpoint| endpoint.starts.len()).collect()
}

fn state(world: &mut World, id: u64) -> Answer {
    world.ask(Request::State {
        id: JobId(id),
        asker: Asker::default(),
    })
}

#[test]
fn tasks_run_where_their_step_allows() {
    struct Case {
        name: &'static str,
        step: Step,
        /// Whether the numbers of starts on the endpoints meet the step's requirements.
        fits: fn(&[usize]) -> bool,
    }
    let cases = [
        Case {
            name: "a label that one endpoint has",
            step: Step {
                required_label: Some(SPECIAL.to_owned()),
                ..step(4, 10_000)
            },
            fits: |starts| starts == [0, 0, 0, 0, 0, 4],
        },
        Case {
            name: "a label that none has",
            step: Step {
                required_label: Some("absent".to_owned()),
                ..step(4, 10_000)
            },
            fits: |starts| starts == [0; 6],
        },
        Case {
            name: "on its preferred rack as far as its resources allow",
            step: Step {
                affinity: Some("r1".to_owned()),
                ..step(10, 10_000)
            },
            fits: |starts| starts[..FIRST_RACK] == [4, 4] && starts.iter().sum::<usize>() == 10,
        },
        Case {
            name: "at most one task on an endpoint",
            step: Step {
                max_per_endpoint: 1,
                ..step(9, 10_000)
            },
            fits: |starts| starts == [1; 6],
        },
        Case {
            name: "a gang on one rack, if it fits on one",
            step: Step {
                gang: true,
                same_rack: true,
                ..step(12, 10_000)
            },
            fits: |starts| starts[..FIRST_RACK] == [0, 0] && starts.iter().sum::<usize>() == 12,
        },
        Case {
            name: "a gang on two racks, if it fits on none",
            step: Step {
                gang: true,
                same_rack: true,
                ..step(20, 10_000)
            },
            fits: |starts| starts.iter().sum::<usize>() == 20,
        },
        Case {
            name: "a gang that does not fit at all",
            step: Step {
                gang: true,
                ..step(25, 10_000)
            },
            fits: |starts| starts == [0; 6],
        },
    ];
    for case in cases {
        let mut world = racks();
        assert_eq!(
            world.submit(1, job(case.step)),
            Answer::Accepted,
            "{}",
            case.name
        );
        world.run(1_500);
        let starts = starts(&world);
        assert!((case.fits)(&starts), "{}: {starts:?}", case.name);
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn a_repeated_job_starts_each_time_when_it_is_due_and_completes_after_the_last() {
    let mut world = racks();
    let first_due_ms = world.now + 800;
    let spec = JobSpec {
        repeat_count: 3,
        first_due_unix_ms: START_UNIX_MS + first_due_ms,
        interval_ms: 600,
        ..job(step(2, 1_000))
    };
    assert_eq!(world.submit(1, spec), Answer::Accepted);
    let holder = world.holder().expect("a holder");
    world.run(1_000);
    // A successor continues with the remaining occurrences.
    world.kill(holder);
    world.run(9_000);
    let mut seen = BTreeSet::new();
    for endpoint in world.endpoints.values() {
        for (at_ms, task, _) in &endpoint.starts {
            let due_ms = first_due_ms + u64::from(task.occurrence) * 600;
            assert!(*at_ms >= due_ms, "{task} at {at_ms}, due at {due_ms}");
            seen.insert((task.occurrence, task.index));
        }
    }
    assert_eq!(seen.len(), 6, "{seen:?}");
    assert_eq!(state(&mut world, 1), Answer::State(JobState::Completed));
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn a_long_running_task_is_restarted_after_any_end_until_its_job_is_cancelled() {
    let mut world = racks();
    let step = Step {
        long_running: true,
        ..step(3, 700)
    };
    assert_eq!(world.submit(1, job(step)), Answer::Accepted);
    world.run(5_000);
    let before: usize = starts(&world).iter().sum();
    assert!(
        before >= 12,
        "{before} starts of 3 tasks that end every 0.7 s"
    );
    let lost = world
        .endpoints
        .values_mut()
        .find(|endpoint| !endpoint.running.is_empty());
    lost.expect("a task is running").dead = true;
    world.run(6_000);
    // The runs end together every 0.7 s, so a count at a single moment could fall between two runs.
    let mut most = 0;
    for _ in 0..140 {
        world.run(5);
        let endpoints = world.endpoints.values().filter(|endpoint| !endpoint.dead);
        let running: usize = endpoints.map(|endpoint| endpoint.running.len()).sum();
        most = most.max(running);
    }
    assert_eq!(most, 3, "tasks running at the same time");
    assert_eq!(state(&mut world, 1), Answer::State(JobState::Running));
    let cancel = Request::Cancel {
        id: JobId(1),
        asker: Asker::default(),
    };
    assert_eq!(world.ask(cancel), Answer::Cancelled);
    world.run(1_000);
    let after: usize = starts(&world).iter().sum();
    world.run(3_000);
    assert_eq!(starts(&world).iter().sum::<usize>(), after);
    assert_eq!(state(&mut world, 1), Answer::State(JobState::Cancelled));
    assert_eq!(world.violations, Vec::<String>::new());
}
