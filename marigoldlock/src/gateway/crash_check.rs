//! Tells an upstream's crash from a response that broke off for another reason.
//!
//! A connection also breaks if an upstream drops a response, or if the network resets it. An upstream that has
//! crashed no longer accepts connections, so a broken response is followed by one attempt to connect. All responses
//! that broke off at the upstream in the meantime share it. If this instance reaches no other upstream either, its own link
//! is the cause.

use std::hash::Hasher;
use std::sync::Arc;

use marigoldlock_core::gateway::blame::{CrashRecord, SuspectKey};
use marigoldlock_core::gateway::crashes::FleetTime;
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::gateway::state::UpstreamKey;
use marigoldlock_core::prelude::*;
use tokio::net::TcpStream;

use super::Gateway;
use super::call::Call;
use super::connections::CONNECT_TIMEOUT;

/// A request whose response broke off at an upstream.
#[derive(Clone, Debug)]
pub struct BrokenAttempt {
    request: String,
    suspects: Vec<SuspectKey>,
    sent_at: MonoTime,
    broken_at: MonoTime,
}

impl BrokenAttempt {
    fn crash_record(&self, upstream: &UpstreamId, time: FleetTime) -> CrashRecord {
        let ago = |at: MonoTime| u64::try_from(time.now.since(at).as_millis()).unwrap_or(u64::MAX);
        let mut hasher = rustc_hash::FxHasher::default();
        hasher.write(self.request.as_bytes());
        CrashRecord {
            request: hasher.finish(),
            upstream: UpstreamKey::from(upstream),
            sent_ms: time.fleet_ms.saturating_sub(ago(self.sent_at)),
            crashed_ms: time.fleet_ms.saturating_sub(ago(self.broken_at)),
            suspects: self.suspects.clone(),
        }
    }
}

impl Call {
    /// Checks whether the upstream has crashed under this request, which was sent to it at `sent_at`.
    pub fn check_crash(&self, entry: &UpstreamEntry, sent_at: MonoTime) {
        let attempt = BrokenAttempt {
            request: self.head.attempt_id.clone(),
            suspects: self.suspects.clone(),
            sent_at,
            broken_at: self.gateway.now(),
        };
        let mut state = self.gateway.state();
        let broken = state.broken_attempts.entry(entry.id.clone()).or_default();
        broken.push(attempt);
        let is_first = broken.len() == 1;
        drop(state);
        if is_first {
            tokio::spawn(check_upstream(Arc::clone(&self.gateway), entry.clone()));
        }
    }

    /// Records that the request was run to its end, so that nothing in it crashes upstreams.
    pub fn record_completion(&self) {
        self.gateway
            .change_crashes(|table, time| table.record_completion(&self.suspects, time));
    }
}

async fn accepts_connections(entry: &UpstreamEntry) -> bool {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(entry.address)).await;
    matches!(connected, Ok(Ok(_)))
}

async fn check_upstream(gateway: Arc<Gateway>, entry: UpstreamEntry) {
    let is_down = !accepts_connections(&entry).await;
    // The link may have come back in the meantime, so the upstream is tried once more.
    let has_crashed = is_down && gateway.probe_upstreams().await && !accepts_connections(&entry).await;
    let mut state = gateway.state();
    let broken = state.broken_attempts.remove(&entry.id).unwrap_or_default();
    // An upstream that leaves stops as announced.
    let is_listed = state
        .catalog
        .usable(&entry.service)
        .any(|listed| listed.id == entry.id);
    drop(state);
    if is_down && !has_crashed {
        log::info!(upstream:% = entry.id; "the link to the upstream was lost; no crash");
    }
    if !has_crashed || !is_listed {
        return;
    }
    let requests: Vec<&str> = broken.iter().map(|attempt| attempt.request.as_str()).collect();
    log::warn!(
        upstream:% = entry.id, requests = requests.len(), under = requests.join(",");
        "the upstream has crashed"
    );
    metrics::counter!("gateway_upstream_crashes_total").increment(1);
    gateway.change_crashes(|table, time| {
        for attempt in &broken {
            table.record_crash(attempt.crash_record(&entry.id, time), time);
        }
    });
}
