//! The listener of the guard.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::connection;
use crate::progress::{Due, Refused};

/// Pause after a connection could not be taken, for instance for want of descriptors, in
/// milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;

/// Whole responses to requests that are not passed on.
#[derive(Debug, Clone, Default)]
pub struct GuardResponses {
    /// To a header that is not complete in time.
    pub header_too_slow: Vec<u8>,
    /// To a body that is not complete in time.
    pub body_too_slow: Vec<u8>,
    /// To a header that is too large.
    pub header_too_large: Vec<u8>,
    /// To a body whose length is not told.
    pub length_required: Vec<u8>,
}

impl GuardResponses {
    pub(crate) fn refused(&self, refused: Refused) -> &[u8] {
        match refused {
            Refused::HeaderTooLarge => &self.header_too_large,
            Refused::LengthRequired => &self.length_required,
        }
    }

    pub(crate) fn too_slow(&self, due: Due) -> &[u8] {
        match due {
            Due::Header | Due::Nothing => &self.header_too_slow,
            Due::Body => &self.body_too_slow,
        }
    }
}

/// Settings of the guard.
#[derive(Debug, Clone)]
pub struct RequestGuardSettings {
    /// Address of the server behind the guard.
    pub server: SocketAddr,
    /// Time for a header, in milliseconds.
    pub header_ms: u64,
    /// Time for a body, in milliseconds.
    pub body_ms: u64,
    /// Responses of the guard's own.
    pub responses: GuardResponses,
}

impl RequestGuardSettings {
    /// Returns the time for what a client owes.
    pub(crate) const fn time(&self, due: Due) -> Duration {
        Duration::from_millis(match due {
            Due::Header | Due::Nothing => self.header_ms,
            Due::Body => self.body_ms,
        })
    }
}

/// The running guard; dropping it ends all its connections.
#[derive(Debug)]
pub struct RequestGuard {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    serving: JoinHandle<()>,
}

impl RequestGuard {
    /// Takes connections of a listener from now on.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the listener has no address.
    pub fn spawn(listener: TcpListener, settings: RequestGuardSettings) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let serving = tokio::spawn(serve(listener, Arc::new(settings), stopped));
        Ok(Self {
            address,
            stop,
            serving,
        })
    }

    /// Returns the address at which connections are taken.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no more connections, and waits until those that it took have come to their end; the
    /// server behind the guard ends them when it stops.
    pub async fn stop(self) {
        // A guard whose task has ended needs no word.
        let _ = self.stop.send(());
        let _ = self.serving.await;
    }
}

/// Serves connections until it is stopped, and then those that are left.
async fn serve(
    listener: TcpListener,
    settings: Arc<RequestGuardSettings>,
    mut stopped: oneshot::Receiver<()>,
) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = connections.join_next(), if !connections.is_empty() => continue,
            _ = &mut stopped => break,
        };
        match accepted {
            Ok((client, _)) => {
                connections.spawn(serve_one(client, Arc::clone(&settings)));
            }
            Err(error) => {
                log::warn!("guard: Can't take a connection: {error}.");
                sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_one(client: TcpStream, settings: Arc<RequestGuardSettings>) {
    if let Err(error) = connection::serve(client, &settings).await {
        log::debug!("guard: A connection ended: {error}.");
    }
}
