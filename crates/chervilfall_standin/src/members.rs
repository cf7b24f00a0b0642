//! The list of endpoints, which lags.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use chervilfall_platform::{EndpointState, MembershipList};
use chervilfall_types::EndpointName;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{get, post, Build, Rocket, State};
use serde::{Deserialize, Serialize};

use crate::faults::{FaultState, PlatformFaults};
use crate::server::{build, Known, ServerSettings};

/// A change of one endpoint's state, or its removal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberChange {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its new state; absent to remove it.
    pub state: Option<EndpointState>,
}

#[derive(Debug)]
struct Members {
    lag: Duration,
    history: Mutex<Vec<(Instant, MembershipList)>>,
    faults: FaultState,
}

impl Members {
    fn put(&self, list: MembershipList) {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        history.push((Instant::now(), list));
    }

    /// Returns the list as it was a lag ago; the first list counts from the start.
    fn lagged(&self) -> MembershipList {
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let past = history
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= self.lag);
        let list = past.or_else(|| history.first());
        list.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn latest(&self) -> MembershipList {
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        history
            .last()
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }
}

#[get("/from/<domain>/v1/members")]
async fn list(
    _known: Known,
    state: &State<Members>,
    domain: &str,
) -> Result<Json<MembershipList>, Status> {
    state.faults.before(domain).await?;
    Ok(Json(state.lagged()))
}

#[post("/members", data = "<list>")]
fn set_members(state: &State<Members>, list: Json<MembershipList>) {
    state.put(list.into_inner());
}

#[post("/change", data = "<change>")]
fn change(state: &State<Members>, change: Json<MemberChange>) {
    let change = change.into_inner();
    let mut list = state.latest();
    let is_other = |name: &EndpointName| *name != change.endpoint;
    match change.state {
        None => list.endpoints.retain(|record| is_other(&record.name)),
        Some(wanted) => {
            for record in &mut list.endpoints {
                if !is_other(&record.name) {
                    record.state = wanted;
                }
            }
        }
    }
    state.put(list);
}

#[post("/faults", data = "<faults>")]
fn set_faults(state: &State<Members>, faults: Json<PlatformFaults>) {
    state.faults.set(faults.into_inner());
}

/// Opens a list that lags by `lag_ms` milliseconds.
#[must_use]
pub fn open_members(settings: &ServerSettings, lag_ms: u64) -> Rocket<Build> {
    let members = Members {
        lag: Duration::from_millis(lag_ms),
        history: Mutex::default(),
        faults: FaultState::default(),
    };
    build(settings)
        .manage(members)
        .mount("/", rocket::routes![list, set_members, change, set_faults])
}
