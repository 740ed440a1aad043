//! JSON log lines.

use std::io::Write;

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};

use crate::clock::{BootClock, TimeSource};

/// Environment variable with the log filter, in `env_logger` syntax.
pub const FILTER_VARIABLE: &str = "MARIGOLDLOCK_LOG";

/// Target of the lines that tell a routing or placement decision.
pub const DECISION_TARGET: &str = "decision";

/// Starts logging to standard error, one JSON object a line.
///
/// A second call has no effect, so that tests and embedded instances may each call it.
pub fn init(default_filter: &str) {
    let env = env_logger::Env::new().filter_or(FILTER_VARIABLE, default_filter);
    let result = env_logger::Builder::from_env(env).format(write_line).try_init();
    if result.is_err() {
        log::debug!("logging was already started");
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
