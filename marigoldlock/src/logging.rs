//! Structured logging as JSON lines.
//!
//! A process writes its log to standard output on a separate thread, fed by a bounded queue, so that logging
//! never blocks. If the queue is full, lines are dropped, and a later line gives their number.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};

use crate::clock::{BootClock, TimeSource};

/// Environment variable with the log filter, in `env_logger` syntax.
pub const FILTER_VARIABLE: &str = "MARIGOLDLOCK_LOG";

/// Target of log lines about routing and placement decisions.
pub const DECISION_TARGET: &str = "decision";

/// Capacity of the queue; further lines are dropped.
const MAX_QUEUED_LINES: usize = 4_096;

/// Number of dropped lines that isn't logged yet.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Starts logging to standard error, one JSON object per line.
///
/// A second call has no effect, so that tests and embedded instances may each call it.
pub fn init(default_filter: &str) {
    start(&mut builder(default_filter));
}

/// Starts logging to standard output, one JSON object per line, without blocking the caller.
pub fn init_process(default_filter: &str) {
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    let thread = std::thread::Builder::new()
        .name("log".into())
        .spawn(move || write_lines(&receiver));
    if let Err(err) = thread {
        eprintln!("can't start the log thread; logging to standard error instead: {err}");
        init(default_filter);
        return;
    }
    let target = env_logger::Target::Pipe(Box::new(LineQueue(sender)));
    start(builder(default_filter).target(target));
}

fn builder(default_filter: &str) -> env_logger::Builder {
    let env = env_logger::Env::new().filter_or(FILTER_VARIABLE, default_filter);
    let mut builder = env_logger::Builder::from_env(env);
    builder.format(write_line);
    builder
}

fn start(builder: &mut env_logger::Builder) {
    if builder.try_init().is_err() {
        log::debug!("logging was already started");
    }
}

struct LineQueue(SyncSender<Vec<u8>>);

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        if self.0.try_send(line.to_vec()).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn write_lines(receiver: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout().lock();
    while let Ok(line) = receiver.recv() {
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let notice = json!({"level": "WARN", "message": "log lines were dropped", "lines": dropped});
            // An error is ignored, as there is nowhere else to report it.
            writeln!(out, "{notice}").ok();
        }
        if out.write_all(&line).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_line(out: &mut env_logger::fmt::Formatter, record: &log::Record<'_>) -> std::io::Result<()> {
    let mut fields = FieldMap::default();
    fields.0.insert("time_ms".into(), json!(BootClock.unix_ms()));
    fields.0.insert("level".into(), json!(record.level().as_str()));
    fields.0.insert("target".into(), json!(record.target()));
    fields
        .0
        .insert("message".into(), json!(record.args().to_string()));
    if let Err(err) = record.key_values().visit(&mut fields) {
        fields.0.insert("field_error".into(), json!(err.to_string()));
    }
    serde_json::to_writer(&mut *out, &fields.0)?;
    writeln!(out)
}

#[derive(Default)]
struct FieldMap(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldMap {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => json!(number),
            (None, Some(number), _) => json!(number),
            (None, None, Some(flag)) => json!(flag),
            (None, None, None) => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
