//! Message handlers of the control actor.

use kameo::message::{Context, Message};
use log::warn;
use marigoldlock_wire::codec;
use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::authority::{ControlRecord, Duty};

use super::actor::ControlActor;
use super::append::AppendResult;
use super::clients::SendOutcome;
use super::messages::{
    AppendDone, ApplyRecord, ControlStatus, GetShares, GetStatus, HeldDuty, Leave, LookUpDone, MergeShares,
    OrderDone, ProposeOrder, ReadProgress, ReportDone, ShareList, Tick,
};

impl Message<ApplyRecord> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, message: ApplyRecord, _: &mut Context<Self, Self::Reply>) {
        if self.has_gap {
            return;
        }
        let ApplyRecord { offset, data } = message;
        match codec::decode::<Envelope<ControlRecord>>(&data) {
            Ok(envelope) if self.process.is_some() => self.fold(offset, &envelope),
            Ok(envelope) => self.buffered.push((offset, envelope)),
            Err(error) => {
                warn!(offset, error:%; "skipping a record of the control stream that can't be decoded")
            }
        }
    }
}

impl Message<ReadProgress> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, progress: ReadProgress, _: &mut Context<Self, Self::Reply>) {
        match progress {
            ReadProgress::Kept(first) if self.buffered.is_empty() => self.first_retained = first,
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
        self.append_due_records();
        self.send_due_effects();
    }
}

impl Message<AppendDone> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, done: AppendDone, _: &mut Context<Self, Self::Reply>) {
        if done.result == AppendResult::Refused {
            self.pending_append.take_if(|id| *id == done.id);
            if let Some(process) = self.process.as_mut() {
                process.holder_mut().on_append_refused(done.id);
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
        match done.result {
            SendOutcome::Answered(answer) => orders.on_answer(done.intent, answer, now),
            SendOutcome::NotSent => orders.on_not_sent(done.intent, now),
            SendOutcome::Unknown => orders.on_answer_lost(done.intent, now),
        }
    }
}

impl Message<LookUpDone> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, done: LookUpDone, _: &mut Context<Self, Self::Reply>) {
        let now = self.now();
        if let Some(process) = self.process.as_mut() {
            process.orders_mut().on_look_up(done.intent, done.answer, now);
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
        if done.is_accepted {
            process
                .usage_mut()
                .on_report_accepted(&done.customer, done.window);
        } else {
            process
                .usage_mut()
                .on_report_failed(&done.customer, done.window, now);
        }
    }
}

impl Message<ProposeOrder> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, proposal: ProposeOrder, _: &mut Context<Self, Self::Reply>) {
        let now = self.now();
        let Some(process) = self.process.as_mut() else {
            return;
        };
        let duty = Duty::Orders {
            data_centre: proposal.data_centre,
        };
        // Without authority now, the proposal would be outdated by the time that it could become an intent.
        if process.authority(&duty, now).is_some() {
            process.orders_mut().propose(duty, proposal.body);
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

impl Message<GetShares> for ControlActor {
    type Reply = ShareList;

    async fn handle(&mut self, _: GetShares, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
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

impl Message<GetStatus> for ControlActor {
    type Reply = ControlStatus;

    async fn handle(&mut self, _: GetStatus, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.status()
    }
}

impl ControlActor {
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
