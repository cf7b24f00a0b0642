//! Plays a case: starts the project's nodes as processes, with stand-ins for the platform's store, the workers
//! and the clients, and judges what clients and workers have seen.
//!
//! `review3 CASE FOLDER` writes `record.txt` into the folder. It exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod http;
mod json;
mod nodes;
mod record;
mod store;
mod worker;

mod case_exclusive;
mod case_occurrences;
mod case_progress;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::Listener;
use json::Json;
use nodes::Node;
use record::Record;
use store::Store;
use worker::{Machine, Worker};

/// Host that clients name.
const HOST: &str = "jobs.example";
/// The service.
const SERVICE: &str = "svc";
/// CPU of a worker, in thousandths of a core, and its memory, as on the sheets of the small sites.
const CPU: u64 = 16_000;
const MEMORY_MB: u64 = 32_768;
/// `finish_s` of the small sites: time after the end of the traffic from which jobs may not stand still.
pub const FINISH_MS: u64 = 14_000;
/// Time for which a job may have nothing running then.
pub const STANDS_MS: u64 = 3_000;

/// What a case found.
pub enum Verdict {
    Held(String),
    Broken(String),
    Failed(String),
}

/// Plays a case.
type Play = fn(&mut Cell) -> Result<Verdict, String>;

/// A small deployment.
pub struct Cell {
    pub record: Record,
    pub nodes: Vec<Node>,
    pub workers: Vec<Arc<Worker>>,
    pub trouble: bool,
    turn: usize,
    _store: Listener,
}

impl Cell {
    /// Starts three nodes, and workers with these labels.
    fn open(folder: &Path, labels: &[Vec<String>]) -> Result<Self, String> {
        let root = std::env::current_dir().map_err(|error| error.to_string())?;
        let program = root.join("target/release/chervilfall-node");
        let record = Record::open(&folder.join("record.txt")).map_err(|error| error.to_string())?;
        let process = std::process::id();
        let network = format!("127.{}.{}", 70 + process / 250 % 50, 1 + process % 250);
        let settings = std::env::temp_dir().join(format!("review3-{process}"));
        std::fs::create_dir_all(&settings).map_err(|error| error.to_string())?;
        let store = Store::new(&record);
        let address = |host: usize, port: u16| -> SocketAddr {
            format!("{network}.{host}:{port}")
                .parse()
                .expect("an address")
        };
        let own = store.clone();
        let listener = Listener::open(address(2, 8169), move |request| own.handle(&request));
        let listener = listener.map_err(|error| format!("the store cannot listen: {error}"))?;
        store.put("op", "config", &configuration());
        let zones = ["zone-a", "zone-b", "zone-c"];
        let machines = labels.iter().enumerate().map(|(number, labels)| Machine {
            number,
            address: address(100 + number, 8080),
            zone: zones[number % zones.len()],
            labels: labels.clone(),
            cpu: CPU,
            memory_mb: MEMORY_MB,
        });
        let workers = machines.map(|machine| Worker::new(machine, SERVICE, &store, &record));
        let workers = workers.collect();
        let nodes = zones.iter().enumerate().map(|(number, zone)| {
            let host = format!("{network}.{}", 10 + number);
            let name = format!("edge-{zone}");
            Node::open(&program, &settings, &host, address(2, 8169), &name, zone)
        });
        let cell = Self {
            nodes: nodes.collect(),
            workers,
            trouble: std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0"),
            turn: 0,
            record,
            _store: listener,
        };
        for _ in 0..100 {
            if cell.nodes.iter().all(Node::is_ready) {
                cell.record.line("all nodes are ready");
                return Ok(cell);
            }
            sleep(Duration::from_millis(100));
        }
        Err("the nodes are not ready after 10 s".to_owned())
    }

    /// Sends a request as a client does: after no answer, a 502, a 503 or a 504 it is sent again.
    pub fn client(
        &mut self,
        method: &str,
        path: &str,
        body: &str,
        within_ms: u64,
    ) -> Option<(u16, String)> {
        let until = self.record.now_ms() + within_ms;
        loop {
            self.turn += 1;
            let answer = nodes::request(&self.nodes, self.turn, HOST, method, path, body);
            self.record.line(&match &answer {
                Some((status, body)) => format!("client: {method} {path} -> {status} {body}"),
                None => format!("client: {method} {path} -> no answer"),
            });
            match answer {
                Some(answer) if !(502..=504).contains(&answer.0) => return Some(answer),
                _ if self.record.now_ms() >= until => return None,
                _ => sleep(Duration::from_millis(500)),
            }
        }
    }

    pub fn submit(&mut self, id: &str, body: &str) -> Result<(), String> {
        self.record.line(&format!("client: job {id}: {body}"));
        match self.client("POST", &format!("/q1/{id}"), body, 10_000) {
            Some((200..=299, _)) => Ok(()),
            other => Err(format!("the job was not accepted: {other:?}")),
        }
    }

    /// Returns the state that a client is shown.
    pub fn state(&mut self, id: &str) -> String {
        let answer = self.client("GET", &format!("/q1/{id}"), "", 5_000);
        let shown = answer.map(|(status, body)| match Json::parse(&body) {
            Some(body) if status == 200 => body.get("state").text().to_owned(),
            _ => status.to_string(),
        });
        shown.unwrap_or_else(|| "no answer".to_owned())
    }

    /// Returns the tasks of a job that run, with the numbers of their workers.
    pub fn running(&self, job: &str) -> Vec<(usize, String)> {
        let workers = self.workers.iter().enumerate();
        let tasks = workers.flat_map(|(number, worker)| {
            worker.running().into_iter().map(move |task| (number, task))
        });
        tasks.filter(|(_, task)| task.starts_with(job)).collect()
    }

    /// Waits until a job runs so many tasks.
    pub fn wait_for_running(&self, job: &str, tasks: usize, within_ms: u64) -> Result<(), String> {
        let until = self.record.now_ms() + within_ms;
        while self.running(job).len() < tasks {
            if self.record.now_ms() >= until {
                return Err(format!(
                    "job {job} does not run {tasks} tasks within {within_ms} ms"
                ));
            }
            sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    pub fn sleep_until(&self, at_ms: u64) {
        let left = at_ms.saturating_sub(self.record.now_ms());
        sleep(Duration::from_millis(left));
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-q1\",\"host\":\"{HOST}\",\"path_prefix\":\"/q1/\",\
         \"type\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":3000,\"priority\":1,\
         \"service\":\"{SERVICE}\",\"attempts\":3,\"stretch\":4.0}}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"enforces_capacity\":false,\"spare\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Returns the labels of workers: the kind, and the rack.
pub fn labels(kinds: &[&str]) -> Vec<Vec<String>> {
    let kinds = kinds.iter().enumerate();
    kinds
        .map(|(number, kind)| vec![(*kind).to_owned(), format!("r1-{}", 1 + number / 4)])
        .collect()
}

/// Returns the time of day in milliseconds since 1970.
pub fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let (kinds, play): (&[&str], Play) = match case.as_str() {
        "exclusive" => (&case_exclusive::KINDS, case_exclusive::play),
        "occurrences" => (&case_occurrences::KINDS, case_occurrences::play),
        "progress" => (&case_progress::KINDS, case_progress::play),
        _ => {
            eprintln!("no such case: {case}");
            exit(2);
        }
    };
    let mut cell = match Cell::open(&folder, &labels(kinds)) {
        Ok(cell) => cell,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            exit(2);
        }
    };
    let verdict = play(&mut cell).unwrap_or_else(Verdict::Failed);
    let (status, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::Failed(text) => (2, format!("the case could not run: {text}")),
    };
    cell.record.line(&text);
    println!("{text}");
    if std::env::var("KEEP_LOGS").is_err() {
        let process = std::process::id();
        std::fs::remove_dir_all(std::env::temp_dir().join(format!("review3-{process}"))).ok();
    }
    drop(cell);
    exit(status);
}
