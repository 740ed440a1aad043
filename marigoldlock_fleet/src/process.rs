//! What this process uses, for benches.

use std::fs::{read_dir, read_to_string};

/// Clock ticks of processor time in a second, as the kernel reports them.
const TICKS_PER_S: f64 = 100.0;

/// Bytes of a page of memory.
const PAGE_BYTES: f64 = 4096.0;

/// Processor time of the threads with the name, in seconds; an instance's threads carry its name.
///
/// # Panics
///
/// Panics if the kernel does not list the process's threads.
pub fn thread_seconds(name: &str) -> f64 {
    let tasks = read_dir("/proc/self/task").expect("the kernel lists threads");
    let ticks = tasks.flatten().filter_map(|task| {
        let stat = read_to_string(task.path().join("stat")).ok()?;
        let (head, rest) = stat.rsplit_once(") ")?;
        let fields: Vec<&str> = rest.split(' ').collect();
        let times = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        head.ends_with(&format!("({name}")).then_some(times)
    });
    ticks.sum::<f64>() / TICKS_PER_S
}

/// Memory of the whole process, in bytes.
///
/// # Panics
///
/// Panics if the kernel does not tell it.
pub fn resident_bytes() -> f64 {
    let statm = read_to_string("/proc/self/statm").expect("the kernel tells memory");
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.expect("a number of pages") * PAGE_BYTES
}
