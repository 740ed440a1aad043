//! Polling of the platform's list and of the upstreams' load and cache events.

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

use super::actor::ApplyList;
use super::handle::MemberHandle;
use crate::dispatch::{DispatchHandle, UpdateCache, UpdateList, UpdateLoad};
use crate::platform::{ListClient, read_json};

/// Time limit for reading a load report or cache events.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Traffic of reading one upstream's load report and cache events, in both directions and with headers.
const REPORT_BYTES: u64 = 900;

/// Receiver of the platform's list as last read.
pub type ListReceiver = watch::Receiver<Arc<InstanceList>>;

/// Polls the platform's list until the task is dropped; the last list stays in force while reads fail.
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
                    .tell(ApplyList(Arc::clone(&list)))
                    .send()
                    .await
                    .is_err()
                {
                    debug!("the member actor has stopped");
                }
                feed.send_replace(list);
            }
            Err(err) => {
                warn!(error:% = err; "reading the instance list failed; the last list stays in force")
            }
        }
    }
}

/// Limits on how often upstreams are polled.
#[derive(Clone, Copy, Debug)]
pub struct PollLimits {
    /// Minimum interval between two rounds.
    pub min_interval: Duration,
    /// Maximum traffic of all reads together, in bytes per second.
    pub bytes_per_s: u64,
}

impl PollLimits {
    /// Returns the interval between two rounds over a number of upstreams.
    fn interval(&self, upstreams: usize) -> Duration {
        let bytes = upstreams as u64 * REPORT_BYTES;
        let needed = Duration::from_millis(bytes * 1_000 / self.bytes_per_s.max(1));
        needed.max(self.min_interval)
    }
}

/// Polls load and cache events of the upstreams that this instance uses, until the task is dropped.
pub async fn poll_upstreams(
    list: ListReceiver,
    limits: PollLimits,
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
        tokio::time::sleep_until(started + limits.interval(subset.len())).await;
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
    /// Polls all upstreams concurrently, so that an unresponsive one does not delay the others.
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
            debug!(url, error:% = err; "reading a report of an upstream failed");
            None
        }
    }
}
