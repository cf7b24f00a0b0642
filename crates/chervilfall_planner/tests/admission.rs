//! Admission by forecast: its decisions, and loads that exceed the store, the endpoints or a quota.
//!
//! Guards against these failures: callers were held until their time was up although the store
//! could not take their jobs, and jobs were accepted that had no worth left when they started.

mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::sync::Arc;

use chervilfall_planner::{
    acceptable_after_ms, no_holder_retry_ms, refusal, retry_ms, Account, Answer, Asker, Attempt,
    Configuration, Forecast, JobId, JobSpec, JobState, Limits, RefusalCause, RefusalMemory,
    Request, Resources, ServiceRate, Stage, Standing, StoreCapacity, StoredCommit, SubmissionTimes,
    Work,
};
use world::{step, World};

const WORK_MS: u64 = 400;
/// Objective of a job: 1.5 times its work and 250 ms.
const OBJECTIVE_MS: u64 = WORK_MS * 3 / 2 + 250;
const WAIT_MS: u64 = 1_500;
const LIMITED: &str = "limited";

#[test]
fn refusals_follow_from_the_forecast() {
    struct Case {
        name: &'static str,
        forecast: Forecast,
        waited_ms: u64,
        objective_ms: Option<u64>,
        cause: Option<RefusalCause>,
    }
    let waits = |commit_ms, start_ms, quota_ms| Forecast {
        commit_ms,
        start_ms,
        quota_ms,
        ..Forecast::default()
    };
    let case = |name, forecast, cause| Case {
        name,
        forecast,
        waited_ms: 0,
        objective_ms: Some(1_000),
        cause,
    };
    let cases = [
        case("nothing is known", waits(0, 0, 0), None),
        case("just worth something", waits(0, 2_800, 0), None),
        case("too late", waits(0, 2_801, 0), Some(RefusalCause::Starts)),
        case("sum", waits(1_000, 700, 1_200), Some(RefusalCause::Quota)),
        case(
            "late for its commit",
            waits(1_501, 0, 0),
            Some(RefusalCause::Store),
        ),
        case("just in time for it", waits(1_500, 0, 0), None),
        Case {
            waited_ms: 1,
            ..case("has waited", waits(0, 2_800, 0), Some(RefusalCause::Starts))
        },
        Case {
            objective_ms: None,
            ..case("no objective", waits(0, 90_000, 90_000), None)
        },
        Case {
            waited_ms: 5_000,
            ..case("nothing to wait for", waits(0, 0, 0), None)
        },
    ];
    for case in cases {
        let times = SubmissionTimes {
            waited_ms: case.waited_ms,
            wait_left_ms: WAIT_MS,
            chain_ms: 400,
            objective_ms: case.objective_ms,
        };
        let refused = refusal(case.forecast, times).map(|refusal| refusal.cause);
        assert_eq!(refused, case.cause, "{}", case.name);
    }
}

/// Returns a rate that has served `each` every `interval_ms` for a time.
fn served(interval_ms: u64, each: u64, for_ms: u64) -> ServiceRate {
    let mut rate = ServiceRate::default();
    rate.note_waiting(0, true);
    for at_ms in (0..=for_ms).step_by(usize::try_from(interval_ms).expect("short")) {
        for _ in 0..each {
            rate.note_served(at_ms, 1);
        }
    }
    rate
}

#[test]
fn waits_follow_from_what_was_served_under_pressure() {
    struct Case {
        name: &'static str,
        rate: ServiceRate,
        now: u64,
        wait_ms: u64,
    }
    let case = |name, rate, now, wait_ms| Case {
        name,
        rate,
        now,
        wait_ms,
    };
    let mut passed = served(10, 1, 4_000);
    passed.note_waiting(4_000, false);
    passed.note_waiting(4_000, true);
    let cases = [
        case("steady", served(10, 1, 4_000), 4_000, 1_000),
        case("batches", served(500, 25, 4_000), 4_400, 2_000),
        case("too short", served(10, 1, 900), 1_000, 0),
        case("too few", served(250, 1, 4_000), 4_000, 0),
        case("long ago", served(10, 1, 4_000), 9_100, 0),
        case("pressure has passed", passed, 4_100, 0),
    ];
    for case in cases {
        let wait_ms = case.rate.wait_ms(case.now, 100);
        let error_ms = wait_ms.abs_diff(case.wait_ms);
        assert!(error_ms <= case.wait_ms / 20, "{}: {wait_ms}", case.name);
    }
}

#[test]
fn late_work_is_ahead_only_of_jobs_that_become_late() {
    let standing = |beyond, priority| Standing { beyond, priority };
    let mut stage = Stage::default();
    stage.rate = served(10, 1, 4_000);
    stage.add_waiting(standing(false, 0), true, 50);
    stage.add_waiting(standing(false, 0), false, 100);
    stage.add_waiting(standing(false, 1), true, 200);
    let own = standing(false, 0);
    assert_eq!(stage.wait_ms(4_000, own, 600) / 100, 5);
    assert_eq!(stage.wait_ms(4_000, own, 400) / 100, 15);
    assert_eq!(stage.wait_ms(4_000, standing(true, 0), 9_000) / 100, 25);
}

/// A submission, and the holder's answer to it.
struct Sent {
    id: JobId,
    account: Option<&'static str>,
    at_ms: u64,
    request: Option<(usize, u64)>,
    answer: Option<(Answer, u64)>,
}

impl Sent {
    /// Returns the request for the job's state by its caller.
    fn state_request(&self) -> Request {
        Request::State {
            id: self.id,
            asker: Asker {
                account: self.account.map(str::to_owned),
                ..Asker::default()
            },
        }
    }

    fn is_refused(&self) -> bool {
        matches!(self.answer, Some((Answer::Refused { .. }, _)))
    }
}

/// An open-loop load: it submits whether or not earlier jobs were answered.
struct Load {
    world: World,
    sent: Vec<Sent>,
}

impl Load {
    fn new(forecast: bool, endpoints: usize) -> Self {
        let mut world = World::new(2, endpoints, 7);
        world.limits.policies.admission_forecast = forecast;
        // With these, the store would take the whole load.
        world.limits.policies.texts_in_job_rows = false;
        world.limits.policies.commit_order = false;
        // What a quota rules out for certain is refused without a forecast.
        world.limits.policies.quota_bound = false;
        // A slow store does not recover while these loads last.
        world.limits.store_recovery_ms = 0;
        world.queue.advice = None;
        world.queue.priority = 0;
        world.queue.stretch = 1.5;
        world.queue.target_latency_ms = 250;
        world.config = Arc::new(Configuration {
            queues: BTreeMap::from([(world.queue.name.clone(), world.queue.clone())]),
            accounts: BTreeMap::from([(
                LIMITED.to_owned(),
                Account {
                    name: LIMITED.to_owned(),
                    weight: 0.0,
                    quota: Resources {
                        cpu_milli: 8_000,
                        ..Resources::default()
                    },
                },
            )]),
            ..Configuration::clone(&world.config)
        });
        world.run(4_500);
        let sent = Vec::new();
        Self { world, sent }
    }

    fn submit(&mut self, account: Option<&'static str>) {
        self.submit_job(JobId(self.sent.len() as u64 + 1), account);
    }

    fn submit_job(&mut self, id: JobId, account: Option<&'static str>) {
        let spec = JobSpec {
            spec: "text".to_owned(),
            steps: vec![step(1, WORK_MS)],
            ..JobSpec::default()
        };
        self.world.jobs.insert(id, spec.clone());
        let request = self.world.request(Request::Submit {
            queue: self.world.queue.clone(),
            id,
            spec,
            wait_ms: WAIT_MS,
            account: account.map(str::to_owned),
        });
        self.sent.push(Sent {
            id,
            account,
            at_ms: self.world.now,
            request,
            answer: None,
        });
    }

    /// Replaces the holder by one with the limits set since.
    fn take_over(&mut self) {
        let holder = self.world.holder().expect("a holder");
        self.world.kill(holder);
        self.run(5_000);
    }

    fn run(&mut self, for_ms: u64) {
        for _ in 0..for_ms / 5 {
            self.world.run(5);
            for sent in &mut self.sent {
                let Some((node, number)) = sent.request.filter(|_| sent.answer.is_none()) else {
                    continue;
                };
                let reply = self.world.nodes[node].replies.get(&number);
                sent.answer = reply.map(|answer| (*answer, self.world.now));
            }
        }
    }

    /// Submits so many jobs a second, every other one with the limited account if `with_account`.
    fn submit_for(&mut self, for_ms: u64, per_s: u64, with_account: bool) {
        for turn in 0..for_ms / 5 {
            let due = (turn + 1) * per_s / 200 - turn * per_s / 200;
            for _ in 0..due {
                let limited = with_account && self.sent.len() % 2 == 0;
                self.submit(limited.then_some(LIMITED));
            }
            self.run(5);
        }
    }

    /// Returns the jobs whose task ended while they still had worth.
    fn worthwhile(&self) -> usize {
        let endpoints = self.world.endpoints.values();
        let starts = endpoints.flat_map(|endpoint| &endpoint.starts);
        let starts: BTreeMap<JobId, u64> =
            starts.map(|(at_ms, task, _)| (task.job, *at_ms)).collect();
        let in_time = |sent: &&Sent| {
            let start_ms = starts.get(&sent.id);
            start_ms.is_some_and(|at_ms| at_ms + WORK_MS <= sent.at_ms + 3 * OBJECTIVE_MS)
        };
        self.sent.iter().filter(in_time).count()
    }

    /// Checks that no refused job was stored or started.
    fn check(&mut self) {
        let refused = self.sent.iter().filter(|sent| sent.is_refused());
        self.world.refused = refused.map(|sent| sent.id).collect();
        self.world.check_history();
        assert_eq!(self.world.violations, Vec::<String>::new());
        for table in ["jobs", "ended"] {
            for (key, _) in self.world.store.table(table) {
                let id: JobId = key.parse().expect("a job's id");
                assert!(!self.world.refused.contains(&id), "{id} was stored");
            }
        }
    }
}

#[test]
fn loads_beyond_the_capacity_are_refused_early_and_lighter_ones_never() {
    struct Case {
        name: &'static str,
        forecast: bool,
        /// Additional time that a commit takes, with few rows.
        store_ms: u64,
        per_s: u64,
        with_account: bool,
        refused: RangeInclusive<usize>,
        /// Refusals later than 200 ms after the submission.
        late_refusals: RangeInclusive<usize>,
        min_worthwhile: usize,
    }
    let case = |name, forecast, per_s, refused| Case {
        name,
        forecast,
        store_ms: 0,
        per_s,
        with_account: false,
        refused,
        late_refusals: 0..=0,
        min_worthwhile: 0,
    };
    // Endpoints serve 100 jobs a second, of them the account's quota 20.
    let cases = [
        Case {
            store_ms: 300,
            late_refusals: 0..=100,
            min_worthwhile: 550,
            ..case("slow store", true, 100, 300..=450)
        },
        Case {
            store_ms: 300,
            late_refusals: 300..=450,
            ..case("slow store, no forecast", false, 100, 300..=450)
        },
        Case {
            min_worthwhile: 1_100,
            ..case("short work", true, 400, 1_500..=2_500)
        },
        case("short work, no forecast", false, 400, 0..=0),
        Case {
            with_account: true,
            min_worthwhile: 700,
            ..case("quota", true, 100, 100..=250)
        },
        Case {
            with_account: true,
            ..case("quota, no forecast", false, 100, 0..=0)
        },
        Case {
            min_worthwhile: 500,
            ..case("light", true, 50, 0..=0)
        },
        Case {
            store_ms: 300,
            min_worthwhile: 100,
            ..case("light, slow store", true, 10, 0..=0)
        },
    ];
    for case in cases {
        let name = case.name;
        let mut load = Load::new(case.forecast, 10);
        load.world.store.slow_ms = case.store_ms;
        load.submit_for(10_000, case.per_s, case.with_account);
        load.run(3_000);
        load.check();
        let refused: Vec<&Sent> = load.sent.iter().filter(|sent| sent.is_refused()).collect();
        let is_late = |sent: &&&Sent| {
            let answered_ms = sent.answer.map(|(_, at_ms)| at_ms);
            answered_ms > Some(sent.at_ms + 200)
        };
        let late_refusals = refused.iter().filter(is_late).count();
        let worthwhile = load.worthwhile();
        assert!(
            case.refused.contains(&refused.len()),
            "{name}: {} refused",
            refused.len()
        );
        assert!(
            case.late_refusals.contains(&late_refusals),
            "{name}: {late_refusals} refused late"
        );
        assert!(
            worthwhile >= case.min_worthwhile,
            "{name}: {worthwhile} worthwhile"
        );
        let others = refused.iter().filter(|sent| sent.account.is_none()).count();
        assert!(
            !case.with_account || others == 0,
            "{name}: {others} others refused"
        );
    }
}

#[test]
fn accepted_work_bounds_what_a_quota_allows_in_time() {
    struct Case {
        name: &'static str,
        need: Resources,
        work_ms: u64,
        quota: Resources,
        least_ms: u64,
        acceptable_after_ms: Option<u64>,
    }
    let resources = |cpu_milli, memory_mb| Resources {
        cpu_milli,
        memory_mb,
        gpus: 0,
    };
    let case = |name, need, quota, least_ms, acceptable_after_ms| Case {
        name,
        need,
        work_ms: 1_000,
        quota,
        least_ms,
        acceptable_after_ms,
    };
    let cases = [
        case("no limit", resources(90_000, 1), resources(0, 0), 0, None),
        case(
            "fits",
            resources(4_000, 1),
            resources(2_000, 0),
            2_000,
            None,
        ),
        case(
            "just has worth",
            resources(6_000, 1),
            resources(2_000, 0),
            3_000,
            None,
        ),
        case(
            "too much",
            resources(8_000, 1),
            resources(2_000, 0),
            4_000,
            Some(1_000),
        ),
        case(
            "scarcest",
            resources(2_000, 500),
            resources(2_000, 100),
            5_000,
            Some(2_000),
        ),
    ];
    for case in cases {
        let least_ms = Work::new(case.need, case.work_ms).least_ms(case.quota);
        assert_eq!(least_ms, case.least_ms, "{}", case.name);
        let after_ms = acceptable_after_ms(least_ms, 3_000);
        assert_eq!(after_ms, case.acceptable_after_ms, "{}", case.name);
    }
}

/// Guards against this failure: jobs were accepted although their account's quota ruled out that all
/// of them end while they have worth, and they had not ended long after the load.
#[test]
fn accepted_jobs_of_an_account_end_soon_after_it_asked_for_more_than_its_quota() {
    struct Case {
        name: &'static str,
        holder_lost: bool,
        per_s: u64,
        refused: RangeInclusive<usize>,
    }
    let case = |name, per_s, refused| Case {
        name,
        holder_lost: false,
        per_s,
        refused,
    };
    // Of the submissions every other one is the account's, whose quota serves 20 a second.
    let cases = [
        case("overload", 100, 100..=400),
        Case {
            holder_lost: true,
            ..case("overload, the holder is lost", 100, 100..=400)
        },
        case("light", 30, 0..=0),
    ];
    for case in cases {
        let name = case.name;
        let mut load = Load::new(false, 10);
        load.world.limits.policies.quota_bound = true;
        load.take_over();
        load.submit_for(5_000, case.per_s, true);
        if case.holder_lost {
            load.take_over();
        }
        load.submit_for(5_000, case.per_s, true);
        // Until what was accepted last has lost its worth, doubled because estimates may be off by
        // a factor of two, and one objective for what is running.
        load.run((2 * 3 + 1) * OBJECTIVE_MS);
        load.check();
        let refused = load.sent.iter().filter(|sent| sent.is_refused()).count();
        assert!(case.refused.contains(&refused), "{name}: {refused} refused");
        let accepted = load.sent.iter();
        let accepted = accepted.filter(|sent| matches!(sent.answer, Some((Answer::Accepted, _))));
        let accepted: Vec<Request> = accepted.map(Sent::state_request).collect();
        // Runs fail now and then, and two failures end a job.
        let ended = [JobState::Completed, JobState::Failed].map(Answer::State);
        let mut open = accepted.clone();
        open.retain(|request| !ended.contains(&load.world.ask(request.clone())));
        assert_eq!(open.len(), 0, "{name}: of {} accepted", accepted.len());
    }
}

/// Guards against refusals of jobs that a store which recovers could have taken, and against callers
/// who wait in vain for one that does not.
#[test]
fn a_slow_store_is_counted_on_to_recover_for_a_limited_time() {
    const SECOND_MS: u64 = 1_000;
    let mut load = Load::new(true, 10);
    load.world.limits.store_recovery_ms = Limits::default().store_recovery_ms;
    load.take_over();
    load.world.store.slow_ms = 300;
    let begin_ms = load.world.now;
    load.submit_for(14 * SECOND_MS, 100, false);
    load.run(3 * SECOND_MS);
    load.check();
    let early = |sent: &&Sent| {
        let answer = sent.answer.filter(|_| sent.is_refused());
        answer.is_some_and(|(_, at_ms)| at_ms < sent.at_ms + WAIT_MS)
    };
    let submitted = |from_s: u64, to_s: u64| {
        let times = begin_ms + from_s * SECOND_MS..begin_ms + to_s * SECOND_MS;
        let sent = load.sent.iter();
        sent.filter(move |sent| times.contains(&sent.at_ms))
    };
    assert_eq!(submitted(0, 7).filter(early).count(), 0);
    let refused = submitted(11, 14).filter(|sent| sent.is_refused()).count();
    let early = submitted(11, 14).filter(early).count();
    assert!(
        early > 90 && early * 10 >= refused * 9,
        "{early} of {refused}"
    );
}

#[test]
fn the_store_takes_as_many_jobs_as_recent_commits_had_room_for() {
    struct Case {
        name: &'static str,
        /// Intervals and rows for new jobs of the commits, from the oldest on.
        commits: Vec<(u64, usize)>,
        in_flight_ms: Option<u64>,
        rows_ahead: usize,
        wait_ms: u64,
    }
    let case = |name, commits: &[(u64, usize)], rows_ahead, wait_ms| Case {
        name,
        commits: commits.to_vec(),
        in_flight_ms: None,
        rows_ahead,
        wait_ms,
    };
    let slow = [(500, 30); 8];
    let cases = [
        case("too few commits", &slow[..2], 90, 0),
        case("no room at all", &[(500, 0); 8], 90, 0),
        case("all fit the next commit", &slow, 29, 0),
        case("the next commit is full", &slow, 30, 500),
        case("three commits ahead", &slow, 95, 1_500),
        case(
            "one commit that no ends took rows of",
            &[&slow[..6], &[(500, 90)], &slow[..1]].concat(),
            95,
            1_000,
        ),
        case(
            "the same long ago",
            &[&[(500, 90)], &slow[..]].concat(),
            95,
            1_500,
        ),
        case(
            "one fast commit",
            &[&slow[..], &[(20, 30)]].concat(),
            95,
            60,
        ),
        case(
            "one slow commit",
            &[&[(20, 30); 8][..], &[(500, 30)]].concat(),
            95,
            60,
        ),
        Case {
            in_flight_ms: Some(200),
            ..case("a commit in flight", &slow, 95, 1_800)
        },
        Case {
            in_flight_ms: Some(900),
            ..case("an overdue commit in flight", &slow, 95, 1_500)
        },
    ];
    for case in cases {
        let mut store = StoreCapacity::default();
        for (interval_ms, rows_for_jobs) in case.commits {
            store.note(StoredCommit {
                interval_ms,
                rows_for_jobs,
            });
        }
        let wait_ms = store.wait_ms(case.in_flight_ms, case.rows_ahead);
        assert_eq!(wait_ms, case.wait_ms, "{}", case.name);
    }
}

/// Guards against a new holder that refuses by rates which it has not observed.
#[test]
fn a_new_holder_accepts_until_it_has_observed_enough() {
    let mut load = Load::new(true, 10);
    load.submit_for(5_000, 400, false);
    let holder = load.world.holder().expect("a holder");
    let before = load.sent.iter().filter(|sent| sent.is_refused()).count();
    assert!(before > 100, "{before} refused");
    load.world.kill(holder);
    while load.world.holder().is_none() {
        load.run(5);
    }
    let first = load.sent.len();
    load.submit_for(2_000, 400, false);
    let early = load.sent[first..].iter().filter(|sent| sent.is_refused());
    assert_eq!(early.count(), 0);
    load.submit_for(4_000, 400, false);
    load.run(3_000);
    let later = load.sent[first..].iter().filter(|sent| sent.is_refused());
    assert!(later.count() > 100);
    load.check();
}

#[test]
fn retry_times_differ_within_their_bounds() {
    struct Case {
        passes_ms: u64,
        priority: u32,
        bounds: RangeInclusive<u64>,
    }
    let cases = [
        (0, 0, 200..=250),
        (2_000, 0, 2_000..=2_500),
        (2_000, 1, 2_000..=2_666),
        (2_000, 9, 2_000..=3_000),
        (60_000, 0, 10_000..=12_500),
    ];
    for (passes_ms, priority, bounds) in cases {
        let case = Case {
            passes_ms,
            priority,
            bounds,
        };
        let times = (0..1_000).map(|id| retry_ms(case.passes_ms, JobId(id), case.priority));
        assert_spread(times.collect(), &case.bounds);
    }
    assert_spread(
        (0..1_000).map(|id| no_holder_retry_ms(JobId(id))).collect(),
        &(500..=1_500),
    );
}

/// Guards against one constant time for all callers, however long the store has not answered.
#[test]
fn callers_are_told_a_time_that_follows_from_the_store() {
    const SILENT_MS: u64 = 4_000;
    /// The times are told within this of the measurement.
    const STEP_MS: u64 = 10;
    const REFUSED: usize = 20;
    let mut load = Load::new(false, 10);
    load.world.limits.accept_queue = 1;
    load.take_over();
    load.world.store.slow_ms = 3 * SILENT_MS;
    load.submit(None);
    load.run(SILENT_MS);
    let first = load.sent.len();
    for _ in 0..=REFUSED {
        load.submit(None);
    }
    let holder = load.world.holder().expect("a holder");
    let planner = load.world.nodes[holder].planner.as_ref();
    let silent_ms = planner.expect("a planner").claim_age_ms(load.world.now);
    load.run(5);
    let told = load.sent[first..]
        .iter()
        .filter_map(|sent| match sent.answer {
            Some((Answer::Refused { retry_ms }, _)) => Some(retry_ms),
            _ => None,
        });
    let told: Vec<u64> = told.collect();
    let different: BTreeSet<&u64> = told.iter().collect();
    assert!(told.len() >= REFUSED, "{told:?}");
    let bounds = silent_ms - STEP_MS..=(silent_ms + STEP_MS) * 5 / 4;
    let follow = told.iter().all(|ms| bounds.contains(ms));
    assert!(follow, "{silent_ms}: {told:?}");
    assert!(different.len() > REFUSED / 2, "{told:?}");
}

/// Checks that times lie within bounds, and that no tenth of the range has twice its share.
fn assert_spread(times: Vec<u64>, bounds: &RangeInclusive<u64>) {
    let mut tenths = [0; 10];
    let width = (bounds.end() - bounds.start()) / 10 + 1;
    for time in times {
        assert!(bounds.contains(&time), "{time} is not in {bounds:?}");
        tenths[usize::try_from((time - bounds.start()) / width).expect("few")] += 1;
    }
    assert!(
        tenths.iter().all(|tenth| *tenth < 200),
        "{bounds:?}: {tenths:?}"
    );
}

#[test]
fn refusals_are_remembered_until_some_time_after_their_retry_time() {
    let (id, other) = (JobId(1), JobId(2));
    let mut memory = RefusalMemory::default();
    assert_eq!(memory.remember(id, 1_000, 2_000), 2_000);
    let cases = [
        (id, 1_500, Attempt::Early { left_ms: 1_500 }),
        (id, 3_000, Attempt::AsTold),
        (id, 5_999, Attempt::AsTold),
        (id, 6_000, Attempt::First),
        (other, 3_000, Attempt::First),
    ];
    for (id, now, attempt) in cases {
        assert_eq!(memory.attempt(id, now), attempt, "{id} at {now}");
    }
    // Who comes too early is told the same time again.
    assert_eq!(memory.remember(id, 2_500, 9_000), 500);
    assert_eq!(memory.attempt(id, 3_000), Attempt::AsTold);
    for id in 0..10_000 {
        memory.remember(JobId(id), 3_000, 2_000);
    }
    let remembered = (0..10_000).filter(|id| memory.attempt(JobId(*id), 5_000) == Attempt::AsTold);
    assert_eq!(remembered.count(), 4_096);
}

/// Guards against callers that are refused together, return together and are refused again.
#[test]
fn callers_refused_together_are_accepted_when_they_return_as_told() {
    struct Case {
        spread: bool,
        /// Callers that are refused when they return.
        refused_again: RangeInclusive<usize>,
        /// Percentage of them that return within the same 50 ms, at most.
        together_percent: RangeInclusive<usize>,
    }
    const WAVE: usize = 40;
    let cases = [
        Case {
            spread: true,
            refused_again: 0..=0,
            together_percent: 0..=30,
        },
        Case {
            spread: false,
            refused_again: WAVE / 4..=WAVE,
            together_percent: 100..=100,
        },
    ];
    for case in cases {
        let mut load = Load::new(true, 10);
        load.world.limits.policies.spread_retries = case.spread;
        load.take_over();
        load.world.store.slow_ms = 300;
        load.submit_for(4_000, 100, false);
        let first = load.sent.len();
        for _ in 0..WAVE {
            load.submit(None);
        }
        load.run(5);
        let mut returns: BTreeMap<u64, Vec<JobId>> = BTreeMap::new();
        for sent in &load.sent[first..] {
            if let Some((Answer::Refused { retry_ms }, at_ms)) = sent.answer {
                returns.entry(at_ms + retry_ms).or_default().push(sent.id);
            }
        }
        let counts = returns.keys().map(|at_ms| {
            let near = returns.range(at_ms..&(at_ms + 50));
            near.map(|(_, ids)| ids.len()).sum::<usize>()
        });
        let together = counts.max().unwrap_or(0);
        let refused: usize = returns.values().map(Vec::len).sum();
        assert!(refused > WAVE / 2, "{refused} refused at once");
        let percent = together * 100 / refused;
        assert!(
            case.together_percent.contains(&percent),
            "{percent}% return together"
        );
        let second = load.sent.len();
        let end_ms = load.world.now + 6_000;
        while load.world.now < end_ms {
            let due: Vec<JobId> = returns
                .range(..=load.world.now)
                .flat_map(|(_, ids)| ids.clone())
                .collect();
            returns.retain(|at_ms, _| *at_ms > load.world.now);
            for id in due {
                load.submit_job(id, None);
            }
            if load.world.now % 10 == 0 {
                load.submit(None);
            }
            load.run(5);
        }
        let wave = first as u64 + 1..=(first + WAVE) as u64;
        let again = load.sent[second..].iter();
        let again = again.filter(|sent| wave.contains(&sent.id.0) && sent.is_refused());
        let again = again.count();
        assert!(case.refused_again.contains(&again), "{again} refused again");
        assert_eq!(load.world.violations, Vec::<String>::new());
    }
}
