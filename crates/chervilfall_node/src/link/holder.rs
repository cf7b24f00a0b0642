//! The holder's side of links.

use std::net::TcpListener as StdTcpListener;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use chervilfall_planner::{DomainName, LinkedNode, NodeId, RelayCandidate};
use futures_util::StreamExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::accept_async_with_config;

use crate::clock::now_ms;
use crate::control::ControlEvent;
use crate::link::frames::{read, socket_config, write, LinkEnd, QUEUE_CAPACITY};
use crate::link::message::{ToFollower, ToHolder};
use crate::link::teller::{ConfigurationSource, Teller, Wanted};
use crate::settings::Timings;

/// The control thread's handle of a link to a follower.
#[derive(Debug)]
pub(crate) struct FollowerLink {
    pub(crate) queue: mpsc::Sender<ToFollower>,
    pub(crate) node: LinkedNode,
    /// Set if the follower relays orders to endpoints.
    pub(crate) relay: Option<LinkedRelay>,
}

/// A follower that relays orders.
#[derive(Debug)]
pub(crate) struct LinkedRelay {
    pub(crate) domain: DomainName,
    pub(crate) candidate: RelayCandidate,
}

/// Number of the next link; 0 is the node itself.
static NEXT_LINK: AtomicU32 = AtomicU32::new(1);

/// Accepts links until the process ends.
pub(crate) async fn accept_links(
    listener: StdTcpListener,
    timings: Timings,
    source: Arc<ConfigurationSource>,
    control: mpsc::Sender<ControlEvent>,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(error:% = error; "can't accept links");
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (timings, control) = (timings.clone(), control.clone());
                let source = Arc::clone(&source);
                tokio::spawn(async move {
                    if let Err(end) = serve(stream, &timings, source, &control).await {
                        log::info!(end:% = end; "link from a follower ended");
                    }
                });
            }
            Err(error) => {
                log::warn!(error:% = error; "can't accept a link");
                tokio::time::sleep(Duration::from_millis(timings.heartbeat_ms)).await;
            }
        }
    }
}

async fn serve(
    stream: TcpStream,
    timings: &Timings,
    source: Arc<ConfigurationSource>,
    control: &mpsc::Sender<ControlEvent>,
) -> Result<(), LinkEnd> {
    let silence = Duration::from_millis(timings.silence_ms);
    let broken = |error: String| LinkEnd::Broken(error);
    stream
        .set_nodelay(true)
        .map_err(|error| broken(error.to_string()))?;
    let accept = accept_async_with_config(stream, Some(socket_config()));
    let accepted = timeout(silence, accept).await;
    let socket = accepted
        .map_err(|_| LinkEnd::Silent)?
        .map_err(|error| broken(error.to_string()))?;
    let (sink, mut stream) = socket.split();
    let ToHolder::Hello {
        node,
        cpu_permille,
        domain,
        relays,
    } = read(&mut stream, silence).await?
    else {
        return Err(LinkEnd::Malformed(
            "the first message names no node".to_owned(),
        ));
    };
    let id: NodeId = NEXT_LINK.fetch_add(1, Ordering::Relaxed);
    let (queue, receiver) = mpsc::channel(QUEUE_CAPACITY);
    let mut teller = Teller::new(source, queue.downgrade());
    let link = FollowerLink {
        queue,
        node: LinkedNode {
            size_permille: cpu_permille,
            since_ms: now_ms(),
        },
        relay: relays.then(|| LinkedRelay {
            domain,
            candidate: RelayCandidate::new(id, &node),
        }),
    };
    let up = ControlEvent::LinkUp { id, node, link };
    control.send(up).await.map_err(|_| LinkEnd::Closed)?;
    let reader = async {
        loop {
            let message = match read::<ToHolder>(&mut stream, silence).await {
                Ok(message) => message,
                Err(end) => return end,
            };
            let event = match message {
                ToHolder::Heartbeat | ToHolder::Hello { .. } => continue,
                ToHolder::Request { number, request } => ControlEvent::LinkRequest {
                    id,
                    number,
                    request: *request,
                },
                ToHolder::Advised { number, answer } => {
                    ControlEvent::LinkAdvised { id, number, answer }
                }
                ToHolder::ConfigurationWanted {
                    known,
                    asked_ms,
                    takes_pieces,
                } => {
                    teller.handle_wanted(Wanted {
                        known,
                        asked_ms,
                        takes_pieces,
                    });
                    continue;
                }
                ToHolder::ConfigurationPieceTaken { asked_ms } => {
                    teller.handle_taken(asked_ms);
                    continue;
                }
                ToHolder::EndpointAnswers(answers) => ControlEvent::EndpointAnswers(answers),
                ToHolder::UnstoredStarts(starts) => ControlEvent::UnstoredStarts(starts),
            };
            if control.send(event).await.is_err() {
                return LinkEnd::Closed;
            }
        }
    };
    let end = tokio::select! {
        end = write(sink, receiver, silence) => end,
        end = reader => end,
    };
    // The control thread runs until the process ends, so the send does not fail.
    drop(control.send(ControlEvent::LinkDown { id }).await);
    Err(end)
}
