//! What was sent, answered and run, each line with its time.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The record of a run; clones share it.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        let file = Mutex::new(File::create(path)?);
        Ok(Record(Arc::new((Instant::now(), file))))
    }

    /// Returns the milliseconds since the record began.
    pub fn now_ms(&self) -> u64 {
        self.0.0.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: &str) {
        let now_ms = self.now_ms();
        let mut file = self.0.1.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {line}", now_ms as f64 / 1e3);
    }
}
