//! Client accounts: quotas under takeovers and late orders, and shares while one account overloads.

mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use chervilfall_planner::{
    Account, Answer, Asker, Configuration, Event, JobId, JobSpec, JobState, Request, Resources,
    Run, Step, TaskKey,
};
use world::random::Random;
use world::{step, World};

const LIMITED: &str = "bound";
const UNLIMITED: &str = "free";
/// Quota of the limited account, before and after it is lowered. Each task uses one core.
const QUOTA_MILLI: u64 = 3_000;
const LOWERED_MILLI: u64 = 1_000;
/// Quota of the limited account where wide steps wait for it.
const WIDE_QUOTA_MILLI: u64 = 4_000;
/// Maximum time from the sending of an order until it is carried out.
const MAX_ORDER_DELAY_MS: u64 = 4_000;

fn account(name: &str, cpu_milli: u64, weight: f64) -> Account {
    Account {
        name: name.to_owned(),
        weight,
        quota: Resources {
            cpu_milli,
            ..Resources::default()
        },
    }
}

fn asker(account: Option<&str>, queue: &str) -> Asker {
    Asker {
        account: account.map(str::to_owned),
        queue: queue.to_owned(),
    }
}

fn configure(world: &mut World, version: u64, accounts: Vec<Account>) {
    let named = accounts
        .into_iter()
        .map(|account| (account.name.clone(), account));
    world.config = Arc::new(Configuration {
        version,
        accounts: named.collect(),
        ..Configuration::clone(&world.config)
    });
    if let Some(holder) = world.holder() {
        let event = Event::Configured(Arc::clone(&world.config));
        world.handle_event(holder, event);
    }
}

/// Returns the limited account's runs in progress.
fn runs_of_limited_account(
    world: &World,
    owners: &BTreeMap<JobId, &'static str>,
) -> BTreeSet<(TaskKey, Run)> {
    let living = world.endpoints.values().filter(|endpoint| !endpoint.dead);
    let runs = living.flat_map(|endpoint| &endpoint.running);
    runs.filter(|(task, _)| owners.get(&task.job) == Some(&LIMITED))
        .map(|(task, run)| (*task, run.run))
        .collect()
}

struct QuotaSimulation {
    world: World,
    random: Random,
    owners: BTreeMap<JobId, &'static str>,
    next_job: u64,
    lowered_ms: Option<u64>,
    seen: BTreeSet<(TaskKey, Run)>,
}

impl QuotaSimulation {
    fn open(seed: u64) -> Self {
        let mut world = World::new(3, 4, seed);
        configure(
            &mut world,
            2,
            vec![
                account(LIMITED, QUOTA_MILLI, 0.0),
                account(UNLIMITED, 0, 0.0),
            ],
        );
        let mut simulation = Self {
            world,
            random: Random::new(seed + 1),
            owners: BTreeMap::new(),
            next_job: 0,
            lowered_ms: None,
            seen: BTreeSet::new(),
        };
        simulation.advance(1_500);
        simulation
    }

    /// Advances the simulation, and checks the quota at each start.
    fn advance(&mut self, for_ms: u64) {
        for _ in 0..for_ms / 5 {
            self.world.run(5);
            let runs = runs_of_limited_account(&self.world, &self.owners);
            let started = runs.difference(&self.seen).count();
            let used_milli = runs.len() as u64 * 1_000;
            let settled = self
                .lowered_ms
                .is_some_and(|at_ms| self.world.now > at_ms + MAX_ORDER_DELAY_MS);
            let most_milli = if settled { LOWERED_MILLI } else { QUOTA_MILLI };
            if started > 0 && used_milli > most_milli {
                let line = format!("{used_milli} of {most_milli} mCPU at {}", self.world.now);
                self.world.violations.push(line);
            }
            self.seen = runs;
        }
    }

    fn submit(&mut self) {
        self.next_job += 1;
        let id = self.next_job;
        let owner = if self.random.percent(60) {
            LIMITED
        } else {
            UNLIMITED
        };
        self.owners.insert(JobId(id), owner);
        let tasks = u32::try_from(1 + self.random.below(4)).expect("few");
        let spec = JobSpec {
            spec: "text".to_owned(),
            steps: vec![step(tasks, 200 + self.random.below(1_000))],
            ..JobSpec::default()
        };
        self.world.submit_for(Some(owner), id, spec);
    }

    fn inject_fault(&mut self) {
        let Some(holder) = self.world.holder() else {
            return;
        };
        let until_ms = self.world.now + 500 + self.random.below(3_000);
        match self.random.below(5) {
            0 => self.world.kill(holder),
            1 => self.world.nodes[holder].frozen_until_ms = until_ms,
            2 => self.world.nodes[holder].store_cut_until_ms = until_ms,
            3 => self.world.late_percent = self.random.below(30),
            _ => {
                let number = usize::try_from(self.random.below(4)).expect("few");
                if let Some(endpoint) = self.world.endpoints.values_mut().nth(number) {
                    endpoint.cut_until_ms = until_ms;
                }
            }
        }
    }
}

#[test]
fn no_account_is_started_beyond_its_quota() {
    let first = std::env::var("CHERVILFALL_SEED").ok();
    let first: u64 = first.and_then(|text| text.parse().ok()).unwrap_or(1);
    let count = std::env::var("CHERVILFALL_HISTORIES").ok();
    let count: u64 = count.and_then(|text| text.parse().ok()).unwrap_or(140);
    for seed in first..first + count {
        let mut simulation = QuotaSimulation::open(seed);
        for round in 0..60 {
            simulation.submit();
            let pause_ms = 50 + simulation.random.below(300);
            simulation.advance(pause_ms);
            if simulation.random.percent(12) {
                simulation.inject_fault();
            }
            if round == 30 {
                let lowered = vec![
                    account(LIMITED, LOWERED_MILLI, 0.0),
                    account(UNLIMITED, 0, 0.0),
                ];
                configure(&mut simulation.world, 3, lowered);
                simulation.lowered_ms = Some(simulation.world.now);
            }
        }
        simulation.world.late_percent = 0;
        simulation.advance(MAX_ORDER_DELAY_MS);
        simulation.lowered_ms = None;
        let raised = vec![
            account(LIMITED, QUOTA_MILLI, 0.0),
            account(UNLIMITED, 0, 0.0),
        ];
        configure(&mut simulation.world, 4, raised);
        simulation.advance(80_000);
        simulation.world.check_history();
        let violations = std::mem::take(&mut simulation.world.violations);
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
        let accepted: Vec<JobId> = simulation.world.accepted.iter().copied().collect();
        for id in accepted {
            let state = simulation.world.ask(Request::State {
                id,
                asker: asker(simulation.owners.get(&id).copied(), "batch"),
            });
            let ended = matches!(state, Answer::State(JobState::Completed | JobState::Failed));
            assert!(ended, "seed {seed}: job {id} is {state:?}");
        }
    }
}

#[test]
fn a_job_is_shown_to_its_own_account_only() {
    struct Case {
        name: &'static str,
        account: Option<&'static str>,
        queue: &'static str,
        answer: Answer,
    }
    let cases = [
        Case {
            name: "its own account",
            account: Some(LIMITED),
            queue: "batch",
            answer: Answer::State(JobState::Running),
        },
        Case {
            name: "another account",
            account: Some(UNLIMITED),
            queue: "batch",
            answer: Answer::Unknown,
        },
        Case {
            name: "its queue, without an account since it needs no key any more",
            account: None,
            queue: "batch",
            answer: Answer::State(JobState::Running),
        },
        Case {
            name: "another queue, which needs no key",
            account: None,
            queue: "other",
            answer: Answer::Unknown,
        },
    ];
    let mut simulation = QuotaSimulation::open(3);
    let spec = JobSpec {
        steps: vec![step(1, 30_000)],
        ..JobSpec::default()
    };
    let answer = simulation.world.submit_for(Some(LIMITED), 1, spec.clone());
    assert_eq!(answer, Answer::Accepted);
    simulation.advance(500);
    // A successor still knows the job's account.
    let holder = simulation.world.holder().expect("a holder");
    simulation.world.nodes[holder].frozen_until_ms = u64::MAX;
    simulation.advance(5_000);
    for case in cases {
        let id = JobId(1);
        let asked = Request::State {
            id,
            asker: asker(case.account, case.queue),
        };
        assert_eq!(simulation.world.ask(asked), case.answer, "{}", case.name);
    }
    let cancel = Request::Cancel {
        id: JobId(1),
        asker: asker(Some(UNLIMITED), "batch"),
    };
    assert_eq!(simulation.world.ask(cancel), Answer::Unknown);
    let answer = simulation.world.submit_for(Some(UNLIMITED), 1, spec);
    assert_eq!(answer, Answer::NameTaken);
}

/// One account submits twenty times its share for three seconds; the others' jobs must not wait for
/// its work.
#[test]
fn an_account_beyond_its_share_does_not_delay_the_others() {
    const OVERLOADED_ACCOUNT: &str = "hot";
    const MODERATE_ACCOUNT: &str = "calm";
    let mut world = World::new(3, 4, 9);
    configure(
        &mut world,
        2,
        vec![
            account(OVERLOADED_ACCOUNT, 0, 2.0),
            account(MODERATE_ACCOUNT, 0, 10.0),
        ],
    );
    world.run(1_500);
    let job = || JobSpec {
        steps: vec![step(4, 400)],
        ..JobSpec::default()
    };
    let mut refused = 0;
    let mut calm = Vec::new();
    for round in 0..60_u64 {
        for part in 0..2 {
            let answer =
                world.submit_for(Some(OVERLOADED_ACCOUNT), 1_000 + 2 * round + part, job());
            refused += u32::from(matches!(answer, Answer::OverShare { .. }));
        }
        if round % 10 == 0 {
            let id = 1 + round;
            assert_eq!(
                world.submit_for(Some(MODERATE_ACCOUNT), id, job()),
                Answer::Accepted
            );
            calm.push((JobId(id), world.now));
        }
        world.run(50);
    }
    assert!(refused > 60, "{refused} of 120 refused");
    for (id, _) in &calm[..calm.len() - 1] {
        let asker = asker(Some(MODERATE_ACCOUNT), "batch");
        let state = world.ask(Request::State { id: *id, asker });
        assert_eq!(state, Answer::State(JobState::Completed), "{id}");
    }
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against wide steps that wait until their account has nothing narrower left, however much came after them.
#[test]
fn a_wide_step_is_not_passed_by_all_later_work_of_its_account() {
    struct Case {
        name: &'static str,
        wide: Step,
    }
    /// Number of the wide job. Eight narrow jobs, 2 s of the quota, precede it.
    const WIDE: u64 = 9;
    /// Number of the last narrow job. Those that follow the wide one are 17 s of the quota.
    const LAST: u64 = 90;
    const WIDE_ENDS_WITHIN_MS: u64 = 9_000;
    /// Time within which all must have ended: the quota must not lie idle for the wide job.
    const ALL_END_WITHIN_MS: u64 = 21_000;
    let gang = |count| Step {
        gang: true,
        ..step(count, 500)
    };
    let cases = [
        Case {
            name: "a gang of the whole quota",
            wide: gang(4),
        },
        Case {
            name: "a gang of most of the quota",
            wide: gang(3),
        },
        Case {
            name: "one task of the whole quota",
            wide: Step {
                cpu_milli: 4_000,
                ..step(1, 500)
            },
        },
    ];
    for case in cases {
        let mut world = open_unadvised(11);
        let mut random = Random::new(12);
        for id in 1..WIDE {
            submit_limited(&mut world, id, step(1, 400 + random.below(800)));
        }
        submit_limited(&mut world, WIDE, case.wide);
        let submitted_ms = world.now;
        for id in WIDE + 1..=LAST {
            submit_limited(&mut world, id, step(1, 400 + random.below(800)));
        }
        let waits = [
            ("wide job", WIDE..=WIDE, WIDE_ENDS_WITHIN_MS),
            ("last job", 1..=LAST, ALL_END_WITHIN_MS),
        ];
        for (what, jobs, bound_ms) in waits {
            for id in jobs {
                wait_for_end(&mut world, JobId(id));
            }
            let took_ms = world.now - submitted_ms;
            assert!(
                took_ms <= bound_ms,
                "{}: {what} ended after {took_ms} ms",
                case.name
            );
        }
        assert_eq!(world.violations, Vec::<String>::new(), "{}", case.name);
    }
}

/// Guards against a quota that lies idle for the wide steps that wait for it.
#[test]
fn narrow_work_uses_a_quota_that_a_wide_step_waits_for() {
    const JOBS: u64 = 60;
    /// Part of the quota that must be in use, in percent.
    const MIN_USE_PERCENT: u64 = 88;
    let mut random = Random::new(21);
    let mut world = open_unadvised(22);
    let mut work_ms = 0;
    let submitted_ms = world.now;
    for id in 1..=JOBS {
        let count = 1 + u32::try_from(random.below(4)).expect("few");
        let task_ms = 100 + random.below(1_500);
        let gang = random.percent(30);
        let one = Step {
            gang,
            ..step(count, task_ms)
        };
        work_ms += u64::from(count) * task_ms;
        submit_limited(&mut world, id, one);
    }
    for id in 1..=JOBS {
        wait_for_end(&mut world, JobId(id));
    }
    let quota_ms = (world.now - submitted_ms) * WIDE_QUOTA_MILLI / 1_000;
    let use_percent = work_ms * 100 / quota_ms;
    println!("{use_percent} % of the quota were in use");
    assert!(
        use_percent >= MIN_USE_PERCENT,
        "{use_percent} % of the quota were in use"
    );
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Opens a simulation with a queue without advice, and a quota of four cores.
fn open_unadvised(seed: u64) -> World {
    let mut world = World::new(3, 6, seed);
    world.queue.advice = None;
    // The order in which a backlog is served shows best if none of it is refused.
    world.limits.policies.quota_bound = false;
    let queues = BTreeMap::from([(world.queue.name.clone(), world.queue.clone())]);
    world.config = Arc::new(Configuration {
        queues,
        ..Configuration::clone(&world.config)
    });
    let limited = account(LIMITED, WIDE_QUOTA_MILLI, 0.0);
    configure(&mut world, 2, vec![limited]);
    world.run(1_500);
    world
}

/// Submits a job of one step for the limited account.
fn submit_limited(world: &mut World, id: u64, step: Step) {
    let spec = JobSpec {
        spec: "text".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    };
    let answer = world.submit_for(Some(LIMITED), id, spec);
    assert_eq!(answer, Answer::Accepted, "job {id}");
}

/// Runs the simulation until a job of the limited account has ended.
fn wait_for_end(world: &mut World, id: JobId) {
    for _ in 0..1_000 {
        let asker = asker(Some(LIMITED), "batch");
        let state = world.ask(Request::State { id, asker });
        if matches!(state, Answer::State(JobState::Completed | JobState::Failed)) {
            return;
        }
        world.run(50);
    }
    panic!("job {id} has not ended");
}
