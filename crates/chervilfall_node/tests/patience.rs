//! How long requests wait, by their callers' patience.

use std::time::Duration;

use chervilfall_node::{Timings, WaitBounds};
use chervilfall_planner::{Asker, JobId, Request};

/// How long a caller waits for all its tries together.
const PATIENCE_MS: u64 = 3_000;
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
            let settle_ms = u64::try_from(bounds.settle.as_millis()).expect("some seconds");
            waits_ms += settle_ms;
            self.left_ms -= settle_ms;
            self.left_ms -= PAUSE_MS.min(self.left_ms / 2);
        }
        waits_ms
    }
}

#[test]
fn a_caller_is_waiting_for_most_of_its_time_when_the_store_returns() {
    let caller = Caller {
        left_ms: PATIENCE_MS,
    };
    let waits_ms = caller.waits_ms(&Timings::default());
    assert!(waits_ms >= 1_900, "{waits_ms} ms of {PATIENCE_MS}");
}

#[test]
fn waits_follow_patience() {
    struct Case {
        name: &'static str,
        patience_ms: Option<u64>,
        settle_ms: u64,
        answer_ms: u64,
        other_ms: u64,
    }
    let cases = [
        Case {
            name: "a usual caller is refused before half of its time is over",
            patience_ms: Some(3_000),
            settle_ms: 1_440,
            answer_ms: 2_400,
            other_ms: 1_200,
        },
        Case {
            name: "a caller in a hurry",
            patience_ms: Some(500),
            settle_ms: 240,
            answer_ms: 400,
            other_ms: 400,
        },
        Case {
            name: "a caller that does not say",
            patience_ms: None,
            settle_ms: 1_200,
            answer_ms: 2_000,
            other_ms: 1_200,
        },
    ];
    for case in cases {
        let patience = case.patience_ms.map(Duration::from_millis);
        let bounds = WaitBounds::new(patience, &Timings::default());
        let ms = Duration::from_millis;
        assert_eq!(bounds.settle, ms(case.settle_ms), "{}", case.name);
        assert_eq!(bounds.answer, ms(case.answer_ms), "{}", case.name);
        let state = Request::State {
            id: JobId(1),
            asker: Asker::default(),
        };
        assert_eq!(bounds.holder(&state), ms(case.other_ms), "{}", case.name);
    }
}
