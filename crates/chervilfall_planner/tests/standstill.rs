//! Steps whose turn has come and for which there is room, and that are not started.
//!
//! Each test guards against a rule that passes room over for longer than callers accept: within 3 s a
//! step with nothing running must have a run, however its endpoints are judged.

mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use chervilfall_planner::{Answer, Configuration, JobId, JobSpec, Step, TaskKey};
use world::endpoint::FakeEndpoint;
use world::{step, World};

/// Longest time for which a step with room may have nothing running.
const STANDSTILL_MS: u64 = 3_000;
/// Work that does not end within a test, in milliseconds.
const LONG_MS: u64 = 600_000;
/// First id of the jobs that a case watches.
const WATCHED: u64 = 10_000;
/// Id of a job that needs what a watched one has.
const OTHER: u64 = 20_000;

fn job(steps: Vec<Step>) -> JobSpec {
    JobSpec {
        spec: "text".to_owned(),
        steps,
        ..JobSpec::default()
    }
}

fn gang(count: u32) -> Step {
    Step {
        gang: true,
        ..step(count, 1_000)
    }
}

fn lasting(count: u32, work_ms: u64) -> Step {
    Step {
        long_running: true,
        ..step(count, work_ms)
    }
}

fn submit(world: &mut World, id: u64, steps: Vec<Step>) {
    assert_eq!(world.submit(id, job(steps)), Answer::Accepted, "job {id}");
}

/// Returns the tasks of a job that have started since `since_ms`.
fn started(world: &World, id: u64, since_ms: u64) -> BTreeSet<TaskKey> {
    let endpoints = world.endpoints.values();
    let starts = endpoints.flat_map(|endpoint| &endpoint.starts);
    let own = starts.filter(|(at_ms, task, _)| task.job == JobId(id) && *at_ms >= since_ms);
    own.map(|(_, task, _)| *task).collect()
}

/// Submits a job of one step for each of `steps`, for which there is room `room_after_ms` later. Returns
/// a line for each step of which in time not all members or lasting tasks have started, or not one of
/// other tasks.
fn standing(world: &mut World, name: &str, steps: &[Step], room_after_ms: u64) -> Vec<String> {
    let turn_ms = world.now;
    for (id, step) in (WATCHED..).zip(steps) {
        submit(world, id, vec![step.clone()]);
    }
    world.run(room_after_ms + STANDSTILL_MS);
    let mut lines = std::mem::take(&mut world.violations);
    for (id, step) in (WATCHED..).zip(steps) {
        let all = step.gang || step.long_running;
        let expected = if all { step.count as usize } else { 1 };
        let started = started(world, id, turn_ms).len();
        if started < expected {
            lines.push(format!(
                "{name}: {started} of {expected} tasks of job {id} have started"
            ));
        }
    }
    lines
}

/// Panics if there is a line.
fn assert_none(lines: &[String]) {
    assert!(lines.is_empty(), "\n{}", lines.join("\n"));
}

/// Makes all endpoints fail the runs of this many jobs of one task, until all attempts are used.
fn fail_jobs(world: &mut World, jobs: u64) {
    set_all_failing(world, true);
    for id in 1..=jobs {
        submit(world, id, vec![step(1, 100)]);
    }
    world.run_until(60_000, |world| {
        (1..=jobs).all(|id| world.has_used_attempts(JobId(id)))
    });
    set_all_failing(world, false);
}

fn set_all_failing(world: &mut World, fails_all: bool) {
    for endpoint in world.endpoints.values_mut() {
        endpoint.fails_all = fails_all;
        endpoint.fail_percent = 0;
    }
}

// Guards against sound endpoints on trial that hold no gang, because each takes one task.
#[test]
fn gangs_start_on_sound_endpoints_after_failures() {
    struct Case {
        name: &'static str,
        endpoints: usize,
        advice_percent: u64,
        failing_jobs: u64,
        /// Time from the last failure to the submission of the gangs.
        pause_ms: u64,
        gangs: &'static [u32],
    }
    let cases = [
        Case {
            name: "wider than the endpoints, soon",
            endpoints: 6,
            advice_percent: 100,
            failing_jobs: 24,
            pause_ms: 0,
            gangs: &[7],
        },
        Case {
            name: "wider than the endpoints, later",
            endpoints: 6,
            advice_percent: 100,
            failing_jobs: 24,
            pause_ms: 20_000,
            gangs: &[7],
        },
        Case {
            name: "twice as wide",
            endpoints: 6,
            advice_percent: 100,
            failing_jobs: 24,
            pause_ms: 20_000,
            gangs: &[12],
        },
        Case {
            name: "a quarter admitted",
            endpoints: 48,
            advice_percent: 25,
            failing_jobs: 96,
            pause_ms: 5_000,
            gangs: &[13, 13],
        },
    ];
    let mut lines = Vec::new();
    for case in cases {
        for seed in 1..=6 {
            let mut world = World::new(1, case.endpoints, seed);
            world.run(1_500);
            fail_jobs(&mut world, case.failing_jobs);
            world.advice_percent = case.advice_percent;
            world.run(case.pause_ms);
            let steps: Vec<Step> = case.gangs.iter().map(|count| gang(*count)).collect();
            let name = format!("{}, seed {seed}", case.name);
            lines.extend(standing(&mut world, &name, &steps, 0));
        }
    }
    assert_none(&lines);
}

/// Returns the longest time without a run of each task since it first started.
fn longest_gaps(world: &World) -> BTreeMap<TaskKey, u64> {
    let mut runs: BTreeMap<TaskKey, Vec<(u64, u64)>> = BTreeMap::new();
    for endpoint in world.endpoints.values() {
        for run in &endpoint.past_runs {
            let times = (run.begun_ms, run.ended_ms);
            runs.entry(run.task).or_default().push(times);
        }
        for (task, run) in &endpoint.running {
            let times = (run.begun_ms, world.now);
            runs.entry(*task).or_default().push(times);
        }
    }
    let gaps = runs.into_iter().map(|(task, mut runs)| {
        runs.push((world.now, world.now));
        runs.sort_unstable();
        let between = runs.windows(2);
        let gap = between.map(|pair| pair[1].0.saturating_sub(pair[0].1));
        (task, gap.max().unwrap_or(0))
    });
    gaps.collect()
}

// Guards against services whose failed runs quarantine their endpoints for good, because lasting runs
// never complete and a trial needs an empty endpoint.
#[test]
fn services_whose_tasks_fail_run_again_at_once() {
    struct Case {
        name: &'static str,
        endpoints: usize,
        services: u64,
        tasks: u32,
        /// Runs take half of it to twice of it, by job.
        work_ms: u64,
    }
    let cases = [
        Case {
            name: "four services on three endpoints",
            endpoints: 3,
            services: 4,
            tasks: 3,
            work_ms: 15_000,
        },
        Case {
            name: "runs that fail soon",
            endpoints: 3,
            services: 4,
            tasks: 3,
            work_ms: 2_000,
        },
        Case {
            name: "a single service",
            endpoints: 3,
            services: 1,
            tasks: 3,
            work_ms: 5_000,
        },
    ];
    let mut lines = Vec::new();
    for case in cases {
        let mut world = World::new(1, case.endpoints, 1);
        for endpoint in world.endpoints.values_mut() {
            endpoint.cpu_milli = 16_000;
            endpoint.rough_estimates = true;
            endpoint.fails_all = true;
        }
        world.queue.advice = None;
        world.run(1_500);
        for id in 1..=case.services {
            submit(&mut world, id, vec![lasting(case.tasks, case.work_ms)]);
        }
        world.run(90_000);
        lines.append(&mut world.violations);
        let gaps = longest_gaps(&world);
        assert_eq!(gaps.len() as u64, case.services * u64::from(case.tasks));
        let standing = gaps
            .into_iter()
            .filter(|(_, gap_ms)| *gap_ms > STANDSTILL_MS);
        let standing = standing
            .map(|(task, gap_ms)| format!("{}: {task} has no run for {gap_ms} ms", case.name));
        lines.extend(standing);
    }
    assert_none(&lines);
}

/// Time for which [`fill`] keeps the endpoints in use.
const FILLED_MS: u64 = 5_000;

/// Keeps every endpoint in use, a second of which has passed.
fn fill(world: &mut World) {
    let advice = world.queue.advice.take();
    let whole = Step {
        cpu_milli: 4_000,
        ..step(
            u32::try_from(world.endpoints.len()).expect("few"),
            FILLED_MS,
        )
    };
    submit(world, 1, vec![whole]);
    world.queue.advice = advice;
    world.run(1_000);
}

// Guards against a step that counts room which it cannot use: it renews the tickets of endpoints that
// have free resources and asks about no others.
#[test]
fn steps_ask_about_endpoints_that_they_can_use() {
    struct Case {
        name: &'static str,
        endpoints: usize,
        /// One endpoint of this many has the label.
        label_every: usize,
        advice_percent: u64,
        prepare: fn(&mut World),
        /// Time from the submission until there is room.
        room_after_ms: u64,
        step: Step,
    }
    let labelled = |step| Step {
        required_label: Some("ssd".to_owned()),
        ..step
    };
    let spread = |step| Step {
        max_per_endpoint: 1,
        ..step
    };
    let case = |name, step| Case {
        name,
        endpoints: 400,
        label_every: 10,
        advice_percent: 25,
        prepare: |_| {},
        room_after_ms: 0,
        step,
    };
    let cases = [
        case("a task with a label", labelled(step(1, 1_000))),
        Case {
            advice_percent: 100,
            ..case("a gang with a label", labelled(gang(6)))
        },
        case("a service with a label", labelled(lasting(2, LONG_MS))),
        Case {
            endpoints: 600,
            advice_percent: 12,
            ..case("a gang with one member on each endpoint", spread(gang(30)))
        },
        Case {
            endpoints: 240,
            advice_percent: 12,
            ..case(
                "a service with one task on each endpoint",
                spread(lasting(7, LONG_MS)),
            )
        },
        Case {
            endpoints: 300,
            advice_percent: 100,
            ..case("a gang wider than a call", spread(gang(130)))
        },
        Case {
            endpoints: 300,
            advice_percent: 100,
            prepare: fill,
            room_after_ms: FILLED_MS - 1_000,
            ..case("a gang wider than a call, renewed", spread(gang(130)))
        },
    ];
    let mut lines = Vec::new();
    for case in cases {
        let mut world = World::new(1, case.endpoints, 1);
        let endpoints = world.endpoints.values_mut();
        for endpoint in endpoints.step_by(case.label_every) {
            endpoint.labels.insert("ssd".to_owned());
        }
        world.advice_percent = case.advice_percent;
        world.run(3_000);
        (case.prepare)(&mut world);
        let steps = [case.step];
        lines.extend(standing(&mut world, case.name, &steps, case.room_after_ms));
    }
    assert_none(&lines);
}

// Guards against overdue work that leaves most of a pool to a step that cannot start on it.
#[test]
fn overdue_work_starts_beside_a_wide_step_that_cannot() {
    const ENDPOINTS: usize = 20;
    const OVERDUE: u64 = 1;
    let mut world = World::new(1, ENDPOINTS, 1);
    world.limits.policies.admission_forecast = false;
    world.queue.stretch = 1.0;
    world.queue.target_latency_ms = 100;
    world.config = Arc::new(Configuration {
        queues: BTreeMap::from([(world.queue.name.clone(), world.queue.clone())]),
        ..Configuration::clone(&world.config)
    });
    world.run(1_500);
    for endpoint in world.endpoints.values_mut() {
        endpoint.fail_percent = 0;
    }
    // One core of four is in use for good, so that 60 are free.
    let in_use = Step {
        max_per_endpoint: 1,
        ..lasting(u32::try_from(ENDPOINTS).expect("few"), LONG_MS)
    };
    submit(&mut world, 2, vec![in_use]);
    world.run(2_000);
    for endpoint in world.endpoints.values_mut() {
        endpoint.speed_percent = 20;
    }
    let after = Step {
        after: vec![0],
        ..step(4, 200)
    };
    submit(&mut world, OVERDUE, vec![step(1, 600), after]);
    let wide = Step {
        estimate_ms: 60_000,
        ..gang(70)
    };
    submit(&mut world, 3, vec![wide]);
    let ended = |world: &World| {
        let endpoints = world.endpoints.values();
        let mut ends = endpoints.flat_map(|endpoint| &endpoint.past_runs);
        ends.any(|run| run.task.job == JobId(OVERDUE))
    };
    world.run_until(10_000, ended);
    world.run(STANDSTILL_MS);
    let second: Vec<TaskKey> = started(&world, OVERDUE, 0)
        .into_iter()
        .filter(|task| task.step == 1)
        .collect();
    assert!(!second.is_empty(), "the overdue step has not started");
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Returns whether an endpoint runs a task of the watched job.
fn runs_watched(endpoint: &FakeEndpoint) -> bool {
    let mut running = endpoint.running.keys();
    running.any(|task| task.job == JobId(WATCHED))
}

/// Hands in a job whose endpoint crashes twice under it, and then, when it has been at work for long
/// enough to be cleared, one that needs the same endpoint. Returns whether that one stands still.
fn stands_beside_an_isolated_task(isolated: Step) -> bool {
    const LABEL: &str = "b";
    let needs_label = |step: Step| Step {
        required_label: Some(LABEL.to_owned()),
        ..step
    };
    let mut world = World::new(1, 12, 1);
    world.queue.advice = None;
    world.restart_delay_ms = 2_000;
    world.run(1_500);
    for endpoint in world.endpoints.values_mut() {
        endpoint.fail_percent = 0;
    }
    let first = world.endpoints.values_mut().next().expect("an endpoint");
    first.labels.insert(LABEL.to_owned());
    submit(&mut world, WATCHED, vec![needs_label(isolated)]);
    for _ in 0..2 {
        world.run_until(20_000, |world| world.endpoints.values().any(runs_watched));
        world.run(3_000);
        let now = world.now;
        let mut endpoints = world.endpoints.values_mut();
        let host = endpoints.find(|endpoint| runs_watched(endpoint));
        host.expect("it runs").crash(now, None);
        world.run(200);
    }
    world.run_until(20_000, |world| world.endpoints.values().any(runs_watched));
    world.run(15_000);
    submit(&mut world, OTHER, vec![needs_label(step(2, 1_000))]);
    world.run(STANDSTILL_MS);
    assert_eq!(world.violations, Vec::<String>::new());
    started(&world, OTHER, 0).is_empty()
}

/// Guards against an endpoint that is kept from all other work for as long as a task lasts that was
/// isolated there and has been cleared since.
#[test]
fn endpoints_of_lasting_tasks_that_were_cleared_serve_others() {
    let isolated = [
        ("a service", lasting(1, LONG_MS)),
        (
            "a gang",
            Step {
                gang: true,
                ..lasting(2, LONG_MS)
            },
        ),
    ];
    for (name, step) in isolated {
        assert!(!stands_beside_an_isolated_task(step), "{name}");
    }
}

/// Guards against an endpoint that is kept from all other work for as long as an isolated task takes.
#[test]
fn endpoints_of_isolated_tasks_that_end_serve_others() {
    assert!(!stands_beside_an_isolated_task(step(1, LONG_MS)));
}

// Guards against a task that is isolated after crashes and waits for an empty endpoint where there is
// none.
#[test]
fn isolated_tasks_start_beside_lasting_work() {
    struct Case {
        name: &'static str,
        step: Step,
    }
    let cases = [
        Case {
            name: "a task",
            step: step(1, LONG_MS),
        },
        Case {
            name: "a gang",
            step: gang(4),
        },
        Case {
            name: "a service",
            step: lasting(1, LONG_MS),
        },
    ];
    let mut lines = Vec::new();
    for case in cases {
        let mut world = World::new(1, 12, 1);
        world.queue.advice = None;
        world.run(1_500);
        for endpoint in world.endpoints.values_mut() {
            endpoint.fail_percent = 0;
        }
        let in_use = Step {
            max_per_endpoint: 1,
            ..lasting(12, LONG_MS)
        };
        submit(&mut world, 1, vec![in_use]);
        world.run(1_000);
        let step = Step {
            estimate_ms: LONG_MS,
            ..case.step
        };
        submit(&mut world, WATCHED, vec![step]);
        for _ in 0..2 {
            let runs_it = |world: &World| {
                let endpoints = world.endpoints.values();
                let running = endpoints.flat_map(|endpoint| endpoint.running.keys());
                running.filter(|task| task.job == JobId(WATCHED)).count() > 0
            };
            world.run_until(20_000, runs_it);
            world.run(200);
            let now = world.now;
            let mut endpoints = world.endpoints.values_mut();
            let host = endpoints.find(|endpoint| {
                let mut running = endpoint.running.keys();
                running.any(|task| task.job == JobId(WATCHED))
            });
            host.expect("it runs").crash(now, None);
            world.run(200);
        }
        // The leases of the crashed endpoint lapse, and what it ran is started elsewhere.
        world.run(4_000);
        let turn_ms = world.now;
        world.run(STANDSTILL_MS);
        let runs = world.endpoints.values();
        let runs = runs.flat_map(|endpoint| endpoint.running.keys());
        let running = runs.filter(|task| task.job == JobId(WATCHED)).count();
        lines.append(&mut world.violations);
        if running == 0 {
            lines.push(format!("{}: stands since {turn_ms}", case.name));
        }
    }
    assert_none(&lines);
}
