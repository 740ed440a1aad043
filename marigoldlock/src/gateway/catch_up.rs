//! Fetches settings and upstreams from other instances.
//!
//! Only a few instances read the store. The others, and those that can't reach the store, fetch what they
//! lack from an instance that has a newer state.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use marigoldlock_core::gateway::adapter::KeyedRecord;
use marigoldlock_core::gateway::exchange::FleetView;
use marigoldlock_core::gateway::members::{MemberStage, MemberState, SyncState};
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::prelude::*;
use rand::Rng;
use serde::{Deserialize, Serialize};

use super::connections::{HttpSender, connect};
use super::follow::{apply_settings, apply_upstreams, become_ready};
use super::{Gateway, codec};

/// Time for which a follower of the store waits for its own long poll before it asks another instance.
const OWN_POLL_TIMEOUT: Duration = Duration::from_millis(150);

/// Shortest time between two requests, so that changes in quick succession are fetched together.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time between two checks of the other instances' state.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which listings may differ at the same offset before the whole listing is requested: after the
/// store dropped records, followers find some changes late.
const DIGEST_MISMATCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an instance may be behind before it reads the store itself: heartbeats may get through
/// where requests don't.
const MAX_TIME_BEHIND: Duration = Duration::from_millis(1_000);

/// Largest response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Request for changes from another instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct ChangeRequest {
    /// Version of the settings that the sender has.
    settings_version: u64,
    /// Records of upstreams are requested from this position on; all of them if the receiver is in a later era.
    upstreams_from: StorePosition,
}

/// Response with the changes that the requesting instance lacks.
#[derive(Debug, Deserialize, Serialize)]
struct ChangeResponse {
    /// Settings; empty if the sender has none that are newer.
    settings: Vec<u8>,
    /// Era of the offsets.
    era: StoreEra,
    settings_offset: u64,
    /// Key, offset and value of each record; a removed upstream has no value.
    upstreams: Vec<(String, u64, Option<Vec<u8>>)>,
    upstreams_offset: u64,
}

/// Keeps up with the other instances; never returns.
pub async fn catch_up(gateway: &Gateway) {
    let mut fetcher = ChangeFetcher::default();
    loop {
        tokio::select! {
            () = gateway.peer_sync_differs.notified() => {}
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        fetcher.check(gateway).await;
        tokio::time::sleep(MIN_REQUEST_INTERVAL).await;
    }
}

#[derive(Default)]
struct ChangeFetcher {
    /// Connection to the instance that was asked last.
    connection: Option<(SocketAddr, HttpSender)>,
    behind_since: Option<MonoTime>,
    mismatch: Option<DigestMismatch>,
}

/// A listing of another instance that differs at the same offset.
struct DigestMismatch {
    digest: u64,
    since: MonoTime,
    /// True once the whole listing was requested. It is requested only once, because the other instance may
    /// be the one that lacks something.
    is_requested: bool,
}

impl ChangeFetcher {
    async fn check(&mut self, gateway: &Gateway) {
        let now = gateway.now();
        let request = self.next_request(gateway, now);
        let is_sync_stalled = self
            .behind_since
            .is_some_and(|since| now.since(since) >= MAX_TIME_BEHIND);
        if std::mem::replace(&mut gateway.state().is_sync_stalled, is_sync_stalled) != is_sync_stalled {
            log::info!(is_stuck = is_sync_stalled; "instance fell behind the other instances or caught up again");
        }
        let Some((address, request)) = request else {
            return;
        };
        match tokio::time::timeout(REQUEST_TIMEOUT, self.fetch(address, request)).await {
            Ok(Ok(response)) => {
                log::info!(
                    peer:% = address, upstreams_from:% = request.upstreams_from, era:% = response.era, upstreams_offset = response.upstreams_offset,
                    upstreams = response.upstreams.len(), settings_bytes = response.settings.len();
                    "fetched changes from another instance"
                );
                apply_changes(gateway, response);
            }
            Ok(Err(err)) => {
                self.connection = None;
                log::info!(peer:% = address, error:% = err; "fetching changes from another instance failed");
            }
            Err(_) => {
                self.connection = None;
                log::info!(peer:% = address; "fetching changes from another instance timed out");
            }
        }
    }

    /// Returns the next request and its target if another instance has a newer state.
    fn next_request(&mut self, gateway: &Gateway, now: MonoTime) -> Option<(SocketAddr, ChangeRequest)> {
        let state = gateway.state();
        let own = state.sync_state();
        let card = &gateway.parts.card;
        let view = FleetView {
            own: card,
            members: &state.members,
            now,
        };
        let peers: Vec<&MemberState> = state
            .members
            .live(now)
            .filter(|member| member.report.stage != MemberStage::Starting)
            .collect();
        let ahead: Vec<&MemberState> = peers
            .iter()
            .copied()
            .filter(|member| is_ahead(&member.report.sync_state, &own))
            .collect();
        if ahead.is_empty() {
            self.behind_since = None;
            return self.check_digests(&peers, &own, now);
        }
        let since = *self.behind_since.get_or_insert(now);
        if view.is_follower() && now.since(since) < OWN_POLL_TIMEOUT {
            return None;
        }
        let request = ChangeRequest {
            settings_version: own.settings_version,
            upstreams_from: own.upstreams_position(),
        };
        Some((self.choose_peer(&ahead, &card.data_centre), request))
    }

    /// Requests the whole listing if another instance's has differed at the same offset for
    /// [`DIGEST_MISMATCH_TIMEOUT`].
    fn check_digests(
        &mut self,
        peers: &[&MemberState],
        own: &SyncState,
        now: MonoTime,
    ) -> Option<(SocketAddr, ChangeRequest)> {
        let other = peers.iter().find(|member| {
            let sync_state = &member.report.sync_state;
            sync_state.upstreams_position() == own.upstreams_position()
                && own.upstreams_offset > 0
                && sync_state.upstreams_digest != own.upstreams_digest
        });
        let Some(other) = other else {
            self.mismatch = None;
            return None;
        };
        let digest = other.report.sync_state.upstreams_digest;
        match &mut self.mismatch {
            Some(known) if known.digest == digest => {
                let is_due = !known.is_requested && now.since(known.since) >= DIGEST_MISMATCH_TIMEOUT;
                known.is_requested |= is_due;
                let request = ChangeRequest {
                    settings_version: own.settings_version,
                    upstreams_from: StorePosition::new(own.upstreams_position().era, 0),
                };
                is_due.then(|| (other.card().peer, request))
            }
            _ => {
                self.mismatch = Some(DigestMismatch {
                    digest,
                    since: now,
                    is_requested: false,
                });
                None
            }
        }
    }

    /// Chooses the instance that was asked last if its state is still newer, otherwise preferably one in the
    /// same data centre.
    fn choose_peer(&self, ahead: &[&MemberState], data_centre: &DataCentre) -> SocketAddr {
        if let Some((address, _)) = &self.connection
            && ahead.iter().any(|member| member.card().peer == *address)
        {
            return *address;
        }
        let local: Vec<&&MemberState> = ahead
            .iter()
            .filter(|member| member.card().data_centre == *data_centre)
            .collect();
        let at = rand::rng().random_range(0..local.len().max(ahead.len()));
        match local.get(at % local.len().max(1)) {
            Some(member) => member.card().peer,
            None => ahead[at % ahead.len()].card().peer,
        }
    }

    async fn fetch(
        &mut self,
        address: SocketAddr,
        request: ChangeRequest,
    ) -> std::io::Result<ChangeResponse> {
        let pooled = self.connection.take();
        let mut connection = match pooled {
            Some((known, connection)) if known == address && !connection.is_closed() => connection,
            _ => connect(address).await?,
        };
        let request = codec::encode(&request).map_err(std::io::Error::other)?;
        let request = http::Request::post("/")
            .header(http::header::HOST, address.to_string())
            .body(Full::new(request))
            .map_err(std::io::Error::other)?;
        let response = connection
            .send_request(request)
            .await
            .map_err(std::io::Error::other)?;
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await;
        let bytes = body.map_err(std::io::Error::other)?.to_bytes();
        let response = codec::decode(&bytes).map_err(std::io::Error::other)?;
        self.connection = Some((address, connection));
        Ok(response)
    }
}

fn is_ahead(other: &SyncState, own: &SyncState) -> bool {
    other.settings_version > own.settings_version || other.upstreams_position() > own.upstreams_position()
}

fn apply_changes(gateway: &Gateway, mut response: ChangeResponse) {
    let settings = std::mem::take(&mut response.settings);
    if !settings.is_empty() {
        apply_settings(gateway, &Bytes::from(settings), "instance");
    }
    // Settings have versions, which hold in all eras. Offsets of an earlier era say nothing.
    if response.era == gateway.enter_era(response.era) && response.upstreams_offset > 0 {
        apply_upstream_changes(gateway, response);
    }
    become_ready(gateway);
}

fn apply_upstream_changes(gateway: &Gateway, response: ChangeResponse) {
    if !response.upstreams.is_empty() {
        gateway.state().forget_hidden_versions(gateway.now());
    }
    let records: Vec<KeyedRecord> = response
        .upstreams
        .into_iter()
        .map(|(key, offset, value)| KeyedRecord {
            offset,
            key,
            value: value.map(Bytes::from),
        })
        .collect();
    // Without a listing of this era, all records were requested.
    let is_listing = gateway.state().upstreams_offset == 0;
    let next = StorePosition::new(response.era, response.upstreams_offset);
    apply_upstreams(gateway, &records, next, is_listing);
    let mut state = gateway.state();
    if state.store_era() == response.era {
        state.settings_offset = state.settings_offset.max(response.settings_offset);
    }
}

/// Handles another instance's request for changes.
pub fn handle_request(gateway: &Gateway, request: &[u8]) -> Bytes {
    let request: ChangeRequest = match codec::decode(request) {
        Ok(request) => request,
        Err(err) => {
            log::warn!(error:% = err; "a request for changes can't be decoded");
            return Bytes::new();
        }
    };
    let state = gateway.state();
    let has_newer_settings = state.sync_state().settings_version > request.settings_version;
    let era = state.store_era();
    let from = request.upstreams_from.max(StorePosition::new(era, 0));
    let response = ChangeResponse {
        era,
        settings: if has_newer_settings {
            state.settings_raw.to_vec()
        } else {
            Vec::new()
        },
        settings_offset: state.settings_offset,
        upstreams: state
            .upstreams_raw
            .iter()
            .filter(|(_, raw)| raw.position >= from)
            .map(|(key, raw)| {
                let value = raw.value.as_ref().map(|value| value.to_vec());
                (key.clone(), raw.position.offset, value)
            })
            .collect(),
        upstreams_offset: state.upstreams_offset,
    };
    drop(state);
    codec::encode(&response).unwrap_or_else(|err| {
        log::error!(error:% = err; "a response with changes can't be encoded");
        Bytes::new()
    })
}
