//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Opens the record.
pub fn open(path: &Path) -> std::io::Result<()> {
    let file = File::create(path)?;
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
    Ok(())
}

/// Writes a line with the time since the start.
pub fn line(text: &str) {
    if let Some((file, started)) = RECORD.get() {
        let seconds = started.elapsed().as_secs_f64();
        let _ = writeln!(file.lock().unwrap(), "{seconds:9.3} {text}");
    }
}

/// Time since the start, in seconds.
pub fn seconds(at: Instant) -> f64 {
    RECORD.get().map_or(0.0, |(_, started)| at.saturating_duration_since(*started).as_secs_f64())
}
