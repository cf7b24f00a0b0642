//! Usage of accounts by inherited tasks whose runs have not been found yet after a takeover.

mod world;

use chervilfall_planner::{
    Account, Answer, Asker, JobId, JobRow, JobSpec, JobState, Planner, Request, Resources, Step,
};
use ciborium::value::Value;
use world::tables::JobTables;
use world::{step, World};

const LIMITED: &str = "limited";
/// CPU of each of the six endpoints, except for the first one.
const ENDPOINT_MILLI: u32 = 4_000;
/// Quota of the account, in tasks of one core each.
const QUOTA_TASKS: u32 = 8;
/// The endpoint that cannot be reached during the takeover.
const CUT_OFF: usize = 0;
/// Number of the job on the endpoint that is cut off.
const HIDDEN_JOB: u64 = 1;
/// Number of the job submitted after the takeover.
const NEW_JOB: u64 = 100;
/// Duration of tasks that do not end within a test.
const WORK_MS: u64 = 60_000;
/// Time in which a new holder has read the list of endpoints and stored what it changes.
const LIST_READ_MS: u64 = 600;
/// Time within which a short job starts if its account's quota has room. The barrier lasts 9.5 s.
const STARTS_WITHIN_MS: u64 = 500;
/// Time in which runs are stopped and their ends are stored.
const STOPPED_WITHIN_MS: u64 = 1_500;
/// Time for which the quota is checked after a takeover: longer than the barrier lasts.
const CHECKED_MS: u64 = 12_000;

/// How the job on the endpoint that is cut off ends while that endpoint cannot be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// It stays open.
    None,
    /// It is cancelled, and its runs end, before the endpoint is cut off.
    Stopped,
    /// It is cancelled before the takeover.
    Cancelled,
    /// Another of its tasks fails before the takeover and has no attempts left.
    Failed,
    /// It is cancelled after the takeover.
    CancelledAfterTakeover,
}

/// What the endpoint that is cut off runs at the takeover.
#[derive(Clone)]
struct Setup {
    /// Capacity of the endpoint that is cut off.
    cut_off_milli: u32,
    /// The same when it joined.
    joined_milli: u32,
    hidden: Step,
    /// Number of tasks of the account that wait.
    waiting: u32,
    /// The roster was written by a version that does not state capacities.
    earlier_version: bool,
    ending: Ending,
}

impl Setup {
    fn new(cut_off_milli: u32, hidden: Step) -> Self {
        Self {
            cut_off_milli,
            joined_milli: cut_off_milli,
            hidden,
            waiting: 3 * QUOTA_TASKS,
            earlier_version: false,
            ending: Ending::None,
        }
    }

    /// Returns the job whose tasks run on the endpoint that is cut off. If it is to fail, it has
    /// another task, which that endpoint has no room for.
    fn hidden_steps(&self) -> Vec<Step> {
        let mut steps = vec![self.hidden.clone()];
        if self.ending == Ending::Failed {
            steps.push(Step {
                cpu_milli: ENDPOINT_MILLI,
                ..step(1, 100)
            });
        }
        steps
    }
}

struct Takeover {
    world: World,
    /// Tasks of the account that run on the endpoint that is cut off.
    hidden_runs: usize,
}

/// Opens a simulation with a queue without advice, and a quota for the account.
fn open(cut_off_milli: u32, weight: f64) -> World {
    let mut world = World::new(3, 6, 31);
    world.queue.advice = None;
    // The tests submit more than the quota allows in time, to see what of it starts.
    world.limits.policies.quota_bound = false;
    for (number, endpoint) in world.endpoints.values_mut().enumerate() {
        endpoint.fail_percent = 0;
        if number == CUT_OFF {
            endpoint.cpu_milli = cut_off_milli;
        }
    }
    let account = Account {
        name: LIMITED.to_owned(),
        weight,
        quota: Resources {
            cpu_milli: u64::from(QUOTA_TASKS) * 1_000,
            ..Resources::default()
        },
    };
    world.configure([account]);
    world.run(1_500);
    world
}

fn submit(world: &mut World, id: u64, step: Step) {
    submit_steps(world, id, vec![step]);
}

fn submit_steps(world: &mut World, id: u64, steps: Vec<Step>) {
    let spec = JobSpec {
        spec: "text".to_owned(),
        steps,
        ..JobSpec::default()
    };
    let answer = world.submit_for(Some(LIMITED), id, spec);
    assert_eq!(answer, Answer::Accepted, "job {id}");
}

fn cancel_hidden(world: &mut World) {
    let asker = Asker {
        account: Some(LIMITED.to_owned()),
        ..Asker::default()
    };
    let cancel = Request::Cancel {
        id: JobId(HIDDEN_JOB),
        asker,
    };
    assert_eq!(world.ask(cancel), Answer::Cancelled);
}

fn cut_off(world: &mut World) -> &mut world::endpoint::FakeEndpoint {
    world.endpoints.values_mut().nth(CUT_OFF).expect("listed")
}

/// Lets the holder hand the group back, and returns once another term has begun.
fn replace_holder(world: &mut World) {
    let holder = world.holder().expect("a holder");
    let planner = world.nodes[holder].planner.as_mut().expect("a planner");
    let term = planner.term();
    planner.release();
    let newest = |world: &World| {
        let planners = world.nodes.iter().filter_map(|node| node.planner.as_ref());
        planners.map(Planner::term).max()
    };
    world.run_until(2_000, |world| newest(world) > Some(term));
}

/// Runs tasks on the endpoint that is cut off next, lets others of the same account wait, and
/// replaces the holder.
fn take_over(setup: &Setup) -> Takeover {
    let mut world = open(setup.joined_milli, 0.0);
    // Nothing but the endpoint that is cut off next may be used.
    for endpoint in world.endpoints.values_mut().skip(1) {
        endpoint.draining = true;
    }
    let now = world.now;
    if setup.joined_milli != setup.cut_off_milli {
        cut_off(&mut world).resize(now, setup.cut_off_milli);
    }
    world.run(2_000);
    submit_steps(&mut world, HIDDEN_JOB, setup.hidden_steps());
    if setup.waiting > 0 {
        submit(&mut world, 2, step(setup.waiting, WORK_MS));
    }
    world.run(300);
    if setup.ending == Ending::Stopped {
        cancel_hidden(&mut world);
        world.run(STOPPED_WITHIN_MS);
    }
    let hidden_runs = cut_off(&mut world).running.len();
    cut_off(&mut world).cut_until_ms = u64::MAX;
    for endpoint in world.endpoints.values_mut().skip(1) {
        endpoint.draining = false;
        endpoint.fail_percent = if setup.ending == Ending::Failed {
            100
        } else {
            0
        };
    }
    if setup.earlier_version {
        world.store.rewrite(without_capacities);
    }
    match setup.ending {
        Ending::None | Ending::Stopped | Ending::CancelledAfterTakeover => {}
        Ending::Cancelled => cancel_hidden(&mut world),
        Ending::Failed => world.run_until(1_500, |world| {
            let JobTables {
                progress, ended, ..
            } = world.job_tables(HIDDEN_JOB);
            let row = ended.or(progress);
            row.is_some_and(|row| row.outcome == Some(JobState::Failed))
        }),
    }
    replace_holder(&mut world);
    for endpoint in world.endpoints.values_mut().skip(1) {
        endpoint.fail_percent = 0;
    }
    if setup.ending == Ending::CancelledAfterTakeover {
        cancel_hidden(&mut world);
    }
    Takeover { world, hidden_runs }
}

/// Returns a job's own row, and whether it has a row of its end.
fn stored_rows(world: &World, job: u64) -> (Option<JobRow>, bool) {
    let JobTables { job, ended, .. } = world.job_tables(job);
    (job, ended.is_some())
}

/// Returns how many tasks of the job submitted after the takeover were started.
fn new_starts(world: &World) -> usize {
    let endpoints = world.endpoints.values();
    let starts = endpoints.flat_map(|endpoint| &endpoint.starts);
    starts
        .filter(|(_, task, _)| task.job == JobId(NEW_JOB))
        .count()
}

/// Returns a row as written by a version that does not state capacities in the roster.
fn without_capacities(bytes: &[u8]) -> Vec<u8> {
    let mut row: Value = ciborium::from_reader(bytes).expect("a row");
    for entry in row.as_array_mut().into_iter().flatten() {
        if let Some(fields) = entry.as_map_mut() {
            fields.retain(|(key, _)| key.as_text() != Some("capacity"));
        }
    }
    let mut stripped = Vec::new();
    ciborium::into_writer(&row, &mut stripped).expect("a row");
    stripped
}

/// Advances the simulation and returns the highest usage of the account.
fn max_usage_milli(world: &mut World) -> u32 {
    let mut most = 0;
    for _ in 0..CHECKED_MS / 5 {
        world.run(5);
        let living = world.endpoints.values().filter(|endpoint| !endpoint.dead);
        let runs = living.flat_map(|endpoint| endpoint.running.values());
        most = most.max(runs.map(|run| run.cpu_milli).sum());
    }
    most
}

/// Guards against inherited work that blocks its account although it cannot be running: only the
/// tasks that fit the endpoint that is cut off may be.
#[test]
fn inherited_work_that_waits_does_not_block_its_account() {
    let mut takeover = take_over(&Setup::new(ENDPOINT_MILLI, step(1, WORK_MS)));
    let world = &mut takeover.world;
    world.run(200);
    submit(world, NEW_JOB, step(2, 300));
    world.run(STARTS_WITHIN_MS);
    assert_eq!(
        new_starts(world),
        2,
        "tasks of the new job that were started"
    );
    assert_eq!(world.violations, Vec::<String>::new());
}

/// What happens to the endpoint that is cut off while its runs have not been found.
struct Case {
    name: &'static str,
    setup: Setup,
    /// Capacity of the endpoint that is cut off, after its runs were started.
    shrinks_to_milli: Option<u32>,
    /// It leaves the list of endpoints.
    leaves_list: bool,
    takeovers: usize,
}

fn cases() -> Vec<Case> {
    const LARGE_MILLI: u32 = 2 * ENDPOINT_MILLI;
    let case = |name, setup| Case {
        name,
        setup,
        shrinks_to_milli: None,
        leaves_list: false,
        takeovers: 1,
    };
    let large = Setup::new(LARGE_MILLI, step(8, WORK_MS));
    let filling = Step {
        fills: true,
        memory_mb: 10,
        ..step(8, WORK_MS)
    };
    let grown = Setup {
        joined_milli: ENDPOINT_MILLI,
        ..large.clone()
    };
    let earlier_version = Setup {
        earlier_version: true,
        ..large.clone()
    };
    let ended = |ending| Setup {
        ending,
        waiting: 0,
        ..large.clone()
    };
    // The task that fails needs the other half of the quota.
    let failed = Setup {
        hidden: step(QUOTA_TASKS - ENDPOINT_MILLI / 1_000, WORK_MS),
        cut_off_milli: ENDPOINT_MILLI,
        joined_milli: ENDPOINT_MILLI,
        ..ended(Ending::Failed)
    };
    vec![
        case(
            "of the same size as others",
            Setup::new(ENDPOINT_MILLI, step(4, WORK_MS)),
        ),
        case("the largest", large.clone()),
        case("its runs fill", Setup::new(ENDPOINT_MILLI, filling)),
        case("it has grown since it joined", grown),
        Case {
            shrinks_to_milli: Some(1_000),
            ..case("it has shrunk since the starts", large.clone())
        },
        Case {
            leaves_list: true,
            ..case("it is not listed any more", large.clone())
        },
        Case {
            shrinks_to_milli: Some(1_000),
            takeovers: 2,
            ..case(
                "it has shrunk, and the successor is lost, too",
                large.clone(),
            )
        },
        Case {
            shrinks_to_milli: Some(1_000),
            takeovers: 2,
            ..case("its rows are of an earlier version", earlier_version)
        },
        case("its job was cancelled", ended(Ending::Cancelled)),
        case("its job has failed", failed),
        case(
            "its job is cancelled after the takeover",
            ended(Ending::CancelledAfterTakeover),
        ),
        Case {
            takeovers: 2,
            ..case(
                "its job was cancelled, and the successor is lost, too",
                ended(Ending::Cancelled),
            )
        },
        Case {
            takeovers: 2,
            ..case(
                "its job is cancelled after the takeover, and the successor is lost, too",
                ended(Ending::CancelledAfterTakeover),
            )
        },
    ]
}

/// Guards against a quota that is exceeded together with runs that have not been found.
#[test]
fn runs_on_an_endpoint_that_is_cut_off_count_against_the_quota() {
    let mut exceeding = Vec::new();
    for case in cases() {
        let mut takeover = take_over(&case.setup);
        assert_eq!(
            takeover.hidden_runs, case.setup.hidden.count as usize,
            "{}: runs on the endpoint that is cut off",
            case.name
        );
        let world = &mut takeover.world;
        let endpoint = cut_off(world);
        endpoint.listed = !case.leaves_list;
        endpoint.cpu_milli = case.shrinks_to_milli.unwrap_or(endpoint.cpu_milli);
        for _ in 1..case.takeovers {
            world.run(LIST_READ_MS);
            replace_holder(world);
        }
        let still_hidden = cut_off(world).running.len();
        assert_eq!(still_hidden, takeover.hidden_runs, "{}", case.name);
        for id in 0..QUOTA_TASKS {
            submit(world, NEW_JOB + u64::from(id), step(1, 2_000));
        }
        let most = max_usage_milli(world);
        if most > QUOTA_TASKS * 1_000 {
            exceeding.push(format!("{}: {most} mCPU are in use", case.name));
        }
        if case.setup.ending != Ending::None {
            let rows = stored_rows(world, HIDDEN_JOB);
            assert_eq!(rows, (None, true), "{}: rows after the barrier", case.name);
        }
    }
    assert_eq!(exceeding, Vec::<String>::new());
}

/// Guards against ended work that blocks its account although all its runs are known to have ended.
#[test]
fn a_job_whose_runs_have_ended_does_not_block_its_account() {
    let setup = Setup {
        ending: Ending::Stopped,
        waiting: 0,
        ..Setup::new(2 * ENDPOINT_MILLI, step(QUOTA_TASKS, WORK_MS))
    };
    let mut takeover = take_over(&setup);
    assert_eq!(takeover.hidden_runs, 0);
    let world = &mut takeover.world;
    assert_eq!(stored_rows(world, HIDDEN_JOB), (None, true));
    world.run(LIST_READ_MS);
    submit(world, NEW_JOB, step(QUOTA_TASKS, 300));
    world.run(STARTS_WITHIN_MS);
    let quota = QUOTA_TASKS as usize;
    assert_eq!(new_starts(world), quota, "tasks that were started");
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against an earlier version that inherits the row of a cancelled job beyond its account's
/// share, and counts it as an open job from then on.
#[test]
fn the_row_of_a_cancelled_job_is_not_counted_beyond_the_share() {
    let mut world = open(ENDPOINT_MILLI, 1.0);
    for endpoint in world.endpoints.values_mut().skip(1) {
        endpoint.draining = true;
    }
    world.run(2_000);
    submit(&mut world, NEW_JOB, step(1, 100));
    submit(&mut world, HIDDEN_JOB, step(2, WORK_MS));
    let (row, _) = stored_rows(&world, HIDDEN_JOB);
    let row = row.expect("a row");
    assert!(row.beyond);
    world.run(300);
    cut_off(&mut world).cut_until_ms = u64::MAX;
    cancel_hidden(&mut world);
    let within_share = JobRow {
        beyond: false,
        ..row
    };
    let rows = stored_rows(&world, HIDDEN_JOB);
    assert_eq!(rows, (Some(within_share), false));
    replace_holder(&mut world);
    world.run(CHECKED_MS);
    assert_eq!(stored_rows(&world, HIDDEN_JOB), (None, true));
    let absent = &world.store.absent_removals;
    assert_eq!(absent, &Vec::<String>::new());
}
