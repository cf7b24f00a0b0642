//! What the two first users ask for, and when.

use std::num::NonZeroU64;
use std::time::Duration;

use chervilfall_schema::{
    CallWork, JobWork, Priority, Resources, ServiceWork, SubmitRequest, Work,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time within which a call wants its answer, in milliseconds.
const CALL_DEADLINE_MS: u64 = 4_000;
/// Time within which a job wants to be accepted, in milliseconds.
const JOB_DEADLINE_MS: u64 = 5_000;

/// Whose load it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Users {
    /// The lending consortium: mostly interactive.
    Consortium,
    /// The numbering registry: mostly batch.
    Association,
}

impl Users {
    /// Returns the users with a name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "consortium" => Some(Self::Consortium),
            "association" => Some(Self::Association),
            _ => None,
        }
    }

    /// Returns the service that their endpoints run.
    #[must_use]
    pub const fn service(self) -> &'static str {
        match self {
            Self::Consortium => "loan-router",
            Self::Association => "registry-batch",
        }
    }

    /// Returns the shares of each kind, in thousandths.
    const fn shares_permille(self) -> [(PlannedKind, u32); 5] {
        match self {
            Self::Consortium => [
                (PlannedKind::StatusCheck, 790),
                (PlannedKind::LendingMatch, 160),
                (PlannedKind::Batch, 38),
                (PlannedKind::Gang, 10),
                (PlannedKind::Service, 2),
            ],
            Self::Association => [
                (PlannedKind::StatusCheck, 500),
                (PlannedKind::LendingMatch, 250),
                (PlannedKind::Batch, 220),
                (PlannedKind::Gang, 27),
                (PlannedKind::Service, 3),
            ],
        }
    }
}

/// Kind of a planned request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PlannedKind {
    /// An idempotent call.
    StatusCheck,
    /// A non-idempotent call.
    LendingMatch,
    /// A batch job.
    Batch,
    /// A job whose tasks start together.
    Gang,
    /// A long-lived service.
    Service,
}

impl PlannedKind {
    /// Returns its name in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::StatusCheck => "idempotent call",
            Self::LendingMatch => "non-idempotent call",
            Self::Batch => "batch job",
            Self::Gang => "gang job",
            Self::Service => "service",
        }
    }
}

/// One planned request.
#[derive(Debug, Clone)]
pub struct PlannedRequest {
    /// When it arrives, in microseconds from the beginning.
    pub at_us: u64,
    /// Its kind.
    pub kind: PlannedKind,
    /// Whether its work may run more than once.
    pub idempotent: bool,
    /// Number of its tasks.
    pub tasks: u64,
    /// The request.
    pub request: SubmitRequest,
}

/// Returns the requests of `seconds` seconds at `rate_per_s`, in the order of their arrival.
#[must_use]
pub fn plan(users: Users, seed: u64, seconds: u64, rate_per_s: u64) -> Vec<PlannedRequest> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    let mut at_us = 0;
    let mean_gap = Duration::from_secs(1).div_f64(rate_per_s.max(1) as f64);
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        let gap = mean_gap.mul_f64(-uniform.ln());
        at_us += u64::try_from(gap.as_micros()).unwrap_or(u64::MAX);
        if at_us >= seconds * 1_000_000 {
            return requests;
        }
        let number = requests.len();
        requests.push(planned(users, seed, number, at_us, &mut rng));
    }
}

fn planned(
    users: Users,
    seed: u64,
    number: usize,
    at_us: u64,
    rng: &mut SmallRng,
) -> PlannedRequest {
    let kind = draw(users, rng);
    let key = format!("load-{seed}-{number}");
    let team = format!("team-{}", rng.random_range(0..20));
    let idempotent = match kind {
        PlannedKind::LendingMatch => false,
        PlannedKind::Batch => rng.random_bool(0.8),
        _ => true,
    };
    let (work, tasks) = work(users, kind, idempotent, rng);
    let deadline_ms = match kind {
        PlannedKind::StatusCheck | PlannedKind::LendingMatch => CALL_DEADLINE_MS,
        PlannedKind::Batch | PlannedKind::Gang | PlannedKind::Service => JOB_DEADLINE_MS,
    };
    PlannedRequest {
        at_us,
        kind,
        idempotent,
        tasks,
        request: SubmitRequest {
            key,
            team,
            deadline_ms: NonZeroU64::new(deadline_ms).unwrap_or(NonZeroU64::MIN),
            wait_ms: None,
            work,
        },
    }
}

fn draw(users: Users, rng: &mut SmallRng) -> PlannedKind {
    let mut left = rng.random_range(0..1_000);
    for (kind, share) in users.shares_permille() {
        if left < share {
            return kind;
        }
        left -= share;
    }
    PlannedKind::StatusCheck
}

/// Returns the work of a kind and the number of its tasks; real run times differ from declared
/// ones, as the payload tells the stand-in.
fn work(users: Users, kind: PlannedKind, idempotent: bool, rng: &mut SmallRng) -> (Work, u64) {
    let declared_ms = rng.random_range(20..60);
    let real_ms = declared_ms * rng.random_range(50..200) / 100;
    let payload = Some(format!("run={real_ms};"));
    match kind {
        PlannedKind::StatusCheck | PlannedKind::LendingMatch => {
            let call = CallWork {
                service: users.service().to_owned(),
                idempotent,
                payload,
                run_ms: Some(declared_ms),
            };
            (Work::Call(call), 1)
        }
        PlannedKind::Batch | PlannedKind::Gang => {
            let tasks = rng.random_range(2..8);
            let run_ms = declared_ms * 10;
            let job = JobWork {
                tasks: NonZeroU64::new(tasks).unwrap_or(NonZeroU64::MIN),
                resources: task_resources(rng),
                run_ms: Some(run_ms),
                priority: rng.random_bool(0.1).then_some(Priority::Urgent),
                idempotent,
                payload: Some(format!("run={};", real_ms * 10)),
            };
            if kind == PlannedKind::Gang {
                (Work::Gang(job), tasks)
            } else {
                (Work::Batch(job), tasks)
            }
        }
        PlannedKind::Service => {
            let replicas = rng.random_range(1..4);
            let service = ServiceWork {
                replicas: NonZeroU64::new(replicas).unwrap_or(NonZeroU64::MIN),
                resources: task_resources(rng),
                payload: None,
            };
            (Work::Service(service), replicas)
        }
    }
}

fn task_resources(rng: &mut SmallRng) -> Resources {
    Resources {
        processors_milli: rng.random_range(2..20) * 100,
        memory_mib: rng.random_range(1..16) * 128,
        accelerators: 0,
        slots: 0,
        connections: 0,
    }
}
