//! A worker: runs tasks under leases, and answers starts, stops and holds.
//!
//! The text of a job says what its tasks do: with `work_ms=N` each works for that long and ends
//! `done`; with `fails_ms=N` each fails after between half of that and one and a half times as much,
//! or never if that is 0.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use crate::http::{serve, Reply, Request};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// Time between two reports of a worker about itself.
const HEARTBEAT_MS: u64 = 1_500;
/// Longest lease.
const HOLD_MAX_MS: u64 = 10_000;
/// Time that a stop takes.
const STOP_MS: u64 = 100;
/// Most ends in one answer to a hold; the others follow once these are acknowledged.
const LISTED_ENDS: usize = 500;
/// Name of the service.
pub const SERVICE: &str = "loan-router";
/// Capacity of a worker.
pub const CPU: u64 = 16_000;
const MEM_MB: u64 = 32_768;

/// A run of a task on a worker.
#[derive(Debug, Clone)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub began_ms: u64,
    pub ended_ms: Option<u64>,
    /// How it ended.
    pub how: &'static str,
    /// When `ack_cursor` reached its end, unless the worker's lease lapsed before.
    pub acknowledged_ms: Option<u64>,
}

struct Running {
    /// When it ends by itself, and how; none if it does not.
    ends: Option<(u64, &'static str)>,
    stops_ms: Option<u64>,
    /// Position in the list of all runs.
    index: usize,
}

struct End {
    number: u64,
    index: usize,
    /// The lease has lapsed since.
    lapsed: bool,
}

struct State {
    id: String,
    fence: u64,
    until_ms: u64,
    lapsed: bool,
    running: BTreeMap<(String, u64), Running>,
    ended: Vec<End>,
    next_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    barred: BTreeMap<String, u64>,
    next_beat_ms: u64,
    beats: u64,
    runs: Vec<Run>,
}

/// A handle on a worker.
#[derive(Clone)]
pub struct Worker {
    number: usize,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
}

impl Worker {
    /// Opens a worker at a free port.
    pub fn open(number: usize, store: &Store, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Self {
            number,
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                id: format!("i-{number:04x}0001"),
                fence: 0,
                until_ms: 0,
                lapsed: true,
                running: BTreeMap::new(),
                ended: Vec::new(),
                next_end: 1,
                barred: BTreeMap::new(),
                next_beat_ms: 0,
                beats: 0,
                runs: Vec::new(),
            })),
            store: store.clone(),
            record: record.clone(),
        };
        let served = worker.clone();
        serve(listener, move |request| served.handle(&request));
        let ticking = worker.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(2));
            ticking.tick();
        });
        Ok(worker)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no caller panics")
    }

    /// Returns all runs that it began.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns the number of ends that are not acknowledged.
    pub fn waiting_ends(&self) -> usize {
        self.lock().ended.len()
    }

    fn tick(&self) {
        let now = self.record.now_ms();
        let mut state = self.lock();
        if now >= state.next_beat_ms {
            state.next_beat_ms = now + HEARTBEAT_MS;
            state.beats += 1;
            let entry = self.entry(&state, now);
            let id = state.id.clone();
            drop(state);
            self.store.put("servers", &id, &entry);
            state = self.lock();
        }
        if now > state.until_ms && !state.lapsed {
            state.lapsed = true;
            for end in &mut state.ended {
                end.lapsed = true;
            }
        }
        let lapsed = state.lapsed;
        let over = state.running.iter().filter_map(|(name, running)| {
            let stopped = running.stops_ms.is_some_and(|at_ms| now >= at_ms);
            let how = if lapsed {
                "lapsed"
            } else if stopped {
                "stopped"
            } else if running.stops_ms.is_none() {
                running.ends.filter(|(at_ms, _)| now >= *at_ms)?.1
            } else {
                return None;
            };
            Some((name.clone(), how))
        });
        let over: Vec<_> = over.collect();
        for (name, how) in over {
            state.end(&name, how, now, lapsed);
            let text = format!("worker {}: {}/{} ends {how}", state.id, name.0, name.1);
            self.record.line(&text);
        }
    }

    fn entry(&self, state: &State, now: u64) -> Json {
        let capacity = Json::map(vec![
            ("cpu", Json::number(CPU)),
            ("mem_mb", Json::number(MEM_MB)),
            ("gpu", Json::number(0)),
        ]);
        let rack = format!("r1-{}", self.number / 8);
        Json::map(vec![
            ("service", Json::text(SERVICE)),
            ("address", Json::text(&self.address.to_string())),
            ("zone", Json::text("atl-hall")),
            ("version", Json::text("v1")),
            ("slots", Json::number(8)),
            ("state", Json::text("ready")),
            ("cold_left_ms", Json::number(0)),
            ("capacity", capacity),
            (
                "labels",
                Json::List(vec![Json::text("a"), Json::text(&rack)]),
            ),
            ("clock_ms", Json::number(now)),
            ("seq", Json::number(state.beats)),
        ])
    }

    fn handle(&self, request: &Request) -> Reply {
        let target = request.headers.get("target-instance");
        {
            let state = self.lock();
            if request.path == "/health" {
                return Reply(200, "{}".to_owned());
            }
            if target.is_some_and(|target| *target != state.id) {
                return Reply(421, "{}".to_owned());
            }
        }
        let Some(body) = Json::parse(&request.body) else {
            return Reply(400, "{}".to_owned());
        };
        match request.path.as_str() {
            "/run-start" => self.start(&body),
            "/run-stop" => self.stop(&body),
            "/hold" => self.hold(&body),
            _ => Reply(404, "{}".to_owned()),
        }
    }

    fn start(&self, body: &Json) -> Reply {
        let now = self.record.now_ms();
        let (task, run) = (body.str("task").to_owned(), body.u64("run").unwrap_or(0));
        let mut state = self.lock();
        let until_ms = body.u64("until_ms").unwrap_or(0);
        let answer = state.check_start(&task, run, body.u64("fence").unwrap_or(0), until_ms, now);
        if matches!(answer, Ok(true) | Err("old")) {
            state.extend(until_ms, now);
        }
        if answer == Ok(true) {
            let ends = own_end(body.str("spec"), &task, run);
            let ends = ends.map(|(after_ms, how)| (now + after_ms, how));
            state.begin(task.clone(), run, now, ends);
        }
        let told = answer.map_or_else(|reason| reason, |_| "accepted");
        let text = format!("worker {}: start {task}/{run}: {told}", state.id);
        drop(state);
        self.record.line(&text);
        answered(answer.map(|_| ()), now)
    }

    fn stop(&self, body: &Json) -> Reply {
        let now = self.record.now_ms();
        let (task, run) = (body.str("task").to_owned(), body.u64("run").unwrap_or(0));
        let mut state = self.lock();
        if !state.passes(body.u64("fence").unwrap_or(0)) {
            return answered(Err("fence"), now);
        }
        let barred = state.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(run);
        if let Some(running) = state.running.get_mut(&(task.clone(), run)) {
            running.stops_ms.get_or_insert(now + STOP_MS);
        }
        let text = format!("worker {}: stop {task}/{run}", state.id);
        drop(state);
        self.record.line(&text);
        answered(Ok(()), now)
    }

    fn hold(&self, body: &Json) -> Reply {
        let arrived_ms = self.record.now_ms();
        let wait_ms = body.u64("wait_ms").unwrap_or(0);
        {
            let mut state = self.lock();
            if !state.passes(body.u64("fence").unwrap_or(0)) {
                return answered(Err("fence"), arrived_ms);
            }
            if let Some(until_ms) = body.u64("until_ms") {
                state.extend(until_ms, arrived_ms);
            }
            state.acknowledge(body.u64("ack_cursor").unwrap_or(0), arrived_ms);
        }
        loop {
            let now = self.record.now_ms();
            let state = self.lock();
            if !state.ended.is_empty() || now >= arrived_ms + wait_ms {
                return Reply(200, state.lists(now).to_string());
            }
            drop(state);
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

impl State {
    /// Returns whether an order with this fence is carried out.
    fn passes(&mut self, fence: u64) -> bool {
        let passes = fence >= self.fence;
        self.fence = self.fence.max(fence);
        passes
    }

    /// Returns whether a start begins a run; false if the run is there already.
    fn check_start(
        &mut self,
        task: &str,
        run: u64,
        fence: u64,
        until_ms: u64,
        now: u64,
    ) -> Result<bool, &'static str> {
        if !self.passes(fence) {
            return Err("fence");
        }
        if self.running.contains_key(&(task.to_owned(), run)) {
            return Ok(false);
        }
        if self.barred.get(task).is_some_and(|barred| run <= *barred) {
            return Err("old");
        }
        if until_ms <= now {
            return Err("late");
        }
        Ok(true)
    }

    fn extend(&mut self, until_ms: u64, now: u64) {
        let until_ms = until_ms.min(now + HOLD_MAX_MS);
        if until_ms > self.until_ms {
            self.until_ms = until_ms;
        }
        if self.until_ms > now {
            self.lapsed = false;
        }
    }

    fn begin(&mut self, task: String, run: u64, now: u64, ends: Option<(u64, &'static str)>) {
        self.runs.push(Run {
            task: task.clone(),
            run,
            worker: self.id.clone(),
            began_ms: now,
            ended_ms: None,
            how: "running",
            acknowledged_ms: None,
        });
        let running = Running {
            ends,
            stops_ms: None,
            index: self.runs.len() - 1,
        };
        self.running.insert((task, run), running);
    }

    fn end(&mut self, name: &(String, u64), how: &'static str, now: u64, lapsed: bool) {
        let Some(running) = self.running.remove(name) else {
            return;
        };
        let run = &mut self.runs[running.index];
        (run.ended_ms, run.how) = (Some(now), how);
        let barred = self.barred.entry(name.0.clone()).or_default();
        *barred = (*barred).max(name.1);
        self.ended.push(End {
            number: self.next_end,
            index: running.index,
            lapsed,
        });
        self.next_end += 1;
    }

    fn acknowledge(&mut self, cursor: u64, now: u64) {
        for end in self.ended.iter().filter(|end| end.number <= cursor) {
            if !end.lapsed {
                self.runs[end.index].acknowledged_ms = Some(now);
            }
        }
        self.ended.retain(|end| end.number > cursor);
    }

    fn lists(&self, now: u64) -> Json {
        let running = self.running.keys().map(|(task, run)| {
            let (task, run) = (Json::text(task), Json::number(*run));
            let (saved, percent, rough) = (Json::text(""), Json::number(100), Json::number(100));
            Json::List(vec![task, run, saved, percent, rough])
        });
        let ended = self.ended.iter().take(LISTED_ENDS).map(|end| {
            let run = &self.runs[end.index];
            let (number, task) = (Json::number(end.number), Json::text(&run.task));
            let (run, how) = (Json::number(run.run), Json::text(run.how));
            Json::List(vec![number, task, run, how, Json::text("")])
        });
        Json::map(vec![
            ("clock_ms", Json::number(now)),
            ("running", Json::List(running.collect())),
            ("ended", Json::List(ended.collect())),
        ])
    }
}

fn answered(answer: Result<(), &'static str>, now: u64) -> Reply {
    let clock_ms = ("clock_ms", Json::number(now));
    match answer {
        Ok(()) => Reply(200, Json::map(vec![clock_ms]).to_string()),
        Err(reason) => {
            let answer = Json::map(vec![clock_ms, ("reason", Json::text(reason))]);
            Reply(409, answer.to_string())
        }
    }
}

/// Returns after what time a run ends by itself, and how; none if it does not.
fn own_end(spec: &str, task: &str, run: u64) -> Option<(u64, &'static str)> {
    let (what, time_ms) = spec.split_once('=')?;
    let time_ms: u64 = time_ms.parse().ok()?;
    match what {
        "work_ms" => Some((time_ms, "done")),
        "fails_ms" if time_ms > 0 => {
            let letters = task.bytes().chain(run.to_le_bytes());
            let hash = letters.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
            });
            Some((time_ms / 2 + (hash >> 20) % time_ms, "failed"))
        }
        _ => None,
    }
}
