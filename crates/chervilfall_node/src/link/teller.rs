//! Tells followers that cannot read the configuration which one the holder has in force.
//!
//! A configuration is encoded once a version and sent in pieces; the next one is sent when the
//! follower has taken an earlier one, so that heartbeats and replies between them are not delayed,
//! however large the configuration is.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, Mutex, Semaphore};
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::clock::now_ms;
use crate::configuration::ConfigurationState;
use crate::link::message::{ConfigurationPiece, ToFollower};
use crate::routes::RouteTable;

/// Size of a piece, in bytes.
const PIECE_BYTES: usize = 16_384;
/// Pieces that a follower may be sent before it has taken the first of them, so that its link does
/// not stand idle between two of them.
const PIECES_IN_FLIGHT: usize = 4;
/// Followers that are sent pieces at the same time: a holder's link of 10 Mbit/s carries all their
/// pieces in flight in 0.16 s, well below the silence after which a link counts as broken.
const MAX_TRANSFERS: usize = 3;
/// Time within which a piece must be taken, so that a follower that stops taking them does not keep
/// others waiting.
const TAKEN_WITHIN: Duration = Duration::from_secs(2);
/// Maximum number of routes of a configuration that is sent whole, to a follower that takes no
/// pieces: a larger one would delay heartbeats on a slow link for so long that it counts as broken.
const MAX_ROUTES_SENT_WHOLE: usize = 500;

/// The configuration in force as it is sent; shared by all links.
#[derive(Debug)]
pub(crate) struct ConfigurationSource {
    configuration: Arc<ConfigurationState>,
    encoded: Mutex<Option<Encoded>>,
    transfers: Semaphore,
}

#[derive(Debug)]
struct Encoded {
    version: u64,
    bytes: Arc<[u8]>,
}

impl ConfigurationSource {
    pub(crate) fn new(configuration: Arc<ConfigurationState>) -> Self {
        Self {
            configuration,
            encoded: Mutex::new(None),
            transfers: Semaphore::new(MAX_TRANSFERS),
        }
    }

    /// Returns the configuration in force and the time since it was last known to be the newest.
    fn current(&self) -> Option<(u64, Arc<RouteTable>)> {
        // The age is read first: it is that of the configuration or of the one before.
        let age_ms = self.configuration.age_ms()?;
        Some((age_ms, self.configuration.current()?))
    }

    /// Returns the encoded form of a configuration, unless it cannot be encoded.
    async fn encoded(&self, table: Arc<RouteTable>) -> Option<Arc<[u8]>> {
        let mut encoded = self.encoded.lock().await;
        let version = table.version;
        if let Some(encoded) = encoded.as_ref().filter(|known| known.version == version) {
            return Some(Arc::clone(&encoded.bytes));
        }
        let encoding = tokio::task::spawn_blocking(move || {
            let mut bytes = Vec::new();
            ciborium::into_writer(&*table, &mut bytes).map(|()| bytes)
        });
        match encoding.await {
            Ok(Ok(bytes)) => {
                let bytes: Arc<[u8]> = bytes.into();
                *encoded = Some(Encoded {
                    version,
                    bytes: Arc::clone(&bytes),
                });
                Some(bytes)
            }
            Ok(Err(error)) => {
                log::error!(version = version, error:% = error; "configuration cannot be encoded");
                None
            }
            Err(error) => {
                log::error!(version = version, error:% = error; "configuration was not encoded");
                None
            }
        }
    }
}

/// A follower's question for the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Wanted {
    /// Version that the follower has in force, if it has one.
    pub(super) known: Option<u64>,
    /// When it asked, by its clock.
    pub(super) asked_ms: u64,
    /// It takes pieces.
    pub(super) takes_pieces: bool,
}

/// Answers one follower's questions.
#[derive(Debug)]
pub(super) struct Teller {
    source: Arc<ConfigurationSource>,
    /// The link ends when the control thread drops its sender.
    queue: mpsc::WeakSender<ToFollower>,
    /// The transfer under way; it is aborted when this is dropped.
    transfer: JoinSet<()>,
    /// What the follower knew when the transfer began.
    known: Option<u64>,
    /// Takes the answers to pieces while a transfer lasts.
    taken: Option<mpsc::Sender<u64>>,
}

impl Teller {
    pub(super) fn new(
        source: Arc<ConfigurationSource>,
        queue: mpsc::WeakSender<ToFollower>,
    ) -> Self {
        Self {
            source,
            queue,
            transfer: JoinSet::new(),
            known: None,
            taken: None,
        }
    }

    /// Answers a question. A follower that is not answered asks again.
    pub(super) fn handle_wanted(&mut self, wanted: Wanted) {
        let Some((age_ms, table)) = self.source.current() else {
            return;
        };
        let newer = Some(table.version) > wanted.known;
        if newer && wanted.takes_pieces {
            self.begin_transfer(wanted);
            return;
        }
        if !newer {
            // The rest of what is on its way is known already.
            self.end_transfer();
        }
        if !newer || table.routes.len() <= MAX_ROUTES_SENT_WHOLE {
            let answer = ToFollower::Configuration {
                asked_ms: wanted.asked_ms,
                age_ms,
                table: newer.then_some(table),
            };
            send(&self.queue, answer);
        }
    }

    /// Handles the report that the follower has taken a piece of what it asked for at `asked_ms`.
    pub(super) fn handle_taken(&self, asked_ms: u64) {
        if let Some(taken) = &self.taken {
            // A transfer that has ended needs no answer.
            let _ = taken.try_send(asked_ms);
        }
    }

    fn end_transfer(&mut self) {
        self.transfer = JoinSet::new();
        self.taken = None;
    }

    /// Begins a transfer, unless one is under way to a follower that still knows the same.
    fn begin_transfer(&mut self, wanted: Wanted) {
        let under_way = self.taken.as_ref().is_some_and(|taken| !taken.is_closed());
        if under_way && self.known == wanted.known {
            return;
        }
        let (taken, receiver) = mpsc::channel(2 * PIECES_IN_FLIGHT);
        let (source, queue) = (Arc::clone(&self.source), self.queue.clone());
        self.end_transfer();
        self.known = wanted.known;
        self.taken = Some(taken);
        self.transfer.spawn(async move {
            let transfer = Transfer {
                queue,
                asked_ms: wanted.asked_ms,
                taken: receiver,
            };
            // A follower that does not receive everything asks again.
            let _ = transfer.run(&source).await;
        });
    }
}

/// Queues a message; returns none if the link cannot accept it.
fn send(queue: &mpsc::WeakSender<ToFollower>, message: ToFollower) -> Option<()> {
    queue.upgrade()?.try_send(message).ok()
}

/// A configuration on its way to a follower.
struct Transfer {
    queue: mpsc::WeakSender<ToFollower>,
    asked_ms: u64,
    taken: mpsc::Receiver<u64>,
}

impl Transfer {
    /// Sends the configuration that is in force when its turn comes; returns none if the follower
    /// has not taken it.
    async fn run(mut self, source: &ConfigurationSource) -> Option<()> {
        let _turn = source.transfers.acquire().await.ok()?;
        let began_ms = now_ms();
        let (age_ms, table) = source.current()?;
        let version = table.version;
        let bytes = source.encoded(table).await?;
        let pieces = bytes.chunks(PIECE_BYTES);
        let count = pieces.len();
        for (number, piece) in pieces.enumerate() {
            if number >= PIECES_IN_FLIGHT {
                self.wait_until_taken().await?;
            }
            let piece = ConfigurationPiece {
                asked_ms: self.asked_ms,
                age_ms,
                version,
                offset: (number * PIECE_BYTES) as u64,
                last: number + 1 == count,
                bytes: piece.to_vec(),
            };
            send(&self.queue, ToFollower::ConfigurationPiece(piece))?;
        }
        for _ in 0..count.min(PIECES_IN_FLIGHT) {
            self.wait_until_taken().await?;
        }
        metrics::counter!("chervilfall_configurations_told_total").increment(1);
        let took_ms = now_ms().saturating_sub(began_ms);
        log::info!(
            version = version, bytes = bytes.len(), took_ms = took_ms;
            "configuration told to a follower"
        );
        Some(())
    }

    /// Waits until one more piece is taken.
    async fn wait_until_taken(&mut self) -> Option<()> {
        let own = async {
            // Answers to the transfer before may still arrive.
            while self.taken.recv().await? != self.asked_ms {}
            Some(())
        };
        timeout(TAKEN_WITHIN, own).await.ok()?
    }
}
