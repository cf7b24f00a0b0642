//! Rows and commits stay within what the store takes, whatever the number and the names of endpoints.

mod world;

use chervilfall_planner::{Answer, EndpointId, JobSpec, Step};
use world::World;

/// Bytes of the longest name of an endpoint, which is a key of the store.
const LONGEST_NAME_BYTES: usize = 200;
/// Twice the endpoints of the size to design for.
const LARGE_FLEET: usize = 5_000;
/// Bytes of a row on the users' platform, as a node states them to its planner.
const ROW_BYTES: usize = 48_128;

/// Returns a world in which all endpoints have names of this many bytes.
fn world_with_names(endpoints: usize, name_bytes: usize) -> World {
    let mut world = World::new(2, endpoints, 5);
    world.queue.advice = None;
    world.configure([]);
    world.limits.row_bytes = ROW_BYTES;
    let renamed = std::mem::take(&mut world.endpoints);
    for (number, mut endpoint) in renamed.into_values().enumerate() {
        endpoint.id = EndpointId(format!("{number:0>name_bytes$}"));
        endpoint.cpu_milli = 16_000;
        world.endpoints.insert(endpoint.id.clone(), endpoint);
    }
    world
}

/// Returns the size of the largest row of a table.
fn largest_row(world: &World, table: &str) -> usize {
    let rows = world.store.table(table);
    let bytes = rows.iter().map(|(_, value)| value.len());
    bytes.max().unwrap_or(0)
}

/// Guards against commits that the store refuses for good, so that the claim is lost again and again.
#[test]
fn starts_and_rosters_of_any_names_are_stored() {
    struct Case {
        name: &'static str,
        endpoints: usize,
        name_bytes: usize,
        tasks: u32,
    }
    let cases = [
        Case {
            name: "many starts at once on endpoints with short names",
            endpoints: 8,
            name_bytes: 10,
            tasks: 4_000,
        },
        Case {
            name: "many starts at once on endpoints with long names",
            endpoints: 8,
            name_bytes: LONGEST_NAME_BYTES,
            tasks: 4_000,
        },
        Case {
            name: "a large fleet with long names",
            endpoints: LARGE_FLEET,
            name_bytes: LONGEST_NAME_BYTES,
            tasks: 1_000,
        },
    ];
    for case in cases {
        let mut world = world_with_names(case.endpoints, case.name_bytes);
        world.run(2_000);
        let step = Step {
            cpu_milli: 20,
            memory_mb: 1,
            ..world::step(case.tasks, 500)
        };
        let spec = JobSpec {
            spec: "text".to_owned(),
            steps: vec![step],
            ..JobSpec::default()
        };
        assert_eq!(world.submit(7, spec), Answer::Accepted, "{}", case.name);
        let began = |world: &World| {
            let starts = world.endpoints.values();
            starts.map(|endpoint| endpoint.starts.len()).sum::<usize>()
        };
        let all = case.tasks as usize;
        world.run_until(20_000, |world| began(world) >= all);
        world.run(1_000);
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
        for table in ["starts", "roster", "progress"] {
            let bytes = largest_row(&world, table);
            assert!(bytes <= ROW_BYTES, "{}: {table} {bytes}", case.name);
        }
        assert!(!world.store.table("starts").is_empty());
        assert_eq!(world.faults.len(), 1, "{}: {:?}", case.name, world.faults);
    }
}

/// Guards against jobs that are accepted and can never be stored.
#[test]
fn jobs_are_accepted_up_to_the_size_of_a_row() {
    struct Case {
        name: &'static str,
        text_bytes: usize,
        label_bytes: usize,
        answer: Answer,
    }
    let cases = [
        Case {
            name: "a text that just fits",
            text_bytes: ROW_BYTES - 3,
            label_bytes: 1,
            answer: Answer::Accepted,
        },
        Case {
            name: "a text beyond a row",
            text_bytes: ROW_BYTES - 2,
            label_bytes: 1,
            answer: Answer::TooLarge,
        },
        Case {
            name: "steps that fit",
            text_bytes: 10,
            label_bytes: ROW_BYTES - 1_000,
            answer: Answer::Accepted,
        },
        Case {
            name: "steps beyond a row",
            text_bytes: 10,
            label_bytes: ROW_BYTES,
            answer: Answer::TooLarge,
        },
    ];
    for (id, case) in (1..).zip(cases) {
        let mut world = world_with_names(4, 10);
        world.run(2_000);
        let step = Step {
            required_label: Some("b".repeat(case.label_bytes)),
            ..world::step(1, 500)
        };
        let spec = JobSpec {
            spec: "t".repeat(case.text_bytes),
            steps: vec![step],
            ..JobSpec::default()
        };
        assert_eq!(world.submit(id, spec), case.answer, "{}", case.name);
        world.run(1_000);
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
    }
}
