//! Endpoints with more ends that are not acknowledged than one list holds.

mod world;

use chervilfall_planner::{Action, Answer, Asker, JobId, JobSpec, JobState, Request, Step};
use world::endpoint::FakeEndpoint;
use world::oracle::restarted_tasks;
use world::outages::OUTAGE_ENDS;
use world::{step, ScheduledEvent, World};

/// Time that a holder needs to know the intervals between its commits.
const WARM_UP_MS: u64 = 12_000;
/// Time from a submission to what happens next.
const HEAD_START_MS: u64 = 1_000;
/// How long the store is down.
const DOWN_MS: u64 = 4_000;
/// Time from the crash of an endpoint in which it restarts and carries out what it received.
const RESTARTED_MS: u64 = 220;
/// Bound of a job, whose tasks take up to 1.7 s on the endpoints of a case.
const JOB_MS: u64 = 40_000;
/// Time from the end of a job in which all ends are acknowledged.
const ACKNOWLEDGED_MS: u64 = 3_000;
/// Number of the job that is checked, and of one that runs beside it.
const JOB: u64 = 7;
const JOB_BESIDE: u64 = 8;

/// Returns a job of many short tasks.
fn job(count: u32, cpu_milli: u32) -> JobSpec {
    let tasks = Step {
        cpu_milli,
        memory_mb: 1,
        ..step(count, 100)
    };
    JobSpec {
        spec: "text".to_owned(),
        steps: vec![tasks],
        ..JobSpec::default()
    }
}

/// Returns three nodes, and endpoints of 16 cores that never fail a run and keep their names.
fn world(endpoints: usize) -> World {
    let mut world = World::new(3, endpoints, 5);
    world.queue.advice = None;
    world.keep_names();
    for endpoint in world.endpoints.values_mut() {
        endpoint.cpu_milli = 16_000;
        endpoint.fail_percent = 0;
    }
    world.run(WARM_UP_MS);
    world
}

fn is_completed(world: &mut World) -> bool {
    let state = Request::State {
        id: JobId(JOB),
        asker: Asker::default(),
    };
    world.holder().is_some() && world.ask(state) == Answer::State(JobState::Completed)
}

fn most_unacknowledged_ends(world: &World) -> usize {
    let endpoints = world.endpoints.values();
    let ends = endpoints.map(FakeEndpoint::unacknowledged_ends);
    ends.max().unwrap_or(0)
}

fn starts_are_in_flight(world: &World) -> bool {
    let mut scheduled = world.scheduled.values();
    scheduled.any(|event| match event {
        ScheduledEvent::DeliverOrder(_, _, order, _) => matches!(**order, Action::Start(_)),
        _ => false,
    })
}

/// Waits until the job is completed; returns what was wrong until then.
fn complete(world: &mut World) -> Vec<String> {
    let bound_ms = world.now + JOB_MS;
    while !is_completed(world) {
        if world.now >= bound_ms {
            let restarted = restarted_tasks(world.endpoints.values(), JobId(JOB));
            return vec![format!("not completed, {restarted} tasks started again")];
        }
        world.run(50);
    }
    // The last ends are acknowledged.
    world.run(ACKNOWLEDGED_MS);
    world.check_history();
    let mut wrong: Vec<String> = world.violations.iter().take(1).cloned().collect();
    let restarted = restarted_tasks(world.endpoints.values(), JobId(JOB));
    if restarted > 0 {
        wrong.push(format!("{restarted} tasks started again"));
    }
    wrong
}

// Guards against done tasks that run again because their ends did not fit into a list.
#[test]
fn a_task_whose_end_did_not_fit_into_a_list_is_not_started_again() {
    let mut wrong = Vec::new();
    for case in OUTAGE_ENDS {
        let mut world = world(3);
        assert_eq!(
            world.submit(JOB, job(8_000, 100)),
            Answer::Accepted,
            "{}",
            case.name
        );
        world.run(HEAD_START_MS);
        world.store.down_until_ms = world.now + DOWN_MS;
        world.run(DOWN_MS);
        let most = most_unacknowledged_ends(&world);
        assert!(most > world.limits.max_listed_ends, "{}: {most}", case.name);
        if case.holder_lost {
            let holder = world.holder().expect("a holder");
            world.nodes[holder].frozen_until_ms = u64::MAX;
            world.run_until(JOB_MS, |world| world.holder() != Some(holder));
        }
        let found = complete(&mut world);
        wrong.extend(found.iter().map(|what| format!("{}: {what}", case.name)));
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Returns a world with two endpoints, and a job whose tasks are about to start.
fn world_with_job() -> World {
    let mut world = world(2);
    world.restart_delay_ms = 100;
    // While something runs there, a hold is always in flight, which the crash breaks.
    let beside = JobSpec {
        spec: "text".to_owned(),
        steps: vec![step(1, JOB_MS)],
        ..JobSpec::default()
    };
    assert_eq!(world.submit(JOB_BESIDE, beside), Answer::Accepted);
    world.run(HEAD_START_MS);
    assert_eq!(world.submit(JOB, job(1_200, 20)), Answer::Accepted);
    world
}

// Guards against done tasks that run again because their ends did not fit into the first list of
// an endpoint that has restarted.
#[test]
fn a_task_that_ended_on_the_next_incarnation_is_not_started_again() {
    let mut first = world_with_job();
    first.run_until(JOB_MS, starts_are_in_flight);
    // The endpoint crashes just before the starts are sent, so that its next incarnation receives
    // them.
    let mut world = world_with_job();
    world.run(first.now - world.now - 5);
    let now = world.now;
    let endpoint = world.endpoints.values_mut().next().expect("one");
    endpoint.crash(now, None);
    world.run(RESTARTED_MS);
    let most = most_unacknowledged_ends(&world);
    assert!(most > world.limits.max_listed_ends, "{most}");
    let wrong = complete(&mut world);
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
