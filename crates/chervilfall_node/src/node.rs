//! Opens and stops a node.

use std::sync::Arc;
use std::time::Duration;

use chervilfall_kernel::{ControlThread, ControlThreadError};
use chervilfall_planner::Limits;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

use crate::configuration::ConfigurationState;
use crate::control::{Control, ControlEvent};
use crate::front::{Front, Revocation};
use crate::leadership::LeadershipState;
use crate::link::accept_links;
use crate::ports::Platform;
use crate::settings::Settings;
use crate::watch;

/// Events that may wait for the control thread.
const CONTROL_QUEUE_CAPACITY: usize = 16_384;
/// The only group: small fleets have one.
const GROUP: &str = "group-0";

/// Why a node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The address for links is not free.
    #[error("can't listen for links on {address}: {cause}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// What the system says.
        cause: std::io::Error,
    },
    /// The control thread cannot start.
    #[error(transparent)]
    Control(#[from] ControlThreadError),
    /// Signals cannot be taken.
    #[error("can't take signals: {0}")]
    Signals(std::io::Error),
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    front: Arc<Front>,
    control: mpsc::Sender<ControlEvent>,
    settings: Arc<Settings>,
    _thread: ControlThread,
}

impl Node {
    /// Opens a node on a platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the address for links is taken or the control thread can't start.
    pub async fn open<P: Platform>(settings: Settings, platform: P) -> Result<Self, NodeError> {
        let address = settings.link_listen;
        let listener = TcpListener::bind(address)
            .await
            .map_err(|cause| NodeError::Listen { address, cause })?;
        let settings = Arc::new(settings);
        let timings = settings.timings.clone();
        let (control, receiver) = mpsc::channel(CONTROL_QUEUE_CAPACITY);
        let leadership = Arc::new(LeadershipState::new());
        let configuration = Arc::new(ConfigurationState::new(settings.config_apply_ms));
        let front = Arc::new(Front::new(
            Arc::clone(&configuration),
            Arc::clone(&leadership),
            control.clone(),
            timings.clone(),
            settings.revoke_ms.map(|within_ms| Revocation {
                within_ms,
                strict: settings.strict_revoke,
            }),
        ));
        let limits = Limits {
            lease_max_ms: settings.lease_max_ms,
            report_age_ms: settings.report_age_ms(),
            status_ms: settings.status_s * 1_000 + 30_000,
            row_bytes: settings.row_bytes * 3 / 4 - 1_024,
            policies: settings.policies,
            ..Limits::default()
        };
        let loop_ = Control::new(
            platform.clone(),
            GROUP.to_owned(),
            limits,
            timings.heartbeat_ms,
            settings.cpu_permille(),
            Arc::clone(&configuration),
            Arc::clone(&front),
            Arc::clone(&leadership),
            control.clone(),
            Handle::current(),
        );
        let thread = ControlThread::spawn(receiver, timings.tick_ms, loop_)?;
        tokio::spawn(accept_links(listener, timings.clone(), control.clone()));
        tokio::spawn(watch::configuration::watch(
            platform.store().clone(),
            configuration,
            Arc::clone(&leadership),
            settings.config_apply_ms,
        ));
        tokio::spawn(watch::endpoints::watch(
            platform.store().clone(),
            Arc::clone(&leadership),
            control.clone(),
            watch::endpoints::times_within(timings.endpoints_poll_ms, settings.drain_ms),
        ));
        let claim = watch::claim::ClaimWatch {
            platform,
            group: GROUP.to_owned(),
            settings: Arc::clone(&settings),
            incarnation: rand::random(),
            front: Arc::clone(&front),
            leadership,
            control: control.clone(),
            retained: None,
        };
        tokio::spawn(claim.run());
        Ok(Self {
            front,
            control,
            settings,
            _thread: thread,
        })
    }

    /// Returns what takes callers' requests.
    #[must_use]
    pub const fn front(&self) -> &Arc<Front> {
        &self.front
    }

    /// Waits for the signal that begins a planned stop, hands the group back, and goes on to serve
    /// until callers had time to go elsewhere. `hung_up` is called when the settings may have changed.
    ///
    /// # Errors
    ///
    /// Returns an error if signals can't be taken.
    pub async fn run_until_stopped(&self, hung_up: impl Fn()) -> Result<(), NodeError> {
        let mut terminate = signal(SignalKind::terminate()).map_err(NodeError::Signals)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(NodeError::Signals)?;
        let mut hangup = signal(SignalKind::hangup()).map_err(NodeError::Signals)?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => hung_up(),
            }
        }
        log::info!("planned stop begins");
        self.front.begin_stop();
        // The control thread ends with the process only.
        drop(self.control.send(ControlEvent::Release).await);
        tokio::time::sleep(Duration::from_millis(self.settings.timings.linger_ms)).await;
        log::info!("planned stop ends");
        Ok(())
    }
}
