//! The follower's side of links.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chervilfall_planner::{AdviceOrder, Answer, StartNote};
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_tungstenite::client_async_with_config;

use crate::clock::now_ms;
use crate::front::Front;
use crate::leadership::{HolderHealth, Leadership, LeadershipState, PendingRequest};
use crate::link::frames::{read, socket_config, write, LinkEnd, QUEUE_CAPACITY};
use crate::link::message::{ConfigurationPiece, ToFollower, ToHolder};
use crate::link::pieces::Pieces;
use crate::link::relay::{send_answers, Relay};
use crate::ports::{Advisor, Endpoints, Platform};
use crate::routes::RouteTable;
use crate::settings::Settings;

/// A link to the holder.
#[derive(Debug)]
pub(crate) struct HolderLink {
    queue: mpsc::Sender<ToHolder>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<Answer>>>,
    next: AtomicU64,
}

impl HolderLink {
    /// Queues a request; returns false if the link cannot accept it, in which case it was not sent.
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

    /// Sends the starts that could not be stored; returns false if the link cannot accept them.
    pub(crate) fn send_unstored_starts(&self, starts: &[StartNote]) -> bool {
        let message = ToHolder::UnstoredStarts(starts.to_vec());
        self.queue.try_send(message).is_ok()
    }

    /// Asks for the configuration that the holder has in force. Failure is ignored: a link that
    /// cannot accept messages is closed anyway.
    pub(crate) fn ask_configuration(&self, known: Option<u64>) {
        let asked_ms = now_ms();
        let wanted = ToHolder::ConfigurationWanted {
            known,
            asked_ms,
            takes_pieces: true,
        };
        drop(self.queue.try_send(wanted));
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
    /// No connection was established.
    #[error("no connection: {0}")]
    Failed(String),
    /// The link was established and has ended.
    #[error("{0}")]
    Ended(LinkEnd),
}

/// Opens a link to the holder and serves it until it ends. Calls to endpoints and to the advice service
/// run on the thread for traffic.
pub(crate) async fn dial<P: Platform>(
    address: SocketAddr,
    settings: &Settings,
    front: &Arc<Front>,
    leadership: &Arc<LeadershipState>,
    platform: &P,
    traffic: &Handle,
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
        cpu_permille: settings.size_permille(),
        domain: settings.domain.clone(),
        relays: settings.policies.endpoint_relays,
    };
    // The queue is new and empty, so this does not fail.
    drop(link.queue.try_send(hello));
    let writer = write(sink, receiver, silence);
    let beats = heartbeats(link.queue.clone(), timings.heartbeat_ms);
    let (relay, answers) = Relay::new(
        platform.endpoints().clone(),
        Arc::clone(leadership),
        silence,
        traffic.clone(),
    );
    let answering = send_answers(answers, link.queue.clone());
    let mut handler = MessageHandler {
        link: &link,
        front,
        leadership,
        advisor: platform.advisor(),
        traffic,
        relay,
        pieces: Pieces::default(),
    };
    let reader = async {
        loop {
            let message = match read(&mut stream, silence).await {
                Ok(message) => message,
                Err(end) => return end,
            };
            if !handler.relay.note_message() {
                return LinkEnd::Silent;
            }
            if !handler.handle(message) {
                return LinkEnd::Closed;
            }
        }
    };
    let end = tokio::select! {
        end = writer => end,
        end = reader => end,
        end = beats => end,
        end = answering => end,
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
    let (socket, _) = client_async_with_config(url, stream, Some(socket_config()))
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

/// Handles the messages of one link.
struct MessageHandler<'a, A, E> {
    link: &'a Arc<HolderLink>,
    front: &'a Arc<Front>,
    leadership: &'a Arc<LeadershipState>,
    advisor: &'a A,
    /// Makes calls to the advice service.
    traffic: &'a Handle,
    relay: Relay<E>,
    pieces: Pieces,
}

impl<A: Advisor, E: Endpoints> MessageHandler<'_, A, E> {
    /// Handles a message; returns false if the peer is not the holder.
    fn handle(&mut self, message: ToFollower) -> bool {
        match message {
            ToFollower::Heartbeat {
                term,
                claim_age_ms,
                configuration,
            } => {
                self.front.set_claim_age(claim_age_ms);
                let in_force = self.front.configuration();
                in_force.note_remote_version(configuration);
                self.leadership.note_term(term);
                let health = HolderHealth { term, claim_age_ms };
                mark_holder_found(self.link, self.leadership, health);
            }
            ToFollower::Recovering => {}
            ToFollower::Configuration {
                asked_ms,
                age_ms,
                table,
            } => self
                .front
                .configuration()
                .apply_from_holder(asked_ms, age_ms, table),
            ToFollower::ConfigurationPiece(piece) => self.take_piece(&piece),
            ToFollower::Reply { number, answer } => self.link.answer(number, answer),
            ToFollower::Advise(order) => self.advise(order),
            ToFollower::EndpointOrders { term, orders } => self.relay.carry_out(term, orders),
            ToFollower::NotHolder => return false,
        }
        true
    }

    /// Makes a call to the advice service for the holder.
    fn advise(&self, order: AdviceOrder) {
        let (advisor, link) = (self.advisor.clone(), Arc::clone(self.link));
        self.traffic.spawn(async move {
            let number = order.number;
            let answer = advisor.advise(order).await;
            // The link's reader notices if the link has ended.
            drop(link.queue.try_send(ToHolder::Advised { number, answer }));
        });
    }

    /// Takes a piece of the configuration, and asks for the next one.
    fn take_piece(&mut self, piece: &ConfigurationPiece) {
        let asked_ms = piece.asked_ms;
        // A holder that misses this begins again when it is asked again.
        let taken = ToHolder::ConfigurationPieceTaken { asked_ms };
        drop(self.link.queue.try_send(taken));
        let Some(bytes) = self.pieces.add(piece) else {
            return;
        };
        let at_ms = asked_ms.saturating_sub(piece.age_ms);
        let (link, front) = (Arc::clone(self.link), Arc::clone(self.front));
        tokio::spawn(async move {
            match decode(bytes).await {
                Ok(table) => {
                    let configuration = front.configuration();
                    configuration.put_in_force(Arc::new(table), at_ms);
                    // It may have been replaced on its way.
                    link.ask_configuration(configuration.version());
                }
                Err(error) => {
                    log::warn!(error = error.as_str(); "holder's configuration is malformed");
                }
            }
        });
    }
}

/// Decodes a configuration beside the link's task, which must not be late with heartbeats.
async fn decode(bytes: Vec<u8>) -> Result<RouteTable, String> {
    let decoding = tokio::task::spawn_blocking(move || ciborium::from_reader(bytes.as_slice()));
    match decoding.await {
        Ok(decoded) => decoded.map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    }
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
