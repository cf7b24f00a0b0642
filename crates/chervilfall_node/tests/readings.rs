//! Readings that are answered at times that only the start of a process has.

use chervilfall_node::{HedgedReads, ReadEvent, ReadingTimes};

const TIMES: ReadingTimes = ReadingTimes {
    poll_ms: 150,
    min_hedge_ms: 75,
    max_hedge_ms: 125,
    max_arrival_ms: 400,
};

/// Guards against an answer that is discarded because its reading began in the first millisecond of
/// the process: a node whose other readings are not answered then never has a configuration. This is
/// the only test of its process, so that its reading begins there.
#[tokio::test]
async fn a_reading_of_the_first_millisecond_is_answered() {
    let mut readings = HedgedReads::new("configuration", TIMES);
    readings.begin(|_| async { Ok("value") });
    let event = readings.next_event().await;
    assert!(
        matches!(event, ReadEvent::Answered { value: "value", .. }),
        "{event:?}"
    );
}
