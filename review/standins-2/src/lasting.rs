//! The rule on tasks that last: whether one stood for too long while there was room.

use crate::cluster::Cluster;
use crate::record::Record;
use crate::worker::Worker;

/// How long a task may stand.
const STANDS_MS: u64 = 3_000;
/// Time from its last run on in which it may.
const AFTER_LAST_RUN_MS: u64 = 6_000;
/// Time without a disruption before that.
const CALM_BEFORE_MS: u64 = 4_000;

/// What the rule needs to be judged.
pub struct Judged<'a> {
    pub cluster: &'a Cluster,
    pub task: &'a str,
    /// When disruptions began and ended, by the record's time.
    pub disruptions: &'a [(u64, u64)],
    /// When it was looked at last.
    pub until_ms: u64,
    /// What each task uses, in thousandths of a core.
    pub task_cpu: u64,
}

/// Returns what broke the rule, if anything did: a span of 3 s, 6 s or more after the task's last run,
/// without a disruption in it and in the 4 s before, in which the task ran nowhere though there was
/// capacity for it twice over, and under half of the service's capacity was in use.
pub fn standstill(judged: &Judged<'_>, record: &Record) -> Option<String> {
    let sound = || {
        let workers = judged.cluster.workers.iter();
        workers.filter(|worker| !worker.is_gone())
    };
    let capacity: u64 = sound().map(|worker| worker.terms.cpu).sum();
    let used = |worker: &Worker| worker.tasks().len() as u64 * judged.task_cpu;
    let fits = |worker: &Worker| worker.terms.cpu.saturating_sub(used(worker)) / judged.task_cpu;
    let used_cpu: u64 = sound().map(used).sum();
    let fits: u64 = sound().map(fits).sum();
    record.line(&format!(
        "sound workers have {capacity} thousandths of a core, of which {used_cpu} are in use; the task fits {fits} times more"
    ));
    if fits < 2 || used_cpu * 2 >= capacity {
        return None;
    }
    let mut runs: Vec<(u64, u64)> = judged
        .cluster
        .runs_of(judged.task)
        .iter()
        .map(|run| (run.began_ms, run.ended.map_or(u64::MAX, |(at_ms, _)| at_ms)))
        .collect();
    runs.push((judged.until_ms, u64::MAX));
    runs.sort_unstable();
    for pair in runs.windows(2) {
        let (ended_ms, next_ms) = (pair[0].1, pair[1].0);
        if ended_ms == u64::MAX {
            continue;
        }
        record.line(&format!(
            "{}: no run from {ended_ms} to {next_ms} ms",
            judged.task
        ));
        let calm_ms = judged
            .disruptions
            .iter()
            .filter(|(began_ms, _)| *began_ms < next_ms)
            .map(|(_, over_ms)| over_ms + CALM_BEFORE_MS)
            .max()
            .unwrap_or(0);
        let from_ms = (ended_ms + AFTER_LAST_RUN_MS).max(calm_ms);
        if from_ms + STANDS_MS <= next_ms {
            return Some(format!(
                "LOST: {} has nothing running from {from_ms} to {next_ms} ms, {} ms on end, though its turn has come, there is room, and these spans and the 4 s before are calm; its last run ended at {ended_ms} ms",
                judged.task,
                next_ms - from_ms
            ));
        }
    }
    None
}
