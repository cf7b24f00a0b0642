//! A client's connection as the HTTP library reads and writes it.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

use crate::connections::Connection;

/// How long a refused client has to read why, in milliseconds.
const LINGER_MS: u64 = 1_000;
/// Most bytes of a refused client that are read and dropped.
const LINGER_BYTES: usize = 524_288;
/// Bytes that are dropped at a time.
const DROP_BYTES: usize = 4_096;

/// A client's connection. It takes note of what is received. When it is shut down, what its client
/// still sends is read and dropped for a while: closing over unread bytes would reset the
/// connection, and the client could not read the answer.
#[derive(Debug)]
pub(crate) struct ClientStream {
    stream: TcpStream,
    connection: Connection,
    shut_down: bool,
    linger: Option<Linger>,
}

/// The time and the bytes that are left to a refused client.
#[derive(Debug)]
struct Linger {
    until: Pin<Box<Sleep>>,
    left_bytes: usize,
}

impl ClientStream {
    pub(crate) const fn new(stream: TcpStream, connection: Connection) -> Self {
        Self {
            stream,
            connection,
            shut_down: false,
            linger: None,
        }
    }

    fn begin_linger(&mut self) {
        self.shut_down = true;
        self.linger = self.connection.linger().then(|| Linger {
            until: Box::pin(sleep(Duration::from_millis(LINGER_MS))),
            left_bytes: LINGER_BYTES,
        });
    }

    /// Reads and drops what the client sends, until it ends or has had its time.
    fn poll_drop_received(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut dropped = [0; DROP_BYTES];
        while let Some(linger) = &mut self.linger {
            let mut buffer = ReadBuf::new(&mut dropped);
            let read = Pin::new(&mut self.stream).poll_read(cx, &mut buffer)?;
            let received = buffer.filled().len();
            if read.is_pending() {
                return linger.until.as_mut().poll(cx).map(Ok);
            }
            linger.left_bytes = linger.left_bytes.saturating_sub(received);
            if received == 0 || linger.left_bytes == 0 {
                self.linger = None;
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() > before {
            self.connection.received();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.shut_down {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            self.begin_linger();
        }
        self.poll_drop_received(cx)
    }
}
