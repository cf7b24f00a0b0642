//! The control thread as a service.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use chervilfall_auth::Secret;
use chervilfall_core::{CoreSettings, Engine, Event, Identity, RpcCall, RpcReply, Ticket};
use chervilfall_kernel::{ControlThread, ControlThreadError, Directory, MissingService, Service};
use chervilfall_link::{LinkError, LinkEvent, LinkHub, LinkSettings, Sink};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

use crate::clients::Clients;
use crate::mono::MonoClock;
use crate::shell::{Input, Shell};

/// How often the control thread wakes without an event, in milliseconds.
const TICK_MS: u64 = 10;
/// Events that may wait for the control thread.
const QUEUE: usize = 16_384;

/// Settings of the control thread.
#[derive(Debug)]
pub struct ControlSettings {
    /// Who this instance is.
    pub identity: Identity,
    /// Settings of the decision core.
    pub core: CoreSettings,
    /// Settings of the links.
    pub links: LinkSettings,
    /// The secret that all entry instances share.
    pub secret: Secret,
    /// Seed of the core's random numbers.
    pub seed: u64,
    /// Longest time that a planned stop may take, in milliseconds.
    pub grace_ms: u64,
}

/// Why the control thread can't start.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// A service that it needs does not run.
    #[error(transparent)]
    Missing(#[from] MissingService),
    /// Links can't be opened.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The thread can't be started.
    #[error(transparent)]
    Thread(#[from] ControlThreadError),
}

/// Why a call has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The control thread has too much to do; the call was not taken.
    #[error("the control thread has too much to do")]
    Busy,
    /// The control thread ended before it replied; the call may have taken effect.
    #[error("the control thread ended")]
    Ended,
}

/// Whether requests may come, and whether a planned stop is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Health {
    /// Whether requests may come.
    pub ready: bool,
    /// Whether a planned stop has nothing left to wait for.
    pub stopped: bool,
}

/// The running control thread.
#[derive(Debug)]
pub struct Control {
    sender: mpsc::Sender<Input>,
    _thread: ControlThread,
    health: watch::Receiver<Health>,
    tickets: AtomicU64,
    grace_ms: u64,
}

impl Control {
    /// Carries out a call of a caller or an operator.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Busy`] if the call was not taken, and [`CallError::Ended`] if its
    /// outcome is not known.
    pub async fn call(&self, call: RpcCall) -> Result<RpcReply, CallError> {
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let (reply, replied) = oneshot::channel();
        let call = Box::new(call);
        let input = Input::Call {
            ticket,
            call,
            reply,
        };
        self.sender.try_send(input).map_err(|_| CallError::Busy)?;
        replied.await.map_err(|_| CallError::Ended)
    }

    /// Returns whether requests may come, and whether a planned stop is done.
    #[must_use]
    pub fn health(&self) -> Health {
        *self.health.borrow()
    }

    /// Begins a planned stop; readiness goes false at once, and requests in flight end.
    pub async fn begin_stop(&self) {
        // If the thread has ended, there is nothing left to stop.
        let _ = self.sender.send(Input::Core(Event::Stop)).await;
    }
}

/// Puts events of links into the control thread's queue.
#[derive(Debug, Clone)]
struct QueueSink(mpsc::Sender<Input>);

impl Sink for QueueSink {
    async fn put(&self, event: LinkEvent) {
        // If the thread has ended, nobody wants the event.
        let _ = self.0.send(Input::Link(event)).await;
    }
}

impl Service for Control {
    const NAME: &'static str = "control";

    type Settings = ControlSettings;
    type Error = ControlError;

    async fn open(settings: ControlSettings, directory: &Directory) -> Result<Self, ControlError> {
        let clients = directory.find::<Clients>()?;
        let clock = MonoClock::open();
        let (sender, receiver) = mpsc::channel(QUEUE);
        let hub = LinkHub::bind(
            settings.links,
            settings.secret,
            settings.identity.incarnation,
            QueueSink(sender.clone()),
            clock,
        )
        .await?;
        let engine = Engine::new(settings.identity, settings.core, settings.seed);
        let (health_sender, health) = watch::channel(Health::default());
        let shell = Shell::new(
            engine,
            clock,
            hub,
            (*clients).clone(),
            sender.clone(),
            Handle::current(),
            health_sender,
        );
        let thread = ControlThread::spawn(receiver, TICK_MS, shell)?;
        Ok(Self {
            sender,
            _thread: thread,
            health,
            tickets: AtomicU64::new(0),
            grace_ms: settings.grace_ms,
        })
    }

    async fn stop(&self) {
        self.begin_stop().await;
        let mut health = self.health.clone();
        let grace = Duration::from_millis(self.grace_ms);
        let stopped = timeout(grace, health.wait_for(|health| health.stopped)).await;
        if stopped.is_err() {
            log::warn!(
                "control: Stopped with work left after {} ms.",
                self.grace_ms
            );
        }
    }
}
