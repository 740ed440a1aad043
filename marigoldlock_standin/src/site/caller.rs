//! Client that calls as the platform's callers do, and the settings files of instances on the platform.

use std::net::{IpAddr, SocketAddr};

use reqwest::{Method, RequestBuilder, Response};
use serde_json::{Value, json};

use super::{SITE_HOST, SITE_KEY};

/// Body of every request that has one.
pub const SITE_BODY: &str = "the body";

/// Parts of the prompt of a request that names none.
const SITE_PROMPT: &str = "aa:4000,bb:1000";

/// Sends requests as the platform's callers do.
#[derive(Clone, Debug)]
pub struct SiteCaller {
    http: reqwest::Client,
}

impl SiteCaller {
    /// Creates a caller.
    ///
    /// # Errors
    ///
    /// If no HTTP client can be built.
    pub fn new() -> reqwest::Result<Self> {
        let http = reqwest::Client::builder().no_proxy().build()?;
        Ok(Self { http })
    }

    /// Sends a request with the customer's key.
    ///
    /// # Errors
    ///
    /// If there is no answer.
    pub async fn send(&self, front: SocketAddr, path: &str, attempt: &str) -> reqwest::Result<Response> {
        self.send_as(front, path, attempt, SITE_KEY).await
    }

    /// Sends a request with the given key.
    ///
    /// # Errors
    ///
    /// If there is no answer.
    pub async fn send_as(
        &self,
        front: SocketAddr,
        path: &str,
        attempt: &str,
        key: &str,
    ) -> reqwest::Result<Response> {
        self.send_prompt(front, path, attempt, key, SITE_PROMPT).await
    }

    /// Sends a request with a prompt of 5,000 tokens whose cacheable parts are listed in `Prompt-Prefix`.
    ///
    /// # Errors
    ///
    /// If there is no answer.
    pub async fn send_prompt(
        &self,
        front: SocketAddr,
        path: &str,
        attempt: &str,
        key: &str,
        parts: &str,
    ) -> reqwest::Result<Response> {
        self.prompt_request(front, path, attempt, key, parts).send().await
    }

    /// Takes up a stream after `last_event`; `resumes` is the attempt that brought its first event.
    ///
    /// # Errors
    ///
    /// If there is no answer.
    pub async fn resume(
        &self,
        front: SocketAddr,
        path: &str,
        attempt: &str,
        resumes: &str,
        last_event: u64,
    ) -> reqwest::Result<Response> {
        self.resume_prompt(front, path, attempt, SITE_PROMPT, resumes, last_event)
            .await
    }

    /// Takes up a stream with a prompt as in [`Self::send_prompt`].
    ///
    /// # Errors
    ///
    /// If there is no answer.
    pub async fn resume_prompt(
        &self,
        front: SocketAddr,
        path: &str,
        attempt: &str,
        parts: &str,
        resumes: &str,
        last_event: u64,
    ) -> reqwest::Result<Response> {
        self.prompt_request(front, path, attempt, SITE_KEY, parts)
            .header("Resumes", resumes)
            .header("Last-Event-Id", last_event.to_string())
            .send()
            .await
    }

    fn prompt_request(
        &self,
        front: SocketAddr,
        path: &str,
        attempt: &str,
        key: &str,
        parts: &str,
    ) -> RequestBuilder {
        let is_look = path.starts_with("/look");
        self.http
            .request(
                if is_look { Method::GET } else { Method::POST },
                format!("http://{front}{path}"),
            )
            .header("Host", SITE_HOST)
            .header("Attempt-Id", attempt)
            .header("Authorization", format!("Bearer {key}"))
            .header("Deadline-Ms", "3000")
            .header("Token-Counts", "5000,20")
            .header("Prompt-Prefix", parts)
            .body(if is_look { "" } else { SITE_BODY })
    }

    /// Asks the directory which addresses to use in the site's data centre.
    ///
    /// # Errors
    ///
    /// If there is no answer, or it can't be decoded.
    pub async fn resolve(&self, directory: SocketAddr) -> reqwest::Result<Vec<String>> {
        let url = format!("http://{directory}/resolve?Name={SITE_HOST}&Region=r&Zone=a");
        let answer: Value = self
            .http
            .get(url)
            .send()
            .await?
            .error_for_status()?
            .json()
            .await?;
        let addresses = answer["Addresses"].as_array().cloned().unwrap_or_default();
        Ok(addresses
            .iter()
            .filter_map(Value::as_str)
            .map(str::to_owned)
            .collect())
    }
}

/// Port on which instances with an address of their own serve callers.
pub const FRONT_PORT: u16 = 8443;

/// Port on which they serve readiness checks.
pub const READINESS_PORT: u16 = 8444;

/// Port on which they serve the address directory.
pub const DIRECTORY_PORT: u16 = 8445;

/// First of the ports for traffic between instances.
const PEER_PORT: u16 = 7780;

/// Settings file of an instance that has its own IP address, like a machine.
pub fn instance_file_at(name: &str, ip: IpAddr, store: SocketAddr, duties: SocketAddr) -> Value {
    let mut file = instance_file(name, store, duties);
    let at = |port| SocketAddr::new(ip, port).to_string();
    file["Ip"] = ip.to_string().into();
    file["InternalPorts"] = json!([PEER_PORT, PEER_PORT + 15]);
    file["Listen"] =
        json!({"Front": at(FRONT_PORT), "Readiness": at(READINESS_PORT), "Directory": at(DIRECTORY_PORT)});
    file
}

/// Settings file of an instance on loopback, with free ports picked by the system.
pub fn instance_file(name: &str, store: SocketAddr, duties: SocketAddr) -> Value {
    json!({
        "Node": name, "Zone": "a", "Ip": "127.0.0.1", "InternalPorts": [0, 0], "Seeds": [],
        "Listen": {"Front": "127.0.0.1:0", "Readiness": "127.0.0.1:0", "Directory": "127.0.0.1:0"},
        "Limits": {"MemoryMb": 260, "FileDescriptors": 4100},
        "Bounds": {"ReportWindowS": 1, "LeaseMs": 500, "GraceS": 8, "RetryRatio": 0.2, "RetrySlack": 50},
        "Platform": {"Address": store}, "Cloud": {"Address": duties},
    })
}
