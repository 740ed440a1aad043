//! Orders engines to change their role, under the duties' fencing number.

use std::sync::Arc;
use std::time::Duration;

use marigoldlock_core::gateway::adapter::{DutyHolder, DutyOutcome, RoleOrder};
use marigoldlock_core::gateway::roles::{EngineLoad, RoleChange, RolePlanner};
use marigoldlock_core::prelude::*;
use tokio::task::JoinSet;

use crate::logging::DECISION_TARGET;

use super::Gateway;

/// Time between the announcement of a change and its order, so that all instances have stopped to send work there.
const ANNOUNCE: Duration = Duration::from_millis(300);

/// Plans roles for all services.
#[derive(Debug, Default)]
pub struct RoleKeeper {
    planners: FastMap<ServiceId, RolePlanner>,
    announced: Vec<(RoleChange, MonoTime)>,
    /// Orders under way; an upstream that doesn't answer must not delay the others.
    orders: JoinSet<(RoleChange, OrderOutcome)>,
}

/// What became of an order.
#[derive(Debug)]
enum OrderOutcome {
    /// Sent; whether an unanswered order took effect shows in the upstream's entry.
    Sent,
    /// Nothing was done.
    Refused(String),
    /// The upstream has seen a higher fencing number.
    Fenced,
}

impl RoleKeeper {
    /// Takes a sample and gives the orders that are due; returns false if the fencing number is too low.
    pub fn tick(&mut self, gateway: &Arc<Gateway>, fence: u64) -> bool {
        while let Some(ended) = self.orders.try_join_next() {
            match ended {
                Ok((_, OrderOutcome::Sent)) => {}
                Ok((change, OrderOutcome::Refused(reason))) => self.withdraw(&change, &reason),
                Ok((_, OrderOutcome::Fenced)) => return false,
                Err(err) => log::error!(error:% = err; "an order's task failed"),
            }
        }
        self.plan(gateway);
        let now = gateway.now();
        let announced = std::mem::take(&mut self.announced);
        let (due, later): (Vec<_>, Vec<_>) = announced
            .into_iter()
            .partition(|(_, at)| now.since(*at) >= ANNOUNCE);
        self.announced = later;
        for (change, _) in due {
            let gateway = Arc::clone(gateway);
            self.orders.spawn(async move {
                let outcome = order(&gateway, fence, &change).await;
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

    /// Takes back a change whose order did nothing.
    fn withdraw(&mut self, change: &RoleChange, reason: &str) {
        log::info!(upstream:% = change.upstream, reason; "role change withdrawn");
        for planner in self.planners.values_mut() {
            planner.cancel(&change.upstream);
        }
    }
}

async fn order(gateway: &Gateway, fence: u64, change: &RoleChange) -> OrderOutcome {
    let Some(entry) = gateway.state().catalog.get(change.upstream.as_str()).cloned() else {
        return OrderOutcome::Refused("it is no longer listed".into());
    };
    let report = match gateway.parts.orders.report(&entry).await {
        Ok(report) if !report.is_busy => report,
        Ok(_) => return OrderOutcome::Refused("it carries out another order".into()),
        Err(err) => return OrderOutcome::Refused(err.to_string()),
    };
    let holder = DutyHolder {
        instance: gateway.parts.card.id.as_str(),
        fence,
    };
    let order = RoleOrder {
        upstream: &entry.id,
        address: entry.address,
        role: change.role,
        accepted_before: report.accepted,
    };
    let outcome = gateway.parts.orders.change_role(holder, &order).await;
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
