//! Fair share of accounts that compete for capacity.

mod world;

use std::collections::BTreeMap;
use std::sync::Arc;

use chervilfall_planner::{
    Account, Answer, Configuration, FairShare, JobId, JobSpec, Queue, Resources, ShareLevel, Step,
    UsageByStart,
};
use world::{step, World};

const BUSY: &str = "busy";
const OTHER: &str = "other";
/// Queue of a better priority.
const URGENT: &str = "urgent";
/// CPU of all six endpoints, in tasks of one core.
const CAPACITY: usize = 24;
/// Duration of a task.
const TASK_MS: u64 = 500;
/// Time within which the work of an account below its share starts: a task of the other account
/// must end first, and a full pass must follow.
const STARTS_WITHIN_MS: u64 = TASK_MS + 200;

fn account(name: &str, weight: f64) -> Account {
    Account {
        name: name.to_owned(),
        weight,
        quota: Resources::default(),
    }
}

/// Opens a simulation in which accounts compete, with a queue without advice and an objective that
/// is out of the way.
fn open(weights: [f64; 2]) -> World {
    let mut world = World::new(3, 6, 41);
    world.limits.policies.fair_share = true;
    world.queue.advice = None;
    world.queue.target_latency_ms = 120_000;
    for endpoint in world.endpoints.values_mut() {
        endpoint.fail_percent = 0;
    }
    let accounts = [account(BUSY, weights[0]), account(OTHER, weights[1])];
    let accounts = accounts.map(|account| (account.name.clone(), account));
    let urgent = Queue {
        name: URGENT.to_owned(),
        priority: 0,
        ..world.queue.clone()
    };
    let queues = [world.queue.clone(), urgent];
    let queues = queues.map(|queue| (queue.name.clone(), queue));
    world.config = Arc::new(Configuration {
        queues: BTreeMap::from(queues),
        version: 2,
        accounts: BTreeMap::from(accounts),
        ..Configuration::clone(&world.config)
    });
    world.run(1_500);
    world
}

fn submit(world: &mut World, account: &str, id: u64, step: Step) {
    let spec = JobSpec {
        spec: "text".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    };
    let answer = world.submit_for(Some(account), id, spec);
    assert_eq!(answer, Answer::Accepted, "job {id}");
}

/// Submits one job with more tasks than end during a test, and lets them fill the endpoints. Their
/// ends are spread, as the endpoints are filled over the time of a task.
fn fill(world: &mut World, account: &str, id: u64) {
    for part in 0..6 {
        let work_ms = TASK_MS - 60 + 20 * part;
        submit(world, account, id + part, step(400, work_ms));
    }
    world.run(3 * TASK_MS);
}

/// Returns the number of starts of a job's tasks.
fn starts(world: &World, job: u64) -> usize {
    let starts = world
        .endpoints
        .values()
        .flat_map(|endpoint| &endpoint.starts);
    starts.filter(|(_, task, _)| task.job == JobId(job)).count()
}

/// Returns the number of running tasks of jobs with these numbers.
fn running(world: &World, jobs: std::ops::Range<u64>) -> usize {
    let living = world.endpoints.values().filter(|endpoint| !endpoint.dead);
    let tasks = living.flat_map(|endpoint| endpoint.running.keys());
    tasks.filter(|task| jobs.contains(&task.job.0)).count()
}

#[test]
fn level_is_the_dominant_share_in_tenths_of_the_fair_share() {
    struct Case {
        name: &'static str,
        cpu_milli: u64,
        memory_mb: u64,
        weight: f64,
        tenths: u32,
    }
    let case = |name, cpu_milli, memory_mb, weight, tenths| Case {
        name,
        cpu_milli,
        memory_mb,
        weight,
        tenths,
    };
    let pool = Resources {
        cpu_milli: 100_000,
        memory_mb: 1_000,
        gpus: 0,
    };
    let cases = [
        case("nothing is used", 0, 0, 1.0, 0),
        case(
            "a quarter is the fair share of one in four",
            25_000,
            0,
            1.0,
            10,
        ),
        case("memory is dominant", 25_000, 500, 1.0, 20),
        case("three times the weight", 75_000, 0, 3.0, 10),
        case("no weight counts as 1", 25_000, 0, 0.0, 10),
        case("just below a step", 27_400, 0, 1.0, 10),
        case("at the next step", 27_500, 0, 1.0, 11),
    ];
    for case in cases {
        let fair_share = FairShare::new(pool, [1.0, 3.0].into_iter());
        let used = Resources {
            cpu_milli: case.cpu_milli,
            memory_mb: case.memory_mb,
            gpus: 0,
        };
        let level = fair_share.level(used, case.weight);
        assert_eq!(level.tenths(), case.tenths, "{}", case.name);
    }
    assert_eq!(ShareLevel::FAIR.tenths(), 10);
}

#[test]
fn tasks_to_the_next_level_are_counted_in_the_resource_that_reaches_it_first() {
    struct Case {
        name: &'static str,
        used_milli: u64,
        charge_milli: u64,
        charge_mb: u64,
        tasks: u32,
    }
    let case = |name, used_milli, charge_milli, charge_mb, tasks| Case {
        name,
        used_milli,
        charge_milli,
        charge_mb,
        tasks,
    };
    let cases = [
        case("CPU", 0, 1_000, 0, 5),
        case("CPU in part", 4_500, 1_000, 0, 1),
        case("memory", 0, 1_000, 25, 2),
        case("more than a level", 0, 30_000, 0, 1),
    ];
    for case in cases {
        let pool = Resources {
            cpu_milli: 100_000,
            memory_mb: 1_000,
            gpus: 0,
        };
        let used = Resources {
            cpu_milli: case.used_milli,
            ..Resources::default()
        };
        let charge = Resources {
            cpu_milli: case.charge_milli,
            memory_mb: case.charge_mb,
            gpus: 0,
        };
        let fair_share = FairShare::new(pool, [1.0, 1.0].into_iter());
        let tasks = fair_share.tasks_to_next_level(used, charge, 1.0);
        assert_eq!(tasks, case.tasks, "{}", case.name);
    }
}

#[test]
fn usage_before_a_time_leaves_out_later_starts() {
    let used = |cpu_milli| Resources {
        cpu_milli,
        ..Resources::default()
    };
    let usage = UsageByStart::new(vec![(30, used(4)), (10, used(1)), (20, used(2))]);
    for (since_ms, cpu_milli) in [(10, 0), (11, 1), (20, 1), (25, 3), (31, 7)] {
        assert_eq!(usage.before(since_ms), used(cpu_milli), "{since_ms}");
    }
}

/// Guards against an account that submits little and waits behind all that another one has
/// submitted before.
#[test]
fn an_account_below_its_share_does_not_wait_behind_another() {
    let mut world = open([0.0, 0.0]);
    fill(&mut world, BUSY, 1);
    assert_eq!(running(&world, 1..10), CAPACITY, "unused shares are used");
    for id in 100..110 {
        submit(&mut world, OTHER, id, step(2, TASK_MS));
        world.run(STARTS_WITHIN_MS);
        assert_eq!(starts(&world, id), 2, "tasks of job {id} that were started");
    }
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against shares that do not follow the accounts' weights.
#[test]
fn running_work_follows_the_weights() {
    let mut world = open([30.0, 10.0]);
    fill(&mut world, BUSY, 1);
    fill(&mut world, OTHER, 100);
    let (mut busy, mut other) = (0, 0);
    for _ in 0..100 {
        world.run(50);
        busy += running(&world, 1..10);
        other += running(&world, 100..110);
    }
    let percent = busy * 100 / (busy + other);
    assert!((65..=85).contains(&percent), "{percent} % of 75 %");
}

/// Guards against a gang that falls behind another account because narrower work of its own account
/// starts while it waits.
#[test]
fn a_gang_does_not_lose_its_place_by_waiting() {
    /// Cores that become free one after the other, too few at once for the gang.
    const FREED_SINGLY: u64 = 16;
    /// Time after which the other cores become free at once.
    const FREED_AT_ONCE_MS: u64 = 3_000;
    let mut world = open([0.0, 0.0]);
    submit(&mut world, OTHER, 100, step(8, FREED_AT_ONCE_MS));
    for id in 0..FREED_SINGLY {
        submit(&mut world, OTHER, 101 + id, step(1, 600 + 80 * id));
    }
    let gang = Step {
        gang: true,
        ..step(6, TASK_MS)
    };
    submit(&mut world, BUSY, 1, gang);
    submit(&mut world, BUSY, 2, step(16, 20_000));
    submit(&mut world, OTHER, 200, step(400, TASK_MS));
    world.run(FREED_AT_ONCE_MS - 500);
    let narrow = starts(&world, 2);
    assert!(narrow >= 10, "{narrow} narrow tasks were started");
    assert_eq!(starts(&world, 1), 0, "the gang waits");
    world.run(1_000);
    assert_eq!(
        starts(&world, 1),
        6,
        "members of the gang that were started"
    );
}

/// Guards against an order by shares that passes the order by priority.
#[test]
fn urgent_work_starts_first_within_an_account_and_between_accounts() {
    let mut world = open([0.0, 0.0]);
    for id in 0..CAPACITY as u64 {
        submit(&mut world, BUSY, 1 + id, step(1, 1_000 + 80 * id));
    }
    let queue = world.queue.clone();
    submit(&mut world, BUSY, 100, step(400, TASK_MS));
    submit(&mut world, OTHER, 101, step(400, TASK_MS));
    world.queue = world.config.queues[URGENT].clone();
    submit(&mut world, BUSY, 200, step(4, TASK_MS));
    world.queue = queue;
    assert_eq!(running(&world, 1..25), CAPACITY, "no capacity is free");
    world.run_until(3_000, |world| starts(world, 200) == 4);
    for less_urgent in [100, 101] {
        let started = starts(&world, less_urgent);
        assert!(
            started <= 1,
            "{started} tasks of job {less_urgent} were started before"
        );
    }
}

/// Guards against shares that are forgotten with the holder.
#[test]
fn shares_are_kept_after_a_takeover() {
    let mut world = open([0.0, 0.0]);
    fill(&mut world, BUSY, 1);
    let holder = world.holder().expect("a holder");
    world.kill(holder);
    world.run_until(8_000, |world| world.holder().is_some());
    world.run(500);
    // The work that was inherited starts again after the barrier.
    for id in 100..110 {
        submit(&mut world, OTHER, id, step(2, TASK_MS));
        world.run(STARTS_WITHIN_MS);
        assert_eq!(starts(&world, id), 2, "tasks of job {id} that were started");
    }
    assert!(running(&world, 1..10) > 0, "the busy account has work");
    assert_eq!(world.violations, Vec::<String>::new());
}
