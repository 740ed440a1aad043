//! Ordering and withdrawing upstreams by payback.

use marigoldlock_wire::platform::{CapacityKind, OrderAction};

use crate::prelude::*;

use super::roles::EngineLoad;
use super::types::{EngineView, PlacementParams, PlacementReason};

/// Engines of a service by data centre and kind, without those that are leaving.
#[derive(Clone, Debug, Default)]
pub struct CapacityPlan {
    steady: FastMap<DataCentre, u32>,
    cheap: FastMap<DataCentre, u32>,
}

/// Order for an upstream, or an upstream that should be drained and withdrawn.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum CapacityStep {
    /// Start one in the data centre.
    Start(DataCentre, OrderAction, PlacementReason, f64),
    /// Drain and withdraw this one.
    Withdraw(UpstreamId, f64),
}

impl CapacityPlan {
    /// Counts the engines.
    pub fn count(engines: &[EngineView]) -> Self {
        let mut plan = Self::default();
        for engine in engines.iter().filter(|engine| !engine.leaving) {
            *plan
                .of(engine.capacity)
                .entry(engine.data_centre.clone())
                .or_default() += 1;
        }
        plan
    }

    fn of(&mut self, kind: CapacityKind) -> &mut FastMap<DataCentre, u32> {
        match kind {
            CapacityKind::Steady => &mut self.steady,
            CapacityKind::Cheap => &mut self.cheap,
        }
    }

    /// Steady engines.
    pub fn steady(&self) -> u32 {
        self.steady.values().sum()
    }

    /// Cheap engines.
    pub fn cheap(&self) -> u32 {
        self.cheap.values().sum()
    }

    /// All engines.
    pub fn total(&self) -> u32 {
        self.steady() + self.cheap()
    }

    /// Engines left if the data centre that hurts most lost all of its cheap capacity.
    pub fn after_reclaim(&self) -> u32 {
        self.total() - self.cheap.values().max().copied().unwrap_or(0)
    }

    fn in_place(&self, place: &DataCentre) -> u32 {
        self.steady.get(place).unwrap_or(&0) + self.cheap.get(place).unwrap_or(&0)
    }

    fn cheap_in(&self, place: &DataCentre) -> u32 {
        self.cheap.get(place).copied().unwrap_or(0)
    }

    fn with(&self, place: &DataCentre, kind: CapacityKind, change: i32) -> Self {
        let mut plan = self.clone();
        let count = plan.of(kind).entry(place.clone()).or_default();
        *count = count.saturating_add_signed(change);
        plan
    }

    /// True if the loss of one data centre's cheap capacity leaves the firm work its engines.
    fn survives(&self, firm: f64, params: &PlacementParams) -> bool {
        self.steady() >= params.steady_floor && f64::from(self.after_reclaim()) >= firm
    }
}

/// What a decision on capacity looks at.
pub(super) struct CapacityAsk<'a> {
    pub(super) engines: &'a [EngineView],
    pub(super) place: &'a DataCentre,
    pub(super) places: &'a [DataCentre],
    pub(super) load: EngineLoad,
    /// Engines that the work fills that can't be interrupted.
    pub(super) firm: f64,
    /// Upstreams ordered that have not appeared yet.
    pub(super) ordered: u32,
    /// True if a surplus has lasted long enough.
    pub(super) surplus: bool,
    /// True if cheap capacity may be asked for here.
    pub(super) cheap_available: bool,
    pub(super) params: &'a PlacementParams,
}

/// The next step, if one pays.
pub(super) fn next_step(ask: &CapacityAsk<'_>) -> Option<CapacityStep> {
    let plan = CapacityPlan::count(ask.engines);
    order(ask, &plan).or_else(|| withdraw(ask, &plan))
}

/// Utilisation of `engines` engines under the load.
pub(super) fn utilisation(load: EngineLoad, engines: u32) -> f64 {
    load.total() / f64::from(engines.max(1))
}

fn order(ask: &CapacityAsk<'_>, plan: &CapacityPlan) -> Option<CapacityStep> {
    let params = ask.params;
    let coming = plan.total() + ask.ordered;
    if coming >= params.most || !is_emptiest(ask, plan) {
        return None;
    }
    let start = |capacity, reason, gain| {
        Some(CapacityStep::Start(
            ask.place.clone(),
            OrderAction::Start { capacity },
            reason,
            gain,
        ))
    };
    let unsafe_now = ask.ordered == 0 && !plan.survives(ask.firm.min(f64::from(params.most)), params);
    if unsafe_now {
        return start(CapacityKind::Steady, PlacementReason::SteadyFloor, ask.firm);
    }
    let short = ask.load.total() - f64::from(coming) * params.order_above;
    if short <= 0.0 {
        return None;
    }
    let cheap_fits = ask.cheap_available && plan.cheap_in(ask.place) < params.cheap_per_data_centre;
    let cheap_safe = plan
        .with(ask.place, CapacityKind::Cheap, 1)
        .survives(ask.firm, params);
    let (kind, price) = if cheap_fits && cheap_safe {
        (CapacityKind::Cheap, params.weights.cheap_price)
    } else {
        (CapacityKind::Steady, params.weights.steady_price)
    };
    // The worth of an engine comes only after its cold start, which is paid for too.
    let useful_s = params.surplus_time.as_secs_f64();
    let paid_s = useful_s + params.cold_start.as_secs_f64();
    let gain = short.min(1.0) * params.weights.worth_per_engine_hour * useful_s - price * paid_s;
    if gain > 0.0 {
        start(kind, PlacementReason::Payback, gain / 3_600.0)
    } else {
        None
    }
}

/// True if no other data centre has fewer engines; ties go to the first by name.
fn is_emptiest(ask: &CapacityAsk<'_>, plan: &CapacityPlan) -> bool {
    let emptiest = ask
        .places
        .iter()
        .min_by_key(|place| (plan.in_place(place), *place));
    emptiest == Some(ask.place)
}

/// True if no other data centre has more engines, so that only one authority withdraws at a time.
fn is_fullest(ask: &CapacityAsk<'_>, plan: &CapacityPlan) -> bool {
    let fullest = ask
        .places
        .iter()
        .max_by_key(|place| (plan.in_place(place), *place));
    fullest == Some(ask.place)
}

fn withdraw(ask: &CapacityAsk<'_>, plan: &CapacityPlan) -> Option<CapacityStep> {
    let params = ask.params;
    if !ask.surplus || ask.ordered > 0 || plan.total() <= 1 || !is_fullest(ask, plan) {
        return None;
    }
    if utilisation(ask.load, plan.total() - 1) > params.withdraw_below {
        return None;
    }
    let here = ask.engines.iter().filter(|engine| {
        engine.data_centre == *ask.place
            && !engine.leaving
            && !engine.changing
            && engine.ordered_role.is_none()
    });
    let safe = here.filter(|engine| {
        plan.with(ask.place, engine.capacity, -1)
            .survives(ask.firm, params)
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
