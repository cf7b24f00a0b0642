//! Serves one connection.

use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, Instant};

use crate::body::RequestBody;
use crate::client_stream::ClientStream;
use crate::connections::{Connection, OpenConnection, Phase};
use crate::limits::RequestLimits;
use crate::server::{RequestHandler, Response};

/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Serves a connection until it ends, its client is overdue, or it is closed in favour of others.
pub(crate) async fn serve<H: RequestHandler>(
    stream: TcpStream,
    mut open: OpenConnection,
    handler: Arc<H>,
    limits: RequestLimits,
) {
    let connection = open.connection.clone();
    let service = service_fn(|request| {
        let (handler, connection) = (Arc::clone(&handler), connection.clone());
        async move { Ok::<_, Infallible>(handle(&*handler, request, &connection, limits).await) }
    });
    let stream = ClientStream::new(stream, connection.clone());
    let mut http = http1::Builder::new();
    http.max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
        .max_header_size(limits.max_head_bytes);
    let mut served = pin!(http.serve_connection(TokioIo::new(stream), service));
    let mut timer = pin!(sleep_until(Instant::now()));
    poll_fn(|cx| {
        // The error of a connection that has broken is of no interest.
        if served.as_mut().poll(cx).is_ready() || pin!(&mut open.closed).poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let Some(due) = connection.due(&limits) else {
            return Poll::Pending;
        };
        if timer.deadline() != due {
            timer.as_mut().reset(due);
        }
        timer.as_mut().poll(cx)
    })
    .await;
}

async fn handle<H: RequestHandler>(
    handler: &H,
    request: hyper::Request<Incoming>,
    connection: &Connection,
    limits: RequestLimits,
) -> Response {
    connection.set_phase(Phase::Handling);
    let (head, incoming) = request.into_parts();
    let pause = Duration::from_millis(limits.idle_ms);
    let body = RequestBody::new(incoming, connection.clone(), pause);
    let mut response = handler.handle(head, body).await;
    if connection.answered() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
