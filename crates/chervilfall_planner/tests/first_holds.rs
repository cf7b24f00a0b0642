//! How a new holder of a large fleet reaches its endpoints.
//!
//! Guards against holding all of them at the same moment. With 3,000 endpoints the answers kept the
//! holder's CPU busy for over a second and delayed the renewals of its claim; the next node claimed
//! the group and did the same.

mod world;

use std::collections::BTreeSet;
use std::sync::Arc;

use chervilfall_planner::{Action, Configuration, Event, HoldAnswer, Limits, Planner};
use world::tables::{claim_after, group_with_roster, idle_report, stored};

const ENDPOINTS: usize = 3_000;
/// Maximum number of first holds that are sent at one moment.
const MAX_FIRST_HOLDS: usize = 128;

/// Returns the time from a hold to its answer by endpoint number; none if it does not answer.
type AnswerDelay = fn(usize) -> Option<u64>;

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
        let group = group_with_roster(ENDPOINTS);
        let mut planner = Planner::new(Limits::default(), claim_after(9_000), group, 10_000);
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
                        Action::Commit(batch) => answers.push((now + 10, stored(&batch, now))),
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
                            let event = idle_report(&order, now, now);
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
