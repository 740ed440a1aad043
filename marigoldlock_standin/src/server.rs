//! HTTP server of a stand-in, with the faults applied around its routes.
//!
//! A connection can be cut from inside a handler through its [`ConnectionHandle`], and all of them, with the
//! listener, when the fault plan says that the stand-in is gone. It comes back on the same address.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{StatusCode, header};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use eyre::WrapErr;
use hyper::service::{Service, service_fn};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::faults::{CallFate, CallFault, FaultKnobs, FaultPlan, Presence};

/// Largest body that a stand-in takes, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Pause between two tries to take the address back, in milliseconds.
const REBIND_PAUSE_MS: u64 = 20;

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

/// Handle on the connection that a request came over.
#[derive(Clone, Debug)]
pub struct ConnectionHandle(CancellationToken);

impl ConnectionHandle {
    /// Closes the connection, whatever is under way on it.
    pub fn cut(&self) {
        self.0.cancel();
    }
}

/// Running HTTP server of a stand-in.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
    stop: CancellationToken,
    stopped: CancellationToken,
    task: JoinHandle<()>,
}

impl StandinServer {
    /// Binds `listen` and serves `routes` with the faults around them.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start(
        listen: SocketAddr,
        routes: Router,
        faults: &FaultKnobs,
        loss: CallerLoss,
    ) -> eyre::Result<Self> {
        let listener = TcpListener::bind(listen)
            .await
            .wrap_err_with(|| format!("cannot listen on {listen}"))?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let layer = FaultLayer {
            faults: faults.clone(),
            loss,
            stop: stop.clone(),
        };
        let accept = AcceptLoop {
            address,
            routes: with_faults(routes, layer),
            faults: faults.clone(),
            connections: CancellationToken::new(),
            tracker: TaskTracker::new(),
        };
        let stopped = CancellationToken::new();
        let ended = stopped.clone().drop_guard();
        let run = accept.run(listener, stop.clone());
        let task = tokio::spawn(async move {
            let _ended = ended;
            run.await;
        });
        Ok(Self {
            address,
            stop,
            stopped,
            task,
        })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections, and keeps the rest.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.stopped.cancelled().await;
    }

    /// Closes the listener and all connections.
    pub async fn close(self) {
        self.stop.cancel();
        if let Err(error) = self.task.await {
            log::warn!(error:% = error; "stand-in server ended badly");
        }
    }
}

struct AcceptLoop {
    address: SocketAddr,
    routes: Router,
    faults: FaultKnobs,
    connections: CancellationToken,
    tracker: TaskTracker,
}

impl AcceptLoop {
    async fn run(mut self, listener: TcpListener, stop: CancellationToken) {
        let faults = self.faults.clone();
        tokio::select! {
            () = stop.cancelled() => {},
            () = faults.follow_plan() => {},
            () = self.serve(listener) => {},
        }
        self.connections.cancel();
        self.tracker.close();
        self.tracker.wait().await;
    }

    async fn serve(&mut self, listener: TcpListener) {
        let mut presence = self.faults.presence();
        let mut restarts = presence.borrow().restarts;
        let mut listener = Some(listener);
        loop {
            let Presence {
                absent,
                restarts: seen,
                ..
            } = *presence.borrow_and_update();
            if absent || seen != restarts {
                restarts = seen;
                listener = None;
                self.connections.cancel();
                self.connections = CancellationToken::new();
            }
            if !absent && listener.is_none() {
                listener = Some(self.rebind().await);
            }
            let Some(open) = &listener else {
                let _ = presence.changed().await;
                continue;
            };
            tokio::select! {
                biased;
                _ = presence.changed() => {},
                accepted = open.accept() => {
                    if let Ok((stream, _)) = accepted {
                        self.spawn_connection(stream);
                    }
                },
            }
        }
    }

    async fn rebind(&self) -> TcpListener {
        loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => return listener,
                Err(error) => log::warn!(address:% = self.address, error:% = error; "address not free yet"),
            }
            tokio::time::sleep(Duration::from_millis(REBIND_PAUSE_MS)).await;
        }
    }

    fn spawn_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let token = self.connections.child_token();
        let handle = ConnectionHandle(token.clone());
        let routes = TowerToHyperService::new(self.routes.clone());
        let service = service_fn(move |mut request: hyper::Request<hyper::body::Incoming>| {
            request.extensions_mut().insert(handle.clone());
            routes.call(request)
        });
        let connection =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let presence = self.faults.presence();
        self.tracker.spawn(async move {
            tokio::pin!(connection);
            drive_connection(connection, token, presence).await;
        });
    }
}

/// Polls a connection, but for while the stand-in is paused, and no more once it has fallen silent.
async fn drive_connection(
    mut connection: Pin<&mut impl Future>,
    token: CancellationToken,
    mut presence: watch::Receiver<Presence>,
) {
    let silences = presence.borrow().silences;
    loop {
        let now = *presence.borrow_and_update();
        let held = now.paused || now.silences != silences;
        tokio::select! {
            biased;
            () = token.cancelled() => return,
            changed = presence.changed() => {
                if changed.is_err() {
                    return;
                }
            },
            _ = &mut connection, if !held => return,
        }
    }
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

#[derive(Clone)]
struct FaultLayer {
    faults: FaultKnobs,
    loss: CallerLoss,
    stop: CancellationToken,
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

fn with_faults(routes: Router, layer: FaultLayer) -> Router {
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
    let request = Request::from_parts(parts, Body::from(body));
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
    match fault.fate {
        CallFate::DropAnswer => cut_connection(connection).await,
        CallFate::StallAnswer => std::future::pending().await,
        CallFate::Pass | CallFate::Refuse | CallFate::Stall | CallFate::DropCall => response,
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
