//! A follower's side of a link.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chervilfall_planner::{Answer, StartNote};
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::clock::now_ms;
use crate::front::Front;
use crate::leadership::{HolderHealth, Leadership, LeadershipState, PendingRequest};
use crate::link::frames::{read, write, LinkEnd, QUEUE_CAPACITY};
use crate::link::message::{ToFollower, ToHolder};
use crate::ports::Advisor;
use crate::settings::Settings;

/// A link to the holder.
#[derive(Debug)]
pub(crate) struct HolderLink {
    queue: mpsc::Sender<ToHolder>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<Answer>>>,
    next: AtomicU64,
}

impl HolderLink {
    /// Sends a request; returns false if the link cannot take it, in which case it was not sent.
    pub(crate) fn send_request(&self, pending: PendingRequest) -> bool {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.insert(number, pending.answer);
        let request = Box::new(pending.request);
        if self
            .queue
            .try_send(ToHolder::Request { number, request })
            .is_ok()
        {
            return true;
        }
        waiting.remove(&number);
        false
    }

    /// Tells of starts that could not be stored; returns false if the link cannot take that.
    pub(crate) fn send_unstored_starts(&self, starts: &[StartNote]) -> bool {
        let message = ToHolder::UnstoredStarts(starts.to_vec());
        self.queue.try_send(message).is_ok()
    }

    /// Asks for the configuration that the holder has in force; a link that cannot take that is given up anyway.
    pub(crate) fn ask_configuration(&self, known: Option<u64>) {
        let asked_ms = now_ms();
        drop(
            self.queue
                .try_send(ToHolder::ConfigurationWanted { known, asked_ms }),
        );
    }

    fn answer(&self, number: u64, answer: Answer) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(waiter) = waiting.remove(&number) {
            // A caller that is gone needs no answer.
            let _ = waiter.send(answer);
        }
    }

    fn drop_waiting(&self) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.clear();
    }
}

/// Why there is no link.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum DialError {
    /// Nothing listens at the address: the process is gone.
    #[error("connection refused")]
    Refused,
    /// No connection came about.
    #[error("no connection: {0}")]
    Failed(String),
    /// The link worked, and has ended.
    #[error("{0}")]
    Ended(LinkEnd),
}

/// Links to the holder and serves the link until it ends.
pub(crate) async fn dial<A: Advisor>(
    address: SocketAddr,
    settings: &Settings,
    front: &Arc<Front>,
    leadership: &Arc<LeadershipState>,
    advisor: &A,
) -> DialError {
    let timings = &settings.timings;
    let silence = Duration::from_millis(timings.silence_ms);
    let connect = Duration::from_millis(timings.connect_ms);
    let opened = timeout(connect, open(address)).await;
    let socket = match opened {
        Ok(Ok(socket)) => socket,
        Ok(Err(error)) => return error,
        Err(_) => return DialError::Failed("timed out".to_owned()),
    };
    let (sink, mut stream) = socket.split();
    let (queue, receiver) = mpsc::channel(QUEUE_CAPACITY);
    let link = Arc::new(HolderLink {
        queue,
        waiting: Mutex::new(HashMap::new()),
        next: AtomicU64::new(1),
    });
    let hello = ToHolder::Hello {
        node: settings.node.clone(),
        cpu_permille: settings.cpu_permille(),
    };
    // The queue is new and empty.
    drop(link.queue.try_send(hello));
    let writer = write(sink, receiver, silence);
    let beats = heartbeats(link.queue.clone(), timings.heartbeat_ms);
    let reader = async {
        loop {
            match read::<ToFollower>(&mut stream, silence).await {
                Ok(message) => {
                    if !handle_message(message, &link, front, leadership, advisor) {
                        return LinkEnd::Closed;
                    }
                }
                Err(end) => return end,
            }
        }
    };
    let end = tokio::select! {
        end = writer => end,
        end = reader => end,
        end = beats => end,
    };
    if let Leadership::Remote(current) = leadership.current() {
        if Arc::ptr_eq(&current, &link) {
            leadership.set(Leadership::NoHolder);
        }
    }
    link.drop_waiting();
    DialError::Ended(end)
}

async fn open(address: SocketAddr) -> Result<super::frames::Socket, DialError> {
    let stream = TcpStream::connect(address).await.map_err(|error| {
        if error.kind() == ErrorKind::ConnectionRefused {
            DialError::Refused
        } else {
            DialError::Failed(error.to_string())
        }
    })?;
    stream
        .set_nodelay(true)
        .map_err(|error| DialError::Failed(error.to_string()))?;
    let url = format!("ws://{address}/link");
    let (socket, _) = tokio_tungstenite::client_async(url, stream)
        .await
        .map_err(|error| DialError::Failed(error.to_string()))?;
    Ok(socket)
}

async fn heartbeats(queue: mpsc::Sender<ToHolder>, heartbeat_ms: u64) -> LinkEnd {
    loop {
        tokio::time::sleep(Duration::from_millis(heartbeat_ms)).await;
        if queue.try_send(ToHolder::Heartbeat).is_err() {
            return LinkEnd::Blocked;
        }
    }
}

/// Takes a message; returns false if the peer is no holder.
fn handle_message<A: Advisor>(
    message: ToFollower,
    link: &Arc<HolderLink>,
    front: &Arc<Front>,
    leadership: &Arc<LeadershipState>,
    advisor: &A,
) -> bool {
    match message {
        ToFollower::Heartbeat {
            term,
            claim_age_ms,
            configuration,
        } => {
            front.set_claim_age(claim_age_ms);
            front.configuration().note_remote_version(configuration);
            let health = HolderHealth { term, claim_age_ms };
            mark_holder_found(link, leadership, health);
        }
        ToFollower::Recovering => {}
        ToFollower::Configuration {
            asked_ms,
            age_ms,
            table,
        } => front
            .configuration()
            .apply_from_holder(asked_ms, age_ms, table),
        ToFollower::Reply { number, answer } => link.answer(number, answer),
        ToFollower::Advise(order) => {
            let (advisor, link) = (advisor.clone(), Arc::clone(link));
            tokio::spawn(async move {
                let number = order.number;
                let answer = advisor.advise(order).await;
                // A link that has ended is seen by its reader.
                drop(link.queue.try_send(ToHolder::Advised { number, answer }));
            });
        }
        ToFollower::NotHolder => return false,
    }
    true
}

fn mark_holder_found(
    link: &Arc<HolderLink>,
    leadership: &Arc<LeadershipState>,
    health: HolderHealth,
) {
    let current = leadership.current();
    if matches!(current, Leadership::NoHolder) {
        log::info!(term = health.term, claim_age_ms = health.claim_age_ms; "holder found");
        leadership.set(Leadership::Remote(Arc::clone(link)));
    }
}
