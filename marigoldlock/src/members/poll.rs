//! Reading the list and the upstreams' load at intervals.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::{debug, warn};
use marigoldlock_core::routing::{UPSTREAMS_PER_SERVICE, upstream_subset};
use marigoldlock_wire::engine::{CacheEvents, LoadReport};
use marigoldlock_wire::platform::{InstanceList, ListEntry, ListKind};
use marigoldlock_wire::prelude::*;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use super::actor::NoteList;
use super::handle::MemberHandle;
use crate::dispatch::{DispatchHandle, UpdateCache, UpdateList, UpdateLoad};
use crate::platform::{ListClient, read_json};

/// Longest wait for a load report or cache events.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes of one upstream's load report and cache events, both ways and with headers.
const REPORT_BYTES: u64 = 900;

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

/// How often upstreams are read.
#[derive(Clone, Copy, Debug)]
pub struct ReportPace {
    /// Shortest time between two rounds.
    pub shortest: Duration,
    /// Traffic of all reads together, in bytes per second.
    pub bytes_per_s: u64,
}

impl ReportPace {
    /// Time between two rounds over so many upstreams.
    fn interval(&self, upstreams: usize) -> Duration {
        let bytes = upstreams as u64 * REPORT_BYTES;
        let needed = Duration::from_millis(bytes * 1_000 / self.bytes_per_s.max(1));
        needed.max(self.shortest)
    }
}

/// Reads load and cache events of the upstreams that this instance uses, for as long as the task lives.
pub async fn poll_upstreams(
    list: ListFeed,
    pace: ReportPace,
    instance: InstanceId,
    local: DataCentre,
    dispatch: DispatchHandle,
) {
    let mut poller = ReportPoller {
        http: report_client(),
        next_event: FastMap::default(),
        dispatch,
    };
    loop {
        let list = Arc::clone(&list.borrow());
        let subset = upstream_subset(instance.as_str(), &local, &list.entries, UPSTREAMS_PER_SERVICE);
        let used = list
            .entries
            .iter()
            .filter(|entry| subset.contains(entry.id.as_str()));
        let started = tokio::time::Instant::now();
        poller.poll(used).await;
        tokio::time::sleep_until(started + pace.interval(subset.len())).await;
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
    async fn poll<'a>(&mut self, entries: impl Iterator<Item = &'a ListEntry>) {
        let mut reads = FuturesUnordered::new();
        let mut read = FastSet::default();
        for entry in entries {
            read.insert(entry.id.clone());
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
        self.next_event.retain(|id, _| read.contains(id));
    }
}

async fn read_reports<'a>(
    http: &reqwest::Client,
    entry: &'a ListEntry,
    from: u64,
) -> (&'a ListEntry, Option<LoadReport>, Option<CacheEvents>) {
    let load = read_report(http, format!("http://{}/v1/load", entry.address)).await;
    if entry.kind != ListKind::Engine {
        return (entry, load, None);
    }
    let events = read_report(
        http,
        format!("http://{}/v1/cache/events?from={from}", entry.address),
    )
    .await;
    (entry, load, events)
}

async fn read_report<T: serde::de::DeserializeOwned>(http: &reqwest::Client, url: String) -> Option<T> {
    let read = async { read_json(http.get(&url).send().await?.error_for_status()?, "report").await };
    match read.await {
        Ok(value) => Some(value),
        Err(err) => {
            debug!(url, error:% = err; "report not read");
            None
        }
    }
}
