//! Actor that drives this process's [`ControlProcess`].

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::error::Infallible;
use log::{info, warn};
use marigoldlock_core::authority::{
    ControlChange, ControlFold, ControlProcess, ControlTiming, ControlView, Fault, SnapshotReader,
    restore_fold, split_snapshot,
};
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::codec;
use marigoldlock_wire::ids::MAX_RECORDS_PER_APPEND;
use marigoldlock_wire::platform::InstanceList;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::authority::{ControlRecord, Duty, HolderId, SnapshotPart, append_id};
use tokio::sync::watch;

use super::append::append_until_known;
use super::clients::{OrderClient, ReportClient};
use super::handle::ControlHandle;
use super::messages::AppendDone;
use crate::clock::TimeSource;
use crate::members::{MemberHandle, MemberStatus};
use crate::platform::LogClient;
use crate::usage::UsageMeter;

/// Maximum size of the records in one append, in bytes; below the maximum record size of the log.
const MAX_APPEND_BYTES: usize = 192 << 10;

/// Interval between snapshots, well below the retention time of the log.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(600);

/// Dependencies and limits of the actor.
pub struct ControlSources {
    /// Identity of this process as a holder of duties.
    pub own: HolderId,
    /// Data centre of this process.
    pub data_centre: DataCentre,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// The platform's log.
    pub log: Arc<dyn LogClient>,
    /// Client of the engines and of the platform's ordering API.
    pub orders: Arc<dyn OrderClient>,
    /// Client of the platform's usage API, or `None` if usage is not reported.
    pub reports: Option<Arc<dyn ReportClient>>,
    /// The other instances, or `None` if there are none.
    pub members: Option<MemberHandle>,
    /// The platform's list, used to find the addresses of engines.
    pub list: watch::Receiver<Arc<InstanceList>>,
    /// Meter of finished requests.
    pub meter: UsageMeter,
    /// Length of a usage window.
    pub window: Duration,
    /// Time for which an instance must be missing from the members before its processes count as terminated;
    /// longer than the lag of the platform's list.
    pub gone_after: Duration,
    /// Timing of the duties.
    pub timing: ControlTiming,
    /// Protocol rule to violate; set only by tests.
    pub fault: Option<Fault>,
}

/// Performs the reads, appends and sends of a [`ControlProcess`].
pub struct ControlActor {
    pub(super) sources: ControlSources,
    pub(super) handle: ControlHandle,
    /// `None` until the stream was read up to its head, and permanently after a gap.
    pub(super) process: Option<ControlProcess>,
    /// Envelopes read before the head was reached.
    pub(super) buffered: Vec<(u64, Envelope<ControlRecord>)>,
    pub(super) first_retained: u64,
    pub(super) has_gap: bool,
    pub(super) sequence: u64,
    pub(super) pending_append: Option<RecordId>,
    pub(super) members: Vec<MemberStatus>,
    /// When each instance was last among the members.
    pub(super) last_present: FastMap<InstanceId, MonoTime>,
    /// When the first member was seen.
    pub(super) members_known_at: Option<MonoTime>,
    /// Remaining parts of the snapshot that is being written.
    pub(super) snapshot: VecDeque<SnapshotPart>,
    pub(super) last_snapshot_at: Option<MonoTime>,
}

impl Actor for ControlActor {
    type Args = ControlSources;
    type Error = Infallible;

    async fn on_start(sources: Self::Args, actor: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(Self {
            sources,
            handle: ControlHandle::of(actor),
            process: None,
            buffered: Vec::new(),
            first_retained: 0,
            has_gap: false,
            sequence: 0,
            pending_append: None,
            members: Vec::new(),
            last_present: FastMap::default(),
            members_known_at: None,
            snapshot: VecDeque::new(),
            last_snapshot_at: None,
        })
    }
}

impl ControlActor {
    pub(super) fn now(&self) -> MonoTime {
        self.sources.clock.now()
    }

    pub(super) fn window_now(&self) -> u64 {
        self.sources.clock.unix_ms() / (self.sources.window.as_millis() as u64).max(1)
    }

    /// Builds the state from the newest snapshot and the buffered records.
    pub(super) fn restore(&mut self) {
        let mut reader = SnapshotReader::default();
        for (_, envelope) in &self.buffered {
            for record in &envelope.records {
                if let ControlRecord::Snapshot(part) = record {
                    reader.add(envelope.incarnation, part);
                }
            }
        }
        let fold = match restore_fold(self.first_retained, &reader) {
            Ok(fold) => fold,
            Err(error) => {
                warn!(error:%; "the control stream holds no state to start from; waiting for another instance's snapshot");
                return;
            }
        };
        info!(next = fold.next_offset(), read = self.buffered.len(); "control stream read");
        self.process = Some(self.replay(fold));
    }

    pub(super) fn replay(&mut self, fold: ControlFold) -> ControlProcess {
        let now = self.now();
        let own_id = self.sources.own.clone();
        let mut process =
            ControlProcess::new(own_id, self.sources.timing, fold).with_fault(self.sources.fault);
        process.observe_restored(now);
        for (offset, envelope) in self.buffered.drain(..) {
            process.fold_append(offset, &envelope, now);
        }
        process
    }

    pub(super) fn fold(&mut self, offset: u64, envelope: &Envelope<ControlRecord>) {
        let now = self.now();
        let Some(process) = self.process.as_mut() else {
            return;
        };
        let changes = process.fold_append(offset, envelope, now);
        self.pending_append.take_if(|id| *id == envelope.id);
        for change in changes {
            if let ControlChange::Authority(change) = change {
                info!(offset, writer = envelope.writer.as_str(), change:?; "authority record applied");
            }
        }
    }

    pub(super) fn count_usage(&mut self) {
        let window = self.window_now();
        let Some(process) = self.process.as_mut() else {
            return;
        };
        for (customer, figure) in self.sources.meter.drain() {
            process.usage_mut().counts_mut().count(&customer, window, figure);
        }
    }

    pub(super) fn append_due_records(&mut self) {
        let now = self.now();
        if self.pending_append.is_some() {
            return;
        }
        let duties = self.duties();
        let alive = self.alive();
        let open_window = self.window_now();
        let gone = self.gone_senders(now);
        let view = ControlView {
            duties: &duties,
            alive: &alive,
            is_gone: &|holder| gone.contains(holder),
            open_window,
            now,
        };
        let records = self.process.as_mut().map(|process| process.due_records(&view));
        let mut records = records.unwrap_or_default();
        self.add_snapshot(&mut records, now);
        if !records.is_empty() {
            self.append(records, now);
        }
    }

    pub(super) fn add_snapshot(&mut self, records: &mut Vec<ControlRecord>, now: MonoTime) {
        let Some(process) = &self.process else { return };
        if process.authority(&Duty::Snapshots, now).is_none() {
            self.snapshot.clear();
            return;
        }
        let is_due = self
            .last_snapshot_at
            .is_none_or(|at| now.since(at) >= SNAPSHOT_INTERVAL);
        if self.snapshot.is_empty() && is_due {
            self.snapshot = split_snapshot(process.fold()).into();
            self.last_snapshot_at = Some(now);
        }
        if records.is_empty() {
            records.extend(self.snapshot.pop_front().map(ControlRecord::Snapshot));
        }
    }

    pub(super) fn append(&mut self, mut records: Vec<ControlRecord>, now: MonoTime) {
        // Records that don't fit are due again after this append.
        let mut bytes = 0;
        let fitting = records
            .iter()
            .take(MAX_RECORDS_PER_APPEND)
            .take_while(|record| {
                bytes += codec::encode(*record).len();
                bytes <= MAX_APPEND_BYTES
            })
            .count();
        records.truncate(fitting.max(1));
        self.sequence += 1;
        let id = append_id(self.sources.own.incarnation, self.sequence);
        let envelope = Envelope {
            id,
            writer: self.sources.own.instance.clone(),
            incarnation: self.sources.own.incarnation,
            records,
        };
        self.pending_append = Some(id);
        if let Some(process) = self.process.as_mut() {
            process.holder_mut().on_append_sent(id, now);
        }
        metrics::counter!("control_appends_total").increment(1);
        let log = Arc::clone(&self.sources.log);
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let result = append_until_known(log, codec::encode(&envelope).into()).await;
            handle.tell(AppendDone { id, result });
        });
    }
}
