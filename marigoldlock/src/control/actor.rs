//! The actor that runs the process's part in the control stream.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::error::Infallible;
use kameo::message::{Context, Message};
use log::{info, warn};
use marigoldlock_core::authority::{
    ControlChange, ControlFold, ControlProcess, ControlTiming, ControlView, Fault, SnapshotReader,
    restore_fold, split_snapshot,
};
use marigoldlock_core::orders::{OrderEffect, SendOrder};
use marigoldlock_core::time::MonoTime;
use marigoldlock_core::usage::{SendReport, USAGE_SHARDS};
use marigoldlock_wire::codec;
use marigoldlock_wire::engine::EngineOrder;
use marigoldlock_wire::ids::RECORDS_PER_APPEND;
use marigoldlock_wire::platform::{InstanceList, UpstreamOrder, UsageReport};
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::authority::{ControlRecord, Duty, HolderId, SnapshotPart, append_id};
use marigoldlock_wire::record::orders::OrderBody;
use tokio::sync::watch;

use super::append::{AppendFate, append_until_known};
use super::clients::{OrderClient, ReportClient, SendFate};
use super::handle::ControlHandle;
use super::messages::{
    AppendDone, AskControl, AskShares, ControlStatus, HeldDuty, Leave, LookUpDone, MergeShares, OrderDone,
    ReadControl, ReadProgress, ReportDone, ShareList, Tick, WishOrder,
};
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
    sources: ControlSources,
    own: ControlHandle,
    /// `None` until the stream was read to its head, and for good after a gap.
    process: Option<ControlProcess>,
    early: Vec<(u64, Envelope<ControlRecord>)>,
    first_kept: u64,
    has_gap: bool,
    sequence: u64,
    on_the_way: Option<RecordId>,
    members: Vec<MemberStatus>,
    /// When each instance was last among the members.
    present_at: FastMap<InstanceId, MonoTime>,
    /// When the members were first known.
    members_at: Option<MonoTime>,
    snapshot: VecDeque<SnapshotPart>,
    snapshot_at: Option<MonoTime>,
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
    fn now(&self) -> MonoTime {
        self.sources.clock.now()
    }

    fn window_now(&self) -> u64 {
        self.sources.clock.unix_ms() / (self.sources.window.as_millis() as u64).max(1)
    }

    /// Builds the state from what the log keeps.
    fn restore(&mut self) {
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

    fn replay(&mut self, fold: ControlFold) -> ControlProcess {
        let now = self.now();
        let me = self.sources.own.clone();
        let mut process = ControlProcess::new(me, self.sources.timing, fold).with_fault(self.sources.fault);
        process.observe_restored(now);
        for (offset, envelope) in self.early.drain(..) {
            process.fold_append(offset, &envelope, now);
        }
        process
    }

    fn fold(&mut self, offset: u64, envelope: &Envelope<ControlRecord>) {
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

    async fn refresh_members(&mut self) {
        let Some(members) = &self.sources.members else {
            return;
        };
        self.members = members.list().await;
        let now = self.now();
        if !self.members.is_empty() {
            self.members_at.get_or_insert(now);
        }
        for member in &self.members {
            self.present_at.insert(member.instance.clone(), now);
        }
    }

    /// Whether a process has ended: its instance has long been neither listed nor heard, or was started
    /// again. A name is started again only after its process has ended.
    fn is_gone(&self, holder: &HolderId, now: MonoTime) -> bool {
        let own = &self.sources.own;
        if holder.instance == own.instance {
            return holder.incarnation != own.incarnation;
        }
        let member = self
            .members
            .iter()
            .find(|member| member.instance == holder.instance);
        if let Some(member) = member {
            let other = member.incarnation.filter(|other| *other != holder.incarnation);
            return member.is_heard && other.is_some();
        }
        let present_at = self.present_at.get(&holder.instance).copied();
        present_at
            .max(self.members_at)
            .is_some_and(|at| now.since(at) >= self.sources.gone_after)
    }

    fn is_heard(&self, holder: &HolderId) -> bool {
        self.members
            .iter()
            .any(|member| member.is_heard && member.incarnation == Some(holder.incarnation))
    }

    /// Former senders of outstanding work that have ended.
    fn gone_senders(&self, now: MonoTime) -> FastSet<HolderId> {
        let Some(process) = &self.process else {
            return FastSet::default();
        };
        let fold = process.fold();
        let orders = fold.orders().iter().filter_map(|(_, order)| order.sender.clone());
        let reports = fold
            .usage()
            .unreported()
            .filter_map(|(_, frozen)| frozen.sender.clone());
        orders
            .chain(reports)
            .filter(|sender| self.is_gone(sender, now))
            .collect()
    }

    fn duties(&self) -> Vec<Duty> {
        let own = std::iter::once(&self.sources.data_centre);
        let mut data_centres: Vec<_> = self
            .members
            .iter()
            .map(|member| &member.data_centre)
            .chain(own)
            .collect();
        data_centres.sort();
        data_centres.dedup();
        let orders = data_centres.into_iter().map(|data_centre| Duty::Orders {
            data_centre: data_centre.clone(),
        });
        let has_reports = self.sources.reports.is_some();
        let usage = (0..USAGE_SHARDS)
            .filter(|_| has_reports)
            .map(|shard| Duty::Usage { shard });
        orders.chain(usage).chain([Duty::Snapshots]).collect()
    }

    fn alive(&self) -> Vec<InstanceId> {
        let heard = self.members.iter().filter(|member| member.is_heard);
        heard
            .map(|member| member.instance.clone())
            .chain([self.sources.own.instance.clone()])
            .collect()
    }

    fn count_usage(&mut self) {
        let window = self.window_now();
        let Some(process) = self.process.as_mut() else {
            return;
        };
        for (customer, figure) in self.sources.meter.drain() {
            process.usage_mut().counts_mut().count(&customer, window, figure);
        }
    }

    fn append_due(&mut self) {
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

    fn add_snapshot(&mut self, records: &mut Vec<ControlRecord>, now: MonoTime) {
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

    fn append(&mut self, mut records: Vec<ControlRecord>, now: MonoTime) {
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
            process.holder_mut().append_sent(id, now);
        }
        metrics::counter!("control_appends_total").increment(1);
        let log = Arc::clone(&self.sources.log);
        let own = self.own.clone();
        tokio::spawn(async move {
            let fate = append_until_known(log, codec::encode(&envelope).into()).await;
            own.tell(AppendDone { id, fate });
        });
    }

    fn send_due(&mut self) {
        let now = self.now();
        let open_window = self.window_now();
        let Some(process) = self.process.as_mut() else {
            return;
        };
        let effects = process.due_order_effects(now);
        let reports = process.due_reports(open_window, now);
        for effect in effects {
            match effect {
                OrderEffect::Send(order) => self.send_order(order),
                OrderEffect::LookUp { intent, reference } => self.look_up(intent, reference),
                OrderEffect::Replace { intent, upstream } => {
                    warn!(intent:%, upstream:%; "an order can't be settled; the engine is to be replaced");
                }
            }
        }
        for report in reports {
            self.send_report(report);
        }
    }

    fn send_order(&self, order: SendOrder) {
        let intent = order.intent;
        info!(intent:%, body:? = order.body, fence:% = order.fence; "order sent");
        let client = Arc::clone(&self.sources.orders);
        let clock = Arc::clone(&self.sources.clock);
        let own = self.own.clone();
        let orderer = self.sources.own.instance.clone();
        let address = self.address_of(&order.body);
        tokio::spawn(async move {
            let fate = if clock.now() < order.not_after {
                send(client.as_ref(), address, order, orderer).await
            } else {
                SendFate::NotSent
            };
            own.tell(OrderDone { intent, fate });
        });
    }

    fn address_of(&self, body: &OrderBody) -> Option<String> {
        let OrderBody::Engine { upstream, .. } = body else {
            return None;
        };
        let list = self.sources.list.borrow();
        let entry = list.entries.iter().find(|entry| entry.id == upstream.as_str())?;
        Some(entry.address.clone())
    }

    fn look_up(&self, intent: LogPosition, reference: String) {
        let client = Arc::clone(&self.sources.orders);
        let own = self.own.clone();
        tokio::spawn(async move {
            let answer = client.look_up(&reference).await;
            own.tell(LookUpDone { intent, answer });
        });
    }

    fn send_report(&self, report: SendReport) {
        let Some(client) = self.sources.reports.clone() else {
            return;
        };
        let clock = Arc::clone(&self.sources.clock);
        let own = self.own.clone();
        let reporter = self.sources.own.instance.clone();
        tokio::spawn(async move {
            let SendReport {
                customer,
                window,
                figure,
                epoch,
                not_after,
            } = report;
            let body = UsageReport {
                customer: customer.clone(),
                window,
                figure,
                reporter,
                epoch,
            };
            let is_taken = clock.now() < not_after && client.report(&body).await;
            own.tell(ReportDone {
                customer,
                window,
                is_taken,
            });
        });
    }

    fn status(&self) -> ControlStatus {
        let Some(process) = &self.process else {
            return ControlStatus::default();
        };
        let now = self.now();
        let fold = process.fold();
        let duties = fold.authority().heads().map(|(duty, head)| HeldDuty {
            duty: duty.clone(),
            holder: (!head.resigned).then(|| head.holder.clone()),
            epoch: head.epoch,
            is_own: process.authority(duty, now).is_some(),
        });
        ControlStatus {
            is_ready: true,
            next_offset: fold.next_offset(),
            duties: duties.collect(),
            outstanding_orders: fold.orders().iter().count(),
            unreported_windows: fold.usage().unreported().count(),
        }
    }
}

async fn send(
    client: &dyn OrderClient,
    address: Option<String>,
    order: SendOrder,
    orderer: InstanceId,
) -> SendFate<marigoldlock_core::orders::EngineAnswer> {
    let SendOrder {
        reference,
        fence,
        duty,
        body,
        ..
    } = order;
    match body {
        OrderBody::Engine { action, .. } => {
            let Some(address) = address else {
                return SendFate::NotSent;
            };
            let order = EngineOrder {
                reference,
                epoch: fence,
                orderer,
                action,
            };
            client.order_engine(&address, &order).await
        }
        OrderBody::Platform { service, action } => {
            let Duty::Orders { data_centre } = duty else {
                return SendFate::NotSent;
            };
            let order = UpstreamOrder {
                reference,
                epoch: fence,
                orderer,
                data_centre,
                service,
                action,
            };
            client.order_upstream(&order).await
        }
    }
}

impl Message<ReadControl> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, message: ReadControl, _: &mut Context<Self, Self::Reply>) {
        if self.has_gap {
            return;
        }
        let ReadControl { offset, data } = message;
        match codec::decode::<Envelope<ControlRecord>>(&data) {
            Ok(envelope) if self.process.is_some() => self.fold(offset, &envelope),
            Ok(envelope) => self.early.push((offset, envelope)),
            Err(error) => warn!(offset, error:%; "a record of the control stream can't be read"),
        }
    }
}

impl Message<ReadProgress> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, progress: ReadProgress, _: &mut Context<Self, Self::Reply>) {
        match progress {
            ReadProgress::Kept(first) if self.early.is_empty() => self.first_kept = first,
            ReadProgress::Kept(_) => {}
            ReadProgress::CaughtUp if self.process.is_none() && !self.has_gap => self.restore(),
            ReadProgress::CaughtUp => {}
            ReadProgress::Gap => {
                self.has_gap = true;
                self.process = None;
            }
        }
    }
}

impl Message<Tick> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, Self::Reply>) {
        self.refresh_members().await;
        self.count_usage();
        self.append_due();
        self.send_due();
    }
}

impl Message<AppendDone> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, done: AppendDone, _: &mut Context<Self, Self::Reply>) {
        if done.fate == AppendFate::Refused {
            self.on_the_way.take_if(|id| *id == done.id);
            if let Some(process) = self.process.as_mut() {
                process.holder_mut().append_refused(done.id);
            }
        }
    }
}

impl Message<OrderDone> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, done: OrderDone, _: &mut Context<Self, Self::Reply>) {
        let now = self.now();
        let Some(process) = self.process.as_mut() else {
            return;
        };
        let orders = process.orders_mut();
        match done.fate {
            SendFate::Answered(answer) => orders.answered(done.intent, answer, now),
            SendFate::NotSent => orders.not_sent(done.intent, now),
            SendFate::Lost => orders.answer_lost(done.intent, now),
        }
    }
}

impl Message<LookUpDone> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, done: LookUpDone, _: &mut Context<Self, Self::Reply>) {
        let now = self.now();
        if let Some(process) = self.process.as_mut() {
            process.orders_mut().looked_up(done.intent, done.answer, now);
        }
    }
}

impl Message<ReportDone> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, done: ReportDone, _: &mut Context<Self, Self::Reply>) {
        let now = self.now();
        let Some(process) = self.process.as_mut() else {
            return;
        };
        if done.is_taken {
            process.usage_mut().report_taken(&done.customer, done.window);
        } else {
            process.usage_mut().report_lost(&done.customer, done.window, now);
        }
    }
}

impl Message<WishOrder> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, wish: WishOrder, _: &mut Context<Self, Self::Reply>) {
        let now = self.now();
        let Some(process) = self.process.as_mut() else {
            return;
        };
        let duty = Duty::Orders {
            data_centre: wish.data_centre,
        };
        // A wish made without authority would be out of date by the time it could be an intent.
        if process.authority(&duty, now).is_some() {
            process.orders_mut().wish(duty, wish.body);
        }
    }
}

impl Message<MergeShares> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, MergeShares(shares): MergeShares, _: &mut Context<Self, Self::Reply>) {
        if let Some(process) = self.process.as_mut() {
            for share in &shares {
                process.usage_mut().counts_mut().merge(share);
            }
        }
    }
}

impl Message<AskShares> for ControlActor {
    type Reply = ShareList;

    async fn handle(&mut self, _: AskShares, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.count_usage();
        let Some(process) = &self.process else {
            return ShareList::default();
        };
        let ledger = process.fold().usage();
        let now = self.now();
        let shares = process.usage().counts().shares(ledger, |holder| {
            !self.is_heard(holder) || self.is_gone(holder, now)
        });
        ShareList(shares)
    }
}

impl Message<Leave> for ControlActor {
    type Reply = bool;

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        let now = self.now();
        let Some(process) = self.process.as_mut() else {
            return true;
        };
        process.holder_mut().leave(now);
        process.holder().is_idle()
    }
}

impl Message<AskControl> for ControlActor {
    type Reply = ControlStatus;

    async fn handle(&mut self, _: AskControl, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.status()
    }
}
