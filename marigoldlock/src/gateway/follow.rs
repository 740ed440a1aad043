//! Follows the store's streams of settings, upstreams and members.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use marigoldlock_core::gateway::adapter::{KeyedListing, KeyedRecord};
use marigoldlock_core::gateway::catalog::CatalogChange;
use marigoldlock_core::gateway::era::EntryDate;
use marigoldlock_core::gateway::exchange::{FleetView, heartbeat_interval};
use marigoldlock_core::gateway::members::{MemberCard, MemberStage};
use marigoldlock_core::gateway::news::MAX_GAPLESS_AGE;
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::gateway::state::UpstreamState;
use marigoldlock_core::prelude::*;
use rand::Rng;

use super::Gateway;
use super::cursor::{FollowCursor, NextCall, poll_wait};
use super::state::RawRecord;

/// First backoff after a failed call.
const BASE_RETRY_BACKOFF: Duration = Duration::from_millis(80);

/// Longest backoff after failed calls: a change must take effect soon after the store recovers.
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(700);

/// Time between two reads of the member list by any instance of the fleet. The list is only needed for
/// instances that have never exchanged heartbeats.
const MEMBER_LIST_INTERVAL: Duration = Duration::from_millis(2_500);

/// Time between two checks of whether this instance should read the store itself.
const FOLLOWER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest delay before the next call after changes were read: changes come in groups, and each call is billed.
const MIN_CHANGE_DELAY: Duration = Duration::from_millis(150);

/// Time between two checks for lapsed entries that have expired.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Follows the settings; never returns.
pub async fn follow_settings(gateway: Arc<Gateway>) {
    follow(&gateway, StoreStream::Settings).await;
}

/// Follows the upstreams; never returns.
pub async fn follow_upstreams(gateway: Arc<Gateway>) {
    let expiry = async {
        let mut checked_at = gateway.now();
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            let now = gateway.now();
            let mut state = gateway.state();
            if now.since(std::mem::replace(&mut checked_at, now)) > MAX_GAPLESS_AGE {
                state.handle_standstill(now);
            }
            let expired = state.catalog.expire(now);
            state.update_versions(gateway.parts.is_first_start, now);
            let stream_lifetime = state.stream_lifetime();
            state.origins.expire(stream_lifetime, now);
            state.departures.expire(now);
            drop(state);
            let news_age = gateway.state().upstreams_date.age(now);
            metrics::gauge!("gateway_upstreams_news_age_seconds")
                .set(news_age.map_or(f64::NAN, |age| age.as_secs_f64()));
            for id in expired {
                log::info!(upstream:% = id; "upstream's entry did not return after the store recovered; dropped");
            }
        }
    };
    tokio::join!(follow(&gateway, StoreStream::Upstreams), expiry);
}

async fn follow(gateway: &Arc<Gateway>, stream: StoreStream) {
    let mut backoff = RetryBackoff::default();
    let mut cursor = FollowCursor::default();
    loop {
        if !is_follower(gateway) {
            tokio::time::sleep(FOLLOWER_CHECK_INTERVAL).await;
            continue;
        }
        let era_changed = gateway.era_changed.notified();
        let known = known_position(gateway, stream);
        cursor.enter_era(known.era);
        cursor.skip_to(known.offset);
        let called_at = gateway.now();
        let next_call = cursor.next_call(tokio::time::Instant::now(), long_poll_wait(gateway));
        let (answer, is_listing, wait) = match next_call {
            NextCall::List => (gateway.parts.store.list(stream).await, true, Duration::ZERO),
            NextCall::Follow(from, wait) => tokio::select! {
                answer = gateway.parts.store.follow(stream, from, wait) => (answer, false, wait),
                // The answer would be of no use.
                () = era_changed => continue,
            },
        };
        match gateway.check_era(answer) {
            Ok(listing) => {
                backoff.reset();
                record_store_success(gateway, stream);
                cursor.enter_era(listing.era);
                cursor.advance(listing.next_offset, is_listing);
                apply_records(gateway, stream, &listing, is_listing);
                if stream == StoreStream::Upstreams {
                    // A poll without records has ended at the store, after its wait.
                    let waited = if listing.records.is_empty() {
                        wait
                    } else {
                        Duration::ZERO
                    };
                    gateway.state().upstreams_date.confirm(called_at + waited);
                }
                if !listing.records.is_empty() {
                    tokio::time::sleep(change_delay(gateway)).await;
                }
            }
            Err(StoreError::Gone(first)) => {
                log::info!(stream:%, first; "the store has dropped records; reading the whole stream again");
                if stream == StoreStream::Upstreams {
                    gateway.state().forget_hidden_versions(gateway.now());
                }
                cursor.restart(first, tokio::time::Instant::now());
            }
            // The next call lists the stream. Answers of an earlier era may still arrive.
            Err(StoreError::OtherEra(_)) => backoff.wait().await,
            Err(err) => {
                record_store_failure(gateway, stream, &err);
                backoff.wait().await;
            }
        }
    }
}

/// Delay before the next call after changes were read. Others learn of them with the next heartbeat, so that a follower which
/// reads more often than two times between heartbeats gains nothing for them.
fn change_delay(gateway: &Gateway) -> Duration {
    let instances = gateway.state().instances();
    MIN_CHANGE_DELAY.max(heartbeat_interval(instances) / 2)
}

/// True if this instance reads the store for the others, or for itself because it does not serve requests
/// yet.
fn is_follower(gateway: &Gateway) -> bool {
    let now = gateway.now();
    let state = gateway.state();
    state.stage == MemberStage::Starting || state.is_follower(&gateway.parts.card, now)
}

fn known_position(gateway: &Gateway, stream: StoreStream) -> StorePosition {
    let state = gateway.state();
    let offset = match stream {
        StoreStream::Settings => state.settings_offset,
        _ => state.upstreams_offset,
    };
    StorePosition::new(state.store_era(), offset)
}

/// Timeout of the next long poll, which ends in this follower's time slot so that polls are spread.
fn long_poll_wait(gateway: &Gateway) -> Duration {
    let now = gateway.now();
    let unix_ms = gateway.fleet_unix_ms();
    let state = gateway.state();
    let view = FleetView {
        own: &gateway.parts.card,
        members: &state.members,
        now,
    };
    let (rank, count) = view.follower_slot();
    poll_wait(rank, count, unix_ms)
}

/// Writes the instance's card to the store and reads the cards of the other instances.
pub async fn join_fleet(gateway: Arc<Gateway>) {
    let mut backoff = RetryBackoff::default();
    let card = &gateway.parts.card;
    let value = match serde_json::to_vec(card) {
        Ok(value) => value,
        Err(err) => {
            log::error!(error:% = err; "the member card can't be encoded");
            return;
        }
    };
    // Era in which the card was written.
    let mut written = None;
    loop {
        let era_changed = gateway.era_changed.notified();
        if written.is_none_or(|era| era < gateway.store_era()) {
            let put = gateway
                .parts
                .store
                .put(StoreStream::Members, card.id.as_str(), &value)
                .await;
            match gateway.check_era(put) {
                Ok(era) => written = Some(era),
                Err(err) => {
                    log::debug!(error:% = err; "writing the member card to the store failed; retrying");
                    backoff.wait().await;
                    continue;
                }
            }
        }
        let listed = gateway.parts.store.list(StoreStream::Members).await;
        match gateway.check_era(listed) {
            Ok(listing) => {
                backoff.reset();
                for record in &listing.records {
                    add_member(&gateway, record);
                }
                gateway.state().has_member_list = true;
                let instances = u32::try_from(gateway.state().instances()).unwrap_or(u32::MAX);
                tokio::select! {
                    () = tokio::time::sleep(MEMBER_LIST_INTERVAL * instances) => {}
                    () = era_changed => {}
                }
            }
            Err(err) => {
                log::debug!(error:% = err; "reading the member list failed; retrying");
                backoff.wait().await;
            }
        }
    }
}

/// Adds an instance from its card in the store. The first card ever written, at offset 0, is that of an instance which
/// had none before it, unless the store has lost earlier ones.
fn add_member(gateway: &Gateway, record: &KeyedRecord) {
    let Some(value) = &record.value else { return };
    match serde_json::from_slice::<MemberCard>(value) {
        Ok(card) if card.id == gateway.parts.card.id => {
            let mut state = gateway.state();
            if record.offset == 0 && !state.is_restored() {
                state.budget_start.record_first();
            }
        }
        Ok(card) => gateway.state().members.add_card(card, gateway.now()),
        Err(err) => log::warn!(key = record.key, error:% = err; "a member card can't be parsed; ignored"),
    }
}

/// Applies records of a stream. A complete listing also removes what it doesn't contain.
pub fn apply_records(gateway: &Gateway, stream: StoreStream, listing: &KeyedListing, is_listing: bool) {
    let next = StorePosition::new(listing.era, listing.next_offset);
    match stream {
        StoreStream::Settings => {
            for record in listing
                .records
                .iter()
                .filter(|record| record.key == gateway.parts.record_format.settings_key())
            {
                if let Some(value) = &record.value {
                    apply_settings(gateway, value, "store");
                }
            }
            let mut state = gateway.state();
            if state.store_era() == next.era {
                state.settings_offset = state.settings_offset.max(next.offset);
            }
        }
        StoreStream::Upstreams => apply_upstreams(gateway, &listing.records, next, is_listing),
        StoreStream::Members
        | StoreStream::Crashes
        | StoreStream::Versions
        | StoreStream::Origins
        | StoreStream::Duties => {}
    }
    become_ready(gateway);
}

/// Applies settings if they are newer than the current ones.
pub fn apply_settings(gateway: &Gateway, value: &Bytes, source: &'static str) {
    let settings = match gateway.parts.record_format.settings(value) {
        Ok(settings) => settings,
        Err(err) => {
            log::error!(error:% = err, source; "settings are invalid; the current ones stay in force");
            return;
        }
    };
    let mut state = gateway.state();
    let before = state.settings.as_ref().map_or(0, |settings| settings.version);
    if settings.version <= before && before > 0 {
        return;
    }
    log::info!(version = settings.version, before, source; "settings in force");
    state.allowances.set_allowances(settings.allowances());
    state.settings = Some(Arc::new(settings));
    state.settings_raw = value.clone();
}

/// Applies records of upstreams up to the position `next`. A complete listing also removes what it doesn't contain.
pub fn apply_upstreams(gateway: &Gateway, records: &[KeyedRecord], next: StorePosition, is_listing: bool) {
    for record in records {
        let position = StorePosition::new(next.era, record.offset);
        apply_upstream(gateway, &record.key, record.value.as_ref(), position);
    }
    // A listing that is older than the known state can't tell which upstreams were removed.
    if is_listing && next >= gateway.state().upstreams_position() {
        let is_first = gateway.state().upstreams_offset == 0;
        for key in find_removed(gateway, records) {
            apply_upstream(gateway, &key, None, next.before());
            if is_first {
                // The first listing of an era lacks what the store has lost; that says nothing of the upstream.
                gateway.state().departures.forget(&key);
            }
        }
    }
    let mut state = gateway.state();
    if state.store_era() == next.era {
        state.upstreams_offset = state.upstreams_offset.max(next.offset);
    }
}

/// Keys of the upstreams that a complete listing no longer contains; the store has dropped their records.
fn find_removed(gateway: &Gateway, listed: &[KeyedRecord]) -> Vec<String> {
    let listed: FastSet<&str> = listed.iter().map(|record| record.key.as_str()).collect();
    let state = gateway.state();
    let removed = state
        .upstreams_raw
        .iter()
        .filter(|(key, raw)| raw.value.is_some() && !listed.contains(key.as_str()));
    removed.map(|(key, _)| key.clone()).collect()
}

/// Applies one record of an upstream, unless a newer one is known; without a value, the upstream was removed.
fn apply_upstream(gateway: &Gateway, key: &str, value: Option<&Bytes>, position: StorePosition) {
    let now = gateway.now();
    let format = &gateway.parts.record_format;
    let mut state = gateway.state();
    let state = &mut *state;
    let raw = RawRecord {
        position,
        value: value.cloned(),
    };
    let before = state.upstreams_raw.get(key).and_then(|known| known.value.clone());
    if !state.put_raw_record(key, raw) {
        return;
    }
    let date = |started_ms, value: Option<&Bytes>| EntryDate {
        started_ms,
        writes: value.and_then(|value| format.entry_writes(value)),
    };
    let change = match value.map(|value| format.upstream(key, value)) {
        Some(Ok(entry))
            if state
                .departures
                .is_outdated(key, position.era, || date(entry.started_ms, value)) =>
        {
            log::info!(upstream = key, position:%; "the store has lost the removal of an upstream; it stays removed");
            state.catalog.remove(key, now, None)
        }
        Some(Ok(entry)) => {
            state.departures.forget(key);
            let id = entry.id.clone();
            let change = state.catalog.put(entry);
            if change == CatalogChange::Started {
                let peers = state
                    .upstreams
                    .get(&id)
                    .map(|known| known.peers)
                    .unwrap_or_default();
                state.upstreams.insert(id, UpstreamState::with_peer_work(peers));
            }
            change
        }
        Some(Err(err)) => {
            log::warn!(upstream = key, error:% = err; "an upstream's entry is invalid; it gets no requests");
            state.catalog.remove(key, now, None)
        }
        None => {
            let store_recovered_at = state.last_store_recovery(&gateway.parts.card, now);
            let started_ms = state.catalog.get(key).map(|entry| entry.started_ms);
            let change = state.catalog.remove(key, now, store_recovered_at);
            if change == CatalogChange::Gone
                && let Some(started_ms) = started_ms
            {
                let date = date(started_ms, before.as_ref());
                state.departures.record(key, position.era, date, now);
            }
            change
        }
    };
    if change != CatalogChange::None {
        state.update_versions(gateway.parts.is_first_start, now);
        log::info!(
            upstream = key, change:? = change, era:% = position.era, offset = position.offset;
            "upstream listing changed"
        );
    }
}

/// Marks the instance as ready once it has settings and upstreams.
pub fn become_ready(gateway: &Gateway) {
    let mut state = gateway.state();
    let is_complete = state.settings.is_some() && state.upstreams_offset > 0;
    if state.stage == MemberStage::Starting && is_complete {
        state.stage = MemberStage::Ready;
        let version = state.settings.as_ref().map_or(0, |settings| settings.version);
        log::info!(version, upstreams = state.catalog.entries().count(); "instance is ready");
    }
}

fn record_store_success(gateway: &Gateway, stream: StoreStream) {
    let now = gateway.now();
    let mut state = gateway.state();
    if state.store.record_response(now) {
        log::info!(stream:%; "store reachable");
    }
}

fn record_store_failure(gateway: &Gateway, stream: StoreStream, err: &StoreError) {
    let mut state = gateway.state();
    if state.store.record_failure() {
        log::warn!(stream:%, error:% = err; "store unreachable; known settings and upstreams stay in force");
    }
}

/// Exponential backoff after failed calls, with jitter so that instances don't call at the same time.
#[derive(Debug, Default)]
pub struct RetryBackoff {
    failures: u32,
}

impl RetryBackoff {
    /// Resets to the shortest backoff.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Waits before the next attempt.
    pub async fn wait(&mut self) {
        let backoff = MAX_RETRY_BACKOFF.min(BASE_RETRY_BACKOFF * 2_u32.pow(self.failures.min(6)));
        self.failures += 1;
        let jitter = rand::rng().random_range(0.6..1.0);
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
    }
}
