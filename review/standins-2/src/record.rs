//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the beginning.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            file: Arc::new(Mutex::new(File::create(path).expect("a writable file"))),
            began: Instant::now(),
        }
    }

    /// Returns the time since the beginning, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).expect("a short run")
    }

    pub fn line(&self, text: &str) {
        let now_ms = self.now_ms();
        let mut file = self.file.lock().expect("no panic");
        let (seconds, millis) = (now_ms / 1_000, now_ms % 1_000);
        writeln!(file, "{seconds:3}.{millis:03} {text}").expect("a writable file");
    }
}
