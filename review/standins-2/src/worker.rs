//! A worker: runs what it is told to start, under a lease, and lists what runs and what has ended.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::advice::Advice;
use crate::http::{Request, Response, Server};
use crate::json::{object, Json};
use crate::record::Record;
use crate::store::Store;

/// Interval between reports.
pub const HEARTBEAT_MS: u64 = 1_500;
/// Longest lease.
const HOLD_MAX_MS: u64 = 10_000;
/// Duration of a stop.
const STOP_MS: u64 = 100;
/// Ends in a list.
const MAX_ENDS: usize = 500;
/// Name of the service.
pub const SERVICE: &str = "pool";

/// A run on a worker, as its service's users see it.
#[derive(Debug, Clone)]
pub struct RunSpan {
    pub task: String,
    pub began_ms: u64,
    /// When and how it ended.
    pub ended: Option<(u64, &'static str)>,
}

/// All runs on all workers, in order of their starts.
pub type Spans = Arc<Mutex<Vec<RunSpan>>>;

struct Run {
    run: u64,
    began: Instant,
    /// Time after which it is done; none if it lasts.
    lasts: Option<Duration>,
    stopped: Option<Instant>,
    span: usize,
}

struct State {
    seq: u64,
    fence: u64,
    lease_until_ms: u64,
    runs: BTreeMap<String, Run>,
    /// Highest run of a task that was stopped or has ended here.
    over: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    gone: bool,
}

/// What a worker is made of.
#[derive(Clone)]
pub struct Terms {
    pub id: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub mem_mb: u64,
}

/// A running worker.
#[derive(Clone)]
pub struct Worker {
    pub terms: Terms,
    state: Arc<Mutex<State>>,
    began: Instant,
    store: Store,
    record: Record,
    spans: Spans,
    server: Arc<Mutex<Option<Server>>>,
    /// Checks tickets, if starts need one.
    advice: Option<Advice>,
}

fn reason(clock_ms: u64, reason: &str) -> Response {
    let body = [("clock_ms", clock_ms.into()), ("reason", reason.into())];
    Some((409, object(&body)))
}

impl Worker {
    pub fn open(
        terms: Terms,
        store: &Store,
        record: &Record,
        spans: &Spans,
        advice: Option<Advice>,
    ) -> Self {
        let worker = Self {
            terms,
            state: Arc::new(Mutex::new(State {
                seq: 0,
                fence: 0,
                lease_until_ms: 0,
                runs: BTreeMap::new(),
                over: BTreeMap::new(),
                ended: Vec::new(),
                next_end: 1,
                gone: false,
            })),
            began: Instant::now(),
            store: store.clone(),
            record: record.clone(),
            spans: Arc::clone(spans),
            server: Arc::default(),
            advice,
        };
        let serving = worker.clone();
        let server = Server::open("127.0.0.1:0", move |request| serving.answer(&request));
        *worker.server.lock().expect("no panic") = Some(server);
        let ticking = worker.clone();
        thread::spawn(move || ticking.tick());
        let reporting = worker.clone();
        thread::spawn(move || reporting.report());
        worker
    }

    /// The worker crashes for good: what it ran is gone, its port refuses, its entry goes later.
    pub fn crash(&self) {
        let mut state = self.state.lock().expect("no panic");
        state.gone = true;
        let tasks: Vec<String> = state.runs.keys().cloned().collect();
        for task in tasks {
            self.end(&mut state, &task, "crashed");
        }
        drop(state);
        self.record
            .line(&format!("worker {} crashes for good", self.terms.id));
        if let Some(server) = self.server.lock().expect("no panic").take() {
            server.close();
        }
        let (store, id) = (self.store.clone(), self.terms.id.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3 * HEARTBEAT_MS));
            store.put("servers", &id, None);
        });
    }

    pub fn is_gone(&self) -> bool {
        self.state.lock().expect("no panic").gone
    }

    /// Returns the tasks that run here.
    pub fn tasks(&self) -> Vec<String> {
        let state = self.state.lock().expect("no panic");
        state.runs.keys().cloned().collect()
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).expect("a short run") + 1_000
    }

    fn report(&self) {
        loop {
            let seq = {
                let mut state = self.state.lock().expect("no panic");
                if state.gone {
                    return;
                }
                state.seq += 1;
                state.seq
            };
            let server = self.server.lock().expect("no panic").clone();
            let address = server.map(|server| server.address()).unwrap_or_default();
            let terms = &self.terms;
            let capacity = [
                ("cpu", terms.cpu.into()),
                ("mem_mb", terms.mem_mb.into()),
                ("gpu", 0.into()),
            ];
            let entry = object(&[
                ("service", SERVICE.into()),
                ("address", address.into()),
                ("zone", terms.zone.as_str().into()),
                ("version", "v1".into()),
                ("slots", 8.into()),
                ("state", "ready".into()),
                ("cold_left_ms", 0.into()),
                ("capacity", object(&capacity)),
                (
                    "labels",
                    vec!["a".into(), terms.rack.as_str().into()].into(),
                ),
                ("clock_ms", self.clock_ms().into()),
                ("seq", seq.into()),
            ]);
            if !self.is_gone() {
                self.store.put("servers", &terms.id, Some(&entry));
            }
            thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        }
    }

    fn tick(&self) {
        loop {
            thread::sleep(Duration::from_millis(2));
            let mut state = self.state.lock().expect("no panic");
            if state.gone {
                return;
            }
            let lapsed = self.clock_ms() > state.lease_until_ms;
            let over = state.runs.iter().filter_map(|(task, run)| {
                let stopped = run
                    .stopped
                    .is_some_and(|at| at.elapsed() >= Duration::from_millis(STOP_MS));
                let done = run.lasts.is_some_and(|lasts| run.began.elapsed() >= lasts);
                let how = if lapsed {
                    "lapsed"
                } else if stopped {
                    "stopped"
                } else if done {
                    "done"
                } else {
                    return None;
                };
                Some((task.clone(), how))
            });
            let over: Vec<(String, &'static str)> = over.collect();
            for (task, how) in over {
                self.end(&mut state, &task, how);
            }
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        let number = state.next_end;
        state.next_end += 1;
        state.over.insert(task.to_owned(), run.run);
        state.ended.push((number, task.to_owned(), run.run, how));
        let now_ms = self.record.now_ms();
        self.spans.lock().expect("no panic")[run.span].ended = Some((now_ms, how));
        let id = &self.terms.id;
        self.record
            .line(&format!("{id}: {task} run {} ends: {how}", run.run));
    }

    fn answer(&self, request: &Request) -> Response {
        if self.is_gone() {
            return None;
        }
        if request.headers.get("target-instance") != Some(&self.terms.id) {
            return Some((421, object(&[("clock_ms", self.clock_ms().into())])));
        }
        let body = request.json();
        match request.path.as_str() {
            "/run-start" => self.start(&body),
            "/run-stop" => self.stop(&body),
            "/hold" => self.hold(&body),
            _ => Some((404, Json::Null)),
        }
    }

    fn extend_lease(state: &mut State, clock_ms: u64, body: &Json) {
        if let Some(until_ms) = body.get("until_ms").number() {
            let until_ms = until_ms.min(clock_ms + HOLD_MAX_MS);
            state.lease_until_ms = state.lease_until_ms.max(until_ms);
        }
    }

    fn start(&self, body: &Json) -> Response {
        let clock_ms = self.clock_ms();
        let mut state = self.state.lock().expect("no panic");
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number().unwrap_or(0);
        let fence = body.get("fence").number().unwrap_or(0);
        if fence < state.fence {
            return reason(clock_ms, "fence");
        }
        state.fence = fence;
        if body.get("until_ms").number().unwrap_or(0) < clock_ms {
            return reason(clock_ms, "late");
        }
        Self::extend_lease(&mut state, clock_ms, body);
        let ticket = body.get("ticket").text();
        let may_run = |advice: &Advice| advice.accepts(&task, &self.terms.id, ticket);
        if !self.advice.as_ref().is_none_or(may_run) {
            let id = &self.terms.id;
            self.record.line(&format!(
                "{id}: {task} run {run} is rejected: ticket {ticket:?}"
            ));
            return reason(clock_ms, "ticket");
        }
        let there = state.runs.get(&task).map(|there| there.run);
        let over = state.over.get(&task).copied().unwrap_or(0);
        if there != Some(run) {
            if run <= over || there.is_some() {
                return reason(clock_ms, "old");
            }
            let spec = body.get("spec").text();
            let lasts = spec
                .strip_prefix("ms=")
                .and_then(|rest| rest.split(';').next());
            let lasts = lasts.and_then(|ms| ms.parse().ok());
            let mut spans = self.spans.lock().expect("no panic");
            spans.push(RunSpan {
                task: task.clone(),
                began_ms: self.record.now_ms(),
                ended: None,
            });
            let started = Run {
                run,
                began: Instant::now(),
                lasts: lasts.map(Duration::from_millis),
                stopped: None,
                span: spans.len() - 1,
            };
            let id = &self.terms.id;
            self.record
                .line(&format!("{id}: {task} run {run} starts, fence {fence}"));
            state.runs.insert(task, started);
        }
        Some((200, object(&[("clock_ms", clock_ms.into())])))
    }

    fn stop(&self, body: &Json) -> Response {
        let clock_ms = self.clock_ms();
        let mut state = self.state.lock().expect("no panic");
        let task = body.get("task").text().to_owned();
        let run = body.get("run").number().unwrap_or(0);
        let fence = body.get("fence").number().unwrap_or(0);
        if fence < state.fence {
            return reason(clock_ms, "fence");
        }
        state.fence = fence;
        let over = state.over.entry(task.clone()).or_default();
        *over = (*over).max(run);
        if let Some(there) = state.runs.get_mut(&task).filter(|there| there.run <= run) {
            there.stopped.get_or_insert_with(Instant::now);
        }
        Some((200, object(&[("clock_ms", clock_ms.into())])))
    }

    fn hold(&self, body: &Json) -> Response {
        let fence = body.get("fence").number().unwrap_or(0);
        let wait = Duration::from_millis(body.get("wait_ms").number().unwrap_or(0));
        let until = Instant::now() + wait;
        {
            let clock_ms = self.clock_ms();
            let mut state = self.state.lock().expect("no panic");
            if fence < state.fence {
                return reason(clock_ms, "fence");
            }
            state.fence = fence;
            Self::extend_lease(&mut state, clock_ms, body);
            let cursor = body.get("ack_cursor").number().unwrap_or(0);
            state.ended.retain(|(number, ..)| *number > cursor);
        }
        loop {
            let state = self.state.lock().expect("no panic");
            if state.gone {
                return None;
            }
            if !state.ended.is_empty() || Instant::now() >= until {
                return Some((200, self.lists(&state)));
            }
            drop(state);
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn lists(&self, state: &State) -> Json {
        let running = state.runs.iter().map(|(task, run)| {
            let row = vec![
                task.as_str().into(),
                run.run.into(),
                "".into(),
                100.into(),
                100.into(),
            ];
            Json::List(row)
        });
        let ended = state.ended.iter().take(MAX_ENDS);
        let ended = ended.map(|(number, task, run, how)| {
            let row = vec![
                (*number).into(),
                task.as_str().into(),
                (*run).into(),
                (*how).into(),
                "".into(),
            ];
            Json::List(row)
        });
        object(&[
            ("clock_ms", self.clock_ms().into()),
            ("running", running.collect::<Vec<Json>>().into()),
            ("ended", ended.collect::<Vec<Json>>().into()),
        ])
    }
}
