//! CBOR messages over a WebSocket, with a time limit for each write.

use std::time::Duration;

use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::WebSocketStream;

/// A link's socket.
pub(super) type Socket = WebSocketStream<TcpStream>;

/// Capacity of a link's send queue; a link whose peer is this far behind is given up.
pub(super) const QUEUE_CAPACITY: usize = 4_096;

/// Size of a link's read buffer, in bytes. The library clears as much before each read, and most
/// messages are far smaller.
const READ_BUFFER_BYTES: usize = 8_192;

/// Returns the settings of a link's socket.
pub(super) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default().read_buffer_size(READ_BUFFER_BYTES)
}

/// Why a link has ended.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum LinkEnd {
    /// The peer closed it.
    #[error("peer closed the link")]
    Closed,
    /// No message arrived for too long.
    #[error("peer is silent")]
    Silent,
    /// The peer does not read.
    #[error("peer does not read")]
    Blocked,
    /// The connection broke.
    #[error("connection broke: {0}")]
    Broken(String),
    /// A message cannot be encoded or decoded.
    #[error("message cannot be read: {0}")]
    Malformed(String),
}

/// Reads the next message; the link ends if none arrives within `silence`.
pub(super) async fn read<T: DeserializeOwned>(
    stream: &mut SplitStream<Socket>,
    silence: Duration,
) -> Result<T, LinkEnd> {
    loop {
        let next = timeout(silence, stream.next())
            .await
            .map_err(|_| LinkEnd::Silent)?;
        let message = next.ok_or(LinkEnd::Closed)?;
        match message.map_err(|error| LinkEnd::Broken(error.to_string()))? {
            Message::Binary(bytes) => {
                return ciborium::from_reader(bytes.as_ref())
                    .map_err(|error| LinkEnd::Malformed(error.to_string()));
            }
            Message::Close(_) => return Err(LinkEnd::Closed),
            _ => {}
        }
    }
}

/// Writes queued messages until the link ends.
pub(super) async fn write<T: Serialize>(
    mut sink: SplitSink<Socket, Message>,
    mut queue: mpsc::Receiver<T>,
    silence: Duration,
) -> LinkEnd {
    loop {
        let Some(message) = queue.recv().await else {
            return LinkEnd::Closed;
        };
        let mut bytes = Vec::with_capacity(256);
        if let Err(error) = ciborium::into_writer(&message, &mut bytes) {
            return LinkEnd::Malformed(error.to_string());
        }
        match timeout(silence, sink.send(Message::Binary(bytes.into()))).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return LinkEnd::Broken(error.to_string()),
            Err(_) => return LinkEnd::Blocked,
        }
    }
}
