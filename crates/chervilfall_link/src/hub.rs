//! All links of an entry instance: a listener, a dialer for each peer, and their queues.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chervilfall_auth::{ProofRole, Secret};
use chervilfall_types::{EntryId, EntryIncarnation, Instant, RemoteInstant};
use chervilfall_wire::{PeerAddress, PeerMessage};
use rand::Rng;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tokio_tungstenite::{accept_async_with_config, client_async_with_config};

use crate::connection;
use crate::handshake::{shake, socket_config, Socket};

/// Prefix of the log lines.
const PART: &str = "link:";
/// Doublings after which the pause between two dials no longer grows.
const MAX_DOUBLINGS: u32 = 5;

/// Settings of the links; durations are in milliseconds.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// Where this instance listens.
    pub listen: SocketAddr,
    /// The other instances.
    pub peers: Vec<PeerAddress>,
    /// How often a heartbeat is sent.
    pub heartbeat_ms: u64,
    /// Silence after which a link counts as down.
    pub silence_ms: u64,
    /// Time within which a handshake must be done.
    pub handshake_ms: u64,
    /// First pause before a peer is dialed again.
    pub redial_ms: u64,
    /// Most messages that wait for one peer.
    pub queue: usize,
}

/// What links bring.
#[derive(Debug)]
pub enum LinkEvent {
    /// A link came up; events of older links to the same peer no longer count.
    Up {
        /// Number of the link.
        link: LinkNumber,
        /// The peer.
        peer: EntryIncarnation,
    },
    /// A link went down.
    Down {
        /// Number of the link.
        link: LinkNumber,
        /// The peer.
        peer: EntryId,
    },
    /// A peer's clock.
    Clock {
        /// Number of the link.
        link: LinkNumber,
        /// The peer.
        peer: EntryId,
        /// Its clock.
        clock: RemoteInstant,
    },
    /// A message of a peer.
    Message {
        /// Number of the link.
        link: LinkNumber,
        /// The peer.
        peer: EntryId,
        /// The message.
        message: PeerMessage,
    },
}

/// Where events of links go; it may make the link wait.
pub trait Sink: Clone + Send + Sync + 'static {
    /// Takes an event.
    fn put(&self, event: LinkEvent) -> impl Future<Output = ()> + Send;
}

/// The clock whose readings heartbeats carry.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the time since the process started.
    fn now(&self) -> Instant;
}

/// What became of a message that was to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// It waits for the link.
    Queued,
    /// There is no link, or its queue is full; the message is dropped and the link closed, so
    /// that both sides learn of the loss.
    Dropped,
}

/// Why links can't be opened.
#[derive(Debug)]
pub struct LinkError(pub std::io::Error);

impl std::fmt::Display for LinkError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "can't listen for links: {}", self.0)
    }
}

impl std::error::Error for LinkError {}

/// Number of a link, unique in its process and growing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkNumber(u64);

type Queues = Arc<Mutex<HashMap<EntryId, Queue>>>;

#[derive(Debug)]
struct Queue {
    sender: mpsc::Sender<PeerMessage>,
    link: LinkNumber,
}

/// Running links.
#[derive(Debug)]
pub struct LinkHub {
    queues: Queues,
    _tasks: JoinSet<()>,
}

#[derive(Clone)]
struct Shared<S, C> {
    settings: Arc<LinkSettings>,
    secret: Secret,
    me: EntryIncarnation,
    queues: Queues,
    links: Arc<AtomicU64>,
    sink: S,
    clock: C,
}

impl LinkHub {
    /// Binds the listener and begins to dial the peers.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub async fn bind<S: Sink, C: Clock>(
        settings: LinkSettings,
        secret: Secret,
        me: EntryIncarnation,
        sink: S,
        clock: C,
    ) -> Result<Self, LinkError> {
        let listener = TcpListener::bind(settings.listen)
            .await
            .map_err(LinkError)?;
        let queues = Queues::default();
        let shared = Shared {
            settings: Arc::new(settings),
            secret,
            me,
            queues: Arc::clone(&queues),
            links: Arc::default(),
            sink,
            clock,
        };
        let mut tasks = JoinSet::new();
        for peer in &shared.settings.peers {
            if me.entry < peer.entry {
                tasks.spawn(dial(shared.clone(), peer.clone()));
            }
        }
        tasks.spawn(listen(shared, listener));
        Ok(Self {
            queues,
            _tasks: tasks,
        })
    }

    /// Queues a message for a peer without waiting.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the queues.
    #[must_use]
    pub fn send(&self, to: EntryId, message: PeerMessage) -> SendOutcome {
        let mut queues = self
            .queues
            .lock()
            .expect("no thread panicked with the queues");
        let Some(queue) = queues.get(&to) else {
            return SendOutcome::Dropped;
        };
        if queue.sender.try_send(message).is_ok() {
            return SendOutcome::Queued;
        }
        queues.remove(&to);
        SendOutcome::Dropped
    }
}

/// Keeps a link to a peer with a higher number.
async fn dial<S: Sink, C: Clock>(shared: Shared<S, C>, peer: PeerAddress) {
    let mut failures = 0;
    loop {
        let limit = Duration::from_millis(shared.settings.handshake_ms);
        let opened = timeout(limit, open(&shared, &peer)).await;
        match opened {
            Ok(Ok((socket, incarnation))) => {
                failures = 0;
                carry(&shared, socket, incarnation).await;
            }
            Ok(Err(error)) => log::debug!("{PART} Can't reach entry {}: {error:#}.", peer.entry),
            Err(_) => log::debug!("{PART} Entry {} does not answer.", peer.entry),
        }
        failures = (failures + 1).min(MAX_DOUBLINGS);
        let full_ms = shared.settings.redial_ms << failures;
        let pause_ms = rand::rng().random_range(full_ms / 2..=full_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn open<S: Sink, C: Clock>(
    shared: &Shared<S, C>,
    peer: &PeerAddress,
) -> anyhow::Result<(Socket, EntryIncarnation)> {
    let stream = TcpStream::connect(peer.address).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{}/link", peer.address);
    let config = Some(socket_config());
    let (mut socket, _) = client_async_with_config(url, stream, config).await?;
    let role = ProofRole::Dialer;
    let incarnation = shake(&mut socket, &shared.secret, shared.me, role).await?;
    anyhow::ensure!(
        incarnation.entry == peer.entry,
        "entry {} answers at the address of entry {}",
        incarnation.entry,
        peer.entry
    );
    Ok((socket, incarnation))
}

async fn listen<S: Sink, C: Clock>(shared: Shared<S, C>, listener: TcpListener) {
    let mut links = JoinSet::new();
    loop {
        while links.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                links.spawn(accept(shared.clone(), stream));
            }
            Err(error) => {
                log::warn!("{PART} Can't accept a connection: {error}.");
                sleep(Duration::from_millis(shared.settings.redial_ms)).await;
            }
        }
    }
}

async fn accept<S: Sink, C: Clock>(shared: Shared<S, C>, stream: TcpStream) {
    let limit = Duration::from_millis(shared.settings.handshake_ms);
    match timeout(limit, greet(&shared, stream)).await {
        Ok(Ok((socket, incarnation))) => carry(&shared, socket, incarnation).await,
        Ok(Err(error)) => log::warn!("{PART} Refused a connection: {error:#}."),
        Err(_) => log::warn!("{PART} Refused a connection: handshake took too long."),
    }
}

async fn greet<S: Sink, C: Clock>(
    shared: &Shared<S, C>,
    stream: TcpStream,
) -> anyhow::Result<(Socket, EntryIncarnation)> {
    stream.set_nodelay(true)?;
    let mut socket = accept_async_with_config(stream, Some(socket_config())).await?;
    let role = ProofRole::Listener;
    let incarnation = shake(&mut socket, &shared.secret, shared.me, role).await?;
    let known = |peer: &PeerAddress| peer.entry == incarnation.entry;
    anyhow::ensure!(
        shared.settings.peers.iter().any(known),
        "entry {} is not among the peers",
        incarnation.entry
    );
    Ok((socket, incarnation))
}

/// Carries a link until it fails; the events up and down frame its messages.
async fn carry<S: Sink, C: Clock>(
    shared: &Shared<S, C>,
    socket: Socket,
    incarnation: EntryIncarnation,
) {
    let peer = incarnation.entry;
    let (sender, mut queue) = mpsc::channel(shared.settings.queue);
    let link = enter(shared, peer, sender);
    let up = LinkEvent::Up {
        link,
        peer: incarnation,
    };
    shared.sink.put(up).await;
    log::info!("{PART} Link to entry {peer} is up.");
    let ended = connection::run(
        socket,
        connection::Name { link, peer },
        &shared.settings,
        &mut queue,
        &shared.sink,
        &shared.clock,
    )
    .await;
    if let Err(error) = ended {
        log::info!("{PART} Link to entry {peer} is down: {error:#}.");
    }
    leave(shared, peer, link);
    shared.sink.put(LinkEvent::Down { link, peer }).await;
}

/// Makes a link the one that messages go to; an older one to the same peer ends.
fn enter<S, C>(
    shared: &Shared<S, C>,
    peer: EntryId,
    sender: mpsc::Sender<PeerMessage>,
) -> LinkNumber {
    let mut queues = shared
        .queues
        .lock()
        .expect("no thread panicked with the queues");
    let link = LinkNumber(shared.links.fetch_add(1, Ordering::Relaxed));
    queues.insert(peer, Queue { sender, link });
    link
}

/// Ends the use of a link, unless a newer one has taken its place.
fn leave<S, C>(shared: &Shared<S, C>, peer: EntryId, link: LinkNumber) {
    let mut queues = shared
        .queues
        .lock()
        .expect("no thread panicked with the queues");
    if queues.get(&peer).is_some_and(|queue| queue.link == link) {
        queues.remove(&peer);
    }
}
