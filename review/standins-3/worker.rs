//! Workers: they run tasks as the pages describe, report themselves in the store, and can crash.
//!
//! The text of a job (`spec`) says what its tasks do: for each step how many milliseconds a task works, 0 for
//! one that lasts until it is stopped, separated by commas.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Listener, Request};
use crate::json::{quoted, Json};
use crate::record::Record;
use crate::store::Store;

/// Interval between reports.
const REPORT_MS: u64 = 1_500;
/// Silence after which the store removes an entry: three reports.
const LISTED_MS: u64 = 3 * REPORT_MS;
/// Longest lease.
const HOLD_MAX_MS: u64 = 10_000;
/// Most ends of a list.
const LISTED_ENDS: usize = 500;
/// Time that a stop takes.
const STOP_MS: u64 = 50;
/// How exactly ends and lapses are seen.
const STEP: Duration = Duration::from_millis(3);

/// What a worker is, whatever life it is in.
#[derive(Clone)]
pub struct Machine {
    pub number: usize,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub memory_mb: u64,
}

#[derive(Clone)]
struct Run {
    run: u64,
    /// When it ends by itself; none if it lasts.
    until: Option<Instant>,
    /// When it has been stopped.
    stops: Option<Instant>,
}

struct Life {
    id: String,
    began: Instant,
    fence: u64,
    /// End of the lease, by this worker's clock.
    lease_ms: u64,
    running: BTreeMap<String, Run>,
    /// Highest run of a task that was stopped or has ended.
    over: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    alive: bool,
}

/// A worker.
pub struct Worker {
    pub machine: Machine,
    service: String,
    life: Mutex<Option<(Arc<(Mutex<Life>, Condvar)>, Listener)>>,
    lives: Mutex<u64>,
    store: Store,
    record: Record,
}

impl Worker {
    pub fn new(machine: Machine, service: &str, store: &Store, record: &Record) -> Arc<Self> {
        let worker = Arc::new(Self {
            machine,
            service: service.to_owned(),
            life: Mutex::new(None),
            lives: Mutex::new(0),
            store: store.clone(),
            record: record.clone(),
        });
        worker.start();
        worker
    }

    /// Begins a life with a name of its own.
    pub fn start(self: &Arc<Self>) {
        let mut lives = self.lives.lock().unwrap();
        *lives += 1;
        let id = format!(
            "i-{:02}{:04x}",
            self.machine.number,
            0x1a2b + *lives * 0x101
        );
        let life = Life {
            id: id.clone(),
            // The steady clock of each life shows something else.
            began: Instant::now(),
            fence: 0,
            lease_ms: 0,
            running: BTreeMap::new(),
            over: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            alive: true,
        };
        let life = Arc::new((Mutex::new(life), Condvar::new()));
        let (own, record, name) = (Arc::clone(&life), self.record.clone(), id.clone());
        let handle = move |request: Request| answer(&own, &record, &name, &request);
        let listener = Listener::open(self.machine.address, handle);
        let listener = listener.unwrap_or_else(|error| {
            eprintln!("a worker's address cannot be bound: {error}");
            std::process::exit(2)
        });
        self.record
            .line(&format!("worker {} begins as {id}", self.machine.number));
        *self.life.lock().unwrap() = Some((Arc::clone(&life), listener));
        let worker = Arc::clone(self);
        let reported = Arc::clone(&life);
        thread::spawn(move || worker.report(&reported));
        let record = self.record.clone();
        thread::spawn(move || step(&life, &record));
    }

    /// Crashes: what runs is gone, connections end, and the entry stays until the store removes it.
    pub fn crash(&self) {
        let Some((life, listener)) = self.life.lock().unwrap().take() else {
            return;
        };
        listener.close();
        let mut life = life.0.lock().unwrap();
        life.alive = false;
        let lost: Vec<&str> = life.running.keys().map(String::as_str).collect();
        self.record.line(&format!(
            "worker {} ({}) crashes, with it: {}",
            self.machine.number,
            life.id,
            lost.join(" ")
        ));
        life.running.clear();
    }

    pub fn is_up(&self) -> bool {
        self.life.lock().unwrap().is_some()
    }

    /// Returns the tasks that run there now.
    pub fn running(&self) -> Vec<String> {
        let life = self.life.lock().unwrap();
        let Some((life, _)) = life.as_ref() else {
            return Vec::new();
        };
        let life = life.0.lock().unwrap();
        life.running.keys().cloned().collect()
    }

    fn report(&self, life: &(Mutex<Life>, Condvar)) {
        let id = life.0.lock().unwrap().id.clone();
        let mut seq = 0;
        loop {
            seq += 1;
            {
                let life = life.0.lock().unwrap();
                if !life.alive {
                    break;
                }
                let labels = self.machine.labels.iter().map(|label| quoted(label));
                let labels: Vec<String> = labels.collect();
                let entry = format!(
                    "{{\"service\":{},\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
                     \"state\":\"ready\",\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}},\
                     \"labels\":[{}],\"clock_ms\":{},\"seq\":{seq}}}",
                    quoted(&self.service),
                    self.machine.address,
                    self.machine.zone,
                    self.machine.cpu,
                    self.machine.memory_mb,
                    labels.join(","),
                    clock_ms(&life),
                );
                self.store.put("servers", &id, &entry);
            }
            for _ in 0..REPORT_MS / 10 {
                thread::sleep(Duration::from_millis(10));
                if !life.0.lock().unwrap().alive {
                    break;
                }
            }
        }
        thread::sleep(Duration::from_millis(LISTED_MS));
        self.store.remove("servers", &id);
    }
}

fn clock_ms(life: &Life) -> u64 {
    life.began.elapsed().as_millis() as u64 + 1_000_000
}

/// Ends runs that are over, have been stopped or have lost their lease.
fn step(life: &(Mutex<Life>, Condvar), record: &Record) {
    loop {
        thread::sleep(STEP);
        let mut own = life.0.lock().unwrap();
        if !own.alive {
            return;
        }
        let now = Instant::now();
        let lapsed = clock_ms(&own) > own.lease_ms;
        let over = own.running.iter().filter_map(|(task, run)| {
            let how = if run.stops.is_some_and(|at| at <= now) {
                "stopped"
            } else if run.until.is_some_and(|at| at <= now) {
                "done"
            } else if lapsed {
                "lapsed"
            } else {
                return None;
            };
            Some((task.clone(), run.run, how))
        });
        let over: Vec<(String, u64, &'static str)> = over.collect();
        for (task, run, how) in over {
            record.end(&own.id, &task, run, how);
            own.running.remove(&task);
            own.over.insert(task.clone(), run);
            let number = own.next_end;
            own.next_end += 1;
            own.ended.push((number, task, run, how));
            life.1.notify_all();
        }
    }
}

fn conflict(life: &Life, reason: &str) -> Answer {
    (
        409,
        format!(
            "{{\"clock_ms\":{},\"reason\":\"{reason}\"}}",
            clock_ms(life)
        ),
    )
}

fn answer(life: &(Mutex<Life>, Condvar), record: &Record, id: &str, request: &Request) -> Answer {
    if request.path == "/health" {
        return (200, "{}".to_owned());
    }
    if request
        .headers
        .get("target-instance")
        .is_some_and(|target| target != id)
    {
        return (421, "{}".to_owned());
    }
    let Some(body) = Json::parse(&request.body) else {
        return (400, "{}".to_owned());
    };
    let mut own = life.0.lock().unwrap();
    if !own.alive {
        return (503, "{}".to_owned());
    }
    let fence = body.get("fence").number().unwrap_or(0);
    if fence < own.fence {
        return conflict(&own, "fence");
    }
    own.fence = fence;
    if let Some(until_ms) = body.get("until_ms").number() {
        let until_ms = until_ms.min(clock_ms(&own) + HOLD_MAX_MS);
        own.lease_ms = own.lease_ms.max(until_ms);
    }
    match request.path.as_str() {
        "/run-start" => start(&mut own, record, &body),
        "/run-stop" => stop(&mut own, &body),
        "/hold" => {
            let acknowledged = body.get("ack_cursor").number().unwrap_or(0);
            own.ended.retain(|(number, ..)| *number > acknowledged);
            let wait_ms = body.get("wait_ms").number().unwrap_or(0).min(2_000);
            let until = Instant::now() + Duration::from_millis(wait_ms);
            while own.ended.is_empty() && Instant::now() < until {
                let left = until.saturating_duration_since(Instant::now());
                own = life.1.wait_timeout(own, left).unwrap().0;
            }
            (200, lists(&own))
        }
        _ => (400, "{}".to_owned()),
    }
}

fn start(own: &mut Life, record: &Record, body: &Json) -> Answer {
    let task = body.get("task").text().to_owned();
    let run = body.get("run").number().unwrap_or(0);
    let there = own.running.get(&task).map(|there| there.run);
    if there != Some(run) {
        let highest = own.over.get(&task).copied().max(there);
        if highest.is_some_and(|highest| run <= highest) {
            return conflict(own, "old");
        }
        if body.get("until_ms").number().unwrap_or(0) <= clock_ms(own) {
            return conflict(own, "late");
        }
        let step: usize = task
            .split('.')
            .nth(2)
            .and_then(|step| step.parse().ok())
            .unwrap_or(0);
        let work_ms = body.get("spec").text().split(',').nth(step);
        let work_ms: u64 = work_ms.and_then(|ms| ms.parse().ok()).unwrap_or(1_000);
        let until = (work_ms > 0).then(|| Instant::now() + Duration::from_millis(work_ms));
        record.start(&own.id, &task, run);
        own.running.insert(
            task,
            Run {
                run,
                until,
                stops: None,
            },
        );
    }
    (200, format!("{{\"clock_ms\":{}}}", clock_ms(own)))
}

fn stop(own: &mut Life, body: &Json) -> Answer {
    let task = body.get("task").text().to_owned();
    let run = body.get("run").number().unwrap_or(0);
    match own.running.get_mut(&task) {
        Some(there) if there.run == run => {
            let at = Instant::now() + Duration::from_millis(STOP_MS);
            there.stops = Some(there.stops.unwrap_or(at));
        }
        _ => {
            let over = own.over.entry(task).or_insert(run);
            *over = (*over).max(run);
        }
    }
    (200, format!("{{\"clock_ms\":{}}}", clock_ms(own)))
}

fn lists(own: &Life) -> String {
    let running = own.running.iter();
    let running: Vec<String> = running
        .map(|(task, run)| format!("[\"{task}\",{},\"\",100]", run.run))
        .collect();
    let ended = own.ended.iter().take(LISTED_ENDS);
    let ended: Vec<String> = ended
        .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
        .collect();
    format!(
        "{{\"clock_ms\":{},\"running\":[{}],\"ended\":[{}]}}",
        clock_ms(own),
        running.join(","),
        ended.join(",")
    )
}
