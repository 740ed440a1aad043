//! Middleware that applies faults to the routes of a stand-in.

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
use crate::faults::{Availability, CallAction, CallFault, FaultInjector, FaultPlan, OutageKind};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Prefix of the control paths, which serve recorded calls and fault settings.
pub const CONTROL_PREFIX: &str = "/_standin/";

/// What happens to a running call when its caller closes the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DisconnectPolicy {
    /// The call runs to completion.
    Finish,
    /// The call is cancelled.
    Cancel,
}

/// State of the fault middleware.
#[derive(Clone)]
pub(super) struct FaultLayer {
    /// Fault injector of the stand-in.
    pub(super) faults: FaultInjector,
    /// What happens to calls whose caller disconnected.
    pub(super) disconnect: DisconnectPolicy,
    /// Cancelled when the stand-in stops.
    pub(super) stop: CancellationToken,
}

impl FaultLayer {
    /// Resolves when the stand-in stops or restarts; calls still running then are lost.
    fn wait_for_crash(&self) -> impl Future<Output = ()> + Send + 'static {
        let stop = self.stop.clone();
        let restart = wait_for_restart(self.faults.availability());
        async move {
            tokio::select! {
                () = stop.cancelled() => {},
                () = restart => {},
            }
        }
    }
}

/// Wraps the routes in the fault middleware and adds the routes that control the faults.
pub(super) fn with_faults(routes: Router, layer: FaultLayer) -> Router {
    let control = Router::new()
        .route("/_standin/faults", get(show_faults).put(set_faults))
        .with_state(layer.faults.clone());
    routes
        .layer(middleware::from_fn_with_state(layer, apply_faults))
        .merge(control)
}

async fn show_faults(State(faults): State<FaultInjector>) -> Json<FaultPlan> {
    Json(faults.plan())
}

async fn set_faults(State(faults): State<FaultInjector>, Json(plan): Json<FaultPlan>) -> StatusCode {
    faults.set(plan);
    StatusCode::NO_CONTENT
}

async fn apply_faults(State(layer): State<FaultLayer>, request: Request, next: Next) -> Response {
    let path = request.uri().path();
    if path.starts_with(CONTROL_PREFIX) {
        return next.run(request).await;
    }
    let fault = layer.faults.begin_call(request.method().as_str(), path);
    if fault.action == CallAction::Refuse {
        tokio::time::sleep(fault.delay).await;
        return refusal();
    }
    let connection = request.extensions().get::<ConnectionHandle>().cloned();
    let (parts, body) = request.into_parts();
    let Ok(body) = axum::body::to_bytes(body, MAX_BODY_BYTES).await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    };
    if fault.action == CallAction::Stall {
        return std::future::pending().await;
    }
    if fault.action == CallAction::DropCall {
        return cut_connection(connection).await;
    }
    let mut request = Request::from_parts(parts, Body::from(body));
    request.extensions_mut().insert(fault);
    let call = run_call(request, next, layer.faults.clone(), fault, connection);
    match layer.disconnect {
        DisconnectPolicy::Cancel => call.await,
        DisconnectPolicy::Finish => {
            let crash = layer.wait_for_crash();
            let call = tokio::spawn(async move {
                tokio::select! {
                    biased;
                    () = crash => None,
                    response = call => Some(response),
                }
            });
            match call.await {
                Ok(Some(response)) => response,
                // The server is about to close the connection as well.
                Ok(None) => std::future::pending().await,
                Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
            }
        }
    }
}

async fn run_call(
    request: Request,
    next: Next,
    faults: FaultInjector,
    fault: CallFault,
    connection: Option<ConnectionHandle>,
) -> Response {
    if !fault.delay.is_zero() {
        tokio::time::sleep(fault.delay).await;
    }
    faults.wait_while_paused().await;
    let response = next.run(request).await;
    if !fault.answer_delay.is_zero() {
        tokio::time::sleep(fault.answer_delay).await;
    }
    // An outage also loses the responses of calls in progress.
    match (fault.action, faults.outage()) {
        (CallAction::DropAnswer, _) | (_, Some(OutageKind::Refuse)) => cut_connection(connection).await,
        (CallAction::StallAnswer, _) | (_, Some(OutageKind::Stall)) => std::future::pending().await,
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

async fn wait_for_restart(mut availability: watch::Receiver<Availability>) {
    let before = availability.borrow().restart_count;
    let restarted = availability
        .wait_for(|availability| availability.restart_count != before)
        .await
        .is_ok();
    if !restarted {
        std::future::pending().await
    }
}
