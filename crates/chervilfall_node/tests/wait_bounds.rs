//! How long requests wait, by their callers' patience.

use std::time::Duration;

use chervilfall_node::{Timings, WaitBounds};
use chervilfall_planner::{Asker, JobId, Request};

/// How long a caller waits for all its tries together.
const WAIT_BUDGET_MS: u64 = 3_000;
/// Pause of a caller after a refusal: about 0.85 s at first, then half of what is left.
const PAUSE_MS: u64 = 850;

/// A caller that comes back until its patience ends.
struct Caller {
    left_ms: u64,
}

impl Caller {
    /// Returns for how long some try of it waits for the store.
    fn waits_ms(mut self, timings: &Timings) -> u64 {
        let mut waits_ms = 0;
        while self.left_ms > 50 {
            let bounds = WaitBounds::new(Some(Duration::from_millis(self.left_ms)), timings);
            let before_refusal_ms =
                u64::try_from(bounds.before_refusal.as_millis()).expect("some seconds");
            waits_ms += before_refusal_ms;
            self.left_ms -= before_refusal_ms;
            self.left_ms -= PAUSE_MS.min(self.left_ms / 2);
        }
        waits_ms
    }
}

#[test]
fn a_caller_is_waiting_for_most_of_its_time_when_the_store_returns() {
    let caller = Caller {
        left_ms: WAIT_BUDGET_MS,
    };
    let waits_ms = caller.waits_ms(&Timings::default());
    assert!(waits_ms >= 1_900, "{waits_ms} ms of {WAIT_BUDGET_MS}");
}

#[test]
fn waits_follow_the_wait_budget() {
    struct Case {
        name: &'static str,
        wait_budget_ms: Option<u64>,
        before_refusal_ms: u64,
        answer_ms: u64,
        other_ms: u64,
    }
    let cases = [
        Case {
            name: "a usual caller is refused before half of its time is over",
            wait_budget_ms: Some(3_000),
            before_refusal_ms: 1_440,
            answer_ms: 2_400,
            other_ms: 1_200,
        },
        Case {
            name: "a caller in a hurry",
            wait_budget_ms: Some(500),
            before_refusal_ms: 240,
            answer_ms: 400,
            other_ms: 400,
        },
        Case {
            name: "a caller that does not say",
            wait_budget_ms: None,
            before_refusal_ms: 1_200,
            answer_ms: 2_000,
            other_ms: 1_200,
        },
    ];
    for case in cases {
        let wait_budget = case.wait_budget_ms.map(Duration::from_millis);
        let bounds = WaitBounds::new(wait_budget, &Timings::default());
        let ms = Duration::from_millis;
        assert_eq!(
            bounds.before_refusal,
            ms(case.before_refusal_ms),
            "{}",
            case.name
        );
        assert_eq!(bounds.answer, ms(case.answer_ms), "{}", case.name);
        let state = Request::State {
            id: JobId(1),
            asker: Asker::default(),
        };
        assert_eq!(bounds.holder(&state), ms(case.other_ms), "{}", case.name);
    }
}
