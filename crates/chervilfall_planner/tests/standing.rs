//! Steps that stand still: the report names why each endpoint of their service is passed over.

mod world;

use std::collections::BTreeMap;
use std::sync::Arc;

use chervilfall_planner::{
    AdviceTimings, Answer, Asker, Configuration, Event, JobId, JobSpec, Request, ServiceUsage,
    StandingAdvice, StandingStep, Step,
};
use world::counters::Counters;
use world::endpoint::domain_name;
use world::lines::{capture, captured_lines, clear};
use world::{step, World};

/// Work that does not end within a test, in milliseconds.
const LONG_MS: u64 = 600_000;
/// The job whose first step stands still.
const STANDING: u64 = 1_000;
/// Another one beside it.
const BESIDE: u64 = 1_001;
/// Time in which each step that stands still is reported.
const REPORT_MS: u64 = 8_000;

fn submit(world: &mut World, id: u64, step: Step) {
    let job = JobSpec {
        steps: vec![step],
        ..JobSpec::default()
    };
    assert_eq!(world.submit(id, job), Answer::Accepted, "job {id}");
}

fn gang(count: u32) -> Step {
    Step {
        gang: true,
        ..step(count, LONG_MS)
    }
}

/// Puts the world's queue in force.
fn configure(world: &mut World) {
    world.config = Arc::new(Configuration {
        version: 2,
        queues: BTreeMap::from([(world.queue.name.clone(), world.queue.clone())]),
        ..Configuration::clone(&world.config)
    });
    let holder = world.holder().expect("a holder");
    let event = Event::Configured(Arc::clone(&world.config));
    world.handle_event(holder, event);
}

fn without_advice(world: &mut World) {
    world.queue.advice = None;
    configure(world);
}

/// Gives the endpoint with this number a label.
fn label(world: &mut World, endpoint: usize) {
    let mut endpoints = world.endpoints.values_mut();
    let labelled = endpoints.nth(endpoint).expect("an endpoint");
    labelled.labels.insert("fast".to_owned());
}

fn with_label(step: Step) -> Step {
    Step {
        required_label: Some("fast".to_owned()),
        ..step
    }
}

fn full(world: &mut World) {
    without_advice(world);
    submit(world, 1, step(12, LONG_MS));
    submit(world, STANDING, step(1, LONG_MS));
}

fn too_wide(world: &mut World) {
    without_advice(world);
    submit(world, 1, step(5, LONG_MS));
    submit(world, STANDING, gang(8));
}

fn behind_a_label(world: &mut World) {
    without_advice(world);
    label(world, 1);
    world.run(1_000);
    submit(world, 1, with_label(step(4, LONG_MS)));
    submit(world, STANDING, with_label(step(2, LONG_MS)));
}

fn at_most_on_each_endpoint(world: &mut World) {
    without_advice(world);
    let lasting = Step {
        long_running: true,
        max_per_endpoint: 1,
        ..step(4, LONG_MS)
    };
    submit(world, STANDING, lasting);
}

fn leaving(world: &mut World) {
    without_advice(world);
    let mut endpoints = world.endpoints.values_mut();
    endpoints.next().expect("an endpoint").draining = true;
    let evacuated = endpoints.next().expect("an endpoint");
    evacuated.domain = 1;
    world.evacuated.insert(domain_name(1));
    world.run(1_000);
    submit(world, 1, step(4, LONG_MS));
    submit(world, STANDING, step(1, LONG_MS));
}

fn denied(world: &mut World) {
    world.advice_percent = 0;
    submit(world, STANDING, step(1, LONG_MS));
}

/// The call of one step is in flight, and the other waits for the only node that can call.
fn asking(world: &mut World) {
    world.queue.advice = Some(AdviceTimings {
        decide_ms: 20_000.0,
        each_ms: 0.1,
        valid_ms: 1_500,
    });
    world.advice_timed = true;
    configure(world);
    submit(world, STANDING, step(1, LONG_MS));
    submit(world, BESIDE, step(1, LONG_MS));
}

/// All runs fail until the attempts of all jobs are used up, and all endpoints are on trial after
/// their pauses. One has a run then, so that a gang that needs all of their capacity has no room.
fn on_trial(world: &mut World) {
    without_advice(world);
    let endpoints = world.endpoints.values_mut();
    endpoints.for_each(|endpoint| endpoint.fails_all = true);
    for id in 1..=24 {
        submit(world, id, step(1, 100));
    }
    world.run(60_000);
    let endpoints = world.endpoints.values_mut();
    endpoints.for_each(|endpoint| endpoint.fails_all = false);
    world.run(20_000);
    submit(world, 100, step(1, LONG_MS));
    submit(world, STANDING, gang(24));
}

/// An empty pool in which latency-sensitive work has just ended.
fn behind_headroom(world: &mut World) {
    let standard = world.queue.clone();
    world.queue.stretch = 1.5;
    world.queue.target_latency_ms = 250;
    without_advice(world);
    submit(world, 1, step(24, 1_000));
    world.run(3_000);
    world.queue = standard;
    world.queue.stretch = 4.0;
    world.queue.target_latency_ms = 60_000;
    without_advice(world);
    submit(world, STANDING, step(1, 1_000));
}

/// An overdue step beside a gang that waits with worth. What is free is left to the gang for some time.
fn behind_claims(world: &mut World) {
    world.queue.stretch = 1.0;
    world.queue.target_latency_ms = 100;
    without_advice(world);
    submit(world, 1, step(8, LONG_MS));
    submit(world, 2, step(4, 2_500));
    world.run(1_700);
    submit(world, STANDING, step(1, 100));
    submit(world, BESIDE, gang(8));
}

fn report(world: &mut World, job: u64) -> StandingStep {
    let name = format!("{}.0.0", JobId(job));
    let find = |world: &World| {
        let planner = world.nodes[world.holder()?].planner.as_ref()?;
        let mut steps = planner.standing_steps().iter();
        steps.find(|step| step.step == name).cloned()
    };
    world.run_until(REPORT_MS, |world| find(world).is_some());
    find(world).expect("a report")
}

/// What a report is to say of a step.
struct Expected {
    job: u64,
    cause: &'static str,
    /// Endpoints passed over, by reason.
    passed_over: &'static [(&'static str, usize)],
    /// Endpoints that offer to run a task, and those of them on trial.
    offering: usize,
    on_trial: usize,
    /// Tasks that must start at once, and for how many there is room.
    wants: u32,
    room: u64,
    advice: Option<StandingAdvice>,
    claimed_cpu_milli: u64,
    leaves_headroom: bool,
    /// CPU that runs of the service reserve.
    used_cpu_milli: u64,
    standing_beside: usize,
}

impl Expected {
    const fn of(
        cause: &'static str,
        wants: u32,
        passed_over: &'static [(&'static str, usize)],
    ) -> Self {
        Self {
            job: STANDING,
            cause,
            passed_over,
            offering: 0,
            on_trial: 0,
            wants,
            room: 0,
            advice: None,
            claimed_cpu_milli: 0,
            leaves_headroom: false,
            used_cpu_milli: 0,
            standing_beside: 0,
        }
    }
}

struct Case {
    name: &'static str,
    endpoints: usize,
    play: fn(&mut World),
    expected: Vec<Expected>,
}

/// Returns a case with three endpoints.
fn three(name: &'static str, play: fn(&mut World), expected: Vec<Expected>) -> Case {
    Case {
        name,
        endpoints: 3,
        play,
        expected,
    }
}

/// Returns cases in which hard limits keep a step from starting.
fn cases_of_hard_limits() -> Vec<Case> {
    vec![
        three(
            "all endpoints are full",
            full,
            vec![Expected {
                used_cpu_milli: 12_000,
                ..Expected::of("capacity", 1, &[("room", 3)])
            }],
        ),
        three(
            "a gang is too wide for what is free",
            too_wide,
            vec![Expected {
                offering: 2,
                room: 7,
                used_cpu_milli: 5_000,
                ..Expected::of("capacity", 8, &[("room", 1)])
            }],
        ),
        three(
            "two endpoints lack the label, the third is full",
            behind_a_label,
            vec![Expected {
                used_cpu_milli: 4_000,
                ..Expected::of("capacity", 1, &[("label", 2), ("room", 1)])
            }],
        ),
        three(
            "each endpoint has its one task of the step",
            at_most_on_each_endpoint,
            vec![Expected {
                used_cpu_milli: 3_000,
                ..Expected::of("capacity", 1, &[("max_per_endpoint", 3)])
            }],
        ),
        three(
            "one endpoint drains, one is evacuated, one is full",
            leaving,
            vec![Expected {
                used_cpu_milli: 4_000,
                ..Expected::of("capacity", 1, &[("leaving", 2), ("room", 1)])
            }],
        ),
    ]
}

/// Returns cases in which a step waits for the advice service.
fn cases_of_advice() -> Vec<Case> {
    let advice = StandingAdvice {
        allowed: 0,
        ticketed: 0,
        calls_in_flight: 0,
        answered_calls: 0,
        doubted_answers: 0,
        room: 0,
    };
    vec![
        three(
            "the advice service denies all endpoints",
            denied,
            vec![Expected {
                advice: Some(StandingAdvice {
                    answered_calls: 1,
                    ..advice
                }),
                ..Expected::of("capacity", 1, &[("denied", 3)])
            }],
        ),
        three(
            "a call for advice is in flight, another step waits for its node",
            asking,
            vec![
                Expected {
                    advice: Some(StandingAdvice {
                        calls_in_flight: 1,
                        ..advice
                    }),
                    standing_beside: 1,
                    ..Expected::of("advice_call", 1, &[("asking", 3)])
                },
                Expected {
                    job: BESIDE,
                    advice: Some(advice),
                    standing_beside: 1,
                    ..Expected::of("advice_node", 1, &[("not_asked", 3)])
                },
            ],
        ),
    ]
}

/// Returns cases in which a policy keeps a step from starting.
fn cases_of_policies() -> Vec<Case> {
    vec![
        Case {
            name: "all endpoints are on trial, one of them with a run",
            endpoints: 6,
            play: on_trial,
            expected: vec![Expected {
                offering: 5,
                on_trial: 5,
                room: 5,
                used_cpu_milli: 1_000,
                ..Expected::of("capacity", 24, &[("on_trial", 1)])
            }],
        },
        three(
            "what is free is left to latency-sensitive work",
            behind_headroom,
            vec![Expected {
                offering: 3,
                leaves_headroom: true,
                ..Expected::of("capacity", 1, &[])
            }],
        ),
        three(
            "what is free is left to a gang with worth",
            behind_claims,
            vec![
                Expected {
                    claimed_cpu_milli: 8_000,
                    used_cpu_milli: 8_000,
                    standing_beside: 1,
                    ..Expected::of("capacity", 1, &[("left_for_claims", 1), ("room", 2)])
                },
                Expected {
                    job: BESIDE,
                    offering: 1,
                    room: 4,
                    used_cpu_milli: 8_000,
                    standing_beside: 1,
                    ..Expected::of("capacity", 8, &[("room", 2)])
                },
            ],
        ),
    ]
}

/// Guards against a report that miscounts why a step is passed over, from which a standstill could
/// not be told.
#[test]
fn reports_name_the_reasons_for_which_endpoints_are_passed_over() {
    let cases = [
        cases_of_hard_limits(),
        cases_of_advice(),
        cases_of_policies(),
    ];
    for case in cases.into_iter().flatten() {
        let mut world = World::new(1, case.endpoints, 3);
        world.advisors = 1;
        world.limits.policies.admission_forecast = false;
        world
            .endpoints
            .values_mut()
            .for_each(|endpoint| endpoint.fail_percent = 0);
        world.run(1_500);
        (case.play)(&mut world);
        for expected in &case.expected {
            let step = report(&mut world, expected.job);
            let name = format!("{}, job {}: {step:?}", case.name, expected.job);
            let passed_over = step.passed_over.iter();
            let passed_over: BTreeMap<&str, usize> = passed_over
                .map(|(reason, endpoints)| (reason.label(), *endpoints))
                .collect();
            let reasons = expected.passed_over.iter().copied().collect();
            assert_eq!(passed_over, reasons, "{name}");
            assert_eq!(step.cause, Some(expected.cause), "{name}");
            assert_eq!(step.endpoints, case.endpoints, "{name}");
            assert_eq!(step.offering, expected.offering, "{name}");
            assert_eq!(step.on_trial, expected.on_trial, "{name}");
            assert_eq!(step.wants, expected.wants, "{name}");
            assert_eq!(step.room, expected.room, "{name}");
            assert_eq!(step.advice, expected.advice, "{name}");
            assert_eq!(step.claimed_cpu_milli, expected.claimed_cpu_milli, "{name}");
            assert_eq!(step.leaves_headroom, expected.leaves_headroom, "{name}");
            let usage = ServiceUsage {
                capacity_cpu_milli: 4_000 * case.endpoints as u64,
                used_cpu_milli: expected.used_cpu_milli,
            };
            assert_eq!(step.usage, usage, "{name}");
            assert_eq!(step.standing_beside, expected.standing_beside, "{name}");
            assert!(step.for_ms >= 1_000, "{name}");
        }
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
    }
}

/// Guards against a flood of lines when many steps wait, and against lines about steps that have
/// waited for a moment only.
#[test]
fn lines_are_bounded_in_number() {
    const STEPS: u64 = 100;
    const FOR_MS: u64 = 30_000;
    // Only this test sets a logger.
    capture();
    let mut world = World::new(1, 2, 3);
    world.limits.policies.admission_forecast = false;
    world.run(1_500);
    without_advice(&mut world);
    submit(&mut world, 1, step(8, LONG_MS));
    for id in STANDING..STANDING + STEPS {
        submit(&mut world, id, step(1, LONG_MS));
    }
    clear();
    let counters = Counters::default();
    metrics::with_local_recorder(&counters, || world.run(FOR_MS));
    let lines = captured_lines("step stands still");
    let most = usize::try_from(FOR_MS / 1_000 * 8).expect("small");
    assert!(lines.len() <= most, "{} lines", lines.len());
    let mut by_step: BTreeMap<&str, u64> = BTreeMap::new();
    for line in &lines {
        assert_eq!(line["passed_over"], "room:2", "{line:?}");
        let for_ms: u64 = line["for_ms"].parse().expect("a number");
        assert!(for_ms >= 1_000, "{line:?}");
        *by_step.entry(&line["step"]).or_default() += 1;
    }
    assert_eq!(by_step.len() as u64, STEPS, "each step has a line");
    assert!(by_step.values().all(|lines| *lines <= 1 + FOR_MS / 5_000));
    let passed_over = counters.of("chervilfall_standing_passed_over_total");
    let expected = BTreeMap::from([("reason=room".to_owned(), 2 * lines.len() as u64)]);
    assert_eq!(passed_over, expected);
    let gauges = counters.gauges_of("chervilfall_standing_steps");
    assert_eq!(gauges[""].to_bits(), 100.0_f64.to_bits());
}

/// Guards against gauges that still show steps that stand still after these have started, have been
/// cancelled, or on a node that no longer holds the group.
#[test]
fn gauges_fall_to_zero() {
    struct Ending {
        name: &'static str,
        end: fn(&mut World),
    }
    let endings = [
        Ending {
            name: "an endpoint becomes larger",
            end: |world| {
                let now = world.now;
                let first = world.endpoints.values_mut().next();
                first.expect("an endpoint").resize(now, 8_000);
                world.run(3_000);
            },
        },
        Ending {
            name: "the work is cancelled",
            end: |world| {
                let asker = Asker {
                    account: None,
                    queue: "batch".to_owned(),
                };
                let id = JobId(STANDING);
                world.ask(Request::Cancel { id, asker });
                world.run(1_500);
            },
        },
        Ending {
            name: "the holder releases the group",
            end: |world| {
                let holder = world.holder().expect("a holder");
                let planner = world.nodes[holder].planner.as_mut();
                planner.expect("a planner").release();
                world.run_until(500, |world| world.nodes[holder].planner.is_none());
            },
        },
    ];
    for ending in endings {
        let counters = Counters::default();
        let shown = || {
            let names = [
                "chervilfall_standing_steps",
                "chervilfall_standing_longest_seconds",
            ];
            let shown = names.into_iter();
            shown
                .filter(|name| !counters.gauges_of(name).is_empty())
                .count()
        };
        let mut world = World::new(1, 3, 3);
        metrics::with_local_recorder(&counters, || {
            world.run(1_500);
            full(&mut world);
            world.run(4_000);
            assert_eq!(shown(), 2, "{}", ending.name);
            (ending.end)(&mut world);
        });
        assert_eq!(shown(), 0, "{}", ending.name);
    }
}
