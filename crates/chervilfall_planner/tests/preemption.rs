//! Wide gangs among work that can wait.
//!
//! The pattern: queues of batch work always have more tasks than the fleet has room, and each hole that opens
//! is filled at once. A gang needs room for all its members at the same moment and never finds it.

mod world;

use chervilfall_planner::{Answer, JobId, JobSpec, JobState, Queue, Request, Step};
use world::{step, World};

const ENDPOINTS: usize = 12;
const GANG: u64 = 1_000;

fn job(step: Step) -> JobSpec {
    JobSpec {
        spec: "text".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    }
}

/// Returns a world whose endpoints, of four cores, are full of batch work with a backlog of as much.
fn full_world(batch: &Step, preemption: bool) -> World {
    let mut world = World::new(3, ENDPOINTS, 3);
    world.limits.policies.preemption = preemption;
    world.run(1_500);
    world.queue = Queue {
        name: "patient".to_owned(),
        priority: 2,
        stretch: 4.0,
        target_latency_ms: 3_000,
        ..world.queue.clone()
    };
    for id in 1..=8 {
        let batch = Step {
            count: 12,
            ..batch.clone()
        };
        assert_eq!(world.submit(id, job(batch)), Answer::Accepted);
        world.run(100);
    }
    world.run(500);
    world
}

fn submit_gang(world: &mut World) {
    world.queue = Queue {
        name: "urgent".to_owned(),
        priority: 1,
        stretch: 2.0,
        target_latency_ms: 1_000,
        ..world.queue.clone()
    };
    let gang = Step {
        gang: true,
        cpu_milli: 2_000,
        ..step(12, 2_000)
    };
    assert_eq!(world.submit(GANG, job(gang)), Answer::Accepted);
}

fn running_members(world: &World) -> usize {
    let runs = world
        .endpoints
        .values()
        .flat_map(|endpoint| endpoint.running.keys());
    runs.filter(|task| task.job == JobId(GANG)).count()
}

fn starts(world: &World) -> usize {
    let endpoints = world.endpoints.values();
    endpoints.map(|endpoint| endpoint.starts.len()).sum()
}

#[test]
fn a_gang_gets_room_from_batch_work_that_saves_checkpoints() {
    struct Case {
        name: &'static str,
        checkpointing: bool,
        preemption: bool,
        within_ms: Option<u64>,
    }
    let cases = [
        Case {
            name: "runs that lose nothing give way",
            checkpointing: true,
            preemption: true,
            within_ms: Some(1_000),
        },
        Case {
            name: "runs that would lose their work go on",
            checkpointing: false,
            preemption: true,
            within_ms: None,
        },
        Case {
            name: "without the policy",
            checkpointing: true,
            preemption: false,
            within_ms: None,
        },
    ];
    for case in cases {
        let batch = Step {
            checkpointing: case.checkpointing,
            ..step(1, 3_000)
        };
        let mut world = full_world(&batch, case.preemption);
        submit_gang(&mut world);
        world.run(case.within_ms.unwrap_or(1_000));
        let members = running_members(&world);
        let expected = if case.within_ms.is_some() { 12 } else { 0 };
        assert_eq!(members, expected, "{}", case.name);
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn batch_work_that_gave_way_completes_in_time_and_keeps_what_it_had_done() {
    let batch = Step {
        checkpointing: true,
        ..step(1, 3_000)
    };
    let mut world = full_world(&batch, true);
    submit_gang(&mut world);
    // Four steps of three seconds and three more are the objective; half of the work waited at first.
    world.run(13_500);
    for id in 1..=8 {
        let state = world.ask(Request::State { id: JobId(id) });
        assert_eq!(state, Answer::State(JobState::Completed), "job {id}");
    }
    let starts = starts(&world);
    assert!(
        (108 + 12..=108 + 60).contains(&starts),
        "{starts} starts of 108 tasks"
    );
    assert_eq!(world.violations, Vec::<String>::new());
    world.check_history();
    assert_eq!(world.violations, Vec::<String>::new());
}
