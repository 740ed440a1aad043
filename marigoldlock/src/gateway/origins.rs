//! Tells and asks other instances, and in the end the store, which software version began a stream.

use std::net::SocketAddr;
use std::time::Duration;

use marigoldlock_core::gateway::exchange::FleetView;
use marigoldlock_core::gateway::origins::{
    StreamKey, StreamOrigin, UnsentOrigin, VersionHistory, VersionKey, asked_keepers, keepers,
};
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::prelude::*;
use tokio::net::UdpSocket;

use super::call::{Call, RETRY_AFTER};
use super::heartbeats::Datagram;
use super::{Gateway, codec};

/// Time in which streams are collected for one datagram; a caller may resume a stream as soon as its instance is lost.
const SPREAD_INTERVAL: Duration = Duration::from_millis(10);

/// Time after which a query is repeated: several round trips between data centres.
const QUERY_INTERVAL: Duration = Duration::from_millis(50);

/// Queries about one stream; a datagram may be lost, and the store knows what nobody answers.
const MAX_QUERIES: usize = 2;

/// Maximum number of streams in one datagram, which keeps it below the limit of UDP.
const MAX_DATAGRAM_STREAMS: usize = 1_000;

impl Call {
    /// True if the upstream may go on with the stream, or begin it.
    pub fn may_continue_at(&self, entry: &UpstreamEntry) -> bool {
        self.version
            .is_none_or(|version| version == VersionKey::from(entry))
    }

    /// Records that the upstream has sent the first event of its response.
    pub fn record_origin(&mut self, entry: &UpstreamEntry) {
        let version = *self.version.get_or_insert_with(|| VersionKey::from(entry));
        let first_attempt = match self.head.last_event {
            Some(_) => self.head.resumes.as_deref(),
            None => Some(self.head.attempt_id.as_str()),
        };
        let Some(attempt) = first_attempt.filter(|attempt| !attempt.is_empty()) else {
            return;
        };
        let origin = StreamOrigin {
            stream: StreamKey::from(attempt),
            version,
        };
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        let history = state.version_histories.get(&entry.service);
        let is_contested = history.is_none_or(|history| history.settled().is_none());
        state.origins.record(origin, is_contested, now);
        drop(state);
        self.gateway.origins_pending.notify_one();
    }

    /// Finds the version that began the stream: as it is known here, to other instances or to the store; else the one that
    /// serves alone. The latter may only be used on news that is newer than the stream, and the store alone tells that.
    async fn find_version(&self) -> Result<VersionKey, Refusal> {
        let stream = self.head.resumes.as_deref().map(StreamKey::from);
        if let Some(stream) = stream {
            if let Some(version) = self.gateway.state().origins.version(stream) {
                return Ok(version);
            }
            if let Some(version) = self.gateway.ask_origin(stream).await {
                return Ok(version);
            }
        }
        let is_current = self.gateway.look_up(self.arrived).await;
        let archived = stream.and_then(|stream| self.gateway.state().origins.version(stream));
        let version = archived.or_else(|| is_current.then(|| self.settled_version())?);
        version.ok_or_else(|| {
            let now = self.gateway.now();
            let news_age = self.gateway.state().upstreams_date.age(now);
            log::info!(
                request = self.head.attempt_id, stream = self.head.resumes.as_deref(), is_store_read = is_current,
                news_age_ms = news_age.map(|age| age.as_millis() as u64);
                "nobody knows which version began the stream"
            );
            Refusal::new(RefusalCause::UnknownVersion).retry_after(RETRY_AFTER)
        })
    }

    /// Takes up the stream at the version that began it, also if that is one of another service of the route.
    ///
    /// # Errors
    ///
    /// Returns a refusal if nobody knows it and more than one version may have.
    pub async fn resume_version(&mut self) -> Result<(), Refusal> {
        let version = self.find_version().await?;
        self.version = Some(version);
        let state = self.gateway.state();
        let serves = |service: &ServiceId| {
            let mut entries = state.catalog.usable(service);
            entries.any(|entry| VersionKey::from(entry) == version)
        };
        let services = self.route.shares.iter().map(|share| &share.service);
        let began_at = services.chain([&self.service]).rfind(|service| serves(service));
        let began_at = began_at.cloned();
        drop(state);
        if let Some(service) = began_at {
            self.service = service;
        }
        Ok(())
    }

    /// The version that has served alone for as long as the stream can have gone on. Only news from after the request's
    /// arrival names every version that may have begun the stream.
    fn settled_version(&self) -> Option<VersionKey> {
        let state = self.gateway.state();
        let version = state
            .version_histories
            .get(&self.service)
            .and_then(VersionHistory::settled)?;
        // What the store named as alone at the start may have been out of date.
        let settled = state.version_histories.iter().filter_map(|(service, history)| {
            let version = history.settled()?;
            Some(VersionKey::new(service, version))
        });
        let settled: Vec<VersionKey> = settled.collect();
        (!state.origins.has_others(&settled)).then(|| VersionKey::new(&self.service, version))
    }
}

impl Gateway {
    /// Queues a query about a stream; returns false if there is nobody to ask.
    fn queue_query(&self, stream: StreamKey) -> bool {
        let mut state = self.state();
        if state.members.all().next().is_none() {
            return false;
        }
        state.origin_queries.push(stream);
        self.origins_pending.notify_one();
        true
    }

    /// Asks other instances for the origin of a stream; `None` if nobody tells it in time.
    async fn ask_origin(&self, stream: StreamKey) -> Option<VersionKey> {
        for _ in 0..MAX_QUERIES {
            if !self.queue_query(stream) {
                return None;
            }
            let due = tokio::time::Instant::now() + QUERY_INTERVAL;
            loop {
                let changed = self.origins_changed.notified();
                if let Some(version) = self.state().origins.version(stream) {
                    return Some(version);
                }
                if tokio::time::timeout_at(due, changed).await.is_err() {
                    break;
                }
            }
        }
        None
    }
}

/// Sends what other instances are to be told and asked; never returns.
pub async fn spread_origins(gateway: &Gateway, socket: &UdpSocket) {
    loop {
        gateway.origins_pending.notified().await;
        for (address, (origins, queries)) in take_pending(gateway) {
            for streams in origins.chunks(MAX_DATAGRAM_STREAMS) {
                send(socket, &Datagram::Origins(streams.to_vec()), address).await;
            }
            for streams in queries.chunks(MAX_DATAGRAM_STREAMS) {
                send(socket, &Datagram::OriginQuery(streams.to_vec()), address).await;
            }
        }
        tokio::time::sleep(SPREAD_INTERVAL).await;
    }
}

type PendingStreams = FastMap<SocketAddr, (Vec<StreamOrigin>, Vec<StreamKey>)>;

fn take_pending(gateway: &Gateway) -> PendingStreams {
    let mut state = gateway.state();
    let origins = state.origins.take_unsent();
    let queries = std::mem::take(&mut state.origin_queries);
    let view = FleetView {
        own: &gateway.parts.card,
        members: &state.members,
        now: gateway.now(),
    };
    let own = &gateway.parts.card.id;
    let archivists: Vec<SocketAddr> = view
        .archivists(state.store.is_reachable())
        .into_iter()
        .filter(|card| card.id != *own)
        .map(|card| card.peer)
        .collect();
    let mut pending = PendingStreams::default();
    for UnsentOrigin { origin, is_contested } in origins {
        let mut addresses = keepers(&view, origin.stream);
        if is_contested {
            let others = archivists.iter().filter(|address| !addresses.contains(address));
            addresses.extend(others.copied().collect::<Vec<_>>());
        }
        for address in addresses {
            pending.entry(address).or_default().0.push(origin);
        }
    }
    for stream in queries {
        for address in asked_keepers(&view, stream) {
            pending.entry(address).or_default().1.push(stream);
        }
    }
    pending
}

/// Records what another instance tells of streams.
pub fn handle_origins(gateway: &Gateway, origins: &[StreamOrigin]) {
    gateway.state().origins.merge(origins, gateway.now());
    gateway.origins_changed.notify_waiters();
}

/// Replies to a query with those streams that are known here.
pub async fn handle_query(gateway: &Gateway, socket: &UdpSocket, streams: &[StreamKey], from: SocketAddr) {
    let known = gateway.state().origins.find(streams);
    for origins in known.chunks(MAX_DATAGRAM_STREAMS) {
        send(socket, &Datagram::Origins(origins.to_vec()), from).await;
    }
}

async fn send(socket: &UdpSocket, datagram: &Datagram<()>, address: SocketAddr) {
    let bytes = match codec::encode(datagram) {
        Ok(bytes) => bytes,
        Err(err) => {
            log::error!(error:% = err; "a datagram about streams can't be encoded");
            return;
        }
    };
    if let Err(err) = socket.send_to(&bytes, address).await {
        log::debug!(peer:% = address, error:% = err; "datagram about streams not sent");
    }
}
