//! The advice service: says which workers may run a step, one call at a time for each machine.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response, Server};
use crate::json::{object, Json};
use crate::record::Record;

/// What the queue's configuration says of advice.
#[derive(Clone, Copy)]
pub struct AdviceTerms {
    pub decide_ms: f64,
    pub each_ms: f64,
    pub valid_ms: u64,
}

/// Says whether a job's steps may run on a worker.
pub type Policy = fn(job: &str, worker: &str) -> bool;

/// The service.
#[derive(Clone)]
pub struct Advice {
    terms: AdviceTerms,
    policy: Policy,
    record: Record,
    /// Tickets, and when they were given.
    tickets: Arc<Mutex<BTreeMap<String, Instant>>>,
    /// Calls that have begun.
    calls: Arc<Mutex<Vec<String>>>,
}

fn job_of(step: &str) -> &str {
    step.split('.').next().unwrap_or("")
}

impl Advice {
    pub fn new(terms: AdviceTerms, policy: Policy, record: &Record) -> Self {
        Self {
            terms,
            policy,
            record: record.clone(),
            tickets: Arc::default(),
            calls: Arc::default(),
        }
    }

    /// Serves one machine, at an address of its own, so that its calls are handled in turn.
    pub fn serve(&self, machine: &str) -> Server {
        let (advice, machine) = (self.clone(), machine.to_owned());
        let turn = Mutex::new(());
        Server::open("127.0.0.1:0", move |request| {
            advice.record_call(&machine, &request);
            let _turn = turn.lock().expect("no panic");
            advice.answer(&machine, &request)
        })
    }

    fn record_call(&self, machine: &str, request: &Request) {
        let body = request.json();
        let step = body.get("step").text().to_owned();
        let workers = body.get("workers").list().len();
        self.record.line(&format!(
            "{machine} asks for advice on {step}, {workers} workers"
        ));
        self.calls.lock().expect("no panic").push(step);
    }

    /// Returns the steps of the calls that have arrived.
    pub fn calls(&self) -> Vec<String> {
        self.calls.lock().expect("no panic").clone()
    }

    fn answer(&self, machine: &str, request: &Request) -> Response {
        let body = request.json();
        let step = body.get("step").text();
        let workers = body.get("workers").list();
        #[allow(clippy::cast_precision_loss)]
        let ms = self.terms.decide_ms + self.terms.each_ms * workers.len() as f64;
        thread::sleep(Duration::from_secs_f64(ms / 1_000.0));
        let now = Instant::now();
        let granted = workers.iter().map(Json::text);
        let granted = granted.filter(|worker| (self.policy)(job_of(step), worker));
        let mut tickets = self.tickets.lock().expect("no panic");
        let granted = granted.map(|worker| {
            let ticket = format!("{step}/{worker}");
            tickets.insert(ticket.clone(), now);
            Json::List(vec![worker.into(), ticket.into()])
        });
        let granted: Vec<Json> = granted.collect();
        self.record.line(&format!(
            "{machine} is told of {step}: {} workers may run it",
            granted.len()
        ));
        let answer = [
            ("granted", granted.into()),
            ("valid_ms", self.terms.valid_ms.into()),
        ];
        Some((200, object(&answer)))
    }

    /// Returns whether a ticket allows a task on a worker now.
    pub fn accepts(&self, task: &str, worker: &str, ticket: &str) -> bool {
        let step = task.rsplit_once('.').map_or("", |(step, _)| step);
        let valid = Duration::from_millis(self.terms.valid_ms);
        let tickets = self.tickets.lock().expect("no panic");
        let given = tickets.get(ticket);
        ticket == format!("{step}/{worker}") && given.is_some_and(|given| given.elapsed() <= valid)
    }
}
