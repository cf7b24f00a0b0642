//! The planner in a simulation, with one fault at a time.

mod world;

use std::collections::{BTreeMap, BTreeSet};

use chervilfall_planner::{Answer, Asker, JobId, JobSpec, JobState, Request, Step};
use world::{step, World};

fn job(steps: Vec<Step>) -> JobSpec {
    JobSpec {
        spec: "text".to_owned(),
        steps,
        ..JobSpec::default()
    }
}

fn state(world: &mut World, id: u64) -> Answer {
    world.ask(Request::State {
        id: JobId(id),
        asker: Asker::default(),
    })
}

fn assert_completes(world: &mut World, id: u64, bound_ms: u64) {
    let end = world.now + bound_ms;
    while world.now < end {
        if state(world, id) == Answer::State(JobState::Completed) {
            assert_eq!(world.violations, Vec::<String>::new());
            return;
        }
        world.run(50);
    }
    panic!(
        "job {id} is {:?} after {bound_ms} ms; {:?}",
        state(world, id),
        world.violations
    );
}

fn ready_world(seed: u64) -> World {
    let mut world = World::new(3, 4, seed);
    world.run(1_500);
    world
}

#[test]
fn jobs_of_all_shapes_complete() {
    struct Case {
        name: &'static str,
        spec: JobSpec,
        within_ms: u64,
    }
    let gang = Step {
        gang: true,
        ..step(8, 500)
    };
    let after = Step {
        after: vec![0],
        ..step(3, 300)
    };
    let exclusive = Step {
        max_per_endpoint: 1,
        ..step(4, 300)
    };
    let cases = [
        Case {
            name: "one task",
            spec: job(vec![step(1, 300)]),
            within_ms: 1_500,
        },
        Case {
            name: "more tasks than fit at once",
            spec: job(vec![step(40, 300)]),
            within_ms: 6_000,
        },
        Case {
            name: "a gang",
            spec: job(vec![gang]),
            within_ms: 2_000,
        },
        Case {
            name: "steps in order",
            spec: job(vec![step(2, 300), after]),
            within_ms: 2_500,
        },
        Case {
            name: "one task on each endpoint",
            spec: job(vec![exclusive]),
            within_ms: 1_500,
        },
    ];
    for (number, case) in (1_u64..).zip(cases) {
        let mut world = ready_world(7);
        assert_eq!(
            world.submit(number, case.spec),
            Answer::Accepted,
            "{}",
            case.name
        );
        assert_completes(&mut world, number, case.within_ms);
    }
}

#[test]
fn a_task_whose_endpoint_falls_silent_runs_elsewhere_once_its_lease_has_lapsed() {
    struct Case {
        name: &'static str,
        dead: bool,
        unlisted: bool,
    }
    let cases = [
        Case {
            name: "crashed",
            dead: true,
            unlisted: false,
        },
        Case {
            name: "crashed and taken off the list",
            dead: true,
            unlisted: true,
        },
        Case {
            name: "cut off and still running",
            dead: false,
            unlisted: false,
        },
    ];
    for case in cases {
        let mut world = ready_world(3);
        assert_eq!(world.submit(1, job(vec![step(1, 3_000)])), Answer::Accepted);
        world.run(400);
        let now = world.now;
        let endpoint = world
            .endpoints
            .values_mut()
            .find(|endpoint| !endpoint.running.is_empty());
        let endpoint = endpoint.expect("the task has started");
        endpoint.dead = case.dead;
        endpoint.listed = !case.unlisted;
        endpoint.cut_until_ms = now + 60_000;
        let id = endpoint.id.clone();
        world.run_until(6_500, |world| {
            let others = world
                .endpoints
                .values()
                .filter(|endpoint| endpoint.id != id);
            others.map(|endpoint| endpoint.starts.len()).sum::<usize>() == 1
        });
        assert_completes(&mut world, 1, 5_000);
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn a_successor_adopts_running_tasks() {
    let mut world = ready_world(5);
    assert_eq!(world.submit(1, job(vec![step(6, 2_500)])), Answer::Accepted);
    world.run(300);
    let holder = world.holder().expect("a holder");
    world.kill(holder);
    assert_completes(&mut world, 1, 8_000);
    let starts: usize = world
        .endpoints
        .values()
        .map(|endpoint| endpoint.starts.len())
        .sum();
    assert!(
        starts <= 7,
        "{starts} starts of 6 tasks, of which one in fifty fails"
    );
}

#[test]
fn a_cancelled_job_stops_and_stays_cancelled() {
    let mut world = ready_world(5);
    assert_eq!(
        world.submit(1, job(vec![step(4, 20_000)])),
        Answer::Accepted
    );
    world.run(300);
    assert_eq!(
        world.ask(Request::Cancel {
            id: JobId(1),
            asker: Asker::default()
        }),
        Answer::Cancelled
    );
    world.run(600);
    assert!(world
        .endpoints
        .values()
        .all(|endpoint| endpoint.running.is_empty()));
    let holder = world.holder().expect("a holder");
    world.kill(holder);
    world.run(3_000);
    assert_eq!(state(&mut world, 1), Answer::State(JobState::Cancelled));
    assert_eq!(
        world.ask(Request::Cancel {
            id: JobId(2),
            asker: Asker::default()
        }),
        Answer::Unknown
    );
}

#[test]
fn a_store_that_is_away_refuses_new_jobs_and_keeps_old_ones_running() {
    let mut world = ready_world(9);
    assert_eq!(world.submit(1, job(vec![step(4, 6_000)])), Answer::Accepted);
    world.run(300);
    world.store.down_until_ms = world.now + 5_000;
    world.run(1_500);
    let answer = world.submit(2, job(vec![step(1, 100)]));
    assert!(
        matches!(answer, Answer::Refused { retry_ms } if retry_ms > 0),
        "{answer:?}"
    );
    assert_completes(&mut world, 1, 9_000);
    assert_eq!(state(&mut world, 2), Answer::Unknown);
    let starts: usize = world
        .endpoints
        .values()
        .map(|endpoint| endpoint.starts.len())
        .sum();
    assert!(
        starts <= 5,
        "{starts} starts of 4 tasks, of which one in fifty fails"
    );
}

#[test]
fn a_holder_that_is_cut_off_restarts_no_task_that_its_successor_keeps_running() {
    let mut world = World::new(3, 6, 11);
    for endpoint in world.endpoints.values_mut().take(3) {
        endpoint.domain = 1;
    }
    world.run(1_500);
    let holder = world.holder().expect("a holder");
    world.nodes[holder].domain = 1;
    // The first job fills the preferred endpoints, and leaves them free for restarts when it ends.
    assert_eq!(world.submit(2, job(vec![step(12, 800)])), Answer::Accepted);
    assert_eq!(
        world.submit(1, job(vec![step(8, 12_000)])),
        Answer::Accepted
    );
    world.run(1_500);
    let at_store = world
        .endpoints
        .values()
        .filter(|endpoint| endpoint.domain == 0);
    assert_eq!(
        at_store
            .map(|endpoint| endpoint.running.len())
            .sum::<usize>(),
        8
    );
    world.partitioned_until_ms = world.now + 9_000;
    world.run(9_000);
    assert_eq!(world.violations, Vec::<String>::new());
    assert_ne!(world.holder(), Some(holder));
    assert_completes(&mut world, 1, 25_000);
}

#[test]
fn an_endpoint_that_fails_everything_is_quarantined() {
    let mut world = ready_world(13);
    let bad = world.endpoints.keys().next().expect("an endpoint").clone();
    world.endpoints.get_mut(&bad).expect("there").fails_all = true;
    for id in 1..=40 {
        assert_eq!(world.submit(id, job(vec![step(2, 200)])), Answer::Accepted);
        world.run(100);
    }
    world.run(2_000);
    let starts = world.endpoints[&bad].starts.len();
    assert!(starts <= 12, "{starts} starts on the endpoint at fault");
    let done = (1..=40).filter(|id| state(&mut world, *id) == Answer::State(JobState::Completed));
    let done = done.count();
    assert!(done >= 37, "{done} of 40 jobs completed");
}

/// Number of simulations in which a gang of twenty is started while one order in twelve is late.
const LATE_GANGS: u64 = 10;

/// Returns how many members of these gangs run before the first of them ends. The simulated
/// endpoints do not make members wait for each other, so a member whose order is late does not
/// start in time.
fn members_in_time(copies: u32) -> usize {
    let mut started = 0;
    for seed in 0..LATE_GANGS {
        let mut world = World::new(3, 12, seed);
        world.limits.start_copies = copies;
        world.run(1_500);
        world.late_percent = 8;
        let gang = Step {
            gang: true,
            ..step(20, 2_000)
        };
        assert_eq!(world.submit(1, job(vec![gang])), Answer::Accepted);
        world.run(1_500);
        let endpoints = world.endpoints.values();
        started += endpoints
            .map(|endpoint| endpoint.running.len())
            .sum::<usize>();
    }
    started
}

#[test]
fn copies_of_unanswered_starts_complete_a_gang() {
    let (once, copied) = (members_in_time(1), members_in_time(3));
    let all = 20 * usize::try_from(LATE_GANGS).expect("few");
    assert!(
        copied * 100 >= all * 98,
        "{copied} of {all} members with copies"
    );
    assert!(once * 100 < all * 90, "{once} of {all} members without");
}

/// Number of jobs, which arrive twice as fast as one endpoint can run them.
const OVERLOAD_JOBS: u64 = 40;

#[test]
fn under_overload_jobs_that_can_meet_their_objective_run_before_those_that_cannot() {
    let mut world = World::new(3, 1, 17);
    world.run(1_500);
    let objective_ms = 3_000;
    let mut in_time = BTreeSet::new();
    let mut sent = BTreeMap::new();
    for round in 0..OVERLOAD_JOBS + 8 {
        if round < OVERLOAD_JOBS {
            let id = round + 1;
            assert_eq!(
                world.submit(id, job(vec![step(4, 1_000)])),
                Answer::Accepted
            );
            sent.insert(id, world.now);
        }
        let next = world.now + 500;
        while world.now < next {
            for (id, sent_ms) in &sent {
                let done = state(&mut world, *id) == Answer::State(JobState::Completed);
                if done && world.now <= sent_ms + objective_ms {
                    in_time.insert(*id);
                }
            }
            world.run(20);
        }
    }
    // With first come, first served, 12 of them would be.
    assert!(in_time.len() >= 15, "{in_time:?} were in time");
    assert_completes(&mut world, 1, 10_000);
    for id in sent.into_keys() {
        assert_completes(&mut world, id, 40_000);
    }
}

#[test]
fn a_successor_waits_for_an_endpoint_that_was_silent_before_only_until_its_lease_lapses() {
    struct Case {
        name: &'static str,
        dead: bool,
        /// Time from the endpoint's last answer until the holder is cut off from the store.
        silent_ms: u64,
        /// Maximum time from then until the task's next start.
        within_ms: u64,
    }
    let cases = [
        Case {
            name: "crashed well before",
            dead: true,
            silent_ms: 1_800,
            within_ms: 6_000,
        },
        Case {
            name: "cut off well before, running until its lease lapses",
            dead: false,
            silent_ms: 1_800,
            within_ms: 6_000,
        },
        Case {
            name: "cut off at the same time: the old holder may have renewed its lease since",
            dead: false,
            silent_ms: 0,
            within_ms: 13_000,
        },
    ];
    for case in cases {
        let mut world = ready_world(3);
        assert_eq!(
            world.submit(1, job(vec![step(1, 20_000)])),
            Answer::Accepted
        );
        world.run(400);
        let now = world.now;
        let endpoint = world
            .endpoints
            .values_mut()
            .find(|endpoint| !endpoint.running.is_empty());
        let endpoint = endpoint.expect("the task has started");
        endpoint.dead = case.dead;
        endpoint.cut_until_ms = now + 60_000;
        let id = endpoint.id.clone();
        world.run(case.silent_ms);
        let holder = world.holder().expect("a holder");
        world.nodes[holder].store_cut_until_ms = world.now + 20_000;
        world.run_until(case.within_ms, |world| {
            let others = world
                .endpoints
                .values()
                .filter(|endpoint| endpoint.id != id);
            others.map(|endpoint| endpoint.starts.len()).sum::<usize>() == 1
        });
        world.run(3_000);
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
    }
}

#[test]
fn an_endpoint_that_answers_again_keeps_its_runs_and_gets_new_ones() {
    let mut world = ready_world(3);
    assert_eq!(world.submit(1, job(vec![step(4, 8_000)])), Answer::Accepted);
    world.run(400);
    let now = world.now;
    for endpoint in world.endpoints.values_mut() {
        endpoint.cut_until_ms = now + 1_500;
    }
    world.run(3_500);
    let running = |world: &World| -> usize {
        let endpoints = world.endpoints.values();
        endpoints.map(|endpoint| endpoint.running.len()).sum()
    };
    assert_eq!(running(&world), 4, "leases were renewed in time");
    assert_eq!(world.submit(2, job(vec![step(4, 300)])), Answer::Accepted);
    assert_completes(&mut world, 2, 2_000);
    assert_completes(&mut world, 1, 9_000);
}

#[test]
fn a_silent_endpoint_that_answers_again_gets_no_lease_before_the_roster_records_it() {
    let mut world = ready_world(3);
    assert_eq!(
        world.submit(1, job(vec![step(2, 20_000)])),
        Answer::Accepted
    );
    world.run(400);
    let now = world.now;
    let endpoint = world
        .endpoints
        .values_mut()
        .find(|endpoint| !endpoint.running.is_empty());
    let endpoint = endpoint.expect("the job has started");
    let id = endpoint.id.clone();
    // Silent until the roster records it, then reachable only by the old holder, which has lost the
    // store.
    endpoint.domain = 1;
    endpoint.cut_until_ms = now + 1_600;
    let holder = world.holder().expect("a holder");
    world.nodes[holder].domain = 1;
    world.run(1_550);
    world.nodes[holder].store_cut_until_ms = world.now + 20_000;
    world.partitioned_until_ms = world.now + 20_000;
    world.run_until(6_000, |world| {
        let others = world
            .endpoints
            .values()
            .filter(|endpoint| endpoint.id != id);
        others.map(|endpoint| endpoint.starts.len()).sum::<usize>() == 2
    });
    world.run(6_000);
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn the_rows_of_a_large_fleet_stay_within_the_limits_of_the_store() {
    let mut world = World::new(3, 1_600, 23);
    world.run(2_500);
    assert_eq!(world.submit(1, job(vec![step(40, 300)])), Answer::Accepted);
    assert_completes(&mut world, 1, 2_000);
    let holder = world.holder().expect("a holder");
    world.kill(holder);
    world.run(4_000);
    assert_eq!(world.submit(2, job(vec![step(40, 300)])), Answer::Accepted);
    assert_completes(&mut world, 2, 2_000);
}

#[test]
fn a_job_whose_start_was_ordered_but_not_confirmed_is_counted_as_waiting() {
    let mut world = ready_world(5);
    let queue = world.queue.name.clone();
    let now = world.now;
    // The holder has not noticed yet that its orders do not arrive.
    for endpoint in world.endpoints.values_mut() {
        endpoint.cut_until_ms = now + 1_500;
    }
    assert_eq!(world.submit(1, job(vec![step(2, 3_000)])), Answer::Accepted);
    world.run(400);
    let waiting = Request::Waiting { queue };
    assert_eq!(world.ask(waiting.clone()), Answer::Waiting(1));
    assert_eq!(state(&mut world, 1), Answer::State(JobState::Pending));
    world.run_until(8_000, |world| {
        let endpoints = world.endpoints.values();
        endpoints
            .map(|endpoint| endpoint.running.len())
            .sum::<usize>()
            == 2
    });
    world.run(100);
    assert_eq!(world.ask(waiting), Answer::Waiting(0));
    assert_eq!(state(&mut world, 1), Answer::State(JobState::Running));
}
