//! Jobs are submitted faster than commits can store them.
//!
//! Guards against this failure: new jobs went into commits before the progress of earlier ones, and
//! ends were acknowledged only by a commit that left nothing over. Under sustained load no end was
//! ever acknowledged: endpoints listed all of them again and again, and no job was shown as ended.

mod world;

use chervilfall_planner::{Answer, Asker, JobId, JobSpec, JobState, Request};
use world::{step, World};

/// Rows of a commit: few, so that a small load exceeds them.
const COMMIT_ROWS: usize = 16;
/// Time between two submissions.
const SUBMIT_INTERVAL_MS: u64 = 5;
const JOBS: u64 = 1_200;
/// Time after a task's start by which its end must be stored and shown.
const MAX_LAG_MS: u64 = 2_000;

#[test]
fn ends_are_stored_and_acknowledged_under_a_submission_overload() {
    let mut world = World::new(1, 16, 11);
    world.limits.commit_rows = COMMIT_ROWS;
    world.queue.advice = None;
    world.run(1_500);
    let spec = JobSpec {
        spec: "text".to_owned(),
        steps: vec![step(1, 40)],
        ..JobSpec::default()
    };
    for id in 1..=JOBS {
        world.jobs.insert(JobId(id), spec.clone());
        world.request(Request::Submit {
            queue: world.queue.clone(),
            id: JobId(id),
            spec: spec.clone(),
            wait_ms: 700,
            account: None,
        });
        world.run(SUBMIT_INTERVAL_MS);
    }
    let old = |at_ms: &u64| *at_ms + MAX_LAG_MS < world.now;
    let endpoints = || world.endpoints.values();
    let ended = endpoints().flat_map(|endpoint| &endpoint.starts);
    let ended: Vec<JobId> = ended
        .filter(|(at_ms, ..)| old(at_ms))
        .map(|(_, task, _)| task.job)
        .collect();
    let acknowledged: usize = endpoints()
        .map(|endpoint| endpoint.acknowledged_ends.len())
        .sum();
    assert!(ended.len() > 100, "{} have ended", ended.len());
    assert!(
        acknowledged >= ended.len() * 9 / 10,
        "{acknowledged} of {} acknowledged",
        ended.len()
    );
    let mut shown = 0;
    for id in &ended {
        let asker = Asker::default();
        let state = world.ask(Request::State { id: *id, asker });
        shown += usize::from(state == Answer::State(JobState::Completed));
    }
    assert!(
        shown >= ended.len() * 9 / 10,
        "{shown} of {} shown",
        ended.len()
    );
    assert_eq!(world.violations, Vec::<String>::new());
}
