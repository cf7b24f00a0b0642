//! A process that hosts the agents of many endpoints.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use chervilfall_agent::{
    ExchangeAnswer, ExchangeRequest, LeaseAnswer, LeaseRequest, ListAnswer, PollAnswer,
    PollRequest, ReleaseRequest, StaleEpoch,
};
use chervilfall_fake::{Agent, AgentFaults, AgentLimits, FakeTime, JournalEntry};
use chervilfall_types::{EndpointName, Resources};
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{get, post, Build, Rocket, State};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::server::{build, Known, ServerSettings};

/// How often a frozen call looks whether it may go on, in milliseconds.
const FREEZE_CHECK_MS: u64 = 20;
/// Longest pause between two looks at what is due, in milliseconds.
const ADVANCE_MS: u64 = 10;

/// The endpoints of a host.
#[derive(Debug, Clone)]
pub struct EndpointsSettings {
    /// Their names and limits.
    pub endpoints: Vec<(EndpointName, AgentLimits)>,
}

/// Load of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Its name.
    pub endpoint: EndpointName,
    /// What its attempts hold.
    pub reserved: Resources,
    /// What it can carry.
    pub capacity: Resources,
}

#[derive(Debug)]
struct Hosted {
    agent: Mutex<Agent>,
    changes: Notify,
}

impl Hosted {
    fn lock(&self) -> MutexGuard<'_, Agent> {
        self.agent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The running host.
#[derive(Debug, Clone)]
pub struct EndpointHost {
    opened: Instant,
    agents: Arc<BTreeMap<String, Hosted>>,
}

impl EndpointHost {
    fn open(settings: EndpointsSettings) -> Self {
        let base_us = wall_us();
        let hosted = |(name, limits): (EndpointName, AgentLimits)| {
            let agent = Agent::new(name.clone(), limits, base_us);
            let hosted = Hosted {
                agent: Mutex::new(agent),
                changes: Notify::new(),
            };
            (name.as_str().to_owned(), hosted)
        };
        Self {
            opened: Instant::now(),
            agents: Arc::new(settings.endpoints.into_iter().map(hosted).collect()),
        }
    }

    fn now(&self) -> FakeTime {
        FakeTime(u64::try_from(self.opened.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Waits until a call may take effect, and returns the endpoint that it is for.
    async fn enter(&self, name: &str) -> Result<&Hosted, Status> {
        let hosted = self.agents.get(name).ok_or(Status::NotFound)?;
        let delay_ms = hosted.lock().faults.delay_ms;
        sleep(Duration::from_millis(delay_ms)).await;
        while hosted.lock().faults.freeze {
            sleep(Duration::from_millis(FREEZE_CHECK_MS)).await;
        }
        hosted.lock().advance(self.now());
        Ok(hosted)
    }

    /// Ends attempts when they are due.
    async fn advance(self) {
        loop {
            let now = self.now();
            let mut next_ms = now.ms() + ADVANCE_MS;
            for hosted in self.agents.values() {
                let mut agent = hosted.lock();
                if agent.faults.freeze {
                    continue;
                }
                let before = agent.journal.len();
                agent.advance(now);
                next_ms = agent.next_end_ms().map_or(next_ms, |at| at.min(next_ms));
                if agent.journal.len() > before {
                    hosted.changes.notify_waiters();
                }
            }
            sleep(Duration::from_millis(
                next_ms.saturating_sub(now.ms()).max(1),
            ))
            .await;
        }
    }
}

/// Returns the time since the epoch of the system's clock, in microseconds.
fn wall_us() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// An agent's answer, or its refusal of the epoch.
#[derive(Debug, rocket::Responder)]
enum Reply<T> {
    #[response(status = 200)]
    Done(Json<T>),
    #[response(status = 409)]
    Stale(Json<StaleEpoch>),
}

fn reply<T>(result: Result<T, StaleEpoch>) -> Reply<T> {
    match result {
        Ok(answer) => Reply::Done(Json(answer)),
        Err(stale) => Reply::Stale(Json(stale)),
    }
}

#[post("/e/<name>/v1/lease", data = "<ask>")]
async fn lease(
    _known: Known,
    host: &State<EndpointHost>,
    name: &str,
    ask: Json<LeaseRequest>,
) -> Result<Json<LeaseAnswer>, Status> {
    let hosted = host.enter(name).await?;
    let answer = hosted.lock().lease(host.now(), ask.into_inner());
    Ok(Json(answer))
}

#[post("/e/<name>/v1/release", data = "<ask>")]
async fn release(
    _known: Known,
    host: &State<EndpointHost>,
    name: &str,
    ask: Json<ReleaseRequest>,
) -> Result<Reply<()>, Status> {
    let hosted = host.enter(name).await?;
    let answer = hosted.lock().release(host.now(), ask.epoch);
    Ok(reply(answer))
}

#[post("/e/<name>/v1/exchange", data = "<ask>")]
async fn exchange(
    _known: Known,
    host: &State<EndpointHost>,
    name: &str,
    ask: Json<ExchangeRequest>,
) -> Result<Reply<ExchangeAnswer>, Status> {
    let hosted = host.enter(name).await?;
    let answer = {
        let mut agent = hosted.lock();
        let answer = agent.exchange(host.now(), ask.into_inner());
        agent.advance(host.now());
        answer
    };
    hosted.changes.notify_waiters();
    Ok(reply(answer))
}

#[post("/e/<name>/v1/list", data = "<ask>")]
async fn list(
    _known: Known,
    host: &State<EndpointHost>,
    name: &str,
    ask: Json<ReleaseRequest>,
) -> Result<Reply<ListAnswer>, Status> {
    let hosted = host.enter(name).await?;
    let answer = hosted.lock().list(host.now(), ask.epoch);
    Ok(reply(answer))
}

#[post("/e/<name>/v1/poll", data = "<ask>")]
async fn poll(
    _known: Known,
    host: &State<EndpointHost>,
    name: &str,
    ask: Json<PollRequest>,
) -> Result<Reply<PollAnswer>, Status> {
    let hosted = host.enter(name).await?;
    if let Err(stale) = hosted.lock().renew(host.now(), &ask) {
        return Ok(reply(Err(stale)));
    }
    let wait = Duration::from_millis(ask.wait_ms);
    let changes = async {
        loop {
            let notified = hosted.changes.notified();
            if hosted.lock().has_events(ask.after) {
                return;
            }
            notified.await;
        }
    };
    // Without a change the poll ends with an empty answer.
    let _ = timeout(wait, changes).await;
    let hosted = host.enter(name).await?;
    let answer = hosted.lock().poll(host.now(), &ask);
    Ok(reply(answer))
}

#[post("/e/<name>/faults", data = "<faults>")]
fn set_faults(
    host: &State<EndpointHost>,
    name: &str,
    faults: Json<AgentFaults>,
) -> Result<(), Status> {
    let hosted = host.agents.get(name).ok_or(Status::NotFound)?;
    hosted.lock().faults = faults.into_inner();
    Ok(())
}

#[get("/journal")]
fn journal(host: &State<EndpointHost>) -> Json<Vec<JournalEntry>> {
    let entries = host
        .agents
        .values()
        .flat_map(|hosted| hosted.lock().journal.clone());
    Json(entries.collect())
}

#[get("/load")]
fn load(host: &State<EndpointHost>) -> Json<Vec<EndpointLoad>> {
    let loads = host.agents.iter().filter_map(|(name, hosted)| {
        let (reserved, capacity) = hosted.lock().load();
        Some(EndpointLoad {
            endpoint: EndpointName::new(name).ok()?,
            reserved,
            capacity,
        })
    });
    Json(loads.collect())
}

/// Opens a host of endpoints.
///
/// # Panics
///
/// Panics if it is called outside a runtime.
#[must_use]
pub fn open_endpoints(server: &ServerSettings, settings: EndpointsSettings) -> Rocket<Build> {
    let host = EndpointHost::open(settings);
    tokio::spawn(host.clone().advance());
    build(server).manage(host).mount(
        "/",
        rocket::routes![lease, release, exchange, list, poll, set_faults, journal, load],
    )
}
