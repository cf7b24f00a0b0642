//! Overdue work starts only on capacity that no other work can use.
//!
//! Guards against this failure: a gang in time waited for enough free capacity at once, and overdue
//! tasks took each core as it became free.

mod world;

use std::collections::BTreeMap;
use std::sync::Arc;

use chervilfall_planner::{
    has_worth, Answer, Asker, Claims, Configuration, JobId, JobSpec, JobState, Request, Resources,
    Step,
};
use world::{step, World};

const SINGLE_MS: u64 = 400;
const SINGLES: u64 = 120;
const GANG: JobId = JobId(1_000);
/// Two endpoints with four cores each.
const GANG_TASKS: u32 = 8;

#[test]
fn claims_leave_what_other_steps_cannot_use() {
    struct Case {
        name: &'static str,
        waiting: Vec<(u64, u32, bool)>,
        /// Free cores of endpoints that steps with claims could use.
        free: u64,
        tasks: u32,
        can_use_two: bool,
    }
    let cores = |cores: u64| Resources {
        cpu_milli: cores * 1_000,
        memory_mb: cores * 100,
        gpus: 0,
    };
    let case = |name, waiting, free, tasks, can_use_two| Case {
        name,
        waiting,
        free,
        tasks,
        can_use_two,
    };
    let cases = [
        case("nobody waits", vec![], 8, 8, false),
        case("nothing waits", vec![(1, 0, false)], 8, 8, false),
        case("a gang", vec![(2, 4, false)], 8, 0, true),
        case("some left", vec![(2, 3, false)], 8, 2, true),
        case("with advice", vec![(2, 1, true)], 10, 2, true),
        case("large tasks", vec![(4, 1, false)], 8, 4, false),
        case("several", vec![(4, 1, false), (2, 1, false)], 8, 2, true),
    ];
    for case in cases {
        let mut claims = Claims::default();
        for (need, tasks, with_advice) in case.waiting {
            claims.add(cores(need), tasks, with_advice);
        }
        assert_eq!(
            claims.tasks_beside(cores(case.free), cores(1)),
            case.tasks,
            "{}",
            case.name
        );
        assert_eq!(claims.can_use(cores(2)), case.can_use_two, "{}", case.name);
    }
    assert!(has_worth(2_999, 3_000) && !has_worth(3_000, 3_000) && has_worth(9_000, 0));
}

fn job(steps: Vec<Step>) -> JobSpec {
    JobSpec {
        spec: "text".to_owned(),
        steps,
        ..JobSpec::default()
    }
}

fn started_ms(world: &World, since_ms: u64, matches: impl Fn(JobId) -> bool) -> Vec<u64> {
    let starts = world
        .endpoints
        .values()
        .flat_map(|endpoint| &endpoint.starts);
    let starts = starts.filter(|(at_ms, task, _)| *at_ms >= since_ms && matches(task.job));
    starts.map(|(at_ms, ..)| *at_ms).collect()
}

#[test]
fn overdue_tasks_leave_their_capacity_to_a_gang_in_time() {
    struct Case {
        name: &'static str,
        overdue_last: bool,
        /// The holder is lost while the gang waits.
        kill: bool,
    }
    let cases = [
        Case {
            name: "on",
            overdue_last: true,
            kill: false,
        },
        Case {
            name: "on, with a takeover",
            overdue_last: true,
            kill: true,
        },
        Case {
            name: "off",
            overdue_last: false,
            kill: false,
        },
    ];
    for case in cases {
        let name = case.name;
        let mut world = World::new(2, 2, 3);
        world.limits.policies.overdue_last = case.overdue_last;
        world.limits.policies.admission_forecast = false;
        world.queue.advice = None;
        world.queue.stretch = 1.0;
        world.queue.target_latency_ms = 100;
        world.config = Arc::new(Configuration {
            queues: BTreeMap::from([(world.queue.name.clone(), world.queue.clone())]),
            ..Configuration::clone(&world.config)
        });
        world.run(1_500);
        for id in 1..=SINGLES {
            assert_eq!(
                world.submit(id, job(vec![step(1, SINGLE_MS)])),
                Answer::Accepted
            );
        }
        // Most have three times their objective behind them.
        world.run(2_000);
        let gang = Step {
            gang: true,
            ..step(GANG_TASKS, 1_000)
        };
        let submitted_ms = world.now;
        assert_eq!(world.submit(GANG.0, job(vec![gang])), Answer::Accepted);
        let accepted_ms = world.now;
        if case.kill {
            let holder = world.holder().expect("a holder");
            world.kill(holder);
        }
        world.run_until(20_000, |world| {
            !started_ms(world, submitted_ms, |id| id == GANG).is_empty()
        });
        let begun_ms = world.now;
        // Orders that were on their way when the gang was accepted still arrive.
        let instead = started_ms(&world, accepted_ms + 50, |id| id != GANG).len();
        if case.overdue_last {
            assert_eq!(instead, 0, "{name}");
            assert!(
                case.kill || begun_ms - submitted_ms <= 2 * SINGLE_MS,
                "{name}"
            );
        } else {
            assert!(instead > 10, "{name}: {instead}");
        }
        world.run(20_000);
        for id in 1..=SINGLES {
            let (id, asker) = (JobId(id), Asker::default());
            let state = world.ask(Request::State { id, asker });
            assert_eq!(state, Answer::State(JobState::Completed), "{name}: {id}");
        }
        world.check_history();
        assert_eq!(world.violations, Vec::<String>::new(), "{name}");
    }
}
