//! A small deployment: nodes as processes, workers, store, and clients.

use std::fs::{self, File};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::advice::{Advice, AdviceTerms};
use crate::http::call;
use crate::json::{object, Json};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{RunSpan, Spans, Terms, Worker, SERVICE};

/// Host that routes name.
pub const HOST: &str = "nony24.example";
/// How long the nodes may take to be ready.
const READY_MS: u64 = 10_000;
/// How long clients wait.
pub const DEADLINE_MS: u64 = 3_000;

/// A node's process.
pub struct Node {
    pub name: String,
    pub front: String,
    ready: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns free ports of a loopback address that this process alone uses, so that no connection takes
/// one before the node does.
fn free_addresses(host: &str) -> Vec<String> {
    let bind = |_| TcpListener::bind((host, 0)).expect("a free port");
    let listeners: Vec<TcpListener> = (0..4).map(bind).collect();
    let address = |one: &TcpListener| one.local_addr().expect("a bound address").to_string();
    listeners.iter().map(address).collect()
}

impl Node {
    /// Writes the settings of a node as the template of the deploy file does for a small site.
    fn new(folder: &Path, number: usize, store: &str, advice: &str) -> Self {
        let zone = ["a", "b", "c"][number % 3];
        let process = std::process::id();
        let host = format!(
            "127.{}.{}.{}",
            1 + process / 250 % 250,
            process % 250,
            10 + number
        );
        let addresses = free_addresses(&host);
        let node = Self {
            name: format!("edge-{zone}-{number}"),
            front: addresses[0].clone(),
            ready: addresses[1].clone(),
            settings: folder.join(format!("node-{number}.yaml")),
            log: folder.join(format!("node-{number}.log")),
            child: None,
        };
        let text = format!(
            "node: \"{}\"\ndomain: \"{zone}\"\nlisten: \"{}\"\nready_listen: \"{}\"\n\
             link_listen: \"{}\"\nstore: \"{store}\"\nadvice: \"{advice}\"\nlease_max_ms: 10000\n\
             report_ms: 1500\ncapacity_notice_ms: 3000\nconfig_apply_ms: 2000\ndrain_ms: 2000\n\
             status_s: 120\nrow_bytes: 65536\ncpu_cores: 0.25\nlink_mbps: 1000.0\n\
             max_descriptors: 4100\nmemory_mb: 260\nmetrics_listen: \"{}\"\n\
             platform_features: [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\
             \"platform\",\"advice\",\"upkeep\",\"sharing\"]\n",
            node.name, node.front, node.ready, addresses[2], addresses[3],
        );
        fs::write(&node.settings, text).expect("a writable folder");
        node
    }

    /// Starts the process.
    pub fn start(&mut self, record: &Record) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let child = Command::new("target/release/chervilfall-node")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the program was built and starts"));
        record.line(&format!("node {} starts", self.name));
    }

    /// Sends a signal to the process.
    pub fn signal(&mut self, name: &str, record: &Record) {
        let Some(child) = &mut self.child else {
            return;
        };
        record.line(&format!("node {} gets SIG{name}", self.name));
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(child.id().to_string())
            .status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "a signal is sent"
        );
        if name == "KILL" {
            let _ = child.wait();
            self.child = None;
        }
    }

    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// Returns whether the platform would send callers here.
    pub fn is_ready(&self) -> bool {
        let wait = Duration::from_millis(500);
        let asked = call(&self.ready, "GET", "/readiness", &[], None, wait);
        asked.is_some_and(|(status, _)| status == 200)
    }

    /// Returns what the process has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // One that has ended already is what is wanted.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A queue of the configuration.
#[derive(Clone, Copy)]
pub struct Queue {
    pub name: &'static str,
    pub priority: u64,
    pub attempts: u64,
    pub target_latency_ms: u64,
    /// Set if the queue needs advice.
    pub advice: Option<AdviceTerms>,
}

impl Queue {
    pub fn prefix(&self) -> String {
        format!("/{}/", self.name)
    }
}

/// A small deployment.
pub struct Cluster {
    pub record: Record,
    pub store: Store,
    pub nodes: Vec<Node>,
    pub workers: Vec<Worker>,
    pub spans: Spans,
    advice: Option<Advice>,
    folder: PathBuf,
}

impl Cluster {
    /// Opens a deployment whose nodes are not started yet.
    pub fn open(record: Record, queues: &[Queue], nodes: usize, advice: Option<Advice>) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::open();
        let routes = queues.iter().map(|queue| {
            let mut route = vec![
                ("name", queue.name.into()),
                ("host", HOST.into()),
                ("path_prefix", queue.prefix().into()),
                ("type", "non_idempotent".into()),
                ("timeout_ms", 3_000.into()),
                ("target_latency_ms", queue.target_latency_ms.into()),
                ("priority", queue.priority.into()),
                ("service", SERVICE.into()),
                ("attempts", queue.attempts.into()),
                ("stretch", Json::Number(2.2)),
            ];
            if let Some(terms) = queue.advice {
                let terms = object(&[
                    ("decide_ms", Json::Number(terms.decide_ms)),
                    ("each_ms", Json::Number(terms.each_ms)),
                    ("valid_ms", terms.valid_ms.into()),
                ]);
                route.push(("advice", terms));
            }
            object(&route)
        });
        let service = object(&[
            ("name", SERVICE.into()),
            ("health_path", "/health".into()),
            ("max_conns", 64.into()),
            ("protocol", "h1".into()),
            ("tls", Json::Bool(false)),
            ("enforces_capacity", Json::Bool(false)),
            ("spare", Json::Bool(false)),
        ]);
        let limits = object(&[
            ("max_header_bytes", 16_384.into()),
            ("max_body_bytes", 262_144.into()),
            ("header_timeout_ms", 3_000.into()),
            ("idle_timeout_ms", 15_000.into()),
        ]);
        let configuration = object(&[
            ("version", 7.into()),
            ("routes", routes.collect::<Vec<Json>>().into()),
            ("services", vec![service].into()),
            ("limits", limits),
        ]);
        store.put("op", "config", Some(&configuration));
        let address = store.address();
        let nodes = (0..nodes).map(|number| {
            let serve = |advice: &Advice| advice.serve(&format!("machine {number}")).address();
            let advice = advice.as_ref().map_or("127.0.0.1:9".to_owned(), serve);
            Node::new(&folder, number, &address, &advice)
        });
        Self {
            nodes: nodes.collect(),
            record,
            store,
            workers: Vec::new(),
            spans: Arc::new(Mutex::new(Vec::new())),
            advice,
            folder,
        }
    }

    /// Adds a worker.
    pub fn add_worker(&mut self, id: &str, cpu: u64) {
        let number = self.workers.len();
        let terms = Terms {
            id: id.to_owned(),
            zone: ["a", "b", "c"][number % 3].to_owned(),
            rack: format!("r1-{}", number % 3),
            cpu,
            mem_mb: 32_768,
        };
        let worker = Worker::open(
            terms,
            &self.store,
            &self.record,
            &self.spans,
            self.advice.clone(),
        );
        self.workers.push(worker);
    }

    /// Starts a node that does not run.
    pub fn start_node(&mut self, number: usize) {
        let record = self.record.clone();
        self.nodes[number].start(&record);
    }

    /// Sends a signal to a node.
    pub fn signal_node(&mut self, number: usize, name: &str) {
        let record = self.record.clone();
        self.nodes[number].signal(name, &record);
    }

    /// Starts all nodes and waits until they are ready; returns whether they are in time.
    pub fn start(&mut self) -> bool {
        for node in &mut self.nodes {
            node.start(&self.record);
        }
        let nodes = &self.nodes;
        let ready = wait_until(READY_MS, || nodes.iter().all(Node::is_ready));
        if !ready {
            for node in nodes {
                let lines = node.log();
                let lines = lines
                    .lines()
                    .filter(|line| !line.contains("unknown platform feature"));
                let first = lines.take(30).collect::<Vec<&str>>().join("\n    ");
                self.record
                    .line(&format!("log of {}:\n    {first}", node.name));
            }
        }
        ready
    }

    /// Makes a client's call at a node, and records it; none if there is no answer.
    pub fn call(
        &self,
        node: usize,
        method: &str,
        queue: &Queue,
        id: &str,
        body: Option<&Json>,
    ) -> Option<(u16, Json)> {
        let node = &self.nodes[node];
        let path = queue.prefix() + id;
        let headers = [
            ("Host", HOST.to_owned()),
            ("Request-Deadline", DEADLINE_MS.to_string()),
        ];
        let wait = Duration::from_millis(DEADLINE_MS);
        let answer = call(&node.front, method, &path, &headers, body, wait);
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.record.line(&format!(
            "client: {method} {path} at {}: {shown}",
            node.name
        ));
        answer
    }

    /// Hands a job in as a client does, with retries at the nodes in turn; returns whether it was
    /// accepted.
    pub fn submit(&self, queue: &Queue, id: &str, body: &Json) -> bool {
        for attempt in 0..5 {
            let node = attempt % self.nodes.len();
            let answer = self.call(node, "POST", queue, id, Some(body));
            if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
                return true;
            }
            thread::sleep(Duration::from_millis(500));
        }
        false
    }

    /// Asks for a job's state at the nodes in turn.
    pub fn state(&self, queue: &Queue, id: &str) -> Option<String> {
        for node in 0..self.nodes.len() {
            if !self.nodes[node].runs() {
                continue;
            }
            let answer = self.call(node, "GET", queue, id, None);
            if let Some((200, body)) = answer {
                return Some(body.get("state").text().to_owned());
            }
        }
        None
    }

    /// Returns the worker that runs a task.
    pub fn worker_of(&self, task: &str) -> Option<&Worker> {
        let mut workers = self.workers.iter();
        workers.find(|worker| worker.tasks().iter().any(|there| there == task))
    }

    /// Returns all runs of a task.
    pub fn runs_of(&self, task: &str) -> Vec<RunSpan> {
        let spans = self.spans.lock().expect("no panic");
        spans
            .iter()
            .filter(|span| span.task == task)
            .cloned()
            .collect()
    }

    /// Returns the node that holds the group, as its own log tells.
    pub fn holder(&self) -> Option<usize> {
        let claims = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.runs());
        let terms = claims.filter_map(|(number, node)| Some((last_term(&node.log())?, number)));
        terms.max().map(|(_, number)| number)
    }

    /// Returns the version of the row that each commit of the holder changes.
    pub fn holder_version(&self) -> u64 {
        self.store.version("claims", "group-0", "holder")
    }

    /// Copies the nodes' logs beside the record if `KEEP_LOGS` names a folder.
    pub fn keep_logs(&self) {
        if let Ok(folder) = std::env::var("KEEP_LOGS") {
            for node in &self.nodes {
                let _ = fs::copy(
                    &node.log,
                    Path::new(&folder).join(format!("{}.log", node.name)),
                );
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the term of the last claim that a log tells of.
fn last_term(log: &str) -> Option<u64> {
    let claims = log
        .lines()
        .rev()
        .find(|line| line.contains("\"group taken over\""))?;
    let line = Json::parse(claims)?;
    line.get("term").number()
}

/// Creates a job.
pub fn job(spec: &str, step: &[(&str, Json)]) -> Json {
    object(&[("spec", spec.into()), ("steps", vec![object(step)].into())])
}

/// Waits for a condition; returns whether it came true in time.
pub fn wait_until(most_ms: u64, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + Duration::from_millis(most_ms);
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    condition()
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
