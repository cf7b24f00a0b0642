//! Answers of the advice service that belong to another question than the one that is open.
//!
//! Guards against this failure: a holder lost the group and had it again within a second. The answer
//! to a call of its earlier term was taken for that to another call of the same number, and the
//! endpoints that it did not grant were taken for denied for good.

mod world;

use std::collections::BTreeMap;
use std::sync::Arc;

use chervilfall_planner::{
    AdviceAnswer, AdviceTimings, Asker, Configuration, EndpointId, Event, JobId, Request, Step,
};
use world::{step, ScheduledEvent, World};

const ENDPOINTS: usize = 12;
/// Long enough for a holder to lose the group and have it again while a call is in flight.
const ADVICE: AdviceTimings = AdviceTimings {
    decide_ms: 480.0,
    each_ms: 5.0,
    valid_ms: 1_500,
};
const TASKS: u32 = 2;
const TASK_MS: u64 = 400;
/// Time that a submission may wait for its commit, in milliseconds.
const WAIT_MS: u64 = 1_000;
/// Time in which a job whose turn has come starts: 3 s, and two calls.
const MUST_START_MS: u64 = 4_300;
const EARLIER_JOB: u64 = 1;
const SEEDS: u64 = 12;

fn advised_world(seed: u64) -> World {
    let mut world = World::new(2, ENDPOINTS, seed);
    for endpoint in world.endpoints.values_mut() {
        endpoint.fail_percent = 0;
    }
    world.advice_timed = true;
    world.advice_percent = 40;
    world.queue.advice = Some(ADVICE);
    world.config = Arc::new(Configuration {
        queues: BTreeMap::from([(world.queue.name.clone(), world.queue.clone())]),
        ..Configuration::clone(&world.config)
    });
    world.run(2_500);
    world
}

fn hand_in(world: &mut World, id: u64) {
    let queue = world.queue.clone();
    let step = Step {
        cpu_milli: 2_000,
        ..step(TASKS, TASK_MS)
    };
    world.hand_in(&queue, id, step, WAIT_MS);
}

fn step_name(id: u64) -> String {
    format!("{}.0.0", JobId(id))
}

/// Returns the endpoints that may run a job's step.
fn allowed(world: &World, id: u64) -> Vec<EndpointId> {
    let step = step_name(id);
    let ids = world.endpoints.keys();
    let allowed = ids.filter(|id| world.is_endpoint_allowed(&step, id));
    allowed.cloned().collect()
}

/// Returns a job that may run on some endpoints, but on none of those of the earlier job.
fn job_elsewhere(world: &World) -> u64 {
    let earlier = allowed(world, EARLIER_JOB);
    let elsewhere = |id: &u64| {
        let own = allowed(world, *id);
        own.len() >= 3 && own.iter().all(|endpoint| !earlier.contains(endpoint))
    };
    (2..10_000).find(elsewhere).expect("a job")
}

/// Takes the answer to a call in flight out of the simulation.
fn take_answer(world: &mut World) -> Option<Event> {
    let is_answer = |event: &ScheduledEvent| {
        matches!(event, ScheduledEvent::DeliverEvent(_, _, event)
            if matches!(**event, Event::Advised { .. }))
    };
    let scheduled = world.scheduled.iter();
    let key = scheduled
        .filter(|(_, event)| is_answer(event))
        .map(|(key, _)| *key);
    let key = key.max()?;
    match world.scheduled.remove(&key) {
        Some(ScheduledEvent::DeliverEvent(_, _, event)) => Some(*event),
        _ => None,
    }
}

/// Runs until a call is made, and returns its answer, which does not arrive.
fn withhold_answer(world: &mut World) -> Event {
    for _ in 0..400 {
        if let Some(answer) = take_answer(world) {
            return answer;
        }
        world.run(5);
    }
    panic!("no call for advice");
}

/// Makes the holder stand still until the other node has claimed the group, and ends that node's
/// process. Returns the first holder once it holds the group again.
fn lose_and_regain(world: &mut World) -> usize {
    let first = world.holder().expect("a holder");
    let second = 1 - first;
    let term = |world: &World, node: usize| {
        let planner = world.nodes[node].planner.as_ref();
        planner.map(chervilfall_planner::Planner::term)
    };
    let first_term = term(world, first);
    world.nodes[first].frozen_until_ms = world.now + 60_000;
    world.run_until(5_000, |world| term(world, second) > first_term);
    world.kill(second);
    world.nodes[second].store_cut_until_ms = world.now + 60_000;
    world.nodes[first].frozen_until_ms = world.now;
    world.run_until(5_000, |world| {
        term(world, first).is_some_and(|term| Some(term) > first_term)
    });
    first
}

fn starts_of(world: &World, id: u64) -> usize {
    let endpoints = world.endpoints.values();
    let starts = endpoints.flat_map(|endpoint| &endpoint.starts);
    starts.filter(|(_, task, _)| task.job == JobId(id)).count()
}

/// Checks that a job starts in time, and that no promise is broken.
fn check_starts(name: &str, world: &mut World, job: u64) {
    let submitted_ms = world.now;
    while starts_of(world, job) == 0 && world.now < submitted_ms + MUST_START_MS {
        world.run(5);
    }
    assert!(starts_of(world, job) > 0, "{name}: the job has not started");
    world.check_history();
    assert_eq!(world.violations, Vec::<String>::new(), "{name}");
}

#[test]
fn an_answer_of_an_earlier_term_answers_no_other_call() {
    for seed in 0..SEEDS {
        let mut world = advised_world(seed);
        let job = job_elsewhere(&world);
        hand_in(&mut world, EARLIER_JOB);
        let earlier = withhold_answer(&mut world);
        let id = JobId(EARLIER_JOB);
        world.request(Request::Cancel {
            id,
            asker: Asker::default(),
        });
        world.run(200);
        let holder = lose_and_regain(&mut world);
        world.run(seed * 50);
        hand_in(&mut world, job);
        let own = withhold_answer(&mut world);
        world.handle_event(holder, earlier);
        world.run(100);
        world.handle_event(holder, own);
        check_starts(&format!("seed {seed}"), &mut world, job);
    }
}

/// An answer to a call, as something between the service and the holder has changed it.
struct Mixed {
    name: &'static str,
    granted: fn(&World) -> Vec<EndpointId>,
}

/// Guards against endpoints that are denied for good by an answer that is not to this question.
#[test]
fn denials_of_an_answer_in_doubt_are_asked_again() {
    let cases = [
        Mixed {
            name: "its tickets are refused",
            granted: |world| allowed(world, EARLIER_JOB),
        },
        Mixed {
            name: "it grants an endpoint that was not named",
            granted: |_| vec![EndpointId("another".to_owned())],
        },
    ];
    for case in cases {
        let mut world = advised_world(3);
        let job = job_elsewhere(&world);
        hand_in(&mut world, job);
        let Event::Advised { number, .. } = withhold_answer(&mut world) else {
            panic!("not an answer");
        };
        let granted = (case.granted)(&world).into_iter();
        let granted = granted.map(|id| (id, step_name(EARLIER_JOB)));
        let answer = AdviceAnswer::Granted(granted.collect());
        let holder = world.holder().expect("a holder");
        world.handle_event(holder, Event::Advised { number, answer });
        check_starts(case.name, &mut world, job);
    }
}
