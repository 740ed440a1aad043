//! Faults around the routes of a stand-in.

use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{StatusCode, header};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::connection::ConnectionHandle;
use crate::faults::{CallFate, CallFault, FaultKnobs, FaultPlan, OutageKind, Presence};

/// Largest body that a stand-in takes, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Prefix of the paths that serve checks and faults.
pub const CONTROL_PREFIX: &str = "/_standin/";

/// What becomes of a running call whose caller closes the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerLoss {
    /// The call runs to its end.
    Finish,
    /// The call is cancelled.
    Cancel,
}

/// What a call needs to know about its stand-in's faults.
#[derive(Clone)]
pub(super) struct FaultLayer {
    /// The faults.
    pub(super) faults: FaultKnobs,
    /// What becomes of calls without a caller.
    pub(super) loss: CallerLoss,
    /// Stop of the stand-in.
    pub(super) stop: CancellationToken,
}

impl FaultLayer {
    /// Ends when the stand-in stops or is restarted; what runs then is lost.
    fn crash(&self) -> impl Future<Output = ()> + Send + 'static {
        let stop = self.stop.clone();
        let restart = next_restart(self.faults.presence());
        async move {
            tokio::select! {
                () = stop.cancelled() => {},
                () = restart => {},
            }
        }
    }
}

/// Puts the faults around the routes, and adds the ones that set them.
pub(super) fn with_faults(routes: Router, layer: FaultLayer) -> Router {
    let control = Router::new()
        .route("/_standin/faults", get(show_faults).put(set_faults))
        .with_state(layer.faults.clone());
    routes
        .layer(middleware::from_fn_with_state(layer, apply_faults))
        .merge(control)
}

async fn show_faults(State(faults): State<FaultKnobs>) -> Json<FaultPlan> {
    Json(faults.plan())
}

async fn set_faults(State(faults): State<FaultKnobs>, Json(plan): Json<FaultPlan>) -> StatusCode {
    faults.set(plan);
    StatusCode::NO_CONTENT
}

async fn apply_faults(State(layer): State<FaultLayer>, request: Request, next: Next) -> Response {
    let path = request.uri().path();
    if path.starts_with(CONTROL_PREFIX) {
        return next.run(request).await;
    }
    let fault = layer.faults.begin_call(request.method().as_str(), path);
    if fault.fate == CallFate::Refuse {
        tokio::time::sleep(fault.delay).await;
        return refusal();
    }
    let connection = request.extensions().get::<ConnectionHandle>().cloned();
    let (parts, body) = request.into_parts();
    let Ok(body) = axum::body::to_bytes(body, MAX_BODY_BYTES).await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    };
    if fault.fate == CallFate::Stall {
        return std::future::pending().await;
    }
    if fault.fate == CallFate::DropCall {
        return cut_connection(connection).await;
    }
    let mut request = Request::from_parts(parts, Body::from(body));
    request.extensions_mut().insert(fault);
    let call = run_call(request, next, layer.faults.clone(), fault, connection);
    match layer.loss {
        CallerLoss::Cancel => call.await,
        CallerLoss::Finish => {
            let crash = layer.crash();
            let call = tokio::spawn(async move {
                tokio::select! {
                    biased;
                    () = crash => None,
                    response = call => Some(response),
                }
            });
            match call.await {
                Ok(Some(response)) => response,
                // The connection is about to be closed too.
                Ok(None) => std::future::pending().await,
                Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
            }
        }
    }
}

async fn run_call(
    request: Request,
    next: Next,
    faults: FaultKnobs,
    fault: CallFault,
    connection: Option<ConnectionHandle>,
) -> Response {
    if !fault.delay.is_zero() {
        tokio::time::sleep(fault.delay).await;
    }
    faults.until_running().await;
    let response = next.run(request).await;
    if !fault.answer_delay.is_zero() {
        tokio::time::sleep(fault.answer_delay).await;
    }
    // An outage takes the answers of the calls under way with it.
    match (fault.fate, faults.outage()) {
        (CallFate::DropAnswer, _) | (_, Some(OutageKind::Refuse)) => cut_connection(connection).await,
        (CallFate::StallAnswer, _) | (_, Some(OutageKind::Stall)) => std::future::pending().await,
        _ => response,
    }
}

async fn cut_connection(connection: Option<ConnectionHandle>) -> Response {
    if let Some(connection) = connection {
        connection.cut();
    }
    std::future::pending().await
}

fn refusal() -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, [(header::RETRY_AFTER, "1")]).into_response()
}

async fn next_restart(mut presence: watch::Receiver<Presence>) {
    let before = presence.borrow().restarts;
    let restarted = presence
        .wait_for(|presence| presence.restarts != before)
        .await
        .is_ok();
    if !restarted {
        std::future::pending().await
    }
}
