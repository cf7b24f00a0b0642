//! Submissions to a holder that is behind with its calls.

mod world;

use chervilfall_planner::{Answer, JobSpec, Overload};
use world::{step, World};

/// Lag from which endpoints count as silent.
const MAX_LAG_MS: u64 = 350;

#[test]
fn only_a_lasting_lag_counts() {
    struct Case {
        name: &'static str,
        /// Times of measurements, and the lag measured.
        lags: &'static [(u64, u64)],
        /// The time told to a caller who is refused at the last of them.
        retry_ms: Option<u64>,
    }
    let cases = [
        Case {
            name: "never measured",
            lags: &[],
            retry_ms: None,
        },
        Case {
            name: "small lags",
            lags: &[(0, 20), (1_000, 174), (2_000, 100)],
            retry_ms: None,
        },
        Case {
            name: "a short large lag",
            lags: &[(0, 20), (1_000, 600), (1_250, 600)],
            retry_ms: None,
        },
        Case {
            name: "large lags with a small one between",
            lags: &[(0, 400), (200, 10), (400, 400)],
            retry_ms: None,
        },
        Case {
            name: "a lasting lag",
            lags: &[(1_000, 200), (1_300, 180)],
            retry_ms: Some(500),
        },
        Case {
            name: "longer than the lag has lasted",
            lags: &[(1_000, 2_000), (1_300, 2_300)],
            retry_ms: Some(2_300),
        },
        Case {
            name: "for seconds",
            lags: &[(1_000, 300), (4_000, 300)],
            retry_ms: Some(3_000),
        },
        Case {
            name: "it has passed",
            lags: &[(1_000, 300), (4_000, 300), (4_100, 50)],
            retry_ms: None,
        },
    ];
    for case in cases {
        let mut overload = Overload::default();
        let mut now = 0;
        for (at_ms, lag_ms) in case.lags {
            now = *at_ms;
            overload.record(now, *lag_ms, MAX_LAG_MS);
        }
        assert_eq!(overload.retry_ms(now), case.retry_ms, "{}", case.name);
    }
}

// Guards against a holder that accepts what it cannot start in time, so that leases lapse and sound runs
// are given up (SHORT).
#[test]
fn a_holder_that_is_behind_refuses_new_jobs_only() {
    let mut world = World::new(1, 4, 3);
    world.run(3_000);
    let job = JobSpec {
        steps: vec![step(1, 100)],
        ..JobSpec::default()
    };
    assert_eq!(world.submit(1, job.clone()), Answer::Accepted);
    let behind = |world: &mut World, lag_ms, for_ms| {
        let holder = world.holder().expect("a holder");
        for _ in 0..for_ms / 10 {
            let planner = world.nodes[holder].planner.as_mut().expect("a planner");
            planner.record_lag(lag_ms);
            world.run(10);
        }
    };
    behind(&mut world, 400, 500);
    let answer = world.submit(2, job.clone());
    assert!(matches!(answer, Answer::Refused { .. }), "{answer:?}");
    assert_eq!(
        world.submit(1, job.clone()),
        Answer::Accepted,
        "it is known"
    );
    behind(&mut world, 20, 10);
    assert_eq!(world.submit(2, job), Answer::Accepted, "caught up");
}
