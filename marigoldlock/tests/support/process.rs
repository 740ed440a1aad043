//! An entry instance in a child process, which can be paused, killed and drained.

#![allow(dead_code, reason = "each test binary uses only a part")]

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use marigoldlock_fleet::Fleet;
use marigoldlock_wire::platform::{CapacityKind, ListEntry, ListKind, ListState};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// Environment variable that enables printing the instances' log lines.
const SHOW_LOGS: &str = "SHOW_PROCESS_LOGS";

/// An instance in a child process.
pub struct ProcessInstance {
    child: Child,
    pub name: String,
    pub address: String,
}

impl ProcessInstance {
    /// Starts an instance and adds it to the fleet's instance list.
    pub fn start(fleet: &Fleet, name: &str) -> Self {
        Self::start_with(fleet, name, &[])
    }

    /// Starts an instance with additional flags.
    pub fn start_with(fleet: &Fleet, name: &str, flags: &[&str]) -> Self {
        let data_centre = fleet.options().deployment.data_centres[0].clone();
        let mut child = Command::new(env!("CARGO_BIN_EXE_marigoldlock"))
            .args(["--name", name, "--data-centre", data_centre.as_str()])
            .args(["--log-url", &format!("http://{}", fleet.log.address())])
            .args(["--list-url", &format!("http://{}", fleet.list.address())])
            .args(["--heartbeat-ms", "50", "--poll-ms", "50"])
            .args(flags)
            .env("RUST_LOG", "info")
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the instance's own binary starts");
        let (address, peer_address) = read_addresses(&mut child);
        fleet.list.set(ListEntry {
            id: name.to_owned(),
            kind: ListKind::Entry,
            service: None,
            data_centre,
            address: address.clone(),
            peer_address: Some(peer_address),
            capacity: CapacityKind::Steady,
            state: ListState::Live,
        });
        Self {
            child,
            name: name.to_owned(),
            address,
        }
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGKILL to the process.
    pub fn kill(&self) {
        self.signal(Signal::KILL);
    }

    /// Sends SIGTERM to the process, which makes it drain and exit.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Exit status of the process; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the child is ours")
    }

    /// Sends SIGSTOP to the process and waits until all its threads have stopped.
    ///
    /// On a busy machine threads may run for a while after the signal is sent.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
        while !self.is_stopped() {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn is_stopped(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("the child runs");
        tasks.flatten().all(|task| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            stat.rsplit_once(") ")
                .is_none_or(|(_, rest)| rest.starts_with('T'))
        })
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().cast_signed()).expect("a child has an id");
        kill_process(pid, signal).expect("the child is running");
    }
}

impl Drop for ProcessInstance {
    fn drop(&mut self) {
        // SIGKILL also ends a paused process.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads the addresses from the log line about the start. A thread keeps reading the log, so that the pipe never
/// fills up.
fn read_addresses(child: &mut Child) -> (String, String) {
    let stdout = child.stdout.take().expect("the log is piped");
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let show_logs = std::env::var_os(SHOW_LOGS).is_some();
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            if show_logs {
                eprintln!("{line}");
            }
            let _ = sender.send(line);
        }
    });
    for line in receiver.iter() {
        let Ok(line) = serde_json::from_str::<Value>(&line) else {
            continue;
        };
        let text = |name: &str| find_field(&line, name);
        if let (Some(address), Some(peer_address)) = (text("address"), text("peer_address")) {
            return (address, peer_address);
        }
    }
    panic!("the instance exited before it had started");
}

fn find_field(line: &Value, name: &str) -> Option<String> {
    let fields = line.as_object()?;
    let direct = fields.get(name).and_then(Value::as_str).map(str::to_owned);
    direct.or_else(|| fields.values().find_map(|inner| find_field(inner, name)))
}
