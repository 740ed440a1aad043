//! A fleet whose entry instances are child processes, with the stand-ins in the test's own process.

use marigoldlock_fleet::{Fleet, FleetOptions};
use reqwest::StatusCode;
use serde_json::{Value, json};

use crate::process::ProcessInstance;
use crate::support::{CallResult, TestCaller, eventually, runs_by_key};

/// Customer whose key the tests use.
const CUSTOMER: &str = "dairy-north";

/// Maximum number of attempts of a caller that tries one address after the other.
const MAX_ATTEMPTS: usize = 20;

/// Stand-ins, instance processes, and a caller of the instances by index.
pub struct ProcessFleet {
    pub fleet: Fleet,
    pub instances: Vec<ProcessInstance>,
    pub caller: TestCaller,
}

impl ProcessFleet {
    /// Starts instances and waits until each serves and advertises all the others.
    pub async fn start(count: usize, flags: &[&str]) -> Self {
        let fleet = Fleet::start(FleetOptions::small(0))
            .await
            .expect("the stand-ins start");
        let names = (0..count).map(|index| format!("process-{index}"));
        let instances: Vec<_> = names
            .map(|name| ProcessInstance::start_with(&fleet, &name, flags))
            .collect();
        let caller = caller(&fleet, &instances);
        let started = Self {
            fleet,
            instances,
            caller,
        };
        started.wait_connected().await;
        started
    }

    /// Replaces an instance that has exited by a new one with the same name.
    pub async fn restart(&mut self, index: usize) {
        let name = self.instances[index].name.clone();
        self.instances[index] = ProcessInstance::start(&self.fleet, &name);
        self.caller = caller(&self.fleet, &self.instances);
        self.wait_connected().await;
    }

    /// Waits until instance `at` advertises instance `other`, or no longer does.
    pub async fn wait_advertised(&self, at: usize, other: usize, expected: bool) {
        let what = format!("instance {at} advertising instance {other}: {expected}");
        eventually(&what, async || self.is_advertised(at, other).await == expected).await;
    }

    /// Number of times the plain service ran the key.
    pub fn runs(&self, key: &str) -> u64 {
        runs_by_key(&self.fleet).get(key).copied().unwrap_or_default()
    }

    /// Books like a real caller, which tries the next address after a lost connection or a `not_run`.
    ///
    /// Panics if an instance answers `not_run` although the service has run the key.
    pub async fn book_anywhere(&self, first: usize, key: &str) -> Option<CallResult> {
        for attempt in 0..MAX_ATTEMPTS {
            let index = (first + attempt) % self.instances.len();
            let Ok(answer) = self.caller.try_book(index, key, &booking()).await else {
                continue;
            };
            if answer.execution.as_deref() != Some("not_run") {
                return Some(answer);
            }
            assert_eq!(self.runs(key), 0, "{key} has run, but the answer was {answer:?}");
        }
        None
    }

    async fn wait_connected(&self) {
        let count = self.instances.len();
        for at in 0..count {
            for other in 0..count {
                self.wait_advertised(at, other, true).await;
            }
            eventually("the first chat", async || {
                self.caller.stream_chat(at, "warm up", 2).await.is_done
            })
            .await;
            let key = format!("warm-up-{}", self.instances[at].address);
            eventually("the first booking", async || {
                let answer = self.caller.book(at, &key, &booking()).await;
                answer.status == StatusCode::OK
            })
            .await;
        }
    }

    async fn is_advertised(&self, at: usize, other: usize) -> bool {
        let answer = self.caller.addresses(at).await;
        let entries = answer["addresses"].as_array().expect("a list of addresses");
        let address = self.instances[other].address.as_str();
        entries
            .iter()
            .any(|entry| entry["address"] == address && entry["home"].is_string())
    }
}

fn caller(fleet: &Fleet, instances: &[ProcessInstance]) -> TestCaller {
    let addresses = instances.iter().map(|instance| instance.address.as_str());
    addresses.fold(TestCaller::new(fleet, CUSTOMER), TestCaller::with_address)
}

pub fn booking() -> Value {
    json!({"face": 21, "week": 40})
}
