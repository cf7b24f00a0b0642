//! Decisions of the policies for advice calls, as tables.

use chervilfall_planner::{
    asking_is_useful, AdviceCallKind, AdviceClaims, AdviceShare, ClaimableEndpoint, EndpointKey,
    FittingTasks, Resources,
};
use slotmap::SlotMap;

fn cpu(cpu_milli: u64) -> Resources {
    Resources {
        cpu_milli,
        ..Resources::default()
    }
}

#[test]
fn a_share_is_learned_from_enough_answers() {
    struct Case {
        name: &'static str,
        answers: &'static [(u32, u32)],
        learned_percent: Option<u32>,
    }
    let cases = [
        Case {
            name: "no answers",
            answers: &[],
            learned_percent: None,
        },
        Case {
            name: "too few",
            answers: &[(30, 10), (60, 10)],
            learned_percent: None,
        },
        Case {
            name: "enough",
            answers: &[(100, 30), (100, 20)],
            learned_percent: Some(25),
        },
        Case {
            name: "old answers lose their weight",
            answers: &[(2_000, 2_000), (2_000, 0), (2_000, 0), (2_000, 0)],
            learned_percent: Some(13),
        },
    ];
    for case in cases {
        let mut share = AdviceShare::default();
        for (asked, granted) in case.answers {
            share.record(*asked, *granted);
        }
        let percent = share.learned().map(|share| (share * 100.0).round());
        assert_eq!(
            percent,
            case.learned_percent.map(f64::from),
            "{}",
            case.name
        );
    }
}

#[test]
fn only_calls_that_can_lead_to_a_start_are_useful() {
    struct Case {
        name: &'static str,
        kind: AdviceCallKind,
        allowed: u64,
        unknown: u64,
        min_startable: u32,
        share: Option<f64>,
        useful: bool,
    }
    let gang = Case {
        name: "a gang that fits with the expected share",
        kind: AdviceCallKind::Further,
        allowed: 10,
        unknown: 40,
        min_startable: 20,
        share: Some(0.25),
        useful: true,
    };
    let single = Case {
        name: "no free capacity on endpoints not asked about",
        kind: AdviceCallKind::Further,
        allowed: 0,
        unknown: 0,
        min_startable: 1,
        share: Some(0.25),
        useful: false,
    };
    let cases = [
        Case {
            name: "a gang that does not fit",
            unknown: 39,
            useful: false,
            ..gang
        },
        Case {
            name: "a gang's first call, without capacity",
            kind: AdviceCallKind::First,
            allowed: 0,
            unknown: 0,
            useful: false,
            ..gang
        },
        Case {
            name: "no share is learned yet",
            unknown: 10,
            share: None,
            ..gang
        },
        Case {
            name: "a first call without free capacity",
            kind: AdviceCallKind::First,
            useful: true,
            ..single
        },
        Case {
            name: "free capacity on endpoints not asked about",
            unknown: 1,
            useful: true,
            ..single
        },
        gang,
        single,
    ];
    for case in cases {
        let fitting = FittingTasks {
            allowed: case.allowed,
            unknown: case.unknown,
        };
        let useful = asking_is_useful(case.kind, fitting, case.min_startable, case.share);
        assert_eq!(useful, case.useful, "{}", case.name);
    }
}

#[test]
fn claims_cover_the_waiting_tasks_and_no_more() {
    struct Case {
        name: &'static str,
        count: u32,
        allowed_share: f64,
        /// CPU left of 4,000 on each of three endpoints.
        left: [u64; 3],
    }
    let cases = [
        Case {
            name: "all on the first endpoints",
            count: 5,
            allowed_share: 1.0,
            left: [0, 3_000, 4_000],
        },
        Case {
            name: "more than fit",
            count: 50,
            allowed_share: 1.0,
            left: [0, 0, 0],
        },
        Case {
            name: "half of the endpoints are allowed",
            count: 4,
            allowed_share: 0.5,
            left: [2_000, 2_000, 4_000],
        },
    ];
    for case in cases {
        let mut keys: SlotMap<EndpointKey, ()> = SlotMap::with_key();
        let keys = [(); 3].map(|()| keys.insert(()));
        let endpoints = keys.map(|endpoint| ClaimableEndpoint {
            endpoint,
            fitting: 4,
            allowed_share: case.allowed_share,
        });
        let mut claims = AdviceClaims::default();
        claims.claim(cpu(1_000), case.count, endpoints.into_iter());
        let left = keys.map(|key| claims.left(key, cpu(4_000)).cpu_milli);
        assert_eq!(left, case.left, "{}", case.name);
    }
}
