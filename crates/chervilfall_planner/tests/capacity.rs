//! Endpoints whose capacity shrinks and grows while they run.
//!
//! What they say of themselves reaches a holder by the store, and only while both reach it. A holder that goes on with
//! what it last read overfills endpoints that have shrunk meanwhile.

mod world;

use chervilfall_planner::{Answer, JobSpec};
use world::{step, World};

/// Processor of an endpoint, in thousandths of a core, and what is left of it at times.
const WHOLE: u32 = 4_000;
const SHRUNK: u32 = 1_000;

struct Case {
    name: &'static str,
    /// Called once, when endpoints shrink.
    strike: fn(&mut World),
}

fn everybody_is_cut_from_the_store(world: &mut World) {
    let until_ms = world.now + 8_500;
    for node in &mut world.nodes {
        node.store_cut_until_ms = until_ms;
    }
}

fn endpoints_are_cut_from_the_store(world: &mut World) {
    let until_ms = world.now + 8_500;
    for endpoint in world.endpoints.values_mut() {
        endpoint.store_cut_until_ms = until_ms;
    }
}

fn the_store_is_away(world: &mut World) {
    world.store.down_until_ms = world.now + 8_500;
}

fn the_holder_is_lost(world: &mut World) {
    let holder = world.holder().expect("a holder");
    world.kill(holder);
}

fn resize(world: &mut World, cpu_milli: u32) {
    let now = world.now;
    for endpoint in world.endpoints.values_mut() {
        endpoint.resize(now, cpu_milli);
    }
}

/// Keeps more work waiting than there is room for.
fn fill(world: &mut World, id: u64) {
    let spec = JobSpec {
        spec: "text".to_owned(),
        steps: vec![step(400, 500)],
        ..JobSpec::default()
    };
    assert_eq!(world.submit(id, spec), Answer::Accepted);
}

#[test]
fn no_start_overfills_an_endpoint_that_has_shrunk() {
    let cases = [
        Case {
            name: "nothing else happens",
            strike: |_| {},
        },
        Case {
            name: "no node reaches the store",
            strike: everybody_is_cut_from_the_store,
        },
        Case {
            name: "endpoints don't reach the store",
            strike: endpoints_are_cut_from_the_store,
        },
        Case {
            name: "the store is away",
            strike: the_store_is_away,
        },
        Case {
            name: "the holder is lost",
            strike: the_holder_is_lost,
        },
    ];
    for case in cases {
        for seed in 0..4 {
            let name = case.name;
            let mut world = World::new(3, 6, seed);
            world.beats = true;
            world.queue.attempts = 20;
            world.run(4_000);
            fill(&mut world, 1);
            world.run(1_000);
            (case.strike)(&mut world);
            resize(&mut world, SHRUNK);
            world.run(12_000);
            assert_eq!(
                world.violations,
                Vec::<String>::new(),
                "{name}, seed {seed}"
            );
            resize(&mut world, WHOLE);
            world.run(6_000);
            fill(&mut world, 2);
            world.run(2_000);
            let most = world
                .endpoints
                .values()
                .map(|endpoint| endpoint.running.len());
            assert_eq!(
                most.max(),
                Some(4),
                "{name}, seed {seed}: room that is back is used"
            );
            resize(&mut world, SHRUNK);
            world.run(12_000);
            assert_eq!(
                world.violations,
                Vec::<String>::new(),
                "{name}, seed {seed}"
            );
        }
    }
}
