//! Orders upstreams from the platform, with the fencing number of the duties.

use std::collections::VecDeque;
use std::sync::Arc;

use marigoldlock_core::gateway::adapter::{CapacityOrder, DutyApi, DutyHolder, DutyOutcome};
use marigoldlock_core::gateway::capacity::{CapacityChange, ServingCounts};
use marigoldlock_core::gateway::demand::{
    DemandFigures, DemandPlanner, DemandView, EngineWork, LoadSample, LoadScale, has_most_reports,
};
use marigoldlock_core::gateway::members::MemberStage;
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::gateway::route::ScalingRule;
use marigoldlock_core::gateway::state::{UpstreamKey, WorkInFlight};
use marigoldlock_core::prelude::*;
use tokio::task::JoinSet;

use crate::logging::DECISION_TARGET;

use super::Gateway;
use super::send_right::{NO_RIGHT, obtain_right};
use super::state::GatewayState;

/// Plans the capacity of all services and sends the orders.
#[derive(Debug, Default)]
pub struct CapacityManager {
    planners: FastMap<ServiceId, DemandPlanner>,
    /// Orders in progress, which may take seconds. They run one after the other.
    calls: JoinSet<DutyOutcome>,
    /// Orders to send once those in progress have ended.
    waiting: VecDeque<CapacityOrder>,
}

impl CapacityManager {
    /// Sends the orders that are due; returns false if the fencing number is too low.
    pub fn tick(&mut self, gateway: &Arc<Gateway>, fence: u64) -> bool {
        let Some(duties) = gateway.parts.duty_api.clone() else {
            return true;
        };
        while let Some(ended) = self.calls.try_join_next() {
            match ended {
                Ok(DutyOutcome::Fenced) => return false,
                Ok(_) => {}
                Err(err) => log::error!(error:% = err; "the task that sends an order failed"),
            }
        }
        let orders = self.plan(gateway);
        if gateway.parts.capacity_headroom.factor().is_some() {
            // Load may change while an order is in progress; only the latest number is still wanted then.
            self.waiting.retain(|waiting| {
                !orders.iter().any(|order| {
                    (&order.service, &order.data_centre, order.is_spot)
                        == (&waiting.service, &waiting.data_centre, waiting.is_spot)
                })
            });
        }
        self.waiting.extend(orders);
        if !self.calls.is_empty() || self.waiting.is_empty() {
            return true;
        }
        let orders = std::mem::take(&mut self.waiting);
        let gateway = Arc::clone(gateway);
        self.calls.spawn(async move {
            for order in orders {
                let outcome = send_order(&gateway, &*duties, fence, &order).await;
                if outcome == DutyOutcome::Fenced {
                    return outcome;
                }
            }
            DutyOutcome::Accepted
        });
        true
    }

    /// Ends the planning. Metrics of the load are kept by the holder of the duties only.
    pub fn close(self) {
        for (service, planner) in &self.planners {
            for (data_centre, _) in planner.figures() {
                set_metrics(service, data_centre, &DemandFigures::default());
            }
        }
    }

    fn plan(&mut self, gateway: &Gateway) -> Vec<CapacityOrder> {
        let state = gateway.state();
        let Some(settings) = state.settings.clone() else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        for service in settings.services() {
            let Some(rule) = &service.scaling else { continue };
            let mut serving: FastMap<DataCentre, ServingCounts> = FastMap::default();
            for entry in state.catalog.usable(&service.name) {
                let counts = serving.entry(entry.data_centre.clone()).or_default();
                if entry.is_spot {
                    counts.spot += 1;
                } else {
                    counts.on_demand += 1;
                }
            }
            let planner = self.planners.entry(service.name.clone()).or_default();
            let changes = plan_service(gateway, &state, service, rule, &serving, planner);
            orders.extend(changes.into_iter().map(|change| CapacityOrder {
                service: service.name.clone(),
                data_centre: change.data_centre,
                count: change.count,
                is_spot: change.is_spot,
            }));
        }
        orders
    }
}

/// Returns the orders that are due for a service.
fn plan_service(
    gateway: &Gateway,
    state: &GatewayState,
    service: &ServiceRule,
    rule: &ScalingRule,
    serving: &FastMap<DataCentre, ServingCounts>,
    planner: &mut DemandPlanner,
) -> Vec<CapacityChange> {
    let now = gateway.now();
    let headroom = gateway.parts.capacity_headroom;
    let load = if headroom.factor().is_some() {
        measure_load(gateway, state, service, now)
    } else {
        MeasuredLoad::default()
    };
    let view = DemandView {
        serving,
        load: &load.samples,
        reporting: &load.reporting,
        is_complete: load.is_complete,
    };
    let changes = planner.plan(rule, headroom, &view, now);
    for (data_centre, figures) in planner.figures() {
        set_metrics(&service.name, data_centre, &figures);
        if changes.iter().any(|change| change.data_centre == *data_centre) {
            let sample = load.samples.get(data_centre).copied().unwrap_or_default();
            log::info!(
                target: DECISION_TARGET,
                service:% = service.name, data_centre:%, wanted = figures.wanted, required = figures.required,
                on_demand = figures.on_demand, spot = figures.spot, load = figures.load, peak = figures.peak,
                prefill = sample.prefill, backlog = sample.backlog, decode = sample.decode,
                requests = sample.requests, complete = load.is_complete;
                "capacity planned"
            );
        }
    }
    changes
}

/// Load of a service, as the instances report it.
#[derive(Debug, Default)]
struct MeasuredLoad {
    samples: FastMap<DataCentre, LoadSample>,
    /// Data centres whose instances report.
    reporting: FastSet<DataCentre>,
    /// False while reports are missing or the store doesn't answer.
    is_complete: bool,
}

fn measure_load(
    gateway: &Gateway,
    state: &GatewayState,
    service: &ServiceRule,
    now: MonoTime,
) -> MeasuredLoad {
    let own_centre = &gateway.parts.card.data_centre;
    let entries: FastMap<UpstreamKey, &UpstreamEntry> = state
        .catalog
        .entries()
        .filter(|entry| entry.service == service.name)
        .map(|entry| (UpstreamKey::from(&entry.id), entry))
        .collect();
    let own = entries.values().filter_map(|entry| {
        Some(EngineWork {
            origin: own_centre,
            entry,
            work: state.upstreams.get(&entry.id)?.own,
        })
    });
    let mut works: Vec<EngineWork<'_>> = own.collect();
    let mut reporting: FastSet<DataCentre> = FastSet::default();
    reporting.insert(own_centre.clone());
    let mut live = 0;
    for member in state.members.live(now) {
        live += 1;
        reporting.insert(member.card().data_centre.clone());
        works.extend(member.report.work.iter().filter_map(|work| {
            Some(EngineWork {
                origin: &member.card().data_centre,
                entry: entries.get(&work.upstream)?,
                work: WorkInFlight {
                    requests: work.requests,
                    prefill_tokens: work.prefill_tokens,
                    waiting_tokens: work.waiting_tokens,
                },
            })
        }));
    }
    let heard = state
        .members
        .all()
        .filter(|member| member.reported_at.is_some() && member.report.stage != MemberStage::Leaving)
        .count();
    let rates = &state.prefill_rates;
    let settings = state.settings.as_ref();
    let scale = LoadScale {
        prefill_rate: rates.get(&service.name).copied().unwrap_or_default(),
        target_latency: settings
            .and_then(|settings| settings.shortest_target(&service.name))
            .unwrap_or_default(),
        is_engine: service.engine.is_some(),
    };
    MeasuredLoad {
        samples: scale.sample(&works),
        reporting,
        is_complete: state.store.is_reachable() && has_most_reports(live, heard),
    }
}

fn set_metrics(service: &ServiceId, data_centre: &DataCentre, figures: &DemandFigures) {
    let labels = [
        ("service", service.to_string()),
        ("data_centre", data_centre.to_string()),
    ];
    metrics::gauge!("gateway_capacity_wanted", &labels).set(f64::from(figures.wanted));
    metrics::gauge!("gateway_capacity_serving", &labels).set(f64::from(figures.on_demand + figures.spot));
    metrics::gauge!("gateway_capacity_utilisation", &labels).set(figures.utilisation());
}

async fn send_order(
    gateway: &Arc<Gateway>,
    duties: &dyn DutyApi,
    fence: u64,
    order: &CapacityOrder,
) -> DutyOutcome {
    let right = obtain_right(gateway, fence).await;
    let outcome = if right.is_denied() {
        DutyOutcome::Refused(NO_RIGHT.into())
    } else {
        let holder = DutyHolder {
            instance: gateway.parts.card.id.as_str(),
            fence,
            guard: right.guard(),
        };
        duties.order_capacity(holder, order).await
    };
    log::info!(
        target: DECISION_TARGET,
        service:% = order.service, data_centre:% = order.data_centre, count = order.count, cheap = order.is_spot,
        fence, outcome:? = outcome;
        "capacity ordered"
    );
    outcome
}
