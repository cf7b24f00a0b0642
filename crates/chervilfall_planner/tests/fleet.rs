//! The normal load of a consortium with 540 endpoints and 97 nodes.
//!
//! 160 submissions arrive per second. Most are short lookups of three tasks on average, whose
//! objective is 1.5 times their work and a quarter of a second; gangs of twenty tasks and batch
//! steps of nineteen use most of the resources. Each queue asks for advice first; a call for a gang
//! takes most of a second.

mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use chervilfall_planner::{AdviceTimings, JobId, JobSpec, Queue, Request, Step};
use world::random::Random;
use world::World;

const ENDPOINTS: usize = 540;
const NODES: u32 = 97;
/// Index of the lookups among the kinds.
const LOOKUP: usize = 2;
/// Duration of the load.
const SECONDS: u64 = 12;

/// A kind of request.
struct Kind {
    queue: Queue,
    per_s: u64,
    step: Step,
    /// Mean number of tasks.
    width: u64,
}

fn queue(world: &World, name: &str, priority: u32, stretch: f64, target_latency_ms: u64) -> Queue {
    Queue {
        name: name.to_owned(),
        priority,
        stretch,
        target_latency_ms,
        attempts: 3,
        ..world.queue.clone()
    }
}

fn kinds(world: &World) -> Vec<Kind> {
    let step = |cpu_milli, memory_mb, estimate_ms| Step {
        cpu_milli,
        memory_mb,
        estimate_ms,
        ..Step::default()
    };
    let terms = |decide_ms, each_ms| {
        Some(AdviceTimings {
            decide_ms,
            each_ms,
            valid_ms: 1_500,
        })
    };
    let mut kinds = vec![
        Kind {
            queue: queue(world, "match", 1, 2.2, 1_000),
            per_s: 7,
            step: Step {
                gang: true,
                ..step(4_500, 2_000, 5_000)
            },
            width: 20,
        },
        Kind {
            queue: queue(world, "sync", 2, 4.0, 3_000),
            per_s: 18,
            step: step(2_800, 1_000, 2_700),
            width: 19,
        },
        Kind {
            queue: queue(world, "lookup", 0, 1.5, 250),
            per_s: 135,
            step: step(3_900, 1_500, 640),
            width: 3,
        },
    ];
    kinds[0].queue.advice = terms(637.0, 9.1);
    kinds[1].queue.advice = terms(182.0, 2.6);
    kinds[2].queue.advice = terms(16.9, 0.234);
    kinds
}

fn fleet() -> World {
    let mut world = World::new(1, ENDPOINTS, 7);
    for endpoint in world.endpoints.values_mut() {
        endpoint.cpu_milli = 16_000;
    }
    world.advisors = NODES;
    world.advice_timed = true;
    world.advice_percent = 45;
    world.run_until(5_000, |world| world.holder().is_some());
    world.run(2_000);
    world
}

/// A job of a kind, and when it was submitted.
struct SubmittedJob {
    id: JobId,
    kind: usize,
    at_ms: u64,
}

/// Submits the jobs that arrive in a tenth of a second.
fn submit(
    world: &mut World,
    kinds: &[Kind],
    random: &mut Random,
    submitted: &mut Vec<SubmittedJob>,
) {
    for (number, kind) in kinds.iter().enumerate() {
        let due = kind.per_s / 10 + u64::from(random.below(10) < kind.per_s % 10);
        for _ in 0..due {
            let id = JobId(submitted.len() as u64 + 1);
            let count = 1 + random.below(2 * kind.width);
            let spec = JobSpec {
                spec: "text".to_owned(),
                steps: vec![Step {
                    count: u32::try_from(count).expect("small"),
                    estimate_ms: kind.step.estimate_ms / 2 + random.below(kind.step.estimate_ms),
                    ..kind.step.clone()
                }],
                ..JobSpec::default()
            };
            world.jobs.insert(id, spec.clone());
            submitted.push(SubmittedJob {
                id,
                kind: number,
                at_ms: world.now,
            });
            world.request(Request::Submit {
                queue: kind.queue.clone(),
                id,
                spec,
                wait_ms: 1_000,
                account: None,
            });
        }
    }
}

/// Returns the time from submission to first start of each job of a kind, in ascending order.
fn waits_ms(world: &World, submitted: &[SubmittedJob], kind: usize) -> Vec<u64> {
    let mut first: BTreeMap<JobId, u64> = BTreeMap::new();
    for (at_ms, task, _) in world
        .endpoints
        .values()
        .flat_map(|endpoint| &endpoint.starts)
    {
        let earliest = first.entry(task.job).or_insert(*at_ms);
        *earliest = (*earliest).min(*at_ms);
    }
    let own = submitted.iter().filter(|job| job.kind == kind);
    let wait = |job: &SubmittedJob| {
        first
            .get(&job.id)
            .map_or(u64::MAX, |at_ms| at_ms - job.at_ms)
    };
    let mut waits: Vec<u64> = own.map(wait).collect();
    waits.sort_unstable();
    waits
}

#[test]
fn short_lookups_start_soon_beside_gangs_and_batch_work() {
    let mut world = fleet();
    let kinds = kinds(&world);
    let (mut random, mut submitted) = (Random::new(11), Vec::new());
    world.planning = Duration::ZERO;
    for _ in 0..10 * SECONDS {
        submit(&mut world, &kinds, &mut random, &mut submitted);
        world.run(100);
    }
    let planning = world.planning / u32::try_from(SECONDS).expect("few");
    println!("planning took {planning:?} per second");
    world.run(3_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let waits = waits_ms(&world, &submitted, LOOKUP);
    let (median_ms, p95_ms) = (waits[waits.len() / 2], waits[waits.len() * 19 / 20]);
    println!("lookups waited {median_ms} ms at the median, {p95_ms} ms at the 95th percentile");
    assert!(median_ms <= 80, "median {median_ms} ms");
    assert!(p95_ms <= 120, "95th percentile {p95_ms} ms");
}
