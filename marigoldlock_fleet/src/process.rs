//! CPU time and memory of this process, for benches.

use std::fs::{read_dir, read_to_string};

/// Clock ticks per second in which the kernel reports CPU time.
const TICKS_PER_S: f64 = 100.0;

/// Size of a memory page.
const PAGE_BYTES: f64 = 4096.0;

/// Returns the CPU time of all threads with the given name, in seconds.
///
/// The threads of an instance have the instance's name.
///
/// # Panics
///
/// Panics if the threads can't be read from `/proc`.
pub fn thread_cpu_seconds(name: &str) -> f64 {
    let tasks = read_dir("/proc/self/task").expect("the threads can be read from /proc");
    let ticks = tasks.flatten().filter_map(|task| {
        let stat = read_to_string(task.path().join("stat")).ok()?;
        let (pid_and_name, rest) = stat.rsplit_once(") ")?;
        let fields: Vec<&str> = rest.split(' ').collect();
        let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        pid_and_name.ends_with(&format!("({name}")).then_some(ticks)
    });
    ticks.sum::<f64>() / TICKS_PER_S
}

/// Returns the resident memory of the whole process, in bytes.
///
/// # Panics
///
/// Panics if the memory can't be read from `/proc`.
pub fn resident_bytes() -> f64 {
    let statm = read_to_string("/proc/self/statm").expect("the memory can be read from /proc");
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.expect("a number of pages") * PAGE_BYTES
}
