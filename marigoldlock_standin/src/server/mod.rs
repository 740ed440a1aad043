//! HTTP server of a stand-in, with fault injection around its routes.
//!
//! A handler can close its connection through the [`ConnectionHandle`]. When the fault plan takes the
//! stand-in down, the server closes the listener and all connections, and later binds the same address again.

mod connection;
mod layer;

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use eyre::WrapErr;
use hyper::service::{Service, service_fn};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

pub use self::connection::ConnectionHandle;
use self::connection::drive_connection;
pub use self::layer::{CONTROL_PREFIX, DisconnectPolicy};
use self::layer::{FaultLayer, with_faults};
use crate::faults::{Availability, FaultInjector};

/// Interval between attempts to bind the address again, in milliseconds.
const REBIND_INTERVAL_MS: u64 = 20;

/// Running HTTP server of a stand-in.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
    stop: CancellationToken,
    stopped: CancellationToken,
    task: JoinHandle<()>,
}

impl StandinServer {
    /// Binds `listen` and serves `routes` with fault injection.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start(
        listen: SocketAddr,
        routes: Router,
        faults: &FaultInjector,
        disconnect: DisconnectPolicy,
    ) -> eyre::Result<Self> {
        let listener = TcpListener::bind(listen)
            .await
            .wrap_err_with(|| format!("cannot listen on {listen}"))?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let layer = FaultLayer {
            faults: faults.clone(),
            disconnect,
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
        let stopped_guard = stopped.clone().drop_guard();
        let run = accept.run(listener, stop.clone());
        let task = tokio::spawn(async move {
            let _ended = stopped_guard;
            run.await;
        });
        Ok(Self {
            address,
            stop,
            stopped,
            task,
        })
    }

    /// Address the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections; the recorded state stays readable.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.stopped.cancelled().await;
    }

    /// Closes the listener and all connections.
    pub async fn close(self) {
        self.stop.cancel();
        if let Err(error) = self.task.await {
            log::warn!(error:% = error; "stand-in server task failed");
        }
    }
}

struct AcceptLoop {
    address: SocketAddr,
    routes: Router,
    faults: FaultInjector,
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
        let mut availability = self.faults.availability();
        let mut restarts = availability.borrow().restart_count;
        let mut listener = Some(listener);
        loop {
            let Availability {
                closed,
                restart_count: seen,
                ..
            } = *availability.borrow_and_update();
            if closed || seen != restarts {
                restarts = seen;
                listener = None;
                self.connections.cancel();
                self.connections = CancellationToken::new();
            }
            if !closed && listener.is_none() {
                listener = Some(self.rebind().await);
            }
            let Some(open) = &listener else {
                let _ = availability.changed().await;
                continue;
            };
            tokio::select! {
                biased;
                _ = availability.changed() => {},
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
                Err(error) => log::warn!(address:% = self.address, error:% = error; "bind failed; retrying"),
            }
            tokio::time::sleep(Duration::from_millis(REBIND_INTERVAL_MS)).await;
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
        let availability = self.faults.availability();
        self.tracker.spawn(async move {
            tokio::pin!(connection);
            drive_connection(connection, token, availability).await;
        });
    }
}
