//! Tests of the simulation's own check that no job stands still.

mod world;

use chervilfall_planner::{Answer, JobId, JobSpec, Step};
use world::standstill::Kind;
use world::{step, World};

const JOB: u64 = 1;
/// Time until the first takeover is far enough in the past.
const SETTLED_MS: u64 = 11_000;
/// Time until the simulation counts as calm, and a job has stood for long enough in it.
const LONG_ENOUGH_MS: u64 = 9_000;

fn job(step: Step) -> JobSpec {
    JobSpec {
        spec: "text".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    }
}

fn calm_world() -> World {
    let mut world = World::new(1, 6, 1);
    for endpoint in world.endpoints.values_mut() {
        endpoint.fail_percent = 0;
    }
    world.run(SETTLED_MS);
    world
}

struct Case {
    name: &'static str,
    step: Step,
    arrange: fn(&mut World),
    /// A job that cannot be started is found to stand still.
    found: bool,
}

const fn leave_as_it_is(_: &mut World) {}

fn gang(count: u32) -> Step {
    Step {
        gang: true,
        ..step(count, 1_000)
    }
}

/// Cases of room on six endpoints with four cores each.
fn cases_of_room() -> Vec<Case> {
    vec![
        Case {
            name: "a single task",
            step: step(1, 1_000),
            arrange: leave_as_it_is,
            found: true,
        },
        Case {
            name: "a gang with room twice over",
            step: gang(12),
            arrange: leave_as_it_is,
            found: true,
        },
        Case {
            name: "a gang with room less than twice over",
            step: gang(13),
            arrange: leave_as_it_is,
            found: false,
        },
        Case {
            name: "a gang spread with room twice over",
            step: Step {
                max_per_endpoint: 1,
                ..gang(3)
            },
            arrange: leave_as_it_is,
            found: true,
        },
        Case {
            name: "a gang spread with room less than twice over",
            step: Step {
                max_per_endpoint: 1,
                ..gang(4)
            },
            arrange: leave_as_it_is,
            found: false,
        },
        Case {
            name: "a task that lasts",
            step: Step {
                long_running: true,
                ..step(1, 1_000)
            },
            arrange: leave_as_it_is,
            found: true,
        },
    ]
}

/// Cases of which endpoints count, and when.
fn cases_of_endpoints() -> Vec<Case> {
    vec![
        Case {
            name: "a label that no endpoint has",
            step: Step {
                required_label: Some("fast".to_owned()),
                ..step(1, 1_000)
            },
            arrange: leave_as_it_is,
            found: false,
        },
        Case {
            name: "a label that one endpoint has",
            step: Step {
                required_label: Some("fast".to_owned()),
                ..step(1, 1_000)
            },
            arrange: |world| {
                let endpoint = world.endpoints.values_mut().next().expect("there");
                endpoint.labels.insert("fast".to_owned());
            },
            found: true,
        },
        Case {
            name: "no endpoint admitted",
            step: step(1, 1_000),
            arrange: |world| world.advice_percent = 0,
            found: false,
        },
        Case {
            name: "all endpoints draining",
            step: step(1, 1_000),
            arrange: |world| {
                for endpoint in world.endpoints.values_mut() {
                    endpoint.draining = true;
                }
            },
            found: false,
        },
        Case {
            name: "the store slow all the while",
            step: step(1, 1_000),
            arrange: |world| world.store.slow_ms = 50,
            found: false,
        },
        Case {
            name: "calls for advice that fail",
            step: step(1, 1_000),
            arrange: |world| world.failing_advisors = (0..world.advisors).collect(),
            found: false,
        },
        Case {
            name: "cancelled",
            step: step(1, 1_000),
            arrange: |world| {
                world.cancelled.insert(JobId(JOB));
            },
            found: false,
        },
    ]
}

/// Guards against a check that cannot fail: jobs that are never started are found, and only those
/// for which there is room.
#[test]
fn a_job_that_is_never_started_is_found_to_stand_still() {
    for case in cases_of_room().into_iter().chain(cases_of_endpoints()) {
        let mut world = calm_world();
        (case.arrange)(&mut world);
        world.drops_starts = true;
        let answer = world.submit(JOB, job(case.step));
        assert_eq!(answer, Answer::Accepted, "{}", case.name);
        world.run(LONG_ENOUGH_MS);
        let found = world
            .violations
            .iter()
            .any(|line| line.contains("stands still"));
        assert_eq!(found, case.found, "{}: {:?}", case.name, world.violations);
    }
}

#[test]
fn a_job_that_is_started_is_not_found_to_stand_still() {
    let cases = cases_of_room().into_iter().chain(cases_of_endpoints());
    for case in cases.filter(|case| case.found) {
        let mut world = calm_world();
        (case.arrange)(&mut world);
        let answer = world.submit(JOB, job(case.step));
        assert_eq!(answer, Answer::Accepted, "{}", case.name);
        world.run(LONG_ENOUGH_MS);
        assert!(
            world.violations.is_empty(),
            "{}: {:?}",
            case.name,
            world.violations
        );
    }
}

/// A task that lasts is judged by itself, also while others of its job run.
#[test]
fn a_task_that_lasts_is_found_beside_others_of_its_job() {
    let mut world = calm_world();
    let lasting = Step {
        long_running: true,
        max_per_endpoint: 1,
        ..step(3, 1_000_000)
    };
    world.submit(JOB, job(lasting));
    world.run(2_000);
    world.drops_starts = true;
    let endpoint = world
        .endpoints
        .values_mut()
        .find(|endpoint| !endpoint.running.is_empty());
    let endpoint = endpoint.expect("a task runs");
    let run = endpoint.running.values_mut().next().expect("a task runs");
    (run.ends_ms, run.fails) = (0, true);
    world.run(LONG_ENOUGH_MS - 500);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    world.run(1_000);
    assert_eq!(world.violations.len(), 1, "{:?}", world.violations);
    assert!(world.violations[0].contains("lasting task stands still"));
}

/// Standstills beside much other work are kept apart, until half of the capacity is free.
#[test]
fn a_standstill_beside_others_counts_once_most_capacity_is_free() {
    let mut world = calm_world();
    world.submit(JOB, job(step(12, 10_000)));
    world.run(1_000);
    world.drops_starts = true;
    world.submit(JOB + 1, job(step(1, 1_000)));
    world.run(8_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.standstill.of_kind(Kind::BesideOthers).len(), 1);
    world.run(5_000);
    assert_eq!(world.violations.len(), 1, "{:?}", world.violations);
}

/// Standstills shortly after a takeover are kept apart, and count once they outlast the leases that
/// the earlier holder can have granted.
#[test]
fn a_standstill_after_a_takeover_counts_once_all_leases_have_lapsed() {
    let mut world = calm_world();
    world.drops_starts = true;
    world.submit(JOB, job(step(1, 1_000)));
    world.kill(0);
    world.run(10_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.standstill.of_kind(Kind::AfterTakeover).len(), 1);
    world.run(6_000);
    assert_eq!(world.violations.len(), 1, "{:?}", world.violations);
}
