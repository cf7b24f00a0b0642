//! Passes that are skipped as a whole are counted and logged, with their cause.

mod world;

use std::collections::BTreeMap;

use chervilfall_planner::{Answer, JobId, JobSpec};
use world::counters::Counters;
use world::lines::{capture, captured_lines, clear};
use world::{step, World};

/// Time in which the store is down.
const DOWN_MS: u64 = 4_000;
/// More work than there is room for, so that a step is open all the while.
const TASKS: u32 = 200;

/// Guards against a standstill of all steps that no line explains.
#[test]
fn skipped_passes_are_counted_and_logged_once_a_second() {
    struct Case {
        name: &'static str,
        /// Maximum age of the evacuations, and how long a stored commit covers leases.
        evacuations_age_ms: Option<u64>,
        claim_cover_ms: u64,
        /// Causes that are counted and logged.
        causes: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "the evacuations cannot be read",
            evacuations_age_ms: Some(1_000),
            claim_cover_ms: 9_000,
            causes: &["evacuations"],
        },
        Case {
            name: "the claim cannot be confirmed",
            evacuations_age_ms: None,
            claim_cover_ms: 1_500,
            causes: &["lease_bound"],
        },
        Case {
            name: "neither matters for so short a time",
            evacuations_age_ms: Some(9_000),
            claim_cover_ms: 9_000,
            causes: &[],
        },
    ];
    // Only this test sets a logger.
    capture();
    for case in cases {
        let counters = Counters::default();
        let mut world = World::new(1, 4, 3);
        world.limits.evacuations_age_ms = case.evacuations_age_ms;
        world.limits.claim_cover_ms = case.claim_cover_ms;
        world.run(4_000);
        let job = JobSpec {
            steps: vec![step(TASKS, 300)],
            ..JobSpec::default()
        };
        assert_eq!(world.submit(1, job), Answer::Accepted, "{}", case.name);
        clear();
        world.store.down_until_ms = world.now + DOWN_MS;
        metrics::with_local_recorder(&counters, || world.run(DOWN_MS + 1_000));
        let counted = counters.of("chervilfall_passes_skipped_total");
        let expected = case.causes.iter().map(|cause| format!("cause={cause}"));
        assert_eq!(
            counted.keys().cloned().collect::<Vec<String>>(),
            expected.collect::<Vec<String>>(),
            "{}",
            case.name
        );
        let lines = captured_lines("scheduling is skipped");
        let resumed = captured_lines("scheduling goes on");
        if case.causes.is_empty() {
            assert!(lines.is_empty() && resumed.is_empty(), "{}", case.name);
            continue;
        }
        assert!((2..=4).contains(&lines.len()), "{}: {lines:?}", case.name);
        let logged = lines.iter().map(|line| line["cause"].as_str());
        assert!(logged.eq(case.causes.repeat(lines.len())), "{lines:?}");
        let last: &BTreeMap<String, String> = lines.last().expect("a line");
        let for_ms: u64 = last["for_ms"].parse().expect("a number");
        assert!(
            (1_000..DOWN_MS).contains(&for_ms),
            "{}: {last:?}",
            case.name
        );
        assert_eq!(resumed.len(), 1, "{}: {resumed:?}", case.name);
        let started = world.starts_and_crashes_of(JobId(1)).0;
        assert!(started > 0, "{}", case.name);
    }
}
