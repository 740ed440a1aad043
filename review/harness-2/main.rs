//! Runs the scripted cases of this review: `review-2 CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod deadly;
mod drain;
mod fleet;
mod http;
mod memory;
mod moved;
mod platform;
mod record;
mod runner;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// Parameters of a run.
pub struct Run {
    /// False for the run without the disruption.
    pub has_trouble: bool,
    /// Folder for settings and logs.
    pub folder: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, mode, id, port, stage] = &arguments[..]
        && mode == "runner"
    {
        let served = port.parse().map_or_else(
            |_| Err(std::io::ErrorKind::InvalidInput.into()),
            |port| runner::run_process(id, port, stage),
        );
        return if served.is_ok() { ExitCode::SUCCESS } else { ExitCode::from(2) };
    }
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = std::fs::create_dir_all(&temporary)
        .and_then(|()| record::open(&Path::new(folder).join("record.txt")));
    if let Err(err) = result {
        eprintln!("can't write: {err}");
        return ExitCode::from(2);
    }
    record::line(&format!("case {case}, with the disruption: {has_trouble}"));
    let run = Run {
        has_trouble,
        folder: temporary.clone(),
    };
    let verdict = match case.as_str() {
        "memory" => memory::run(&run),
        "moved" => moved::run(&run),
        "deadly" => deadly::run(&run),
        "drain" => drain::run(&run),
        _ => Verdict::NotRun(format!("unknown case {case}")),
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record::line(&text);
    println!("{text}");
    ExitCode::from(code)
}
