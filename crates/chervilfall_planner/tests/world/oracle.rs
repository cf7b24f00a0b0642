//! What must hold for all endpoints together.

use std::collections::{BTreeMap, BTreeSet};

use chervilfall_planner::{EndpointId, How, JobId, TaskKey};

use super::endpoint::FakeEndpoint;

/// Looks at what runs now: no task twice at once.
pub fn overlaps<'a>(
    endpoints: impl Iterator<Item = &'a FakeEndpoint>,
    now: u64,
    violations: &mut Vec<String>,
) {
    let mut seen: BTreeMap<TaskKey, &EndpointId> = BTreeMap::new();
    for endpoint in endpoints.filter(|endpoint| !endpoint.dead) {
        for task in endpoint.running.keys() {
            if let Some(other) = seen.insert(*task, &endpoint.id) {
                violations.push(format!("{task} on {other} and {} at {now}", endpoint.id));
            }
        }
    }
}

/// Looks at all that was started and noted: no start after a noted end as done, none after the last
/// attempt, none of a refused job.
pub fn history<'a>(
    endpoints: impl Iterator<Item = &'a FakeEndpoint> + Clone,
    attempts: usize,
    refused: &BTreeSet<JobId>,
    violations: &mut Vec<String>,
) {
    let mut done: BTreeMap<TaskKey, u64> = BTreeMap::new();
    let mut failed: BTreeMap<TaskKey, BTreeMap<u64, u64>> = BTreeMap::new();
    for (task, run, how, at_ms) in endpoints.clone().flat_map(|endpoint| &endpoint.noted) {
        match how {
            How::Done => {
                done.insert(*task, *at_ms);
            }
            How::Failed => {
                failed.entry(*task).or_default().insert(*run, *at_ms);
            }
            _ => {}
        }
    }
    let exhausted = |task: &TaskKey| {
        let mut times: Vec<u64> = failed.get(task)?.values().copied().collect();
        times.sort_unstable();
        times.get(attempts - 1).copied()
    };
    for (at_ms, task, run) in endpoints.flat_map(|endpoint| &endpoint.starts) {
        if done.get(task).is_some_and(|done_ms| done_ms < at_ms) {
            violations.push(format!(
                "{task} run {run} started at {at_ms} after it was done"
            ));
        }
        if exhausted(task).is_some_and(|failed_ms| failed_ms < *at_ms) {
            violations.push(format!(
                "{task} run {run} started at {at_ms} after its attempts"
            ));
        }
        if refused.contains(&task.job) {
            violations.push(format!("{task} started although its job was refused"));
        }
    }
}
