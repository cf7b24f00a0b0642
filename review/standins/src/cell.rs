//! A small deployment: the store, workers, and the nodes as processes.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use crate::http::call;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Worker, SERVICE};

/// Host of all routes.
pub const HOST: &str = "jobs.example";
/// Path of the only queue.
pub const QUEUE: &str = "/lend/";
/// Attempts that the queue allows a task.
pub const ATTEMPTS: u64 = 2;
/// Program of the deploy file, under the root of the repository.
const PROGRAM: &str = "target/release/chervilfall-node";

/// Processes that were started.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all nodes that still run.
pub fn kill_all() {
    for process in PROCESSES.lock().expect("no holder panics").iter() {
        let _ = Command::new("kill")
            .arg("-KILL")
            .arg(process.to_string())
            .status();
    }
}

/// A node's process.
pub struct Node {
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// The deployment.
pub struct Cell {
    pub store: Store,
    pub workers: Vec<Worker>,
    pub nodes: Vec<Node>,
    pub record: Record,
}

impl Cell {
    /// Opens a deployment and waits until all nodes are ready.
    pub fn open(
        folder: &Path,
        record: &Record,
        nodes: usize,
        workers: usize,
    ) -> Result<Self, String> {
        let failed = |error: std::io::Error| error.to_string();
        let (store, store_address) = Store::open(record).map_err(failed)?;
        store.put("op", "config", &configuration(1));
        let workers = (0..workers).map(|number| Worker::open(number, &store, record));
        let workers: Result<Vec<Worker>, _> = workers.collect();
        let mut cell = Self {
            store,
            workers: workers.map_err(failed)?,
            nodes: Vec::new(),
            record: record.clone(),
        };
        for number in 0..nodes {
            let node = Node::open(folder, number, store_address).map_err(failed)?;
            cell.nodes.push(node);
        }
        for _ in 0..1_000 {
            if cell.nodes.iter().all(Node::is_ready) {
                record.say("all nodes are ready");
                return Ok(cell);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err("the nodes do not become ready".to_owned())
    }
}

impl Node {
    fn open(folder: &Path, number: usize, store: SocketAddr) -> std::io::Result<Self> {
        let ports = free_ports(5)?;
        let settings = folder.join(format!("node-{number}.yaml"));
        std::fs::write(&settings, settings_text(number, &ports, store))?;
        let log = folder.join(format!("node-{number}.log"));
        let child = spawn(&settings, &log)?;
        PROCESSES.lock().expect("no holder panics").push(child.id());
        Ok(Self {
            front: ports[0],
            ready: ports[1],
            child,
        })
    }

    fn is_ready(&self) -> bool {
        let wait = Duration::from_millis(500);
        let answer = call(self.ready, "GET", "/readiness", &[], "", wait);
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Returns whether the process runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let mut processes = PROCESSES.lock().expect("no holder panics");
        processes.retain(|process| *process != self.child.id());
    }
}

fn spawn(settings: &Path, log: &Path) -> std::io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(PROGRAM)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// Returns addresses that nobody listens at.
fn free_ports(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let listeners: Result<Vec<TcpListener>, _> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect();
    listeners?.iter().map(TcpListener::local_addr).collect()
}

/// Returns what the platform makes of `deploy/node.yaml.template`, with the figures of the site.
fn settings_text(number: usize, ports: &[SocketAddr], store: SocketAddr) -> String {
    let (front, ready, link) = (ports[0], ports[1], ports[2]);
    let (metrics, advice) = (ports[3], ports[4]);
    format!(
        "node: \"edge-atl-hall-{number}\"\ndomain: \"atl-hall\"\nlisten: \"{front}\"\n\
         ready_listen: \"{ready}\"\nlink_listen: \"{link}\"\nstore: \"{store}\"\n\
         advice: \"{advice}\"\nlease_max_ms: 10000\nreport_ms: 1500\ncapacity_notice_ms: 3000\n\
         config_apply_ms: 2000\ndrain_ms: 2000\nstatus_s: 120\nrow_bytes: 65536\n\
         cpu_cores: 0.25\nlink_mbps: 1000.0\nmax_descriptors: 4100\n\
         metrics_listen: \"{metrics}\"\nplatform_features: [\"base\",\"drain\",\"config\",\
         \"cost\",\"recover\",\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\n"
    )
}

/// Returns a configuration with one queue.
fn configuration(version: u64) -> Json {
    let route = Json::map(vec![
        ("name", Json::text("r-lend")),
        ("host", Json::text(HOST)),
        ("path_prefix", Json::text(QUEUE)),
        ("type", Json::text("non_idempotent")),
        ("timeout_ms", Json::number(3_000)),
        ("target_latency_ms", Json::number(3_000)),
        ("priority", Json::number(1)),
        ("service", Json::text(SERVICE)),
        ("attempts", Json::number(ATTEMPTS)),
        ("stretch", Json::number(4)),
    ]);
    let service = Json::map(vec![
        ("name", Json::text(SERVICE)),
        ("health_path", Json::text("/health")),
        ("max_conns", Json::number(64)),
        ("protocol", Json::text("h1")),
        ("enforces_capacity", Json::Bool(false)),
    ]);
    let limits = Json::map(vec![("max_body_bytes", Json::number(262_144))]);
    Json::map(vec![
        ("version", Json::number(version)),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![service])),
        ("limits", limits),
    ])
}
