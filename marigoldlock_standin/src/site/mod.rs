//! Stand-in for the users' platform: its store, its upstreams, its duty calls and its operator.
//!
//! It speaks the parts of the platform's published protocol that marigoldlock uses, and records what tests
//! check: which attempts ran where, and what was reported.

mod caller;
mod duties;
mod server;
mod store;
mod upstream;

use std::net::SocketAddr;

use axum::Router;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

pub use self::caller::{
    DIRECTORY_PORT, FRONT_PORT, READINESS_PORT, SITE_BODY, SiteCaller, instance_file, instance_file_at,
};
pub use self::duties::{AcceptedUsage, DutyStandin, ScaleOrder};
pub use self::store::{StoreCopy, StoreFaults, StoreStandin};
pub use self::upstream::{
    ArrivalRecord, EVENTS_PER_STREAM, RunRecord, UpstreamFaults, UpstreamOptions, UpstreamStandin,
};

/// Host name of the site's routes.
pub const SITE_TENANT: &str = "acme";

/// Host of the site's requests.
pub const SITE_HOST: &str = "site.example";

/// Key of the site's only customer.
pub const SITE_KEY: &str = "key-acme";

/// HTTP server that runs until it is dropped.
#[derive(Debug)]
struct RouteServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl RouteServer {
    async fn start(routes: Router) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            if let Err(err) = axum::serve(listener, routes).await {
                log::warn!(error:% = err; "stand-in server failed");
            }
        });
        Ok(Self { address, task })
    }
}

impl Drop for RouteServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Settings as the operator writes them: a streamed route, an idempotent one and a non-idempotent one.
pub fn site_settings(version: u64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, attempts: u32| {
        json!({"Name": name, "Host": SITE_HOST, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 3000,
            "TargetLatencyMs": 400, "Priority": 1, "Service": service, "MaxAttempts": attempts,
            "Anonymous": false, "Resumable": kind == "stream", "GapTargetMs": 300})
    };
    json!({
        "Version": version,
        "Routes": [
            route("draft", "/draft/", "stream", "llm", 2),
            route("look", "/look/", "idempotent", "app", 2),
            route("book", "/book/", "non_idempotent", "app", 1),
        ],
        "Services": [
            {"Name": "llm", "HealthPath": "/health", "MaxConnections": 100,
                "Engine": {"Slots": 8, "KvTokens": 100_000, "KvBytes": 1000}},
            {"Name": "app", "HealthPath": "/health", "MaxConnections": 100},
        ],
        "Limits": {"MaxHeaderBytes": 16_384, "MaxBodyBytes": 65_536, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15_000},
        "Tenants": [{"Name": SITE_TENANT, "ApiKeys": [SITE_KEY]}],
    })
}
