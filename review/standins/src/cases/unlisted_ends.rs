//! The store is down for some seconds while short tasks run, so that a worker has more ends that
//! are not acknowledged than it lists at a time.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use crate::cell::Cell;
use crate::client::{job, Clients, Step, Work};
use crate::record::Record;
use crate::store::Health;
use crate::worker::Run;
use crate::Verdict;

/// Workers of the deployment.
const WORKERS: usize = 3;
/// The job: tasks of 0.1 cores that work for 0.1 s.
const STEP: Step = Step {
    count: 8_000,
    cpu: 100,
    work: Work::Batch { work_ms: 100 },
};
const ID: &str = "5c0e7a21d94b36f8";
/// Breaks of the rule that are shown, and those that are written to the record.
const SAID_PAIRS: usize = 3;
const RECORDED_PAIRS: usize = 200;
/// How long the store is down.
const DOWN: Duration = Duration::from_millis(4_000);

pub fn play(trouble: bool, settings: &Path, record: &Record) -> Result<Verdict, String> {
    let cell = Cell::open(settings, record, 3, WORKERS)?;
    let clients = Clients::of(&cell);
    if !clients.submit(ID, &job(&STEP), 10) {
        return Err("the job is not accepted".to_owned());
    }
    std::thread::sleep(Duration::from_millis(1_000));
    if trouble {
        cell.store.set_health(Health::Busy);
        let mut left = DOWN;
        while !left.is_zero() {
            let ends: Vec<usize> = cell.workers.iter().map(|one| one.waiting_ends()).collect();
            record.say(&format!("ends that wait at the workers: {ends:?}"));
            std::thread::sleep(Duration::from_millis(500));
            left -= Duration::from_millis(500);
        }
        cell.store.set_health(Health::Up);
    }
    let state = clients.wait_for_end(ID, Duration::from_secs(60));
    record.say(&format!("the job is shown as {state:?}"));
    if state.as_deref() != Some("completed") && !trouble {
        return Err("the job is not completed".to_owned());
    }
    std::thread::sleep(Duration::from_secs(1));
    let runs: Vec<Run> = cell.workers.iter().flat_map(|one| one.runs()).collect();
    Ok(check_twice(&runs, record))
}

/// Checks the rule TWICE: no start after a run of the task has ended `done`, if that end is taken
/// note of then or later, and no two runs of a task at the same time.
pub fn check_twice(runs: &[Run], record: &Record) -> Verdict {
    let mut by_task: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    let mut pairs = 0;
    let mut tasks = 0;
    for runs in by_task.values() {
        let mut again = false;
        for first in runs {
            let over_ms = first.ended_ms.unwrap_or(u64::MAX);
            let noted = first.how == "done" && first.acknowledged_ms.is_some();
            for second in runs.iter().filter(|second| second.run > first.run) {
                let after_done = noted && second.began_ms > over_ms;
                let overlap = second.began_ms >= first.began_ms && second.began_ms < over_ms;
                if !after_done && !overlap {
                    continue;
                }
                again = true;
                pairs += 1;
                let text = format!("TWICE: {} and {}", told(first), told(second));
                if pairs <= SAID_PAIRS {
                    record.say(&text);
                } else if pairs <= RECORDED_PAIRS {
                    record.line(&text);
                }
            }
        }
        tasks += usize::from(again);
    }
    record.say(&format!(
        "{} tasks, {} runs; {tasks} tasks ran twice against the rule",
        by_task.len(),
        runs.len()
    ));
    if tasks > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Returns what a record says of a run.
fn told(run: &Run) -> String {
    format!(
        "{} as run {} on {} from {} to {:?} ({}, taken note of at {:?})",
        run.task, run.run, run.worker, run.began_ms, run.ended_ms, run.how, run.acknowledged_ms
    )
}
