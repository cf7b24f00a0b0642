//! The record of a run of a case: what was sent, answered and run, with the time in milliseconds.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A handle on the record.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    start: Instant,
}

impl Record {
    pub fn open(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
            start: Instant::now(),
        })
    }

    /// Returns the time since the record was opened.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no writer panics");
        let _ = writeln!(file, "{:>7} {text}", self.now_ms());
    }

    /// Writes a line, and shows it.
    pub fn say(&self, text: &str) {
        println!("{:>7} {text}", self.now_ms());
        self.line(text);
        let _ = self.file.lock().expect("no writer panics").flush();
    }
}
