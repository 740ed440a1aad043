//! Stand-in for the platform's duty calls, with fencing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::routing::post;
use axum::{Json, Router};
use serde::Deserialize;

use super::RouteServer;

/// A usage window that was accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AcceptedUsage {
    /// Instance that reported it first.
    pub holder: String,
    /// Requests by customer.
    pub counts: BTreeMap<String, u64>,
}

/// An accepted capacity order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct ScaleOrder {
    /// The service.
    pub service: String,
    /// The data centre.
    pub zone: String,
    /// Desired number of upstreams.
    pub desired_count: u32,
    /// True for capacity that may be reclaimed.
    #[serde(default)]
    pub spot: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct UsageReport {
    window_id: u64,
    counts: BTreeMap<String, u64>,
}

#[derive(Debug, Default)]
struct DutyState {
    highest_fence: u64,
    /// Holder that first sent the highest fencing number.
    holder: String,
    /// Calls with a fencing number that another holder had sent before.
    rivals: u32,
    usage: BTreeMap<u64, AcceptedUsage>,
    conflicts: u32,
    orders: Vec<ScaleOrder>,
}

type Shared = Arc<Mutex<DutyState>>;

/// Running stand-in for the duty calls.
#[derive(Debug)]
pub struct DutyStandin {
    shared: Shared,
    server: RouteServer,
}

impl DutyStandin {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// If no address can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let shared = Shared::default();
        let routes = Router::new()
            .route("/usage", post(usage))
            .route("/scale", post(scale))
            .with_state(Arc::clone(&shared));
        let server = RouteServer::start(routes).await?;
        Ok(Self { shared, server })
    }

    /// Address the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Windows accepted so far.
    pub fn usage(&self) -> BTreeMap<u64, AcceptedUsage> {
        lock(&self.shared).usage.clone()
    }

    /// Windows that were reported twice with different figures.
    pub fn conflicts(&self) -> u32 {
        lock(&self.shared).conflicts
    }

    /// Accepted calls with a fencing number that another holder had sent before.
    pub fn rivals(&self) -> u32 {
        lock(&self.shared).rivals
    }

    /// Orders accepted so far.
    pub fn orders(&self) -> Vec<ScaleOrder> {
        lock(&self.shared).orders.clone()
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, DutyState> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Checks the caller's fencing number and returns the duty holder; `None` if a higher number was seen or a
/// header is missing or invalid.
fn check_fence(state: &mut DutyState, headers: &HeaderMap) -> Option<String> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let fence: u64 = text("fence-token")?.parse().ok()?;
    if fence < state.highest_fence {
        return None;
    }
    let holder = text("duty-holder")?.to_owned();
    if fence > state.highest_fence {
        state.highest_fence = fence;
        state.holder.clone_from(&holder);
    }
    state.rivals += u32::from(holder != state.holder);
    Some(holder)
}

async fn usage(
    State(shared): State<Shared>,
    headers: HeaderMap,
    Json(report): Json<UsageReport>,
) -> StatusCode {
    let mut state = lock(&shared);
    let Some(holder) = check_fence(&mut state, &headers) else {
        return StatusCode::CONFLICT;
    };
    let accepted = AcceptedUsage {
        holder,
        counts: report.counts,
    };
    let known = state
        .usage
        .entry(report.window_id)
        .or_insert_with(|| accepted.clone());
    if known.counts != accepted.counts {
        state.conflicts += 1;
    }
    StatusCode::OK
}

async fn scale(
    State(shared): State<Shared>,
    headers: HeaderMap,
    Json(order): Json<ScaleOrder>,
) -> StatusCode {
    let mut state = lock(&shared);
    if check_fence(&mut state, &headers).is_none() {
        return StatusCode::CONFLICT;
    }
    state.orders.push(order);
    StatusCode::OK
}
