//! Runs stand-ins as processes: the address line, registration in the instance list and orderly shutdown.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};

use marigoldlock_wire::platform::InstanceList;
use rustix::process::{Pid, Signal, kill_process};

/// Stand-in process that is killed when it is dropped.
struct StandinProcess {
    child: Child,
    address: SocketAddr,
}

impl StandinProcess {
    fn start(args: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_marigoldctl"))
            .arg("standin")
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let mut stdout = BufReader::new(child.stdout.take().unwrap());
        stdout.read_line(&mut line).unwrap();
        let announced: serde_json::Value = serde_json::from_str(&line).unwrap();
        let address = announced["address"].as_str().unwrap().parse().unwrap();
        Self { child, address }
    }

    fn terminate(mut self) -> ExitStatus {
        kill_process(Pid::from_child(&self.child), Signal::TERM).unwrap();
        self.child.wait().unwrap()
    }
}

impl Drop for StandinProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn listed(list: &StandinProcess) -> Vec<String> {
    let url = format!("http://{}/v1/instances", list.address);
    let list: InstanceList = reqwest::get(url).await.unwrap().json().await.unwrap();
    list.entries.into_iter().map(|entry| entry.id).collect()
}

async fn wait_until_listed(list: &StandinProcess, id: &str) {
    while listed(list).await != [id] {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn engine_is_listed_while_it_runs() {
    let list = StandinProcess::start(&["list", "--lag-ms", "0"]);
    let address = list.address.to_string();
    let place = [
        "--list",
        &address,
        "--id",
        "e1",
        "--service",
        "lm",
        "--data-centre",
        "pest-a",
    ];
    let engine = StandinProcess::start(&[&["engine"], &place[..]].concat());
    wait_until_listed(&list, "e1").await;
    assert!(engine.terminate().success());
    assert!(listed(&list).await.is_empty());
    assert!(list.terminate().success());
}

#[tokio::test]
async fn ordering_runs_its_initial_upstreams() {
    let list = StandinProcess::start(&["list", "--lag-ms", "0"]);
    let address = list.address.to_string();
    let services = ["--engine-service", "lm", "--initial", "cheap:lm@pest-a:1"];
    let ordering = StandinProcess::start(&[&["ordering", "--list", &address], &services[..]].concat());
    wait_until_listed(&list, "lm-pest-a-1").await;
    assert!(ordering.terminate().success());
    assert!(list.terminate().success());
}

#[tokio::test]
async fn flags_set_the_faults() {
    let usage = StandinProcess::start(&["usage", "--refuse", "every", "--fault-path", "/v1/usage"]);
    let url = format!("http://{}/v1/usage", usage.address);
    let answer = reqwest::Client::new().post(url).send().await.unwrap();
    assert_eq!(answer.status(), 503);
    assert!(usage.terminate().success());
}
