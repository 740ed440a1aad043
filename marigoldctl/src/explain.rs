//! `marigoldctl explain`: shows from the log lines how a request was routed or why it was refused.

use std::fs::File;
use std::io::{BufRead, BufReader, stdin};
use std::path::PathBuf;

use clap::Args;
use eyre::{Result, WrapErr, bail};
use serde_json::{Map, Value};

/// Fields that are not listed after the message, because every line of a request has them.
const COMMON_FIELDS: [&str; 5] = ["time_ms", "level", "target", "message", "request"];

/// Explain from the instances' log lines how a request was routed or why it was refused.
#[derive(Args, Clone, Debug)]
pub struct ExplainArgs {
    /// Id of the request, from the x-request-id header of its answer.
    request: String,
    /// Files with JSON log lines; standard input if none is given.
    #[arg(long = "log", value_name = "FILE")]
    logs: Vec<PathBuf>,
}

/// Prints the request's log lines in order of time.
///
/// # Errors
///
/// Returns an error if a file can't be read or if there is no line of the request.
pub fn run(args: &ExplainArgs) -> Result<()> {
    let mut lines = Vec::new();
    if args.logs.is_empty() {
        collect(stdin().lock(), &args.request, &mut lines).wrap_err("can't read standard input")?;
    }
    for path in &args.logs {
        let file = File::open(path).wrap_err_with(|| format!("--log {}", path.display()))?;
        collect(BufReader::new(file), &args.request, &mut lines)
            .wrap_err_with(|| format!("--log {}", path.display()))?;
    }
    if lines.is_empty() {
        bail!("no log line mentions request {}", args.request);
    }
    print!("{}", explanation(lines));
    Ok(())
}

fn collect(reader: impl BufRead, request: &str, lines: &mut Vec<Map<String, Value>>) -> Result<()> {
    for line in reader.lines() {
        let line = line?;
        // Skips lines that other programs wrote to the same log.
        let Ok(Value::Object(fields)) = serde_json::from_str(&line) else {
            continue;
        };
        if fields.get("request").and_then(Value::as_str) == Some(request) {
            lines.push(fields);
        }
    }
    Ok(())
}

/// Formats the log lines in order of time, each with the milliseconds since the first.
pub fn explanation(mut lines: Vec<Map<String, Value>>) -> String {
    let time =
        |fields: &Map<String, Value>| fields.get("time_ms").and_then(Value::as_u64).unwrap_or_default();
    lines.sort_by_key(time);
    let start = lines.first().map_or(0, time);
    let rows = lines.iter().map(|fields| {
        let message = fields.get("message").and_then(Value::as_str).unwrap_or_default();
        let rest: Vec<String> = fields
            .iter()
            .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()))
            .map(|(name, value)| format!("{name}={}", unquoted(value)))
            .collect();
        format!(
            "{:>7} ms  {message:<20} {}\n",
            time(fields) - start,
            rest.join("  ")
        )
    });
    rows.collect()
}

fn unquoted(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
