//! Settings of a node.

use std::time::Duration;

use chervilfall_node::{changed_fields, Route, RouteTable, Settings};
use chervilfall_planner::Queue;

const GOOD: &str = "node: n1\ndomain: a\nlisten: 127.0.0.1:1\nready_listen: 127.0.0.1:2\n\
link_listen: 127.0.0.1:3\nstore: 127.0.0.1:4\nlease_max_ms: 10000\nstatus_s: 120\nrow_bytes: 65536\n";

/// Settings that are rejected.
struct Rejected {
    name: &'static str,
    more: &'static str,
    without: &'static str,
    expected: &'static str,
}

fn assert_rejected(cases: &[Rejected]) {
    assert!(Settings::parse("good", GOOD).is_ok());
    for case in cases {
        let text = GOOD.replace(case.without, "") + case.more;
        let error = Settings::parse("bad", &text)
            .expect_err(case.name)
            .to_string();
        assert!(error.contains(case.expected), "{}: {error}", case.name);
    }
}

#[test]
fn a_wrong_field_is_named() {
    let cases = [
        Rejected {
            name: "no address",
            more: "",
            without: "store: 127.0.0.1:4\n",
            expected: "missing field `store`",
        },
        Rejected {
            name: "an invalid address",
            more: "advice: nowhere\n",
            without: "",
            expected: "advice",
        },
        Rejected {
            name: "an unknown field",
            more: "stroe: 1\n",
            without: "",
            expected: "stroe",
        },
        Rejected {
            name: "silence too short",
            more: "timings:\n  silence_ms: 200\n",
            without: "",
            expected: "timings.silence_ms",
        },
        Rejected {
            name: "ticks of no length",
            more: "timings:\n  tick_ms: 0\n",
            without: "",
            expected: "timings.tick_ms",
        },
        Rejected {
            name: "notice of capacity of no length",
            more: "capacity_notice_ms: 0\n",
            without: "",
            expected: "capacity_notice_ms",
        },
        Rejected {
            name: "no time to put configurations in force",
            more: "config_apply_ms: 0\n",
            without: "",
            expected: "config_apply_ms",
        },
        Rejected {
            name: "no memory",
            more: "memory_mb: 0\n",
            without: "",
            expected: "memory_mb",
        },
        Rejected {
            name: "no time to drain",
            more: "drain_ms: 0\n",
            without: "",
            expected: "drain_ms",
        },
        Rejected {
            name: "a negative time to stop",
            more: "grace_s: -1\n",
            without: "",
            expected: "grace_s: must be between 0 and",
        },
        Rejected {
            name: "a time to stop of no number",
            more: "grace_s: .nan\n",
            without: "",
            expected: "grace_s: must be between 0 and",
        },
        Rejected {
            name: "no time to revoke keys",
            more: "revoke_ms: 0\n",
            without: "",
            expected: "revoke_ms",
        },
        Rejected {
            name: "no CPU",
            more: "cpu_cores: 0\n",
            without: "",
            expected: "cpu_cores",
        },
        Rejected {
            name: "no name",
            more: "node: ''\n",
            without: "node: n1\n",
            expected: "node",
        },
    ];
    assert_rejected(&cases);
}

#[test]
fn a_wrong_link_rate_or_feature_is_named() {
    let cases = [
        Rejected {
            name: "a platform feature that is not in a list",
            more: "platform_features: pressure\n",
            without: "",
            expected: "platform_features",
        },
        Rejected {
            name: "a platform feature that is not a word",
            more: "platform_features: [pressure, {a: 1}]\n",
            without: "",
            expected: "platform_features[1]",
        },
        Rejected {
            name: "a link without capacity",
            more: "link_mbps: 0\n",
            without: "",
            expected: "link_mbps: must be between 0.1 and",
        },
        Rejected {
            name: "a link of no number",
            more: "link_mbps: .nan\n",
            without: "",
            expected: "link_mbps: must be between 0.1 and",
        },
        Rejected {
            name: "a link with a unit",
            more: "link_mbps: 10 Mbit/s\n",
            without: "",
            expected: "link_mbps",
        },
    ];
    assert_rejected(&cases);
}

#[test]
fn a_host_with_a_port_and_the_longest_prefix_pick_the_route() {
    struct Case {
        host: &'static str,
        path: &'static str,
        queue: Option<&'static str>,
    }
    let route = |name: &str, prefix: &str| Route {
        host: "jobs.example".to_owned(),
        path_prefix: prefix.to_owned(),
        public: false,
        queue: Queue {
            name: name.to_owned(),
            ..Queue::default()
        },
    };
    let table = RouteTable {
        routes: vec![route("short", "/a/"), route("long", "/a/b/")],
        ..RouteTable::default()
    };
    let cases = [
        Case {
            host: "jobs.example",
            path: "/a/x",
            queue: Some("short"),
        },
        Case {
            host: "JOBS.example:8080",
            path: "/a/b/x",
            queue: Some("long"),
        },
        Case {
            host: "other.example",
            path: "/a/x",
            queue: None,
        },
        Case {
            host: "jobs.example",
            path: "/c/",
            queue: None,
        },
    ];
    for case in cases {
        let found = table
            .find(case.host, case.path)
            .map(|route| route.queue.name.as_str());
        assert_eq!(found, case.queue, "{} {}", case.host, case.path);
    }
}

#[test]
fn changed_settings_are_named() {
    struct Case {
        name: &'static str,
        after: String,
        changed: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "nothing",
            after: format!("# a comment\n{GOOD}"),
            changed: &[],
        },
        Case {
            name: "a value",
            after: GOOD.replace("status_s: 120", "status_s: 60"),
            changed: &["status_s"],
        },
        Case {
            name: "one more and one less",
            after: format!(
                "{}report_ms: 1000\n",
                GOOD.replace("row_bytes: 65536\n", "")
            ),
            changed: &["report_ms", "row_bytes"],
        },
    ];
    for case in cases {
        let changed = changed_fields("file", GOOD, &case.after).expect("YAML");
        assert_eq!(changed, case.changed, "{}", case.name);
    }
    assert!(changed_fields("file", GOOD, "a: [").is_err());
}

#[test]
fn tight_bounds_are_named_and_kept_as_far_as_possible() {
    struct Case {
        name: &'static str,
        more: &'static str,
        tight: Option<(&'static str, u64, u64)>,
        configuration_within_ms: u64,
        endpoints_poll_ms: u64,
    }
    let cases = [
        Case {
            name: "usual bounds",
            more: "revoke_ms: 5000\n",
            tight: None,
            configuration_within_ms: 2_000,
            endpoints_poll_ms: 500,
        },
        Case {
            name: "keys are revoked sooner than configurations apply",
            more: "config_apply_ms: 5400\nrevoke_ms: 5000\n",
            tight: Some(("revoke_ms", 5_000, 5_400)),
            configuration_within_ms: 5_000,
            endpoints_poll_ms: 500,
        },
        Case {
            name: "configurations apply sooner than the store can be read",
            more: "config_apply_ms: 100\n",
            tight: Some(("config_apply_ms", 100, 500)),
            configuration_within_ms: 500,
            endpoints_poll_ms: 500,
        },
        Case {
            name: "a long bound is read less often",
            more: "drain_ms: 5000\nevacuate_ms: 6000\ncapacity_notice_ms: 6000\n",
            tight: None,
            configuration_within_ms: 2_000,
            endpoints_poll_ms: 1_250,
        },
        Case {
            name: "evacuations have the shortest bound",
            more: "drain_ms: 5000\nevacuate_ms: 4000\ncapacity_notice_ms: 6000\n",
            tight: None,
            configuration_within_ms: 2_000,
            endpoints_poll_ms: 1_000,
        },
        Case {
            name: "drain time shorter than two usual readings of the list",
            more: "drain_ms: 900\n",
            tight: Some(("drain_ms", 900, 1_000)),
            configuration_within_ms: 2_000,
            endpoints_poll_ms: 450,
        },
        Case {
            name: "notice of capacity shorter than the shortest interval",
            more: "capacity_notice_ms: 10\n",
            tight: Some(("capacity_notice_ms", 10, 1_000)),
            configuration_within_ms: 2_000,
            endpoints_poll_ms: 100,
        },
    ];
    for case in cases {
        let text = GOOD.to_owned() + case.more;
        let settings = Settings::parse("tight", &text).expect(case.name);
        let tight = settings.tight_bounds();
        let tight: Vec<_> = tight
            .iter()
            .map(|bound| (bound.field, bound.value_ms, bound.kept_from_ms))
            .collect();
        assert_eq!(tight, Vec::from_iter(case.tight), "{}", case.name);
        assert_eq!(
            settings.configuration_within_ms(),
            case.configuration_within_ms,
            "{}",
            case.name
        );
        assert_eq!(
            settings.endpoints_poll_ms(),
            case.endpoints_poll_ms,
            "{}",
            case.name
        );
    }
}

#[test]
fn the_size_of_a_node_is_limited_by_its_link() {
    struct Case {
        name: &'static str,
        more: &'static str,
        size_permille: u64,
    }
    let cases = [
        Case {
            name: "a settings file of the previous version",
            more: "cpu_cores: 0.5\n",
            size_permille: 500,
        },
        Case {
            name: "a link that carries more than the processor can handle",
            more: "cpu_cores: 0.5\nlink_mbps: 200\n",
            size_permille: 500,
        },
        Case {
            name: "a thin link",
            more: "cpu_cores: 0.3\nlink_mbps: 10\n",
            size_permille: 150,
        },
        Case {
            name: "a fraction of a Mbit/s",
            more: "cpu_cores: 0.3\nlink_mbps: 2.5\n",
            size_permille: 37,
        },
    ];
    for case in cases {
        let text = GOOD.to_owned() + case.more;
        let settings = Settings::parse("size", &text).expect(case.name);
        assert_eq!(
            settings.size_permille(),
            case.size_permille,
            "{}",
            case.name
        );
    }
}

#[test]
fn a_stop_ends_before_the_process_is_killed() {
    struct Case {
        name: &'static str,
        more: &'static str,
        linger_ms: u64,
        answer_ms: u64,
        end_ms: u64,
    }
    let cases = [
        Case {
            name: "usual",
            more: "grace_s: 6\n",
            linger_ms: 2_500,
            answer_ms: 5_500,
            end_ms: 5_800,
        },
        Case {
            name: "little time: half of it is left for requests in flight",
            more: "grace_s: 2.5\n",
            linger_ms: 1_000,
            answer_ms: 2_000,
            end_ms: 2_300,
        },
        Case {
            name: "none",
            more: "grace_s: 0\n",
            linger_ms: 0,
            answer_ms: 0,
            end_ms: 0,
        },
        Case {
            name: "not given",
            more: "",
            linger_ms: 2_000,
            answer_ms: 4_000,
            end_ms: 4_300,
        },
    ];
    for case in cases {
        let settings = Settings::parse("good", &(GOOD.to_owned() + case.more)).expect(case.name);
        let times = settings.stop_times();
        let ms = Duration::from_millis;
        assert_eq!(times.linger, ms(case.linger_ms), "{}", case.name);
        assert_eq!(times.answer, ms(case.answer_ms), "{}", case.name);
        assert_eq!(times.end, ms(case.end_ms), "{}", case.name);
    }
}
