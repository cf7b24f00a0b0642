//! Capacity for which a gang's call was made is kept until the call ends.
//!
//! Guards against this failure: a gang asked for new tickets when its allowed endpoints had enough
//! free capacity. The call took 0.5 to 1.5 s, tolerant work took the capacity meanwhile, and the
//! gang had to ask again.

mod world;

use std::collections::BTreeMap;

use chervilfall_planner::{
    may_keep, AdviceTimings, CallHold, CallHolds, CallNumber, EndpointKey, Event, Queue, Resources,
    Step,
};
use slotmap::SlotMap;
use world::counters::Counters;
use world::{step, World};

const ENDPOINTS: usize = 60;
/// Nodes that call the advice service.
const CALLERS: u32 = 8;
const GANGS: u64 = 12;
const GANG_TASKS: u32 = 12;
const ALLOWED_PERCENT: u64 = 25;
const TOLERANT_MS: u64 = 600;
const SHORT_MS: u64 = 100;
const INTERVAL_MS: u64 = 100;
/// Tolerant work arrives in waves of this many intervals. While a wave is high it fills the pool;
/// in the rest, the time of a call is longer than capacity stays free.
const PERIOD: u64 = 36;
const HIGH: u64 = 30;
const FIRST_SHORT: u64 = 100_000;
const FIRST_TOLERANT: u64 = 200_000;
/// Time that a submission may wait for its commit, in milliseconds.
const WAIT_MS: u64 = 1_000;

fn cores(cores: u64) -> Resources {
    Resources {
        cpu_milli: cores * 1_000,
        memory_mb: cores * 100,
        gpus: 0,
    }
}

#[test]
fn at_most_a_tenth_of_a_pool_is_kept() {
    struct Case {
        name: &'static str,
        kept: u64,
        wanted: u64,
        may: bool,
    }
    let case = |name, kept, wanted, may| Case {
        name,
        kept,
        wanted,
        may,
    };
    let cases = [
        case("a tenth", 0, 10, true),
        case("more than a tenth", 0, 11, false),
        case("a tenth with others", 7, 3, true),
        case("more than a tenth with others", 7, 4, false),
    ];
    for case in cases {
        let may = may_keep(cores(case.kept), cores(case.wanted), cores(100));
        assert_eq!(may, case.may, "{}", case.name);
    }
}

#[test]
fn holds_end_with_their_calls_and_count_in_their_own_pool() {
    let mut keys: SlotMap<EndpointKey, ()> = SlotMap::with_key();
    let (one, other) = (keys.insert(()), keys.insert(()));
    let hold = |step: u8, service: &str| {
        CallHold::new(
            step,
            service.to_owned(),
            cores(2),
            &[one, other, one],
            1_000,
        )
    };
    let first = CallNumber::before_term(1).next();
    let (second, third) = (first.next(), first.next().next());
    let mut holds = CallHolds::default();
    assert!(holds.begin(first, hold(1, "pool"), cores(100)));
    assert!(
        !holds.begin(second, hold(2, "pool"), cores(100)),
        "12 of 100 cores"
    );
    assert!(holds.begin(third, hold(3, "other"), cores(100)));
    let kept: Vec<Resources> = holds.iter().map(|hold| hold.on(one)).collect();
    assert_eq!(kept, [cores(4), cores(4)]);
    assert_eq!(holds.kept("pool"), cores(6));
    assert_eq!(holds.end(first).map(|hold| hold.step()), Some(1));
    assert_eq!(holds.end(first), None);
    assert_eq!(holds.kept("pool"), Resources::default());
}

fn queue(world: &World, name: &str, priority: u32, stretch: f64, target_latency_ms: u64) -> Queue {
    Queue {
        name: name.to_owned(),
        priority,
        stretch,
        target_latency_ms,
        advice: None,
        ..world.queue.clone()
    }
}

/// What is done to the holder or to the calling nodes while gangs wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    HolderLost,
    /// All calling nodes but one are lost and return, so that calls in flight fail.
    CallersLost,
}

/// Mean time from submission to the first start, in milliseconds.
#[derive(Debug)]
struct Waits {
    gangs: u64,
    short: u64,
}

fn set_callers(world: &mut World, callers: u32) {
    let holder = world.holder().expect("a holder");
    world.handle_event(holder, Event::Nodes((0..callers).collect()));
}

fn mean_wait_ms(world: &World, submitted: &BTreeMap<u64, u64>) -> u64 {
    let endpoints = world.endpoints.values();
    let starts = endpoints.flat_map(|endpoint| &endpoint.starts);
    let mut first: BTreeMap<u64, u64> = BTreeMap::new();
    for (at_ms, task, _) in starts {
        let earliest = first.entry(task.job.0).or_insert(*at_ms);
        *earliest = (*earliest).min(*at_ms);
    }
    let waits = submitted.iter().map(|(id, at_ms)| first[id] - at_ms);
    waits.sum::<u64>() / submitted.len() as u64
}

/// Plays gangs beside tolerant work that takes whatever is free, and short work.
fn play(gang_call_hold: bool, fault: Fault) -> Waits {
    let mut world = World::new(2, ENDPOINTS, 7);
    world.limits.policies.gang_call_hold = gang_call_hold;
    for endpoint in world.endpoints.values_mut() {
        endpoint.fail_percent = 0;
    }
    world.advisors = CALLERS;
    world.advice_timed = true;
    world.advice_percent = ALLOWED_PERCENT;
    let gang_queue = Queue {
        advice: Some(AdviceTimings {
            decide_ms: 700.0,
            each_ms: 5.0,
            valid_ms: 1_500,
        }),
        ..queue(&world, "match", 1, 2.2, 1_000)
    };
    let tolerant_queue = queue(&world, "sync", 2, 40.0, 3_000);
    let short_queue = queue(&world, "lookup", 0, 1.5, 50);
    world.run(1_500);
    let (mut gangs, mut short) = (BTreeMap::new(), BTreeMap::new());
    for round in 0..GANGS * PERIOD {
        // Everything submitted so far is stored.
        if round == 100 && fault == Fault::HolderLost {
            let holder = world.holder().expect("a holder");
            world.kill(holder);
            world.run_until(20_000, |world| world.holder().is_some());
        }
        let width = if round % PERIOD < HIGH { 40 } else { 6 };
        let tolerant = step(width, TOLERANT_MS);
        world.hand_in(&tolerant_queue, FIRST_TOLERANT + round, tolerant, WAIT_MS);
        if round % PERIOD == 0 {
            let gang = Step {
                gang: true,
                ..step(GANG_TASKS, 4_000)
            };
            gangs.insert(round, world.now);
            world.hand_in(&gang_queue, round, gang, WAIT_MS);
        }
        let id = FIRST_SHORT + round;
        short.insert(id, world.now);
        world.hand_in(&short_queue, id, step(1, SHORT_MS), WAIT_MS);
        if fault == Fault::CallersLost && round % PERIOD == HIGH + 5 {
            set_callers(&mut world, 1);
            set_callers(&mut world, CALLERS);
        }
        world.run(INTERVAL_MS);
    }
    world.run(30_000);
    world.check_history();
    assert_eq!(world.violations, Vec::<String>::new(), "{fault:?}");
    Waits {
        gangs: mean_wait_ms(&world, &gangs),
        short: mean_wait_ms(&world, &short),
    }
}

#[test]
fn gangs_find_the_capacity_for_which_they_asked() {
    let counters = Counters::default();
    let without = play(false, Fault::None);
    let with = metrics::with_local_recorder(&counters, || play(true, Fault::None));
    println!("with {with:?}, without {without:?}");
    assert!(2 * with.gangs < without.gangs, "{with:?} {without:?}");
    assert!(with.short <= without.short + 5, "{with:?} {without:?}");
    let outcomes = counters.of("chervilfall_gang_call_holds_total");
    assert!(outcomes["outcome=fits"] > 3, "{outcomes:?}");
}

#[test]
fn holds_end_when_the_holder_or_the_calling_node_is_lost() {
    for fault in [Fault::HolderLost, Fault::CallersLost] {
        let counters = Counters::default();
        let waits = metrics::with_local_recorder(&counters, || play(true, fault));
        let outcomes = counters.of("chervilfall_gang_call_holds_total");
        println!("{fault:?}: {waits:?} {outcomes:?}");
        if fault == Fault::CallersLost {
            assert!(outcomes["outcome=failed"] > 0, "{outcomes:?}");
        }
        let kept = counters.gauges_of("chervilfall_gang_call_held_cpu_milli");
        assert!(kept.is_empty(), "{fault:?}: {kept:?}");
    }
}
