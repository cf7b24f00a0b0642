//! Burn of objectives, computed from log lines.

use chervilfall_story::{page, read_lines, Burn, BurnError, LogLine};

fn finished(unix_ms: u64, job: u64, queue: &str, outcome: &str, age_ms: u64) -> String {
    format!(
        r#"{{"unix_ms":{unix_ms},"node":"a","level":"INFO","event":"job finished","job":"{job:016x}","queue":"{queue}","outcome":"{outcome}","age_ms":{age_ms},"objective_ms":1000}}"#
    )
}

fn refused(unix_ms: u64, job: u64, queue: &str) -> String {
    format!(
        r#"{{"unix_ms":{unix_ms},"node":"a","level":"INFO","event":"refused, the store does not answer","job":"{job:016x}","queue":"{queue}"}}"#
    )
}

fn read(lines: &[String]) -> Vec<LogLine> {
    let read = read_lines(lines.join("\n").as_bytes()).expect("bytes in memory");
    assert_eq!(read.unreadable, 0);
    read.lines
}

#[test]
fn requests_count_by_what_their_callers_saw() {
    struct Case {
        name: &'static str,
        lines: Vec<String>,
        requests: u64,
        bad: u64,
    }
    let cases = [
        Case {
            name: "in time, at the objective, late",
            lines: vec![
                finished(1, 1, "q", "Completed", 999),
                finished(2, 2, "q", "Completed", 1_000),
                finished(3, 3, "q", "Completed", 1_001),
            ],
            requests: 3,
            bad: 1,
        },
        Case {
            name: "failed by itself, cancelled",
            lines: vec![
                finished(1, 1, "q", "Completed", 10),
                finished(2, 2, "q", "Failed", 5_000),
                finished(3, 3, "q", "Cancelled", 5_000),
            ],
            requests: 1,
            bad: 0,
        },
        Case {
            name: "refused twice, then in time",
            lines: vec![
                refused(1, 1, "q"),
                refused(2, 1, "q"),
                finished(3, 1, "q", "Completed", 10),
            ],
            requests: 3,
            bad: 2,
        },
        Case {
            name: "reported by two nodes, since the holder changed",
            lines: vec![
                finished(1, 1, "q", "Completed", 2_000),
                finished(9, 1, "q", "Completed", 2_000),
            ],
            requests: 1,
            bad: 1,
        },
    ];
    for case in cases {
        let burn = Burn::from_lines(&read(&case.lines), 990).expect("lines that count");
        let row = &burn.rows[0];
        assert_eq!(
            (row.requests, row.bad),
            (case.requests, case.bad),
            "{}",
            case.name
        );
    }
}

#[test]
fn completed_jobs_without_an_objective_are_said() {
    let without = r#"{"unix_ms":5,"node":"a","level":"INFO","event":"job finished","job":"00000000000000ff","queue":"q","outcome":"Completed","age_ms":9}"#;
    let lines = [finished(1, 1, "q", "Completed", 10), without.to_owned()];
    let burn = Burn::from_lines(&read(&lines), 990).expect("lines that count");
    assert_eq!((burn.rows[0].requests, burn.unjudged), (1, 1));
}

#[test]
fn windows_end_with_the_log_and_page_together_only() {
    // An hour in which one job in five is late, in the last five minutes only.
    let mut lines = Vec::new();
    for second in 0..3_600_u64 {
        let late = second >= 3_300 && second % 5 == 0;
        let age_ms = if late { 2_000 } else { 10 };
        lines.push(finished(second * 1_000, second, "q", "Completed", age_ms));
    }
    let burn = Burn::from_lines(&read(&lines), 990).expect("lines that count");
    let row = &burn.rows[0];
    assert_eq!((row.requests, row.bad), (3_600, 60));
    assert!(
        (19_000..=21_000).contains(&row.burn_short_permille),
        "{row:?}"
    );
    assert_eq!(row.burn_long_permille, 1_666);
    assert_eq!(row.budget_left_permille, 0);
    assert!(!row.page, "the long window does not burn fast enough");
    let steady = Burn::from_lines(&read(&lines[3_300..]), 990).expect("lines that count");
    assert!(steady.rows[0].page, "both windows burn");
}

#[test]
fn what_cannot_be_told_is_said() {
    struct Case {
        name: &'static str,
        lines: Vec<String>,
        success_permille: u64,
        error: BurnError,
    }
    let cases = [
        Case {
            name: "no budget",
            lines: vec![finished(1, 1, "q", "Completed", 10)],
            success_permille: 1_000,
            error: BurnError::Share(1_000),
        },
        Case {
            name: "no lines",
            lines: Vec::new(),
            success_permille: 990,
            error: BurnError::NoJobs,
        },
        Case {
            name: "no job ended",
            lines: vec![finished(1, 1, "q", "Cancelled", 10)],
            success_permille: 990,
            error: BurnError::NoJobs,
        },
    ];
    for case in cases {
        let error = Burn::from_lines(&read(&case.lines), case.success_permille).map(|_| ());
        assert_eq!(error, Err(case.error), "{}", case.name);
    }
}

#[test]
fn the_page_holds_a_plot_a_queue_and_nothing_from_elsewhere() {
    let lines = [
        finished(1_000, 1, "a<b", "Completed", 10),
        finished(30_000, 2, "a<b", "Completed", 2_000),
        finished(30_000, 3, "c", "Completed", 10),
    ];
    let burn = Burn::from_lines(&read(&lines), 990).expect("lines that count");
    let page = page(&burn).expect("plots");
    assert_eq!(page.matches("<svg").count(), 2);
    assert!(page.contains("a&lt;b"), "names are escaped");
    assert!(!page.contains("src=") && !page.contains("href="), "{page}");
}
