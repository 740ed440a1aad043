//! Stand-in for the interface that receives usage reports.
//!
//! It accepts every report and records its violations: a different figure for a window that was already
//! reported, or a fencing number that decreased or is also used by another reporter.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use marigoldlock_wire::FastMap;
use marigoldlock_wire::ids::CustomerId;
use marigoldlock_wire::platform::{UsageFigure, UsageReport};
use serde::{Deserialize, Serialize};

use crate::clock::UnixClock;
use crate::faults::{FaultInjector, FaultPlan};
use crate::fence::{FenceChecker, FenceFinding};
use crate::server::{DisconnectPolicy, StandinServer};

/// Options of a usage stand-in.
#[derive(Clone, Debug)]
pub struct UsageOptions {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Initial faults.
    pub faults: FaultPlan,
}

impl Default for UsageOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            faults: FaultPlan::default(),
        }
    }
}

/// Report that was received.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeenReport {
    /// Time of arrival, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The report.
    pub report: UsageReport,
    /// True if the customer's window was already reported with the same figure.
    pub repeated: bool,
    /// True if the customer's window was already reported with a different figure.
    pub differs: bool,
    /// Check of its fencing number against the customer's earlier reports.
    #[serde(flatten)]
    pub finding: FenceFinding,
}

impl SeenReport {
    /// True if the report should never have been sent.
    pub fn is_violation(&self) -> bool {
        self.differs || self.finding.is_violation()
    }
}

/// Running usage stand-in.
#[derive(Debug)]
pub struct UsageStandin {
    server: StandinServer,
    faults: FaultInjector,
    shared: Arc<SharedUsage>,
}

impl UsageStandin {
    /// Starts the interface with no reports.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start(options: UsageOptions) -> eyre::Result<Self> {
        let faults = FaultInjector::new(options.faults);
        let shared = Arc::new(SharedUsage::default());
        let routes = routes(Arc::clone(&shared));
        let server = StandinServer::start(options.listen, routes, &faults, DisconnectPolicy::Finish).await?;
        Ok(Self {
            server,
            faults,
            shared,
        })
    }

    /// Address the interface listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Fault injector, which can be changed at any time.
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Every report, in the order of arrival.
    pub fn seen(&self) -> Vec<SeenReport> {
        self.shared.state().seen.clone()
    }

    /// Closes the listener and all connections.
    pub async fn close(self) {
        self.server.close().await;
    }
}

#[derive(Debug, Default)]
struct UsageState {
    seen: Vec<SeenReport>,
    figures: FastMap<(CustomerId, u64), UsageFigure>,
    fence: FenceChecker<CustomerId>,
}

#[derive(Debug, Default)]
struct SharedUsage {
    clock: UnixClock,
    state: Mutex<UsageState>,
}

impl SharedUsage {
    fn state(&self) -> MutexGuard<'_, UsageState> {
        self.state.lock().expect("no panic while held")
    }

    fn record(&self, report: UsageReport) {
        let time_ms = self.clock.now_ms();
        let mut state = self.state();
        let window = (report.customer.clone(), report.window);
        let previous: Option<UsageFigure> = state.figures.get(&window).copied();
        let finding = state
            .fence
            .check(report.customer.clone(), report.epoch, &report.reporter);
        if previous.is_none() {
            state.figures.insert(window, report.figure);
        }
        let repeated = previous.is_some_and(|figure| figure == report.figure);
        let differs = previous.is_some_and(|figure| figure != report.figure);
        state.seen.push(SeenReport {
            time_ms,
            report,
            repeated,
            differs,
            finding,
        });
    }
}

fn routes(shared: Arc<SharedUsage>) -> Router {
    Router::new()
        .route("/v1/usage", post(receive_report))
        .route("/_standin/seen", get(show_seen))
        .with_state(shared)
}

async fn receive_report(
    State(usage): State<Arc<SharedUsage>>,
    Json(report): Json<UsageReport>,
) -> StatusCode {
    usage.record(report);
    StatusCode::OK
}

async fn show_seen(State(usage): State<Arc<SharedUsage>>) -> Json<Vec<SeenReport>> {
    Json(usage.state().seen.clone())
}
