//! Stand-in for the platform's lagging instance list.
//!
//! Entries are set and removed in process or by `PUT` and `DELETE` on `/v1/instances/{id}`.
//! `GET /v1/instances` returns the list as it was some time ago.

use std::collections::VecDeque;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::routing::{get, put};
use axum::{Json, Router};
use futures::FutureExt;
use futures::future::{self, BoxFuture};
use marigoldlock_wire::platform::{InstanceList, ListEntry, ListState};
use tokio::time::Instant;

use crate::faults::{FaultInjector, FaultPlan};
use crate::server::{DisconnectPolicy, StandinServer};

/// Options of a list stand-in.
#[derive(Clone, Debug)]
pub struct ListOptions {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Age of the list that readers get, in milliseconds.
    pub lag_ms: u64,
    /// Initial entries; they are visible without lag.
    pub entries: Vec<ListEntry>,
    /// Initial faults.
    pub faults: FaultPlan,
}

impl Default for ListOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            lag_ms: 0,
            entries: Vec::new(),
            faults: FaultPlan::default(),
        }
    }
}

/// Handle to the list's entries, for code that starts and stops machines.
#[derive(Clone, Debug)]
pub struct ListHandle {
    state: Arc<Mutex<ListHistory>>,
    lag: Duration,
}

impl ListHandle {
    /// Adds an entry, or replaces the one with its id.
    pub fn set(&self, entry: ListEntry) {
        self.change(|entries| {
            entries.retain(|known| known.id != entry.id);
            entries.push(entry);
        });
    }

    /// Removes an entry; returns false if no entry has the id.
    pub fn remove(&self, id: &str) -> bool {
        let known = self.current().entries.iter().any(|entry| entry.id == id);
        if known {
            self.change(|entries| entries.retain(|entry| entry.id != id));
        }
        known
    }

    /// Changes the state of an entry, if an entry has the id.
    pub fn set_state(&self, id: &str, state: ListState) {
        self.change(|entries| {
            for entry in entries.iter_mut().filter(|entry| entry.id == id) {
                entry.state = state;
            }
        });
    }

    /// The list without lag.
    pub fn current(&self) -> InstanceList {
        self.history().newest().clone()
    }

    /// The list as readers currently see it.
    pub fn lagged(&self) -> InstanceList {
        let now = Instant::now();
        let mut history = self.history();
        history.drop_older(now, self.lag);
        history.oldest().clone()
    }

    fn change(&self, edit: impl FnOnce(&mut Vec<ListEntry>)) {
        let now = Instant::now();
        let mut history = self.history();
        let mut list = history.newest().clone();
        edit(&mut list.entries);
        list.version += 1;
        history.versions.push_back((now, list));
        history.drop_older(now, self.lag);
    }

    fn history(&self) -> MutexGuard<'_, ListHistory> {
        self.state.lock().expect("no panic while held")
    }
}

/// Destination of list entries: this stand-in in process, or one that is reached over HTTP.
pub trait ListTarget: Debug + Send + Sync {
    /// Adds an entry, or replaces the one with its id.
    fn set(&self, entry: ListEntry) -> BoxFuture<'_, eyre::Result<()>>;

    /// Removes an entry, if an entry has the id.
    fn remove<'a>(&'a self, id: &'a str) -> BoxFuture<'a, eyre::Result<()>>;
}

impl ListTarget for ListHandle {
    fn set(&self, entry: ListEntry) -> BoxFuture<'_, eyre::Result<()>> {
        Self::set(self, entry);
        future::ready(Ok(())).boxed()
    }

    fn remove<'a>(&'a self, id: &'a str) -> BoxFuture<'a, eyre::Result<()>> {
        Self::remove(self, id);
        future::ready(Ok(())).boxed()
    }
}

/// Versions of the list that a reader may still get, oldest first; never empty.
#[derive(Debug)]
struct ListHistory {
    versions: VecDeque<(Instant, InstanceList)>,
}

impl ListHistory {
    fn newest(&self) -> &InstanceList {
        let (_, list) = self.versions.back().expect("never empty");
        list
    }

    fn oldest(&self) -> &InstanceList {
        let (_, list) = self.versions.front().expect("never empty");
        list
    }

    fn drop_older(&mut self, now: Instant, lag: Duration) {
        let is_visible = |(made, _): &(Instant, InstanceList)| now.duration_since(*made) >= lag;
        while self.versions.get(1).is_some_and(is_visible) {
            self.versions.pop_front();
        }
    }
}

/// Running list stand-in.
#[derive(Debug)]
pub struct ListStandin {
    server: StandinServer,
    faults: FaultInjector,
    handle: ListHandle,
}

impl ListStandin {
    /// Starts the list.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start(options: ListOptions) -> eyre::Result<Self> {
        let faults = FaultInjector::new(options.faults);
        let list = InstanceList {
            version: 1,
            entries: options.entries,
        };
        let history = ListHistory {
            versions: VecDeque::from([(Instant::now(), list)]),
        };
        let lag = Duration::from_millis(options.lag_ms);
        let handle = ListHandle {
            state: Arc::new(Mutex::new(history)),
            lag,
        };
        let routes = routes(handle.clone());
        let server = StandinServer::start(options.listen, routes, &faults, DisconnectPolicy::Finish).await?;
        Ok(Self {
            server,
            faults,
            handle,
        })
    }

    /// Address the list listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Fault injector, which can be changed at any time.
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Handle to the entries, which can be changed at any time.
    pub fn handle(&self) -> &ListHandle {
        &self.handle
    }

    /// Adds an entry, or replaces the one with its id.
    pub fn set(&self, entry: ListEntry) {
        self.handle.set(entry);
    }

    /// Removes an entry; returns false if no entry has the id.
    pub fn remove(&self, id: &str) -> bool {
        self.handle.remove(id)
    }

    /// Closes the listener and all connections.
    pub async fn close(self) {
        self.server.close().await;
    }
}

fn routes(handle: ListHandle) -> Router {
    Router::new()
        .route("/v1/instances", get(show_list))
        .route("/v1/instances/{id}", put(put_entry).delete(delete_entry))
        .with_state(handle)
}

async fn show_list(State(handle): State<ListHandle>) -> Json<InstanceList> {
    Json(handle.lagged())
}

async fn put_entry(
    State(handle): State<ListHandle>,
    Path(id): Path<String>,
    Json(entry): Json<ListEntry>,
) -> StatusCode {
    if entry.id != id {
        return StatusCode::BAD_REQUEST;
    }
    handle.set(entry);
    StatusCode::NO_CONTENT
}

async fn delete_entry(State(handle): State<ListHandle>, Path(id): Path<String>) -> StatusCode {
    match handle.remove(&id) {
        true => StatusCode::NO_CONTENT,
        false => StatusCode::NOT_FOUND,
    }
}
