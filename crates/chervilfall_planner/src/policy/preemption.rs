//! Which runs are paused so that a gang of a more urgent queue has room.
//!
//! All members of a gang need room at the same time, and work that can wait takes every hole as it opens. A
//! run that saves checkpoints loses nothing by a pause but the time to restore, so it gives way while its job
//! has time to spare.

use crate::endpoint::{EndpointKey, Room};
use crate::ids::{Millis, Run, TaskKey};
use crate::tasks::Job;

/// Pauses of one task at most: each costs the time to restore.
const MOST_PAUSES: u32 = 2;
/// Part of a job's objective, as a divisor, in which its runs give way. The rest is left for a second start,
/// and for estimates that are off by a factor of two.
const YIELD_PART: Millis = 2;

/// What a run gives way to, and until when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Yield {
    priority: u32,
    until_ms: Millis,
}

impl Yield {
    /// Returns whether a run of a job, which is `age_ms` old, gives way; `pauses` is how often its task has.
    pub(crate) fn of(job: &Job, key: TaskKey, now: Millis, age_ms: Millis) -> Option<Self> {
        let step = job.spec.steps.get(key.step as usize)?;
        let pauses = job.task(key)?.pauses;
        let lasts = step.long_running || step.fills;
        if !step.checkpointing || step.gang || lasts || pauses >= MOST_PAUSES {
            return None;
        }
        let patient_ms = job.objective_ms / YIELD_PART;
        Some(Self {
            priority: job.queue.priority,
            until_ms: now + patient_ms.checked_sub(age_ms)?,
        })
    }

    /// Returns whether the run gives way to work of a queue now.
    pub(crate) const fn to(self, priority: u32, now: Millis) -> bool {
        self.priority > priority && now < self.until_ms
    }
}

/// A run that can be paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Pausable {
    pub(crate) task: TaskKey,
    pub(crate) run: Run,
    pub(crate) room: Room,
}

/// An endpoint on which room can be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Host {
    pub(crate) endpoint: EndpointKey,
    pub(crate) free: Room,
    /// Most tasks that it may be given.
    pub(crate) most: u32,
    /// Runs that can be paused, in the order of preference.
    pub(crate) runs: Vec<Pausable>,
}

impl Host {
    fn fits(&self, need: Room) -> u32 {
        self.free.fits(need).min(self.most)
    }

    /// Returns how many of its runs to pause so that one more task fits, and the processor that these use.
    fn price(&self, need: Room, placed: u32) -> Option<(u32, usize)> {
        let mut free = self.free;
        let mut cpu_milli = 0;
        for (position, run) in self.runs.iter().enumerate() {
            free = free.add(run.room);
            cpu_milli += run.room.cpu_milli;
            if free.fits(need).min(self.most) > placed {
                return Some((cpu_milli, position + 1));
            }
        }
        None
    }
}

/// How room is made.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Plan {
    /// Tasks that each endpoint is to be given.
    pub(crate) places: Vec<(EndpointKey, u32)>,
    /// Runs to pause.
    pub(crate) pauses: Vec<(EndpointKey, Pausable)>,
}

/// Returns how to make room for `count` tasks at once, with little processor taken from what runs; none if
/// there is not enough to be had.
pub(crate) fn plan(mut hosts: Vec<Host>, need: Room, count: u32) -> Option<Plan> {
    let mut placed: Vec<u32> = hosts.iter().map(|host| host.fits(need)).collect();
    let mut left = count;
    for fits in &mut placed {
        *fits = (*fits).min(left);
        left -= *fits;
    }
    let mut plan = Plan::default();
    while left > 0 {
        let priced = hosts.iter().zip(&placed).enumerate();
        let priced = priced.filter_map(|(number, (host, placed))| {
            host.price(need, *placed)
                .map(|(cpu_milli, runs)| (cpu_milli, number, runs))
        });
        let (_, number, runs) = priced.min()?;
        let host = &mut hosts[number];
        for run in host.runs.drain(..runs) {
            host.free = host.free.add(run.room);
            plan.pauses.push((host.endpoint, run));
        }
        let more = (host.fits(need) - placed[number]).min(left);
        placed[number] += more;
        left -= more;
    }
    let places = hosts.iter().zip(placed).filter(|(_, count)| *count > 0);
    plan.places = places.map(|(host, count)| (host.endpoint, count)).collect();
    Some(plan)
}
