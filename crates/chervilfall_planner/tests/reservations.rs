//! Gangs that wait for their tickets while other work waits for the same resources.
//!
//! Guards against this failure: when the tickets of a wide gang came, narrower work had taken the
//! resources for which they were requested.

mod world;

use chervilfall_planner::{AdviceTimings, Answer, Asker, Event, JobId, JobSpec, Request, Step};
use world::{step, World};

const ENDPOINTS: usize = 7;
/// Tasks of the gang; two endpoints are left over.
const WIDTH: u32 = 20;
/// Tasks of the other job: more than the resources that the gang leaves.
const OTHERS: u32 = 16;
/// Work that fills the fleet while the gang learns which endpoints it may use.
const FILLER_MS: u64 = 4_000;
/// Duration of a call for advice.
const CALL_MS: f64 = 900.0;
const FILLER: u64 = 1;
const GANG: u64 = 2;
const OTHER: u64 = 3;

fn job(step: Step) -> JobSpec {
    JobSpec {
        spec: "text".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    }
}

fn starts(world: &World, id: u64) -> usize {
    let starts = world
        .endpoints
        .values()
        .flat_map(|endpoint| &endpoint.starts);
    starts.filter(|(_, task, _)| task.job == JobId(id)).count()
}

/// Returns a full fleet on which the gang's call for tickets has just been made, because the work
/// on it has ended.
fn waiting_for_tickets(reservations: bool) -> World {
    let mut world = World::new(1, ENDPOINTS, 5);
    world.limits.policies.reservations = reservations;
    world.advice_timed = true;
    world.run_until(5_000, |world| world.holder().is_some());
    world.run(1_500);
    let timings = AdviceTimings {
        decide_ms: CALL_MS,
        each_ms: 1.0,
        valid_ms: 1_500,
    };
    // Queues that the configuration does not have keep the settings that they are submitted with.
    "others".clone_into(&mut world.queue.name);
    world.queue.advice = None;
    let slots = u32::try_from(ENDPOINTS).expect("few") * 4;
    assert_eq!(
        world.submit(FILLER, job(step(slots, FILLER_MS))),
        Answer::Accepted
    );
    let others = world.queue.clone();
    "gangs".clone_into(&mut world.queue.name);
    world.queue.advice = Some(timings);
    world.queue.stretch = 4.0;
    let gang = Step {
        gang: true,
        ..step(WIDTH, 3_000)
    };
    assert_eq!(world.submit(GANG, job(gang)), Answer::Accepted);
    world.queue = others;
    let holder = world.holder().expect("a holder");
    let calls = |world: &World| {
        let planner = world.nodes[holder].planner.as_ref();
        planner.map_or(0, |planner| planner.backlog().advice_calls)
    };
    world.run(3_000);
    assert_eq!(calls(&world), 0, "no call is made while the fleet is full");
    world.run_until(2_000, |world| calls(world) > 0);
    assert_eq!(starts(&world, GANG), 0);
    world
}

/// Event after the call for tickets, before the other job is submitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Incident {
    None,
    Cancelled,
    /// The node that makes the call is lost.
    CallFailed,
}

#[test]
fn resources_that_a_gang_has_asked_tickets_for_are_left_to_it() {
    struct Case {
        name: &'static str,
        reservations: bool,
        incident: Incident,
        /// Work of a task of the other job.
        other_ms: u64,
        /// Number of tasks of the other job that start before the gang's tickets come.
        others: usize,
        /// Number of tasks of the gang that have started soon after.
        gang: usize,
    }
    let left = ENDPOINTS * 4 - WIDTH as usize;
    let cases = [
        Case {
            name: "long work uses only what is left",
            reservations: true,
            incident: Incident::None,
            other_ms: 5_000,
            others: left,
            gang: WIDTH as usize,
        },
        Case {
            name: "short work ends before the tickets come",
            reservations: true,
            incident: Incident::None,
            other_ms: 400,
            others: OTHERS as usize,
            gang: WIDTH as usize,
        },
        Case {
            name: "the gang is cancelled",
            reservations: true,
            incident: Incident::Cancelled,
            other_ms: 5_000,
            others: OTHERS as usize,
            gang: 0,
        },
        Case {
            name: "the call fails",
            reservations: true,
            incident: Incident::CallFailed,
            other_ms: 5_000,
            others: OTHERS as usize,
            gang: 0,
        },
        Case {
            name: "without the policy",
            reservations: false,
            incident: Incident::None,
            other_ms: 5_000,
            others: OTHERS as usize,
            gang: 0,
        },
    ];
    for case in cases {
        let mut world = waiting_for_tickets(case.reservations);
        match case.incident {
            Incident::None => {}
            Incident::Cancelled => {
                let cancel = Request::Cancel {
                    id: JobId(GANG),
                    asker: Asker::default(),
                };
                assert_eq!(world.ask(cancel), Answer::Cancelled, "{}", case.name);
            }
            Incident::CallFailed => {
                let holder = world.holder().expect("a holder");
                world.handle_event(holder, Event::Nodes(Vec::new()));
            }
        }
        let other = job(step(OTHERS, case.other_ms));
        assert_eq!(
            world.submit(OTHER, other),
            Answer::Accepted,
            "{}",
            case.name
        );
        world.run(300);
        assert_eq!(starts(&world, OTHER), case.others, "{}", case.name);
        world.run(1_400);
        assert_eq!(starts(&world, GANG), case.gang, "{}", case.name);
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn a_gang_reserves_elsewhere_what_it_loses_with_an_endpoint() {
    let mut world = waiting_for_tickets(true);
    for endpoint in world.endpoints.values_mut().take(2) {
        endpoint.listed = false;
    }
    world.queue.advice = None;
    world.run(600);
    assert_eq!(
        world.submit(OTHER, job(step(OTHERS, 5_000))),
        Answer::Accepted
    );
    world.run(4_500);
    assert_eq!(starts(&world, GANG), WIDTH as usize);
    assert_eq!(world.violations, Vec::<String>::new());
}
