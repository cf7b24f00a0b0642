//! Endpoints that restart under the same name.
//!
//! Guards against this failure: after 17 of 48 endpoints had restarted within half a second, runs
//! on them were recorded as `not there` although they had ended as done or failed, and their tasks
//! were started again, after an end as done and beyond their attempts. The state of an endpoint was
//! kept under its name alone, without the start time of the incarnation. The next incarnation
//! numbers its ends from 1, so they were taken for ends already recorded, and the higher
//! acknowledgement for the earlier incarnation deleted them.
//!
//! The same cause affects leases on a clock that restarts, orders that reach the next incarnation,
//! fencing tokens unknown to it, capacity and draining in an entry of another incarnation, and
//! records of starts and crashes.

mod world;

use ciborium::Value;

use chervilfall_planner::{Answer, Asker, JobId, JobSpec, JobState, Request};
use world::{step, World};

/// Time for all jobs to end after the last crash.
const SETTLE_MS: u64 = 40_000;
/// Time between crashes, in which each endpoint lists some ends.
const BETWEEN_MS: u64 = 2_500;
/// Number of endpoints.
const ENDPOINTS: usize = 6;

/// Minimum number of endpoint crashes during runs of one task before its job may be given up,
/// whatever caused them. Here endpoints crash every 2.5 s, so no holder can always tell which task
/// is at fault.
const GIVEN_UP_CRASHES: usize = 2;

/// A fault at the time of the crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConcurrentFault {
    Nothing,
    /// The holder's process is killed just after each crash.
    HolderKilled,
    /// The holder is frozen for 4 s from each crash on.
    HolderFrozen,
    /// Some orders arrive late.
    LateOrders,
    /// Some answers of the store are lost.
    StoreLosesAnswers,
    /// The store is unreachable for 2 s from each crash on.
    StoreAway,
    /// The endpoints are cut off until 1.5 s after they have restarted.
    Cut,
}

fn job(count: u32, work_ms: u64, gang: bool) -> JobSpec {
    let mut step = step(count, work_ms);
    step.gang = gang;
    JobSpec {
        spec: "text".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    }
}

fn inject_fault(world: &mut World, round: u64, concurrent_fault: ConcurrentFault) {
    let now = world.now;
    let position = usize::try_from(round).expect("small");
    for number in [position % ENDPOINTS, (position + 1) % ENDPOINTS] {
        let endpoint = world.endpoints.values_mut().nth(number).expect("in range");
        endpoint.crash(now, None);
        if concurrent_fault == ConcurrentFault::Cut {
            endpoint.cut_until_ms = now + world.restart_delay_ms + 1_500;
        }
    }
    let Some(holder) = world.holder() else {
        return;
    };
    match concurrent_fault {
        ConcurrentFault::HolderKilled => world.kill(holder),
        ConcurrentFault::HolderFrozen => world.nodes[holder].frozen_until_ms = now + 4_000,
        ConcurrentFault::StoreAway => world.store.down_until_ms = now + 2_000,
        ConcurrentFault::LateOrders => world.late_percent = 20,
        ConcurrentFault::StoreLosesAnswers => world.store.lost_answer_percent = 30,
        ConcurrentFault::Nothing | ConcurrentFault::Cut => {}
    }
}

/// Submits short jobs until `until_ms`, and returns the id of the next one.
fn submit_until(world: &mut World, until_ms: u64, first: u64) -> u64 {
    let mut next = first;
    while world.now < until_ms {
        let work_ms = 100 + world.random.below(900);
        let gang = world.random.percent(20);
        let spec = job(1 + u32::try_from(next % 3).expect("small"), work_ms, gang);
        world.submit(next, spec);
        next += 1;
        world.run(100);
    }
    next
}

/// Waits until all jobs should have ended, and checks their outcomes.
fn settle_and_check(world: &mut World) {
    world.late_percent = 0;
    world.store.lost_answer_percent = 0;
    world.run(SETTLE_MS);
    world.check_history();
    let accepted: Vec<JobId> = world.accepted.iter().copied().collect();
    for id in accepted {
        let answer = world.ask(Request::State {
            id,
            asker: Asker::default(),
        });
        let suspect = world.max_crashes_under(id) >= GIVEN_UP_CRASHES;
        let may_fail = world.has_used_attempts(id) || suspect;
        let failed = answer == Answer::State(JobState::Failed) && may_fail;
        if answer != Answer::State(JobState::Completed) && !failed {
            world.violations.push(format!("job {id} is {answer:?}"));
        }
    }
}

/// Simulates crashes of two endpoints at a time, and returns the violations.
fn run_crashes(restart_delay_ms: u64, concurrent_fault: ConcurrentFault, seed: u64) -> Vec<String> {
    let mut world = World::new(3, ENDPOINTS, seed);
    world.keep_names();
    world.restart_delay_ms = restart_delay_ms;
    world.run(1_500);
    let mut next = 1;
    for round in 0..6 {
        let until_ms = world.now + BETWEEN_MS;
        next = submit_until(&mut world, until_ms, next);
        inject_fault(&mut world, round, concurrent_fault);
    }
    settle_and_check(&mut world);
    if std::env::var("CHERVILFALL_TRACE").is_ok() {
        println!("{}", world.event_log());
    }
    world.violations
}

#[test]
fn endpoints_that_restart_under_their_name_run_nothing_twice() {
    struct Case {
        name: &'static str,
        restart_delay_ms: u64,
        concurrent_fault: ConcurrentFault,
    }
    let case = |name, restart_delay_ms, concurrent_fault| Case {
        name,
        restart_delay_ms,
        concurrent_fault,
    };
    let cases = [
        case("restart at once", 100, ConcurrentFault::Nothing),
        case(
            "restart while orders are in flight",
            300,
            ConcurrentFault::Nothing,
        ),
        case(
            "restart before the endpoint is missed",
            800,
            ConcurrentFault::Nothing,
        ),
        case(
            "restart before leases lapse",
            2_000,
            ConcurrentFault::Nothing,
        ),
        case(
            "restart after leases have lapsed",
            4_000,
            ConcurrentFault::Nothing,
        ),
        case("holder killed as well", 300, ConcurrentFault::HolderKilled),
        case(
            "holder killed as well, slow restart",
            2_000,
            ConcurrentFault::HolderKilled,
        ),
        case(
            "holder frozen meanwhile",
            1_000,
            ConcurrentFault::HolderFrozen,
        ),
        case("orders arrive late", 500, ConcurrentFault::LateOrders),
        case(
            "orders arrive late at a missed endpoint",
            2_000,
            ConcurrentFault::LateOrders,
        ),
        case(
            "the store loses answers",
            400,
            ConcurrentFault::StoreLosesAnswers,
        ),
        case("store unreachable", 600, ConcurrentFault::StoreAway),
        case("cut off at its restart", 300, ConcurrentFault::Cut),
        case(
            "cut off at its restart, slow restart",
            2_000,
            ConcurrentFault::Cut,
        ),
    ];
    let mut failed = Vec::new();
    for case in cases {
        for seed in 1..=4 {
            let violations = run_crashes(case.restart_delay_ms, case.concurrent_fault, seed);
            if let Some(first) = violations.first() {
                let count = violations.len();
                failed.push(format!(
                    "{}, seed {seed}: {count} violations, the first: {first}",
                    case.name
                ));
            }
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Removes the start times of endpoints from a row, as the previous version wrote it.
fn without_start_times(bytes: &[u8]) -> Vec<u8> {
    fn strip(value: &mut Value) {
        match value {
            Value::Map(entries) => {
                entries.retain(|(key, _)| key.as_text() != Some("born_ms"));
                for (_, value) in entries {
                    strip(value);
                }
            }
            Value::Array(values) => values.iter_mut().for_each(strip),
            _ => {}
        }
    }
    let mut value: Value = ciborium::from_reader(bytes).expect("a row");
    strip(&mut value);
    let mut stripped = Vec::new();
    ciborium::into_writer(&value, &mut stripped).expect("a row");
    stripped
}

#[test]
fn rows_without_start_times_are_read_after_a_takeover() {
    for seed in 1..=8 {
        let mut world = World::new(3, ENDPOINTS, seed);
        world.keep_names();
        world.restart_delay_ms = 600;
        world.run(1_500);
        let mut next = 1;
        for round in 0..3 {
            let until_ms = world.now + BETWEEN_MS;
            next = submit_until(&mut world, until_ms, next);
            inject_fault(&mut world, round, ConcurrentFault::HolderKilled);
            world.store.rewrite(without_start_times);
        }
        settle_and_check(&mut world);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn nothing_is_started_while_the_entry_describes_an_earlier_incarnation() {
    struct Case {
        name: &'static str,
        /// Time for which a restarted endpoint cannot reach the store, so that its old entry stays.
        store_cut_ms: u64,
        used: bool,
    }
    let cases = [
        Case {
            name: "entry of its own incarnation",
            store_cut_ms: 0,
            used: true,
        },
        Case {
            name: "entry of the previous incarnation",
            store_cut_ms: 3_500,
            used: false,
        },
    ];
    for case in cases {
        let mut world = World::new(3, 1, 7);
        world.keep_names();
        world.uses_reported_entries = true;
        world.restart_delay_ms = 300;
        world.run(4_000);
        let now = world.now;
        let endpoint = world.endpoints.values_mut().next().expect("one");
        endpoint.crash(now, None);
        endpoint.store_cut_until_ms = now + case.store_cut_ms;
        // It restarts with less CPU than its old entry says.
        endpoint.cpu_milli = 1_000;
        world.run(500);
        world.submit(1, job(4, 5_000, false));
        world.run(2_400);
        let endpoint = world.endpoints.values().next().expect("one");
        assert_eq!(!endpoint.starts.is_empty(), case.used, "{}", case.name);
        world.run(40_000);
        let answer = world.ask(Request::State {
            id: JobId(1),
            asker: Asker::default(),
        });
        let done = answer == Answer::State(JobState::Completed);
        let failed = answer == Answer::State(JobState::Failed);
        assert!(
            done || failed && world.has_used_attempts(JobId(1)),
            "{}",
            case.name
        );
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
    }
}
