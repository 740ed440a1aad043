//! Heartbeats between instances.
//!
//! Who gets them is decided in `marigoldlock_core::gateway::exchange`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use marigoldlock_core::gateway::exchange::{FleetView, heartbeat_interval};
use marigoldlock_core::gateway::members::{
    Heartbeat, MemberReport, ReportPath, StoreContact, UpstreamWork, age_ms,
};
use marigoldlock_core::gateway::state::{UpstreamKey, WorkInFlight};
use marigoldlock_core::gateway::usage::WindowCounts;
use marigoldlock_core::prelude::*;
use rand::Rng;
use tokio::net::UdpSocket;

use super::catch_up::catch_up;
use super::state::GatewayState;
use super::{Gateway, codec};

/// Largest datagram, in bytes: UDP carries a little more.
const DATAGRAM_MOST: usize = 60 << 10;

/// Size of a heartbeat above which the reports that it passes on are spread over several, in bytes.
const DATAGRAM_GOAL: usize = 30 << 10;

/// Upstreams whose work a heartbeat tells, so that it stays within a few packets.
const WORK_TOLD: usize = 64;

/// Usage windows that a heartbeat tells: the running one and the two before it.
const WINDOWS_TOLD: u64 = 2;

/// Pause after a failed receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(100);

/// Sends and receives heartbeats, for ever.
pub async fn exchange(gateway: Arc<Gateway>, socket: UdpSocket) {
    tokio::join!(
        send_beats(&gateway, &socket),
        receive_beats(&gateway, &socket),
        catch_up(&gateway)
    );
}

async fn send_beats(gateway: &Gateway, socket: &UdpSocket) {
    for round in 0.. {
        send_round(gateway, socket, round).await;
        let now = gateway.now();
        gateway.links().expire(now);
        let instances = {
            let mut state = gateway.state();
            state.members.expire(now);
            state.instances()
        };
        merge_work(gateway);
        let spread = rand::rng().random_range(0.85..1.15);
        tokio::time::sleep(heartbeat_interval(instances).mul_f64(spread)).await;
    }
}

/// Sends this round's heartbeats: what a relay passes on differs between near and far instances, and only a
/// few keep the usage counts.
async fn send_round(gateway: &Gateway, socket: &UdpSocket, round: u64) {
    let now = gateway.now();
    let unix_ms = gateway.parts.clock.unix_ms();
    let card = &gateway.parts.card;
    let (targets, own, usage, for_local, for_remote) = {
        let mut state = gateway.state();
        state.reports_sent += 1;
        let own = report(gateway, &state, now);
        let usage = usage_told(gateway, &state, unix_ms, now);
        let view = FleetView {
            own: card,
            members: &state.members,
            now,
        };
        let targets = view.targets(round);
        let (for_local, for_remote) = if targets.is_relay {
            (view.forwarded(false), view.forwarded(true))
        } else {
            Default::default()
        };
        (targets, own, usage, for_local, for_remote)
    };
    let seeds = gateway.parts.seeds.iter().copied();
    let remote = targets.remote.iter().copied().chain(seeds);
    let usage_replicas = targets.usage_replicas;
    let remote: FastSet<_> = remote
        .filter(|address| *address != card.peer && !targets.local.contains(address))
        .collect();
    let local: FastSet<_> = targets.local.into_iter().collect();
    let answers: FastSet<_> = targets
        .answers
        .into_iter()
        .filter(|address| !remote.contains(address))
        .collect();
    let groups = [
        (local, for_local, false),
        (remote, for_remote, false),
        (answers, Vec::new(), true),
    ];
    for (addresses, forwarded, is_answer) in groups {
        let mut beat = Heartbeat {
            unix_ms,
            is_answer,
            own: own.clone(),
            forwarded,
            usage: Vec::new(),
        };
        let (keeping, others): (Vec<_>, Vec<_>) = addresses
            .into_iter()
            .partition(|address| usage_replicas.contains(address));
        send_beat(socket, &beat, &others).await;
        beat.usage = usage.clone();
        send_beat(socket, &beat, &keeping).await;
    }
}

async fn send_beat(socket: &UdpSocket, beat: &Heartbeat, addresses: &[SocketAddr]) {
    if addresses.is_empty() {
        return;
    }
    for bytes in datagrams(beat) {
        for address in addresses {
            if let Err(err) = socket.send_to(&bytes, address).await {
                log::debug!(peer:% = address, error:% = err; "heartbeat not sent");
            }
        }
    }
}

/// A heartbeat as datagrams, each of which can be read alone.
pub fn datagrams(beat: &Heartbeat) -> Vec<Bytes> {
    match codec::encode(beat) {
        Ok(bytes) if bytes.len() > DATAGRAM_GOAL && beat.forwarded.len() > 1 => {
            let (first, second) = beat.forwarded.split_at(beat.forwarded.len() / 2);
            let part = |forwarded: &[MemberReport], usage: &[WindowCounts]| Heartbeat {
                unix_ms: beat.unix_ms,
                is_answer: beat.is_answer,
                own: beat.own.clone(),
                forwarded: forwarded.to_vec(),
                usage: usage.to_vec(),
            };
            let mut parts = datagrams(&part(first, &beat.usage));
            parts.extend(datagrams(&part(second, &[])));
            parts
        }
        Ok(bytes) if bytes.len() <= DATAGRAM_MOST => vec![bytes],
        Ok(bytes) => {
            log::error!(bytes = bytes.len(); "a heartbeat is too large; not sent");
            Vec::new()
        }
        Err(err) => {
            log::error!(error:% = err; "a heartbeat can't be written");
            Vec::new()
        }
    }
}

/// What this instance tells of itself.
fn report(gateway: &Gateway, state: &GatewayState, now: MonoTime) -> MemberReport {
    let work = state
        .upstreams
        .iter()
        .filter(|(_, upstream)| upstream.own != WorkInFlight::default());
    let unreachable = state
        .upstreams
        .iter()
        .filter(|(_, upstream)| upstream.is_unreachable(now));
    MemberReport {
        card: gateway.parts.card.clone(),
        sequence: state.reports_sent,
        stage: state.stage,
        sync_state: state.sync_state(),
        store: StoreContact {
            response_age_ms: age_ms(state.store_response_at.filter(|_| state.store_reached), now),
            recovery_age_ms: age_ms(state.store_recovered_at, now),
        },
        duty_fence: state.duty_fence,
        changing: state.changing.iter().cloned().collect(),
        work: work
            .take(WORK_TOLD)
            .map(|(id, upstream)| UpstreamWork {
                upstream: UpstreamKey::from(id),
                requests: upstream.own.requests,
                prefill_tokens: upstream.own.prefill_tokens,
                waiting_tokens: upstream.own.waiting_tokens,
            })
            .collect(),
        unreachable: unreachable
            .take(WORK_TOLD)
            .map(|(id, _)| UpstreamKey::from(id))
            .collect(),
    }
}

fn usage_told(gateway: &Gateway, state: &GatewayState, unix_ms: u64, now: MonoTime) -> Vec<WindowCounts> {
    let card = &gateway.parts.card;
    let source = (card.id.clone(), card.incarnation);
    let window = gateway.window(unix_ms);
    let true_window = gateway.window(state.clock.unix_ms(unix_ms, now));
    let oldest = window.min(true_window).saturating_sub(WINDOWS_TOLD);
    state.usage.counts_since(&source, oldest)
}

async fn receive_beats(gateway: &Gateway, socket: &UdpSocket) {
    let mut buffer = vec![0; DATAGRAM_MOST];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) => {
                log::debug!(error:% = err; "no heartbeat received");
                tokio::time::sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        match codec::decode(&buffer[..length]) {
            Ok(beat) => hear(gateway, beat),
            Err(err) => log::warn!(peer:% = from, error:% = err; "a heartbeat can't be read; ignored"),
        }
    }
}

fn hear(gateway: &Gateway, beat: Heartbeat) {
    let now = gateway.now();
    let own = &gateway.parts.card.id;
    let sender = &beat.own.card;
    if sender.id == *own {
        return;
    }
    let mut state = gateway.state();
    state.clock.record(&sender.id, beat.unix_ms, now);
    let source = (sender.id.clone(), sender.incarnation);
    for counts in &beat.usage {
        state.usage.merge(&source, counts);
    }
    let own_mark = state.sync_state();
    let mut is_behind = beat.own.sync_state != own_mark;
    let path = if beat.is_answer {
        ReportPath::Answer
    } else {
        ReportPath::Direct
    };
    hear_report(&mut state, beat.own, path, now);
    for report in beat.forwarded {
        if report.card.id != *own {
            is_behind |= report.sync_state != own_mark;
            hear_report(&mut state, report, ReportPath::Forwarded, now);
        }
    }
    drop(state);
    if is_behind {
        gateway.peer_differs.notify_one();
    }
}

fn hear_report(state: &mut GatewayState, report: MemberReport, path: ReportPath, now: MonoTime) {
    let (id, stage, incarnation) = (report.card.id.clone(), report.stage, report.card.incarnation);
    if state.members.record_report(report, path, now) {
        log::info!(peer:% = id, stage:? = stage, incarnation:% = incarnation, path:? = path; "instance heard");
    }
}

/// Sums up the work that live instances told, and what they find unreachable.
fn merge_work(gateway: &Gateway) {
    let now = gateway.now();
    let mut state = gateway.state();
    let mut sums: FastMap<UpstreamKey, (WorkInFlight, u32)> = FastMap::default();
    for member in state.members.live(now) {
        for told in &member.report.work {
            let (sum, _) = sums.entry(told.upstream).or_default();
            sum.requests += told.requests;
            sum.prefill_tokens += told.prefill_tokens;
            sum.waiting_tokens += told.waiting_tokens;
        }
        for key in &member.report.unreachable {
            sums.entry(*key).or_default().1 += 1;
        }
    }
    for (id, upstream) in &mut state.upstreams {
        (upstream.peers, upstream.unreachable_reports) =
            sums.remove(&UpstreamKey::from(id)).unwrap_or_default();
    }
    drop(state);
    gateway.work_changed.notify_waiters();
}
