//! Starts and stops a node.

use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::sync::Arc;

use chervilfall_kernel::{ControlThread, ControlThreadError};
use chervilfall_planner::Limits;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

use crate::configuration::ConfigurationState;
use crate::control::{Control, ControlContext, ControlEvent};
use crate::front::{millis, Front, Revocation};
use crate::leadership::LeadershipState;
use crate::link::{accept_links, ConfigurationSource};
use crate::ports::{Endpoints, Platform};
use crate::runtime_thread::RuntimeThread;
use crate::settings::Settings;
use crate::watch;

/// Capacity of the control thread's event queue.
const CONTROL_QUEUE_CAPACITY: usize = 16_384;
/// Name of the only group; small fleets have one.
const GROUP: &str = "group-0";

/// Why a node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The link address cannot be bound.
    #[error("can't listen for links on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        cause: std::io::Error,
    },
    /// The control thread cannot start.
    #[error(transparent)]
    Control(#[from] ControlThreadError),
    /// A thread for commits or links cannot start.
    #[error("can't start the thread for {0}: {1}")]
    Thread(&'static str, std::io::Error),
    /// Signal handlers cannot be installed.
    #[error("can't install signal handlers: {0}")]
    Signals(std::io::Error),
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    front: Arc<Front>,
    control: mpsc::Sender<ControlEvent>,
    settings: Arc<Settings>,
    _thread: ControlThread,
    _commits: RuntimeThread,
    _links: RuntimeThread,
}

/// Binds the link address. The listener belongs to no runtime until links are accepted.
async fn bind(address: SocketAddr) -> Result<StdTcpListener, NodeError> {
    let bound = TcpListener::bind(address).await;
    bound
        .and_then(TcpListener::into_std)
        .map_err(|cause| NodeError::Listen { address, cause })
}

fn spawn_thread(name: &'static str) -> Result<RuntimeThread, NodeError> {
    RuntimeThread::spawn(name).map_err(|cause| NodeError::Thread(name, cause))
}

/// Returns the limits of a planner on a platform.
fn limits<P: Platform>(settings: &Settings) -> Limits {
    Limits {
        lease_max_ms: settings.lease_max_ms,
        report_age_ms: settings.report_age_ms(),
        max_idle_hold_interval_ms: settings.listed_ms(),
        evacuations_age_ms: settings.evacuations_age_ms(),
        status_ms: settings.status_s * 1_000 + 30_000,
        max_listed_ends: P::Endpoints::MAX_LISTED_ENDS,
        row_bytes: settings.row_bytes * 3 / 4 - 1_024,
        max_job_bytes: settings.max_job_bytes().unwrap_or(u64::MAX),
        policies: settings.policies,
        ..Limits::default()
    }
}

impl Node {
    /// Starts a node on a platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the link address is in use or a thread can't start.
    pub async fn open<P: Platform>(settings: Settings, platform: P) -> Result<Self, NodeError> {
        let address = settings.link_listen;
        let listener = bind(address).await?;
        for bound in settings.tight_bounds() {
            log::warn!(
                field = bound.field, value_ms = bound.value_ms, kept_from_ms = bound.kept_from_ms;
                "bound is tight, kept as far as possible"
            );
        }
        let settings = Arc::new(settings);
        let timings = settings.timings.clone();
        let (control, receiver) = mpsc::channel(CONTROL_QUEUE_CAPACITY);
        let leadership = Arc::new(LeadershipState::new());
        let configuration = Arc::new(ConfigurationState::new(settings.configuration_within_ms()));
        let front = Arc::new(Front::new(
            Arc::clone(&configuration),
            Arc::clone(&leadership),
            control.clone(),
            timings.clone(),
            settings.revoke_ms.map(|within_ms| Revocation {
                within_ms,
                strict: settings.strict_revoke,
            }),
            settings.policies.spread_retries,
        ));
        let commits = spawn_thread("commits")?;
        let links = spawn_thread("links")?;
        let control_loop = Control::new(ControlContext {
            platform: platform.clone(),
            group: GROUP.to_owned(),
            limits: limits::<P>(&settings),
            heartbeat_ms: timings.heartbeat_ms,
            size_permille: settings.size_permille(),
            usual_claim_age_ms: timings.stale_ms,
            configuration: Arc::clone(&configuration),
            front: Arc::clone(&front),
            leadership: Arc::clone(&leadership),
            sender: control.clone(),
            traffic: Handle::current(),
            commits: commits.spawner(),
            link_thread: links.spawner(),
        });
        let thread = ControlThread::spawn(receiver, timings.tick_ms, control_loop)?;
        links.spawner().spawn(accept_links(
            listener,
            timings.clone(),
            Arc::new(ConfigurationSource::new(Arc::clone(&configuration))),
            control.clone(),
        ));
        tokio::spawn(watch::configuration::watch(
            platform.store().clone(),
            configuration,
            Arc::clone(&leadership),
            settings.configuration_within_ms(),
        ));
        tokio::spawn(watch::endpoints::watch(
            platform.store().clone(),
            Arc::clone(&leadership),
            control.clone(),
            watch::endpoints::times_within(settings.endpoints_poll_ms(), settings.leaving_ms()),
        ));
        let claim = watch::claim::ClaimWatch {
            platform,
            group: GROUP.to_owned(),
            settings: Arc::clone(&settings),
            incarnation: rand::random(),
            front: Arc::clone(&front),
            leadership,
            control: control.clone(),
            commits: commits.spawner(),
            links: links.spawner(),
            retained: None,
        };
        tokio::spawn(claim.run());
        Ok(Self {
            front,
            control,
            settings,
            _thread: thread,
            _commits: commits,
            _links: links,
        })
    }

    /// Returns the front, which handles callers' requests.
    #[must_use]
    pub const fn front(&self) -> &Arc<Front> {
        &self.front
    }

    /// Waits for the signal that begins a planned stop, releases the group, and keeps serving for
    /// the linger time so that callers can move to other nodes. Calls `on_hangup` on SIGHUP, when
    /// the settings may have changed. Returns when the process has to have ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal handlers can't be installed.
    pub async fn run_until_stopped(&self, on_hangup: impl Fn()) -> Result<Instant, NodeError> {
        let mut terminate = signal(SignalKind::terminate()).map_err(NodeError::Signals)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(NodeError::Signals)?;
        let mut hangup = signal(SignalKind::hangup()).map_err(NodeError::Signals)?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => on_hangup(),
            }
        }
        let (began, times) = (Instant::now(), self.settings.stop_times());
        log::info!(answer_ms = millis(times.answer), end_ms = millis(times.end); "planned stop begins");
        self.front.begin_stop(times);
        // The control thread runs until the process ends, so the send does not fail.
        drop(self.control.send(ControlEvent::Release).await);
        sleep_until(began + times.linger).await;
        log::info!("no more callers are served but those whose requests have arrived");
        Ok(began + times.end)
    }
}
