//! A holder whose work takes time, with a large backlog.

mod world;

use std::collections::BTreeSet;

use chervilfall_planner::{EndReason, JobId, Planner, Queue, Step};
use world::busy::WorkCost;
use world::{step, World};

const NODES: usize = 3;
const ENDPOINTS: u32 = 120;
/// Nodes that can call for advice.
const CALLERS: u32 = 97;
/// Steps that wait behind work that fills the service.
const WAITING: u64 = 3_000;
/// Work that fills the service, in milliseconds.
const FILLING_MS: u64 = 16_000;
/// Work of a step that waits, in milliseconds.
const WORK_MS: u64 = 500;
/// Time that a submission may wait for its commit, in milliseconds.
const WAIT_MS: u64 = 60_000;
/// Time from the end of the work that fills the service until all that waits has been done, in
/// milliseconds. It takes 3 s of the whole service.
const RECOVERY_MS: u64 = 15_000;
/// Work on a node with half a core.
const COST: WorkCost = WorkCost {
    event_ns: 100_000,
    step_ns: 20_000,
    endpoint_ns: 200,
    node_ns: 50,
};

/// Returns a world in which much waits behind work that fills the service.
fn overloaded() -> World {
    let mut world = World::new(NODES, ENDPOINTS as usize, 5);
    world.limits.policies.admission_forecast = false;
    world.advisors = CALLERS;
    world.advice_timed = true;
    world.run_until(5_000, |world| world.holder().is_some());
    world.run(1_500);
    let filling = Queue {
        name: "filling".to_owned(),
        advice: None,
        ..world.queue.clone()
    };
    for id in 0..4 {
        let spread = Step {
            max_per_endpoint: 1,
            ..step(ENDPOINTS, FILLING_MS)
        };
        world.hand_in(&filling, 100_000 + id, spread, WAIT_MS);
    }
    world.run(500);
    world.work_cost = Some(COST);
    let queue = world.queue.clone();
    for id in 1..=WAITING {
        world.hand_in(&queue, id, step(1, WORK_MS), WAIT_MS);
        if id % 5 == 0 {
            world.run(10);
        }
    }
    world
}

fn term(world: &World) -> u64 {
    let planners = world.nodes.iter().filter_map(|node| node.planner.as_ref());
    planners.map(Planner::term).max().unwrap_or(0)
}

/// Returns the waiting jobs that have neither been done nor used up their attempts.
fn unfinished(world: &World) -> Vec<u64> {
    let endpoints = world.endpoints.values();
    let ends = endpoints.flat_map(|endpoint| &endpoint.acknowledged_ends);
    let done = ends.filter(|(_, _, how, _)| *how == EndReason::Done);
    let done: BTreeSet<u64> = done.map(|(task, ..)| task.job.0).collect();
    let others = (1..=WAITING).filter(|id| !done.contains(id));
    let unfinished = others.filter(|id| !world.has_used_attempts(JobId(*id)));
    unfinished.collect()
}

// Guards against a holder that its own backlog keeps so busy that its claim is taken from it again and
// again, each time with a new barrier before what was accepted (RECOVER).
#[test]
fn a_backlog_takes_no_claim_and_is_served_after_all_nodes_return() {
    struct Case {
        name: &'static str,
        all_killed: bool,
        /// Takeovers that the case causes itself.
        takeovers: u64,
    }
    let cases = [
        Case {
            name: "a backlog alone",
            all_killed: false,
            takeovers: 0,
        },
        Case {
            name: "all nodes lose power",
            all_killed: true,
            takeovers: 1,
        },
    ];
    for case in cases {
        let mut world = overloaded();
        let before = term(&world);
        world.run(2_000);
        if case.all_killed {
            for node in 0..NODES {
                world.kill(node);
            }
        }
        let end = world.now + FILLING_MS + RECOVERY_MS;
        while world.now < end && !unfinished(&world).is_empty() {
            world.run(1_000);
        }
        let left = unfinished(&world).len();
        println!("{}: {left} left, term {}", case.name, term(&world));
        assert_eq!(term(&world), before + case.takeovers, "{}", case.name);
        assert_eq!(left, 0, "{}", case.name);
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
    }
}
