//! Holds of endpoints that run nothing, by the size of the fleet.
//!
//! Guards against a holder whose processor and connections are taken by endpoints that have nothing
//! to report: their holds would grow with the fleet.

mod world;

use std::collections::BTreeMap;
use std::sync::Arc;

use chervilfall_planner::{Action, Configuration, EndpointKey, Event, Limits, Planner};
use world::tables::{first_claim, group_with_roster, idle_report, stored};

/// When the holder takes over.
const BEGIN_MS: u64 = 10_000;
/// Time until all endpoints have answered the first time.
const WARM_UP_MS: u64 = 6_000;
/// Time that is counted.
const COUNTED_MS: u64 = 12_000;
/// Time until a hold that does not wait is answered.
const ANSWER_MS: u64 = 10;
/// Longest time between two holds of an endpoint: the time after which the platform's list drops one
/// that is lost, and half of that, as the times are spread.
const MAX_PAUSE_MS: u64 = 7_500;

/// Holds that were sent within the counted time.
#[derive(Default)]
struct Counts {
    holds: u64,
    /// Time that holds were in flight.
    in_flight_ms: u64,
    longest_pause_ms: u64,
}

/// Plays a holder of endpoints that run nothing and answer each hold after its wait.
fn count_holds(endpoints: usize) -> Counts {
    let group = group_with_roster(endpoints);
    let mut planner = Planner::new(Limits::default(), first_claim(), group, BEGIN_MS);
    let configuration = Arc::new(Configuration::default());
    planner.handle(BEGIN_MS, Event::Configured(configuration));
    let mut due: BTreeMap<(u64, u64), Event> = BTreeMap::new();
    let mut last_ms: BTreeMap<EndpointKey, u64> = BTreeMap::new();
    let (mut counts, mut sequence) = (Counts::default(), 0);
    let counted_from_ms = BEGIN_MS + WARM_UP_MS;
    for now in (BEGIN_MS..counted_from_ms + COUNTED_MS).step_by(10) {
        let later = due.split_off(&(now + 1, 0));
        let mut events: Vec<Event> = std::mem::replace(&mut due, later).into_values().collect();
        events.push(Event::Tick { unix_ms: now });
        for event in events {
            for action in planner.handle(now, event) {
                sequence += 1;
                match action {
                    Action::Commit(batch) => {
                        due.insert((now + ANSWER_MS, sequence), stored(&batch, now));
                    }
                    Action::Hold(order) => {
                        let took_ms = order.wait_ms + ANSWER_MS;
                        let answer = idle_report(&order, now, now + took_ms);
                        due.insert((now + took_ms, sequence), answer);
                        let before_ms = last_ms.insert(order.endpoint, now);
                        if now >= counted_from_ms {
                            counts.holds += 1;
                            counts.in_flight_ms += took_ms;
                            let pause_ms = now - before_ms.unwrap_or(now);
                            counts.longest_pause_ms = counts.longest_pause_ms.max(pause_ms);
                        }
                    }
                    _ => {}
                }
            }
        }
    }
    counts
}

#[test]
fn holds_of_idle_endpoints_do_not_grow_with_a_large_fleet() {
    struct Case {
        endpoints: usize,
        max_holds_per_s: u64,
        /// Holds in flight at a time.
        max_in_flight: u64,
    }
    let cases = [
        Case {
            endpoints: 48,
            max_holds_per_s: 100,
            max_in_flight: 48,
        },
        Case {
            endpoints: 540,
            max_holds_per_s: 700,
            max_in_flight: 540,
        },
        Case {
            endpoints: 3_000,
            max_holds_per_s: 2_000,
            max_in_flight: 100,
        },
        Case {
            endpoints: 6_000,
            max_holds_per_s: 2_000,
            max_in_flight: 100,
        },
        Case {
            endpoints: 9_000,
            max_holds_per_s: 2_000,
            max_in_flight: 100,
        },
    ];
    for case in cases {
        let counts = count_holds(case.endpoints);
        let holds_per_s = counts.holds * 1_000 / COUNTED_MS;
        let in_flight = counts.in_flight_ms / COUNTED_MS;
        println!(
            "{} endpoints: {holds_per_s} holds/s, {in_flight} in flight, {} ms apart at most",
            case.endpoints, counts.longest_pause_ms
        );
        assert!(holds_per_s <= case.max_holds_per_s, "{}", case.endpoints);
        assert!(in_flight <= case.max_in_flight, "{}", case.endpoints);
        assert!(
            counts.longest_pause_ms <= MAX_PAUSE_MS,
            "{}",
            case.endpoints
        );
    }
}
