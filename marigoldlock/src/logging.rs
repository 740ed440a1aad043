//! JSON log lines on standard output.
//!
//! A writer of its own takes the lines from a bounded queue, so that logging never blocks; a line counts what
//! was dropped.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};

use crate::clock::{BootClock, TimeSource};

/// Environment variable with the log filter, in `env_logger` syntax.
pub const FILTER_VARIABLE: &str = "MARIGOLDLOCK_LOG";

/// Target of the lines that tell a routing or placement decision.
pub const DECISION_TARGET: &str = "decision";

/// Lines that wait to be written; more are dropped.
const QUEUE_LINES: usize = 4_096;

/// Lines that were dropped and not told yet.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Starts logging to standard error, one JSON object a line.
///
/// A second call has no effect, so that tests and embedded instances may each call it.
pub fn init(default_filter: &str) {
    start(&mut builder(default_filter));
}

/// Starts logging to standard output, one JSON object a line, without ever blocking.
pub fn init_process(default_filter: &str) {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let thread = std::thread::Builder::new()
        .name("log".into())
        .spawn(move || write_lines(&receiver));
    if let Err(err) = thread {
        eprintln!("no thread for the log, it is written in place: {err}");
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
            let told = json!({"level": "WARN", "message": "log lines were dropped", "lines": dropped});
            // Without standard output there is nobody to tell.
            writeln!(out, "{told}").ok();
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
