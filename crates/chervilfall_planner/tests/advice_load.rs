//! Calls for advice under load: wide gangs that wait for capacity, beside latency-tolerant work and
//! short work, with calls that take their stated time.
//!
//! Guards against these failures: gangs that wait for capacity called again and again and used up
//! the nodes, and tolerant work, whose tickets were renewed although headroom kept it from
//! starting, waited for a free node while cores were free.

mod world;

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use chervilfall_planner::{AdviceTimings, JobId, JobSpec, Policies, Queue, Request, Step};
use world::counters::Counters;
use world::random::Random;
use world::World;

const ENDPOINTS: usize = 120;
const ENDPOINT_CPU_MILLI: u32 = 32_000;
/// Interval between submissions.
const SUBMIT_INTERVAL_MS: u64 = 100;
/// Jobs that arrive before this time find a fleet that is filling up and are not counted.
const FILL_MS: u64 = 6_000;
/// Jobs that arrive in this time are counted.
const COUNTED_MS: u64 = 12_000;
/// Time for the last counted jobs to start, without further arrivals.
const REST_MS: u64 = 12_000;
/// Wait of a job that has not started by the end.
const MAX_WAIT_MS: u64 = COUNTED_MS + REST_MS;
const SEEDS: [u64; 3] = [1, 2, 3];
/// Number of nodes with which slow calls are scarce.
const FEW_NODES: u32 = 6;
/// Mean wait of tolerant work that shows that it lacked advice: its mean objective less its work is
/// twice this.
const LONG_TOLERANT_WAIT_MS: u64 = 5_500;
/// Priorities of the queues.
const SHORT: u32 = 0;
const GANGS: u32 = 1;
const TOLERANT: u32 = 2;

/// A kind of request.
struct Kind {
    queue: Queue,
    /// Submissions in 10 s.
    per_10_s: u64,
    gang: bool,
    cpu_milli: u32,
    estimate_ms: RangeInclusive<u64>,
    /// Percentage of endpoints that the advice service allows a step.
    allowed_percent: u64,
    widths: RangeInclusive<u64>,
}

/// Timings of a queue's calls.
const fn timings(decide_ms: f64, each_ms: f64) -> AdviceTimings {
    AdviceTimings {
        decide_ms,
        each_ms,
        valid_ms: 1_500,
    }
}

fn kinds(world: &World) -> [Kind; 3] {
    let queue = |name: &str, priority, stretch, target_latency_ms, advice| Queue {
        name: name.to_owned(),
        priority,
        stretch,
        target_latency_ms,
        attempts: 3,
        advice: Some(advice),
        ..world.queue.clone()
    };
    [
        Kind {
            queue: queue("gangs", GANGS, 2.2, 1_000, timings(442.0, 6.37)),
            per_10_s: 22,
            gang: true,
            cpu_milli: 9_000,
            estimate_ms: 3_000..=5_000,
            allowed_percent: 25,
            widths: 4..=30,
        },
        Kind {
            queue: queue("tolerant", TOLERANT, 4.0, 3_000, timings(130.0, 1.82)),
            per_10_s: 100,
            gang: false,
            cpu_milli: 3_500,
            estimate_ms: 1_500..=4_000,
            allowed_percent: 45,
            widths: 5..=45,
        },
        Kind {
            queue: queue("short", SHORT, 1.5, 250, timings(11.7, 0.169)),
            per_10_s: 280,
            gang: false,
            cpu_milli: 5_000,
            estimate_ms: 500..=1_100,
            allowed_percent: 70,
            widths: 1..=5,
        },
    ]
}

impl Kind {
    fn draw(&self, random: &mut Random) -> JobSpec {
        let mut within = |range: &RangeInclusive<u64>| {
            range.start() + random.below(range.end() - range.start() + 1)
        };
        let step = Step {
            count: u32::try_from(within(&self.widths)).expect("small"),
            cpu_milli: self.cpu_milli,
            memory_mb: 500,
            estimate_ms: within(&self.estimate_ms),
            gang: self.gang,
            ..Step::default()
        };
        JobSpec {
            spec: "text".to_owned(),
            steps: vec![step],
            ..JobSpec::default()
        }
    }
}

/// A counted job.
struct Counted {
    id: JobId,
    priority: u32,
    submitted_ms: u64,
    /// Latest first start with which the job can meet its objective.
    latest_start_ms: u64,
}

/// What the plays have shown of a queue.
#[derive(Debug, Default, Clone, Copy)]
struct Shown {
    jobs: u64,
    started: u64,
    /// Jobs that started early enough to meet their objective.
    in_time: u64,
    waited_ms: u64,
    calls: u64,
}

impl Shown {
    const fn mean_wait_ms(&self) -> u64 {
        self.waited_ms / self.jobs
    }
}

/// What the plays of all seeds have shown, by priority.
type Plays = BTreeMap<u32, Shown>;

fn play(policies: Policies, advisors: u32) -> Plays {
    let play_seed = |seed| {
        let counters = Counters::default();
        let counted =
            metrics::with_local_recorder(&counters, || play_load(policies, advisors, seed));
        (counted, counters)
    };
    let mut plays = Plays::new();
    std::thread::scope(|scope| {
        let seeds = SEEDS.map(|seed| scope.spawn(move || play_seed(seed)));
        for seed in seeds {
            let (counted, counters) = seed.join().expect("the play ends");
            for (job, first_ms) in counted {
                let shown = plays.entry(job.priority).or_default();
                let first_ms = first_ms.unwrap_or(u64::MAX);
                shown.jobs += 1;
                shown.started += u64::from(first_ms < u64::MAX);
                shown.in_time += u64::from(first_ms <= job.latest_start_ms);
                shown.waited_ms += first_ms.saturating_sub(job.submitted_ms).min(MAX_WAIT_MS);
            }
            for (labels, count) in counters.of("chervilfall_advice_calls_total") {
                for (priority, shown) in &mut plays {
                    if labels.contains(&format!("priority={priority},")) {
                        shown.calls += count;
                    }
                }
            }
        }
    });
    plays
}

/// Returns the counted jobs with the times of their first starts.
fn play_load(policies: Policies, advisors: u32, seed: u64) -> Vec<(Counted, Option<u64>)> {
    let mut world = World::new(1, ENDPOINTS, seed);
    for endpoint in world.endpoints.values_mut() {
        endpoint.cpu_milli = ENDPOINT_CPU_MILLI;
        endpoint.fail_percent = 0;
    }
    world.limits.policies = policies;
    world.advisors = advisors;
    world.advice_timed = true;
    world.run_until(5_000, |world| world.holder().is_some());
    world.run(1_000);
    let kinds = kinds(&world);
    let mut random = Random::new(seed);
    let mut counted = Vec::new();
    let mut next_id = 0;
    let began_ms = world.now;
    while world.now < began_ms + FILL_MS + COUNTED_MS {
        for kind in &kinds {
            let due = kind.per_10_s / 100 + u64::from(random.below(100) < kind.per_10_s % 100);
            for _ in 0..due {
                next_id += 1;
                let id = JobId(next_id);
                let spec = kind.draw(&mut random);
                if world.now >= began_ms + FILL_MS {
                    counted.push(Counted {
                        id,
                        priority: kind.queue.priority,
                        submitted_ms: world.now,
                        latest_start_ms: world.now + spec.objective_ms(&kind.queue)
                            - spec.steps[0].estimate_ms,
                    });
                }
                world.advice_percents.insert(id, kind.allowed_percent);
                world.jobs.insert(id, spec.clone());
                world.request(Request::Submit {
                    queue: kind.queue.clone(),
                    id,
                    spec,
                    wait_ms: 1_000,
                    account: None,
                });
            }
        }
        world.run(SUBMIT_INTERVAL_MS);
    }
    world.run(REST_MS);
    world.check_history();
    assert_eq!(world.violations, Vec::<String>::new());
    let mut first_starts: BTreeMap<JobId, u64> = BTreeMap::new();
    for (at_ms, task, _) in world
        .endpoints
        .values()
        .flat_map(|endpoint| &endpoint.starts)
    {
        let first_ms = first_starts.entry(task.job).or_insert(*at_ms);
        *first_ms = (*first_ms).min(*at_ms);
    }
    let counted = counted.into_iter();
    counted
        .map(|job| {
            let first_ms = first_starts.get(&job.id).copied();
            (job, first_ms)
        })
        .collect()
}

/// Returns policies without those for advice calls.
fn without_advice_policies() -> Policies {
    Policies {
        useful_advice_calls: false,
        ..Policies::default()
    }
}

#[test]
fn tolerant_work_gets_advice_beside_gangs_that_wait_for_capacity() {
    struct Case {
        name: &'static str,
        policies: Policies,
        waits_long: bool,
    }
    let cases = [
        Case {
            name: "only useful calls",
            policies: Policies {
                useful_advice_calls: true,
                ..without_advice_policies()
            },
            waits_long: false,
        },
        Case {
            name: "without the policy",
            policies: without_advice_policies(),
            waits_long: true,
        },
    ];
    for case in cases {
        let plays = play(case.policies, FEW_NODES);
        println!("{}: {plays:?}", case.name);
        let (tolerant, gangs, short) = (plays[&TOLERANT], plays[&GANGS], plays[&SHORT]);
        assert_eq!(tolerant.started, tolerant.jobs, "{}", case.name);
        assert_eq!(
            tolerant.mean_wait_ms() > LONG_TOLERANT_WAIT_MS,
            case.waits_long,
            "{}: {plays:?}",
            case.name
        );
        assert!(gangs.calls <= 3 * gangs.started, "{}: {plays:?}", case.name);
        assert!(short.mean_wait_ms() < 150, "{}: {plays:?}", case.name);
    }
}
