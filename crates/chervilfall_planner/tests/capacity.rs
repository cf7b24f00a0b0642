//! Endpoints whose capacity shrinks and grows while they run.
//!
//! Endpoints report their capacity through the store, so the reports reach a holder only while both
//! can reach the store. A holder that relies on an old report overfills endpoints that have shrunk
//! since.

mod world;

use chervilfall_planner::{Answer, JobSpec};
use world::{step, World};

/// CPU of an endpoint, in thousandths of a core: in full, and after it has shrunk.
const FULL_CPU_MILLI: u32 = 4_000;
const SHRUNK_CPU_MILLI: u32 = 1_000;

struct Case {
    name: &'static str,
    /// Called once, just before the endpoints shrink.
    inject_fault: fn(&mut World),
}

fn cut_nodes_from_store(world: &mut World) {
    let until_ms = world.now + 8_500;
    for node in &mut world.nodes {
        node.store_cut_until_ms = until_ms;
    }
}

fn cut_endpoints_from_store(world: &mut World) {
    let until_ms = world.now + 8_500;
    for endpoint in world.endpoints.values_mut() {
        endpoint.store_cut_until_ms = until_ms;
    }
}

fn take_store_down(world: &mut World) {
    world.store.down_until_ms = world.now + 8_500;
}

fn kill_holder(world: &mut World) {
    let holder = world.holder().expect("a holder");
    world.kill(holder);
}

fn resize(world: &mut World, cpu_milli: u32) {
    let now = world.now;
    for endpoint in world.endpoints.values_mut() {
        endpoint.resize(now, cpu_milli);
    }
}

/// Submits more work than the endpoints have resources for.
fn submit_more_than_fits(world: &mut World, id: u64) {
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
            name: "no other fault",
            inject_fault: |_| {},
        },
        Case {
            name: "nodes cut off from the store",
            inject_fault: cut_nodes_from_store,
        },
        Case {
            name: "endpoints cut off from the store",
            inject_fault: cut_endpoints_from_store,
        },
        Case {
            name: "store unreachable",
            inject_fault: take_store_down,
        },
        Case {
            name: "holder lost",
            inject_fault: kill_holder,
        },
    ];
    for case in cases {
        for seed in 0..4 {
            let name = case.name;
            let mut world = World::new(3, 6, seed);
            world.uses_reported_entries = true;
            world.queue.attempts = 20;
            world.run(4_000);
            submit_more_than_fits(&mut world, 1);
            world.run(1_000);
            (case.inject_fault)(&mut world);
            resize(&mut world, SHRUNK_CPU_MILLI);
            world.run(12_000);
            assert_eq!(
                world.violations,
                Vec::<String>::new(),
                "{name}, seed {seed}"
            );
            resize(&mut world, FULL_CPU_MILLI);
            world.run(6_000);
            submit_more_than_fits(&mut world, 2);
            world.run(2_000);
            let most = world
                .endpoints
                .values()
                .map(|endpoint| endpoint.running.len());
            assert_eq!(
                most.max(),
                Some(4),
                "{name}, seed {seed}: capacity that is back is used"
            );
            resize(&mut world, SHRUNK_CPU_MILLI);
            world.run(12_000);
            assert_eq!(
                world.violations,
                Vec::<String>::new(),
                "{name}, seed {seed}"
            );
        }
    }
}
