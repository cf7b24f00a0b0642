//! Usage of accounts by inherited tasks whose runs have not been found yet after a takeover.

mod world;

use std::collections::BTreeMap;
use std::sync::Arc;

use chervilfall_planner::{
    Account, Answer, Configuration, JobId, JobSpec, Planner, Resources, Step,
};
use ciborium::value::Value;
use world::{step, World};

const LIMITED: &str = "limited";
/// CPU of each of the six endpoints, except for the first one.
const ENDPOINT_MILLI: u32 = 4_000;
/// Quota of the account, in tasks of one core each.
const QUOTA_TASKS: u32 = 8;
/// The endpoint that cannot be reached during the takeover.
const CUT_OFF: usize = 0;
/// Number of the job submitted after the takeover.
const NEW_JOB: u64 = 100;
/// Duration of tasks that do not end within a test.
const WORK_MS: u64 = 60_000;
/// Time in which a new holder has read the list of endpoints and stored what it changes.
const LIST_READ_MS: u64 = 600;
/// Time within which a short job starts if its account's quota has room. The barrier lasts 9.5 s.
const STARTS_WITHIN_MS: u64 = 500;
/// Time for which the quota is checked after a takeover: longer than the barrier lasts.
const CHECKED_MS: u64 = 12_000;

/// What the endpoint that is cut off runs at the takeover.
#[derive(Clone)]
struct Setup {
    /// Capacity of the endpoint that is cut off.
    cut_off_milli: u32,
    /// The same when it joined.
    joined_milli: u32,
    hidden: Step,
    /// Number of tasks of the account that wait.
    waiting: u32,
    /// The roster was written by a version that does not state capacities.
    earlier_version: bool,
}

impl Setup {
    fn new(cut_off_milli: u32, hidden: Step) -> Self {
        Self {
            cut_off_milli,
            joined_milli: cut_off_milli,
            hidden,
            waiting: 3 * QUOTA_TASKS,
            earlier_version: false,
        }
    }
}

struct Takeover {
    world: World,
    /// Tasks of the account that run on the endpoint that is cut off.
    hidden_runs: usize,
}

/// Opens a simulation with a queue without advice, and a quota for the account.
fn open(cut_off_milli: u32) -> World {
    let mut world = World::new(3, 6, 31);
    world.queue.advice = None;
    for (number, endpoint) in world.endpoints.values_mut().enumerate() {
        endpoint.fail_percent = 0;
        if number == CUT_OFF {
            endpoint.cpu_milli = cut_off_milli;
        }
    }
    let queues = BTreeMap::from([(world.queue.name.clone(), world.queue.clone())]);
    let account = Account {
        name: LIMITED.to_owned(),
        weight: 0.0,
        quota: Resources {
            cpu_milli: u64::from(QUOTA_TASKS) * 1_000,
            ..Resources::default()
        },
    };
    world.config = Arc::new(Configuration {
        queues,
        version: 2,
        accounts: BTreeMap::from([(account.name.clone(), account)]),
        ..Configuration::clone(&world.config)
    });
    world.run(1_500);
    world
}

fn submit(world: &mut World, id: u64, step: Step) {
    let spec = JobSpec {
        spec: "text".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    };
    let answer = world.submit_for(Some(LIMITED), id, spec);
    assert_eq!(answer, Answer::Accepted, "job {id}");
}

fn cut_off(world: &mut World) -> &mut world::endpoint::FakeEndpoint {
    world.endpoints.values_mut().nth(CUT_OFF).expect("listed")
}

/// Lets the holder hand the group back, and returns once another term has begun.
fn replace_holder(world: &mut World) {
    let holder = world.holder().expect("a holder");
    let planner = world.nodes[holder].planner.as_mut().expect("a planner");
    let term = planner.term();
    planner.release();
    let newest = |world: &World| {
        let planners = world.nodes.iter().filter_map(|node| node.planner.as_ref());
        planners.map(Planner::term).max()
    };
    world.run_until(2_000, |world| newest(world) > Some(term));
}

/// Runs tasks on the endpoint that is cut off next, lets others of the same account wait, and
/// replaces the holder.
fn take_over(setup: &Setup) -> Takeover {
    let mut world = open(setup.joined_milli);
    // Nothing but the endpoint that is cut off next may be used.
    for endpoint in world.endpoints.values_mut().skip(1) {
        endpoint.draining = true;
    }
    let now = world.now;
    if setup.joined_milli != setup.cut_off_milli {
        cut_off(&mut world).resize(now, setup.cut_off_milli);
    }
    world.run(2_000);
    submit(&mut world, 1, setup.hidden.clone());
    submit(&mut world, 2, step(setup.waiting, WORK_MS));
    world.run(300);
    let hidden_runs = cut_off(&mut world).running.len();
    cut_off(&mut world).cut_until_ms = u64::MAX;
    for endpoint in world.endpoints.values_mut().skip(1) {
        endpoint.draining = false;
    }
    if setup.earlier_version {
        world.store.rewrite(without_capacities);
    }
    replace_holder(&mut world);
    Takeover { world, hidden_runs }
}

/// Returns a row as written by a version that does not state capacities in the roster.
fn without_capacities(bytes: &[u8]) -> Vec<u8> {
    let mut row: Value = ciborium::from_reader(bytes).expect("a row");
    for entry in row.as_array_mut().into_iter().flatten() {
        if let Some(fields) = entry.as_map_mut() {
            fields.retain(|(key, _)| key.as_text() != Some("capacity"));
        }
    }
    let mut stripped = Vec::new();
    ciborium::into_writer(&row, &mut stripped).expect("a row");
    stripped
}

/// Advances the simulation and returns the highest usage of the account.
fn max_usage_milli(world: &mut World) -> u32 {
    let mut most = 0;
    for _ in 0..CHECKED_MS / 5 {
        world.run(5);
        let living = world.endpoints.values().filter(|endpoint| !endpoint.dead);
        let runs = living.flat_map(|endpoint| endpoint.running.values());
        most = most.max(runs.map(|run| run.cpu_milli).sum());
    }
    most
}

/// Guards against inherited work that blocks its account although it cannot be running: only the
/// tasks that fit the endpoint that is cut off may be.
#[test]
fn inherited_work_that_waits_does_not_block_its_account() {
    let mut takeover = take_over(&Setup::new(ENDPOINT_MILLI, step(1, WORK_MS)));
    let world = &mut takeover.world;
    world.run(200);
    submit(world, NEW_JOB, step(2, 300));
    world.run(STARTS_WITHIN_MS);
    let starts = world
        .endpoints
        .values()
        .flat_map(|endpoint| &endpoint.starts);
    let started = starts
        .filter(|(_, task, _)| task.job == JobId(NEW_JOB))
        .count();
    assert_eq!(started, 2, "tasks of the new job that were started");
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against a quota that is exceeded together with runs that have not been found.
#[test]
fn runs_on_an_endpoint_that_is_cut_off_count_against_the_quota() {
    struct Case {
        name: &'static str,
        setup: Setup,
        /// Capacity of the endpoint that is cut off, after its runs were started.
        shrinks_to_milli: Option<u32>,
        /// It leaves the list of endpoints.
        leaves_list: bool,
        takeovers: usize,
    }
    const LARGE_MILLI: u32 = 2 * ENDPOINT_MILLI;
    let case = |name, setup| Case {
        name,
        setup,
        shrinks_to_milli: None,
        leaves_list: false,
        takeovers: 1,
    };
    let large = Setup::new(LARGE_MILLI, step(8, WORK_MS));
    let filling = Step {
        fills: true,
        memory_mb: 10,
        ..step(8, WORK_MS)
    };
    let grown = Setup {
        joined_milli: ENDPOINT_MILLI,
        ..large.clone()
    };
    let earlier_version = Setup {
        earlier_version: true,
        ..large.clone()
    };
    let cases = [
        case(
            "of the same size as others",
            Setup::new(ENDPOINT_MILLI, step(4, WORK_MS)),
        ),
        case("the largest", large.clone()),
        case("its runs fill", Setup::new(ENDPOINT_MILLI, filling)),
        case("it has grown since it joined", grown),
        Case {
            shrinks_to_milli: Some(1_000),
            ..case("it has shrunk since the starts", large.clone())
        },
        Case {
            leaves_list: true,
            ..case("it is not listed any more", large.clone())
        },
        Case {
            shrinks_to_milli: Some(1_000),
            takeovers: 2,
            ..case("it has shrunk, and the successor is lost, too", large)
        },
        Case {
            shrinks_to_milli: Some(1_000),
            takeovers: 2,
            ..case("its rows are of an earlier version", earlier_version)
        },
    ];
    for case in cases {
        let mut takeover = take_over(&case.setup);
        assert_eq!(
            takeover.hidden_runs, case.setup.hidden.count as usize,
            "{}: runs on the endpoint that is cut off",
            case.name
        );
        let world = &mut takeover.world;
        let endpoint = cut_off(world);
        endpoint.listed = !case.leaves_list;
        endpoint.cpu_milli = case.shrinks_to_milli.unwrap_or(endpoint.cpu_milli);
        for _ in 1..case.takeovers {
            world.run(LIST_READ_MS);
            replace_holder(world);
        }
        let still_hidden = cut_off(world).running.len();
        assert_eq!(still_hidden, takeover.hidden_runs, "{}", case.name);
        for id in 0..QUOTA_TASKS {
            submit(world, NEW_JOB + u64::from(id), step(1, 2_000));
        }
        let most = max_usage_milli(world);
        assert!(
            most <= QUOTA_TASKS * 1_000,
            "{}: {most} mCPU are in use",
            case.name
        );
    }
}
