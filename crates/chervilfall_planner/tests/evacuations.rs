//! Evacuations of failure domains: where tasks start meanwhile, what ends there, and how the domain
//! is taken back.

mod world;

use chervilfall_planner::{Answer, Asker, JobId, JobSpec, JobState, Request, Step};
use world::endpoint::domain_name;
use world::{step, World};

/// Time in which a holder knows all endpoints.
const WARM_UP_MS: u64 = 4_000;
/// Time between two readings of the list of endpoints, and some for a start to arrive.
const READ_MS: u64 = 600;
/// Time for the jobs of a case to end.
const SETTLE_MS: u64 = 20_000;
/// Endpoints, half of them in each of two failure domains.
const ENDPOINTS: usize = 8;
/// Tasks that take all room.
const TASKS: u32 = 32;

fn open(nodes: usize) -> World {
    let mut world = World::new(nodes, ENDPOINTS, 3);
    let second_half = world.endpoints.values_mut().skip(ENDPOINTS / 2);
    second_half.for_each(|endpoint| endpoint.domain = 1);
    world.run(WARM_UP_MS);
    world
}

fn job(step: Step) -> JobSpec {
    JobSpec {
        spec: "text".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    }
}

/// Returns when tasks were started in a failure domain.
fn starts(world: &World, domain: usize) -> Vec<u64> {
    let endpoints = world.endpoints.values();
    let inside = endpoints.filter(|endpoint| endpoint.domain == domain);
    let starts = inside.flat_map(|endpoint| &endpoint.starts);
    starts.map(|(at_ms, ..)| *at_ms).collect()
}

fn state(world: &mut World, id: u64) -> Answer {
    world.ask(Request::State {
        id: JobId(id),
        asker: Asker::default(),
    })
}

fn lose_holder(world: &mut World) {
    let lost = world.holder().expect("a holder");
    world.nodes[lost].frozen_until_ms = u64::MAX;
    world.run_until(5_000, |world| world.holder() != Some(lost));
}

#[test]
fn nothing_starts_in_an_evacuated_domain() {
    struct Case {
        name: &'static str,
        /// Domains that are evacuated.
        evacuated: &'static [usize],
        /// The job that is submitted then.
        step: Step,
        holder_lost: bool,
        /// The job's state while the evacuation lasts.
        meanwhile: JobState,
    }
    let gang = Step {
        gang: true,
        ..step(6, 300)
    };
    let cases = [
        Case {
            name: "tasks go elsewhere",
            evacuated: &[1],
            step: step(12, 300),
            holder_lost: false,
            meanwhile: JobState::Completed,
        },
        Case {
            name: "a gang goes elsewhere as a whole",
            evacuated: &[1],
            step: gang.clone(),
            holder_lost: false,
            meanwhile: JobState::Completed,
        },
        Case {
            name: "a successor knows of it before its first start",
            evacuated: &[1],
            step: step(12, 300),
            holder_lost: true,
            meanwhile: JobState::Completed,
        },
        Case {
            name: "all domains: the job waits",
            evacuated: &[0, 1],
            step: step(2, 300),
            holder_lost: false,
            meanwhile: JobState::Pending,
        },
        Case {
            name: "all domains, and the holder is lost",
            evacuated: &[0, 1],
            step: gang,
            holder_lost: true,
            meanwhile: JobState::Pending,
        },
    ];
    for case in cases {
        let mut world = open(3);
        let before = job(step(TASKS / 4, 3_000));
        assert_eq!(world.submit(1, before), Answer::Accepted, "{}", case.name);
        world.run(500);
        world.evacuated = case.evacuated.iter().copied().map(domain_name).collect();
        world.run(READ_MS);
        let evacuated_ms = world.now;
        if case.holder_lost {
            lose_holder(&mut world);
        }
        let submitted = world.submit(2, job(case.step));
        assert_eq!(submitted, Answer::Accepted, "{}", case.name);
        world.run(SETTLE_MS);
        for domain in case.evacuated {
            let starts = starts(&world, *domain);
            let late = starts.iter().filter(|at_ms| **at_ms >= evacuated_ms);
            assert_eq!(late.count(), 0, "{}: domain {domain}", case.name);
        }
        let meanwhile = Answer::State(case.meanwhile);
        assert_eq!(state(&mut world, 2), meanwhile, "{}", case.name);
        let completed = Answer::State(JobState::Completed);
        assert_eq!(state(&mut world, 1), completed, "{}", case.name);
        world.evacuated.clear();
        let back_ms = world.now;
        world.run(READ_MS);
        assert_eq!(
            world.submit(3, job(step(TASKS, 300))),
            Answer::Accepted,
            "{}",
            case.name
        );
        world.run(SETTLE_MS);
        for domain in case.evacuated {
            let mut starts = starts(&world, *domain).into_iter();
            assert!(starts.any(|at_ms| at_ms > back_ms), "{}", case.name);
        }
        assert_eq!(state(&mut world, 2), completed, "{}", case.name);
        assert_eq!(state(&mut world, 3), completed, "{}", case.name);
        world.check_history();
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn nothing_starts_while_the_evacuations_are_not_known() {
    let mut world = World::new(2, ENDPOINTS, 3);
    world.limits.evacuations_age_ms = Some(1_000);
    world.limits.report_age_ms = 60_000;
    world.run(WARM_UP_MS);
    assert_eq!(
        world.submit(1, job(step(200, 300))),
        Answer::Accepted,
        "more tasks than have room at once"
    );
    world.store.down_until_ms = world.now + 4_000;
    let read_ms = world.now;
    world.run(4_000);
    let last_ms = world
        .endpoints
        .values()
        .flat_map(|endpoint| &endpoint.starts);
    let last_ms = last_ms.map(|(at_ms, ..)| *at_ms).max().expect("a start");
    assert!(
        last_ms <= read_ms + 1_100,
        "a start after {}",
        last_ms - read_ms
    );
    world.run(SETTLE_MS);
    assert_eq!(state(&mut world, 1), Answer::State(JobState::Completed));
}

/// Guards against a start that is repeated after its first copy was lost, to an endpoint that has begun to leave meanwhile.
#[test]
fn a_start_is_not_repeated_in_a_domain_that_is_evacuated_meanwhile() {
    let mut world = open(1);
    // All orders of the next ticks are lost for now; the starts are repeated after their timeout.
    world.late_percent = 100;
    assert_eq!(world.submit(1, job(step(TASKS, 300))), Answer::Accepted);
    world.run(20);
    world.late_percent = 0;
    world.evacuated.insert(domain_name(1));
    let lost_ms = world.now;
    world.run(1_500);
    let repeated = |domain| {
        let starts = starts(&world, domain).into_iter();
        starts.filter(|at_ms| *at_ms > lost_ms).count()
    };
    assert!(repeated(0) > 0, "starts are repeated elsewhere");
    assert_eq!(repeated(1), 0, "and not there");
}
