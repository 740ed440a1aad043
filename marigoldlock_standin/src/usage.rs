//! Stand-in for the interface that takes usage reports.
//!
//! It takes every report and writes down what is wrong with it: another figure for a window that was
//! reported before, or a fencing number that went back.

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
use crate::faults::{FaultKnobs, FaultPlan};
use crate::fence::{FenceFinding, FenceWatch};
use crate::server::{CallerLoss, StandinServer};

/// How a usage stand-in behaves.
#[derive(Clone, Debug)]
pub struct UsageOptions {
    /// Address to listen on; port 0 for any.
    pub listen: SocketAddr,
    /// What goes wrong from the start.
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

/// Report that came.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeenReport {
    /// When it came, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The report.
    pub report: UsageReport,
    /// True if the customer's window was reported before with the same figure.
    pub repeated: bool,
    /// True if the customer's window was reported before with another figure.
    pub differs: bool,
    /// What its fencing number says, among the customer's reports.
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
    faults: FaultKnobs,
    shared: Arc<SharedUsage>,
}

impl UsageStandin {
    /// Starts the interface without reports.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start(options: UsageOptions) -> eyre::Result<Self> {
        let faults = FaultKnobs::new(options.faults);
        let shared = Arc::new(SharedUsage::default());
        let routes = routes(Arc::clone(&shared));
        let server = StandinServer::start(options.listen, routes, &faults, CallerLoss::Finish).await?;
        Ok(Self {
            server,
            faults,
            shared,
        })
    }

    /// Address that the interface listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults, to be changed at any time.
    pub fn faults(&self) -> &FaultKnobs {
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
    fence: FenceWatch<CustomerId>,
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

    fn take(&self, report: UsageReport) {
        let time_ms = self.clock.now_ms();
        let mut state = self.state();
        let window = (report.customer.clone(), report.window);
        let before: Option<UsageFigure> = state.figures.get(&window).copied();
        let finding = state
            .fence
            .check(report.customer.clone(), report.epoch, &report.reporter);
        if before.is_none() {
            state.figures.insert(window, report.figure);
        }
        let repeated = before.is_some_and(|figure| figure == report.figure);
        let differs = before.is_some_and(|figure| figure != report.figure);
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
        .route("/v1/usage", post(take_report))
        .route("/_standin/seen", get(show_seen))
        .with_state(shared)
}

async fn take_report(State(usage): State<Arc<SharedUsage>>, Json(report): Json<UsageReport>) -> StatusCode {
    usage.take(report);
    StatusCode::OK
}

async fn show_seen(State(usage): State<Arc<SharedUsage>>) -> Json<Vec<SeenReport>> {
    Json(usage.state().seen.clone())
}
