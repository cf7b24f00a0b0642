//! Readings whose answers have arrived and are being decoded.

use std::time::Duration;

use chervilfall_node::{HedgedReads, ReadEvent, ReadingTimes};

const TIMES: ReadingTimes = ReadingTimes {
    poll_ms: 600,
    min_hedge_ms: 100,
    max_hedge_ms: 150,
    max_arrival_ms: 400,
};

const ANSWER_BYTES: usize = 1_000_000;

/// A reading that is answered in part or whole at once, and what follows.
struct Case {
    name: &'static str,
    complete: bool,
    /// Time until the value is known after all bytes have arrived.
    decoding_ms: u64,
    /// Another reading is sent before that.
    hedges: bool,
}

/// Guards against an answer that counts as silent while it is decoded: a busy node then reads the whole
/// configuration several times at once, and is busier still.
#[tokio::test]
async fn an_answer_that_is_being_decoded_is_not_read_again() {
    let cases = [
        Case {
            name: "decoding takes longer than a silence",
            complete: true,
            decoding_ms: 300,
            hedges: false,
        },
        Case {
            name: "decoding takes longer than an arrival may",
            complete: true,
            decoding_ms: 900,
            hedges: false,
        },
        Case {
            name: "the rest does not arrive",
            complete: false,
            decoding_ms: 900,
            hedges: true,
        },
    ];
    for case in &cases {
        let mut readings = HedgedReads::new("configuration", TIMES);
        let first = readings.next_event().await;
        assert!(matches!(first, ReadEvent::Due), "{}: {first:?}", case.name);
        let (complete, decoding_ms) = (case.complete, case.decoding_ms);
        readings.begin(|progress| async move {
            progress.record(ANSWER_BYTES);
            if complete {
                progress.record_complete();
            }
            tokio::time::sleep(Duration::from_millis(decoding_ms)).await;
            Ok("value")
        });
        let second = loop {
            match readings.next_event().await {
                ReadEvent::None => {}
                event => break event,
            }
        };
        let hedges = matches!(second, ReadEvent::Due);
        assert_eq!(hedges, case.hedges, "{}: {second:?}", case.name);
    }
}
