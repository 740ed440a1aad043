//! Inputs and results of placement decisions.

use std::time::Duration;

use derive_more::Display;
use marigoldlock_wire::engine::{EngineAction, EngineRole};
use marigoldlock_wire::platform::{CapacityKind, OrderAction};
use serde::Serialize;

use crate::prelude::*;

use super::roles::RoleBenefit;

/// State of one upstream, from its load report, the platform's list and the outstanding orders.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Capacity kind: steady, or cheap and reclaimable.
    pub capacity: CapacityKind,
    /// Current role.
    pub role: EngineRole,
    /// Role set by an outstanding order, if any.
    pub ordered_role: Option<EngineRole>,
    /// True while a change makes it unavailable, or while it starts.
    pub changing: bool,
    /// True once it is marked as leaving.
    pub leaving: bool,
    /// Requests that all instances have in flight there.
    pub in_flight: u32,
    /// Loaded models.
    pub models: Vec<ModelId>,
}

impl EngineView {
    /// Role once the outstanding order is done.
    pub fn target_role(&self) -> EngineRole {
        self.ordered_role.unwrap_or(self.role)
    }
}

/// Demand for one model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelDemand {
    /// Name of the model or adapter.
    pub model: ModelId,
    /// Number of engines that its work fully uses.
    pub engines: f64,
}

/// Demand of a service over a short period.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandSample {
    /// Arriving prompt tokens per second, less those found in caches.
    pub prefill_tokens_per_s: f64,
    /// Requested output tokens per second.
    pub output_tokens_per_s: f64,
    /// Prompt tokens waiting for prefill.
    pub prefill_backlog: f64,
    /// Expected output tokens of the waiting requests.
    pub output_backlog: f64,
    /// Share of the work that may be interrupted, and so may run on cheap capacity.
    pub interruptible: f64,
}

/// Input of a policy: one service, its upstreams and its demand.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// Name of the service.
    pub service: &'a ServiceId,
    /// Upstreams of the service in all data centres.
    pub engines: &'a [EngineView],
    /// Data centre to plan for.
    pub data_centre: &'a DataCentre,
    /// All data centres in which upstreams can be started.
    pub data_centres: &'a [DataCentre],
    /// Demand since the last call.
    pub demand: DemandSample,
    /// Demand by model.
    pub models: &'a [ModelDemand],
}

/// Action of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlacementAction {
    /// Action of an engine.
    Engine {
        /// Name of the engine.
        upstream: UpstreamId,
        /// Action to perform.
        action: EngineAction,
    },
    /// Action of the platform.
    Platform {
        /// Action to perform.
        action: OrderAction,
    },
}

/// Why an order is issued.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementReason {
    /// Another role serves the present mix of prompts and output better.
    #[display("mix_shift")]
    MixShift,
    /// A drained engine proceeds with its change.
    #[display("drained")]
    Drained,
    /// A planned change was given up because a step of it took too long.
    #[display("abandoned")]
    Abandoned,
    /// Too few engines have loaded a model.
    #[display("model_demand")]
    ModelDemand,
    /// An additional upstream is worth more than it costs.
    #[display("payback")]
    Payback,
    /// Too few steady engines, or too few to survive a reclaim of cheap ones.
    #[display("steady_floor")]
    SteadyFloor,
    /// The other upstreams can carry the load.
    #[display("surplus")]
    Surplus,
}

/// Order that the authority of the data centre should issue.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementOrder {
    /// Name of the service.
    pub service: ServiceId,
    /// Data centre of the upstream.
    pub data_centre: DataCentre,
    /// Action to perform.
    pub action: PlacementAction,
    /// Role that the engine is drained for; other authorities count the engine in this role from then on.
    pub planned_role: Option<EngineRole>,
    /// Why the order is issued.
    pub reason: PlacementReason,
    /// Predicted gain, in engine-seconds.
    pub gain: f64,
}

/// Value and prices of engines, by which the operators of a deployment control spending.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpendingWeights {
    /// Value of an engine-hour of work that would otherwise not be done in time.
    pub value_per_engine_hour: f64,
    /// Price of a steady engine per hour.
    pub steady_price: f64,
    /// Price of a cheap engine per hour.
    pub cheap_price: f64,
}

impl Default for SpendingWeights {
    fn default() -> Self {
        Self {
            value_per_engine_hour: 10.0,
            steady_price: 1.0,
            cheap_price: 0.3,
        }
    }
}

/// Parameters of placement.
#[derive(Clone, Debug)]
pub struct PlacementParams {
    /// Prefill speed of an engine, in tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Output of an engine with a full batch, in tokens per second.
    pub output_tokens_per_s: f64,
    /// Share of an engine's speed that plans may use.
    pub target_utilisation: f64,
    /// Time for which a role change makes an engine unavailable.
    pub role_change: Duration,
    /// Time that an engine usually takes to drain.
    pub drain: Duration,
    /// Benefit of dedicated prefill and decode engines.
    pub role_benefit: RoleBenefit,
    /// Time for which a mix of prompts and output is expected to last; minimum time between role changes of
    /// an engine.
    pub dwell: Duration,
    /// Factor by which the gain of a role change must exceed its loss.
    pub hysteresis: f64,
    /// Half-life of older samples in the demand average.
    pub demand_half_life: Duration,
    /// Time within which a backlog should be processed.
    pub backlog_horizon: Duration,
    /// Maximum time for one step of a change, such as the drain, before the change is given up.
    pub drain_timeout: Duration,
    /// Time that the weight store needs to deliver one model.
    pub model_load: Duration,
    /// Maximum number of models that an engine can load.
    pub models_per_engine: usize,
    /// Time from a start order until the upstream serves requests.
    pub cold_start: Duration,
    /// Minimum number of steady upstreams of the service.
    pub steady_floor: u32,
    /// Maximum number of upstreams of the service.
    pub max_upstreams: u32,
    /// Maximum number of cheap upstreams in one data centre.
    pub cheap_per_data_centre: u32,
    /// Utilisation above which an upstream may be started.
    pub scale_up_above: f64,
    /// Maximum utilisation of the remaining upstreams after a withdrawal.
    pub scale_down_below: f64,
    /// Time for which a surplus must last before an upstream is withdrawn.
    pub surplus_time: Duration,
    /// Time to wait before cheap capacity is requested again after it was unavailable.
    pub unavailable_backoff: Duration,
    /// True if upstreams may be started and withdrawn.
    pub scaling_enabled: bool,
    /// Value and prices of engines.
    pub weights: SpendingWeights,
}

impl Default for PlacementParams {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: 8_000.0,
            output_tokens_per_s: 500.0,
            target_utilisation: 0.8,
            role_change: Duration::from_secs(5),
            drain: Duration::from_secs(20),
            role_benefit: RoleBenefit {
                speedup: 1.15,
                disturbed_share: 0.0,
            },
            dwell: Duration::from_secs(120),
            hysteresis: 3.0,
            demand_half_life: Duration::from_secs(15),
            backlog_horizon: Duration::from_secs(30),
            drain_timeout: Duration::from_secs(60),
            model_load: Duration::from_secs(40),
            models_per_engine: 2,
            cold_start: Duration::from_secs(180),
            steady_floor: 3,
            max_upstreams: 24,
            cheap_per_data_centre: 2,
            scale_up_above: 0.85,
            scale_down_below: 0.6,
            surplus_time: Duration::from_secs(300),
            unavailable_backoff: Duration::from_secs(300),
            scaling_enabled: true,
            weights: SpendingWeights::default(),
        }
    }
}
