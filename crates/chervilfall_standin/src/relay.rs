//! The network between failure domains: relays connections, and can hold back everything that
//! goes into or out of a domain.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use rocket::serde::json::Json;
use rocket::{post, Build, Rocket, State};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::server::{build, ServeError, ServerSettings};

/// Pause between two looks at whether a cut is over, in milliseconds.
const CUT_CHECK_MS: u64 = 20;
/// Bytes that are relayed at a time.
const CHUNK_BYTES: usize = 16 * 1_024;

/// One way through the network.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Failure domain of the side that connects.
    pub from: String,
    /// Failure domain of the side that listens.
    pub to: String,
    /// Where connections are taken.
    pub listen: SocketAddr,
    /// Where they go.
    pub target: SocketAddr,
}

/// Failure domains that nothing gets into or out of.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFaults {
    /// Their names.
    pub cut_domains: BTreeSet<String>,
}

#[derive(Debug, Clone, Default)]
struct Cuts(Arc<RwLock<BTreeSet<String>>>);

impl Cuts {
    fn set(&self, domains: BTreeSet<String>) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = domains;
    }

    /// Waits until a route is open.
    async fn pass(&self, route: &Route) {
        let is_cut = || {
            let cut = self.0.read().unwrap_or_else(PoisonError::into_inner);
            cut.contains(&route.from) || cut.contains(&route.to)
        };
        while is_cut() {
            sleep(Duration::from_millis(CUT_CHECK_MS)).await;
        }
    }
}

#[post("/faults", data = "<faults>")]
fn set_faults(cuts: &State<Cuts>, faults: Json<RelayFaults>) {
    cuts.set(faults.into_inner().cut_domains);
}

/// Opens a relay.
///
/// # Errors
///
/// Returns an error if a route can't be listened on.
pub async fn open_relay(
    server: &ServerSettings,
    routes: Vec<Route>,
) -> Result<Rocket<Build>, ServeError> {
    let cuts = Cuts::default();
    for route in routes {
        let listener = TcpListener::bind(route.listen)
            .await
            .map_err(|error| ServeError::of(&error))?;
        tokio::spawn(accept(listener, Arc::new(route), cuts.clone()));
    }
    Ok(build(server)
        .manage(cuts)
        .mount("/", rocket::routes![set_faults]))
}

async fn accept(listener: TcpListener, route: Arc<Route>, cuts: Cuts) {
    while let Ok((incoming, _)) = listener.accept().await {
        let (route, cuts) = (Arc::clone(&route), cuts.clone());
        tokio::spawn(async move {
            cuts.pass(&route).await;
            if let Ok(outgoing) = TcpStream::connect(route.target).await {
                relay(incoming, outgoing, &route, &cuts).await;
            }
        });
    }
}

async fn relay(incoming: TcpStream, outgoing: TcpStream, route: &Route, cuts: &Cuts) {
    let (from_caller, to_caller) = incoming.into_split();
    let (from_target, to_target) = outgoing.into_split();
    tokio::select! {
        () = copy(from_caller, to_target, route, cuts) => {}
        () = copy(from_target, to_caller, route, cuts) => {}
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, route: &Route, cuts: &Cuts) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count) = from.read(&mut chunk).await {
        cuts.pass(route).await;
        if count == 0 || to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
