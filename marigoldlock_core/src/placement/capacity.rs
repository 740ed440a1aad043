//! Starting and withdrawing upstreams by payback.

use marigoldlock_wire::platform::{CapacityKind, OrderAction};

use crate::prelude::*;

use super::roles::EngineLoad;
use super::types::{EngineView, PlacementParams, PlacementReason};

/// Number of engines of a service by data centre and capacity kind, without those that are leaving.
#[derive(Clone, Debug, Default)]
pub struct CapacityPlan {
    steady: FastMap<DataCentre, u32>,
    cheap: FastMap<DataCentre, u32>,
}

/// Next step of scaling, with its predicted gain.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum CapacityStep {
    /// Start an upstream in the data centre.
    Start(DataCentre, OrderAction, PlacementReason, f64),
    /// Drain and withdraw the upstream.
    Withdraw(UpstreamId, f64),
}

impl CapacityPlan {
    /// Counts the engines.
    pub fn count(engines: &[EngineView]) -> Self {
        let mut plan = Self::default();
        for engine in engines.iter().filter(|engine| !engine.leaving) {
            *plan
                .counts_mut(engine.capacity)
                .entry(engine.data_centre.clone())
                .or_default() += 1;
        }
        plan
    }

    fn counts_mut(&mut self, kind: CapacityKind) -> &mut FastMap<DataCentre, u32> {
        match kind {
            CapacityKind::Steady => &mut self.steady,
            CapacityKind::Cheap => &mut self.cheap,
        }
    }

    /// Number of steady engines.
    pub fn steady(&self) -> u32 {
        self.steady.values().sum()
    }

    /// Number of cheap engines.
    pub fn cheap(&self) -> u32 {
        self.cheap.values().sum()
    }

    /// Number of all engines.
    pub fn total(&self) -> u32 {
        self.steady() + self.cheap()
    }

    /// Engines left if the data centre with the most cheap engines lost all of them.
    pub fn after_reclaim(&self) -> u32 {
        self.total() - self.cheap.values().max().copied().unwrap_or(0)
    }

    fn count_in(&self, data_centre: &DataCentre) -> u32 {
        self.steady.get(data_centre).unwrap_or(&0) + self.cheap.get(data_centre).unwrap_or(&0)
    }

    fn cheap_in(&self, data_centre: &DataCentre) -> u32 {
        self.cheap.get(data_centre).copied().unwrap_or(0)
    }

    fn with_change(&self, data_centre: &DataCentre, kind: CapacityKind, change: i32) -> Self {
        let mut plan = self.clone();
        let count = plan.counts_mut(kind).entry(data_centre.clone()).or_default();
        *count = count.saturating_add_signed(change);
        plan
    }

    /// True if there are at least the minimum number of steady engines, and the loss of any one data centre's
    /// cheap capacity leaves enough engines for the uninterruptible work.
    fn survives_reclaim(&self, uninterruptible: f64, params: &PlacementParams) -> bool {
        self.steady() >= params.steady_floor && f64::from(self.after_reclaim()) >= uninterruptible
    }
}

/// Input of a scaling decision.
pub(super) struct CapacityInput<'a> {
    pub(super) engines: &'a [EngineView],
    pub(super) data_centre: &'a DataCentre,
    pub(super) data_centres: &'a [DataCentre],
    pub(super) load: EngineLoad,
    /// Number of engines that the uninterruptible work fully uses.
    pub(super) uninterruptible: f64,
    /// Ordered upstreams that have not appeared yet.
    pub(super) pending_starts: u32,
    /// True if a surplus has lasted long enough.
    pub(super) surplus: bool,
    /// True if cheap capacity may be requested in this data centre.
    pub(super) cheap_available: bool,
    pub(super) params: &'a PlacementParams,
}

/// Returns the next step, if one is needed or pays off.
pub(super) fn next_step(input: &CapacityInput<'_>) -> Option<CapacityStep> {
    let plan = CapacityPlan::count(input.engines);
    scale_up(input, &plan).or_else(|| scale_down(input, &plan))
}

/// Utilisation of `engines` engines under the load.
pub(super) fn utilisation(load: EngineLoad, engines: u32) -> f64 {
    load.total() / f64::from(engines.max(1))
}

fn scale_up(input: &CapacityInput<'_>, plan: &CapacityPlan) -> Option<CapacityStep> {
    let params = input.params;
    let expected = plan.total() + input.pending_starts;
    if expected >= params.max_upstreams || !has_fewest_engines(input, plan) {
        return None;
    }
    let start = |capacity, reason, gain| {
        Some(CapacityStep::Start(
            input.data_centre.clone(),
            OrderAction::Start { capacity },
            reason,
            gain,
        ))
    };
    let below_minimum = input.pending_starts == 0
        && !plan.survives_reclaim(input.uninterruptible.min(f64::from(params.max_upstreams)), params);
    if below_minimum {
        return start(
            CapacityKind::Steady,
            PlacementReason::SteadyFloor,
            input.uninterruptible,
        );
    }
    let shortage = input.load.total() - f64::from(expected) * params.scale_up_above;
    if shortage <= 0.0 {
        return None;
    }
    let cheap_fits = input.cheap_available && plan.cheap_in(input.data_centre) < params.cheap_per_data_centre;
    let cheap_safe = plan
        .with_change(input.data_centre, CapacityKind::Cheap, 1)
        .survives_reclaim(input.uninterruptible, params);
    let (kind, price) = if cheap_fits && cheap_safe {
        (CapacityKind::Cheap, params.weights.cheap_price)
    } else {
        (CapacityKind::Steady, params.weights.steady_price)
    };
    // An engine is useful only after its cold start, which has to be paid for as well.
    let useful_s = params.surplus_time.as_secs_f64();
    let paid_s = useful_s + params.cold_start.as_secs_f64();
    let gain = shortage.min(1.0) * params.weights.value_per_engine_hour * useful_s - price * paid_s;
    if gain > 0.0 {
        start(kind, PlacementReason::Payback, gain / 3_600.0)
    } else {
        None
    }
}

/// True if no other data centre has fewer engines; ties go to the first by name.
fn has_fewest_engines(input: &CapacityInput<'_>, plan: &CapacityPlan) -> bool {
    let emptiest = input
        .data_centres
        .iter()
        .min_by_key(|data_centre| (plan.count_in(data_centre), *data_centre));
    emptiest == Some(input.data_centre)
}

/// True if no other data centre has more engines; ties go to the last by name, so that only one authority
/// withdraws at a time.
fn has_most_engines(input: &CapacityInput<'_>, plan: &CapacityPlan) -> bool {
    let fullest = input
        .data_centres
        .iter()
        .max_by_key(|data_centre| (plan.count_in(data_centre), *data_centre));
    fullest == Some(input.data_centre)
}

fn scale_down(input: &CapacityInput<'_>, plan: &CapacityPlan) -> Option<CapacityStep> {
    let params = input.params;
    if !input.surplus || input.pending_starts > 0 || plan.total() <= 1 || !has_most_engines(input, plan) {
        return None;
    }
    if utilisation(input.load, plan.total() - 1) > params.scale_down_below {
        return None;
    }
    let local = input.engines.iter().filter(|engine| {
        engine.data_centre == *input.data_centre
            && !engine.leaving
            && !engine.changing
            && engine.ordered_role.is_none()
    });
    let safe = local.filter(|engine| {
        plan.with_change(input.data_centre, engine.capacity, -1)
            .survives_reclaim(input.uninterruptible, params)
    });
    let price = |engine: &&EngineView| match engine.capacity {
        CapacityKind::Steady => params.weights.steady_price,
        CapacityKind::Cheap => params.weights.cheap_price,
    };
    let chosen = safe.max_by(|left, right| {
        let by_price = price(left).total_cmp(&price(right));
        by_price.then_with(|| (right.in_flight, &right.id).cmp(&(left.in_flight, &left.id)))
    })?;
    Some(CapacityStep::Withdraw(chosen.id.clone(), price(&chosen)))
}
