//! What open steps wait for: gauges, and log lines about sampled jobs.

mod world;

use std::collections::BTreeMap;
use std::sync::Arc;

use chervilfall_planner::{
    Account, AdviceTimings, Answer, Asker, Configuration, Event, JobId, JobSpec, Request,
    Resources, Step,
};
use world::counters::Counters;
use world::lines::{capture, captured, clear};
use world::{step, ScheduledEvent, World};

const WAITING: &str = "chervilfall_waiting_steps";
/// A job whose waits are logged, and one whose waits are not.
const SAMPLED: u64 = 5;
const UNSAMPLED: u64 = 7;
/// Work that does not end within a test, in milliseconds.
const LONG_MS: u64 = 600_000;

fn job(steps: Vec<Step>) -> JobSpec {
    JobSpec {
        steps,
        ..JobSpec::default()
    }
}

fn submit(world: &mut World, account: Option<&str>, id: u64, step: Step) {
    let answer = world.submit_for(account, id, job(vec![step]));
    assert_eq!(answer, Answer::Accepted, "job {id}");
}

/// Puts the queue and these accounts in force.
fn configure(world: &mut World, accounts: Vec<Account>) {
    let accounts = accounts.into_iter();
    world.config = Arc::new(Configuration {
        version: 2,
        queues: BTreeMap::from([(world.queue.name.clone(), world.queue.clone())]),
        accounts: accounts
            .map(|account| (account.name.clone(), account))
            .collect(),
        ..Configuration::clone(&world.config)
    });
    let holder = world.holder().expect("a holder");
    let event = Event::Configured(Arc::clone(&world.config));
    world.handle_event(holder, event);
}

/// Gives the account `team` a quota.
fn set_quota(world: &mut World, cpu_milli: u64) {
    let account = Account {
        name: "team".to_owned(),
        weight: 0.0,
        quota: Resources {
            cpu_milli,
            ..Resources::default()
        },
    };
    configure(world, vec![account]);
}

fn set_advice(world: &mut World, decide_ms: f64) {
    world.queue.advice = Some(AdviceTimings {
        decide_ms,
        each_ms: 0.1,
        valid_ms: 1_500,
    });
    world.advice_timed = true;
    configure(world, Vec::new());
}

fn without_capacity(world: &mut World) {
    submit(world, None, 1, step(12, LONG_MS));
    world.run(2_000);
}

fn without_quota(world: &mut World) {
    set_quota(world, 2_000);
    submit(world, Some("team"), 1, step(2, LONG_MS));
    submit(world, Some("team"), 2, step(1, LONG_MS));
    world.run(2_000);
}

/// A wide gang waits for the quota, and a job behind it would take what is left.
fn behind_a_reservation(world: &mut World) {
    world.queue.advice = None;
    set_quota(world, 4_000);
    submit(world, Some("team"), 1, step(3, 6_000));
    world.run(500);
    let gang = Step {
        gang: true,
        ..step(4, LONG_MS)
    };
    submit(world, Some("team"), 2, gang);
    submit(world, Some("team"), 3, step(1, LONG_MS));
    world.run(2_000);
}

fn without_a_node_for_a_call(world: &mut World) {
    set_advice(world, 5_000.0);
    submit(world, None, 1, step(1, LONG_MS));
    submit(world, None, 2, step(1, LONG_MS));
    world.run(2_000);
}

/// A takeover together with the loss of an endpoint, whose tasks may still run.
fn behind_the_barrier(world: &mut World) {
    submit(world, None, 1, step(4, LONG_MS));
    world.run(1_000);
    let running = world.endpoints.values_mut();
    for endpoint in running.filter(|endpoint| !endpoint.running.is_empty()) {
        endpoint.dead = true;
    }
    let holder = world.holder().expect("a holder");
    world.nodes[holder].frozen_until_ms = u64::MAX;
    world.run(5_000);
}

/// A takeover by a node that cannot read the texts.
fn without_text(world: &mut World) {
    set_quota(world, 1_000);
    submit(world, Some("team"), 1, step(1, 2_000));
    submit(world, Some("team"), 2, step(1, LONG_MS));
    let holder = world.holder().expect("a holder");
    world.nodes[holder].frozen_until_ms = u64::MAX;
    world.store.clear_table("texts");
    world.run_until(4_000, |world| world.holder() == Some(1 - holder));
    // The new holder keeps reading: after its last reading, a job without a text is given up.
    world.scheduled.retain(|_, scheduled| {
        !matches!(scheduled, ScheduledEvent::DeliverEvent(_, _, event)
            if matches!(**event, Event::TextsRead))
    });
    world.run(4_000);
}

#[test]
fn waiting_steps_are_counted_by_cause() {
    struct Case {
        name: &'static str,
        /// Nodes that can call for advice.
        advisors: u32,
        play: fn(&mut World),
        counted: &'static [(&'static str, f64)],
    }
    let cases = [
        Case {
            name: "all endpoints are in use",
            advisors: 4,
            play: without_capacity,
            counted: &[("cause=capacity,priority=1", 1.0)],
        },
        Case {
            name: "the quota is in use",
            advisors: 4,
            play: without_quota,
            counted: &[("cause=quota,priority=1", 1.0)],
        },
        Case {
            name: "a wide gang has reserved the quota",
            advisors: 4,
            play: behind_a_reservation,
            counted: &[
                ("cause=quota,priority=1", 1.0),
                ("cause=reservation,priority=1", 1.0),
            ],
        },
        Case {
            name: "one node for two calls",
            advisors: 1,
            play: without_a_node_for_a_call,
            counted: &[
                ("cause=advice_call,priority=1", 1.0),
                ("cause=advice_node,priority=1", 1.0),
            ],
        },
        Case {
            name: "a takeover while an endpoint is lost",
            advisors: 4,
            play: behind_the_barrier,
            counted: &[("cause=barrier,priority=1", 1.0)],
        },
        Case {
            name: "a takeover by a node that cannot read the texts",
            advisors: 4,
            play: without_text,
            counted: &[("cause=text,priority=1", 1.0)],
        },
        Case {
            name: "idle",
            advisors: 4,
            play: |world| world.run(2_000),
            counted: &[],
        },
    ];
    for case in cases {
        let counters = Counters::default();
        let mut world = World::new(2, 2, 3);
        world.advisors = case.advisors;
        metrics::with_local_recorder(&counters, || {
            world.run(1_500);
            (case.play)(&mut world);
        });
        let expected = case.counted.iter();
        let expected: BTreeMap<String, f64> = expected
            .map(|(key, steps)| ((*key).to_owned(), *steps))
            .collect();
        assert_eq!(counters.gauges_of(WAITING), expected, "{}", case.name);
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
    }
}

/// Guards against gauges that still show waiting steps after these have started, or on a node that
/// no longer holds the group.
#[test]
fn gauges_fall_to_zero() {
    struct Case {
        name: &'static str,
        end: fn(&mut World),
    }
    let cases = [
        Case {
            name: "the work is cancelled",
            end: |world| {
                let asker = Asker {
                    account: None,
                    queue: "batch".to_owned(),
                };
                let id = JobId(1);
                world.ask(Request::Cancel { id, asker });
                world.run(1_500);
            },
        },
        Case {
            name: "the holder releases the group",
            end: |world| {
                let holder = world.holder().expect("a holder");
                let planner = world.nodes[holder].planner.as_mut();
                planner.expect("a planner").release();
                world.run_until(500, |world| world.nodes[holder].planner.is_none());
            },
        },
    ];
    for case in cases {
        let counters = Counters::default();
        let mut world = World::new(1, 2, 3);
        metrics::with_local_recorder(&counters, || {
            world.run(1_500);
            without_capacity(&mut world);
            assert_eq!(counters.gauges_of(WAITING).len(), 1, "{}", case.name);
            (case.end)(&mut world);
        });
        assert_eq!(
            counters.gauges_of(WAITING),
            BTreeMap::new(),
            "{}",
            case.name
        );
    }
}

/// Guards against a flood of lines: with many open steps, causes change in each pass.
#[test]
fn lines_name_the_causes_of_sampled_jobs_once_a_second() {
    const FOR_MS: u64 = 5_000;
    // Only this test sets a logger.
    capture();
    let mut world = World::new(1, 2, 3);
    world.run(1_500);
    set_advice(&mut world, 300.0);
    submit(&mut world, None, 2, step(8, LONG_MS));
    world.run(1_000);
    clear();
    for id in [SAMPLED, UNSAMPLED] {
        submit(&mut world, None, id, step(1, LONG_MS));
    }
    let causes = || captured("step waits", Some("0000000000000005.0.0"), "cause");
    // The call is answered after 300 ms, so that the cause changes within the first second.
    world.run(900);
    assert_eq!(causes(), ["advice_call"]);
    world.run(FOR_MS - 900);
    assert_eq!(causes(), ["advice_call", "capacity"]);
    let unsampled = captured("step waits", Some("0000000000000007.0.0"), "cause");
    assert_eq!(unsampled, Vec::<String>::new());
    let reports = captured("steps wait", None, "open_steps");
    assert!((4..=6).contains(&reports.len()), "{reports:?}");
    assert_eq!(reports.last().map(String::as_str), Some("2"));
}
