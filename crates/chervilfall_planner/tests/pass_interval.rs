//! How often all open steps are visited.

use chervilfall_planner::full_pass_interval_ms;

#[test]
fn visits_in_a_second_are_limited_up_to_the_longest_interval() {
    struct Case {
        name: &'static str,
        open_steps: usize,
        interval_ms: u64,
    }
    let cases = [
        Case {
            name: "none",
            open_steps: 0,
            interval_ms: 30,
        },
        Case {
            name: "as many as the shortest interval allows",
            open_steps: 120,
            interval_ms: 30,
        },
        Case {
            name: "a quarter of a second's visits",
            open_steps: 1_000,
            interval_ms: 250,
        },
        Case {
            name: "as many as the longest interval allows",
            open_steps: 2_000,
            interval_ms: 500,
        },
        Case {
            name: "more",
            open_steps: 100_000,
            interval_ms: 500,
        },
    ];
    for case in cases {
        let interval_ms = full_pass_interval_ms(case.open_steps);
        assert_eq!(interval_ms, case.interval_ms, "{}", case.name);
    }
}
