//! The handshake: versions, identities, and proofs of the shared secret.

use anyhow::{bail, Context};
use chervilfall_auth::{Proof, ProofRole, Secret};
use chervilfall_types::EntryIncarnation;
use futures_util::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::WebSocketStream;

use crate::frame::{decode, encode, Hello, Prove, LINK_VERSION};

/// A connection to another entry instance.
pub(crate) type Socket = WebSocketStream<TcpStream>;

/// Size of a connection's read buffer, in bytes. The library clears as much before each read, and most
/// messages are far smaller.
const READ_BUFFER_BYTES: usize = 8_192;

/// Returns the settings of a connection's socket.
pub(crate) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default().read_buffer_size(READ_BUFFER_BYTES)
}

/// Carries out the handshake and returns who the other side is.
pub(crate) async fn shake(
    socket: &mut Socket,
    secret: &Secret,
    me: EntryIncarnation,
    role: ProofRole,
) -> anyhow::Result<EntryIncarnation> {
    let mine = Hello {
        version: LINK_VERSION,
        from: me,
        nonce: Proof::nonce(),
    };
    send(socket, encode(&mine)?).await?;
    let theirs: Hello = receive(socket).await?;
    if theirs.version != LINK_VERSION {
        bail!(
            "peer speaks version {}, this instance {LINK_VERSION}",
            theirs.version
        );
    }
    let proof = Proof::make(secret, role, &theirs.nonce, me.to_string().as_bytes());
    send(socket, encode(&Prove { proof })?).await?;
    let answer: Prove = receive(socket).await?;
    let their_role = match role {
        ProofRole::Dialer => ProofRole::Listener,
        ProofRole::Listener => ProofRole::Dialer,
    };
    let identity = theirs.from.to_string();
    let right = Proof::check(
        secret,
        their_role,
        &mine.nonce,
        identity.as_bytes(),
        &answer.proof,
    );
    if !right {
        bail!("peer {identity} does not know the shared secret");
    }
    Ok(theirs.from)
}

async fn send(socket: &mut Socket, bytes: Vec<u8>) -> anyhow::Result<()> {
    Ok(socket.send(Message::binary(bytes)).await?)
}

async fn receive<T: DeserializeOwned>(socket: &mut Socket) -> anyhow::Result<T> {
    let message = socket.next().await.context("connection closed")??;
    decode(&message.into_data())
}
