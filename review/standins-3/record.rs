//! The record of a case: what was sent, answered and run, with the time since the case began.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A run as the workers have seen it.
#[derive(Debug, Clone)]
pub struct SeenEnd {
    pub task: String,
    pub how: &'static str,
}

struct Inner {
    file: File,
    starts: Vec<(u64, String)>,
    ends: Vec<SeenEnd>,
}

/// The record.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    inner: Arc<Mutex<Inner>>,
}

impl Record {
    pub fn open(path: &Path) -> std::io::Result<Self> {
        let inner = Inner {
            file: File::create(path)?,
            starts: Vec::new(),
            ends: Vec::new(),
        };
        Ok(Self {
            began: Instant::now(),
            inner: Arc::new(Mutex::new(inner)),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut inner = self.inner.lock().unwrap();
        let ms = self.began.elapsed().as_millis();
        writeln!(inner.file, "{:>7.3} s  {text}", ms as f64 / 1_000.0).ok();
    }

    pub fn start(&self, worker: &str, task: &str, run: u64) {
        self.line(&format!("{worker} starts {task} run {run}"));
        let at_ms = self.now_ms();
        self.inner
            .lock()
            .unwrap()
            .starts
            .push((at_ms, task.to_owned()));
    }

    pub fn end(&self, worker: &str, task: &str, run: u64, how: &'static str) {
        self.line(&format!("{worker} ended {task} run {run}: {how}"));
        let end = SeenEnd {
            task: task.to_owned(),
            how,
        };
        self.inner.lock().unwrap().ends.push(end);
    }

    /// Returns the number of starts of a job's tasks from a moment on.
    pub fn starts_since(&self, job: &str, from_ms: u64) -> usize {
        let inner = self.inner.lock().unwrap();
        let starts = inner.starts.iter();
        starts
            .filter(|(at_ms, task)| *at_ms >= from_ms && task.starts_with(job))
            .count()
    }

    /// Returns how many runs of a job have ended so.
    pub fn ends(&self, job: &str, how: &str) -> usize {
        let inner = self.inner.lock().unwrap();
        let ends = inner.ends.iter();
        ends.filter(|end| end.how == how && end.task.starts_with(job))
            .count()
    }
}
