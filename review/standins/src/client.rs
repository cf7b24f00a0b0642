//! Clients: hand jobs in and ask for their states, at any node, with retries.

use std::net::SocketAddr;
use std::time::Duration;

use crate::cell::{Cell, HOST, QUEUE};
use crate::http::call;
use crate::json::Json;
use crate::record::Record;

/// How long a client waits for an answer.
const DEADLINE_MS: u64 = 3_000;

/// The clients of a deployment.
#[derive(Clone)]
pub struct Clients {
    fronts: Vec<SocketAddr>,
    record: Record,
}

/// A step of a job.
pub struct Step {
    pub count: u64,
    /// In thousandths of a core.
    pub cpu: u64,
    pub work: Work,
}

/// What the tasks of a step do.
pub enum Work {
    /// They work for this time and are done.
    Batch { work_ms: u64 },
    /// They last until the job is cancelled, and fail after about this time; never if it is 0.
    Service { fails_ms: u64 },
}

/// A job that recurs.
pub struct Schedule {
    pub count: u64,
    pub interval_ms: u64,
}

/// Returns the body that hands in a job of one step.
pub fn job(step: &Step) -> Json {
    chain(step, 1, None)
}

/// Returns the body that hands in a job of so many such steps, one after the other.
pub fn chain(step: &Step, steps: u64, schedule: Option<&Schedule>) -> Json {
    let mut task = vec![
        ("count", Json::number(step.count)),
        ("cpu", Json::number(step.cpu)),
        ("mem_mb", Json::number(16)),
    ];
    let spec = match step.work {
        Work::Batch { work_ms } => {
            task.push(("estimate_ms", Json::number(work_ms)));
            format!("work_ms={work_ms}")
        }
        Work::Service { fails_ms } => {
            task.push(("long_running", Json::Bool(true)));
            format!("fails_ms={fails_ms}")
        }
    };
    let steps = (0..steps).map(|position| {
        let mut task = task.clone();
        if let Some(earlier) = position.checked_sub(1) {
            task.push(("after", Json::List(vec![Json::number(earlier)])));
        }
        Json::map(task)
    });
    let mut members = vec![
        ("spec", Json::text(&spec)),
        ("steps", Json::List(steps.collect())),
    ];
    if let Some(schedule) = schedule {
        let now = std::time::SystemTime::now();
        let now = now.duration_since(std::time::UNIX_EPOCH);
        let now_ms = now.map_or(0, |now| now.as_millis() as u64);
        members.push(("repeat_count", Json::number(schedule.count)));
        members.push(("start_at_ms", Json::number(now_ms + 500)));
        members.push(("interval_ms", Json::number(schedule.interval_ms)));
    }
    Json::map(members)
}

impl Clients {
    pub fn of(cell: &Cell) -> Self {
        Self {
            fronts: cell.nodes.iter().map(|node| node.front).collect(),
            record: cell.record.clone(),
        }
    }

    fn send(&self, node: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let headers = [
            ("Host", HOST.to_owned()),
            ("Content-Type", "application/json".to_owned()),
            ("Request-Deadline", DEADLINE_MS.to_string()),
        ];
        let front = self.fronts[node % self.fronts.len()];
        let wait = Duration::from_millis(DEADLINE_MS);
        let answer = call(front, method, &format!("{QUEUE}{id}"), &headers, body, wait);
        let told = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.record.line(&format!("client: {method} {id}: {told}"));
        answer
    }

    /// Hands a job in, at one node after another; returns whether it was accepted.
    pub fn submit(&self, id: &str, body: &Json, attempts: usize) -> bool {
        for attempt in 0..attempts {
            if let Some((200..=299, _)) = self.send(attempt, "POST", id, &body.to_string()) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(500));
        }
        false
    }

    /// Cancels a job, at one node after another; returns whether that was acknowledged.
    pub fn cancel(&self, id: &str, attempts: usize) -> bool {
        for attempt in 0..attempts {
            if let Some((200..=299 | 410, _)) = self.send(attempt, "DELETE", id, "") {
                return true;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Asks for a job's state, at one node after another; returns it, or the last answer's status,
    /// or none.
    pub fn state(&self, id: &str, attempts: usize) -> Option<String> {
        let mut last = None;
        for attempt in 0..attempts {
            match self.send(attempt, "GET", id, "") {
                Some((200, body)) => {
                    return Json::parse(&body).map(|body| body.str("state").to_owned());
                }
                Some((status, _)) => last = Some(status.to_string()),
                None => {}
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        last
    }

    /// Asks for a job's state until it is one of the final ones, for at most `wait`.
    pub fn wait_for_end(&self, id: &str, wait: Duration) -> Option<String> {
        let until_ms = self.record.now_ms() + wait.as_millis() as u64;
        loop {
            let state = self.state(id, self.fronts.len());
            let over = state
                .as_deref()
                .is_some_and(|state| matches!(state, "completed" | "failed" | "cancelled" | "410"));
            if over || self.record.now_ms() >= until_ms {
                return state;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
    }
}
