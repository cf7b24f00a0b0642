//! Latency-sensitive requests next to batch work that fills the fleet, on endpoints of different
//! speeds.
//!
//! Requests whose objective is 1.5 times their work arrive continuously, next to a backlog of batch
//! work that may wait for several times its own work. Endpoints work at 0.8, 1 and 1.25 of the
//! normal speed, and one of them at a fifth.

mod world;

use chervilfall_planner::{Answer, JobId, JobSpec, Queue, Step};
use world::{step, World};

const ENDPOINTS: usize = 9;
const FIRST_SHORT: u64 = 1_000;
const SHORT_JOBS: u64 = 40;
/// Work of a short task in milliseconds.
const SHORT_MS: u64 = 640;

fn job(step: Step) -> JobSpec {
    JobSpec {
        spec: "text".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    }
}

fn latency_tolerant_queue(queue: &Queue) -> Queue {
    Queue {
        name: "patient".to_owned(),
        priority: 2,
        stretch: 4.0,
        target_latency_ms: 3_000,
        ..queue.clone()
    }
}

fn latency_sensitive_queue(queue: &Queue) -> Queue {
    Queue {
        name: "short".to_owned(),
        priority: 0,
        stretch: 1.5,
        target_latency_ms: 250,
        ..queue.clone()
    }
}

/// Returns the time from each short job's submission to the start of its first task.
fn waits_ms(world: &World, submitted: &[(u64, u64)]) -> Vec<u64> {
    let first = |id: u64| {
        let endpoints = world.endpoints.values();
        let starts = endpoints.flat_map(|endpoint| &endpoint.starts);
        let own = starts.filter(|(_, task, _)| task.job == JobId(id));
        own.map(|(at_ms, ..)| *at_ms).min()
    };
    let waits = submitted
        .iter()
        .map(|(id, at_ms)| first(*id).map_or(u64::MAX, |started_ms| started_ms - at_ms));
    waits.collect()
}

/// Submits short jobs, at least 120 ms apart, and returns their ids with the submission times.
fn submit_short_jobs(world: &mut World, step: &Step) -> Vec<(u64, u64)> {
    let mut submitted = Vec::new();
    for id in FIRST_SHORT..FIRST_SHORT + SHORT_JOBS {
        submitted.push((id, world.now));
        assert_eq!(world.submit(id, job(step.clone())), Answer::Accepted);
        world.run(120);
    }
    world.run(2_000);
    submitted
}

#[test]
fn short_work_goes_to_fast_endpoints_once_their_speed_is_known() {
    struct Case {
        name: &'static str,
        speed: bool,
        min_fast_percent: usize,
        max_starts_on_slowest: usize,
    }
    let cases = [
        Case {
            name: "placement by speed",
            speed: true,
            min_fast_percent: 85,
            max_starts_on_slowest: 0,
        },
        Case {
            name: "without the policy",
            speed: false,
            min_fast_percent: 0,
            max_starts_on_slowest: usize::MAX,
        },
    ];
    for case in cases {
        let mut world = World::new(3, ENDPOINTS, 3);
        world.limits.policies.speed = case.speed;
        let speeds = [20, 80, 80, 100, 100, 100, 125, 125, 125];
        for (endpoint, speed_percent) in world.endpoints.values_mut().zip(speeds) {
            endpoint.speed_percent = speed_percent;
        }
        world.run(1_500);
        let standard = world.queue.clone();
        world.queue = latency_tolerant_queue(&standard);
        for id in 1..=14 {
            assert_eq!(world.submit(id, job(step(30, 900))), Answer::Accepted);
            world.run(1_200);
        }
        world.run(6_000);
        world.queue = latency_sensitive_queue(&standard);
        submit_short_jobs(&mut world, &step(1, SHORT_MS));
        let short_starts = |speed: u64| -> usize {
            let endpoints = world.endpoints.values();
            let such = endpoints.filter(|endpoint| endpoint.speed_percent == speed);
            let starts = such.flat_map(|endpoint| &endpoint.starts);
            starts
                .filter(|(_, task, _)| task.job >= JobId(FIRST_SHORT))
                .count()
        };
        let all: usize = [20, 80, 100, 125].into_iter().map(short_starts).sum();
        let fast_percent = short_starts(125) * 100 / all;
        assert!(
            fast_percent >= case.min_fast_percent,
            "{}: {fast_percent}%",
            case.name
        );
        assert!(
            short_starts(20) <= case.max_starts_on_slowest,
            "{}",
            case.name
        );
        if !case.speed {
            assert!(fast_percent < 85, "{}: {fast_percent}%", case.name);
        }
    }
}

/// Returns a step whose task needs most of an endpoint.
fn wide_step() -> Step {
    Step {
        cpu_milli: 3_000,
        ..step(1, SHORT_MS)
    }
}

/// Returns a world whose holder has seen the demand of short work, filled with batch work as far as
/// the policies allow. Its queue is set for short work.
fn world_with_backlog(headroom: bool) -> World {
    let mut world = World::new(3, ENDPOINTS, 3);
    world.limits.policies.headroom = headroom;
    world.run(1_500);
    let standard = world.queue.clone();
    world.queue = latency_sensitive_queue(&standard);
    for id in 1..=10 {
        assert_eq!(world.submit(id, job(wide_step())), Answer::Accepted);
        world.run(120);
    }
    world.queue = latency_tolerant_queue(&standard);
    for id in 101..=112 {
        assert_eq!(world.submit(id, job(step(40, 3_000))), Answer::Accepted);
    }
    world.run(500);
    world.queue = latency_sensitive_queue(&standard);
    world
}

#[test]
fn short_work_finds_free_resources_beside_a_backlog() {
    struct Case {
        name: &'static str,
        headroom: bool,
        waits_long: bool,
    }
    let cases = [
        Case {
            name: "latency-tolerant work leaves headroom",
            headroom: true,
            waits_long: false,
        },
        Case {
            name: "without the policy",
            headroom: false,
            waits_long: true,
        },
    ];
    for case in cases {
        let mut world = world_with_backlog(case.headroom);
        let submitted = submit_short_jobs(&mut world, &wide_step());
        let waits = waits_ms(&world, &submitted);
        let soon = waits.iter().filter(|wait_ms| **wait_ms <= 250).count();
        let enough = soon * 10 >= waits.len() * 8;
        assert_eq!(
            enough,
            !case.waits_long,
            "{}: {soon} of {}",
            case.name,
            waits.len()
        );
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn long_running_work_does_not_wait_for_headroom_reserved_for_others() {
    let mut world = world_with_backlog(true);
    world.queue = latency_tolerant_queue(&world.queue);
    let long_running = Step {
        long_running: true,
        ..wide_step()
    };
    let submitted = vec![(FIRST_SHORT, world.now)];
    assert_eq!(
        world.submit(FIRST_SHORT, job(long_running)),
        Answer::Accepted
    );
    world.run(1_000);
    let waits = waits_ms(&world, &submitted);
    assert!(waits[0] <= 250, "{waits:?}");
}

/// Guards against short work on endpoints that have just started while warm ones have room.
#[test]
fn short_work_prefers_warm_endpoints_where_there_is_room() {
    struct Case {
        name: &'static str,
        warm_endpoints: bool,
        /// Cores that the short jobs of one moment need; the warm endpoints have 24.
        cores: u32,
        /// Time for which the cold endpoints say to be cold.
        cold_ms: u64,
        /// Fewest and most of the starts on cold endpoints, in percent.
        cold_percent: [usize; 2],
    }
    let case = |name, warm_endpoints, cores, cold_ms, cold_percent| Case {
        name,
        warm_endpoints,
        cores,
        cold_ms,
        cold_percent,
    };
    let cases = [
        case("room on warm ones", true, 2, 60_000, [0, 0]),
        case("without the policy", false, 2, 60_000, [50, 100]),
        case("warm again", true, 2, 1_000, [50, 100]),
        case("no room on warm ones", true, 36, 60_000, [30, 40]),
    ];
    for case in cases {
        let mut world = World::new(3, ENDPOINTS, 3);
        world.limits.policies.warm_endpoints = case.warm_endpoints;
        world.queue = latency_sensitive_queue(&world.queue);
        // Without a difference the first endpoints are preferred.
        let cold_until_ms = world.now + case.cold_ms;
        for endpoint in world.endpoints.values_mut().take(3) {
            endpoint.cold_until_ms = cold_until_ms;
        }
        world.run(2_500);
        for id in FIRST_SHORT..FIRST_SHORT + 5 {
            assert_eq!(
                world.submit(id, job(step(case.cores, SHORT_MS))),
                Answer::Accepted
            );
            world.run(1_500);
        }
        let starts = |cold: bool| -> usize {
            let endpoints = world.endpoints.values();
            let such = endpoints.filter(|endpoint| (endpoint.cold_until_ms > 0) == cold);
            such.map(|endpoint| endpoint.starts.len()).sum()
        };
        let percent = starts(true) * 100 / (starts(true) + starts(false));
        println!("{}: {percent}% of the starts on cold endpoints", case.name);
        let [least, most] = case.cold_percent;
        assert!(
            (least..=most).contains(&percent),
            "{}: {percent}%",
            case.name
        );
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
    }
}
