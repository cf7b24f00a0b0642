//! Which endpoints a call for advice names first, and what that leaves free for gangs.

mod world;

use chervilfall_planner::{
    AdviceTimings, Answer, JobSpec, NamingCandidate, NamingOrder, Policies, Queue, Step,
};
use world::{step, World};

const ENDPOINTS: usize = 200;
const ENDPOINT_CPU_MILLI: u32 = 32_000;
const SHORT_MS: u64 = 800;
const SHORT_CPU_MILLI: u32 = 5_000;
/// Interval between short jobs of three tasks: about 100 of their tasks run at a time, which fit
/// beside the long tasks.
const SUBMIT_INTERVAL_MS: u64 = 10;
const SHORT_JOBS: u64 = 100;
/// Half of the endpoints run a long task each, which leaves room for two short ones there.
const LONG_JOB: u64 = 1_000;
const LONG_TASKS: u32 = 100;
const LONG_MS: u64 = 60_000;
const LONG_CPU_MILLI: u32 = 20_000;

#[test]
fn candidates_are_ranked_by_capacity_then_speed_then_free_cpu() {
    struct Case {
        name: &'static str,
        slow_call: bool,
        first: NamingCandidate,
        second: NamingCandidate,
    }
    let candidate = |fits, speed_rank, free_cpu_milli| NamingCandidate {
        fits,
        speed_rank,
        free_cpu_milli,
    };
    let cases = [
        Case {
            name: "a fast call leaves large free blocks",
            slow_call: false,
            first: candidate(true, 0, 5_000),
            second: candidate(true, 0, 30_000),
        },
        Case {
            name: "a slow call prefers what is likely to be free at its end",
            slow_call: true,
            first: candidate(true, 0, 30_000),
            second: candidate(true, 0, 5_000),
        },
        Case {
            name: "speed goes before free CPU",
            slow_call: false,
            first: candidate(true, -1, 30_000),
            second: candidate(true, 0, 5_000),
        },
        Case {
            name: "capacity goes before speed",
            slow_call: false,
            first: candidate(true, 1, 30_000),
            second: candidate(false, -1, 4_000),
        },
        Case {
            name: "of those without capacity the one that lacks least",
            slow_call: false,
            first: candidate(false, 0, 4_000),
            second: candidate(false, 0, 1_000),
        },
    ];
    for case in cases {
        let order = NamingOrder::new(case.slow_call);
        assert!(
            order.rank(case.first) < order.rank(case.second),
            "{}",
            case.name
        );
    }
}

fn world(name_least_free: bool) -> World {
    let mut world = World::new(1, ENDPOINTS, 7);
    for endpoint in world.endpoints.values_mut() {
        endpoint.cpu_milli = ENDPOINT_CPU_MILLI;
        endpoint.fail_percent = 0;
    }
    world.limits.policies = Policies {
        name_least_free,
        ..Policies::default()
    };
    world.queue = Queue {
        stretch: 1.5,
        target_latency_ms: 250,
        advice: Some(AdviceTimings {
            decide_ms: 12.0,
            each_ms: 0.17,
            valid_ms: 1_500,
        }),
        ..world.queue.clone()
    };
    world.run_until(5_000, |world| world.holder().is_some());
    world.run(2_000);
    world
}

fn job(count: u32, work_ms: u64, cpu_milli: u32) -> JobSpec {
    let step = Step {
        cpu_milli,
        ..step(count, work_ms)
    };
    JobSpec {
        spec: "text".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    }
}

/// Guards against a stream of short requests that takes a little of every empty endpoint although
/// there is room beside other work, so that no gang finds endpoints with room for several members.
#[test]
fn a_stream_of_short_requests_leaves_empty_endpoints_empty() {
    struct Case {
        name: &'static str,
        name_least_free: bool,
        leaves_empty: bool,
    }
    let cases = [
        Case {
            name: "least free first",
            name_least_free: true,
            leaves_empty: true,
        },
        Case {
            name: "most free first",
            name_least_free: false,
            leaves_empty: false,
        },
    ];
    for case in cases {
        let mut world = world(case.name_least_free);
        let long = job(LONG_TASKS, LONG_MS, LONG_CPU_MILLI);
        assert_eq!(world.submit(LONG_JOB, long), Answer::Accepted);
        world.run(2_000);
        let empty = empty_endpoints(&world);
        for id in 1..=SHORT_JOBS {
            let short = job(3, SHORT_MS, SHORT_CPU_MILLI);
            assert_eq!(world.submit(id, short), Answer::Accepted, "{}", case.name);
            world.run(SUBMIT_INTERVAL_MS);
        }
        let left = empty_endpoints(&world);
        // A short job may find no granted endpoint with room beside a long task now and then.
        assert_eq!(
            left * 10 >= empty * 9,
            case.leaves_empty,
            "{}: {left} of {empty} empty endpoints are left",
            case.name
        );
    }
}

fn empty_endpoints(world: &World) -> usize {
    let endpoints = world.endpoints.values();
    let empty = endpoints.filter(|endpoint| endpoint.running.is_empty());
    empty.count()
}
