//! Check that no accepted job stands still while there is room for it.
//!
//! It judges what endpoints run and have ended, and never looks into a planner. A job stands still
//! if for `STANDSTILL_MS` nothing of it runs although the turn of a task has come and there is room
//! for that task twice over; a task that lasts stands still by itself. Only calm times count.
//! Standstills beside much other work and shortly after takeovers are kept apart.
//!
//! Left out are jobs that need not be done: cancelled ones, and ones that a caller may be told have
//! failed, because a task has used up its attempts or has crashed endpoints.

use std::collections::{BTreeMap, BTreeSet};

use chervilfall_planner::{EndReason, EndpointId, JobId, JobSpec, Queue, Resources, Step, TaskKey};

use super::endpoint::FakeEndpoint;
use super::{oracle, World, START_UNIX_MS};

/// How long a job may have nothing running while there is room for it twice over.
const STANDSTILL_MS: u64 = 3_000;
/// Time without faults before a standstill counts.
const CALM_MS: u64 = 4_000;
/// Time after the end of its last run from which a task that lasts has to run again.
const LASTING_RESTART_MS: u64 = 6_000;
/// How many times over there has to be room.
const TIMES_OVER: u64 = 2;
/// Time between two checks.
const CHECK_INTERVAL_MS: u64 = 100;
/// Number of crashes under a task from which its job may be given up, whatever caused them.
const GIVEN_UP_CRASHES: usize = 2;

/// Maximum number of endpoints that a violation names.
const MAX_NAMED_ENDPOINTS: usize = 4;

/// What stands still: a job, or a task that lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Job(JobId),
    LastingTask(TaskKey),
}

/// When a subject stands still.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// While more than half of the capacity is free.
    BesideFreeCapacity,
    /// While half of the capacity or more is in use at times.
    BesideOthers,
    /// While a new holder may have to wait for leases that an earlier one has granted.
    AfterTakeover,
}

/// All kinds, the narrowest first: a standstill of one kind also counts as each kind after it.
const KINDS: [Kind; 3] = [
    Kind::BesideFreeCapacity,
    Kind::BesideOthers,
    Kind::AfterTakeover,
];

/// A subject that has stood still for too long.
struct Violation {
    kind: Kind,
    line: String,
}

/// A subject that could have run at every check since a moment.
#[derive(Debug, Default)]
struct Standing {
    /// Since when it has stood still in a way that counts as a kind or as one before it.
    since_ms: BTreeMap<Kind, u64>,
    /// The kind as which it has been found.
    found: Option<Kind>,
}

impl Standing {
    /// Notes that it stands still now, as a kind.
    fn note(&mut self, now: u64, kind: Kind) {
        self.since_ms.retain(|other, _| *other >= kind);
        for other in KINDS.into_iter().filter(|other| *other >= kind) {
            self.since_ms.entry(other).or_insert(now);
        }
    }

    /// Notes that a run ended: it stands still at the earliest since then.
    fn note_end(&mut self, end_ms: u64) {
        for since_ms in self.since_ms.values_mut() {
            *since_ms = end_ms.max(*since_ms);
        }
    }

    /// Returns the first kind as which it has stood still for too long, and since when, unless it
    /// has been found as that kind or as one before it.
    fn find(&mut self, now: u64) -> Option<(Kind, u64)> {
        let mut since_ms = self.since_ms.iter();
        let (kind, since_ms) = since_ms.find(|(_, at_ms)| **at_ms + STANDSTILL_MS <= now)?;
        if self.found.is_some_and(|found| found <= *kind) {
            return None;
        }
        self.found = Some(*kind);
        Some((*kind, *since_ms))
    }
}

/// Room for the tasks of a step.
#[derive(Debug, Default)]
struct Room {
    places: u64,
    endpoints: Vec<EndpointId>,
}

impl Room {
    /// Returns the names of the first endpoints.
    fn first_endpoints(&self) -> String {
        let names = self.endpoints.iter().take(MAX_NAMED_ENDPOINTS);
        let names: Vec<&str> = names.map(|id| id.0.as_str()).collect();
        names.join(", ")
    }
}

/// How a job was submitted.
#[derive(Debug)]
struct Submission {
    queue: Queue,
    account: Option<String>,
}

/// How many entries of an endpoint's lists have been read.
#[derive(Debug, Default)]
struct ReadEntries {
    past_runs: usize,
    acknowledged_ends: usize,
}

/// What runs and what may be used at a check.
#[derive(Debug, Default)]
struct Usage {
    running_jobs: BTreeSet<JobId>,
    running_tasks: BTreeSet<TaskKey>,
    /// Tasks of a step on an endpoint.
    tasks_of_steps: BTreeMap<(EndpointId, JobId, u32, u16), u64>,
    /// Free resources of the endpoints that accept work.
    free: BTreeMap<EndpointId, Resources>,
    used_by_accounts: BTreeMap<String, Resources>,
    used_milli: u64,
    capacity_milli: u64,
}

/// The check, with what it has learned about ends and faults.
#[derive(Debug, Default)]
pub struct Standstill {
    next_check_ms: u64,
    /// When a fault was last in force.
    disturbed_ms: u64,
    submissions: BTreeMap<JobId, Submission>,
    read: BTreeMap<EndpointId, ReadEntries>,
    /// Tasks with a run that ended as done, acknowledged or not.
    done: BTreeSet<TaskKey>,
    /// Tasks whose end as done was acknowledged.
    acknowledged: BTreeSet<TaskKey>,
    last_ends_ms: BTreeMap<TaskKey, u64>,
    last_job_ends_ms: BTreeMap<JobId, u64>,
    /// Jobs whose tasks are all done.
    ended: BTreeSet<JobId>,
    standing: BTreeMap<Subject, Standing>,
    /// Standstills of the kinds that are not among the world's violations.
    others: BTreeMap<Kind, Vec<String>>,
}

impl Standstill {
    /// Notes how a job is submitted.
    pub fn note_submission(&mut self, id: JobId, queue: &Queue, account: Option<&str>) {
        let submission = Submission {
            queue: queue.clone(),
            account: account.map(str::to_owned),
        };
        self.submissions.insert(id, submission);
    }

    /// Checks all open jobs if a check is due.
    pub fn check(&mut self, world: &mut World) {
        if world.now < self.next_check_ms {
            return;
        }
        self.next_check_ms = world.now + CHECK_INTERVAL_MS;
        self.read_ends(&world.endpoints);
        self.disturbed_ms = self.disturbed_ms.max(world.last_disturbed_ms());
        if world.now < self.disturbed_ms + CALM_MS {
            self.standing.clear();
            return;
        }
        let usage = self.usage(world);
        let open = world.accepted.difference(&world.cancelled);
        let open: Vec<JobId> = open
            .filter(|id| !self.ended.contains(id))
            .copied()
            .collect();
        let mut violations = Vec::new();
        for id in open {
            violations.extend(self.check_job(world, &usage, id));
        }
        for Violation { kind, line } in violations {
            if kind == Kind::BesideFreeCapacity {
                world.violations.push(line);
            } else {
                self.others.entry(kind).or_default().push(line);
            }
        }
    }

    /// Returns the standstills of a kind that is not among the world's violations.
    pub fn of_kind(&self, kind: Kind) -> &[String] {
        self.others.get(&kind).map_or(&[], Vec::as_slice)
    }

    fn read_ends(&mut self, endpoints: &BTreeMap<EndpointId, FakeEndpoint>) {
        for endpoint in endpoints.values() {
            let read = self.read.entry(endpoint.id.clone()).or_default();
            for past in &endpoint.past_runs[read.past_runs..] {
                self.last_ends_ms.insert(past.task, past.ended_ms);
                self.last_job_ends_ms.insert(past.task.job, past.ended_ms);
                if past.how == Some(EndReason::Done) {
                    self.done.insert(past.task);
                }
            }
            for (task, _, how, _) in &endpoint.acknowledged_ends[read.acknowledged_ends..] {
                if *how == EndReason::Done {
                    self.acknowledged.insert(*task);
                }
            }
            read.past_runs = endpoint.past_runs.len();
            read.acknowledged_ends = endpoint.acknowledged_ends.len();
        }
    }

    fn usage(&self, world: &World) -> Usage {
        let mut usage = Usage::default();
        for endpoint in world.endpoints.values().filter(|endpoint| !endpoint.dead) {
            let mut used = Resources::default();
            for task in endpoint.running.keys() {
                usage.running_jobs.insert(task.job);
                usage.running_tasks.insert(*task);
                let place = (endpoint.id.clone(), task.job, task.occurrence, task.step);
                *usage.tasks_of_steps.entry(place).or_default() += 1;
                let Some(step) = step_of(&world.jobs, *task) else {
                    continue;
                };
                used = sum(used, reserved_by(step), 1);
                let submission = self.submissions.get(&task.job);
                if let Some(account) = submission.and_then(|job| job.account.clone()) {
                    let of_account = usage.used_by_accounts.entry(account).or_default();
                    *of_account = sum(*of_account, requested_by(step), 1);
                }
            }
            let entry = endpoint.entry(world.now);
            let evacuated = world.evacuated.contains(&entry.domain);
            if !endpoint.listed || endpoint.draining || evacuated {
                continue;
            }
            usage.used_milli += used.cpu_milli;
            usage.capacity_milli += u64::from(endpoint.cpu_milli);
            let free = Resources {
                cpu_milli: u64::from(entry.cpu_milli).saturating_sub(used.cpu_milli),
                memory_mb: u64::from(entry.memory_mb).saturating_sub(used.memory_mb),
                gpus: u64::from(entry.gpus).saturating_sub(used.gpus),
            };
            usage.free.insert(endpoint.id.clone(), free);
        }
        usage
    }

    fn check_job(&mut self, world: &World, usage: &Usage, id: JobId) -> Vec<Violation> {
        let spec = &world.jobs[&id];
        let mut violations = Vec::new();
        let mut job_could_run = None;
        let mut all_done = true;
        for occurrence in 0..spec.occurrences() {
            let due = spec.due_unix_ms(occurrence) <= START_UNIX_MS + world.now;
            for (number, step) in (0..).zip(&spec.steps) {
                let first = TaskKey {
                    job: id,
                    occurrence,
                    step: number,
                    index: 0,
                };
                let left = self.tasks_left(step, first);
                all_done &= left.is_empty();
                if left.is_empty() || !due || !self.has_turn(spec, first) {
                    continue;
                }
                let room = self.room(world, usage, first, step);
                let wanted = u64::from(if step.gang { step.count } else { 1 });
                let fits = room.places >= TIMES_OVER * wanted
                    && self.fits_quota(world, usage, id, step, wanted);
                let line = format!(
                    "wants {wanted} places, {} places on {} endpoints ({})",
                    room.places,
                    room.endpoints.len(),
                    room.first_endpoints()
                );
                if step.long_running {
                    for task in left {
                        let stands = fits && !usage.running_tasks.contains(&task);
                        let subject = Subject::LastingTask(task);
                        violations.extend(self.judge(world, usage, subject, stands, task, &line));
                    }
                } else if fits {
                    job_could_run = job_could_run.or(left.first().map(|task| (*task, line)));
                }
            }
        }
        if all_done {
            self.ended.insert(id);
        }
        let job_could_run = job_could_run.filter(|_| !usage.running_jobs.contains(&id));
        let subject = Subject::Job(id);
        match job_could_run {
            Some((task, line)) => {
                violations.extend(self.judge(world, usage, subject, true, task, &line));
            }
            None => {
                self.standing.remove(&subject);
            }
        }
        violations
    }

    /// Returns the tasks of a step that are not done. One end as done stands for a whole gang, and
    /// tasks that last are never done.
    fn tasks_left(&self, step: &Step, first: TaskKey) -> Vec<TaskKey> {
        let tasks = (0..step.count).map(|index| TaskKey { index, ..first });
        if step.long_running {
            return tasks.collect();
        }
        let left = tasks.clone().filter(|task| !self.done.contains(task));
        let left: Vec<TaskKey> = left.collect();
        if step.gang && left.len() < tasks.len() {
            return Vec::new();
        }
        left
    }

    /// Returns whether the ends of all tasks that a step comes after are acknowledged.
    fn has_turn(&self, spec: &JobSpec, first: TaskKey) -> bool {
        let step = &spec.steps[usize::from(first.step)];
        step.after.iter().all(|number| {
            let earlier = &spec.steps[usize::from(*number)];
            let mut tasks = (0..earlier.count).map(|index| TaskKey {
                step: *number,
                index,
                ..first
            });
            let acknowledged = |task| self.acknowledged.contains(&task);
            if earlier.gang {
                tasks.any(acknowledged)
            } else {
                tasks.all(acknowledged)
            }
        })
    }

    /// Counts the places for tasks of a step, endpoint by endpoint.
    fn room(&self, world: &World, usage: &Usage, first: TaskKey, step: &Step) -> Room {
        let needs_advice = self
            .submissions
            .get(&first.job)
            .is_some_and(|submission| submission.queue.advice.is_some());
        let name = format!("{}.{}.{}", first.job, first.occurrence, first.step);
        let mut room = Room::default();
        for (id, free) in &usage.free {
            let labels = &world.endpoints[id].labels;
            let has_label = step
                .required_label
                .as_ref()
                .is_none_or(|label| labels.contains(label));
            if !has_label || (needs_advice && !world.is_endpoint_allowed(&name, id)) {
                continue;
            }
            let key = (id.clone(), first.job, first.occurrence, first.step);
            let own = usage.tasks_of_steps.get(&key).copied().unwrap_or(0);
            let allowed = match step.max_per_endpoint {
                0 => u64::MAX,
                most => u64::from(most).saturating_sub(own),
            };
            let places = fitting(*free, reserved_by(step)).min(allowed);
            room.places = room.places.saturating_add(places);
            if places > 0 {
                room.endpoints.push(id.clone());
            }
        }
        room
    }

    /// Returns whether the quota of the job's account has room for the tasks twice over.
    fn fits_quota(&self, world: &World, usage: &Usage, id: JobId, step: &Step, tasks: u64) -> bool {
        let submission = self.submissions.get(&id);
        let Some(name) = submission.and_then(|submission| submission.account.as_ref()) else {
            return true;
        };
        let Some(account) = world.config.accounts.get(name) else {
            return true;
        };
        let used = usage.used_by_accounts.get(name).copied();
        let used = sum(
            used.unwrap_or_default(),
            requested_by(step),
            TIMES_OVER * tasks,
        );
        let within = |used: u64, quota: u64| quota == 0 || used <= quota;
        within(used.cpu_milli, account.quota.cpu_milli)
            && within(used.memory_mb, account.quota.memory_mb)
            && within(used.gpus, account.quota.gpus)
    }

    /// Notes whether a subject stands now; returns a violation if it has stood for too long.
    fn judge(
        &mut self,
        world: &World,
        usage: &Usage,
        subject: Subject,
        stands: bool,
        task: TaskKey,
        line: &str,
    ) -> Option<Violation> {
        if !stands {
            self.standing.remove(&subject);
            return None;
        }
        let last_end_ms = match subject {
            Subject::Job(id) => self.last_job_ends_ms.get(&id).copied(),
            Subject::LastingTask(task) => {
                let end_ms = self.last_ends_ms.get(&task);
                end_ms.map(|at_ms| at_ms + LASTING_RESTART_MS)
            }
        };
        let kind = if world.taken_over_ms + world.limits.claim_cover_ms > world.now {
            Kind::AfterTakeover
        } else if 2 * usage.used_milli >= usage.capacity_milli {
            Kind::BesideOthers
        } else {
            Kind::BesideFreeCapacity
        };
        let standing = self.standing.entry(subject).or_default();
        standing.note(world.now, kind);
        // A run may have begun and ended between two checks.
        standing.note_end(last_end_ms.unwrap_or(0));
        let (kind, since_ms) = standing.find(world.now)?;
        if may_be_given_up(world, task.job) {
            return None;
        }
        let what = match subject {
            Subject::Job(_) => "job",
            Subject::LastingTask(_) => "lasting task",
        };
        let step = step_of(&world.jobs, task);
        let line = format!(
            "{task} {what} stands still since {since_ms}, at {}: {line}, {} of {} mCPU in use, {step:?}",
            world.now, usage.used_milli, usage.capacity_milli
        );
        Some(Violation { kind, line })
    }
}

/// Returns whether callers may be told that a job has failed, so that it need not run any more.
fn may_be_given_up(world: &World, id: JobId) -> bool {
    let configured = world.config.queues.get(&world.queue.name);
    let configured = configured.map_or(u32::MAX, |queue| queue.attempts);
    let attempts = world.queue.attempts.min(configured) as usize;
    oracle::has_used_attempts(&world.endpoints, &world.jobs, id, attempts)
        || world.crashing.contains_key(&id)
        || oracle::max_crashes_under(&world.endpoints, id) >= GIVEN_UP_CRASHES
}

fn step_of(jobs: &BTreeMap<JobId, JobSpec>, task: TaskKey) -> Option<&Step> {
    jobs.get(&task.job)?.steps.get(usize::from(task.step))
}

fn requested_by(step: &Step) -> Resources {
    Resources {
        cpu_milli: step.cpu_milli.into(),
        memory_mb: step.memory_mb.into(),
        gpus: step.gpus.into(),
    }
}

/// Returns what a task reserves on its endpoint: no CPU if it only uses what others leave over.
fn reserved_by(step: &Step) -> Resources {
    let requested = requested_by(step);
    Resources {
        cpu_milli: if step.fills { 0 } else { requested.cpu_milli },
        ..requested
    }
}

fn sum(used: Resources, task: Resources, tasks: u64) -> Resources {
    Resources {
        cpu_milli: used.cpu_milli + tasks * task.cpu_milli,
        memory_mb: used.memory_mb + tasks * task.memory_mb,
        gpus: used.gpus + tasks * task.gpus,
    }
}

/// Returns how many tasks fit into free resources.
fn fitting(free: Resources, task: Resources) -> u64 {
    let by = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
    by(free.cpu_milli, task.cpu_milli)
        .min(by(free.memory_mb, task.memory_mb))
        .min(by(free.gpus, task.gpus))
}
