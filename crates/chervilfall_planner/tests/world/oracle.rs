//! Checks of the invariants that hold across all endpoints.

use std::collections::{BTreeMap, BTreeSet};

use chervilfall_planner::{EndReason, EndpointId, JobId, JobSpec, Run, TaskKey};

use super::endpoint::FakeEndpoint;

/// Checks the runs in progress: no task may run twice at the same time.
pub fn check_overlaps<'a>(
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

/// Checks all starts and acknowledged ends: no task may be started after an acknowledged end as
/// done or after its last attempt, and no task of a refused job may be started.
pub fn check_history<'a>(
    endpoints: impl Iterator<Item = &'a FakeEndpoint> + Clone,
    attempts: usize,
    jobs: &BTreeMap<JobId, JobSpec>,
    refused: &BTreeSet<JobId>,
    violations: &mut Vec<String>,
) {
    let mut done: BTreeMap<TaskKey, u64> = BTreeMap::new();
    let mut failed: BTreeMap<TaskKey, BTreeMap<u64, u64>> = BTreeMap::new();
    for (task, run, how, at_ms) in endpoints
        .clone()
        .flat_map(|endpoint| &endpoint.acknowledged_ends)
    {
        match how {
            EndReason::Done => {
                let first_ms = done.entry(*task).or_insert(*at_ms);
                *first_ms = (*first_ms).min(*at_ms);
            }
            EndReason::Failed if !lasts(jobs, *task) => {
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
                "{task} run {run} started at {at_ms} after its last attempt"
            ));
        }
        if refused.contains(&task.job) {
            violations.push(format!("{task} started although its job was refused"));
        }
    }
}

/// Returns how many tasks of a job have started more than once.
pub fn restarted_tasks<'a>(endpoints: impl Iterator<Item = &'a FakeEndpoint>, job: JobId) -> usize {
    let starts = endpoints.flat_map(|endpoint| &endpoint.starts);
    let mut counts: BTreeMap<TaskKey, usize> = BTreeMap::new();
    for (_, task, _) in starts.filter(|(_, task, _)| task.job == job) {
        *counts.entry(*task).or_default() += 1;
    }
    counts.values().filter(|count| **count > 1).count()
}

/// Number of crashes caused by a task after which only a few more starts are allowed.
const CRASH_THRESHOLD: usize = 3;
/// Number of starts after these crashes that is too many, counting starts by undisturbed nodes.
const TOO_MANY_STARTS: usize = 3;
/// The same for starts by any node. A node that is cut off from the store still starts the tasks
/// that it had accepted, and other nodes may not learn of these starts.
const TOO_MANY_STARTS_BY_ANY: usize = 5;

/// Checks tasks that crash endpoints: only a few starts may follow the third crash.
pub fn check_crashes(endpoints: &BTreeMap<EndpointId, FakeEndpoint>, violations: &mut Vec<String>) {
    let mut crashes: BTreeMap<TaskKey, Vec<u64>> = BTreeMap::new();
    for (at_ms, culprit) in endpoints.values().flat_map(FakeEndpoint::crashes) {
        if let Some(task) = culprit {
            crashes.entry(task).or_default().push(at_ms);
        }
    }
    for (task, mut times) in crashes {
        times.sort_unstable();
        let Some(third_ms) = times.get(CRASH_THRESHOLD - 1) else {
            continue;
        };
        let after = |starts: &Vec<(u64, TaskKey, Run)>| {
            let starts = starts.iter();
            let later = starts.filter(|(at_ms, started, _)| *started == task && at_ms > third_ms);
            later.count()
        };
        let any = endpoints.values().map(|endpoint| after(&endpoint.starts));
        let any: usize = any.sum();
        let by_undisturbed = endpoints
            .values()
            .map(|endpoint| after(&endpoint.starts_by_undisturbed_nodes));
        let by_undisturbed: usize = by_undisturbed.sum();
        if by_undisturbed >= TOO_MANY_STARTS || any >= TOO_MANY_STARTS_BY_ANY {
            violations.push(format!(
                "{task} started {any} times, {by_undisturbed} by undisturbed nodes, after its third crash at {third_ms}"
            ));
        }
    }
}

/// Returns the highest number of endpoint crashes during runs of one task of a job, whatever caused
/// them.
pub fn max_crashes_under(endpoints: &BTreeMap<EndpointId, FakeEndpoint>, job: JobId) -> usize {
    let mut crashes: BTreeMap<TaskKey, usize> = BTreeMap::new();
    let running = endpoints
        .values()
        .flat_map(|endpoint| &endpoint.running_at_crashes);
    for task in running.filter(|task| task.job == job) {
        *crashes.entry(*task).or_default() += 1;
    }
    crashes.into_values().max().unwrap_or(0)
}

/// Returns whether a task lasts, so that it has no limit on its attempts.
fn lasts(jobs: &BTreeMap<JobId, JobSpec>, task: TaskKey) -> bool {
    let steps = jobs.get(&task.job).map(|job| &job.steps);
    let step = steps.and_then(|steps| steps.get(usize::from(task.step)));
    step.is_some_and(|step| step.long_running)
}

/// Returns whether a task of a job has used all its attempts, according to the failures that
/// endpoints have reported.
pub fn has_used_attempts(
    endpoints: &BTreeMap<EndpointId, FakeEndpoint>,
    jobs: &BTreeMap<JobId, JobSpec>,
    job: JobId,
    attempts: usize,
) -> bool {
    let mut failed: BTreeMap<TaskKey, BTreeSet<Run>> = BTreeMap::new();
    let reported = endpoints.values().flat_map(|endpoint| &endpoint.failed);
    for (task, run) in reported.filter(|(task, _)| task.job == job) {
        // A gang fails as a whole, whichever of its members fail.
        let step = TaskKey { index: 0, ..*task };
        if lasts(jobs, *task) {
            continue;
        }
        let gang = jobs[&job].steps[usize::from(task.step)].gang;
        let counted = if gang { step } else { *task };
        failed.entry(counted).or_default().insert(*run);
    }
    failed.values().any(|runs| runs.len() >= attempts)
}
