//! The metric that tells why gangs miss their deadlines.

mod world;

use std::collections::BTreeMap;

use chervilfall_planner::{Answer, Asker, JobId, JobSpec, Request, Step};
use world::counters::Counters;
use world::{step, World};

const DEADLINES: &str = "chervilfall_gang_deadlines_total";
const GANG: u64 = 1;
const OTHER: u64 = 2;
/// Work of the gang, whose objective is 3 s and little more for advice.
const WORK_MS: u64 = 1_000;
/// Time after which both deadlines of the gang have passed.
const BOTH_DEADLINES_MS: u64 = 12_000;

fn job(step: Step) -> JobSpec {
    JobSpec {
        spec: "text".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    }
}

fn gang(count: u32) -> JobSpec {
    job(Step {
        gang: true,
        ..step(count, WORK_MS)
    })
}

/// Submits the gang and lets both of its deadlines pass.
fn submit_gang(world: &mut World, count: u32) {
    assert_eq!(world.submit(GANG, gang(count)), Answer::Accepted);
    world.run(BOTH_DEADLINES_MS);
}

fn play_without_advice(world: &mut World) {
    world.advice_percent = 0;
    submit_gang(world, 9);
}

fn play_without_room(world: &mut World) {
    let other = job(step(4, 60_000));
    assert_eq!(world.submit(OTHER, other), Answer::Accepted);
    world.run(500);
    submit_gang(world, 46);
}

fn play_with_late_room(world: &mut World) {
    let other = job(step(4, 5_000));
    assert_eq!(world.submit(OTHER, other), Answer::Accepted);
    world.run(500);
    submit_gang(world, 48);
}

fn play_with_lost_member(world: &mut World) {
    assert_eq!(world.submit(GANG, gang(40)), Answer::Accepted);
    world.run(500);
    let now = world.now;
    let mut endpoints = world.endpoints.values_mut();
    let used = endpoints.find(|endpoint| !endpoint.running.is_empty());
    used.expect("a member runs").crash(now, None);
    world.run(BOTH_DEADLINES_MS);
}

fn play_with_slow_endpoints(world: &mut World) {
    for endpoint in world.endpoints.values_mut() {
        endpoint.speed_percent = 20;
    }
    submit_gang(world, 8);
}

fn play_with_cancel(world: &mut World) {
    world.advice_percent = 0;
    assert_eq!(world.submit(GANG, gang(8)), Answer::Accepted);
    let cancel = Request::Cancel {
        id: JobId(GANG),
        asker: Asker::default(),
    };
    assert_eq!(world.ask(cancel), Answer::Cancelled);
    world.run(BOTH_DEADLINES_MS);
}

/// Holders are lost before the objective passes and after it.
fn play_with_takeovers(world: &mut World) {
    world.advice_percent = 0;
    assert_eq!(world.submit(GANG, gang(8)), Answer::Accepted);
    for wait_ms in [500, 5_000, BOTH_DEADLINES_MS] {
        world.run(wait_ms);
        let holder = world.holder().expect("a holder");
        world.kill(holder);
    }
}

fn play_without_gang(world: &mut World) {
    assert_eq!(world.submit(OTHER, job(step(8, 100))), Answer::Accepted);
    world.run(BOTH_DEADLINES_MS);
}

#[test]
fn deadlines_of_gangs_are_counted_by_width_and_cause() {
    struct Case {
        name: &'static str,
        play: fn(&mut World),
        /// Counters by deadline, outcome and width.
        counted: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "a gang that completes in time",
            play: |world| submit_gang(world, 8),
            counted: &[
                "width=1-8,deadline=objective,outcome=met",
                "width=1-8,deadline=overdue,outcome=met",
            ],
        },
        Case {
            name: "the advice service allows too few endpoints",
            play: play_without_advice,
            counted: &[
                "width=9-32,deadline=objective,outcome=advice",
                "width=9-32,deadline=overdue,outcome=advice",
            ],
        },
        Case {
            name: "other work holds the room",
            play: play_without_room,
            counted: &[
                "width=33-64,deadline=objective,outcome=room",
                "width=33-64,deadline=overdue,outcome=room",
            ],
        },
        Case {
            name: "other work holds the room until the objective has passed",
            play: play_with_late_room,
            counted: &[
                "width=33-64,deadline=objective,outcome=room",
                "width=33-64,deadline=overdue,outcome=met",
            ],
        },
        Case {
            name: "a member's endpoint is lost and the gang begins anew",
            play: play_with_lost_member,
            counted: &[
                "width=33-64,deadline=objective,outcome=restarted",
                "width=33-64,deadline=overdue,outcome=met",
            ],
        },
        Case {
            name: "the work takes longer than estimated",
            play: play_with_slow_endpoints,
            counted: &[
                "width=1-8,deadline=objective,outcome=running",
                "width=1-8,deadline=overdue,outcome=met",
            ],
        },
        Case {
            name: "a gang that is cancelled",
            play: play_with_cancel,
            counted: &[],
        },
        Case {
            name: "holders that are lost before and after the objective",
            play: play_with_takeovers,
            counted: &[
                "width=1-8,deadline=objective,outcome=takeover",
                "width=1-8,deadline=overdue,outcome=takeover",
            ],
        },
        Case {
            name: "tasks that are no gang",
            play: play_without_gang,
            counted: &[],
        },
    ];
    for case in cases {
        let counters = Counters::default();
        let mut world = World::new(1, 12, 3);
        metrics::with_local_recorder(&counters, || {
            world.run(1_500);
            (case.play)(&mut world);
        });
        let expected = case.counted.iter().map(|key| ((*key).to_owned(), 1));
        let expected: BTreeMap<String, u64> = expected.collect();
        assert_eq!(counters.of(DEADLINES), expected, "{}", case.name);
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
    }
}
