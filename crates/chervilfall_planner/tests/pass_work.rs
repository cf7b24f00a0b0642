//! The work of passes over the open steps, by what waits.

mod world;

use chervilfall_planner::{Backlog, PassWork, Queue, Step};
use world::{step, World};

const ENDPOINTS: u32 = 120;
const NODES: u32 = 40;
/// Steps that wait in the smaller and in the larger backlog.
const FEW: u64 = 250;
const MANY: u64 = 1_500;
/// By how much more work the larger backlog may make. The larger one is six times the smaller.
const MAX_GROWTH: u64 = 2;
/// Work that does not end within a test, in milliseconds.
const LONG_MS: u64 = 600_000;
/// Time in which all steps ask about all endpoints, in milliseconds.
const MAX_ASKING_MS: u64 = 60_000;
/// Time without a call after which no step has anything to ask, in milliseconds.
const QUIET_MS: u64 = 1_000;
/// Time that a submission may wait for its commit, in milliseconds.
const WAIT_MS: u64 = 60_000;
/// Time over which work is counted, in milliseconds.
const COUNTED_MS: u64 = 1_000;

/// A full service with a backlog.
struct Case {
    name: &'static str,
    /// Steps need tickets.
    advice: bool,
    /// Percentage of the endpoints that the advice service allows a step.
    advice_percent: u64,
    /// Label that the steps require.
    label: Option<&'static str>,
    /// Cores that are left free on each endpoint.
    free_cores: u32,
    /// Cores that a task needs.
    cores: u32,
    /// The group is taken over, and one endpoint that may have runs does not answer.
    behind_barrier: bool,
}

const FULL: Case = Case {
    name: "no endpoint has room",
    advice: false,
    advice_percent: 100,
    label: None,
    free_cores: 0,
    cores: 1,
    behind_barrier: false,
};

fn backlog(world: &World) -> Backlog {
    let holder = world.holder().expect("a holder");
    let planner = world.nodes[holder].planner.as_ref();
    planner.expect("a planner").backlog()
}

/// Advances the simulation until no step has anything to ask: no call is in flight for longer than full
/// passes are apart.
fn run_until_all_have_asked(world: &mut World) {
    let end = world.now + MAX_ASKING_MS;
    let mut quiet_ms = 0;
    while quiet_ms < QUIET_MS {
        assert!(world.now < end, "steps still ask");
        world.run(5);
        let calls = backlog(world).advice_calls;
        quiet_ms = if calls == 0 { quiet_ms + 5 } else { 0 };
    }
}

/// Returns a world with a full service and this many steps that wait.
fn with_backlog(case: &Case, waiting: u64) -> World {
    let nodes = if case.behind_barrier { 2 } else { 1 };
    let mut world = World::new(nodes, ENDPOINTS as usize, 5);
    world.limits.policies.admission_forecast = false;
    world.advisors = NODES;
    world.advice_timed = true;
    world.advice_percent = case.advice_percent;
    world.run_until(5_000, |world| world.holder().is_some());
    world.run(1_500);
    let mut queue = Queue {
        name: "filling".to_owned(),
        advice: None,
        ..world.queue.clone()
    };
    for id in 0..u64::from(4 - case.free_cores) {
        let spread = Step {
            max_per_endpoint: 1,
            ..step(ENDPOINTS, LONG_MS)
        };
        world.hand_in(&queue, 100_000 + id, spread, WAIT_MS);
    }
    world.run(3_000);
    if case.advice {
        queue = world.queue.clone();
    }
    for id in 1..=waiting {
        let step = Step {
            cpu_milli: case.cores * 1_000,
            required_label: case.label.map(ToOwned::to_owned),
            ..step(3, LONG_MS)
        };
        world.hand_in(&queue, id, step, WAIT_MS);
        if id % 50 == 0 {
            world.run(50);
        }
    }
    world.run(2_000);
    run_until_all_have_asked(&mut world);
    if case.behind_barrier {
        let lost = world.endpoints.values_mut().next().expect("an endpoint");
        lost.dead = true;
        let holder = world.holder().expect("a holder");
        world.kill(holder);
        world.nodes[holder].frozen_until_ms = world.now + LONG_MS;
        world.run_until(5_000, |world| {
            world.holder().is_some_and(|other| other != holder)
        });
        world.run(1_000);
    }
    let open_steps = backlog(&world).open_steps as u64;
    assert!(
        open_steps >= waiting,
        "{}: {open_steps} steps wait",
        case.name
    );
    world
}

/// Returns the work of the passes while nothing changes.
fn work(case: &Case, waiting: u64) -> u64 {
    let mut world = with_backlog(case, waiting);
    let holder = world.holder().expect("a holder");
    let take = |world: &mut World| -> PassWork {
        let planner = world.nodes[holder].planner.as_mut();
        planner.expect("a planner").take_work()
    };
    take(&mut world);
    world.run(COUNTED_MS);
    let work = take(&mut world);
    println!("{}, {waiting} wait: {work:?}", case.name);
    work.steps_visited + work.endpoints_judged + work.nodes_searched
}

// Guards against a holder that an overload keeps so busy with looking at what waits that its renewals
// come late, and others take over again and again (RECOVER).
#[test]
fn passes_do_not_grow_with_the_backlog() {
    let cases = [
        FULL,
        Case {
            name: "no endpoint has room, with advice",
            advice: true,
            ..FULL
        },
        Case {
            name: "room where the advice service does not allow the steps",
            advice: true,
            advice_percent: 0,
            free_cores: 2,
            ..FULL
        },
        Case {
            name: "room where the steps' label is missing",
            label: Some("absent"),
            free_cores: 2,
            ..FULL
        },
        Case {
            name: "tasks larger than any room",
            free_cores: 2,
            cores: 3,
            ..FULL
        },
        Case {
            name: "behind the barrier of a takeover",
            advice: true,
            free_cores: 1,
            behind_barrier: true,
            cores: 2,
            ..FULL
        },
    ];
    let grown = cases.iter().filter_map(|case| {
        let (few, many) = (work(case, FEW), work(case, MANY));
        let message = format!("{}: {few} for {FEW} steps, {many} for {MANY}", case.name);
        (many > few * MAX_GROWTH).then_some(message)
    });
    let grown: Vec<String> = grown.collect();
    assert!(grown.is_empty(), "{}", grown.join("\n"));
}
