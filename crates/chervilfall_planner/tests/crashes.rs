//! Tasks that crash the endpoints that run them.
//!
//! Guards against this failure: two jobs crashed 222 endpoints in 130 s, one after the other, and
//! with each of them five to thirteen runs of other jobs were lost and restarted. Only runs that an
//! endpoint reports as failed counted against a task, and a crashed endpoint reports nothing. A run
//! that was lost with its endpoint was queued again as if it had never run, and its task was
//! started elsewhere once the leases had lapsed, every 2.8 s.
//!
//! A task that has lost some endpoints gets one without runs of other jobs, and is given up when it
//! has crashed such endpoints too. Other tasks of a crashed endpoint continue elsewhere: a sound
//! job is never reported as failed.

mod world;

use chervilfall_planner::{Answer, Asker, JobId, JobSpec, JobState, Request, Step, TaskKey};
use world::endpoint::CrashBehavior;
use world::{step, World};

/// Id of the job that crashes endpoints.
const CRASHING_JOB: u64 = 1;
/// First id of the sound jobs, whose tasks crash no endpoint.
const FIRST_SOUND_JOB: u64 = 100;
/// Time within which a task that crashes its endpoints must be given up: five times the lapse of a
/// lease and a read of the endpoint list.
const GIVEN_UP_MS: u64 = 40_000;
/// Time within which sound jobs must complete.
const DONE_MS: u64 = 40_000;

fn job(steps: Vec<Step>) -> JobSpec {
    JobSpec {
        spec: "text".to_owned(),
        steps,
        ..JobSpec::default()
    }
}

/// How crashed endpoints are replaced.
#[derive(Debug, Clone, Copy)]
enum RestartMode {
    /// Under a new name.
    Renamed,
    /// Under the same name, after this many milliseconds.
    SameName(u64),
}

const RESTART_MODES: [RestartMode; 4] = [
    RestartMode::Renamed,
    RestartMode::SameName(300),
    RestartMode::SameName(1_500),
    RestartMode::SameName(4_000),
];

fn ready_world(seed: u64, restart_mode: RestartMode) -> World {
    let mut world = World::new(3, 12, seed);
    if let RestartMode::SameName(after_ms) = restart_mode {
        world.keep_names();
        world.restart_delay_ms = after_ms;
    }
    world.run(1_500);
    world
}

fn state(world: &mut World, id: u64) -> Answer {
    world.ask(Request::State {
        id: JobId(id),
        asker: Asker::default(),
    })
}

/// Submits a short sound job, and returns the id of the next one.
fn submit_sound(world: &mut World, id: u64) -> u64 {
    let work_ms = 200 + world.random.below(1_500);
    world.submit(id, job(vec![step(2, work_ms)]));
    id + 1
}

/// Panics unless every accepted sound job completes in time. A job that has used its attempts,
/// according to the failures that endpoints have reported, may have failed.
fn assert_sound_jobs_done(world: &mut World, name: &str) {
    let end = world.now + DONE_MS;
    let mut left: Vec<JobId> = world.accepted.iter().copied().collect();
    left.retain(|id| id.0 >= FIRST_SOUND_JOB);
    while !left.is_empty() {
        assert!(world.now < end, "{name}: not completed: {left:?}");
        let mut waiting = Vec::new();
        for id in left {
            match world.ask(Request::State {
                id,
                asker: Asker::default(),
            }) {
                Answer::State(JobState::Completed) => {}
                Answer::State(JobState::Failed) => {
                    assert!(
                        world.has_used_attempts(id),
                        "{name}: job {id} reported as failed"
                    );
                }
                _ => waiting.push(id),
            }
        }
        left = waiting;
        world.run(200);
    }
    world.check_history();
    assert_eq!(world.violations, Vec::<String>::new(), "{name}");
}

/// A fault at the time of the crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConcurrentFault {
    Nothing,
    /// The holder's process is killed after each crash, before any node has detected it.
    HolderKilled,
    /// The holder's process is killed after every second start, so that the crash falls into the
    /// takeover.
    HolderKilledAtStarts,
    /// The holder is frozen after each crash, for longer than a takeover takes.
    HolderFrozen,
    /// Some answers of the store are lost.
    StoreLosesAnswers,
    /// Some orders arrive late.
    LateOrders,
}

fn inject_fault(
    world: &mut World,
    concurrent_fault: ConcurrentFault,
    before: (usize, usize),
    now: (usize, usize),
) {
    let Some(holder) = world.holder() else {
        return;
    };
    let (started, crashed) = (now.0 > before.0, now.1 > before.1);
    match concurrent_fault {
        ConcurrentFault::HolderKilled if crashed => world.kill(holder),
        // The next holder is spared so that it can store something: starts that are never stored
        // cannot be counted.
        ConcurrentFault::HolderKilledAtStarts if started && now.0 % 2 == 0 => world.kill(holder),
        ConcurrentFault::HolderFrozen if crashed => {
            world.nodes[holder].frozen_until_ms = world.now + 4_000;
        }
        ConcurrentFault::StoreLosesAnswers => world.store.lost_answer_percent = 30,
        ConcurrentFault::LateOrders => world.late_percent = 30,
        _ => {}
    }
}

/// A task that crashes endpoints, and a fault at the time of the crashes.
struct CrashCase {
    name: &'static str,
    step: Step,
    crashing: CrashBehavior,
    concurrent_fault: ConcurrentFault,
}

fn crash_cases() -> Vec<CrashCase> {
    let at_once = CrashBehavior {
        after_ms: 10,
        index: None,
    };
    let after = |after_ms| CrashBehavior {
        after_ms,
        index: None,
    };
    let only = |index| CrashBehavior {
        after_ms: 10,
        index: Some(index),
    };
    let gang = Step {
        gang: true,
        ..step(5, 2_000)
    };
    let long_running = Step {
        long_running: true,
        ..step(2, 600_000)
    };
    let crash_at_once = |name, concurrent_fault| CrashCase {
        name,
        step: step(1, 2_000),
        crashing: at_once,
        concurrent_fault,
    };
    vec![
        crash_at_once("at the start", ConcurrentFault::Nothing),
        crash_at_once(
            "holder killed after each crash",
            ConcurrentFault::HolderKilled,
        ),
        crash_at_once(
            "holder killed after each second start",
            ConcurrentFault::HolderKilledAtStarts,
        ),
        crash_at_once(
            "holder frozen after each crash",
            ConcurrentFault::HolderFrozen,
        ),
        crash_at_once("store answers lost", ConcurrentFault::StoreLosesAnswers),
        crash_at_once("orders arrive late", ConcurrentFault::LateOrders),
        CrashCase {
            name: "after a while",
            step: step(1, 2_000),
            crashing: after(400),
            concurrent_fault: ConcurrentFault::Nothing,
        },
        CrashCase {
            name: "shortly before its end",
            step: step(1, 4_000),
            crashing: after(3_500),
            concurrent_fault: ConcurrentFault::Nothing,
        },
        CrashCase {
            name: "one task of a step",
            step: step(4, 1_000),
            crashing: only(2),
            concurrent_fault: ConcurrentFault::Nothing,
        },
        CrashCase {
            name: "all tasks of a step",
            step: step(3, 1_000),
            crashing: at_once,
            concurrent_fault: ConcurrentFault::Nothing,
        },
        CrashCase {
            name: "one member of a gang",
            step: gang.clone(),
            crashing: only(3),
            concurrent_fault: ConcurrentFault::Nothing,
        },
        CrashCase {
            name: "all members of a gang",
            step: gang,
            crashing: at_once,
            concurrent_fault: ConcurrentFault::Nothing,
        },
        CrashCase {
            name: "a long-running task",
            step: long_running.clone(),
            crashing: at_once,
            concurrent_fault: ConcurrentFault::Nothing,
        },
        CrashCase {
            name: "a long-running task, after a while",
            step: long_running,
            crashing: after(3_000),
            concurrent_fault: ConcurrentFault::Nothing,
        },
    ]
}

#[test]
fn a_task_that_crashes_its_endpoints_is_given_up() {
    for case in crash_cases() {
        for restart_mode in RESTART_MODES {
            assert_given_up(&case, restart_mode);
        }
    }
}

fn assert_given_up(case: &CrashCase, restart_mode: RestartMode) {
    let name = format!("{}, {restart_mode:?}", case.name);
    let mut world = ready_world(11, restart_mode);
    world.crashing.insert(JobId(CRASHING_JOB), case.crashing);
    let accepted = world.submit(CRASHING_JOB, job(vec![case.step.clone()]));
    assert_eq!(accepted, Answer::Accepted, "{name}");
    let end = world.now + GIVEN_UP_MS;
    let (mut sound, mut before) = (FIRST_SOUND_JOB, (0, 0));
    while state(&mut world, CRASHING_JOB) != Answer::State(JobState::Failed) {
        assert!(world.now < end, "{name}: not given up");
        if world.random.percent(30) {
            sound = submit_sound(&mut world, sound);
        }
        let seen = world.starts_and_crashes_of(JobId(CRASHING_JOB));
        inject_fault(&mut world, case.concurrent_fault, before, seen);
        before = seen;
        world.run(50);
    }
    world.store.lost_answer_percent = 0;
    world.late_percent = 0;
    assert_sound_jobs_done(&mut world, &name);
}

#[test]
fn a_given_up_job_stays_failed_and_is_not_started_again() {
    let mut world = ready_world(5, RestartMode::Renamed);
    let crashing = CrashBehavior {
        after_ms: 10,
        index: None,
    };
    world.crashing.insert(JobId(CRASHING_JOB), crashing);
    world.submit(CRASHING_JOB, job(vec![step(1, 2_000)]));
    let end = world.now + GIVEN_UP_MS;
    while state(&mut world, CRASHING_JOB) != Answer::State(JobState::Failed) {
        assert!(world.now < end, "not given up");
        world.run(50);
    }
    let before = world.starts_and_crashes_of(JobId(CRASHING_JOB));
    let holder = world.holder().expect("a holder");
    world.kill(holder);
    world.run(15_000);
    assert_eq!(
        state(&mut world, CRASHING_JOB),
        Answer::State(JobState::Failed)
    );
    assert_eq!(world.starts_and_crashes_of(JobId(CRASHING_JOB)), before);
}

/// A sound job, and a fault of its endpoints that recurs while it runs.
struct EndpointFaultCase {
    name: &'static str,
    spec: JobSpec,
    every_ms: u64,
    inject_fault: fn(&mut World),
}

fn crash_rack(world: &mut World) {
    let first = world.random.below(10);
    let first = usize::try_from(first).expect("small");
    let now = world.now;
    let alive = world
        .endpoints
        .values_mut()
        .filter(|endpoint| !endpoint.dead);
    for endpoint in alive.skip(first).take(3) {
        endpoint.crash(now, None);
    }
}

/// Crashes the endpoints that have run the job for a second, up to three times. One more crash
/// could not be distinguished from a task that causes them.
fn crash_endpoints_running_job(world: &mut World) {
    let now = world.now;
    if world.max_crashes_under(JobId(FIRST_SOUND_JOB)) >= 3 {
        return;
    }
    for endpoint in world.endpoints.values_mut() {
        let hit = endpoint
            .running
            .iter()
            .any(|(task, run)| task.job == JobId(FIRST_SOUND_JOB) && now >= run.begun_ms + 1_000);
        if hit {
            endpoint.crash(now, None);
        }
    }
}

fn cut_off_endpoints(world: &mut World) {
    let until_ms = world.now + 5_000;
    let first = usize::try_from(world.random.below(9)).expect("small");
    for endpoint in world.endpoints.values_mut().skip(first).take(3) {
        endpoint.cut_until_ms = until_ms;
    }
}

fn drain_and_remove_endpoints(world: &mut World) {
    let now = world.now;
    let gone = world
        .endpoints
        .values_mut()
        .filter(|endpoint| endpoint.draining);
    for endpoint in gone {
        endpoint.crash(now, None);
    }
    let first = usize::try_from(world.random.below(9)).expect("small");
    let alive = world
        .endpoints
        .values_mut()
        .filter(|endpoint| !endpoint.dead);
    for endpoint in alive.skip(first).take(2) {
        endpoint.draining = true;
    }
}

fn endpoint_fault_cases() -> Vec<EndpointFaultCase> {
    let gang = Step {
        gang: true,
        ..step(12, 4_000)
    };
    let long_running = Step {
        long_running: true,
        ..step(4, 600_000)
    };
    vec![
        EndpointFaultCase {
            name: "a rack crashes every two seconds",
            spec: job(vec![step(6, 4_000)]),
            every_ms: 2_000,
            inject_fault: crash_rack,
        },
        EndpointFaultCase {
            name: "a gang, a rack crashes every three seconds",
            spec: job(vec![gang]),
            every_ms: 3_000,
            inject_fault: crash_rack,
        },
        EndpointFaultCase {
            name: "wherever it runs, the endpoint crashes after a second",
            spec: job(vec![step(1, 4_000)]),
            every_ms: 50,
            inject_fault: crash_endpoints_running_job,
        },
        EndpointFaultCase {
            name: "endpoints are cut off",
            spec: job(vec![step(6, 3_000)]),
            every_ms: 2_500,
            inject_fault: cut_off_endpoints,
        },
        EndpointFaultCase {
            name: "endpoints drain and leave",
            spec: job(vec![step(6, 3_000)]),
            every_ms: 2_500,
            inject_fault: drain_and_remove_endpoints,
        },
        EndpointFaultCase {
            name: "long-running tasks, a rack crashes every three seconds",
            spec: job(vec![long_running]),
            every_ms: 3_000,
            inject_fault: crash_rack,
        },
    ]
}

#[test]
fn a_sound_job_completes_despite_endpoint_faults() {
    for case in endpoint_fault_cases() {
        for (seed, restart_mode) in (0..8).zip(RESTART_MODES.into_iter().cycle()) {
            let mut world = ready_world(seed, restart_mode);
            let long_running = case.spec.steps[0].long_running;
            assert_eq!(
                world.submit(FIRST_SOUND_JOB, case.spec.clone()),
                Answer::Accepted
            );
            let mut sound = FIRST_SOUND_JOB + 1;
            for _ in 0..10_000 / case.every_ms {
                (case.inject_fault)(&mut world);
                world.run(case.every_ms);
                sound = submit_sound(&mut world, sound);
            }
            if long_running {
                world.run(12_000);
                let answer = state(&mut world, FIRST_SOUND_JOB);
                assert_eq!(answer, Answer::State(JobState::Running), "{}", case.name);
                let running = world
                    .endpoints
                    .values()
                    .flat_map(|endpoint| endpoint.running.keys());
                let running = running
                    .filter(|task| task.job == JobId(FIRST_SOUND_JOB))
                    .count();
                assert_eq!(running, 4, "{}: running tasks", case.name);
                world.accepted.remove(&JobId(FIRST_SOUND_JOB));
            }
            assert_sound_jobs_done(&mut world, &format!("{}, seed {seed}", case.name));
        }
    }
}

#[test]
fn jobs_running_alongside_crashing_tasks_complete() {
    for (seed, restart_mode) in (0..12).zip(RESTART_MODES.into_iter().cycle()) {
        let mut world = ready_world(seed, restart_mode);
        let mut sound = FIRST_SOUND_JOB;
        for crashing_job in 1..=4 {
            let crashing = CrashBehavior {
                after_ms: 10,
                index: None,
            };
            world.crashing.insert(JobId(crashing_job), crashing);
            world.submit(crashing_job, job(vec![step(1, 1_000)]));
            for _ in 0..6 {
                sound = submit_sound(&mut world, sound);
                world.run(100);
            }
        }
        world.run(GIVEN_UP_MS);
        assert_sound_jobs_done(&mut world, &format!("seed {seed}"));
        for crashing_job in 1..=4 {
            let answer = state(&mut world, crashing_job);
            assert_eq!(answer, Answer::State(JobState::Failed), "seed {seed}");
            let task = TaskKey {
                job: JobId(crashing_job),
                occurrence: 0,
                step: 0,
                index: 0,
            };
            let (starts, _) = world.starts_and_crashes(task);
            assert!(starts.len() <= 5, "seed {seed}: {} starts", starts.len());
        }
    }
}
