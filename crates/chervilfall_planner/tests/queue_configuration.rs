//! Which configuration a job's queue is taken from, when the node that took the request and the holder know different
//! ones, and when the holder's changes later.

mod world;

use std::sync::Arc;

use chervilfall_planner::{Answer, Configuration, Event, JobId, JobSpec, Queue, Request};
use world::{step, World};

/// Service that all endpoints of the world belong to.
const POOL: &str = "pool";
/// A service without endpoints.
const EMPTY_SERVICE: &str = "elsewhere";
/// Version that the holder has in force.
const HOLDER_VERSION: u64 = 5;

fn queue(world: &World, service: &str, configuration: u64) -> Queue {
    Queue {
        service: service.to_owned(),
        configuration,
        advice: None,
        ..world.queue.clone()
    }
}

/// Puts a configuration in force at the holder, with the world's queue served by `service`, or without it.
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

/// Hands a job in for a queue as the node that took the request knows it, and lets the world run.
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
fn the_newer_configuration_says_which_service_runs_a_job() {
    struct Case {
        name: &'static str,
        /// Version that the request names, and the service there.
        named: (u64, &'static str),
        /// Service at the holder; none if it has no such queue.
        known: Option<&'static str>,
        answer: Answer,
        starts: usize,
    }
    let cases = [
        Case {
            name: "the same version",
            named: (HOLDER_VERSION, POOL),
            known: Some(POOL),
            answer: Answer::Accepted,
            starts: 2,
        },
        Case {
            name: "the holder's is older",
            named: (HOLDER_VERSION + 1, POOL),
            known: Some(EMPTY_SERVICE),
            answer: Answer::Accepted,
            starts: 2,
        },
        Case {
            name: "the holder's is older and lacks the queue",
            named: (HOLDER_VERSION + 1, POOL),
            known: None,
            answer: Answer::Accepted,
            starts: 2,
        },
        Case {
            name: "the holder's is newer",
            named: (HOLDER_VERSION - 1, POOL),
            known: Some(EMPTY_SERVICE),
            answer: Answer::Accepted,
            starts: 0,
        },
        Case {
            name: "the holder's is newer and lacks the queue",
            named: (HOLDER_VERSION - 1, POOL),
            known: None,
            answer: Answer::NoQueue,
            starts: 0,
        },
        Case {
            name: "a request of an earlier program",
            named: (0, EMPTY_SERVICE),
            known: Some(POOL),
            answer: Answer::Accepted,
            starts: 2,
        },
    ];
    for case in cases {
        let mut world = World::new(3, 4, 7);
        world.run(1_500);
        configure(&mut world, HOLDER_VERSION, case.known);
        let named = queue(&world, case.named.1, case.named.0);
        let answer = submit(&mut world, named);
        assert_eq!(answer, case.answer, "{}", case.name);
        assert_eq!(starts(&world), case.starts, "{}", case.name);
    }
}

#[test]
fn a_job_keeps_the_newest_queue_configuration_that_it_had() {
    struct Case {
        name: &'static str,
        /// Version that comes into force after the job was taken, and the service there.
        then: (u64, &'static str),
        starts: usize,
    }
    let cases = [
        Case {
            name: "an older one",
            then: (HOLDER_VERSION + 1, POOL),
            starts: 0,
        },
        Case {
            name: "a newer one",
            then: (HOLDER_VERSION + 3, POOL),
            starts: 2,
        },
    ];
    for case in cases {
        for takeover in [false, true] {
            let mut world = World::new(3, 4, 7);
            world.run(1_500);
            configure(&mut world, HOLDER_VERSION, Some(POOL));
            let named = queue(&world, EMPTY_SERVICE, HOLDER_VERSION + 2);
            assert_eq!(submit(&mut world, named), Answer::Accepted, "{}", case.name);
            assert_eq!(starts(&world), 0, "{}", case.name);
            if takeover {
                let holder = world.holder().expect("a holder");
                world.nodes[holder].frozen_until_ms = u64::MAX;
                world.run_until(10_000, |world| {
                    world.holder().is_some_and(|successor| successor != holder)
                });
            }
            configure(&mut world, case.then.0, Some(case.then.1));
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
