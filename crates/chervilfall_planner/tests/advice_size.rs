//! Calls to the advice service name as many endpoints as the waiting tasks need.
//!
//! Guards against this failure: calls named 61 to 90 endpoints, of which 20 were granted. Each call
//! took as long as its endpoints, all nodes were busy with calls, and steps waited for a node while
//! most cores were free.

mod world;

use std::collections::BTreeMap;
use std::sync::Arc;

use chervilfall_planner::{
    call_size, AdviceTimings, Answer, CallNeed, Configuration, GrantShare, JobId, JobSpec, Step,
};
use world::counters::Counters;
use world::{step, World};

const ENDPOINTS: usize = 200;
const JOBS: u64 = 60;
const SUBMIT_INTERVAL_MS: u64 = 300;
const TASKS: u32 = 12;

#[test]
fn calls_name_what_the_waiting_tasks_need() {
    struct Case {
        name: &'static str,
        share: f64,
        waiting: u32,
        granted: u32,
        in_flight: Vec<u32>,
        candidates: Vec<u32>,
        size: usize,
    }
    let case = |name, share, waiting, candidates, size| Case {
        name,
        share,
        waiting,
        granted: 0,
        in_flight: vec![],
        candidates,
        size,
    };
    let cases = [
        case("all granted", 1.0, 20, vec![1; 90], 20),
        case("at least ten", 1.0, 2, vec![1; 90], 10),
        case("fewer than ten there are", 1.0, 20, vec![1; 4], 4),
        // 100 endpoints give 25 of which 4.3 are one standard deviation.
        case("a quarter granted", 0.25, 20, vec![1; 120], 98),
        case("several fit on each", 0.25, 20, vec![4; 90], 30),
        case("never enough", 0.25, 90, vec![1; 90], 90),
        case("none granted", 0.0, 1, vec![1; 90], 90),
        case("nothing is free", 0.25, 1, vec![0; 90], 90),
        Case {
            granted: 12,
            ..case("some fit already", 1.0, 30, vec![1; 90], 18)
        },
        Case {
            in_flight: vec![1; 12],
            ..case("some are asked about", 1.0, 30, vec![1; 90], 18)
        },
        Case {
            in_flight: vec![1; 30],
            ..case("calls in flight are enough", 1.0, 30, vec![1; 90], 0)
        },
    ];
    for case in cases {
        let size = call_size(&CallNeed {
            share: case.share,
            waiting: case.waiting,
            granted: case.granted,
            in_flight: &case.in_flight,
            candidates: &case.candidates,
        });
        assert_eq!(size, case.size, "{}", case.name);
    }
}

#[test]
fn a_share_is_known_after_enough_answers_and_follows_changes() {
    let mut grants = GrantShare::default();
    grants.record(199, 50);
    assert_eq!(grants.share(), None);
    grants.record(1, 0);
    assert_eq!(grants.share(), Some(0.25));
    for _ in 0..40 {
        grants.record(200, 200);
    }
    assert!(grants.share() > Some(0.9), "{grants:?}");
}

fn job(step: Step) -> JobSpec {
    JobSpec {
        spec: "text".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    }
}

/// Returns the time from a job's submission to its last start; none if tasks were not started.
fn wait_ms(world: &World, id: u64, submitted_ms: u64) -> Option<u64> {
    let endpoints = world.endpoints.values();
    let starts = endpoints.flat_map(|endpoint| &endpoint.starts);
    let own = starts.filter(|(_, task, _)| task.job == JobId(id));
    let own: Vec<u64> = own.map(|(at_ms, ..)| *at_ms).collect();
    let last_ms = own.iter().max()?;
    (own.len() >= TASKS as usize).then(|| last_ms - submitted_ms)
}

/// Plays jobs whose calls keep a few nodes busy; returns the mean wait of all but the first ones,
/// from whose answers the share is learned.
fn play(advice_call_size: bool, kill: bool) -> u64 {
    let mut world = World::new(2, ENDPOINTS, 5);
    world.limits.policies.advice_call_size = advice_call_size;
    for endpoint in world.endpoints.values_mut() {
        endpoint.fail_percent = 0;
    }
    world.advice_timed = true;
    world.advice_percent = 45;
    world.queue.advice = Some(AdviceTimings {
        decide_ms: 130.0,
        each_ms: 8.0,
        valid_ms: 1_500,
    });
    world.config = Arc::new(Configuration {
        queues: BTreeMap::from([(world.queue.name.clone(), world.queue.clone())]),
        ..Configuration::clone(&world.config)
    });
    world.run(1_500);
    let mut submitted = Vec::new();
    for id in 1..=JOBS {
        submitted.push((id, world.now));
        assert_eq!(world.submit(id, job(step(TASKS, 1_500))), Answer::Accepted);
        if kill && id == JOBS / 2 {
            let holder = world.holder().expect("a holder");
            world.kill(holder);
            world.run_until(20_000, |world| world.holder().is_some());
        }
        world.run(SUBMIT_INTERVAL_MS);
    }
    world.run(30_000);
    world.check_history();
    assert_eq!(world.violations, Vec::<String>::new());
    let counted = submitted.iter().skip(20);
    let waits = counted.map(|(id, at_ms)| wait_ms(&world, *id, *at_ms).expect("all start"));
    let waits: Vec<u64> = waits.collect();
    waits.iter().sum::<u64>() / waits.len() as u64
}

#[test]
fn steps_wait_less_for_nodes_when_calls_are_sized_by_need() {
    let counters = Counters::default();
    let without_ms = play(false, false);
    let with_ms = metrics::with_local_recorder(&counters, || play(true, false));
    println!("mean wait: {with_ms} ms with the policy, {without_ms} ms without");
    assert!(2 * with_ms < without_ms, "{with_ms} {without_ms}");
    let endpoints = counters.of("chervilfall_advice_endpoints_total");
    assert!(
        endpoints["kind=spared"] > endpoints["kind=named"],
        "{endpoints:?}"
    );
}

#[test]
fn a_new_holder_sizes_calls_as_before_until_it_has_learned() {
    let named_and_spared = |kill: bool| {
        let counters = Counters::default();
        metrics::with_local_recorder(&counters, || play(true, kill));
        let endpoints = counters.of("chervilfall_advice_endpoints_total");
        (endpoints["kind=named"], endpoints["kind=spared"])
    };
    let (named, spared) = named_and_spared(false);
    let (named_by_two, spared_by_two) = named_and_spared(true);
    assert!(named_by_two > named + 100, "{named_by_two} {named}");
    assert!(2 * spared_by_two > spared, "{spared_by_two} {spared}");
}
