//! Limits on what all connections hold together, with a handler that answers when it is told to.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::Arc;
use std::time::Duration;

use chervilfall_ingress::{
    BodyError, Ingress, RequestBody, RequestHandler, RequestLimits, Response, ServerOptions,
};
use hyper::http::request::Parts;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout, Instant};

/// Bound of each wait.
const PATIENCE: Duration = Duration::from_secs(20);
/// Longer than a request needs to count as stalled.
const STALLED: Duration = Duration::from_millis(700);
/// Largest body, in bytes.
const MAX_BODY_BYTES: usize = 262_144;
/// Memory of which a quarter, four large bodies, is for bodies, in bytes.
const MEMORY_BYTES: u64 = 4 * 4 * 262_144;
/// Response to a connection that is refused.
const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// How far the requests of a server have come.
struct Progress {
    /// Requests whose bodies are awaited, or have come.
    begun: Semaphore,
    /// Requests whose bodies have come.
    received: Semaphore,
    /// Requests that may be answered.
    may_answer: Semaphore,
}

impl Progress {
    /// Waits until some more requests have come somewhere.
    async fn until(stage: &Semaphore, requests: u32) {
        let come = timeout(PATIENCE, stage.acquire_many(requests)).await;
        come.expect("the requests come in time")
            .expect("it is open")
            .forget();
    }
}

/// Receives bodies and answers once it may; refuses at once.
struct Handler(Arc<Progress>);

impl RequestHandler for Handler {
    fn request_limits(&self) -> RequestLimits {
        RequestLimits {
            max_head_bytes: 16_384,
            head_ms: 10_000,
            idle_ms: 10_000,
        }
    }

    async fn handle(&self, _: Parts, body: RequestBody) -> Response {
        self.0.begun.add_permits(1);
        let received = body.receive(MAX_BODY_BYTES, PATIENCE).await;
        let status = match &received {
            Ok(_) => 200,
            Err(BodyError::NoMemory(_)) => 503,
            Err(_) => 400,
        };
        if received.is_ok() {
            self.0.received.add_permits(1);
            let permit = self.0.may_answer.acquire().await;
            permit.expect("it is open").forget();
        }
        let mut response = Response::default();
        *response.status_mut() = status.try_into().expect("a status");
        response
    }
}

struct Server {
    ingress: Ingress,
    address: SocketAddr,
    progress: Arc<Progress>,
}

/// Opens a server that may answer some requests.
fn open(max_descriptors: Option<usize>, answers: usize) -> Server {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(7_000);
    let process = std::process::id();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    let host = format!("127.{}.{}.1", 130 + process / 250 % 64, 1 + process % 250);
    let address = format!("{host}:{port}").parse().expect("an address");
    let progress = Arc::new(Progress {
        begun: Semaphore::new(0),
        received: Semaphore::new(0),
        may_answer: Semaphore::new(answers),
    });
    let options = ServerOptions {
        listen: address,
        memory_bytes: Some(MEMORY_BYTES),
        max_descriptors,
        busy_response: BUSY.as_bytes().to_vec(),
    };
    let handler = Handler(Arc::clone(&progress));
    Server {
        ingress: Ingress::bind(options, handler).expect("the address is free"),
        address,
        progress,
    }
}

impl Server {
    /// Sends a request of which some bytes of the body are missing.
    async fn send(&self, body_bytes: usize, missing_bytes: usize) -> TcpStream {
        let mut client = TcpStream::connect(self.address).await.expect("connected");
        let head = format!("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {body_bytes}\r\n\r\n");
        let body = " ".repeat(body_bytes - missing_bytes);
        // A client that is refused reads why.
        let _ = client.write_all((head + &body).as_bytes()).await;
        client
    }
}

/// Returns the status of the next answer; 0 if the connection was closed.
async fn status(client: &mut TcpStream) -> u16 {
    let mut line = [0; 12];
    let read = timeout(PATIENCE, client.read_exact(&mut line)).await;
    if read.expect("an answer or an end").is_err() {
        return 0;
    }
    let line = String::from_utf8_lossy(&line);
    let status = line.strip_prefix("HTTP/1.1 ").expect("a status line");
    status.parse().expect("a number")
}

/// Guards against a budget that a crowd keeps for itself, or that is not given back.
#[tokio::test]
async fn bodies_that_stall_make_room_and_give_their_memory_back() {
    struct Case {
        name: &'static str,
        /// The bytes that are missing of each of three large bodies.
        missing_bytes: usize,
        body_bytes: usize,
        status: u16,
    }
    let cases = [
        Case {
            name: "a small body beside large ones that are handled",
            missing_bytes: 0,
            body_bytes: 1_000,
            status: 200,
        },
        Case {
            name: "a large body beside large ones that are handled",
            missing_bytes: 0,
            body_bytes: MAX_BODY_BYTES,
            status: 503,
        },
        Case {
            name: "a small body beside large ones that have stalled",
            missing_bytes: 1,
            body_bytes: 1_000,
            status: 200,
        },
        Case {
            name: "a large body beside large ones that have stalled",
            missing_bytes: 1,
            body_bytes: MAX_BODY_BYTES,
            status: 200,
        },
    ];
    for case in cases {
        let server = open(None, 0);
        let mut others = Vec::new();
        for _ in 0..3 {
            others.push(server.send(MAX_BODY_BYTES, case.missing_bytes).await);
        }
        let stage = match case.missing_bytes {
            0 => &server.progress.received,
            _ => &server.progress.begun,
        };
        Progress::until(stage, 3).await;
        sleep(STALLED).await;
        let mut client = server.send(case.body_bytes, 0).await;
        if case.status == 200 {
            Progress::until(&server.progress.received, 1).await;
            server.progress.may_answer.add_permits(4);
        }
        assert_eq!(status(&mut client).await, case.status, "{}", case.name);
        server.progress.may_answer.add_permits(1_000);
        if case.missing_bytes == 0 {
            for client in &mut others {
                assert_eq!(status(client).await, 200, "{}", case.name);
            }
        }
        drop(others);
        // All memory is back: as many large bodies as there is room for are served again.
        for _ in 0..6 {
            let mut client = server.send(MAX_BODY_BYTES, 0).await;
            assert_eq!(status(&mut client).await, 200, "{}, afterwards", case.name);
        }
    }
}

/// Guards against a limit of connections that cuts off requests that are being handled.
#[tokio::test]
async fn a_request_that_is_handled_is_never_closed_in_favour_of_others() {
    // Three of eight descriptors.
    let server = open(Some(8), 0);
    let mut handled = Vec::new();
    for _ in 0..3 {
        handled.push(server.send(10, 0).await);
    }
    Progress::until(&server.progress.received, 3).await;
    sleep(STALLED).await;
    let mut refused = server.send(10, 0).await;
    assert_eq!(status(&mut refused).await, 503);
    server.progress.may_answer.add_permits(1_000);
    for client in &mut handled {
        assert_eq!(status(client).await, 200);
    }
    let mut next = server.send(10, 0).await;
    assert_eq!(status(&mut next).await, 200);
}

/// Guards against connections that are kept though others wait.
#[tokio::test]
async fn a_silent_connection_is_closed_in_favour_of_a_new_one() {
    let server = open(Some(8), 1_000);
    let mut silent = Vec::new();
    for _ in 0..3 {
        silent.push(TcpStream::connect(server.address).await.expect("connected"));
    }
    sleep(STALLED).await;
    let mut client = server.send(10, 0).await;
    assert_eq!(status(&mut client).await, 200);
    assert_eq!(status(&mut silent[0]).await, 0, "the first one is closed");
}

/// Guards against a stop that cuts off requests in flight or waits for clients that stall.
#[tokio::test]
async fn a_stop_waits_for_requests_that_are_handled_and_for_no_others() {
    let server = open(None, 0);
    let mut handled = server.send(10, 0).await;
    let mut stalled = server.send(10, 1).await;
    Progress::until(&server.progress.begun, 2).await;
    Progress::until(&server.progress.received, 1).await;
    let progress = Arc::clone(&server.progress);
    let stop = tokio::spawn(server.ingress.stop(Instant::now() + PATIENCE));
    assert_eq!(status(&mut stalled).await, 0, "the stalled one is closed");
    progress.may_answer.add_permits(1);
    assert_eq!(status(&mut handled).await, 200);
    drop(handled);
    let stopped = timeout(PATIENCE / 2, stop).await;
    stopped.expect("the stop ends").expect("it ends in order");
}
