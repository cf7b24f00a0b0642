//! Which node makes the calls to an endpoint.

use std::collections::BTreeMap;

use chervilfall_planner::{
    CallPath, DirectCalls, EndpointId, NodeId, RelayCandidate, RelayChoice, RelayHealth, RelayUse,
};

/// Guards against relays in a fleet that the holder carries itself, against a holder whose calls to
/// endpoints leave it no time for its claim (RECOVER), and against calls that move with each endpoint that
/// comes or goes.
#[test]
fn relays_are_used_beyond_what_the_size_carries() {
    struct Case {
        name: &'static str,
        enabled: bool,
        size_permille: u64,
        /// Numbers of endpoints in turn, and whether relays are used then.
        steps: &'static [(usize, bool)],
    }
    let cases = [
        Case {
            name: "half a core",
            enabled: true,
            size_permille: 500,
            steps: &[
                (350, false),
                (500, false),
                (501, true),
                (450, true),
                (449, false),
                (500, false),
            ],
        },
        Case {
            name: "0.12 cores",
            enabled: true,
            size_permille: 120,
            steps: &[(120, false), (121, true), (108, true), (107, false)],
        },
        Case {
            name: "no limit",
            enabled: true,
            size_permille: u64::MAX,
            steps: &[(100_000, false)],
        },
        Case {
            name: "switched off",
            enabled: false,
            size_permille: 1,
            steps: &[(100_000, false)],
        },
    ];
    for case in cases {
        let mut usage = RelayUse::new(case.enabled, case.size_permille);
        for (endpoints, active) in case.steps {
            let before = usage.is_active();
            let changed = usage.set_endpoints(*endpoints);
            assert_eq!(usage.is_active(), *active, "{}: {endpoints}", case.name);
            let expected = (before != *active).then_some(*active);
            assert_eq!(changed, expected, "{}: {endpoints}", case.name);
        }
    }
}

const ENDPOINTS: usize = 600;

fn choices(nodes: &[(NodeId, &str)]) -> Vec<RelayChoice> {
    let candidates = nodes
        .iter()
        .map(|(link, name)| RelayCandidate::new(*link, name));
    let candidates: Vec<RelayCandidate> = candidates.collect();
    let endpoints = (0..ENDPOINTS).map(|number| EndpointId(format!("endpoint-{number}")));
    endpoints
        .map(|endpoint| RelayChoice::new(&endpoint, &candidates))
        .collect()
}

/// Guards against a node that joins or leaves and moves other nodes' endpoints, and against a second
/// relay that is the first one under another link.
#[test]
fn a_node_that_leaves_moves_only_its_own_endpoints() {
    let nodes = [(3, "a"), (9, "b"), (5, "c"), (7, "d")];
    let all = choices(&nodes);
    let mut counts: BTreeMap<NodeId, usize> = BTreeMap::new();
    for choice in &all {
        *counts.entry(choice.first.expect("a relay")).or_default() += 1;
        assert!(choice.next.is_some() && choice.next != choice.first);
    }
    assert!(
        counts.values().all(|count| *count > ENDPOINTS / 8),
        "uneven: {counts:?}"
    );
    for left in nodes {
        let others: Vec<_> = nodes.into_iter().filter(|node| *node != left).collect();
        for (before, after) in all.iter().zip(choices(&others)) {
            let expected = if before.first == Some(left.0) {
                before.next
            } else {
                before.first
            };
            assert_eq!(after.first, expected);
        }
    }
    for choice in choices(&[(4, "a"), (8, "a"), (6, "a")]) {
        assert_eq!((choice.first, choice.next), (Some(8), None));
    }
    for choice in choices(&[]) {
        assert_eq!((choice.first, choice.next), (None, None));
    }
}

const SIZE_PERMILLE: u64 = 500;

/// Guards against leases that lapse behind a relay that does not answer.
#[test]
fn an_endpoint_is_called_another_way_after_an_unanswered_order() {
    use CallPath::{Direct, First, Next};
    struct Case {
        name: &'static str,
        /// When orders were sent, and when they were known not to be answered.
        unanswered: &'static [(u64, u64)],
        paths: &'static [(u64, CallPath)],
    }
    let cases = [
        Case {
            name: "none",
            unanswered: &[],
            paths: &[(0, First), (100_000, First)],
        },
        Case {
            name: "one",
            unanswered: &[(0, 1_000)],
            paths: &[(1_000, Direct), (2_999, Direct), (3_000, First)],
        },
        Case {
            name: "several that were in flight together",
            unanswered: &[(0, 1_000), (900, 1_400), (1_000, 1_500)],
            paths: &[(2_999, Direct), (3_000, First)],
        },
        Case {
            name: "a second one within 10 s",
            unanswered: &[(0, 1_000), (3_500, 4_500)],
            paths: &[(4_500, Next), (14_499, Next), (14_500, First)],
        },
        Case {
            name: "a second one after 10 s",
            unanswered: &[(0, 1_000), (10_000, 11_000)],
            paths: &[(11_000, Direct), (13_000, First)],
        },
        Case {
            name: "one through the next relay",
            unanswered: &[(0, 1_000), (3_500, 4_500), (5_000, 6_000)],
            paths: &[(6_000, Direct), (8_000, Next), (14_500, First)],
        },
    ];
    for case in cases {
        let (mut health, mut direct) = (RelayHealth::default(), DirectCalls::new(SIZE_PERMILLE));
        for (sent_ms, now) in case.unanswered {
            health.record_unanswered(*now, *sent_ms, &mut direct);
        }
        for (now, path) in case.paths {
            assert_eq!(health.path(*now), *path, "{}: {now}", case.name);
        }
    }
    let alone = RelayChoice {
        first: Some(1),
        next: None,
    };
    assert_eq!(alone.link(First), Some(1));
    assert_eq!(alone.link(Next), None, "the holder makes the call");
}

/// Guards against a holder that takes over the calls of all relays at once when it is too slow for their
/// answers: it is slower still then, and service does not come back (RECOVER).
#[test]
fn the_holder_takes_over_few_calls_of_relays_that_do_not_answer() {
    use CallPath::{Direct, First, Next};
    /// One endpoint of 80.
    const SMALL_PERMILLE: u64 = 8;
    struct Case {
        name: &'static str,
        /// When orders to the endpoint were sent, and when they were known not to be answered, after one
        /// to another endpoint at 0.
        unanswered: &'static [(u64, u64)],
        paths: &'static [(u64, CallPath)],
    }
    let cases = [
        Case {
            name: "while the other one is called",
            unanswered: &[(0, 1_000)],
            paths: &[(1_000, Next), (10_999, Next), (11_000, First)],
        },
        Case {
            name: "afterwards",
            unanswered: &[(1_500, 2_000)],
            paths: &[(2_000, Direct), (4_000, First)],
        },
        Case {
            name: "through both relays",
            unanswered: &[(0, 1_000), (1_100, 1_900)],
            paths: &[(1_900, First)],
        },
    ];
    for case in cases {
        let mut direct = DirectCalls::new(SMALL_PERMILLE);
        let mut other = RelayHealth::default();
        other.record_unanswered(0, 0, &mut direct);
        assert_eq!(other.path(1_999), Direct, "{}", case.name);
        let mut health = RelayHealth::default();
        for (sent_ms, now) in case.unanswered {
            health.record_unanswered(*now, *sent_ms, &mut direct);
        }
        for (now, path) in case.paths {
            assert_eq!(health.path(*now), *path, "{}: {now}", case.name);
        }
    }
    let mut direct = DirectCalls::new(SIZE_PERMILLE);
    let taken = (0..ENDPOINTS).filter(|_| {
        let mut health = RelayHealth::default();
        health.record_unanswered(1_000, 0, &mut direct);
        health.path(1_000) == Direct
    });
    assert!(taken.count() <= ENDPOINTS / 4, "of all endpoints at once");
}
