//! Workers crash under a job, one at a time; no run of the job ever ends as failed.

use crate::cluster::{job, sleep_ms, wait_until, Cluster, Queue};
use crate::record::Record;
use crate::Outcome;

const QUEUE: Queue = Queue {
    name: "reports",
    priority: 1,
    attempts: 2,
    target_latency_ms: 1_000,
    advice: None,
};
const JOB: &str = "5c0e7a21d94b36f8";
/// Work of the job's only task.
const WORK_MS: u64 = 6_000;
/// Time from a start to the crash of its worker: the run is past its beginning.
const CRASH_AFTER_MS: u64 = 2_000;
/// Number of crashes.
const CRASHES: usize = 4;
/// Time until a new worker stands in for a crashed one.
const BACK_MS: u64 = 1_000;

pub fn play(record: Record, trouble: bool) -> Outcome {
    let mut cluster = Cluster::open(record, &[QUEUE], 3, None);
    for number in 0..8 {
        cluster.add_worker(&format!("i-{number}"), 16_000);
    }
    if !cluster.start() {
        return Outcome::Unplayed("the nodes are not ready in time".to_owned());
    }
    sleep_ms(3_000);
    let step = [
        ("count", 1.into()),
        ("cpu", 2_000.into()),
        ("mem_mb", 1_024.into()),
        ("estimate_ms", WORK_MS.into()),
    ];
    if !cluster.submit(&QUEUE, JOB, &job(&format!("ms={WORK_MS}"), &step)) {
        return Outcome::Unplayed("the job is not accepted".to_owned());
    }
    let task = format!("{JOB}.0.0.0");
    let crashes = if trouble { CRASHES } else { 0 };
    for number in 0..crashes {
        let runs = || cluster.worker_of(&task).is_some();
        if !wait_until(20_000, runs) {
            break;
        }
        sleep_ms(CRASH_AFTER_MS);
        if let Some(worker) = cluster.worker_of(&task).cloned() {
            worker.crash();
        }
        sleep_ms(BACK_MS);
        cluster.add_worker(&format!("i-{}", 100 + number), 16_000);
    }
    let mut state = None;
    for _ in 0..60 {
        sleep_ms(500);
        state = cluster.state(&QUEUE, JOB);
        if matches!(state.as_deref(), Some("completed" | "failed" | "cancelled")) {
            break;
        }
    }
    cluster.keep_logs();
    let runs = cluster.runs_of(&task);
    let how = |run: &crate::worker::RunSpan| run.ended.map_or("runs", |(_, how)| how);
    let ends: Vec<&str> = runs.iter().map(how).collect();
    cluster.record.line(&format!(
        "the task's runs: {ends:?}; the job's state: {state:?}"
    ));
    let failed_ends = ends.iter().filter(|how| **how == "failed").count();
    match state.as_deref() {
        Some("failed" | "cancelled") if failed_ends == 0 => Outcome::Broken(format!(
            "LOST: an accepted job that nobody has cancelled is shown as {}, though none of its {} runs ended failed ({} attempts are allowed)",
            state.unwrap_or_default(),
            runs.len(),
            QUEUE.attempts
        )),
        Some("completed") => Outcome::Held,
        other => Outcome::Unplayed(format!("the job's last state is {other:?}")),
    }
}
