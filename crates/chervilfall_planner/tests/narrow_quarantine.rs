//! Gangs that find room only on endpoints whose quarantine is taken to be right.

mod world;

use std::collections::BTreeSet;

use chervilfall_planner::{Answer, JobId, JobSpec, Step};
use world::{step, World};

/// Longest time for which a step with room may have nothing running.
const STANDSTILL_MS: u64 = 3_000;
/// Work that does not end within a test, in milliseconds.
const LONG_MS: u64 = 600_000;
/// The job that a case watches.
const WATCHED: u64 = 10_000;

fn submit(world: &mut World, id: u64, step: Step) {
    let job = JobSpec {
        spec: "text".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    };
    assert_eq!(world.submit(id, job), Answer::Accepted, "job {id}");
}

fn on(label: &str, step: Step) -> Step {
    Step {
        required_label: Some(label.to_owned()),
        ..step
    }
}

// Guards against a sound endpoint on trial that holds no gang for good, because it is the only one with
// room of those that the gang may use, and they are too many for its quarantine to count as wide.
#[test]
fn gangs_start_on_the_one_endpoint_with_room_after_failures() {
    struct Case {
        name: &'static str,
        advice: bool,
        /// Endpoints with the label, of 20. One was at fault, and the others are in use.
        labelled: u32,
        width: u32,
        /// Time from the last failure to the submission of the gang.
        pause_ms: u64,
    }
    let case = |name, advice, labelled, width, pause_ms| Case {
        name,
        advice,
        labelled,
        width,
        pause_ms,
    };
    let cases = [
        case("control: wide, one of four", false, 4, 2, 20_000),
        case("control: one task", false, 5, 1, 20_000),
        case("one of five, later", false, 5, 2, 20_000),
        case("one of five, soon", false, 5, 2, 0),
        case("one of eight, later", false, 8, 2, 20_000),
        case("with advice, control: one of four", true, 4, 2, 20_000),
        case("with advice, one of five", true, 5, 2, 20_000),
    ];
    let mut lines = Vec::new();
    for case in cases {
        let mut world = World::new(1, 20, 1);
        world.advice_percent = 100;
        for endpoint in world.endpoints.values_mut() {
            endpoint.fail_percent = 0;
        }
        let labelled = world.endpoints.values_mut().take(case.labelled as usize);
        for (index, endpoint) in labelled.enumerate() {
            let kind = if index == 0 { "at_fault" } else { "in_use" };
            endpoint.labels = BTreeSet::from(["ssd".to_owned(), kind.to_owned()]);
        }
        let advice = world.queue.advice.take();
        world.run(3_000);
        let in_use = Step {
            cpu_milli: 4_000,
            max_per_endpoint: 1,
            ..step(case.labelled - 1, LONG_MS)
        };
        submit(&mut world, 1, on("in_use", in_use));
        world.run(1_000);
        set_at_fault(&mut world, true);
        for id in 100..106 {
            submit(&mut world, id, on("at_fault", step(1, 100)));
        }
        world.run_until(60_000, |world| {
            (100..106).all(|id| world.has_used_attempts(JobId(id)))
        });
        set_at_fault(&mut world, false);
        world.run(case.pause_ms);
        if case.advice {
            world.queue.advice = advice;
        }
        let turn_ms = world.now;
        let gang = Step {
            gang: true,
            ..step(case.width, 1_000)
        };
        submit(&mut world, WATCHED, on("ssd", gang));
        world.run(STANDSTILL_MS);
        let after_ms = |world: &World| {
            let endpoints = world.endpoints.values();
            let starts = endpoints.flat_map(|endpoint| &endpoint.starts);
            let own = starts.filter(|(_, task, _)| task.job == JobId(WATCHED));
            own.map(|(at_ms, _, _)| at_ms - turn_ms).min()
        };
        lines.append(&mut world.violations);
        if after_ms(&world).is_none() {
            world.run(57_000);
            let later = after_ms(&world);
            lines.push(format!(
                "{}: no start in 3 s, later {later:?} of 60,000 ms",
                case.name
            ));
        }
    }
    assert!(lines.is_empty(), "\n{}", lines.join("\n"));
}

// Guards against lasting tasks that wait for each other's trials on the one endpoint with room.
#[test]
fn services_start_on_the_one_endpoint_with_room_after_failures() {
    let mut lines = Vec::new();
    for (labelled, pause_ms) in [(4, 20_000), (5, 20_000), (5, 3_000)] {
        let mut world = World::new(1, 20, 1);
        for endpoint in world.endpoints.values_mut() {
            endpoint.fail_percent = 0;
        }
        let own = world.endpoints.values_mut().take(labelled as usize);
        for (index, endpoint) in own.enumerate() {
            let kind = if index == 0 { "at_fault" } else { "in_use" };
            endpoint.labels = BTreeSet::from(["ssd".to_owned(), kind.to_owned()]);
        }
        world.queue.advice = None;
        world.run(3_000);
        let in_use = Step {
            cpu_milli: 4_000,
            max_per_endpoint: 1,
            ..step(labelled - 1, LONG_MS)
        };
        submit(&mut world, 1, on("in_use", in_use));
        world.run(1_000);
        set_at_fault(&mut world, true);
        for id in 100..106 {
            submit(&mut world, id, on("at_fault", step(1, 100)));
        }
        world.run_until(60_000, |world| {
            (100..106).all(|id| world.has_used_attempts(JobId(id)))
        });
        set_at_fault(&mut world, false);
        world.run(pause_ms);
        let turn_ms = world.now;
        let service = Step {
            long_running: true,
            ..step(4, LONG_MS)
        };
        submit(&mut world, WATCHED, on("ssd", service));
        world.run(12_000);
        lines.append(&mut world.violations);
        let endpoints = world.endpoints.values();
        let starts = endpoints.flat_map(|endpoint| &endpoint.starts);
        let own = starts.filter(|(_, task, _)| task.job == JobId(WATCHED));
        let mut after_ms: Vec<u64> = own.map(|(at_ms, _, _)| at_ms - turn_ms).collect();
        after_ms.sort_unstable();
        if after_ms.len() < 4 || after_ms.iter().any(|ms| *ms > STANDSTILL_MS) {
            lines.push(format!(
                "one of {labelled}, {pause_ms} ms later: starts after {after_ms:?} ms"
            ));
        }
    }
    assert!(lines.is_empty(), "\n{}", lines.join("\n"));
}

fn set_at_fault(world: &mut World, fails_all: bool) {
    let at_fault = world.endpoints.values_mut();
    for endpoint in at_fault.filter(|endpoint| endpoint.labels.contains("at_fault")) {
        endpoint.fails_all = fails_all;
    }
}
