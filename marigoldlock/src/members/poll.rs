//! Reading the list and the upstreams' load at intervals.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::{debug, warn};
use marigoldlock_wire::engine::{CacheEvents, LoadReport};
use marigoldlock_wire::platform::{InstanceList, ListEntry, ListKind};
use marigoldlock_wire::prelude::*;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use super::actor::NoteList;
use super::handle::MemberHandle;
use crate::dispatch::{DispatchHandle, UpdateCache, UpdateList, UpdateLoad};
use crate::platform::ListClient;

/// Longest wait for a load report or cache events.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Reader of the list as last read.
pub type ListFeed = watch::Receiver<Arc<InstanceList>>;

/// Reads the list for as long as the task lives; the last one stays in force while the platform is silent.
pub async fn poll_list(
    client: Arc<dyn ListClient>,
    interval: Duration,
    feed: watch::Sender<Arc<InstanceList>>,
    dispatch: DispatchHandle,
    members: MemberHandle,
) {
    let mut ticks = tokio::time::interval(interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match client.read().await {
            Ok(list) => {
                let list = Arc::new(list);
                dispatch.tell(UpdateList(Arc::clone(&list)));
                if members
                    .actor()
                    .tell(NoteList(Arc::clone(&list)))
                    .send()
                    .await
                    .is_err()
                {
                    debug!("the member actor has ended");
                }
                feed.send_replace(list);
            }
            Err(err) => warn!(error:% = err; "the instance list can't be read"),
        }
    }
}

/// Reads load and cache events of every listed upstream for as long as the task lives.
pub async fn poll_upstreams(list: ListFeed, interval: Duration, dispatch: DispatchHandle) {
    let mut poller = ReportPoller {
        http: report_client(),
        next_event: FastMap::default(),
        dispatch,
    };
    let mut ticks = tokio::time::interval(interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let list = Arc::clone(&list.borrow());
        poller.poll(&list.entries).await;
    }
}

fn report_client() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .timeout(REPORT_TIMEOUT)
        .connect_timeout(REPORT_TIMEOUT)
        .build()
        .expect("a client without TLS always builds")
}

struct ReportPoller {
    http: reqwest::Client,
    next_event: FastMap<String, (Incarnation, u64)>,
    dispatch: DispatchHandle,
}

impl ReportPoller {
    /// One round over all upstreams side by side, so that a silent one delays no other.
    async fn poll(&mut self, entries: &[ListEntry]) {
        let mut reads = FuturesUnordered::new();
        for entry in entries.iter().filter(|entry| entry.kind != ListKind::Entry) {
            let from = self.next_event.get(&entry.id).map_or(0, |(_, next)| *next);
            reads.push(read_reports(&self.http, entry, from));
        }
        while let Some((entry, load, events)) = reads.next().await {
            if let Some(report) = load {
                self.dispatch.tell(UpdateLoad {
                    upstream: entry.id.as_str().into(),
                    report,
                });
            }
            if let Some(events) = events {
                self.next_event
                    .insert(entry.id.clone(), (events.incarnation, events.next));
                if !events.events.is_empty() {
                    self.dispatch.tell(UpdateCache {
                        upstream: entry.id.as_str().into(),
                        events,
                    });
                }
            }
        }
        self.next_event
            .retain(|id, _| entries.iter().any(|entry| entry.id == *id));
    }
}

async fn read_reports<'a>(
    http: &reqwest::Client,
    entry: &'a ListEntry,
    from: u64,
) -> (&'a ListEntry, Option<LoadReport>, Option<CacheEvents>) {
    let load = read_json(http, format!("http://{}/v1/load", entry.address)).await;
    if entry.kind != ListKind::Engine {
        return (entry, load, None);
    }
    let events = read_json(
        http,
        format!("http://{}/v1/cache/events?from={from}", entry.address),
    )
    .await;
    (entry, load, events)
}

async fn read_json<T: serde::de::DeserializeOwned>(http: &reqwest::Client, url: String) -> Option<T> {
    let read = async { http.get(&url).send().await?.error_for_status()?.json().await };
    match read.await {
        Ok(value) => Some(value),
        Err(err) => {
            debug!(url, error:% = err; "report not read");
            None
        }
    }
}
