//! Stand-in for the platform's lagging instance list.
//!
//! Entries are set and removed in process or by `PUT` and `DELETE` on `/v1/instances/{id}`. A reader of
//! `GET /v1/instances` gets the list as it was some time ago.

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

use crate::faults::{FaultKnobs, FaultPlan};
use crate::server::{CallerLoss, StandinServer};

/// How a list stand-in behaves.
#[derive(Clone, Debug)]
pub struct ListOptions {
    /// Address to listen on; port 0 for any.
    pub listen: SocketAddr,
    /// How old the list is that readers get, in milliseconds.
    pub lag_ms: u64,
    /// Entries from the start; they are shown without lag.
    pub entries: Vec<ListEntry>,
    /// What goes wrong from the start.
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

/// Handle on the list's entries, for whoever starts and ends machines.
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

    /// Removes an entry; false if there is none with the id.
    pub fn remove(&self, id: &str) -> bool {
        let known = self.current().entries.iter().any(|entry| entry.id == id);
        if known {
            self.change(|entries| entries.retain(|entry| entry.id != id));
        }
        known
    }

    /// Changes the state of an entry, if there is one with the id.
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

    /// The list as readers get it now.
    pub fn lagged(&self) -> InstanceList {
        let now = Instant::now();
        let mut history = self.history();
        history.forget(now, self.lag);
        history.oldest().clone()
    }

    fn change(&self, edit: impl FnOnce(&mut Vec<ListEntry>)) {
        let now = Instant::now();
        let mut history = self.history();
        let mut list = history.newest().clone();
        edit(&mut list.entries);
        list.version += 1;
        history.versions.push_back((now, list));
        history.forget(now, self.lag);
    }

    fn history(&self) -> MutexGuard<'_, ListHistory> {
        self.state.lock().expect("no panic while held")
    }
}

/// Where machines are listed: this stand-in in process, or one that is reached over HTTP.
pub trait ListTarget: Debug + Send + Sync {
    /// Adds an entry, or replaces the one with its id.
    fn set(&self, entry: ListEntry) -> BoxFuture<'_, eyre::Result<()>>;

    /// Removes an entry, if there is one with the id.
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

    fn forget(&mut self, now: Instant, lag: Duration) {
        let shows = |(made, _): &(Instant, InstanceList)| now.duration_since(*made) >= lag;
        while self.versions.get(1).is_some_and(shows) {
            self.versions.pop_front();
        }
    }
}

/// Running list stand-in.
#[derive(Debug)]
pub struct ListStandin {
    server: StandinServer,
    faults: FaultKnobs,
    handle: ListHandle,
}

impl ListStandin {
    /// Starts the list.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start(options: ListOptions) -> eyre::Result<Self> {
        let faults = FaultKnobs::new(options.faults);
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
        let server = StandinServer::start(options.listen, routes, &faults, CallerLoss::Finish).await?;
        Ok(Self {
            server,
            faults,
            handle,
        })
    }

    /// Address that the list listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults, to be changed at any time.
    pub fn faults(&self) -> &FaultKnobs {
        &self.faults
    }

    /// The entries, to be changed at any time.
    pub fn handle(&self) -> &ListHandle {
        &self.handle
    }

    /// Adds an entry, or replaces the one with its id.
    pub fn set(&self, entry: ListEntry) {
        self.handle.set(entry);
    }

    /// Removes an entry; false if there is none with the id.
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
