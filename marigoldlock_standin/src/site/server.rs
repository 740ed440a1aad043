//! HTTP server of a stand-in that can crash.

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};

/// Interval between two attempts to listen on the address again after a crash.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

/// How a server crashes.
#[derive(Clone, Copy, Debug)]
pub struct CrashPlan {
    /// Time after which it listens again.
    pub downtime: Duration,
    /// Time for which it still accepts connections once its open ones have broken.
    pub listener_lag: Duration,
}

/// Makes a server crash: its connections break, and its address refuses new ones for a time.
#[derive(Clone, Debug)]
pub struct CrashSwitch(mpsc::UnboundedSender<CrashPlan>);

impl CrashSwitch {
    /// Crashes the server.
    pub fn crash(&self, plan: CrashPlan) {
        if self.0.send(plan).is_err() {
            log::warn!("a stand-in that has stopped can't crash");
        }
    }
}

/// HTTP server that can crash; it runs until it is dropped.
#[derive(Debug)]
pub struct CrashServer {
    /// Address the server listens on.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl CrashServer {
    /// Starts a server, whose routes may use the switch that they are made with.
    ///
    /// # Errors
    ///
    /// If no address can be bound.
    pub async fn start(routes: impl FnOnce(CrashSwitch) -> Router) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (sender, crashes) = mpsc::unbounded_channel();
        let routes = routes(CrashSwitch(sender));
        let task = tokio::spawn(serve(listener, routes, crashes));
        Ok(Self { address, task })
    }
}

impl Drop for CrashServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(mut listener: TcpListener, routes: Router, mut crashes: mpsc::UnboundedReceiver<CrashPlan>) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    loop {
        let Some(plan) = serve_until_crash(&listener, &routes, &mut crashes).await else {
            return;
        };
        // Even a sleep of no time lasts until the next tick of the timer.
        if !plan.listener_lag.is_zero() {
            tokio::time::sleep(plan.listener_lag).await;
        }
        drop(listener);
        tokio::time::sleep(plan.downtime).await;
        // Crashes during the downtime are part of the one that caused it.
        while crashes.try_recv().is_ok() {}
        listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(err) => log::debug!(error:% = err; "a stand-in's address is not free yet"),
            }
            tokio::time::sleep(REBIND_INTERVAL).await;
        };
    }
}

/// Serves connections until a crash, which aborts them, and returns its plan; `None` once nobody can make the
/// server crash any more.
async fn serve_until_crash(
    listener: &TcpListener,
    routes: &Router,
    crashes: &mut mpsc::UnboundedReceiver<CrashPlan>,
) -> Option<CrashPlan> {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            plan = crashes.recv() => return plan,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let service = TowerToHyperService::new(routes.clone());
                    connections.spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
                }
                Err(err) => log::debug!(error:% = err; "a stand-in could not accept a connection"),
            },
            Some(_) = connections.join_next() => {}
        }
    }
}
