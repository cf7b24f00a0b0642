//! Cancels that arrive before the submission of their job.
//!
//! A caller that gives up cancels its job while the submission is still in flight: at a node that
//! waits for a holder, or resent by the network. The cancel finds no job. A later submission under
//! the same id must not run, even if another holder accepts it.

mod world;

use chervilfall_planner::{Answer, Asker, JobId, JobSpec, JobState, Request};
use world::{step, World};

fn job() -> JobSpec {
    JobSpec {
        spec: "text".to_owned(),
        steps: vec![step(2, 500)],
        ..JobSpec::default()
    }
}

fn starts(world: &World) -> usize {
    let endpoints = world.endpoints.values();
    endpoints.map(|endpoint| endpoint.starts.len()).sum()
}

#[test]
fn a_job_cancelled_before_its_submission_never_runs() {
    struct Case {
        name: &'static str,
        takeover: bool,
    }
    let cases = [
        Case {
            name: "the same holder accepts it",
            takeover: false,
        },
        Case {
            name: "a later holder accepts it",
            takeover: true,
        },
    ];
    for case in cases {
        let mut world = World::new(3, 4, 7);
        world.run(1_500);
        let id = JobId(1);
        let state = Request::State {
            id,
            asker: Asker::default(),
        };
        assert_eq!(
            world.ask(Request::Cancel {
                id,
                asker: Asker::default()
            }),
            Answer::Unknown
        );
        assert_eq!(world.ask(state.clone()), Answer::Unknown, "{}", case.name);
        if case.takeover {
            let holder = world.holder().expect("a holder");
            world.nodes[holder].frozen_until_ms = u64::MAX;
            world.run_until(10_000, |world| world.holder() != Some(holder));
            assert_eq!(world.ask(state.clone()), Answer::Unknown, "{}", case.name);
        }
        assert_eq!(world.submit(1, job()), Answer::Accepted, "{}", case.name);
        world.run(15_000);
        assert_eq!(starts(&world), 0, "{}", case.name);
        let answer = world.ask(state);
        assert_eq!(answer, Answer::State(JobState::Cancelled), "{}", case.name);
    }
}

#[test]
fn a_cancelled_job_whose_submission_was_refused_never_runs_when_resubmitted() {
    let mut world = World::new(3, 4, 7);
    world.run(1_500);
    let id = JobId(1);
    // A commit in flight keeps the next submission out of every batch until it is refused.
    world.store.down_until_ms = world.now + 2_000;
    world.run(200);
    let queue = world.queue.clone();
    let submission = Request::Submit {
        queue,
        id,
        spec: job(),
        wait_ms: 300,
        account: None,
    };
    let (holder, submitted) = world.request(submission).expect("a holder");
    let (_, cancelled) = world
        .request(Request::Cancel {
            id,
            asker: Asker::default(),
        })
        .expect("a holder");
    world.run(4_000);
    let replies = &world.nodes[holder].replies;
    assert!(matches!(
        replies.get(&submitted),
        Some(Answer::Refused { .. })
    ));
    assert_eq!(replies.get(&cancelled), Some(&Answer::Unknown));
    assert_eq!(world.submit(1, job()), Answer::Accepted);
    world.run(5_000);
    assert_eq!(starts(&world), 0);
}

#[test]
fn the_submission_of_a_cancelled_job_is_answered_once_its_acceptance_is_stored() {
    let mut world = World::new(3, 4, 7);
    world.run(1_500);
    let id = JobId(1);
    let asker = Asker::default();
    // The commit with the cancel is in flight when the submission arrives.
    world.store.down_until_ms = world.now + 300;
    let cancel = Request::Cancel {
        id,
        asker: asker.clone(),
    };
    world.request(cancel).expect("a holder");
    world.run(100);
    let submission = Request::Submit {
        queue: world.queue.clone(),
        id,
        spec: job(),
        wait_ms: 2_000,
        account: None,
    };
    let (holder, submitted) = world.request(submission).expect("a holder");
    let answered = |world: &World| world.nodes[holder].replies.contains_key(&submitted);
    world.run_until(2_000, answered);
    assert_eq!(
        world.nodes[holder].replies.get(&submitted),
        Some(&Answer::Accepted)
    );
    world.nodes[holder].frozen_until_ms = u64::MAX;
    world.run_until(10_000, |world| world.holder() != Some(holder));
    let answer = world.ask(Request::State { id, asker });
    assert_eq!(answer, Answer::State(JobState::Cancelled));
}
