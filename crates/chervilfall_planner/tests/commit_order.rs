//! Choice of the changes of a commit.
//!
//! Guards against commits that are filled with changes which are too late to be worth anything,
//! against rows that stay unused, and against changes that are never stored.

use chervilfall_planner::{
    CommitOrder, JobId, JobTiming, ProgressKind, WaitingChanges, WaitingProgress, WaitingSubmission,
};

/// Expected duration of the commit.
const COMMIT_MS: u64 = 500;
/// Objective of all jobs; they are overdue after three times this.
const OBJECTIVE_MS: u64 = 1_500;
/// Least time that a submitted job needs once it is stored.
const REMAINING_MS: u64 = 400;

fn timing(age_ms: u64, min_remaining_ms: u64) -> JobTiming {
    JobTiming {
        age_ms,
        min_remaining_ms,
        objective_ms: OBJECTIVE_MS,
    }
}

/// A submission that takes one row.
fn submission(id: u64, priority: u32, age_ms: u64) -> WaitingSubmission {
    WaitingSubmission {
        id: JobId(id),
        beyond: false,
        priority,
        timing: timing(age_ms, REMAINING_MS),
        rows: 1,
        missed_commits: 0,
    }
}

/// Progress that takes three rows, or one if the rest is left to a later commit.
fn progress(id: u64, kind: ProgressKind, age_ms: u64) -> WaitingProgress {
    WaitingProgress {
        id: JobId(id),
        kind,
        timing: timing(age_ms, 0),
        rows: 3,
        min_rows: 1,
        missed_commits: 0,
    }
}

fn ended(id: u64, age_ms: u64) -> WaitingProgress {
    progress(id, ProgressKind::Ended, age_ms)
}

fn missed<T>(mut change: T, count: impl Fn(&mut T)) -> T {
    count(&mut change);
    change
}

struct Case {
    name: &'static str,
    order: CommitOrder,
    rows: usize,
    submissions: Vec<WaitingSubmission>,
    progress: Vec<WaitingProgress>,
    /// Chosen submissions and progress, in order.
    chosen: (Vec<u64>, Vec<u64>),
    under_pressure: bool,
}

fn check(cases: Vec<Case>) {
    for case in cases {
        let waiting = WaitingChanges {
            submissions: case.submissions,
            progress: case.progress,
        };
        let plan = waiting.choose(case.order, case.rows, COMMIT_MS);
        let ids = |jobs: &[JobId]| jobs.iter().map(|id| id.0).collect::<Vec<u64>>();
        let chosen = (ids(&plan.submissions), ids(&plan.progress));
        assert_eq!(chosen, case.chosen, "{}", case.name);
        assert_eq!(plan.under_pressure, case.under_pressure, "{}", case.name);
    }
}

#[test]
fn what_is_in_time_goes_first_under_pressure() {
    let submissions = || {
        vec![
            submission(1, 0, 5_000),
            submission(2, 0, 700),
            submission(3, 1, 300),
            submission(4, 0, 200),
            submission(5, 0, 100),
        ]
    };
    let ends = || {
        vec![
            progress(1, ProgressKind::Partial, 100),
            ended(2, 5_000),
            ended(3, 1_200),
            ended(4, 900),
            progress(5, ProgressKind::Awaited, 5_000),
        ]
    };
    check(vec![
        Case {
            name: "submissions: in time by priority and age, then late, then overdue",
            order: CommitOrder::Urgency,
            rows: 4,
            submissions: submissions(),
            progress: Vec::new(),
            chosen: (vec![4, 5, 3, 2], vec![]),
            under_pressure: true,
        },
        Case {
            name: "submissions without the policy: in order of arrival",
            order: CommitOrder::Arrival,
            rows: 4,
            submissions: submissions(),
            progress: Vec::new(),
            chosen: (vec![1, 2, 3, 4], vec![]),
            under_pressure: false,
        },
        Case {
            name: "progress: awaited, ends by timeliness, and jobs that go on last",
            order: CommitOrder::Urgency,
            rows: 4,
            submissions: Vec::new(),
            progress: ends(),
            chosen: (vec![], vec![5, 4, 3, 2]),
            under_pressure: true,
        },
        Case {
            name: "progress without the policy: in order of arrival, with all rows",
            order: CommitOrder::Arrival,
            rows: 6,
            submissions: Vec::new(),
            progress: ends(),
            chosen: (vec![], vec![1, 2]),
            under_pressure: false,
        },
        Case {
            name: "all fits: in order of arrival",
            order: CommitOrder::Urgency,
            rows: 20,
            submissions: submissions(),
            progress: ends(),
            chosen: (vec![1, 2, 3, 4, 5], vec![1, 2, 3, 4, 5]),
            under_pressure: false,
        },
        Case {
            name: "work beyond its account's share: behind late work",
            order: CommitOrder::Urgency,
            rows: 1,
            submissions: vec![
                missed(submission(1, 0, 0), |waiting| waiting.beyond = true),
                submission(2, 2, 5_000),
            ],
            progress: Vec::new(),
            chosen: (vec![2], vec![]),
            under_pressure: true,
        },
    ]);
}

#[test]
fn no_change_waits_for_more_than_three_commits_behind_others() {
    let starved = |commits| {
        let late = submission(1, 2, 5_000);
        let partial = progress(1, ProgressKind::Partial, 100);
        (
            vec![
                submission(2, 0, 100),
                missed(late, |waiting| waiting.missed_commits = commits),
            ],
            vec![
                ended(2, 100),
                missed(partial, |waiting| waiting.missed_commits = commits),
            ],
        )
    };
    let case = |name, commits, first| {
        let (submissions, progress) = starved(commits);
        Case {
            name,
            order: CommitOrder::Urgency,
            rows: 2,
            submissions,
            progress,
            chosen: (vec![first], vec![first]),
            under_pressure: true,
        }
    };
    check(vec![
        case("two commits missed", 2, 2),
        case("three commits missed", 3, 1),
    ]);
}

#[test]
fn rows_that_one_side_leaves_go_to_the_other() {
    let submissions = |count| (1..=count).map(|id| submission(id, 0, 0)).collect();
    let ends = |count| (1..=count).map(|id| ended(id, 0)).collect();
    let case = |name, order, waiting: (u64, u64), chosen: (u64, u64)| Case {
        name,
        order,
        rows: 9,
        submissions: submissions(waiting.0),
        progress: ends(waiting.1),
        chosen: ((1..=chosen.0).collect(), (1..=chosen.1).collect()),
        under_pressure: order == CommitOrder::Urgency,
    };
    check(vec![
        case("both in plenty", CommitOrder::Urgency, (20, 20), (3, 6)),
        case("few ends", CommitOrder::Urgency, (20, 2), (7, 2)),
        case("few submissions", CommitOrder::Urgency, (1, 20), (1, 8)),
        case("no ends", CommitOrder::Urgency, (20, 0), (9, 0)),
        case(
            "few ends, without the policy",
            CommitOrder::Arrival,
            (20, 1),
            (3, 1),
        ),
    ]);
}

/// Guards against a forecast that counts only the rows which submissions have used.
#[test]
fn submissions_may_use_what_progress_does_not_reserve() {
    let cases = [
        ("nothing waits", 0, 9),
        ("few ends", 2, 7),
        ("ends in plenty", 20, 3),
    ];
    for (name, ends, submission_rows) in cases {
        let waiting = WaitingChanges {
            submissions: Vec::new(),
            progress: (1..=ends).map(|id| ended(id, 0)).collect(),
        };
        let plan = waiting.choose(CommitOrder::Urgency, 9, COMMIT_MS);
        assert_eq!(plan.submission_rows, submission_rows, "{name}");
    }
}
