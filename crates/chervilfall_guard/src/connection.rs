//! One connection: bytes both ways, and a bound on the time of each header and body.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout, Instant};

use crate::guard::RequestGuardSettings;
use crate::progress::{Due, RequestProgress};

/// Bytes that are passed on at a time.
const BUFFER_BYTES: usize = 8_192;
/// How long a refused client has to read why, in milliseconds.
const LINGER_MS: u64 = 1_000;

/// What came next on a connection.
enum Next {
    /// The client sent this many bytes; none is its end.
    Client(usize),
    /// The server sent this many bytes; none is its end.
    Server(usize),
    /// The time for what the client owes is over.
    TooSlow,
}

/// Passes bytes on until both sides have ended or a request is refused.
pub(crate) async fn serve(
    mut client: TcpStream,
    settings: &RequestGuardSettings,
) -> io::Result<()> {
    let mut server = TcpStream::connect(settings.server).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (mut from_client, mut to_client) = client.split();
    let (mut from_server, mut to_server) = server.split();
    let mut progress = RequestProgress::default();
    let mut owed = progress.due();
    let mut until = Instant::now() + settings.time(owed);
    let mut client_open = true;
    let mut upstream = vec![0; BUFFER_BYTES];
    let mut downstream = vec![0; BUFFER_BYTES];
    loop {
        let next = tokio::select! {
            // Bytes that came while this process was paused came in time.
            biased;
            read = from_client.read(&mut upstream), if client_open => Next::Client(read?),
            read = from_server.read(&mut downstream) => Next::Server(read?),
            () = sleep_until(until), if client_open && owed != Due::Nothing => Next::TooSlow,
        };
        match next {
            Next::Client(0) => {
                client_open = false;
                to_server.shutdown().await?;
            }
            Next::Client(count) => {
                if let Err(refused) = progress.client_sent(&upstream[..count]) {
                    let response = settings.responses.refused(refused);
                    return refuse(to_client, from_client, response).await;
                }
                to_server.write_all(&upstream[..count]).await?;
            }
            Next::Server(0) => return to_client.shutdown().await,
            Next::Server(count) => {
                progress.server_sent();
                to_client.write_all(&downstream[..count]).await?;
            }
            Next::TooSlow => {
                let response = settings.responses.too_slow(owed);
                return refuse(to_client, from_client, response).await;
            }
        }
        if progress.due() != owed {
            owed = progress.due();
            until = Instant::now() + settings.time(owed);
        }
    }
}

/// Ends a connection with a response that the client can still read: what it has sent is read and
/// dropped, because closing over unread bytes would reset the connection.
async fn refuse(
    mut to_client: impl AsyncWrite + Unpin,
    mut from_client: impl AsyncRead + Unpin,
    response: &[u8],
) -> io::Result<()> {
    to_client.write_all(response).await?;
    to_client.shutdown().await?;
    let linger = Duration::from_millis(LINGER_MS);
    let drop_all = drop_bytes(&mut from_client);
    timeout(linger, drop_all).await.unwrap_or(Ok(()))
}

async fn drop_bytes(from_client: &mut (impl AsyncRead + Unpin)) -> io::Result<()> {
    let mut dropped = vec![0; BUFFER_BYTES];
    while from_client.read(&mut dropped).await? > 0 {}
    Ok(())
}
