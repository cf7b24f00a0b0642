//! Offers planned requests at their times, as callers behind round-robin balancers.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use chervilfall_client::{ClientError, RpcClient};
use chervilfall_schema::{Answer, Phase, Verdict};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

use crate::mix::{PlannedKind, PlannedRequest};
use crate::outcome::Outcome;

/// Settings of the load.
#[derive(Debug, Clone, Copy)]
pub struct LoadSettings {
    /// How long a caller goes on trying after it was told to come back, in milliseconds.
    pub patience_ms: u64,
    /// Pause after an instance was not reached, in milliseconds.
    pub pause_ms: u64,
}

/// The balancer: instances in turn.
#[derive(Debug)]
struct Balancer {
    clients: Vec<RpcClient>,
    next: AtomicUsize,
}

impl Balancer {
    fn new(clients: &[RpcClient]) -> Self {
        Self {
            clients: clients.to_vec(),
            next: AtomicUsize::new(0),
        }
    }

    fn pick(&self) -> &RpcClient {
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        &self.clients[next % self.clients.len()]
    }
}

/// Offers requests at their times and returns what became of them. Callers come from each group
/// in turn, and reach only the instances of their group.
///
/// # Panics
///
/// Panics if there is no group, or one without clients.
pub async fn run(
    groups: &[Vec<RpcClient>],
    requests: Vec<PlannedRequest>,
    settings: LoadSettings,
) -> Vec<Outcome> {
    let balancers: Vec<Arc<Balancer>> = groups
        .iter()
        .map(|clients| Arc::new(Balancer::new(clients)))
        .collect();
    let began = Instant::now();
    let mut tasks = JoinSet::new();
    for (number, planned) in requests.into_iter().enumerate() {
        sleep_until(began + Duration::from_micros(planned.at_us)).await;
        let group = number % balancers.len();
        let balancer = Arc::clone(&balancers[group]);
        tasks.spawn(async move {
            let mut outcome = offer(&balancer, planned, settings).await;
            outcome.group = group;
            outcome.answered_us = micros(began.elapsed());
            outcome
        });
    }
    tasks.join_all().await
}

/// Makes one request until it has an answer that is no invitation to come back.
async fn offer(balancer: &Balancer, planned: PlannedRequest, settings: LoadSettings) -> Outcome {
    let began = Instant::now();
    let patience = Duration::from_millis(settings.patience_ms);
    let mut answer = None;
    let mut tries = 0;
    let mut lost_tries = 0;
    loop {
        tries += 1;
        let pause_ms = match try_once(balancer, &planned).await {
            Ok(given) => {
                let again_ms = come_back_ms(&given);
                answer = Some(given);
                again_ms
            }
            Err(ClientError::Refused(refusal)) => refusal.retry_after_ms,
            Err(error) => {
                lost_tries += u32::from(matches!(error, ClientError::Lost { .. }));
                Some(settings.pause_ms)
            }
        };
        let Some(pause_ms) = pause_ms else { break };
        if began.elapsed() >= patience {
            break;
        }
        sleep(Duration::from_millis(pause_ms.max(1))).await;
    }
    Outcome {
        planned,
        answer,
        latency_us: micros(began.elapsed()),
        tries,
        lost_tries,
        group: 0,
        answered_us: 0,
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Submits a request; after a lost connection the answer is fetched by key from another
/// instance, unless the work may simply be asked for again.
async fn try_once(balancer: &Balancer, planned: &PlannedRequest) -> Result<Answer, ClientError> {
    let submitted = balancer.pick().submit(&planned.request).await;
    match submitted {
        Err(ClientError::Lost { .. }) if planned.kind != PlannedKind::StatusCheck => {
            let wait_ms = planned.request.deadline_ms.get();
            let fetched = balancer.pick().fetch(&planned.request.key, wait_ms).await?;
            if fetched.phase == Phase::Unknown {
                return submitted;
            }
            Ok(fetched)
        }
        submitted => submitted,
    }
}

/// Returns when to come back, if an answer says that coming back helps.
fn come_back_ms(answer: &Answer) -> Option<u64> {
    match answer.verdict {
        Some(Verdict::NotRun) => answer.retry_after_ms,
        _ => None,
    }
}

/// Waits for the final answers of accepted jobs and retires services.
pub async fn finish_jobs(clients: &[RpcClient], outcomes: &mut [Outcome], patience_ms: u64) {
    let balancer = Arc::new(Balancer::new(clients));
    let until = Instant::now() + Duration::from_millis(patience_ms);
    let mut tasks = JoinSet::new();
    for (index, outcome) in outcomes.iter().enumerate() {
        let pending = outcome.answer.as_ref().is_some_and(|answer| {
            answer.verdict.is_none()
                || outcome.planned.kind != PlannedKind::StatusCheck && doubtful(answer)
        });
        if !pending {
            continue;
        }
        let balancer = Arc::clone(&balancer);
        let key = outcome.planned.request.key.clone();
        let retire = outcome.planned.kind == PlannedKind::Service;
        tasks.spawn(async move { (index, settle(&balancer, &key, retire, until).await) });
    }
    for (index, answer) in tasks.join_all().await {
        if let Some(answer) = answer {
            outcomes[index].answer = Some(answer);
        }
    }
}

fn doubtful(answer: &Answer) -> bool {
    answer.verdict == Some(Verdict::MayHaveRun)
}

async fn settle(balancer: &Balancer, key: &str, retire: bool, until: Instant) -> Option<Answer> {
    /// Length of one long poll, in milliseconds.
    const POLL_MS: u64 = 2_000;
    /// How long a key may stay unknown before it counts as never taken, in milliseconds.
    const UNKNOWN_MS: u64 = 12_000;
    let mut last = None;
    let unknown_until = Instant::now() + Duration::from_millis(UNKNOWN_MS);
    while Instant::now() < until && (last.is_some() || Instant::now() < unknown_until) {
        let client = balancer.pick();
        let fetched = if retire {
            client.cancel(key).await
        } else {
            client.fetch(key, POLL_MS).await
        };
        match fetched {
            Ok(answer) if answer.verdict.is_some() => return Some(answer),
            Ok(answer) if answer.phase != Phase::Unknown => last = Some(answer),
            _ => sleep(Duration::from_millis(100)).await,
        }
    }
    last
}
