//! Room that overdue work leaves to a gang with worth.

mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use chervilfall_planner::{Answer, Configuration, JobId, JobSpec, Step};
use world::{step, World};

const ENDPOINTS: usize = 11;
const GANG: u64 = 10_000;
/// Longest run of the overdue work: 1.3 s at a fifth of the speed. Within that time all of its places
/// become free once.
const LONGEST_RUN_MS: u64 = 6_500;

fn submit(world: &mut World, id: u64, step: Step) {
    let job = JobSpec {
        spec: "text".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    };
    assert_eq!(world.submit(id, job), Answer::Accepted, "job {id}");
}

/// Returns how long a gang with worth waits beside overdue work, if it starts within 30 s.
fn gang_waits_ms(quarantined: bool, seed: u64) -> Option<u64> {
    let mut world = World::new(1, ENDPOINTS, seed);
    world.limits.policies.admission_forecast = false;
    world.queue.stretch = 1.0;
    world.queue.target_latency_ms = 100;
    world.queue.advice = None;
    world.config = Arc::new(Configuration {
        queues: BTreeMap::from([(world.queue.name.clone(), world.queue.clone())]),
        ..Configuration::clone(&world.config)
    });
    for endpoint in world.endpoints.values_mut() {
        endpoint.fail_percent = 0;
    }
    let one = world.endpoints.values_mut().next().expect("some");
    one.labels = BTreeSet::from(["one".to_owned()]);
    one.fails_all = quarantined;
    world.run(3_000);
    let on_it = |step| Step {
        required_label: Some("one".to_owned()),
        ..step
    };
    if quarantined {
        for id in 1..=10 {
            submit(&mut world, id, on_it(step(1, 100)));
        }
        world.run_until(90_000, |world| {
            (1..=10).all(|id| world.has_used_attempts(JobId(id)))
        });
    } else {
        // The same capacity without the endpoint.
        let whole = Step {
            cpu_milli: 4_000,
            ..step(1, 600_000)
        };
        submit(&mut world, 1, on_it(whole));
        world.run(1_000);
    }
    for endpoint in world.endpoints.values_mut() {
        endpoint.speed_percent = 20;
    }
    // Overdue work for some 50 s of the ten others.
    for id in 100..500 {
        submit(&mut world, id, step(1, 700 + id * 37 % 600));
    }
    world.run(12_000);
    let turn_ms = world.now;
    let gang = Step {
        gang: true,
        estimate_ms: 60_000,
        ..step(20, 1_000)
    };
    submit(&mut world, GANG, gang);
    world.run(60_000);
    let endpoints = world.endpoints.values();
    let starts = endpoints.flat_map(|endpoint| &endpoint.starts);
    let own = starts.filter(|(_, task, _)| task.job == JobId(GANG));
    own.map(|(at_ms, _, _)| at_ms - turn_ms).min()
}

// Guards against overdue work that counts the room which a gang with worth is being left, and after
// 1.5 s takes it, so that the gang never has all of its places at once.
#[test]
fn a_gang_with_worth_gathers_its_places_beside_overdue_work() {
    let mut lines = Vec::new();
    for (name, quarantined) in [
        ("full pool", false),
        ("beside a quarantined endpoint", true),
    ] {
        let waits_ms = gang_waits_ms(quarantined, 1);
        if waits_ms.is_none_or(|ms| ms > LONGEST_RUN_MS) {
            lines.push(format!("{name}: starts after {waits_ms:?} ms"));
        }
    }
    assert!(lines.is_empty(), "\n{}", lines.join("\n"));
}
