//! Sending of orders, look-ups and usage reports.

use std::sync::Arc;

use log::{info, warn};
use marigoldlock_core::orders::{OrderEffect, ReceiverAnswer, SendOrder};
use marigoldlock_core::usage::SendReport;
use marigoldlock_wire::engine::EngineOrder;
use marigoldlock_wire::platform::{UpstreamOrder, UsageReport};
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::authority::Duty;
use marigoldlock_wire::record::orders::OrderBody;

use super::actor::ControlActor;
use super::clients::{OrderClient, SendOutcome};
use super::messages::{LookUpDone, OrderDone, ReportDone};

impl ControlActor {
    pub(super) fn send_due_effects(&mut self) {
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
                    warn!(intent:%, upstream:%; "an order can't be settled; the engine must be replaced");
                }
            }
        }
        for report in reports {
            self.send_report(report);
        }
    }

    fn send_order(&self, order: SendOrder) {
        let intent = order.intent;
        info!(intent:%, body:? = order.body, fence:% = order.fence; "sending an order");
        let client = Arc::clone(&self.sources.orders);
        let clock = Arc::clone(&self.sources.clock);
        let handle = self.handle.clone();
        let orderer = self.sources.own.instance.clone();
        let address = self.address_of(&order.body);
        tokio::spawn(async move {
            let result = if clock.now() < order.not_after {
                send(client.as_ref(), address, order, orderer).await
            } else {
                SendOutcome::NotSent
            };
            handle.tell(OrderDone { intent, result });
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
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let answer = client.look_up(&reference).await;
            handle.tell(LookUpDone { intent, answer });
        });
    }

    fn send_report(&self, report: SendReport) {
        let Some(client) = self.sources.reports.clone() else {
            return;
        };
        let clock = Arc::clone(&self.sources.clock);
        let handle = self.handle.clone();
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
            let is_accepted = clock.now() < not_after && client.report(&body).await;
            handle.tell(ReportDone {
                customer,
                window,
                is_accepted,
            });
        });
    }
}

async fn send(
    client: &dyn OrderClient,
    address: Option<String>,
    order: SendOrder,
    orderer: InstanceId,
) -> SendOutcome<ReceiverAnswer> {
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
                return SendOutcome::NotSent;
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
                return SendOutcome::NotSent;
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
