//! The actor that runs the process's part in the control stream.

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
use marigoldlock_wire::ids::RECORDS_PER_APPEND;
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

/// Bytes of records in one append, below the log's largest record.
const APPEND_BYTES: usize = 192 << 10;

/// Time between two snapshots, well below the retention of the log.
const SNAPSHOT_EVERY: Duration = Duration::from_secs(600);

/// What the actor works with.
pub struct ControlSources {
    /// The process.
    pub own: HolderId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its clock.
    pub clock: Arc<dyn TimeSource>,
    /// The platform's log.
    pub log: Arc<dyn LogClient>,
    /// Way to engines and the ordering interface.
    pub orders: Arc<dyn OrderClient>,
    /// Way to the usage interface; `None` reports nothing.
    pub reports: Option<Arc<dyn ReportClient>>,
    /// The other instances; `None` if there are none.
    pub members: Option<MemberHandle>,
    /// The platform's list, for the addresses of engines.
    pub list: watch::Receiver<Arc<InstanceList>>,
    /// Finished requests.
    pub meter: UsageMeter,
    /// Length of a usage window.
    pub window: Duration,
    /// How long an instance must be missing from the members before its processes count as ended; longer
    /// than the platform's list lags.
    pub gone_after: Duration,
    /// Durations of the duties.
    pub timing: ControlTiming,
    /// Rule to leave out; only tests set one.
    pub fault: Option<Fault>,
}

/// Reads, appends and sends for [`ControlProcess`].
pub struct ControlActor {
    pub(super) sources: ControlSources,
    pub(super) own: ControlHandle,
    /// `None` until the stream was read to its head, and for good after a gap.
    pub(super) process: Option<ControlProcess>,
    pub(super) early: Vec<(u64, Envelope<ControlRecord>)>,
    pub(super) first_kept: u64,
    pub(super) has_gap: bool,
    pub(super) sequence: u64,
    pub(super) on_the_way: Option<RecordId>,
    pub(super) members: Vec<MemberStatus>,
    /// When each instance was last among the members.
    pub(super) present_at: FastMap<InstanceId, MonoTime>,
    /// When the members were first known.
    pub(super) members_at: Option<MonoTime>,
    pub(super) snapshot: VecDeque<SnapshotPart>,
    pub(super) snapshot_at: Option<MonoTime>,
}

impl Actor for ControlActor {
    type Args = ControlSources;
    type Error = Infallible;

    async fn on_start(sources: Self::Args, actor: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(Self {
            sources,
            own: ControlHandle::of(actor),
            process: None,
            early: Vec::new(),
            first_kept: 0,
            has_gap: false,
            sequence: 0,
            on_the_way: None,
            members: Vec::new(),
            present_at: FastMap::default(),
            members_at: None,
            snapshot: VecDeque::new(),
            snapshot_at: None,
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

    /// Builds the state from what the log keeps.
    pub(super) fn restore(&mut self) {
        let mut reader = SnapshotReader::default();
        for (_, envelope) in &self.early {
            for record in &envelope.records {
                if let ControlRecord::Snapshot(part) = record {
                    reader.add(envelope.incarnation, part);
                }
            }
        }
        let fold = match restore_fold(self.first_kept, &reader) {
            Ok(fold) => fold,
            Err(error) => {
                warn!(error:%; "no state to start from; waiting for a snapshot of another instance");
                return;
            }
        };
        info!(next = fold.next_offset(), read = self.early.len(); "control stream read");
        self.process = Some(self.replay(fold));
    }

    pub(super) fn replay(&mut self, fold: ControlFold) -> ControlProcess {
        let now = self.now();
        let me = self.sources.own.clone();
        let mut process = ControlProcess::new(me, self.sources.timing, fold).with_fault(self.sources.fault);
        process.observe_restored(now);
        for (offset, envelope) in self.early.drain(..) {
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
        self.on_the_way.take_if(|id| *id == envelope.id);
        for change in changes {
            if let ControlChange::Authority(change) = change {
                info!(offset, writer = envelope.writer.as_str(), change:?; "authority");
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

    pub(super) fn append_due(&mut self) {
        let now = self.now();
        if self.on_the_way.is_some() {
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
        let is_due = self.snapshot_at.is_none_or(|at| now.since(at) >= SNAPSHOT_EVERY);
        if self.snapshot.is_empty() && is_due {
            self.snapshot = split_snapshot(process.fold()).into();
            self.snapshot_at = Some(now);
        }
        if records.is_empty() {
            records.extend(self.snapshot.pop_front().map(ControlRecord::Snapshot));
        }
    }

    pub(super) fn append(&mut self, mut records: Vec<ControlRecord>, now: MonoTime) {
        // What does not fit is due again after this append.
        let mut bytes = 0;
        let fitting = records
            .iter()
            .take(RECORDS_PER_APPEND)
            .take_while(|record| {
                bytes += codec::encode(*record).len();
                bytes <= APPEND_BYTES
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
        self.on_the_way = Some(id);
        if let Some(process) = self.process.as_mut() {
            process.holder_mut().on_append_sent(id, now);
        }
        metrics::counter!("control_appends_total").increment(1);
        let log = Arc::clone(&self.sources.log);
        let own = self.own.clone();
        tokio::spawn(async move {
            let fate = append_until_known(log, codec::encode(&envelope).into()).await;
            own.tell(AppendDone { id, fate });
        });
    }
}
