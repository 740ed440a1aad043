//! Placement planners of a run and their inputs.

use std::time::Duration;

use marigoldlock_core::placement::{
    AdaptivePlacement, DemandSample, EngineView, FixedPlacement, PlacementParams, PlacementPolicy,
    RoleBenefit,
};
use marigoldlock_core::prelude::*;

use super::experiment::{PlacementKind, ServiceSpec, TargetSpec};
use super::fleet::{MODEL, UpstreamFleet, UpstreamPhase};

/// Placement planner of one service, with the demand since its last plan.
#[derive(Debug)]
pub(super) struct ServicePlanner {
    pub(super) service: usize,
    pub(super) policy: Box<dyn PlacementPolicy>,
    pub(super) arrived: ArrivedWork,
}

/// Tokens of the work that arrived since the last plan.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ArrivedWork {
    pub(super) prompt_tokens: f64,
    pub(super) output_tokens: f64,
    pub(super) interruptible: f64,
}

impl ArrivedWork {
    /// Converts work that arrived within `seconds`, and the queued backlog, to a demand sample.
    pub(super) fn sample(&self, seconds: f64, backlog: &ArrivedWork) -> DemandSample {
        let all = self.prompt_tokens + self.output_tokens;
        DemandSample {
            prefill_tokens_per_s: self.prompt_tokens / seconds,
            output_tokens_per_s: self.output_tokens / seconds,
            prefill_backlog: backlog.prompt_tokens,
            output_backlog: backlog.output_tokens,
            interruptible: if all > 0.0 { self.interruptible / all } else { 0.0 },
        }
    }
}

impl ServicePlanner {
    pub(super) fn new(service: usize, kind: PlacementKind, spec: &ServiceSpec, targets: &TargetSpec) -> Self {
        let params = params(spec, targets, kind == PlacementKind::Adaptive);
        let policy: Box<dyn PlacementPolicy> = match kind {
            PlacementKind::Fixed => Box::new(FixedPlacement),
            PlacementKind::Adaptive | PlacementKind::RolesOnly => Box::new(AdaptivePlacement::new(params)),
        };
        Self {
            service,
            policy,
            arrived: ArrivedWork::default(),
        }
    }
}

fn params(spec: &ServiceSpec, targets: &TargetSpec, scaling_enabled: bool) -> PlacementParams {
    let slots = f64::from(spec.slots);
    let step_s = (spec.step_ms + spec.step_per_stream_ms * slots) / 1e3;
    let disturbed_ms = (step_s + spec.chunk_tokens as f64 / spec.prefill_tokens_per_s) * 1e3;
    let disturbed = if disturbed_ms > targets.standard_between_ms {
        0.1
    } else {
        0.0
    };
    let mut params = PlacementParams {
        role_benefit: RoleBenefit {
            speedup: spec.role_gain,
            disturbed_share: disturbed,
        },
        prefill_tokens_per_s: spec.prefill_tokens_per_s,
        output_tokens_per_s: slots / step_s,
        role_change: Duration::from_secs_f64(spec.role_change_s),
        cold_start: Duration::from_secs_f64(spec.cold_start_s),
        steady_floor: spec.steady_floor,
        max_upstreams: spec.most,
        cheap_per_data_centre: spec.cheap_per_data_centre,
        scaling_enabled,
        ..PlacementParams::default()
    };
    params.weights.steady_price = spec.steady_price;
    params.weights.cheap_price = spec.cheap_price;
    params
}

/// The service's reachable upstreams as inputs of a plan.
pub(super) fn engine_views(fleet: &UpstreamFleet, service: usize) -> Vec<EngineView> {
    let shown = fleet
        .upstreams
        .iter()
        .filter(|upstream| upstream.service == service && upstream.is_up());
    let views = shown.map(|upstream| EngineView {
        id: upstream.id.clone(),
        data_centre: upstream.data_centre.clone(),
        capacity: upstream.capacity,
        role: upstream.engine.role,
        ordered_role: upstream.ordered_role,
        changing: upstream.engine.changing,
        leaving: upstream.phase == UpstreamPhase::Leaving,
        in_flight: upstream.engine.load() as u32,
        models: vec![ModelId::from(MODEL)],
    });
    views.collect()
}
