//! Timelines of jobs, built from log lines.

use chervilfall_story::{read_lines, ClockDifference, JobTimeline, ParsedLines};

const JOB: &str = "5f3f25de2a630efa";

fn line(unix_ms: u64, node: &str, event: &str, fields: &str) -> String {
    format!(
        r#"{{"unix_ms":{unix_ms},"node":"{node}","level":"INFO","part":"p","event":"{event}"{fields}}}"#
    )
}

fn read(lines: &[String]) -> ParsedLines {
    read_lines(lines.join("\n").as_bytes()).expect("bytes in memory")
}

fn of_job(field: &str, value: &str) -> String {
    format!(r#","{field}":"{value}""#)
}

#[test]
fn lines_are_read_behind_a_collectors_prefix_and_cut_ones_are_counted() {
    struct Case {
        name: &'static str,
        text: String,
        lines: usize,
        unreadable: usize,
    }
    let whole = line(1, "a", "node starts", "");
    let cases = [
        Case {
            name: "plain",
            text: whole.clone(),
            lines: 1,
            unreadable: 0,
        },
        Case {
            name: "behind a time and a name",
            text: format!(" -6.94 edge-1 {whole}"),
            lines: 1,
            unreadable: 0,
        },
        Case {
            name: "no object",
            text: "Started process 7".to_owned(),
            lines: 0,
            unreadable: 0,
        },
        Case {
            name: "cut",
            text: whole[..whole.len() - 5].to_owned(),
            lines: 0,
            unreadable: 1,
        },
        Case {
            name: "another program's object",
            text: r#"{"msg":"hello"}"#.to_owned(),
            lines: 0,
            unreadable: 1,
        },
    ];
    for case in cases {
        let found = read(&[case.text]);
        assert_eq!(found.lines.len(), case.lines, "{}", case.name);
        assert_eq!(found.unreadable, case.unreadable, "{}", case.name);
    }
}

#[test]
fn a_story_is_in_order_and_names_the_widest_gap() {
    let task = |index: u32| of_job("task", &format!("{JOB}.0.0.{index}"));
    let lines = [
        line(9_000, "b", "job finished", &of_job("job", JOB)),
        line(1_000, "b", "accepted", &of_job("job", JOB)),
        line(
            1_816,
            "b",
            "advice received",
            &of_job("step", &format!("{JOB}.0.0")),
        ),
        line(1_820, "b", "start ordered", &task(0)),
        line(1_821, "b", "start ordered", &task(1)),
        line(
            1_830,
            "b",
            "start ordered",
            &of_job("task", "0000000000000001.0.0.0"),
        ),
        line(8_990, "b", "run ended", &task(0)),
    ];
    let timeline = JobTimeline::build(JOB, &read(&lines)).expect("lines about the job");
    let told: Vec<(i64, &str, usize)> = timeline
        .entries
        .iter()
        .map(|entry| (entry.at_ms, entry.line.event.as_str(), entry.count))
        .collect();
    let expected = [
        (0, "accepted", 1),
        (816, "advice received", 1),
        (820, "start ordered", 2),
        (7_990, "run ended", 1),
        (8_000, "job finished", 1),
    ];
    assert_eq!(told, expected);
    assert_eq!(timeline.widest_gap, Some(3));
    assert!(
        timeline.to_string().contains("the widest gap: 7170 ms"),
        "{timeline}"
    );
}

#[test]
fn circumstances_are_told_if_they_touch_the_job() {
    struct Case {
        name: &'static str,
        line: String,
        told: bool,
    }
    let lapsed = "leases lapsed, endpoint is silent";
    let cases = [
        Case {
            name: "its endpoint falls silent",
            line: line(2_000, "b", lapsed, &of_job("endpoint", "i-1")),
            told: true,
        },
        Case {
            name: "another endpoint falls silent",
            line: line(2_000, "b", lapsed, &of_job("endpoint", "i-2")),
            told: false,
        },
        Case {
            name: "another job on its endpoint",
            line: line(
                2_000,
                "b",
                "run ended",
                r#","endpoint":"i-1","task":"0000000000000001.0.0.0""#,
            ),
            told: false,
        },
        Case {
            name: "a takeover meanwhile",
            line: line(2_000, "c", "group taken over", ""),
            told: true,
        },
        Case {
            name: "a takeover long before",
            line: line(1_000_000, "c", "group taken over", ""),
            told: false,
        },
    ];
    for case in cases {
        let start = format!(r#","task":"{JOB}.0.0.0","endpoint":"i-1""#);
        let lines = [line(1_500, "b", "start ordered", &start), case.line];
        let timeline = JobTimeline::build(JOB, &read(&lines)).expect("lines about the job");
        assert_eq!(
            timeline.entries.len(),
            1 + usize::from(case.told),
            "{}",
            case.name
        );
    }
}

#[test]
fn a_clock_that_is_behind_shows_in_an_order_that_cannot_be() {
    let lines = [
        line(5_000, "b", "group claimed", r#","term":2"#),
        line(4_400, "c", "holder found", r#","term":2"#),
        line(5_200, "d", "holder found", r#","term":2"#),
        // The caller sent its request twice, so the order of these two lines proves nothing.
        line(5_300, "e", "request not carried out", &of_job("job", JOB)),
        line(
            5_400,
            "b",
            "refused, the store does not answer",
            &of_job("job", JOB),
        ),
    ];
    let timeline = JobTimeline::build(JOB, &read(&lines)).expect("lines about the job");
    let expected = ClockDifference {
        behind: "c".to_owned(),
        ahead: "b".to_owned(),
        at_least_ms: 600,
    };
    assert_eq!(timeline.clocks, vec![expected]);
}

#[test]
fn lines_left_out_meanwhile_are_said() {
    let lines = [
        line(1_000, "b", "accepted", &of_job("job", JOB)),
        line(1_100, "b", "log lines left out", r#","lines":12"#),
    ];
    let timeline = JobTimeline::build(JOB, &read(&lines)).expect("lines about the job");
    assert!(
        timeline.to_string().contains("b left lines out: lines=12"),
        "{timeline}"
    );
}

#[test]
fn a_job_without_lines_has_no_story() {
    let lines = [line(1_000, "b", "accepted", &of_job("job", JOB))];
    assert_eq!(JobTimeline::build("0000000000000009", &read(&lines)), None);
}

#[test]
fn waits_are_summed_up_by_cause_until_the_next_start() {
    struct Case {
        name: &'static str,
        /// Time, event and fields of each line.
        lines: &'static [(u64, &'static str, &'static str)],
        expected: &'static [(&'static str, u64)],
    }
    const QUOTA: &str = r#","step":"5f3f25de2a630efa.0.0","cause":"quota","for_ms":0"#;
    const CALL: &str = r#","step":"5f3f25de2a630efa.0.0","cause":"advice_call","for_ms":300"#;
    const OTHER_STEP: &str = r#","step":"5f3f25de2a630efa.0.1","cause":"quota","for_ms":0"#;
    const OTHER_JOB: &str = r#","step":"0000000000000001.0.0","cause":"text","for_ms":0"#;
    const TASK: &str = r#","task":"5f3f25de2a630efa.0.0.3""#;
    let cases = [
        Case {
            name: "a job that is not sampled",
            lines: &[
                (1_000, "start ordered", TASK),
                (2_000, "step waits", OTHER_JOB),
            ],
            expected: &[],
        },
        Case {
            name: "a cause that began before its line",
            lines: &[
                (1_000, "step waits", QUOTA),
                (3_000, "step waits", CALL),
                (3_100, "start ordered", TASK),
                (9_000, "run ended", TASK),
            ],
            expected: &[("quota", 1_700), ("advice_call", 400)],
        },
        Case {
            name: "two steps, of which one does not start",
            lines: &[
                (1_000, "step waits", QUOTA),
                (1_500, "start ordered", TASK),
                (2_000, "step waits", OTHER_STEP),
                (4_000, "run ended", TASK),
            ],
            expected: &[("quota", 2_500)],
        },
    ];
    for case in cases {
        let lines = case.lines.iter();
        let lines: Vec<String> = lines
            .map(|(unix_ms, event, fields)| line(*unix_ms, "b", event, fields))
            .collect();
        let timeline = JobTimeline::build(JOB, &read(&lines)).expect("lines about the job");
        let waits = timeline.waits.iter();
        let waits: Vec<(&str, u64)> = waits
            .map(|total| (total.cause.as_str(), total.waited_ms))
            .collect();
        assert_eq!(waits, case.expected, "{}", case.name);
        let told = timeline.to_string().contains("steps waited for quota");
        assert_eq!(told, !case.expected.is_empty(), "{}", case.name);
    }
}
