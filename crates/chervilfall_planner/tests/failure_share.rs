//! Endpoints that fail part of their runs.
//!
//! Guards against this failure: an endpoint that failed half of its runs was given work like any
//! other, because a completed run ended each series of failures, and jobs used up their attempts.

mod world;

use chervilfall_planner::{is_unsound, EndReason, JobId, JobSpec, Request};
use world::{step, World};

#[test]
fn an_endpoint_is_unsound_if_a_sound_one_rarely_shows_its_failures() {
    struct Case {
        ends: u32,
        /// Fewest failures that show an endpoint to be unsound.
        failures: u32,
    }
    let case = |ends, failures| Case { ends, failures };
    let cases = [
        case(4, 4),
        case(6, 4),
        case(7, 5),
        case(11, 5),
        case(12, 6),
        case(16, 6),
    ];
    for Case { ends, failures } in cases {
        assert!(is_unsound(ends, failures), "{failures} of {ends}");
        assert!(!is_unsound(ends, failures - 1), "{failures} of {ends}");
    }
    assert!(!is_unsound(0, 0) && !is_unsound(1, 1));
}

/// Figures of a fleet of 50 endpoints of which some fail many of their runs.
struct Figures {
    failed_runs: usize,
    failed_jobs: usize,
}

/// Submits 40 jobs of four tasks of a second each second for 20 s, which use 80% of the fleet.
fn play(failure_share: bool, failing: usize, fail_percent: u64, seed: u64) -> Figures {
    const JOBS: u64 = 800;
    let mut world = World::new(1, 50, seed);
    world.limits.policies.failure_share = failure_share;
    world.queue.advice = None;
    world.run(3_000);
    for endpoint in world.endpoints.values_mut() {
        endpoint.fail_percent = 2;
    }
    for endpoint in world.endpoints.values_mut().step_by(50 / failing) {
        endpoint.fail_percent = fail_percent;
    }
    for id in 1..=JOBS {
        let spec = JobSpec {
            spec: "text".to_owned(),
            steps: vec![step(4, 1_000)],
            ..JobSpec::default()
        };
        world.jobs.insert(JobId(id), spec.clone());
        world.request(Request::Submit {
            queue: world.queue.clone(),
            id: JobId(id),
            spec,
            wait_ms: 1_000,
            account: None,
        });
        world.run(25);
    }
    world.run(20_000);
    world.check_history();
    assert_eq!(world.violations, Vec::<String>::new());
    let runs = world.endpoints.values().flat_map(|end| &end.past_runs);
    let failed_runs = runs.filter(|run| run.how == Some(EndReason::Failed));
    let jobs = (1..=JOBS).map(JobId);
    Figures {
        failed_runs: failed_runs.count(),
        failed_jobs: jobs.filter(|id| world.has_used_attempts(*id)).count(),
    }
}

#[test]
fn fewer_jobs_fail_if_some_endpoints_fail_half_of_their_runs() {
    struct Case {
        name: &'static str,
        failing: usize,
        fail_percent: u64,
        /// Most failed jobs with the policy, in percent of those without it.
        most_percent: usize,
    }
    let case = |name, failing, fail_percent, most_percent| Case {
        name,
        failing,
        fail_percent,
        most_percent,
    };
    let cases = [
        case("a tenth fails half of its runs", 5, 50, 50),
        case("all fail a quarter of their runs", 50, 25, 115),
    ];
    for case in cases {
        let total = |policy| {
            let plays = (1..=3).map(|seed| play(policy, case.failing, case.fail_percent, seed));
            plays.fold((0, 0), |(runs, jobs), figures| {
                (runs + figures.failed_runs, jobs + figures.failed_jobs)
            })
        };
        let [with, without] = [true, false].map(total);
        println!("{}: {with:?} with, {without:?} without", case.name);
        assert!(
            with.1 * 100 <= without.1 * case.most_percent,
            "{}",
            case.name
        );
    }
}
