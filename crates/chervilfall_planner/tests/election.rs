//! When a node claims the group.

mod electorate;

use chervilfall_planner::{Candidate, CandidateAction, HolderRow, Identity, StallTimeouts};
use electorate::Electorate;

/// Stall timeout of a holder that has not reported one.
const STALL_MS: u64 = 1_200;

fn candidate(size_permille: u64) -> Candidate {
    Candidate::new(Identity {
        node: "node-1".to_owned(),
        incarnation: 1,
        address: "127.0.0.1:1".to_owned(),
        started_ms: 0,
        size_permille,
    })
}

fn holder(written_store_ms: u64, released: bool) -> HolderRow {
    HolderRow {
        term: 3,
        node: "node-2".to_owned(),
        incarnation: 2,
        address: "127.0.0.1:2".to_owned(),
        number: 7,
        released,
        settled: true,
        standstill_ms: 0,
        cpu_permille: 500,
        recovering: false,
        wanted_permille: 0,
        written_store_ms,
    }
}

/// Stall timeout if the holder's address refuses connections.
const REFUSED_STALL_MS: u64 = 80;

/// Stall timeouts with a store that is not slow.
const SOUND: StallTimeouts = StallTimeouts {
    unreported_ms: STALL_MS,
    refused_ms: REFUSED_STALL_MS,
    slow_ms: 0,
};

#[test]
fn a_claim_is_made_when_the_row_has_not_changed() {
    struct Case {
        name: &'static str,
        cpu_permille: u64,
        /// Time of each read with the version and row; `None` for a failed read.
        readings: Vec<(u64, Option<(u64, HolderRow)>)>,
        claims: bool,
    }
    let cases = [
        Case {
            name: "written just now",
            cpu_permille: 500,
            readings: vec![(10_000, Some((5, holder(9_900, false))))],
            claims: false,
        },
        Case {
            name: "one read shows that it is old",
            cpu_permille: 500,
            readings: vec![(10_000, Some((5, holder(8_700, false))))],
            claims: true,
        },
        Case {
            name: "store unreachable, so that the holder could not renew it",
            cpu_permille: 500,
            readings: vec![(9_900, None), (10_000, Some((5, holder(5_000, false))))],
            claims: false,
        },
        Case {
            name: "store reachable again for long enough",
            cpu_permille: 500,
            readings: vec![
                (9_900, None),
                (10_000, Some((5, holder(5_000, false)))),
                (11_300, Some((5, holder(5_000, false)))),
            ],
            claims: true,
        },
        Case {
            name: "row changed since the store is reachable again",
            cpu_permille: 500,
            readings: vec![
                (9_900, None),
                (10_000, Some((5, holder(5_000, false)))),
                (11_300, Some((6, holder(11_200, false)))),
            ],
            claims: false,
        },
        Case {
            name: "a small machine backs off for larger ones at first",
            cpu_permille: 120,
            readings: vec![(10_000, Some((5, holder(2_000, false))))],
            claims: false,
        },
        Case {
            name: "a small machine claims if no other does",
            cpu_permille: 120,
            readings: vec![
                (10_000, Some((5, holder(2_000, false)))),
                (11_300, Some((5, holder(2_000, false)))),
            ],
            claims: true,
        },
        Case {
            name: "released",
            cpu_permille: 500,
            readings: vec![(10_000, Some((5, holder(9_990, true))))],
            claims: true,
        },
        Case {
            name: "released, read by a small machine",
            cpu_permille: 120,
            readings: vec![(10_000, Some((5, holder(9_990, true))))],
            claims: false,
        },
    ];
    for case in cases {
        let mut candidate = candidate(case.cpu_permille);
        let mut claims = false;
        for (now, reading) in case.readings {
            let Some((version, row)) = reading else {
                candidate.record_unreadable();
                continue;
            };
            let moved = candidate.observe(now, now, version, Some(row), &SOUND);
            claims = matches!(moved, CandidateAction::Claim(..));
        }
        assert_eq!(claims, case.claims, "{}", case.name);
    }
}

#[test]
fn the_stall_timeout_requested_by_the_holder_is_respected() {
    struct Case {
        name: &'static str,
        standstill_ms: u64,
        refused: bool,
        slow_ms: u64,
        age_ms: u64,
        claims: bool,
    }
    let cases = [
        Case {
            name: "no commit after frequent commits",
            standstill_ms: 420,
            refused: false,
            slow_ms: 0,
            age_ms: 430,
            claims: true,
        },
        Case {
            name: "long intervals between the holder's commits",
            standstill_ms: 900,
            refused: false,
            slow_ms: 0,
            age_ms: 430,
            claims: false,
        },
        Case {
            name: "the store is slow",
            standstill_ms: 420,
            refused: false,
            slow_ms: 720,
            age_ms: 430,
            claims: false,
        },
        Case {
            name: "the holder's process is gone",
            standstill_ms: 900,
            refused: true,
            slow_ms: 0,
            age_ms: 90,
            claims: true,
        },
        Case {
            name: "a refused connection, but the row was just written",
            standstill_ms: 900,
            refused: true,
            slow_ms: 0,
            age_ms: 30,
            claims: false,
        },
    ];
    for case in cases {
        let mut candidate = candidate(500);
        let row = HolderRow {
            standstill_ms: case.standstill_ms,
            ..holder(10_000 - case.age_ms, false)
        };
        if case.refused {
            candidate.record_refused_connection(9_990, &row);
        }
        let stall = StallTimeouts {
            slow_ms: case.slow_ms,
            ..SOUND
        };
        let moved = candidate.observe(10_000, 10_000, 5, Some(row), &stall);
        let claims = matches!(moved, CandidateAction::Claim(..));
        assert_eq!(claims, case.claims, "{}", case.name);
    }
}

#[test]
fn a_refused_connection_counts_against_one_holder_only() {
    struct Case {
        name: &'static str,
        /// Term and incarnation of the holder that refused.
        refused: (u64, u64),
        refused_ms: u64,
        /// Age of the row, whose holder reports no stall timeout.
        age_ms: u64,
        claims: bool,
    }
    let cases = [
        Case {
            name: "the same process under the same claim",
            refused: (3, 2),
            refused_ms: 9_950,
            age_ms: 100,
            claims: true,
        },
        Case {
            name: "the next holder, which is still recovering",
            refused: (2, 7),
            refused_ms: 9_950,
            age_ms: 300,
            claims: false,
        },
        Case {
            name: "an earlier process on the node that holds the group again",
            refused: (3, 1),
            refused_ms: 9_950,
            age_ms: 300,
            claims: false,
        },
        Case {
            name: "an earlier claim of the same process",
            refused: (2, 2),
            refused_ms: 9_950,
            age_ms: 300,
            claims: false,
        },
        Case {
            name: "refused too long ago",
            refused: (3, 2),
            refused_ms: 8_900,
            age_ms: 300,
            claims: false,
        },
        Case {
            name: "the next holder is lost as well",
            refused: (2, 7),
            refused_ms: 9_950,
            age_ms: 1_250,
            claims: true,
        },
    ];
    for case in cases {
        let mut candidate = candidate(500);
        let (term, incarnation) = case.refused;
        let gone = HolderRow {
            term,
            incarnation,
            ..holder(0, false)
        };
        candidate.record_refused_connection(case.refused_ms, &gone);
        let row = holder(10_000 - case.age_ms, false);
        let moved = candidate.observe(10_000, 10_000, 5, Some(row), &SOUND);
        let claims = matches!(moved, CandidateAction::Claim(..));
        assert_eq!(claims, case.claims, "{}", case.name);
    }
}

struct ReplacementCase {
    name: &'static str,
    cpu_permille: u64,
    holder: HolderRow,
    /// The node has released the claim at the first read.
    backs_off: bool,
    /// Times of reads; the result of the last one is checked.
    readings_ms: &'static [u64],
    claims: bool,
}

impl ReplacementCase {
    fn of(name: &'static str, cpu_permille: u64, holder: HolderRow) -> Self {
        Self {
            name,
            cpu_permille,
            holder,
            backs_off: false,
            readings_ms: &[10_000],
            claims: true,
        }
    }

    fn read_at(self, readings_ms: &'static [u64]) -> Self {
        Self {
            readings_ms,
            ..self
        }
    }

    fn backs_off(self) -> Self {
        Self {
            backs_off: true,
            ..self
        }
    }

    fn does_not_claim(self) -> Self {
        Self {
            claims: false,
            ..self
        }
    }
}

#[test]
fn a_holder_that_cannot_recover_is_replaced() {
    let row = |cpu_permille, recovering| HolderRow {
        cpu_permille,
        recovering,
        ..holder(0, false)
    };
    let released = |cpu_permille, wanted_permille| HolderRow {
        cpu_permille,
        wanted_permille,
        ..holder(0, true)
    };
    let cases = [
        ReplacementCase::of("a larger node recovers sooner", 500, row(120, true))
            .read_at(&[10_000, 11_100]),
        ReplacementCase::of("not immediately", 500, row(120, true))
            .read_at(&[10_000, 10_500])
            .does_not_claim(),
        ReplacementCase::of("an equal node would take as long", 120, row(120, true))
            .read_at(&[10_000, 11_100])
            .does_not_claim(),
        ReplacementCase::of(
            "a holder that has recovered is not replaced",
            500,
            row(120, false),
        )
        .read_at(&[10_000, 11_100])
        .does_not_claim(),
        ReplacementCase::of("the node that has released it", 120, released(120, 0))
            .backs_off()
            .read_at(&[10_000, 11_500])
            .does_not_claim(),
        ReplacementCase::of(
            "the node that has released it, if no other claims it",
            120,
            released(120, 0),
        )
        .backs_off()
        .read_at(&[10_000, 12_100]),
        ReplacementCase::of("released for a larger node", 500, released(120, 500)),
        ReplacementCase::of(
            "a small node leaves it to a larger one",
            120,
            released(120, 500),
        )
        .does_not_claim(),
        ReplacementCase::of("among small nodes", 120, released(120, 0)),
    ];
    for case in cases {
        let mut candidate = candidate(case.cpu_permille);
        let mut claims = false;
        for (version, at_ms) in (5..).zip(case.readings_ms) {
            let row = Some(case.holder.clone());
            // A recovering holder renews its claim; a released claim does not change.
            let version = if case.holder.released { 5 } else { version };
            let moved = candidate.observe(*at_ms, 0, version, row, &SOUND);
            claims = matches!(moved, CandidateAction::Claim(..));
            if case.backs_off && *at_ms == case.readings_ms[0] {
                candidate.back_off(*at_ms);
            }
        }
        assert_eq!(claims, case.claims, "{}", case.name);
    }
}

#[test]
fn a_small_node_records_in_its_claim_the_capacity_of_a_larger_predecessor() {
    let mut small = candidate(120);
    small.observe(1_000, 0, 4, Some(holder(0, false)), &SOUND);
    let moved = small.observe(8_000, 0, 4, Some(holder(0, false)), &SOUND);
    let CandidateAction::Claim(_, row) = moved else {
        panic!("no claim after the holder was lost: {moved:?}");
    };
    assert_eq!((row.cpu_permille, row.wanted_permille), (120, 500));
}

/// Why the group needs a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Vacancy {
    /// There was none before.
    First,
    /// The first node of the list held the group and stops as planned.
    PlannedStop,
    /// The first node of the list held the group and is lost.
    Loss,
}

/// Guards against a holder with a thin link, which answers callers late although larger nodes are
/// available.
#[test]
fn a_node_with_a_thin_link_claims_only_if_no_larger_one_does() {
    struct Case {
        name: &'static str,
        /// Rates of the nodes' links in Mbit/s, in the order in which the nodes read the claim row.
        links_mbps: &'static [f64],
        vacancy: Vacancy,
        holder: usize,
        /// Longest time without a holder.
        within_ms: u64,
    }
    let cases = [
        Case {
            name: "the first holder",
            links_mbps: &[10.0, 10.0, 200.0, 200.0],
            vacancy: Vacancy::First,
            holder: 2,
            within_ms: 100,
        },
        Case {
            name: "planned stop",
            links_mbps: &[200.0, 10.0, 10.0, 200.0],
            vacancy: Vacancy::PlannedStop,
            holder: 3,
            within_ms: 100,
        },
        Case {
            name: "planned stop of a holder with a thin link",
            links_mbps: &[10.0, 10.0, 200.0, 200.0],
            vacancy: Vacancy::PlannedStop,
            holder: 2,
            within_ms: 100,
        },
        Case {
            name: "loss",
            links_mbps: &[200.0, 10.0, 10.0, 200.0],
            vacancy: Vacancy::Loss,
            holder: 3,
            within_ms: 600,
        },
        Case {
            name: "loss, and only nodes with thin links are left",
            links_mbps: &[200.0, 10.0, 10.0],
            vacancy: Vacancy::Loss,
            holder: 1,
            within_ms: 1_800,
        },
        Case {
            name: "the first holder where all links are thin",
            links_mbps: &[10.0, 10.0, 10.0],
            vacancy: Vacancy::First,
            holder: 0,
            within_ms: 1_300,
        },
        Case {
            name: "planned stop where all links are thin",
            links_mbps: &[10.0, 10.0, 10.0],
            vacancy: Vacancy::PlannedStop,
            holder: 1,
            within_ms: 100,
        },
        Case {
            name: "loss where all links are thin",
            links_mbps: &[10.0, 10.0, 10.0],
            vacancy: Vacancy::Loss,
            holder: 1,
            within_ms: 600,
        },
    ];
    for case in cases {
        let mut electorate = Electorate::with_links(case.links_mbps);
        if case.vacancy != Vacancy::First {
            electorate.appoint(0);
            electorate.run(2_000);
        }
        match case.vacancy {
            Vacancy::First => {}
            Vacancy::PlannedStop => electorate.stop(0),
            Vacancy::Loss => electorate.lose(0),
        }
        electorate.run(case.within_ms);
        assert_eq!(electorate.holder(), Some(case.holder), "{}", case.name);
        electorate.run(10_000);
        assert_eq!(
            electorate.holder(),
            Some(case.holder),
            "{}: later",
            case.name
        );
    }
}
