//! Heartbeats and other datagrams between instances.
//!
//! The targets are decided in `marigoldlock_core::gateway::exchange`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use marigoldlock_core::gateway::allowance::ChargeReport;
use marigoldlock_core::gateway::crashes::{CrashReport, CrashTable, ReportScope};
use marigoldlock_core::gateway::exchange::{FleetView, heartbeat_interval};
use marigoldlock_core::gateway::members::{
    Heartbeat, MemberReport, ReportPath, StoreContact, UpstreamWork, age_ms,
};
use marigoldlock_core::gateway::origins::{StreamKey, StreamOrigin};
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::gateway::state::{UpstreamKey, WorkInFlight};
use marigoldlock_core::gateway::usage::WindowCounts;
use marigoldlock_core::prelude::*;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use super::allowance::send_charges;
use super::catch_up::catch_up;
use super::origins::{handle_origins, handle_query, spread_origins};
use super::state::GatewayState;
use super::{Gateway, codec};

/// Largest datagram, in bytes; the limit of UDP is slightly higher.
pub const MAX_DATAGRAM_BYTES: usize = 60 << 10;

/// Size of a heartbeat, in bytes, above which its forwarded reports are split between several datagrams.
pub const TARGET_DATAGRAM_BYTES: usize = 30 << 10;

/// Maximum number of upstreams whose work a heartbeat reports, so that it fits into a few packets.
const MAX_REPORTED_UPSTREAMS: usize = 64;

/// Number of past usage windows that a heartbeat reports in addition to the current one.
const REPORTED_PAST_WINDOWS: u64 = 2;

/// Shortest time between two reports of all known crashes, which are only sent after an instance was heard that was
/// silent before.
const COMPLETE_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Rounds in which a crash is news: a datagram may be lost.
const NEWS_ROUNDS: u32 = 3;

/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Datagram between instances. `H` is a heartbeat, owned or borrowed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Datagram<H> {
    /// A heartbeat.
    Heartbeat(H),
    /// Versions that began streams, told unasked or in reply to a query.
    Origins(Vec<StreamOrigin>),
    /// Streams whose origin the sender wants to know.
    OriginQuery(Vec<StreamKey>),
    /// What instances have charged to customers' allowances. Sent only while settings hold allowances, so instances of
    /// earlier versions, which don't know it, never get it from a fleet without them.
    Charges(Vec<ChargeReport>),
}

/// Sends and receives datagrams; never returns.
pub async fn exchange(gateway: Arc<Gateway>, socket: UdpSocket) {
    tokio::join!(
        send_heartbeats(&gateway, &socket),
        receive_heartbeats(&gateway, &socket),
        spread_origins(&gateway, &socket),
        catch_up(&gateway)
    );
}

async fn send_heartbeats(gateway: &Gateway, socket: &UdpSocket) {
    let mut reported_all_at = gateway.now();
    for round in 0.. {
        let now = gateway.now();
        let heard_at = gateway.state().member_heard_at;
        let is_complete =
            heard_at >= Some(reported_all_at) && now.since(reported_all_at) >= COMPLETE_REPORT_INTERVAL;
        if is_complete {
            reported_all_at = now;
        }
        send_round(gateway, socket, round, is_complete).await;
        gateway.update_allowances();
        let now = gateway.now();
        gateway.connections().expire(now);
        let instances = {
            let mut state = gateway.state();
            state.members.expire(now);
            state.instances()
        };
        update_peer_work(gateway);
        let jitter = rand::rng().random_range(0.85..1.15);
        tokio::time::sleep(heartbeat_interval(instances).mul_f64(jitter)).await;
    }
}

/// Sends the heartbeats of one round. A relay forwards different reports to local and remote instances, and
/// only the usage replicas get usage counts. If `is_complete` is true, all known crashes are reported, else the news.
async fn send_round(gateway: &Gateway, socket: &UdpSocket, round: u64, is_complete: bool) {
    let now = gateway.now();
    let unix_ms = gateway.parts.clock.unix_ms();
    let card = &gateway.parts.card;
    gateway.change_crashes(CrashTable::update);
    let (targets, own, usage, for_local, for_remote, crashes) = {
        let mut state = gateway.state();
        state.reports_sent += 1;
        let own = own_report(gateway, &state, now);
        let usage = usage_counts(gateway, &state, unix_ms, now);
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
        let scope = ReportScope {
            is_own_only: !targets.is_relay,
            news_time: (!is_complete).then(|| heartbeat_interval(state.instances()) * NEWS_ROUNDS),
        };
        let crashes = state.crashes.report(scope, now);
        (targets, own, usage, for_local, for_remote, crashes)
    };
    let seeds = gateway.parts.seeds.iter().copied();
    let remote = targets.remote.iter().copied().chain(seeds);
    let charges = gateway.charge_reports(&targets, round);
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
    if let Some(charges) = charges {
        let local: Vec<_> = local.iter().copied().collect();
        send_charges(socket, &charges.for_local, &local).await;
        send_charges(socket, &charges.for_remote, &charges.remote).await;
    }
    let groups = [
        (local, for_local, false),
        (remote, for_remote, false),
        (answers, Vec::new(), true),
    ];
    for (addresses, forwarded, is_answer) in groups {
        let mut heartbeat = Heartbeat {
            unix_ms,
            is_answer,
            own: own.clone(),
            forwarded,
            usage: Vec::new(),
            crashes: crashes.clone(),
        };
        let (replicas, others): (Vec<_>, Vec<_>) = addresses
            .into_iter()
            .partition(|address| usage_replicas.contains(address));
        send_heartbeat(socket, &heartbeat, &others).await;
        heartbeat.usage = usage.clone();
        send_heartbeat(socket, &heartbeat, &replicas).await;
    }
}

async fn send_heartbeat(socket: &UdpSocket, heartbeat: &Heartbeat, addresses: &[SocketAddr]) {
    if addresses.is_empty() {
        return;
    }
    for bytes in encode_datagrams(heartbeat) {
        for address in addresses {
            if let Err(err) = socket.send_to(&bytes, address).await {
                log::debug!(peer:% = address, error:% = err; "heartbeat not sent");
            }
        }
    }
}

/// Encodes a heartbeat as one or more datagrams, each of which can be decoded alone.
pub fn encode_datagrams(heartbeat: &Heartbeat) -> Vec<Bytes> {
    match codec::encode(&Datagram::Heartbeat(heartbeat)) {
        Ok(bytes) if bytes.len() > TARGET_DATAGRAM_BYTES && heartbeat.forwarded.len() > 1 => {
            let (first, second) = heartbeat.forwarded.split_at(heartbeat.forwarded.len() / 2);
            let part = |forwarded: &[MemberReport], usage: &[WindowCounts], crashes: CrashReport| Heartbeat {
                unix_ms: heartbeat.unix_ms,
                is_answer: heartbeat.is_answer,
                own: heartbeat.own.clone(),
                forwarded: forwarded.to_vec(),
                usage: usage.to_vec(),
                crashes,
            };
            let mut parts = encode_datagrams(&part(first, &heartbeat.usage, heartbeat.crashes.clone()));
            parts.extend(encode_datagrams(&part(second, &[], CrashReport::default())));
            parts
        }
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => vec![bytes],
        Ok(bytes) => {
            log::error!(bytes = bytes.len(); "heartbeat is too large; not sent");
            Vec::new()
        }
        Err(err) => {
            log::error!(error:% = err; "heartbeat can't be encoded");
            Vec::new()
        }
    }
}

/// Report of this instance.
fn own_report(gateway: &Gateway, state: &GatewayState, now: MonoTime) -> MemberReport {
    let work = state
        .upstreams
        .iter()
        .filter(|(_, upstream)| upstream.own != WorkInFlight::default());
    let unreachable = state
        .upstreams
        .iter()
        .filter(|(_, upstream)| upstream.is_unreachable(now) && !state.reach.is_cut_off());
    MemberReport {
        card: gateway.parts.card.clone(),
        sequence: state.reports_sent,
        stage: state.stage,
        sync_state: state.sync_state(),
        store: StoreContact {
            response_age_ms: age_ms(
                state.store.response_at().filter(|_| state.store.is_reachable()),
                now,
            ),
            recovery_age_ms: age_ms(state.store.recovered_at(), now),
        },
        duty_fence: state.duty_fence,
        changing: state.changing.iter().cloned().collect(),
        work: work
            .take(MAX_REPORTED_UPSTREAMS)
            .map(|(id, upstream)| UpstreamWork {
                upstream: UpstreamKey::from(id),
                requests: upstream.own.requests,
                prefill_tokens: upstream.own.prefill_tokens,
                waiting_tokens: upstream.own.waiting_tokens,
            })
            .collect(),
        unreachable: unreachable
            .take(MAX_REPORTED_UPSTREAMS)
            .map(|(id, _)| UpstreamKey::from(id))
            .collect(),
        is_cut_off: state.reach.is_cut_off(),
    }
}

fn usage_counts(gateway: &Gateway, state: &GatewayState, unix_ms: u64, now: MonoTime) -> Vec<WindowCounts> {
    let card = &gateway.parts.card;
    let source = (card.id.clone(), card.incarnation);
    let window = gateway.window(unix_ms);
    let fleet_window = gateway.window(state.fleet_clock.unix_ms(unix_ms, now));
    let oldest = window.min(fleet_window).saturating_sub(REPORTED_PAST_WINDOWS);
    let mut counts = state.usage.counts_since(&source, oldest);
    // Tells that the earlier windows are complete, also without requests in this one.
    if counts.iter().all(|counts| counts.window < fleet_window) {
        counts.push(WindowCounts {
            window: fleet_window,
            counts: Vec::new(),
        });
    }
    counts
}

async fn receive_heartbeats(gateway: &Gateway, socket: &UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) => {
                log::debug!(error:% = err; "receiving a heartbeat failed");
                tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        match codec::decode(&buffer[..length]) {
            Ok(Datagram::Heartbeat(heartbeat)) => handle_heartbeat(gateway, heartbeat),
            Ok(Datagram::Origins(origins)) => handle_origins(gateway, &origins),
            Ok(Datagram::OriginQuery(streams)) => handle_query(gateway, socket, &streams, from).await,
            Ok(Datagram::Charges(reports)) => gateway.record_charges(&reports),
            Err(err) => log::warn!(peer:% = from, error:% = err; "heartbeat can't be decoded; ignored"),
        }
    }
}

fn handle_heartbeat(gateway: &Gateway, heartbeat: Heartbeat) {
    let now = gateway.now();
    let own = &gateway.parts.card.id;
    let sender = &heartbeat.own.card;
    if sender.id == *own {
        return;
    }
    if let Some(era) = newest_era(&heartbeat) {
        gateway.enter_era(era);
    }
    let mut state = gateway.state();
    state.fleet_clock.record(&sender.id, heartbeat.unix_ms, now);
    let source = (sender.id.clone(), sender.incarnation);
    for counts in &heartbeat.usage {
        state.usage.merge(&source, counts);
    }
    let own_sync_state = state.sync_state();
    let mut is_different = heartbeat.own.sync_state != own_sync_state;
    let path = if heartbeat.is_answer {
        ReportPath::Answer
    } else {
        ReportPath::Direct
    };
    record_report(&mut state, heartbeat.own, path, now);
    for report in heartbeat.forwarded {
        if report.card.id != *own {
            is_different |= report.sync_state != own_sync_state;
            record_report(&mut state, report, ReportPath::Forwarded, now);
        }
    }
    drop(state);
    if heartbeat.crashes != CrashReport::default() {
        gateway.change_crashes(|table, time| table.merge(heartbeat.crashes, time));
    }
    if is_different {
        gateway.peer_sync_differs.notify_one();
    }
}

/// The newest era of the store that the reports of a heartbeat know of; `None` if none has reached the store.
fn newest_era(heartbeat: &Heartbeat) -> Option<StoreEra> {
    let reports = heartbeat.forwarded.iter().chain([&heartbeat.own]);
    reports.filter_map(|report| report.sync_state.era).max()
}

fn record_report(state: &mut GatewayState, report: MemberReport, path: ReportPath, now: MonoTime) {
    let (id, stage, incarnation) = (report.card.id.clone(), report.stage, report.card.incarnation);
    if let Some(age) = report.news_age(state.upstreams_position()) {
        state.upstreams_date.confirm(now - age);
    }
    state.allowances.record_contact(&id, now);
    if state.members.record_report(report, path, now) {
        state.member_heard_at = Some(now);
        log::info!(peer:% = id, stage:? = stage, incarnation:% = incarnation, path:? = path; "instance is live");
    }
}

/// Sums up the work that live instances report, and their reports of unreachable upstreams.
fn update_peer_work(gateway: &Gateway) {
    let now = gateway.now();
    let mut state = gateway.state();
    let mut sums: FastMap<UpstreamKey, (WorkInFlight, u32)> = FastMap::default();
    for member in state.members.live(now) {
        for work in &member.report.work {
            let (sum, _) = sums.entry(work.upstream).or_default();
            sum.requests += work.requests;
            sum.prefill_tokens += work.prefill_tokens;
            sum.waiting_tokens += work.waiting_tokens;
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
