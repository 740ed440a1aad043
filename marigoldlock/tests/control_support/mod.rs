//! In-memory fakes of the log and the usage interface, and control processes that use them on a paused clock.

#![allow(dead_code, reason = "each test binary uses only a part")]

pub mod orders;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use marigoldlock::clock::TokioClock;
use marigoldlock::control::{ControlHandle, ControlSink, ControlSources, ReportClient};
use marigoldlock::log_stream::{FollowLimits, StreamFollower};
use marigoldlock::platform::{LogClient, LogError, ReadBatch};
use marigoldlock::usage::UsageMeter;
use marigoldlock_core::authority::{ControlTiming, Fault};
use marigoldlock_wire::platform::{
    CapacityKind, InstanceList, ListEntry, ListKind, ListState, UsageFigure, UsageReport,
};
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::CONTROL_STREAM;
use marigoldlock_wire::record::authority::HolderId;
use tokio::sync::watch;
use tokio::task::AbortHandle;

use self::orders::OrderStore;

/// A process's client of an in-memory log.
#[derive(Clone)]
pub struct MemoryLog {
    records: Arc<Mutex<Vec<Bytes>>>,
    head_watch: watch::Sender<u64>,
    gate: watch::Receiver<bool>,
}

/// Connects a process to one of the fakes (`true`) or blocks its calls (`false`).
pub type Gate = watch::Sender<bool>;

/// Records of the in-memory log, shared by all processes.
#[derive(Clone)]
pub struct LogStore {
    records: Arc<Mutex<Vec<Bytes>>>,
    head_watch: watch::Sender<u64>,
}

impl LogStore {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self {
            records: Arc::default(),
            head_watch: watch::Sender::new(0),
        }
    }

    /// Creates a process's client of the log, and the client's gate.
    pub fn client(&self) -> (MemoryLog, Gate) {
        let (gate, receiver) = watch::channel(true);
        let log = MemoryLog {
            records: Arc::clone(&self.records),
            head_watch: self.head_watch.clone(),
            gate: receiver,
        };
        (log, gate)
    }

    /// Number of appended records.
    pub fn appends(&self) -> usize {
        self.records.lock().unwrap().len()
    }
}

async fn wait_for_gate(gate: &watch::Receiver<bool>) {
    let mut gate = gate.clone();
    // A closed gate whose sender is dropped never opens.
    if gate.wait_for(|open| *open).await.is_err() {
        std::future::pending::<()>().await;
    }
}

#[async_trait]
impl LogClient for MemoryLog {
    async fn append(&self, _: &str, data: Bytes) -> Result<u64, LogError> {
        wait_for_gate(&self.gate).await;
        let mut records = self.records.lock().unwrap();
        records.push(data);
        let head = records.len() as u64;
        self.head_watch.send_replace(head);
        Ok(head - 1)
    }

    async fn read(&self, _: &str, from: u64, max: usize, wait: Duration) -> Result<ReadBatch, LogError> {
        wait_for_gate(&self.gate).await;
        let mut head_watch = self.head_watch.subscribe();
        // On timeout the batch is empty.
        let _ = tokio::time::timeout(wait, head_watch.wait_for(|head| *head > from)).await;
        wait_for_gate(&self.gate).await;
        let records = self.records.lock().unwrap();
        let head = records.len() as u64;
        let batch = (from..head)
            .take(max)
            .map(|offset| (offset, records[offset as usize].clone()))
            .collect();
        Ok(ReadBatch {
            first: 0,
            head,
            records: batch,
        })
    }
}

/// Usage interface in memory.
#[derive(Clone, Default)]
pub struct ReportStore {
    seen: Arc<Mutex<Vec<UsageReport>>>,
    lost: Arc<Mutex<u32>>,
}

impl ReportStore {
    /// All reports, in order of arrival.
    pub fn seen(&self) -> Vec<UsageReport> {
        self.seen.lock().unwrap().clone()
    }

    /// Accepts the next `count` reports but loses the responses to them.
    pub fn lose_answers(&self, count: u32) {
        *self.lost.lock().unwrap() = count;
    }

    /// Number of requests reported, counting each window once.
    pub fn requests(&self) -> u64 {
        let mut seen = self.seen();
        seen.dedup_by(|a, b| a.customer == b.customer && a.window == b.window);
        seen.sort_by(|a, b| (&a.customer, a.window).cmp(&(&b.customer, b.window)));
        seen.dedup_by(|a, b| a.customer == b.customer && a.window == b.window);
        seen.iter().map(|report| report.figure.requests).sum()
    }

    /// Describes a window that was reported with different figures, or by a process after its successor.
    pub fn violation(&self) -> Option<String> {
        let seen = self.seen();
        for (index, late) in seen.iter().enumerate() {
            let earlier = seen[..index]
                .iter()
                .filter(|early| early.customer == late.customer && early.window == late.window);
            for early in earlier {
                if early.figure != late.figure {
                    return Some(format!("window {} reported with different figures", late.window));
                }
                if early.epoch > late.epoch {
                    return Some(format!("window {} reported by a former holder", late.window));
                }
            }
        }
        None
    }
}

struct GatedReports {
    store: ReportStore,
    gate: watch::Receiver<bool>,
}

#[async_trait]
impl ReportClient for GatedReports {
    async fn report(&self, report: &UsageReport) -> bool {
        wait_for_gate(&self.gate).await;
        self.store.seen.lock().unwrap().push(report.clone());
        let mut lost = self.store.lost.lock().unwrap();
        let is_lost = *lost > 0;
        *lost = lost.saturating_sub(1);
        !is_lost
    }
}

/// Parts of a control process.
pub struct NodeParts<'a> {
    /// Name of the process.
    pub name: &'a str,
    /// Log that it uses.
    pub log: &'a LogStore,
    /// Usage interface that it reports to.
    pub reports: ReportStore,
    /// Receivers of its orders.
    pub orders: OrderStore,
    /// Safety rule that the process ignores.
    pub fault: Option<Fault>,
}

impl<'a> NodeParts<'a> {
    /// Parts of a process that shares only the log with others.
    pub fn new(name: &'a str, log: &'a LogStore) -> Self {
        let (reports, orders) = Default::default();
        Self {
            name,
            log,
            reports,
            orders,
            fault: None,
        }
    }
}

/// Returns an instance list with one engine.
fn engine_list() -> InstanceList {
    let engine = ListEntry {
        id: "e1".to_owned(),
        kind: ListKind::Engine,
        service: Some("copydesk-llm".into()),
        data_centre: "pest-a".into(),
        address: "127.0.0.1:1".to_owned(),
        peer_address: None,
        capacity: CapacityKind::Steady,
        state: ListState::Live,
    };
    InstanceList {
        version: 1,
        entries: vec![engine],
    }
}

/// A control process under test.
pub struct ControlNode {
    /// Handle to its control actor.
    pub control: ControlHandle,
    /// Meter of the usage that it serves.
    pub meter: UsageMeter,
    /// Gate to the log.
    pub log_gate: Gate,
    /// Gate to the usage interface.
    pub report_gate: Gate,
    /// Gate to the receivers of orders.
    pub order_gate: Gate,
    tasks: [AbortHandle; 2],
}

impl ControlNode {
    /// Starts a process that only reports usage.
    pub fn start(name: &str, log: &LogStore, reports: &ReportStore) -> Self {
        Self::start_faulty(name, log, reports, None)
    }

    /// Starts a process that only reports usage and ignores a safety rule.
    pub fn start_faulty(name: &str, log: &LogStore, reports: &ReportStore, fault: Option<Fault>) -> Self {
        let reports = reports.clone();
        Self::start_with(NodeParts {
            reports,
            fault,
            ..NodeParts::new(name, log)
        })
    }

    /// Starts a process.
    pub fn start_with(parts: NodeParts<'_>) -> Self {
        let (client, log_gate) = parts.log.client();
        let (report_gate, reports) = watch::channel(true);
        let (order_gate, orders) = watch::channel(true);
        let clock = Arc::new(TokioClock::start());
        let meter = UsageMeter::default();
        let control = ControlHandle::start(ControlSources {
            own: HolderId {
                instance: parts.name.into(),
                incarnation: Incarnation(parts.name.as_bytes()[0].into()),
            },
            data_centre: "pest-a".into(),
            clock: clock.clone(),
            log: Arc::new(client.clone()),
            orders: Arc::new(parts.orders.client(orders)),
            reports: Some(Arc::new(GatedReports {
                store: parts.reports,
                gate: reports,
            })),
            members: None,
            list: watch::channel(Arc::new(engine_list())).1,
            meter: meter.clone(),
            window: Duration::from_secs(10),
            gone_after: Duration::from_secs(60),
            timing: ControlTiming::default(),
            fault: parts.fault,
        });
        let follower = StreamFollower::new(Arc::new(client), clock, CONTROL_STREAM, FollowLimits::default());
        let follow = tokio::spawn(follower.run(ControlSink::new(control.clone())));
        let ticks = tokio::spawn(control.clone().run_ticks());
        Self {
            control,
            meter,
            log_gate,
            report_gate,
            order_gate,
            tasks: [follow.abort_handle(), ticks.abort_handle()],
        }
    }

    /// Counts requests of the customer as served.
    pub fn serve(&self, requests: u64) {
        let figure = UsageFigure {
            requests,
            prompt_tokens: 10 * requests,
            output_tokens: requests,
        };
        self.meter.record(&"dairy".into(), figure);
    }

    /// Whether the process holds a duty.
    pub async fn reports_usage(&self) -> bool {
        let status = self.control.status().await;
        status.duties.iter().any(|duty| duty.is_own)
    }

    /// Sends its usage counts to another process.
    pub async fn share_with(&self, other: &Self) {
        other.control.merge_shares(self.control.shares().await);
    }

    /// Blocks the process's calls to the log, the usage interface and the receivers of orders.
    pub fn pause(&self) {
        self.log_gate.send_replace(false);
        self.report_gate.send_replace(false);
        self.order_gate.send_replace(false);
    }

    /// Unblocks the calls.
    pub fn resume(&self) {
        self.log_gate.send_replace(true);
        self.report_gate.send_replace(true);
        self.order_gate.send_replace(true);
    }

    /// Kills the process.
    pub async fn kill(self) {
        for task in &self.tasks {
            task.abort();
        }
        self.control.close().await;
    }
}

/// Sleeps, which on the paused clock advances the time.
pub async fn sleep_secs(seconds: u64) {
    tokio::time::sleep(Duration::from_secs(seconds)).await;
}
