//! An entry instance as a process of its own, which can be paused, killed and drained.

#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use marigoldlock_fleet::Fleet;
use marigoldlock_wire::platform::{CapacityKind, ListEntry, ListKind, ListState};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// Environment variable that has the instances' log lines shown.
const SHOW_LOGS: &str = "SHOW_PROCESS_LOGS";

/// An instance in a child process.
pub struct ProcessInstance {
    child: Child,
    pub name: String,
    pub address: String,
}

impl ProcessInstance {
    /// Starts an instance on the fleet's platform and puts it on the list.
    pub fn start(fleet: &Fleet, name: &str) -> Self {
        Self::start_with(fleet, name, &[])
    }

    /// Starts an instance with further flags.
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
        let (address, peer_address) = started_at(&mut child);
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

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once.
    pub fn kill(&self) {
        self.signal(Signal::KILL);
    }

    /// Asks the process to drain and end.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// How the process ended; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the child is ours")
    }

    /// Stops the process where it stands, and waits until all its threads have stopped.
    ///
    /// On a busy machine its threads go on for a while after the signal was sent.
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

    /// Lets a paused process go on.
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
        // A paused process takes the kill too.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads the addresses from the log line that tells of the start; the rest of the log is read and dropped.
fn started_at(child: &mut Child) -> (String, String) {
    let stdout = child.stdout.take().expect("the log is piped");
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let shown = std::env::var_os(SHOW_LOGS).is_some();
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            if shown {
                eprintln!("{line}");
            }
            let _ = sender.send(line);
        }
    });
    for line in receiver.iter() {
        let Ok(line) = serde_json::from_str::<Value>(&line) else {
            continue;
        };
        let text = |name: &str| find(&line, name);
        if let (Some(address), Some(peer_address)) = (text("address"), text("peer_address")) {
            return (address, peer_address);
        }
    }
    panic!("the instance ended before it had started");
}

fn find(line: &Value, name: &str) -> Option<String> {
    let fields = line.as_object()?;
    let direct = fields.get(name).and_then(Value::as_str).map(str::to_owned);
    direct.or_else(|| fields.values().find_map(|inner| find(inner, name)))
}
