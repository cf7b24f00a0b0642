//! Which version of the configuration a job's queue is taken from, if the node that received the
//! request and the holder have different versions, and if the holder's version changes later.

mod world;

use std::sync::Arc;

use chervilfall_planner::{Answer, Configuration, Event, JobId, JobSpec, Queue, Request};
use world::{step, World};

/// Service of all simulated endpoints.
const POOL: &str = "pool";
/// A service without endpoints.
const EMPTY_SERVICE: &str = "elsewhere";
/// Version of the configuration that is in force at the holder.
const HOLDER_VERSION: u64 = 5;

fn queue(world: &World, service: &str, configuration: u64) -> Queue {
    Queue {
        service: service.to_owned(),
        configuration,
        advice: None,
        ..world.queue.clone()
    }
}

/// Puts a configuration in force at the holder, with the world's queue served by `service`, or
/// without it.
fn configure(world: &mut World, version: u64, service: Option<&str>) {
    let queue = service.map(|service| queue(world, service, version));
    let config = Configuration {
        version,
        queues: queue
            .into_iter()
            .map(|queue| (queue.name.clone(), queue))
            .collect(),
        ..Configuration::default()
    };
    world.config = Arc::new(config);
    let holder = world.holder().expect("a holder");
    let event = Event::Configured(Arc::clone(&world.config));
    world.handle_event(holder, event);
}

fn starts(world: &World) -> usize {
    let endpoints = world.endpoints.values();
    endpoints.map(|endpoint| endpoint.starts.len()).sum()
}

/// Submits a job with the queue as the node that received the request knows it, and advances the
/// simulation.
fn submit(world: &mut World, queue: Queue) -> Answer {
    let id = JobId(1);
    let spec = JobSpec {
        steps: vec![step(2, 500)],
        ..JobSpec::default()
    };
    world.jobs.insert(id, spec.clone());
    let submission = Request::Submit {
        queue,
        id,
        spec,
        wait_ms: 700,
        account: None,
    };
    let answer = world.ask(submission);
    world.run(3_000);
    answer
}

#[test]
fn the_newer_configuration_determines_which_service_runs_a_job() {
    struct Case {
        name: &'static str,
        /// Version in the request, and the queue's service in it.
        requested: (u64, &'static str),
        /// The queue's service at the holder; none if the holder has no such queue.
        at_holder: Option<&'static str>,
        answer: Answer,
        starts: usize,
    }
    let cases = [
        Case {
            name: "the same version",
            requested: (HOLDER_VERSION, POOL),
            at_holder: Some(POOL),
            answer: Answer::Accepted,
            starts: 2,
        },
        Case {
            name: "the holder's is older",
            requested: (HOLDER_VERSION + 1, POOL),
            at_holder: Some(EMPTY_SERVICE),
            answer: Answer::Accepted,
            starts: 2,
        },
        Case {
            name: "the holder's is older and lacks the queue",
            requested: (HOLDER_VERSION + 1, POOL),
            at_holder: None,
            answer: Answer::Accepted,
            starts: 2,
        },
        Case {
            name: "the holder's is newer",
            requested: (HOLDER_VERSION - 1, POOL),
            at_holder: Some(EMPTY_SERVICE),
            answer: Answer::Accepted,
            starts: 0,
        },
        Case {
            name: "the holder's is newer and lacks the queue",
            requested: (HOLDER_VERSION - 1, POOL),
            at_holder: None,
            answer: Answer::NoQueue,
            starts: 0,
        },
        Case {
            name: "a request from an earlier version of the program",
            requested: (0, EMPTY_SERVICE),
            at_holder: Some(POOL),
            answer: Answer::Accepted,
            starts: 2,
        },
    ];
    for case in cases {
        let mut world = World::new(3, 4, 7);
        world.run(1_500);
        configure(&mut world, HOLDER_VERSION, case.at_holder);
        let requested = queue(&world, case.requested.1, case.requested.0);
        let answer = submit(&mut world, requested);
        assert_eq!(answer, case.answer, "{}", case.name);
        assert_eq!(starts(&world), case.starts, "{}", case.name);
    }
}

#[test]
fn a_job_keeps_the_newest_queue_configuration_that_it_had() {
    struct Case {
        name: &'static str,
        /// Version that comes into force after the job was accepted, and the queue's service in it.
        later: (u64, &'static str),
        starts: usize,
    }
    let cases = [
        Case {
            name: "an older version",
            later: (HOLDER_VERSION + 1, POOL),
            starts: 0,
        },
        Case {
            name: "a newer version",
            later: (HOLDER_VERSION + 3, POOL),
            starts: 2,
        },
    ];
    for case in cases {
        for takeover in [false, true] {
            let mut world = World::new(3, 4, 7);
            world.run(1_500);
            configure(&mut world, HOLDER_VERSION, Some(POOL));
            let requested = queue(&world, EMPTY_SERVICE, HOLDER_VERSION + 2);
            assert_eq!(
                submit(&mut world, requested),
                Answer::Accepted,
                "{}",
                case.name
            );
            assert_eq!(starts(&world), 0, "{}", case.name);
            if takeover {
                let holder = world.holder().expect("a holder");
                world.nodes[holder].frozen_until_ms = u64::MAX;
                world.run_until(10_000, |world| {
                    world.holder().is_some_and(|successor| successor != holder)
                });
            }
            configure(&mut world, case.later.0, Some(case.later.1));
            world.run(15_000);
            assert_eq!(
                starts(&world),
                case.starts,
                "{}, takeover {takeover}",
                case.name
            );
        }
    }
}
