//! A site of the users' platform with instances in front of it.

use std::time::Duration;

use marigoldlock::gateway::GatewayServer;
use marigoldlock::platform_run::gateway_parts;
use marigoldlock_platform::ProcessSettings;
use marigoldlock_standin::site::{
    DutyStandin, RunnerOptions, RunnerStandin, SITE_HOST, SITE_KEY, StoreStandin, site_settings,
};
use reqwest::{Method, Response};
use serde_json::{Value, json};

/// Longest wait for something that must happen; far above what it takes.
const WAIT_MOST: Duration = Duration::from_secs(30);

/// Stand-ins and instances of one site.
pub struct Site {
    pub store: StoreStandin,
    pub duties: DutyStandin,
    pub runners: Vec<RunnerStandin>,
    pub instances: Vec<GatewayServer>,
    http: reqwest::Client,
}

impl Site {
    /// A site with one reader, two generators, two plain upstreams and some instances, all ready.
    pub async fn start(instances: usize) -> Self {
        marigoldlock::logging::init("off");
        let store = StoreStandin::start().await.unwrap();
        let duties = DutyStandin::start().await.unwrap();
        let mut runners = Vec::new();
        for (id, service, stage) in [
            ("p1", "llm", Some("prefill")),
            ("d1", "llm", Some("decode")),
            ("d2", "llm", Some("decode")),
            ("a1", "app", None),
            ("a2", "app", None),
        ] {
            let options = RunnerOptions {
                id: id.into(),
                service: service.into(),
                zone: "a".into(),
                stage,
            };
            let runner = RunnerStandin::start(options).await.unwrap();
            store.put_upstream(id, Some(&runner.entry("ready")));
            runners.push(runner);
        }
        store.put_settings(&site_settings(7));
        let mut site = Self {
            store,
            duties,
            runners,
            instances: Vec::new(),
            http: reqwest::Client::builder().no_proxy().build().unwrap(),
        };
        for number in 0..instances {
            site.start_instance(number).await;
        }
        site
    }

    /// Starts one more instance and waits until it serves.
    pub async fn start_instance(&mut self, number: usize) {
        let file = json!({
            "Node": format!("n{number}"), "Zone": "a", "Ip": "127.0.0.1", "InternalPorts": [0, 0], "Seeds": [],
            "Listen": {"Front": "127.0.0.1:0", "Readiness": "127.0.0.1:0", "Directory": "127.0.0.1:0"},
            "Limits": {"MemoryMb": 260, "FileDescriptors": 4100},
            "Bounds": {"ReportWindowS": 1, "LeaseMs": 500, "GraceS": 8, "RetryRatio": 0.2, "RetrySlack": 50},
            "Platform": {"Address": self.store.address()}, "Cloud": {"Address": self.duties.address()},
        });
        let settings = ProcessSettings::parse(file.to_string().as_bytes()).unwrap();
        let server = GatewayServer::start(gateway_parts(&settings, None).unwrap())
            .await
            .unwrap();
        until("an instance is ready", || server.is_ready()).await;
        self.instances.push(server);
        let usable = || self.instances[self.instances.len() - 1].usable_upstreams() == self.runners.len();
        until("all upstreams are known", usable).await;
    }

    /// The upstream with an id.
    pub fn runner(&self, id: &str) -> &RunnerStandin {
        self.runners.iter().find(|runner| runner.id() == id).unwrap()
    }

    /// Times that an attempt ran at any upstream, readings of its prompt not counted.
    pub fn runs_of(&self, attempt: &str) -> usize {
        let runs = self.runners.iter().flat_map(RunnerStandin::runs);
        runs.filter(|run| run.attempt == attempt && !run.is_prefill)
            .count()
    }

    /// Sends a request to an instance, with the customer's key.
    pub async fn send(&self, instance: usize, path: &str, attempt: &str) -> Response {
        self.send_as(instance, path, attempt, SITE_KEY).await.unwrap()
    }

    /// Sends a request with a key.
    pub async fn send_as(
        &self,
        instance: usize,
        path: &str,
        attempt: &str,
        key: &str,
    ) -> reqwest::Result<Response> {
        let method = if path.starts_with("/look") {
            Method::GET
        } else {
            Method::POST
        };
        let front = self.instances[instance].addresses().front;
        self.http
            .request(method, format!("http://{front}{path}"))
            .header("Host", SITE_HOST)
            .header("Attempt-Id", attempt)
            .header("Authorization", format!("Bearer {key}"))
            .header("Deadline-Ms", "3000")
            .header("Token-Counts", "5000,20")
            .header("Prompt-Prefix", "aa:4000,bb:1000")
            .body(if path.starts_with("/look") { "" } else { "the body" })
            .send()
            .await
    }

    /// Addresses that an instance tells callers of the data centre.
    pub async fn resolve(&self, instance: usize) -> Vec<String> {
        let directory = self.instances[instance].addresses().directory.unwrap();
        let url = format!("http://{directory}/resolve?Name={SITE_HOST}&Region=r&Zone=a");
        let answer: Value = self.http.get(url).send().await.unwrap().json().await.unwrap();
        let addresses = answer["Addresses"].as_array().unwrap();
        addresses
            .iter()
            .map(|address| address.as_str().unwrap().to_owned())
            .collect()
    }
}

/// Waits until something holds.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let waited = tokio::time::timeout(WAIT_MOST, async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(waited.await.is_ok(), "timed out: {what}");
}

/// Ids of the events in a stream's body.
pub fn event_ids(body: &str) -> Vec<u64> {
    body.lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .map(|id| id.parse().unwrap())
        .collect()
}
