//! Exchange between instances: heartbeats, and what an instance that can't reach the store has missed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use marigoldlock_core::gateway::border::KeyedRecord;
use marigoldlock_core::gateway::members::{Heartbeat, MemberStage, ToldWork};
use marigoldlock_core::gateway::state::WorkInFlight;
use marigoldlock_core::prelude::*;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use super::Gateway;
use super::follow::{apply_settings, apply_upstream};
use super::links::connect;

/// Time between heartbeats: load told to others is at most this old, and a dead instance is missed after a few.
const HEARTBEAT: Duration = Duration::from_millis(100);

/// Largest datagram, in bytes.
const DATAGRAM_MOST: usize = 60 << 10;

/// Upstreams whose work a heartbeat tells, so that it stays within a few packets.
const WORK_TOLD: usize = 64;

/// Usage windows that a heartbeat tells: the running one and the two before it.
const WINDOWS_TOLD: u64 = 2;

/// Time for which an instance waits for its own long poll before it asks another instance.
const CATCH_UP_AFTER: Duration = Duration::from_millis(150);

/// Time between two questions for what was missed.
const CATCH_UP_EVERY: Duration = Duration::from_millis(250);

/// Longest time for such a question.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(800);

/// Largest answer to such a question, in bytes.
const CATCH_UP_BYTES: usize = 16 << 20;

/// What an instance tells another that has missed changes.
#[derive(Debug, Deserialize, Serialize)]
struct Snapshot {
    settings: Vec<u8>,
    upstreams: Vec<(String, u64, Option<Vec<u8>>)>,
    upstreams_offset: u64,
}

/// Sends and receives heartbeats, for ever.
pub async fn exchange(gateway: Arc<Gateway>, socket: UdpSocket) {
    tokio::join!(
        send_beats(&gateway, &socket),
        receive_beats(&gateway, &socket),
        catch_up(&gateway)
    );
}

async fn send_beats(gateway: &Gateway, socket: &UdpSocket) {
    loop {
        let beat = heartbeat(gateway);
        match bincode::serde::encode_to_vec(&beat, bincode::config::standard()) {
            Ok(bytes) if bytes.len() <= DATAGRAM_MOST => {
                for address in targets(gateway) {
                    if let Err(err) = socket.send_to(&bytes, address).await {
                        log::debug!(peer:% = address, error:% = err; "heartbeat not sent");
                    }
                }
            }
            Ok(bytes) => log::error!(bytes = bytes.len(); "a heartbeat is too large; not sent"),
            Err(err) => log::error!(error:% = err; "a heartbeat can't be written"),
        }
        let now = gateway.now();
        gateway.links().expire(now);
        gateway.state().members.expire(now);
        merge_work(gateway);
        let spread = rand::rng().random_range(0.85..1.15);
        tokio::time::sleep(HEARTBEAT.mul_f64(spread)).await;
    }
}

fn targets(gateway: &Gateway) -> FastSet<SocketAddr> {
    let own = gateway.parts.card.peer;
    let state = gateway.state();
    let known = state.members.all().map(|member| member.card.peer);
    let seeds = gateway.parts.seeds.iter().copied();
    known.chain(seeds).filter(|address| *address != own).collect()
}

fn heartbeat(gateway: &Gateway) -> Heartbeat {
    let now = gateway.now();
    let card = &gateway.parts.card;
    let unix_ms = gateway.parts.clock.unix_ms();
    let window = gateway.window(unix_ms);
    let state = gateway.state();
    let source = (card.id.clone(), card.incarnation);
    let true_window = gateway.window(state.clock.unix_ms(unix_ms, now));
    let work = state
        .upstreams
        .iter()
        .filter(|(_, upstream)| upstream.own != WorkInFlight::default());
    Heartbeat {
        card: card.clone(),
        stage: state.stage,
        unix_ms,
        settings_version: state.settings.as_ref().map_or(0, |settings| settings.version),
        upstreams_offset: state.upstreams_offset,
        duty_fence: state.duty_fence,
        changing: state.changing.iter().cloned().collect(),
        work: work
            .take(WORK_TOLD)
            .map(|(id, upstream)| ToldWork {
                upstream: id.clone(),
                requests: upstream.own.requests,
                reading_tokens: upstream.own.reading_tokens,
                waiting_tokens: upstream.own.waiting_tokens,
            })
            .collect(),
        usage: state
            .usage
            .told_by(&source, window.min(true_window).saturating_sub(WINDOWS_TOLD)),
    }
}

async fn receive_beats(gateway: &Gateway, socket: &UdpSocket) {
    let mut buffer = vec![0; DATAGRAM_MOST];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) => {
                log::debug!(error:% = err; "no heartbeat received");
                tokio::time::sleep(HEARTBEAT).await;
                continue;
            }
        };
        match bincode::serde::decode_from_slice(&buffer[..length], bincode::config::standard()) {
            Ok((beat, _)) => hear(gateway, beat),
            Err(err) => log::warn!(peer:% = from, error:% = err; "a heartbeat can't be read; ignored"),
        }
    }
}

fn hear(gateway: &Gateway, beat: Heartbeat) {
    let now = gateway.now();
    if beat.card.id == gateway.parts.card.id {
        return;
    }
    let mut state = gateway.state();
    state.clock.record(&beat.card.id, beat.unix_ms, now);
    let source = (beat.card.id.clone(), beat.card.incarnation);
    for counts in &beat.usage {
        state.usage.merge(&source, counts);
    }
    if state.members.hear(&beat, now) {
        log::info!(peer:% = beat.card.id, stage:? = beat.stage, incarnation:% = beat.card.incarnation; "instance heard");
    }
}

/// Sums up the work that live instances told.
fn merge_work(gateway: &Gateway) {
    let now = gateway.now();
    let mut state = gateway.state();
    let mut sums: FastMap<UpstreamId, WorkInFlight> = FastMap::default();
    for told in state.members.live(now).flat_map(|member| &member.work) {
        let sum = sums.entry(told.upstream.clone()).or_default();
        sum.requests += told.requests;
        sum.reading_tokens += told.reading_tokens;
        sum.waiting_tokens += told.waiting_tokens;
    }
    for (id, upstream) in &mut state.upstreams {
        upstream.peers = sums.remove(id).unwrap_or_default();
    }
    drop(state);
    gateway.work_changed.notify_waiters();
}

/// Asks other instances for what this one has missed.
async fn catch_up(gateway: &Gateway) {
    let mut behind_since: Option<MonoTime> = None;
    loop {
        tokio::time::sleep(CATCH_UP_EVERY).await;
        let now = gateway.now();
        let Some(address) = ahead(gateway, now) else {
            behind_since = None;
            continue;
        };
        let since = *behind_since.get_or_insert(now);
        if now.since(since) < CATCH_UP_AFTER {
            continue;
        }
        match tokio::time::timeout(CATCH_UP_TIMEOUT, fetch(address)).await {
            Ok(Ok(snapshot)) => {
                log::info!(peer:% = address, upstreams_offset = snapshot.upstreams_offset; "caught up from another instance");
                take(gateway, snapshot);
            }
            Ok(Err(err)) => {
                log::info!(peer:% = address, error:% = err; "another instance could not be asked")
            }
            Err(_) => log::info!(peer:% = address; "another instance did not answer in time"),
        }
    }
}

/// An instance that knows newer settings or upstreams.
fn ahead(gateway: &Gateway, now: MonoTime) -> Option<SocketAddr> {
    let state = gateway.state();
    let version = state.settings.as_ref().map_or(0, |settings| settings.version);
    let offset = state.upstreams_offset;
    let ahead: Vec<SocketAddr> = state
        .members
        .live(now)
        .filter(|member| member.stage != MemberStage::Starting)
        .filter(|member| member.settings_version > version || member.upstreams_offset > offset)
        .map(|member| member.card.peer)
        .collect();
    if ahead.is_empty() {
        return None;
    }
    Some(ahead[rand::rng().random_range(0..ahead.len())])
}

async fn fetch(address: SocketAddr) -> std::io::Result<Snapshot> {
    let mut link = connect(address).await?;
    let request = http::Request::builder()
        .uri("/")
        .header(http::header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(std::io::Error::other)?;
    let response = link.send_request(request).await.map_err(std::io::Error::other)?;
    let body = Limited::new(response.into_body(), CATCH_UP_BYTES).collect().await;
    let bytes = body.map_err(std::io::Error::other)?.to_bytes();
    let decoded = bincode::serde::decode_from_slice(&bytes, bincode::config::standard());
    decoded
        .map(|(snapshot, _)| snapshot)
        .map_err(std::io::Error::other)
}

fn take(gateway: &Gateway, snapshot: Snapshot) {
    if !snapshot.settings.is_empty() {
        apply_settings(gateway, &Bytes::from(snapshot.settings), "instance");
    }
    for (key, offset, value) in snapshot.upstreams {
        let record = KeyedRecord {
            offset,
            key,
            value: value.map(Bytes::from),
        };
        apply_upstream(gateway, &record);
    }
    let mut state = gateway.state();
    state.upstreams_offset = state.upstreams_offset.max(snapshot.upstreams_offset);
    drop(state);
    super::follow::become_ready(gateway);
}

/// What this instance knows, for one that has missed changes.
pub fn snapshot(gateway: &Gateway) -> Bytes {
    let state = gateway.state();
    let snapshot = Snapshot {
        settings: state.settings_raw.to_vec(),
        upstreams: state
            .upstreams_raw
            .iter()
            .map(|(key, raw)| {
                (
                    key.clone(),
                    raw.offset,
                    raw.value.as_ref().map(|value| value.to_vec()),
                )
            })
            .collect(),
        upstreams_offset: state.upstreams_offset,
    };
    drop(state);
    bincode::serde::encode_to_vec(&snapshot, bincode::config::standard()).map_or_else(
        |err| {
            log::error!(error:% = err; "the snapshot can't be written");
            Bytes::new()
        },
        Bytes::from,
    )
}
