//! Services whose tasks fail now and then.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use crate::cell::Cell;
use crate::client::{job, Clients, Step, Work};
use crate::record::Record;
use crate::worker::{Run, CPU};
use crate::Verdict;

/// Workers of the deployment.
const WORKERS: usize = 3;
/// Services, each with tasks of one core.
const SERVICES: u64 = 4;
const TASKS: u64 = 3;
const TASK_CPU: u64 = 1_000;
/// How long a task works on average until it fails.
const FAILS_MS: u64 = 20_000;
/// How long the services are watched.
const WATCHED_MS: u64 = 90_000;
/// How long a task that lasts may be without a run: 6 s after its last one, and 3 s more.
const MAX_GAP_MS: u64 = 9_000;

pub fn play(trouble: bool, settings: &Path, record: &Record) -> Result<Verdict, String> {
    let cell = Cell::open(settings, record, 3, WORKERS)?;
    let clients = Clients::of(&cell);
    let fails_ms = if trouble { FAILS_MS } else { 0 };
    let step = Step {
        count: TASKS,
        cpu: TASK_CPU,
        work: Work::Service { fails_ms },
    };
    let ids = (0..SERVICES).map(|number| format!("{:016x}", 0x5c0e_7a21 + number));
    let ids: Vec<String> = ids.collect();
    for id in &ids {
        if !clients.submit(id, &job(&step), 10) {
            return Err(format!("service {id} is not accepted"));
        }
    }
    let accepted_ms = record.now_ms();
    let tasks = ids
        .iter()
        .flat_map(|id| (0..TASKS).map(move |index| format!("{id}.0.0.{index}")));
    let tasks: Vec<String> = tasks.collect();
    let mut worst_ms = 0;
    while record.now_ms() < WATCHED_MS {
        std::thread::sleep(Duration::from_millis(500));
        let now = record.now_ms();
        let gaps = gaps_ms(&cell, &tasks, accepted_ms, now);
        let away = gaps.values().filter(|gap_ms| **gap_ms > 0).count();
        let longest = gaps.iter().max_by_key(|(_, gap_ms)| **gap_ms);
        let Some((task, gap_ms)) = longest else {
            continue;
        };
        if now % 5_000 < 500 {
            let used = (tasks.len() - away) as u64 * TASK_CPU;
            record.say(&format!(
                "{away} of {} tasks don't run, {task} for {gap_ms} ms; {used} of {} in use",
                tasks.len(),
                CPU * WORKERS as u64
            ));
        }
        if *gap_ms > worst_ms {
            worst_ms = *gap_ms;
        }
    }
    for id in &ids {
        record.say(&format!("{id} is shown as {:?}", clients.state(id, 3)));
    }
    record.say(&format!("a task was without a run for {worst_ms} ms"));
    Ok(if worst_ms > MAX_GAP_MS {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Returns for how long each task has been without a run; 0 if it runs.
fn gaps_ms(cell: &Cell, tasks: &[String], accepted_ms: u64, now: u64) -> BTreeMap<String, u64> {
    let runs: Vec<Run> = cell.workers.iter().flat_map(|one| one.runs()).collect();
    let gap_ms = |task: &String| {
        let own = runs.iter().filter(|run| run.task == *task);
        let over_ms = own.map(|run| run.ended_ms.unwrap_or(now)).max();
        now.saturating_sub(over_ms.unwrap_or(accepted_ms))
    };
    let gaps = tasks.iter().map(|task| (task.clone(), gap_ms(task)));
    gaps.collect()
}
