//! Orders engines to change their role, with the fencing number of the duties.

use std::sync::Arc;
use std::time::Duration;

use marigoldlock_core::gateway::adapter::{DutyHolder, DutyOutcome, RoleOrder};
use marigoldlock_core::gateway::roles::{EngineLoad, RoleChange, RolePlanner};
use marigoldlock_core::prelude::*;
use tokio::task::JoinSet;

use crate::logging::DECISION_TARGET;

use super::Gateway;
use super::send_right::{NO_RIGHT, obtain_right};

/// Time between the announcement of a role change and its order, so that all instances have stopped sending
/// requests to the engine.
const ANNOUNCE_TIME: Duration = Duration::from_millis(300);

/// Plans the roles of all services' engines and sends the orders.
#[derive(Debug, Default)]
pub struct RoleManager {
    planners: FastMap<ServiceId, RolePlanner>,
    announced: Vec<(RoleChange, MonoTime)>,
    /// Orders in progress; an upstream that doesn't respond must not delay the others.
    orders: JoinSet<(RoleChange, OrderOutcome)>,
}

/// Outcome of an order.
#[derive(Debug)]
enum OrderOutcome {
    /// Sent. If there was no response, the upstream's entry shows whether it took effect.
    Sent,
    /// The order had no effect.
    Refused(String),
    /// The upstream has seen a higher fencing number.
    Fenced,
}

impl RoleManager {
    /// Samples the load and sends the orders that are due; returns false if the fencing number is too low.
    pub fn tick(&mut self, gateway: &Arc<Gateway>, fence: u64) -> bool {
        while let Some(ended) = self.orders.try_join_next() {
            match ended {
                Ok((_, OrderOutcome::Sent)) => {}
                Ok((change, OrderOutcome::Refused(reason))) => self.cancel(&change, &reason),
                Ok((_, OrderOutcome::Fenced)) => return false,
                Err(err) => log::error!(error:% = err; "the task that sends an order failed"),
            }
        }
        self.plan(gateway);
        let now = gateway.now();
        let announced = std::mem::take(&mut self.announced);
        let (due, later): (Vec<_>, Vec<_>) = announced
            .into_iter()
            .partition(|(_, at)| now.since(*at) >= ANNOUNCE_TIME);
        self.announced = later;
        for (change, _) in due {
            let gateway = Arc::clone(gateway);
            self.orders.spawn(async move {
                let outcome = send_order(&gateway, fence, &change).await;
                (change, outcome)
            });
        }
        true
    }

    fn plan(&mut self, gateway: &Gateway) {
        let now = gateway.now();
        let mut state = gateway.state();
        let Some(settings) = state.settings.clone() else {
            return;
        };
        for service in settings.services() {
            let Some(engine) = &service.engine else { continue };
            let engines: Vec<EngineLoad<'_>> = state
                .catalog
                .usable(&service.name)
                .filter_map(|entry| {
                    let upstream = state.upstreams.get(&entry.id)?;
                    Some(EngineLoad {
                        entry,
                        requests: upstream.own.requests + upstream.peers.requests,
                        prefill_backlog_tokens: upstream.prefill_backlog_tokens(),
                        is_healthy: upstream.is_usable(now),
                    })
                })
                .collect();
            let planner = self.planners.entry(service.name.clone()).or_default();
            for change in planner.plan(&engines, engine.role_change, now) {
                log::info!(
                    target: DECISION_TARGET,
                    service:% = service.name, upstream:% = change.upstream, role:? = change.role, engines = engines.len();
                    "role change planned"
                );
                self.announced.push((change, now));
            }
        }
        state.changing = self
            .planners
            .values()
            .flat_map(RolePlanner::changing)
            .cloned()
            .collect();
    }

    /// Cancels a change whose order had no effect.
    fn cancel(&mut self, change: &RoleChange, reason: &str) {
        log::info!(upstream:% = change.upstream, reason; "role change cancelled");
        for planner in self.planners.values_mut() {
            planner.cancel(&change.upstream);
        }
    }
}

async fn send_order(gateway: &Arc<Gateway>, fence: u64, change: &RoleChange) -> OrderOutcome {
    let Some(entry) = gateway.state().catalog.get(change.upstream.as_str()).cloned() else {
        return OrderOutcome::Refused("the upstream is no longer listed".into());
    };
    let report = match gateway.parts.upstream_orders.report(&entry).await {
        Ok(report) if !report.is_busy => report,
        Ok(_) => return OrderOutcome::Refused("the upstream is carrying out another order".into()),
        Err(err) => return OrderOutcome::Refused(err.to_string()),
    };
    let right = obtain_right(gateway, fence).await;
    if right.is_denied() {
        return OrderOutcome::Refused(NO_RIGHT.into());
    }
    let holder = DutyHolder {
        instance: gateway.parts.card.id.as_str(),
        fence,
        guard: right.guard(),
    };
    let order = RoleOrder {
        upstream: &entry.id,
        address: entry.address,
        role: change.role,
        accepted_before: report.accepted,
    };
    let outcome = gateway.parts.upstream_orders.change_role(holder, &order).await;
    log::info!(
        target: DECISION_TARGET,
        upstream:% = entry.id, role:? = change.role, fence, accepted_before = report.accepted, outcome:? = outcome;
        "role ordered"
    );
    match outcome {
        DutyOutcome::Accepted | DutyOutcome::NoAnswer(_) => OrderOutcome::Sent,
        DutyOutcome::Refused(reason) => OrderOutcome::Refused(reason),
        DutyOutcome::Fenced => OrderOutcome::Fenced,
    }
}
