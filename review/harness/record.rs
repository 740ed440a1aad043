//! The record of a run: one line for each thing that was sent, answered, run or done.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line with the time.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap_or_else(|err| err.into_inner());
        let _ = writeln!(
            file,
            "{:9.3} {}",
            self.started.elapsed().as_secs_f64(),
            text.as_ref()
        );
    }

    /// Writes a line with the time to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        self.line(text.as_ref());
        println!("{:9.3} {}", self.now(), text.as_ref());
    }
}
