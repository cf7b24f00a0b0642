//! The first commit of a term, after a renewal of its claim that the store has carried out without
//! an answer.
//!
//! Guards against a holder that takes its renewal's row for its first commit: it told callers and
//! endpoints that their changes were stored, and the next holder knew none of them.

mod world;

use chervilfall_planner::{Answer, Asker, JobId, JobSpec, JobState, Request};
use world::{step, World};

/// Time that a holder needs to know the intervals between its commits.
const WARM_UP_MS: u64 = 12_000;
/// Bound of a takeover.
const TAKEOVER_MS: u64 = 5_000;
/// Time for all leases to lapse and all runs to end.
const SETTLE_MS: u64 = 30_000;
/// The job that each case is about.
const JOB: u64 = 7;

fn job(work_ms: u64) -> JobSpec {
    JobSpec {
        spec: "text".to_owned(),
        steps: vec![step(2, work_ms)],
        ..JobSpec::default()
    }
}

/// Loses the holder and runs until another node has taken over.
fn lose_holder(world: &mut World) {
    let lost = world.holder().expect("a holder");
    world.nodes[lost].frozen_until_ms = u64::MAX;
    world.run_until(TAKEOVER_MS, |world| world.holder() != Some(lost));
}

fn state(world: &mut World) -> Answer {
    let asker = Asker::default();
    let id = JobId(JOB);
    world.ask(Request::State { id, asker })
}

fn cancel(world: &mut World) -> Answer {
    let asker = Asker::default();
    let id = JobId(JOB);
    world.ask(Request::Cancel { id, asker })
}

fn starts(world: &World) -> usize {
    let endpoints = world.endpoints.values();
    endpoints.map(|endpoint| endpoint.starts.len()).sum()
}

#[test]
fn what_the_first_commit_of_a_term_confirms_is_known_to_the_next_holder() {
    struct Case {
        name: &'static str,
        /// Work of each of the job's tasks.
        work_ms: u64,
        /// The job is submitted before the takeover.
        submitted_before: bool,
        /// Time between that submission and the loss of the holder.
        head_start_ms: u64,
        /// What the caller does right after the takeover.
        after: fn(&mut World) -> Answer,
        answer: Answer,
        final_state: Answer,
        /// Starts at the end.
        starts: usize,
    }
    let cases = [
        Case {
            name: "an accepted job",
            work_ms: 300,
            submitted_before: false,
            head_start_ms: 0,
            after: |world| world.submit(JOB, job(300)),
            answer: Answer::Accepted,
            final_state: Answer::State(JobState::Completed),
            starts: 2,
        },
        Case {
            name: "a cancelled job",
            work_ms: 60_000,
            submitted_before: true,
            head_start_ms: 500,
            after: cancel,
            answer: Answer::Cancelled,
            final_state: Answer::State(JobState::Cancelled),
            starts: 2,
        },
        Case {
            name: "a cancel before the submission",
            work_ms: 300,
            submitted_before: false,
            head_start_ms: 0,
            after: |world| {
                let answer = cancel(world);
                lose_holder(world);
                assert_eq!(world.submit(JOB, job(300)), Answer::Accepted);
                answer
            },
            answer: Answer::Unknown,
            final_state: Answer::State(JobState::Cancelled),
            starts: 0,
        },
        Case {
            name: "ends that an endpoint may forget",
            work_ms: 300,
            submitted_before: true,
            head_start_ms: 100,
            after: |world| {
                world.run(500);
                state(world)
            },
            answer: Answer::State(JobState::Completed),
            final_state: Answer::State(JobState::Completed),
            starts: 2,
        },
    ];
    for case in cases {
        let mut world = World::new(4, 4, 5);
        world.unanswered_renewal_percent = 100;
        world.run(WARM_UP_MS);
        if case.submitted_before {
            let answer = world.submit(JOB, job(case.work_ms));
            assert_eq!(answer, Answer::Accepted, "{}", case.name);
            world.run(case.head_start_ms);
        }
        lose_holder(&mut world);
        assert_eq!((case.after)(&mut world), case.answer, "{}", case.name);
        lose_holder(&mut world);
        world.run(SETTLE_MS);
        world.check_history();
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
        assert_eq!(state(&mut world), case.final_state, "{}", case.name);
        assert_eq!(starts(&world), case.starts, "{}", case.name);
    }
}

#[test]
fn a_holder_keeps_a_claim_whose_renewal_was_not_answered() {
    let mut world = World::new(3, 4, 5);
    world.unanswered_renewal_percent = 100;
    world.run(WARM_UP_MS);
    lose_holder(&mut world);
    let holder = world.holder();
    world.run(WARM_UP_MS);
    assert_eq!(world.holder(), holder);
}
