//! The listener for callers.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::request::Parts;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{yield_now, JoinHandle, JoinSet};
use tokio::time::{sleep, timeout_at, Instant};

use crate::body::RequestBody;
use crate::connection;
use crate::connections::Connections;
use crate::limits::{ProcessLimits, RequestLimits};

/// Connections that the system keeps until they are accepted.
const BACKLOG: u32 = 1_024;
/// Bytes that the system receives ahead of reading, for each connection: also what is not read takes
/// memory.
const RECEIVE_BUFFER_BYTES: u32 = 16_384;
/// Pause after a connection could not be accepted, for instance for want of descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// An answer to a caller.
pub type Response = hyper::Response<Full<Bytes>>;

/// Handles requests.
pub trait RequestHandler: Send + Sync + 'static {
    /// Returns the limits of a request.
    fn request_limits(&self) -> RequestLimits;

    /// Handles a request.
    fn handle(&self, head: Parts, body: RequestBody) -> impl Future<Output = Response> + Send;
}

/// Options of a listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Memory of the machine, in bytes; no limit if none.
    pub memory_bytes: Option<u64>,
    /// Descriptors that the process may open; no limit if none.
    pub max_descriptors: Option<usize>,
    /// Whole response to a connection that is refused because all others are busy.
    pub busy_response: Vec<u8>,
}

impl ServerOptions {
    fn process_limits(&self, request: RequestLimits) -> ProcessLimits {
        ProcessLimits::of_machine(
            self.memory_bytes,
            self.max_descriptors,
            request.max_head_bytes,
        )
    }
}

/// A running listener. Dropping it ends all its connections.
#[derive(Debug)]
pub struct Ingress {
    connections: Arc<Connections>,
    stop: oneshot::Sender<Instant>,
    serving: JoinHandle<()>,
}

impl Ingress {
    /// Binds an address and serves callers from now on.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address cannot be bound.
    pub fn bind<H: RequestHandler>(options: ServerOptions, handler: H) -> io::Result<Self> {
        let listener = listen(options.listen)?;
        let limits = options.process_limits(handler.request_limits());
        let connections = Arc::new(Connections::new(limits));
        let (stop, stopped) = oneshot::channel();
        let server = Server {
            options,
            handler: Arc::new(handler),
            connections: Arc::clone(&connections),
            tasks: JoinSet::new(),
        };
        Ok(Self {
            connections,
            stop,
            serving: tokio::spawn(server.run(listener, stopped)),
        })
    }

    /// Accepts no more connections, closes those that have no request to handle, and waits for the
    /// others, at most until `end`.
    pub async fn stop(self, end: Instant) {
        // A listener whose task has ended has stopped already.
        let _ = self.stop.send(end);
        self.connections.close_waiting();
        if let Err(error) = self.serving.await {
            log::warn!(error:% = error; "task of the listener for callers panicked or was cancelled");
        }
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

struct Server<H> {
    options: ServerOptions,
    handler: Arc<H>,
    connections: Arc<Connections>,
    tasks: JoinSet<()>,
}

impl<H: RequestHandler> Server<H> {
    /// Serves connections until it is stopped, and then those that are left for a while.
    async fn run(mut self, listener: TcpListener, mut stopped: oneshot::Receiver<Instant>) {
        let end = loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                Some(_) = self.tasks.join_next() => continue,
                end = &mut stopped => break end.unwrap_or_else(|_| Instant::now()),
            };
            match accepted {
                Ok((stream, _)) => self.accept(stream).await,
                Err(error) => {
                    log::warn!(error:% = error; "connection of a caller cannot be accepted");
                    sleep(ACCEPT_RETRY).await;
                }
            }
        };
        drop(listener);
        let ended = async { while self.tasks.join_next().await.is_some() {} };
        if timeout_at(end, ended).await.is_err() {
            log::info!("connections of callers are still busy and are closed");
        }
    }

    async fn accept(&mut self, stream: TcpStream) {
        let limits = self.handler.request_limits();
        self.connections
            .set_limits(self.options.process_limits(limits));
        if self.connections.full() {
            // The tasks of connections that were closed give their descriptors back.
            yield_now().await;
        }
        let Some(open) = self.connections.open() else {
            refuse(&stream, &self.options.busy_response);
            return;
        };
        // Without it an answer is late, not wrong.
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(error:% = error; "delays cannot be switched off");
        }
        let handler = Arc::clone(&self.handler);
        self.tasks
            .spawn(connection::serve(stream, open, handler, limits));
    }
}

/// Sends a response as far as it can be sent at once: the system has room for it, as nothing was
/// sent before.
fn refuse(stream: &TcpStream, response: &[u8]) {
    if let Err(error) = stream.try_write(response) {
        log::debug!(error:% = error; "a refused caller cannot be told");
    }
}
