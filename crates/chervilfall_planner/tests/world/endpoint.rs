//! A simulated endpoint, which carries out all orders it receives and records violations.

use std::collections::{BTreeMap, BTreeSet};

use chervilfall_planner::{
    EndReason, EndedRun, EndpointEntry, EndpointId, EndpointKey, HoldAnswer, HoldOrder, HoldReport,
    JobId, JobSpec, Refusal, Run, RunningRun, StartAnswer, StartOrder, StopAnswer, StopOrder,
    TaskKey,
};

use super::random::Random;

/// Milliseconds from a stop order to the end of the run.
const STOP_MS: u64 = 200;
/// Milliseconds between two writes of an endpoint's entry in the store.
const REPORT_INTERVAL_MS: u64 = 1_500;
/// Milliseconds for which CPU that an endpoint has lost may still be used by starts: 3 s until a
/// node counts as undisturbed, and one report interval.
const SHRINK_GRACE_MS: u64 = 3_000 + REPORT_INTERVAL_MS;
/// Maximum lease in milliseconds; longer ones are shortened to this.
/// Longer than any timeout.
const HOURS_MS: u64 = 10_000_000;
const LONGEST_LEASE_MS: u64 = 6_000;
/// Maximum number of ends in a list.
const MAX_LISTED_ENDS: usize = 500;
/// Maximum number of milliseconds to the failure of a run of a task that lasts, if it fails.
const LASTING_FAILURE_MS: u64 = 5_000;
/// Milliseconds that a run needs to resume from a checkpoint.
const RESTORE_MS: u64 = 600;

/// A run in progress.
pub struct FakeRun {
    pub run: Run,
    pub cpu_milli: u32,
    pub begun_ms: u64,
    pub ends_ms: u64,
    /// Milliseconds of work restored from a checkpoint; none if the step saves no checkpoints.
    saved_ms: Option<u64>,
    pub fails: bool,
    pub stops_ms: Option<u64>,
    /// Another member of its gang has been lost.
    pub broken: bool,
    /// When it crashes its endpoint.
    pub crashes_ms: Option<u64>,
}

impl FakeRun {
    /// Returns the checkpoint that a stop leaves: the milliseconds of work that are saved.
    fn checkpoint(&self, now: u64) -> String {
        let Some(saved_ms) = self.saved_ms else {
            return String::new();
        };
        let restore_ms = if saved_ms > 0 { RESTORE_MS } else { 0 };
        let worked_ms = (now - self.begun_ms).saturating_sub(restore_ms);
        (saved_ms + worked_ms).to_string()
    }
}

/// A run that is over.
pub struct PastRun {
    pub task: TaskKey,
    pub run: Run,
    pub begun_ms: u64,
    pub ended_ms: u64,
    /// How it ended; none if its endpoint crashed.
    pub how: Option<EndReason>,
}

/// A hold that waits for a run to end, or for its wait time to pass.
pub struct WaitingHold {
    pub node: usize,
    pub term: u64,
    pub endpoint: EndpointKey,
    pub sent_ms: u64,
    /// How long its sender waits for the answer.
    timeout_ms: u64,
    arrived_ms: u64,
    answer_by_ms: u64,
}

/// A hold with its answer.
pub struct AnsweredHold {
    pub node: usize,
    pub term: u64,
    pub id: EndpointId,
    pub endpoint: EndpointKey,
    pub sent_ms: u64,
    /// How long its sender waits for the answer.
    pub timeout_ms: u64,
    /// How long the answer is on a congested link.
    pub delay_ms: u64,
    pub answer: HoldAnswer,
}

/// How tasks of a job crash the endpoints that run them.
#[derive(Debug, Clone, Copy)]
pub struct CrashBehavior {
    /// Time from the start of such a run to the crash.
    pub after_ms: u64,
    /// Index of the only task that crashes its endpoint; none if all tasks of the job do.
    pub index: Option<u32>,
}

/// Faults of a job's tasks that they show on any endpoint.
#[derive(Debug, Clone, Copy)]
pub struct JobFaults {
    pub crashing: Option<CrashBehavior>,
    /// Percentage of its runs that fail; none for that of the endpoint.
    pub fail_percent: Option<u64>,
}

/// A simulated endpoint.
pub struct FakeEndpoint {
    pub id: EndpointId,
    pub address: String,
    pub cpu_milli: u32,
    pub listed: bool,
    pub draining: bool,
    /// When it leaves, of which it gives notice while it drains.
    pub leaves_ms: Option<u64>,
    pub dead: bool,
    /// When it crashed, and the task that caused the crash, if one did.
    pub crashed: Option<(u64, Option<TaskKey>)>,
    /// The same for earlier incarnations with the same name.
    past_crashes: Vec<(u64, Option<TaskKey>)>,
    /// When this incarnation was started, by its own wall clock; none if each incarnation has its
    /// own name.
    pub born_ms: Option<u64>,
    /// When this incarnation was started, in simulated time.
    pub started_ms: u64,
    /// When it replaced a crashed incarnation with another name.
    pub replaced_other_ms: u64,
    /// When it was first seen dead.
    died_ms: u64,
    /// Earlier CPU capacities, each with the time until which it applied.
    past_capacities: Vec<(u64, u32)>,
    /// The entry that it last wrote to the store, until it lapses.
    pub reported: Option<EndpointEntry>,
    next_report_ms: u64,
    last_report_ms: u64,
    reports: u64,
    /// It cannot reach the store until then.
    pub store_cut_until_ms: u64,
    /// Violations: starts beyond its capacity.
    overfilled: Vec<String>,
    /// Runs that a crash ended, until the other members of their gangs are ended.
    pub lost_runs: Vec<(TaskKey, Run)>,
    /// Tasks that were running at its crashes; once for each crash.
    pub running_at_crashes: Vec<TaskKey>,
    /// It has crashed, and a new incarnation has its address.
    pub replaced: bool,
    pub cut_until_ms: u64,
    /// Its crashes are noticed by its silence only.
    pub crashes_dark: bool,
    /// How long its answers to holds are on a congested link.
    pub answer_delay_ms: u64,
    /// Failure domain.
    pub domain: usize,
    pub fails_all: bool,
    /// Percentage of runs that fail.
    pub fail_percent: u64,
    /// Until then a fault makes more runs fail.
    pub faulty_until_ms: u64,
    /// Percentage of the runs that fail while the fault lasts.
    pub faulty_percent: u64,
    /// Until when it says that it is slow after its start.
    pub cold_until_ms: u64,
    /// Work takes between half of its estimate and twice of it.
    pub rough_estimates: bool,
    /// Speed of its work in percent of the normal speed.
    pub speed_percent: u64,
    pub rack: Option<String>,
    pub labels: BTreeSet<String>,
    pub running: BTreeMap<TaskKey, FakeRun>,
    pub starts: Vec<(u64, TaskKey, Run)>,
    /// Runs that are over, reported or not.
    pub past_runs: Vec<PastRun>,
    /// Starts that an undisturbed node ordered and that were not carried out late.
    pub starts_by_undisturbed_nodes: Vec<(u64, TaskKey, Run)>,
    /// Acknowledged ends for which the lease was valid until the acknowledgement, with their times.
    pub acknowledged_ends: Vec<(TaskKey, Run, EndReason, u64)>,
    /// All runs that it has reported as failed, acknowledged or not.
    pub failed: Vec<(TaskKey, Run)>,
    ended: Vec<EndedRun>,
    /// Maximum number of ends in a list; further ones are listed once these are acknowledged.
    pub max_listed_ends: usize,
    /// Times of ends by number; cleared when the lease lapses.
    ends_under_lease: BTreeMap<u64, u64>,
    next_end: u64,
    fence: u64,
    until_ms: u64,
    highest_barred_runs: BTreeMap<TaskKey, Run>,
    holds: Vec<WaitingHold>,
    clock_offset_ms: u64,
}

impl FakeEndpoint {
    pub fn new(number: usize, cpu_milli: u32) -> Self {
        Self {
            id: EndpointId(format!("endpoint-{number}")),
            address: format!("127.0.1.{number}:2"),
            cpu_milli,
            listed: true,
            draining: false,
            leaves_ms: None,
            dead: false,
            crashed: None,
            past_crashes: Vec::new(),
            born_ms: None,
            started_ms: 0,
            replaced_other_ms: 0,
            died_ms: 0,
            past_capacities: Vec::new(),
            reported: None,
            next_report_ms: 0,
            last_report_ms: 0,
            reports: 0,
            store_cut_until_ms: 0,
            overfilled: Vec::new(),
            lost_runs: Vec::new(),
            running_at_crashes: Vec::new(),
            replaced: false,
            cut_until_ms: 0,
            crashes_dark: false,
            answer_delay_ms: 0,
            domain: 0,
            fails_all: false,
            fail_percent: 2,
            faulty_until_ms: 0,
            faulty_percent: 0,
            cold_until_ms: 0,
            rough_estimates: false,
            speed_percent: 100,
            rack: None,
            labels: BTreeSet::new(),
            running: BTreeMap::new(),
            starts: Vec::new(),
            past_runs: Vec::new(),
            starts_by_undisturbed_nodes: Vec::new(),
            acknowledged_ends: Vec::new(),
            failed: Vec::new(),
            ended: Vec::new(),
            max_listed_ends: MAX_LISTED_ENDS,
            ends_under_lease: BTreeMap::new(),
            next_end: 1,
            fence: 0,
            until_ms: 0,
            highest_barred_runs: BTreeMap::new(),
            holds: Vec::new(),
            clock_offset_ms: number as u64 * 100_000,
        }
    }

    pub fn entry(&self, now: u64) -> EndpointEntry {
        EndpointEntry {
            id: self.id.clone(),
            address: self.address.clone(),
            service: "pool".to_owned(),
            domain: domain_name(self.domain),
            draining: self.draining,
            cpu_milli: self.cpu_milli,
            memory_mb: 16_000,
            gpus: 0,
            rack: self.rack.clone(),
            labels: self.labels.clone(),
            report: self.reports,
            born_ms: self.born_ms,
            remaining_ms: self.leaves_ms.map(|at_ms| at_ms.saturating_sub(now)),
            cold_left_ms: self.cold_until_ms.saturating_sub(now),
        }
    }

    /// Changes the CPU capacity from now on.
    pub fn resize(&mut self, now: u64, cpu_milli: u32) {
        self.past_capacities.push((now, self.cpu_milli));
        self.cpu_milli = cpu_milli;
    }

    /// Returns the CPU that starts may use. Capacity that was lost counts for `SHRINK_GRACE_MS`
    /// more, so that the endpoint has time to report the change.
    fn startable_cpu_milli(&self, now: u64) -> u32 {
        let past = self.past_capacities.iter();
        let recent = past.filter(|(until_ms, _)| until_ms + SHRINK_GRACE_MS > now);
        let recent = recent.map(|(_, cpu)| *cpu).max();
        recent.unwrap_or(0).max(self.cpu_milli)
    }

    /// Writes its entry to the store at each report interval; an entry lapses after three intervals
    /// without a write.
    pub fn write_report(&mut self, now: u64, store_down: bool) {
        let cut = store_down || self.dead || self.store_cut_until_ms > now;
        if now >= self.next_report_ms && !cut {
            self.next_report_ms = now + REPORT_INTERVAL_MS;
            self.last_report_ms = now;
            self.reports += 1;
            self.reported = Some(self.entry(now));
        }
        if now >= self.last_report_ms + 3 * REPORT_INTERVAL_MS && !store_down {
            self.reported = None;
        }
    }

    /// Returns the incarnation that replaces it after a crash, under a new name at the same
    /// address.
    pub fn next_incarnation(&self, number: usize) -> Self {
        Self {
            address: self.address.clone(),
            domain: self.domain,
            rack: self.rack.clone(),
            labels: self.labels.clone(),
            max_listed_ends: self.max_listed_ends,
            ..Self::new(number, self.cpu_milli)
        }
    }

    /// Restarts under the same name after a crash, without any earlier state and with numbering
    /// from the beginning.
    pub fn start_again(&mut self, now: u64, born_ms: u64, clock_offset_ms: u64) {
        self.dead = false;
        self.past_crashes.extend(self.crashed.take());
        self.past_capacities.clear();
        self.born_ms = Some(born_ms);
        self.started_ms = now;
        self.clock_offset_ms = clock_offset_ms;
        self.next_report_ms = now;
        self.reports = 0;
        self.ended.clear();
        self.ends_under_lease.clear();
        self.next_end = 1;
        self.fence = 0;
        self.until_ms = 0;
        self.highest_barred_runs.clear();
    }

    /// Returns the crashes of all its incarnations: when, and caused by which task.
    pub fn crashes(&self) -> impl Iterator<Item = (u64, Option<TaskKey>)> + '_ {
        self.past_crashes.iter().copied().chain(self.crashed)
    }

    /// Returns when a fault of it or of its connections was last in force.
    pub fn last_disturbed_ms(&self) -> u64 {
        let died_ms = if self.leaves_ms.is_some() {
            0
        } else {
            self.died_ms
        };
        let resized_ms = self.past_capacities.last().map_or(0, |(at_ms, _)| *at_ms);
        let times_ms = [
            self.cut_until_ms,
            self.store_cut_until_ms,
            self.faulty_until_ms,
            self.started_ms,
            self.replaced_other_ms,
            died_ms,
            resized_ms,
        ];
        times_ms.into_iter().max().unwrap_or(0)
    }

    /// Crashes: all runs are lost, and no ends are reported.
    pub fn crash(&mut self, now: u64, culprit: Option<TaskKey>) {
        if !self.dead {
            self.dead = true;
            self.crashed = Some((now, culprit));
            self.running_at_crashes.extend(self.running.keys().copied());
            let lost_runs = std::mem::take(&mut self.running);
            for (task, run) in &lost_runs {
                self.note_past(now, *task, run, None);
            }
            let lost_runs = lost_runs.into_iter();
            self.lost_runs = lost_runs.map(|(task, run)| (task, run.run)).collect();
        }
    }

    fn note_past(&mut self, now: u64, task: TaskKey, run: &FakeRun, how: Option<EndReason>) {
        self.past_runs.push(PastRun {
            task,
            run: run.run,
            begun_ms: run.begun_ms,
            ended_ms: now,
            how,
        });
    }

    fn listed_ends(&self) -> Vec<EndedRun> {
        let ended = self.ended.iter().take(self.max_listed_ends);
        ended.cloned().collect()
    }

    /// Returns the number of ends that are not acknowledged, listed or not.
    pub fn unacknowledged_ends(&self) -> usize {
        self.ended.len()
    }

    /// Returns its monotonic clock, which runs two percent slow and counts from its start plus an
    /// offset.
    fn clock(&self, now: u64) -> u64 {
        let age_ms = now - self.started_ms;
        age_ms - age_ms / 50 + self.clock_offset_ms
    }

    fn extend(&mut self, now: u64, until_ms: u64) {
        let until_ms = until_ms.min(self.clock(now) + LONGEST_LEASE_MS);
        self.until_ms = self.until_ms.max(until_ms);
    }

    fn end(&mut self, now: u64, task: TaskKey, run: Run, how: EndReason, checkpoint: String) {
        self.ends_under_lease.insert(self.next_end, now);
        if how == EndReason::Failed {
            self.failed.push((task, run));
        }
        self.ended.push(EndedRun {
            number: self.next_end,
            task,
            run,
            how,
            checkpoint,
        });
        self.next_end += 1;
    }

    pub fn advance(&mut self, now: u64, violations: &mut Vec<String>) {
        if !self.dead && self.leaves_ms.is_some_and(|at_ms| now >= at_ms) {
            self.crash(now, None);
            self.listed = false;
            self.replaced = true;
        }
        let culprit = self
            .running
            .iter()
            .find(|(_, run)| run.crashes_ms.is_some_and(|at_ms| now >= at_ms))
            .map(|(task, _)| *task);
        if culprit.is_some() {
            self.crash(now, culprit);
        }
        if self.dead {
            if self.died_ms <= self.started_ms {
                self.died_ms = now;
            }
            self.running.clear();
            return;
        }
        let lapsed = self.clock(now) >= self.until_ms;
        if lapsed {
            self.ends_under_lease.clear();
        }
        let due: Vec<(TaskKey, EndReason)> = self
            .running
            .iter()
            .filter_map(|(task, run)| {
                let how = if lapsed {
                    EndReason::Lapsed
                } else if run.broken {
                    EndReason::Broken
                } else if run.stops_ms.is_some_and(|at| now >= at) {
                    EndReason::Stopped
                } else if now >= run.ends_ms && (run.fails || self.fails_all) {
                    EndReason::Failed
                } else if now >= run.ends_ms {
                    EndReason::Done
                } else {
                    return None;
                };
                Some((*task, how))
            })
            .collect();
        for (task, how) in due {
            let ended = self.running.remove(&task).expect("listed");
            self.note_past(now, task, &ended, Some(how));
            let run = ended.run;
            let checkpoint = if how == EndReason::Stopped {
                ended.checkpoint(now)
            } else {
                String::new()
            };
            let barred = self.highest_barred_runs.entry(task).or_insert(0);
            *barred = (*barred).max(run);
            self.end(now, task, run, how, checkpoint);
        }
        let used: u32 = self.running.values().map(|run| run.cpu_milli).sum();
        let past = self.past_capacities.iter().map(|(_, cpu)| *cpu).max();
        let most = past.unwrap_or(0).max(self.cpu_milli);
        if used > most {
            violations.push(format!("{} runs {used} of {most} mCPU at {now}", self.id));
        }
        violations.append(&mut self.overfilled);
    }

    pub fn start(
        &mut self,
        now: u64,
        order: &StartOrder,
        spec: Option<&JobSpec>,
        faults: JobFaults,
        random: &mut Random,
    ) -> StartAnswer {
        if order.fence < self.fence {
            return StartAnswer::Refused(Refusal::Fence);
        }
        self.fence = order.fence;
        if self
            .running
            .get(&order.task)
            .is_some_and(|run| run.run == order.run)
        {
            return StartAnswer::Accepted;
        }
        let barred = self
            .highest_barred_runs
            .get(&order.task)
            .is_some_and(|run| *run >= order.run);
        if barred {
            self.extend(now, order.until_ms);
            return StartAnswer::Refused(Refusal::Old);
        }
        if self.clock(now) >= order.until_ms {
            return StartAnswer::Refused(Refusal::Late);
        }
        self.extend(now, order.until_ms);
        let step_name = order.task.to_string();
        let step_name = step_name.rsplit_once('.').map_or("", |(step, _)| step);
        if order
            .ticket
            .as_ref()
            .is_some_and(|ticket| ticket != step_name)
        {
            return StartAnswer::Refused(Refusal::Ticket);
        }
        let step = spec.and_then(|spec| spec.steps.get(order.task.step as usize));
        let estimate_ms = step.map_or(1_000, |step| step.estimate_ms);
        let work_ms = if self.rough_estimates {
            estimate_ms * work_percent(order.task.job) / 100
        } else {
            estimate_ms
        };
        let resumed_ms: Option<u64> = order.checkpoint.parse().ok();
        let left_ms = resumed_ms.map_or(work_ms, |saved_ms| {
            RESTORE_MS + work_ms.saturating_sub(saved_ms)
        });
        let saves = step.is_some_and(|step| step.checkpointing);
        let fail_percent = if now < self.faulty_until_ms {
            self.faulty_percent
        } else {
            faults.fail_percent.unwrap_or(self.fail_percent)
        };
        let fails = random.percent(fail_percent);
        let lasts = step.is_some_and(|step| step.long_running);
        let left_ms = if lasts && fails {
            left_ms.min(LASTING_FAILURE_MS)
        } else {
            left_ms
        };
        self.starts.push((now, order.task, order.run));
        let used: u32 = self.running.values().map(|run| run.cpu_milli).sum();
        let used = used + step.map_or(0, |step| step.cpu_milli);
        let startable_cpu_milli = self.startable_cpu_milli(now);
        if used > startable_cpu_milli {
            let task = order.task;
            let line = format!(
                "{task} fills {} to {used} of {startable_cpu_milli} mCPU at {now}",
                self.id
            );
            self.overfilled.push(line);
        }
        self.running.insert(
            order.task,
            FakeRun {
                run: order.run,
                cpu_milli: step.map_or(0, |step| step.cpu_milli),
                begun_ms: now,
                ends_ms: now + left_ms * 100 / self.speed_percent,
                saved_ms: saves.then_some(resumed_ms.unwrap_or(0)),
                fails,
                stops_ms: None,
                broken: false,
                crashes_ms: faults
                    .crashing
                    .filter(|crashing| crashing.index.is_none_or(|index| index == order.task.index))
                    .map(|crashing| now + crashing.after_ms),
            },
        );
        StartAnswer::Accepted
    }

    pub fn stop(&mut self, now: u64, order: &StopOrder) -> StopAnswer {
        if order.fence < self.fence {
            return StopAnswer::Fenced;
        }
        self.fence = order.fence;
        let barred = self.highest_barred_runs.entry(order.task).or_insert(0);
        *barred = (*barred).max(order.run);
        if let Some(run) = self
            .running
            .get_mut(&order.task)
            .filter(|run| run.run == order.run)
        {
            run.stops_ms.get_or_insert(now + STOP_MS);
        }
        StopAnswer::Accepted
    }

    pub fn hold(&mut self, now: u64, order: &HoldOrder, node: usize, term: u64, sent_ms: u64) {
        let endpoint = order.endpoint;
        if order.fence < self.fence {
            self.holds.push(WaitingHold {
                node,
                term,
                endpoint,
                sent_ms,
                timeout_ms: order.timeout_ms,
                arrived_ms: now,
                answer_by_ms: 0,
            });
            return;
        }
        self.fence = order.fence;
        if let Some(until_ms) = order.until_ms {
            if self.clock(now) < until_ms {
                self.extend(now, until_ms);
            }
        }
        for end in self
            .ended
            .iter()
            .filter(|end| end.number <= order.acknowledged)
        {
            if let Some(at_ms) = self.ends_under_lease.get(&end.number) {
                self.acknowledged_ends
                    .push((end.task, end.run, end.how, *at_ms));
            }
        }
        self.ended.retain(|end| end.number > order.acknowledged);
        self.holds.push(WaitingHold {
            node,
            term,
            endpoint,
            sent_ms,
            timeout_ms: order.timeout_ms,
            arrived_ms: now,
            answer_by_ms: now + order.wait_ms.max(1),
        });
    }

    /// Returns whether this incarnation has received a hold and answered it.
    pub fn has_answered(&self) -> bool {
        !self.dead && self.fence > 0 && self.holds.is_empty()
    }

    pub fn ready_holds(&mut self, now: u64) -> Vec<AnsweredHold> {
        // A crash breaks the connections of the holds that wait.
        if self.dead
            || self
                .holds
                .iter()
                .any(|hold| hold.arrived_ms < self.started_ms)
        {
            return self.broken_holds();
        }
        let any_end = !self.ended.is_empty();
        let (ready, waiting): (Vec<_>, Vec<_>) = self
            .holds
            .drain(..)
            .partition(|hold| any_end || now >= hold.answer_by_ms);
        self.holds = waiting;
        let cut = self.cut_until_ms > now;
        let report = HoldReport {
            born_ms: self.born_ms,
            clock_ms: self.clock(now),
            running: self
                .running
                .iter()
                .map(|(task, run)| RunningRun {
                    task: *task,
                    run: run.run,
                    checkpoint: String::new(),
                })
                .collect(),
            ended: self.listed_ends(),
            partial: false,
        };
        let answers = ready.into_iter().map(|hold| AnsweredHold {
            node: hold.node,
            term: hold.term,
            id: self.id.clone(),
            endpoint: hold.endpoint,
            sent_ms: hold.sent_ms,
            timeout_ms: hold.timeout_ms,
            delay_ms: self.answer_delay_ms,
            answer: if cut {
                HoldAnswer::Unanswered
            } else if hold.answer_by_ms == 0 {
                HoldAnswer::Fenced
            } else {
                HoldAnswer::Report(report.clone())
            },
        });
        answers.collect()
    }

    fn broken_holds(&mut self) -> Vec<AnsweredHold> {
        let broken = std::mem::take(&mut self.holds).into_iter();
        // A dark endpoint closes no connection.
        let delay_ms = if self.crashes_dark { HOURS_MS } else { 0 };
        let answers = broken.map(|hold| AnsweredHold {
            node: hold.node,
            term: hold.term,
            id: self.id.clone(),
            endpoint: hold.endpoint,
            sent_ms: hold.sent_ms,
            timeout_ms: hold.timeout_ms,
            delay_ms,
            answer: HoldAnswer::Unanswered,
        });
        answers.collect()
    }
}

/// Returns the work of a job's tasks in percent of its estimate, which is off by up to a factor of
/// two.
pub fn work_percent(job: JobId) -> u64 {
    const PERCENT: [u64; 5] = [50, 71, 100, 141, 200];
    PERCENT[usize::try_from(job.0 % 5).expect("small")]
}

/// Returns the name of a failure domain.
pub fn domain_name(domain: usize) -> String {
    format!("domain-{domain}")
}
