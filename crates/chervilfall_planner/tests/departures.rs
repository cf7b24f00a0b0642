//! Endpoints that announce their departure: what is moved before they leave, and when.
//!
//! Guards against this failure: everything that ran on a draining endpoint lost its work when the
//! endpoint left, although its entry had said for how much longer it would exist.

mod world;

use std::collections::BTreeMap;

use chervilfall_planner::{
    departure_step, Answer, Asker, DepartureStep, EndReason, JobId, JobSpec, JobState, LeaveTime,
    Request, RunOutlook, Step,
};
use world::{step, World};

/// Time in which a holder knows all endpoints.
const WARM_UP_MS: u64 = 3_000;
/// Any time.
const NOW_MS: u64 = 10_000;
/// Notice that endpoints give.
const NOTICE_MS: u64 = 5_500;

#[test]
fn runs_are_stopped_only_if_they_would_lose_their_work() {
    struct Case {
        name: &'static str,
        ran_ms: u64,
        began_earlier: bool,
        estimate_ms: u64,
        /// Time to the earliest departure, and to the announced one if that is later.
        left_ms: u64,
        announced_ms: Option<u64>,
        /// The step for a run that saves checkpoints, and for one that does not.
        steps: [DepartureStep; 2],
    }
    use DepartureStep::{Restart, Save, Stay};
    let case = |name, ran_ms, estimate_ms, left_ms, steps| Case {
        name,
        ran_ms,
        began_earlier: false,
        estimate_ms,
        left_ms,
        announced_ms: None,
        steps,
    };
    let cases = [
        case("ends in time", 100, 4_000, 5_000, [Stay, Stay]),
        case("ends just in time", 3_000, 4_000, 1_000, [Stay, Stay]),
        case(
            "outlasts it, last second",
            2_900,
            4_000,
            1_000,
            [Save, Stay],
        ),
        case("outlasts it, not yet", 2_900, 9_000, 1_001, [Stay, Stay]),
        case("young", 300, 9_000, 5_000, [Stay, Restart]),
        case("a tenth has run", 900, 9_000, 5_000, [Stay, Stay]),
        case("past its estimate", 4_100, 4_000, 900, [Save, Stay]),
        case("near twice its estimate", 7_900, 4_000, 900, [Stay, Stay]),
        case("past twice its estimate", 9_000, 4_000, 0, [Stay, Stay]),
        case("overdue departure", 2_000, 4_000, 0, [Save, Stay]),
        case("no estimate", 2_000, 0, 500, [Stay, Stay]),
        Case {
            announced_ms: Some(1_200),
            ..case("may end just in time", 2_900, 4_000, 800, [Stay, Stay])
        },
        Case {
            announced_ms: Some(1_400),
            ..case(
                "in time for the earliest",
                2_500,
                4_000,
                1_000,
                [Save, Stay],
            )
        },
        Case {
            began_earlier: true,
            ..case("begun earlier", 300, 9_000, 5_000, [Stay, Stay])
        },
    ];
    for case in cases {
        for (saves, expected) in [true, false].into_iter().zip(case.steps) {
            let run = RunOutlook {
                ran_ms: case.ran_ms,
                began_earlier: case.began_earlier,
                estimate_ms: case.estimate_ms,
                saves,
            };
            let leave = LeaveTime {
                earliest_ms: NOW_MS + case.left_ms,
                announced_ms: NOW_MS + case.announced_ms.unwrap_or(case.left_ms),
            };
            let step = departure_step(NOW_MS, run, leave);
            assert_eq!(step, expected, "{}, saves: {saves}", case.name);
        }
    }
}

fn job(step: Step) -> JobSpec {
    JobSpec {
        spec: "text".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    }
}

fn open(endpoints: usize, departures: bool) -> World {
    let mut world = World::new(1, endpoints, 3);
    world.limits.policies.departures = departures;
    world.queue.advice = None;
    world.queue.attempts = 1;
    for endpoint in world.endpoints.values_mut() {
        endpoint.fail_percent = 0;
    }
    world.run(WARM_UP_MS);
    world
}

/// Makes endpoints give notice.
fn announce(world: &mut World, count: usize, notice_ms: u64) {
    let leaves_ms = world.now + notice_ms;
    for endpoint in world.endpoints.values_mut().take(count) {
        endpoint.draining = true;
        endpoint.leaves_ms = Some(leaves_ms);
    }
}

/// Returns the number of runs that ended in a way, and the time for which they had run.
fn ends(world: &World, how: Option<EndReason>) -> (usize, u64) {
    let runs = world.endpoints.values().flat_map(|end| &end.past_runs);
    let runs = runs.filter(|run| run.how == how);
    let times: Vec<u64> = runs.map(|run| run.ended_ms - run.begun_ms).collect();
    (times.len(), times.iter().sum())
}

fn is_completed(world: &mut World, id: u64) -> bool {
    let (id, asker) = (JobId(id), Asker::default());
    world.ask(Request::State { id, asker }) == Answer::State(JobState::Completed)
}

#[test]
fn what_would_be_lost_is_moved_and_the_rest_is_left_alone() {
    struct Case {
        name: &'static str,
        step: Step,
        /// Endpoints, and how many of them leave.
        endpoints: [usize; 2],
        /// Time that the tasks have run when the notice is given, and the notice.
        times_ms: [u64; 2],
        /// Endpoints keep existing.
        stays: bool,
        /// Runs that are stopped and that are lost.
        stopped: usize,
        lost: usize,
    }
    let saving = |count, work_ms| Step {
        checkpointing: true,
        ..step(count, work_ms)
    };
    let gang = |step: Step| Step { gang: true, ..step };
    let case = |name, step, endpoints, times_ms, stopped, lost| Case {
        name,
        step,
        endpoints,
        times_ms,
        stays: false,
        stopped,
        lost,
    };
    let cases = [
        case("saves", saving(4, 9_000), [2, 2], [1_000, 3_000], 4, 0),
        case("ends in time", saving(4, 4_000), [2, 2], [500, 5_000], 0, 0),
        case("cannot save", step(4, 9_000), [2, 2], [1_000, 3_000], 0, 4),
        case("young", step(4, 9_000), [3, 1], [300, 5_000], 4, 0),
        case(
            "young, no room",
            step(12, 9_000),
            [3, 1],
            [300, 5_000],
            0,
            4,
        ),
        case("gang", gang(saving(8, 9_000)), [4, 1], [500, 3_000], 8, 0),
        case(
            "young gang",
            gang(step(8, 9_000)),
            [4, 1],
            [300, 5_000],
            8,
            0,
        ),
        case(
            "gang, no room",
            gang(step(8, 9_000)),
            [3, 1],
            [300, 5_000],
            0,
            4,
        ),
        Case {
            stays: true,
            ..case("stays longer", saving(4, 5_000), [2, 1], [500, 4_600], 0, 0)
        },
    ];
    for case in cases {
        let name = case.name;
        let [endpoints, leave] = case.endpoints;
        let mut world = open(endpoints, true);
        assert_eq!(world.submit(1, job(case.step)), Answer::Accepted, "{name}");
        world.run(case.times_ms[0]);
        // The endpoints with the fullest load leave first.
        announce(&mut world, leave, case.times_ms[1]);
        if case.stays {
            world.run(case.times_ms[1] - 1_500);
            announce(&mut world, leave, 5_000);
        }
        world.run(case.times_ms[1] + 1_000);
        assert_eq!(
            ends(&world, Some(EndReason::Stopped)).0,
            case.stopped,
            "{name}"
        );
        assert_eq!(ends(&world, None).0, case.lost, "{name}");
        let fresh = world.endpoints.len();
        for endpoint in world.endpoints.values_mut().take(leave) {
            // A replacement joins, with room for what was stopped.
            endpoint.replaced = false;
        }
        world.run(30_000);
        assert!(world.endpoints.len() > fresh || case.stays, "{name}");
        assert!(is_completed(&mut world, 1), "{name}");
        world.check_history();
        assert_eq!(world.violations, Vec::<String>::new(), "{name}");
    }
}

/// Guards against a gang that is kept until the last of its endpoints leaves, and loses its work when
/// the first one does.
#[test]
fn a_gang_is_saved_before_the_first_of_its_endpoints_leaves() {
    let mut world = open(4, true);
    let gang = Step {
        checkpointing: true,
        gang: true,
        ..step(8, 9_000)
    };
    assert_eq!(world.submit(1, job(gang)), Answer::Accepted);
    world.run(500);
    announce(&mut world, 2, 3_000);
    announce(&mut world, 1, 7_000);
    world.run(3_500);
    assert_eq!(ends(&world, Some(EndReason::Stopped)).0, 8);
    assert_eq!(ends(&world, None).0, 0);
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn services_move_as_far_as_their_rule_of_unavailability_allows() {
    for (max_unavailable, lost) in [(0, 4), (1, 0), (2, 0)] {
        let mut world = open(3, true);
        let service = Step {
            long_running: true,
            max_unavailable,
            ..step(8, 1_000_000)
        };
        assert_eq!(world.submit(1, job(service)), Answer::Accepted);
        world.run(1_000);
        announce(&mut world, 1, NOTICE_MS);
        let mut most_down = 0;
        for _ in 0..NOTICE_MS / 5 - 20 {
            world.run(5);
            let running = world.endpoints.values();
            let running: usize = running.map(|endpoint| endpoint.running.len()).sum();
            most_down = most_down.max(8 - running);
        }
        assert!(
            most_down <= max_unavailable as usize,
            "{most_down} are down"
        );
        world.run(500);
        assert_eq!(ends(&world, None).0, lost, "{max_unavailable}");
        world.run(5_000);
        let running = world.endpoints.values();
        let running: usize = running.map(|endpoint| endpoint.running.len()).sum();
        assert_eq!(running, 8, "{max_unavailable}");
        assert_eq!(world.violations, Vec::<String>::new());
    }
}

/// Figures of a fleet of 350 endpoints of which 49 leave at 5.5 s notice.
struct Figures {
    lost_core_s: u64,
    stopped: usize,
    in_time: usize,
}

/// Submits a job of twelve tasks. A half of the jobs save checkpoints and a quarter are gangs.
fn request(world: &mut World, id: u64) {
    let spec = job(Step {
        checkpointing: id % 4 < 2,
        gang: id % 8 < 2,
        ..step(12, if id % 2 == 0 { 2_700 } else { 4_000 })
    });
    world.jobs.insert(JobId(id), spec.clone());
    world.request(Request::Submit {
        queue: world.queue.clone(),
        id: JobId(id),
        spec,
        wait_ms: 1_000,
        account: None,
    });
}

/// Submits 20 jobs a second, which use 70% of the fleet, for 15 s. Notice is given after 5 s.
fn play_fleet(departures: bool) -> Figures {
    const JOBS: u64 = 300;
    let mut world = open(350, departures);
    for endpoint in world.endpoints.values_mut() {
        endpoint.rough_estimates = true;
    }
    let mut due_ms = BTreeMap::new();
    for id in 1..=JOBS {
        if id == 100 {
            let leaves_ms = world.now + NOTICE_MS;
            for endpoint in world.endpoints.values_mut().step_by(7).take(49) {
                endpoint.draining = true;
                endpoint.leaves_ms = Some(leaves_ms);
            }
        }
        request(&mut world, id);
        let spec = &world.jobs[&JobId(id)];
        due_ms.insert(JobId(id), world.now + spec.objective_ms(&world.queue));
        world.run(50);
    }
    world.run(20_000);
    let mut last_ms: BTreeMap<JobId, u64> = BTreeMap::new();
    let runs = world.endpoints.values().flat_map(|end| &end.past_runs);
    for run in runs.filter(|run| run.how == Some(EndReason::Done)) {
        let last = last_ms.entry(run.task.job).or_insert(0);
        *last = (*last).max(run.ended_ms);
    }
    assert_eq!(last_ms.len() as u64, JOBS, "all complete");
    let in_time = due_ms.iter().filter(|(id, due_ms)| last_ms[id] <= **due_ms);
    let in_time = in_time.count();
    world.check_history();
    assert_eq!(world.violations, Vec::<String>::new());
    let wasted_ms = ends(&world, None).1 + ends(&world, Some(EndReason::Broken)).1;
    Figures {
        lost_core_s: wasted_ms / 1_000,
        stopped: ends(&world, Some(EndReason::Stopped)).0,
        in_time,
    }
}

#[test]
fn less_work_is_lost_when_endpoints_of_a_fleet_leave() {
    let [with, without] = [true, false].map(play_fleet);
    for (name, figures) in [("with", &with), ("without", &without)] {
        println!(
            "{name}: {} core-s lost, {} runs stopped, {} jobs in time",
            figures.lost_core_s, figures.stopped, figures.in_time
        );
    }
    assert!(with.lost_core_s * 3 <= without.lost_core_s * 2);
    assert!(with.in_time >= without.in_time);
}
