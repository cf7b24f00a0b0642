//! How a new holder of a large fleet reaches its endpoints.
//!
//! Guards against holding all of them at the same moment. With 3,000 endpoints the answers kept the
//! holder's CPU busy for over a second and delayed the renewals of its claim; the next node claimed
//! the group and did the same.

use std::collections::BTreeSet;
use std::sync::Arc;

use chervilfall_planner::{
    Action, CommitOutcome, Configuration, EndpointId, Event, HoldAnswer, HoldReport, HolderRow,
    Limits, Planner, RosterEntry, StoredGroup, Takeover,
};

const ENDPOINTS: usize = 3_000;
/// Maximum number of first holds that are sent at one moment.
const MAX_FIRST_HOLDS: usize = 128;

fn takeover() -> Takeover {
    let row = HolderRow {
        term: 2,
        node: "successor".to_owned(),
        incarnation: 2,
        address: "127.0.0.1:1".to_owned(),
        number: 0,
        released: false,
        settled: false,
        cpu_permille: 500,
        recovering: true,
        wanted_permille: 0,
        standstill_ms: 0,
        written_store_ms: 0,
    };
    Takeover {
        row,
        fence: 100,
        version: 100,
        predecessor_seen_ms: Some(9_000),
        predecessor_written_store_ms: 0,
        predecessor_gone_ms: None,
    }
}

/// Returns the time from a hold to its answer by endpoint number; none if it does not answer.
type AnswerDelay = fn(usize) -> Option<u64>;

/// Returns the roster with all endpoints.
fn roster() -> Vec<RosterEntry> {
    let roster = (0..ENDPOINTS).map(|number| RosterEntry {
        id: EndpointId(format!("{number}")),
        born_ms: None,
        address: format!("{number}:1"),
        lapses_store_ms: None,
        capacity: None,
    });
    roster.collect()
}

#[test]
fn endpoints_are_reached_a_few_at_a_time() {
    struct Case {
        name: &'static str,
        answer_delay: AnswerDelay,
        /// Time until all endpoints that answer must have been held.
        within_ms: u64,
    }
    let cases = [
        Case {
            name: "all answer",
            answer_delay: |_| Some(10),
            within_ms: 500,
        },
        Case {
            name: "a third is cut off",
            answer_delay: |number| (number % 3 != 0).then_some(10),
            within_ms: 3_000,
        },
    ];
    for case in cases {
        let stored = StoredGroup {
            roster: roster(),
            ..StoredGroup::default()
        };
        let mut planner = Planner::new(Limits::default(), takeover(), stored, 10_000);
        planner.handle(
            10_000,
            Event::Configured(Arc::new(Configuration::default())),
        );
        let answering = (0..ENDPOINTS).filter(|number| (case.answer_delay)(*number).is_some());
        let mut not_reached: BTreeSet<usize> = answering.collect();
        let mut answers: Vec<(u64, Event)> = Vec::new();
        let mut now = 10_000;
        while !not_reached.is_empty() {
            now += 10;
            assert!(
                now <= 10_000 + case.within_ms,
                "{}: {}",
                case.name,
                not_reached.len()
            );
            let (due, later): (Vec<_>, Vec<_>) =
                answers.into_iter().partition(|(at, _)| *at <= now);
            answers = later;
            let mut events: Vec<Event> = due.into_iter().map(|(_, event)| event).collect();
            events.push(Event::Tick { unix_ms: now });
            let mut first_holds = 0;
            for event in events {
                for action in planner.handle(now, event) {
                    match action {
                        Action::Commit(batch) => answers.push((
                            now + 10,
                            Event::Committed {
                                number: batch.number,
                                copy: batch.copy,
                                outcome: CommitOutcome::Stored {
                                    version: 100 + batch.number,
                                    store_ms: now,
                                },
                            },
                        )),
                        Action::Hold(order) => {
                            let number: usize = order.id.0.parse().expect("a number");
                            first_holds += usize::from(not_reached.contains(&number));
                            let Some(delay_ms) = (case.answer_delay)(number) else {
                                let event = Event::Held {
                                    endpoint: order.endpoint,
                                    sent_ms: now,
                                    answer: HoldAnswer::Unanswered,
                                };
                                answers.push((now + order.timeout_ms, event));
                                continue;
                            };
                            not_reached.remove(&number);
                            let report = HoldReport {
                                clock_ms: now,
                                ..HoldReport::default()
                            };
                            let event = Event::Held {
                                endpoint: order.endpoint,
                                sent_ms: now,
                                answer: HoldAnswer::Report(report),
                            };
                            answers.push((now + delay_ms, event));
                        }
                        _ => {}
                    }
                }
            }
            assert!(
                first_holds <= MAX_FIRST_HOLDS,
                "{}: {first_holds} at once",
                case.name
            );
        }
    }
}
