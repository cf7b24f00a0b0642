//! Endpoints whose answers to holds are on a congested link for long.

mod world;

use chervilfall_planner::{Answer, JobId, JobSpec, Step};
use world::oracle::restarted_tasks;
use world::{step, World};

/// Time that a holder needs to know the intervals between its commits.
const WARM_UP_MS: u64 = 12_000;
/// How long a link is congested: longer than a lease.
const CONGESTED_MS: u64 = 4_000;
/// Time after it in which all that was started ends.
const AFTER_MS: u64 = 8_000;
/// Number of the first job.
const FIRST_JOB: u64 = 7;
/// Time between two jobs.
const JOB_GAP_MS: u64 = 100;
/// Jobs in a case.
const JOBS: u64 = 40;

/// Returns a job of a few tasks that last up to two seconds.
fn job() -> JobSpec {
    let tasks = Step {
        cpu_milli: 100,
        memory_mb: 1,
        ..step(4, 1_000)
    };
    JobSpec {
        spec: "text".to_owned(),
        steps: vec![tasks],
        ..JobSpec::default()
    }
}

// Guards against tasks that are started again although their endpoints have listed their ends,
// because each list arrives later than the holder waits for it.
#[test]
fn a_task_of_an_endpoint_that_answers_slowly_is_not_started_again() {
    struct Case {
        name: &'static str,
        answer_delay_ms: u64,
    }
    let cases = [
        Case {
            name: "as usual",
            answer_delay_ms: 0,
        },
        Case {
            name: "half a second",
            answer_delay_ms: 500,
        },
        Case {
            name: "0.7 s",
            answer_delay_ms: 700,
        },
        Case {
            name: "0.9 s",
            answer_delay_ms: 900,
        },
        Case {
            name: "1.2 s, later than any hold waits",
            answer_delay_ms: 1_200,
        },
    ];
    let mut wrong = Vec::new();
    for case in cases {
        let mut world = World::new(3, 6, 5);
        world.queue.advice = None;
        for endpoint in world.endpoints.values_mut() {
            endpoint.fail_percent = 0;
        }
        world.run(WARM_UP_MS);
        for number in 0..JOBS {
            if number * JOB_GAP_MS == CONGESTED_MS / 4 {
                for endpoint in world.endpoints.values_mut().take(3) {
                    endpoint.answer_delay_ms = case.answer_delay_ms;
                }
            }
            let answer = world.submit(FIRST_JOB + number, job());
            assert_eq!(answer, Answer::Accepted, "{}", case.name);
            world.run(JOB_GAP_MS);
        }
        world.run(CONGESTED_MS / 4);
        for endpoint in world.endpoints.values_mut() {
            endpoint.answer_delay_ms = 0;
        }
        world.run(AFTER_MS);
        world.check_history();
        let jobs = (0..JOBS).map(|number| JobId(FIRST_JOB + number));
        let restarted: usize = jobs
            .map(|job| restarted_tasks(world.endpoints.values(), job))
            .sum();
        if restarted > 0 || !world.violations.is_empty() {
            let first = world.violations.first();
            wrong.push(format!(
                "{}: {restarted} tasks started again, {first:?}",
                case.name
            ));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
