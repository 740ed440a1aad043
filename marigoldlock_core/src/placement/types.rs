//! What goes into a placement decision and what comes out.

use std::time::Duration;

use derive_more::Display;
use marigoldlock_wire::engine::{EngineAction, EngineRole};
use marigoldlock_wire::platform::{CapacityKind, OrderAction};
use serde::Serialize;

use crate::prelude::*;

use super::roles::RoleWorth;

/// One upstream of the service, as its load report, the list and the outstanding orders show it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// The upstream.
    pub id: UpstreamId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// How it is paid for.
    pub capacity: CapacityKind,
    /// Role now.
    pub role: EngineRole,
    /// Role of an outstanding order.
    pub ordered_role: Option<EngineRole>,
    /// True while a change takes it away, or while it starts.
    pub changing: bool,
    /// True once it is about to be taken away.
    pub leaving: bool,
    /// Requests in flight, of all instances.
    pub in_flight: u32,
    /// Models loaded.
    pub models: Vec<ModelId>,
}

impl EngineView {
    /// Role after the outstanding order.
    pub fn coming_role(&self) -> EngineRole {
        self.ordered_role.unwrap_or(self.role)
    }
}

/// Demand for one model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelDemand {
    /// The model or adapter.
    pub model: ModelId,
    /// Engines that its work fills.
    pub engines: f64,
}

/// Demand of a service over a short window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandSample {
    /// Prompt tokens that arrived a second, less those found in caches.
    pub prefill_tokens_per_s: f64,
    /// Output tokens asked for a second.
    pub output_tokens_per_s: f64,
    /// Prompt tokens waiting.
    pub prefill_backlog: f64,
    /// Output tokens of waiting requests.
    pub output_backlog: f64,
    /// Share of the work that may be interrupted.
    pub interruptible: f64,
}

/// What a policy looks at.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// Its upstreams, in all data centres.
    pub engines: &'a [EngineView],
    /// Data centre whose authority asks.
    pub data_centre: &'a DataCentre,
    /// Every data centre in which upstreams can be ordered.
    pub data_centres: &'a [DataCentre],
    /// Demand since the last call.
    pub demand: DemandSample,
    /// Demand by model.
    pub models: &'a [ModelDemand],
}

/// What an order asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlacementAction {
    /// Order to an engine.
    Engine {
        /// The engine.
        upstream: UpstreamId,
        /// What it should do.
        action: EngineAction,
    },
    /// Order to the platform.
    Platform {
        /// What it should do.
        action: OrderAction,
    },
}

/// Why an order is given.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementReason {
    /// Another role serves the present mix better.
    #[display("mix_shift")]
    MixShift,
    /// A drained engine takes its next step.
    #[display("drained")]
    Drained,
    /// The planned change no longer pays.
    #[display("abandoned")]
    Abandoned,
    /// A model lacks engines.
    #[display("model_demand")]
    ModelDemand,
    /// More capacity pays back.
    #[display("payback")]
    Payback,
    /// Steady capacity fell below its floor.
    #[display("steady_floor")]
    SteadyFloor,
    /// The rest carries the load.
    #[display("surplus")]
    Surplus,
}

/// Order that the authority of the data centre should give.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementOrder {
    /// The service.
    pub service: ServiceId,
    /// Data centre of the upstream.
    pub data_centre: DataCentre,
    /// What to order.
    pub action: PlacementAction,
    /// Role that the engine is drained for; other authorities reckon with it from then on.
    pub planned_role: Option<EngineRole>,
    /// Why.
    pub reason: PlacementReason,
    /// Predicted gain, in engine-seconds.
    pub gain: f64,
}

/// What a deployment's operators weigh.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpendingWeights {
    /// Worth of an hour of one engine's work that would otherwise not be done in time.
    pub worth_per_engine_hour: f64,
    /// Price of an hour of a steady engine.
    pub steady_price: f64,
    /// Price of an hour of a cheap engine.
    pub cheap_price: f64,
}

impl Default for SpendingWeights {
    fn default() -> Self {
        Self {
            worth_per_engine_hour: 10.0,
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
    /// Share of an engine's speed that may be planned with.
    pub planned_utilisation: f64,
    /// Time that a role change takes an engine away.
    pub role_change: Duration,
    /// Time that an engine usually takes to drain.
    pub drain: Duration,
    /// What a role of its own is worth.
    pub role_worth: RoleWorth,
    /// Time for which a mix is expected to last.
    pub dwell: Duration,
    /// How many times the loss the gain must be.
    pub hysteresis: f64,
    /// Time in which half of the older demand is forgotten.
    pub demand_half_life: Duration,
    /// Time in which a backlog should be worked off.
    pub backlog_horizon: Duration,
    /// Longest time to wait for an engine to drain before the change is given up.
    pub drain_limit: Duration,
    /// Time that the weight store needs for one model.
    pub model_load: Duration,
    /// Models that one engine can hold.
    pub models_per_engine: usize,
    /// Time from an order to a working upstream.
    pub cold_start: Duration,
    /// Fewest steady upstreams of the service.
    pub steady_floor: u32,
    /// Most upstreams of the service.
    pub most: u32,
    /// Most cheap upstreams in one data centre.
    pub cheap_per_data_centre: u32,
    /// Utilisation above which more capacity is considered.
    pub order_above: f64,
    /// Utilisation that the rest may have after a withdrawal.
    pub withdraw_below: f64,
    /// Time for which a surplus must last before a withdrawal.
    pub surplus_time: Duration,
    /// Time for which cheap capacity that was unavailable is not asked for again.
    pub unavailable_time: Duration,
    /// True if upstreams are ordered and withdrawn.
    pub scales: bool,
    /// What the operators weigh.
    pub weights: SpendingWeights,
}

impl Default for PlacementParams {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: 8_000.0,
            output_tokens_per_s: 500.0,
            planned_utilisation: 0.8,
            role_change: Duration::from_secs(5),
            drain: Duration::from_secs(20),
            role_worth: RoleWorth {
                gain: 1.15,
                disturbed: 0.0,
            },
            dwell: Duration::from_secs(120),
            hysteresis: 3.0,
            demand_half_life: Duration::from_secs(15),
            backlog_horizon: Duration::from_secs(30),
            drain_limit: Duration::from_secs(60),
            model_load: Duration::from_secs(40),
            models_per_engine: 2,
            cold_start: Duration::from_secs(180),
            steady_floor: 3,
            most: 24,
            cheap_per_data_centre: 2,
            order_above: 0.85,
            withdraw_below: 0.6,
            surplus_time: Duration::from_secs(300),
            unavailable_time: Duration::from_secs(300),
            scales: true,
            weights: SpendingWeights::default(),
        }
    }
}
