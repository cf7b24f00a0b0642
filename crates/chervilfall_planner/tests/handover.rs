//! When a holder hands the group over, and what happens to the group then.

mod electorate;
mod world;

use chervilfall_planner::{
    Answer, HandoverPolicy, HandoverReason, HolderTerm, JobSpec, LinkedNode, LoadReport, Planner,
};
use electorate::Electorate;
use world::{step, World};

/// Interval between decisions in milliseconds: a heartbeat.
const DECISION_INTERVAL_MS: u64 = 100;
/// Decisions in the 25 s that each term is observed for.
const DECISIONS: u64 = 250;
/// Interval between reports of the control thread's load, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Age that a claim does not exceed while all is well, in milliseconds.
const USUAL_CLAIM_AGE_MS: u64 = 300;
const SIZE_PERMILLE: u64 = 500;

/// A holder's term, with what the policy sees at each time since the term began.
struct Term {
    name: &'static str,
    enabled: bool,
    linked: Option<LinkedNode>,
    /// Mean wait of events in the second before.
    wait_ms: fn(u64) -> u64,
    claim_age_ms: fn(u64) -> u64,
    /// Decisions within 25 s.
    decisions: &'static [(u64, HandoverReason)],
}

const LINKED: LinkedNode = LinkedNode {
    size_permille: SIZE_PERMILLE,
    since_ms: 0,
};

const TERM: Term = Term {
    name: "healthy",
    enabled: true,
    linked: Some(LINKED),
    wait_ms: |_| 3,
    claim_age_ms: |_| 160,
    decisions: &[],
};

impl Term {
    fn decisions(&self) -> Vec<(u64, HandoverReason)> {
        let mut policy = HandoverPolicy::new(HolderTerm {
            size_permille: SIZE_PERMILLE,
            began_ms: 0,
            usual_claim_age_ms: USUAL_CLAIM_AGE_MS,
            overload_handover: self.enabled,
        });
        let mut found = Vec::new();
        let times = (0..=DECISIONS).map(|number| number * DECISION_INTERVAL_MS);
        for now in times {
            if now > 0 && now % REPORT_INTERVAL_MS == 0 {
                let report = LoadReport {
                    covers_ms: REPORT_INTERVAL_MS,
                    mean_wait_ms: Some((self.wait_ms)(now)),
                };
                policy.record_load(now, report);
            }
            let linked = self.linked.filter(|node| node.is_steady(now));
            let largest = linked.map(|node| node.size_permille);
            let decision = policy.decide(now, (self.claim_age_ms)(now), largest);
            found.extend(decision.map(|reason| (now, reason)));
        }
        found
    }
}

#[test]
fn the_group_is_handed_over_for_overload_and_for_a_larger_node() {
    let cases = [
        TERM,
        Term {
            name: "overloaded since the takeover, which happens at most once in 10 s",
            wait_ms: |_| 80,
            decisions: &[
                (10_000, HandoverReason::Overload),
                (20_000, HandoverReason::Overload),
            ],
            ..TERM
        },
        Term {
            name: "overloaded later",
            wait_ms: |now| if now > 15_000 { 80 } else { 3 },
            decisions: &[(17_000, HandoverReason::Overload)],
            ..TERM
        },
        Term {
            name: "overload that is interrupted",
            wait_ms: |now| if now % 2_000 == 0 { 80 } else { 50 },
            ..TERM
        },
        Term {
            name: "no node to hand over to",
            linked: None,
            wait_ms: |_| 80,
            ..TERM
        },
        Term {
            name: "only a smaller node",
            linked: Some(LinkedNode {
                size_permille: SIZE_PERMILLE - 1,
                ..LINKED
            }),
            wait_ms: |_| 80,
            ..TERM
        },
        Term {
            name: "a node that has just been linked",
            linked: Some(LinkedNode {
                since_ms: 22_000,
                ..LINKED
            }),
            wait_ms: |_| 80,
            decisions: &[(23_100, HandoverReason::Overload)],
            ..TERM
        },
        Term {
            name: "the claim is old, as with a slow store",
            wait_ms: |_| 80,
            claim_age_ms: |now| now % 1_000,
            ..TERM
        },
        Term {
            name: "the claim was old until lately",
            wait_ms: |_| 80,
            claim_age_ms: |now| if now < 18_000 { 600 } else { 160 },
            decisions: &[(19_900, HandoverReason::Overload)],
            ..TERM
        },
        Term {
            name: "the claim is old because its answers wait too",
            wait_ms: |_| 400,
            claim_age_ms: |now| 400 + now % 600,
            decisions: &[
                (10_000, HandoverReason::Overload),
                (20_000, HandoverReason::Overload),
            ],
            ..TERM
        },
        Term {
            name: "switched off",
            enabled: false,
            wait_ms: |_| 80,
            ..TERM
        },
        Term {
            name: "a node of almost twice the size, without overload",
            linked: Some(LinkedNode {
                size_permille: 2 * SIZE_PERMILLE - 1,
                ..LINKED
            }),
            ..TERM
        },
    ];
    for case in cases {
        assert_eq!(case.decisions(), case.decisions, "{}", case.name);
    }
}

#[test]
fn a_node_of_twice_the_size_gets_the_group_once_it_is_steadily_linked() {
    for enabled in [true, false] {
        let term = Term {
            enabled,
            linked: Some(LinkedNode {
                size_permille: 2 * SIZE_PERMILLE,
                since_ms: 5_000,
            }),
            ..TERM
        };
        let first = term.decisions().first().copied();
        assert_eq!(first, Some((6_100, HandoverReason::LargerNode)));
    }
}

/// Guards against a handover by a process that was paused, whose queue shows one long wait.
#[test]
fn a_paused_process_is_not_overloaded() {
    let mut policy = HandoverPolicy::new(HolderTerm {
        size_permille: SIZE_PERMILLE,
        began_ms: 0,
        usual_claim_age_ms: USUAL_CLAIM_AGE_MS,
        overload_handover: true,
    });
    let paused = LoadReport {
        covers_ms: 5_000,
        mean_wait_ms: Some(4_900),
    };
    policy.record_load(20_000, paused);
    assert_eq!(policy.decide(20_000, 160, Some(SIZE_PERMILLE)), None);
    policy.record_load(
        21_100,
        LoadReport {
            covers_ms: 100,
            mean_wait_ms: Some(3),
        },
    );
    assert_eq!(policy.decide(22_500, 160, Some(SIZE_PERMILLE)), None);
}

/// Guards against a holder that claims the group again as soon as it has released it, and against
/// two nodes that release it to each other without end.
#[test]
fn overloaded_nodes_do_not_pass_the_group_to_and_fro() {
    struct Case {
        name: &'static str,
        links_mbps: &'static [f64],
        overloaded: &'static [usize],
        /// Holders within 60 s.
        holders: &'static [usize],
    }
    let cases = [
        Case {
            name: "one of two equal nodes is overloaded",
            links_mbps: &[200.0, 200.0],
            overloaded: &[0],
            holders: &[0, 1],
        },
        Case {
            name: "both are overloaded",
            links_mbps: &[200.0, 200.0],
            overloaded: &[0, 1],
            holders: &[0, 1, 0, 1, 0, 1],
        },
        Case {
            name: "the other node is smaller",
            links_mbps: &[200.0, 10.0],
            overloaded: &[0],
            holders: &[0],
        },
        Case {
            name: "a smaller node reads the claim row first",
            links_mbps: &[200.0, 10.0, 200.0],
            overloaded: &[0],
            holders: &[0, 2],
        },
    ];
    for case in cases {
        let mut electorate = Electorate::with_links(case.links_mbps);
        for node in case.overloaded {
            electorate.nodes[*node].overloaded = true;
        }
        electorate.appoint(0);
        electorate.run(60_000);
        let holders: Vec<usize> = electorate.terms.iter().map(|term| term.node).collect();
        assert_eq!(holders, case.holders, "{}", case.name);
        let shortest_ms = electorate
            .terms
            .windows(2)
            .map(|pair| pair[1].began_ms - pair[0].began_ms)
            .min();
        assert!(
            shortest_ms.is_none_or(|term_ms| term_ms >= 10_000),
            "{}: {shortest_ms:?}",
            case.name
        );
    }
}

fn holder_of(world: &World) -> usize {
    world.holder().expect("a holder")
}

fn planner_of(world: &mut World, node: usize) -> &mut Planner {
    world.nodes[node].planner.as_mut().expect("a planner")
}

/// Guards against a holder that stops serving when it cannot store its release.
#[test]
fn the_claim_stays_if_a_release_cannot_be_stored() {
    let starts = |world: &World| -> usize {
        let endpoints = world.endpoints.values();
        endpoints.map(|endpoint| endpoint.starts.len()).sum()
    };
    let mut world = World::new(2, 4, 3);
    world.run(1_500);
    let before = holder_of(&world);
    let spec = JobSpec {
        steps: vec![step(200, 300)],
        ..JobSpec::default()
    };
    assert_eq!(world.submit(1, spec), Answer::Accepted);
    world.run(500);
    world.store.down_until_ms = world.now + 1_000;
    planner_of(&mut world, before).release();
    world.run(300);
    let started = starts(&world);
    world.run(600);
    assert!(starts(&world) > started, "the holder serves on");
    assert_eq!(holder_of(&world), before);
    world.run(2_000);
    let after = holder_of(&world);
    assert_ne!(after, before, "released once the store answers again");
    world.run(9_000);
    assert_eq!(holder_of(&world), after);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against a group without a holder: the node that has released it leaves it to others only
/// while there are others.
#[test]
fn a_released_group_is_claimed_again_if_the_only_other_node_is_lost() {
    struct Case {
        name: &'static str,
        /// Time from the release to the loss, in milliseconds.
        lost_after_ms: u64,
        /// Bound on the time from the loss to the claim.
        within_ms: u64,
    }
    let cases = [
        Case {
            name: "before it claims the group",
            lost_after_ms: 0,
            within_ms: 2_000,
        },
        Case {
            name: "after it has claimed the group",
            lost_after_ms: 1_000,
            within_ms: 3_500,
        },
    ];
    for case in cases {
        let mut world = World::new(2, 4, 3);
        world.run(1_500);
        let before = holder_of(&world);
        planner_of(&mut world, before).release();
        world.run_until(500, |world| world.nodes[before].planner.is_none());
        world.run(case.lost_after_ms);
        world.nodes[1 - before].planner = None;
        world.nodes[1 - before].frozen_until_ms = u64::MAX;
        let lost_ms = world.now;
        world.run_until(10_000, |world| world.holder() == Some(before));
        let took_ms = world.now - lost_ms;
        assert!(took_ms <= case.within_ms, "{}: {took_ms} ms", case.name);
    }
}
