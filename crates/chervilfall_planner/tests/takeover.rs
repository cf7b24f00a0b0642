//! Time until a lost holder is replaced, and answers of a holder that resumes after its
//! replacement.

mod world;

use chervilfall_planner::{Answer, Asker, JobId, JobSpec, Request};
use world::{step, World};

/// Interval at which simulated followers read the claim row.
const CLAIM_READ_INTERVAL_MS: u64 = 200;
/// Time that a holder needs to know the intervals between its commits.
const WARM_UP_MS: u64 = 12_000;

#[test]
fn a_lost_holder_is_replaced_soon() {
    struct Case {
        name: &'static str,
        /// Time for which the store was unreachable, until 1 s before the loss.
        store_away_ms: u64,
        within_ms: u64,
    }
    let cases = [
        Case {
            name: "commits were frequent",
            store_away_ms: 0,
            within_ms: 500 + CLAIM_READ_INTERVAL_MS,
        },
        Case {
            name: "long intervals between commits: one more pause is no sign of a loss",
            store_away_ms: 700,
            within_ms: 1_300 + CLAIM_READ_INTERVAL_MS,
        },
        Case {
            name: "store unreachable, which is no sign of a loss of the holder",
            store_away_ms: 4_000,
            within_ms: 500 + CLAIM_READ_INTERVAL_MS,
        },
    ];
    for case in cases {
        let mut world = World::new(3, 4, 5);
        world.run(WARM_UP_MS);
        let before = world.holder();
        world.store.down_until_ms = world.now + case.store_away_ms;
        world.run(case.store_away_ms + 1_000);
        let lost = world.holder().expect("a holder");
        assert_eq!(
            before,
            Some(lost),
            "{}: no takeover before the loss",
            case.name
        );
        world.nodes[lost].frozen_until_ms = u64::MAX;
        let lost_ms = world.now;
        world.run_until(5_000, |world| world.holder() != Some(lost));
        let took_ms = world.now - lost_ms;
        assert!(took_ms <= case.within_ms, "{}: {took_ms} ms", case.name);
    }
}

#[test]
fn a_resumed_holder_does_not_deny_a_job_that_its_successor_accepted() {
    let mut world = World::new(3, 4, 5);
    world.run(WARM_UP_MS);
    let old = world.holder().expect("a holder");
    world.nodes[old].frozen_until_ms = world.now + 5_000;
    world.run_until(3_000, |world| world.holder() != Some(old));
    let spec = JobSpec {
        spec: "text".to_owned(),
        steps: vec![step(1, 300)],
        ..JobSpec::default()
    };
    assert_eq!(world.submit(7, spec), Answer::Accepted);
    let wakes_ms = world.nodes[old].frozen_until_ms;
    world.run(wakes_ms - world.now - 5);
    world.now = wakes_ms;
    // The request is the first event that it handles after it resumes.
    let answer = world.request_to_node(
        old,
        Request::State {
            id: JobId(7),
            asker: Asker::default(),
        },
    );
    assert_ne!(answer, Some(Answer::Unknown));
}
