//! Two rolling restarts begin at the same time, so that both nodes are stopped at once.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::{job, sleep_ms, Cluster, Queue, DEADLINE_MS, HOST};
use crate::json::Json;
use crate::record::Record;
use crate::Outcome;

const QUEUE: Queue = Queue {
    name: "checks",
    priority: 0,
    attempts: 2,
    target_latency_ms: 250,
    advice: None,
};
const NODES: usize = 2;
/// Time after a request's last byte from which its end without an answer counts.
const LOSS_SLACK_MS: u64 = 200;
/// Requests at each node: one each 50 ms, from 0.5 s to 2.4 s after the signal.
const REQUESTS: u64 = 39;
const FIRST_MS: u64 = 500;
const INTERVAL_MS: u64 = 50;

/// How a request ended, and the time from its last byte to its end.
struct Ended {
    answered: bool,
    after_ms: u64,
}

/// Sends a job over a connection that has been open since before the signal.
fn send(mut stream: TcpStream, id: &str, body: &Json, record: &Record, node: &str) -> Ended {
    let body = body.to_string();
    let path = QUEUE.prefix() + id;
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Deadline: {DEADLINE_MS}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let began = Instant::now();
    let after_ms = || u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
    if stream.write_all(request.as_bytes()).is_err() {
        // The connection was closed before: the request was not read.
        return Ended {
            answered: true,
            after_ms: 0,
        };
    }
    let status = read_answer(stream);
    let ended = Ended {
        answered: status.is_some(),
        after_ms: after_ms(),
    };
    let shown = status.map_or("no answer".to_owned(), |status| status.to_string());
    record.line(&format!(
        "client: POST {path} at {node}: {shown} after {} ms",
        ended.after_ms
    ));
    ended
}

/// Returns the status of a whole answer.
fn read_answer(stream: TcpStream) -> Option<u16> {
    let wait = Duration::from_millis(DEADLINE_MS);
    stream.set_read_timeout(Some(wait)).ok()?;
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first).ok()?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some(status)
}

pub fn play(record: Record, trouble: bool) -> Outcome {
    let mut cluster = Cluster::open(record.clone(), &[QUEUE], NODES, None);
    for number in 0..8 {
        cluster.add_worker(&format!("i-{number}"), 16_000);
    }
    if !cluster.start() {
        return Outcome::Unplayed("the nodes are not ready in time".to_owned());
    }
    sleep_ms(4_000);
    let mut open = Vec::new();
    for node in &cluster.nodes {
        for number in 0..REQUESTS {
            let Ok(stream) = TcpStream::connect(&node.front) else {
                return Outcome::Unplayed("a client cannot connect".to_owned());
            };
            open.push((stream, node.name.clone(), number));
        }
    }
    sleep_ms(100);
    if trouble {
        for node in 0..NODES {
            cluster.signal_node(node, "TERM");
        }
    }
    let step = [
        ("count", 1.into()),
        ("cpu", 500.into()),
        ("mem_mb", 256.into()),
        ("estimate_ms", 200.into()),
    ];
    let body = job("ms=200", &step);
    let began = Instant::now();
    let callers = open
        .into_iter()
        .enumerate()
        .map(|(position, (stream, node, number))| {
            let (record, body) = (record.clone(), body.clone());
            thread::spawn(move || {
                let at = Duration::from_millis(FIRST_MS + number * INTERVAL_MS);
                thread::sleep(at.saturating_sub(began.elapsed()));
                send(
                    stream,
                    &format!("{:016x}", 0x5c0e + position),
                    &body,
                    &record,
                    &node,
                )
            })
        });
    let callers: Vec<_> = callers.collect();
    let ended: Vec<Ended> = callers
        .into_iter()
        .filter_map(|one| one.join().ok())
        .collect();
    cluster.keep_logs();
    let lost = ended.iter().filter(|ended| {
        let in_time = ended.after_ms < DEADLINE_MS - 100;
        !ended.answered && in_time && ended.after_ms > LOSS_SLACK_MS
    });
    let lost = lost.count();
    if lost == 0 {
        return Outcome::Held;
    }
    Outcome::Broken(format!(
        "LOST: {lost} of {} requests got no answer from a stopping node, which closed the connection over {LOSS_SLACK_MS} ms after their last byte and before their deadline",
        ended.len()
    ))
}
