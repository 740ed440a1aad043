//! Number of spot and on-demand upstreams to order in each data centre.
//!
//! Prefill is the bottleneck at peak load. Spot capacity costs a fraction of on-demand capacity, but the
//! platform may reclaim all of it in a data centre at once. On-demand upstreams make up about half of the
//! maximum, or a quarter once spot upstreams have served for a while; spot upstreams fill the rest. Some
//! on-demand upstreams always stay, so that losing all spot upstreams of a data centre reduces its capacity
//! only partly and doesn't affect the others. The counts depend only on the scaling rule, so that a successor
//! orders the same.

use std::time::Duration;

use marigoldlock_wire::prelude::*;

use crate::time::MonoTime;

use super::route::ScalingRule;

/// Price of spot capacity, relative to on-demand capacity, below which it replaces on-demand upstreams.
pub(super) const MAX_SPOT_PRICE_RATIO: f64 = 0.5;

/// Time for which spot upstreams must have served before on-demand upstreams are removed.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Time beyond the boot time after which spot upstreams that don't serve are considered unavailable.
pub(super) const BOOT_MARGIN: Duration = Duration::from_secs(2);

/// Divisor of the maximum number of upstreams that gives the number of on-demand upstreams while there are too
/// few spot upstreams.
const ON_DEMAND_DIVISOR: u32 = 2;

/// Divisor of the maximum number of upstreams that gives the number of on-demand upstreams beside enough spot
/// upstreams.
const ON_DEMAND_DIVISOR_WITH_SPOT: u32 = 4;

/// Time before an order that has shown no effect is repeated; a refused order may succeed later.
const REORDER_INTERVAL: Duration = Duration::from_secs(5);

/// Upstreams of a service in one data centre that accept requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServingCounts {
    /// On-demand upstreams.
    pub on_demand: u32,
    /// Spot upstreams, which may be reclaimed.
    pub spot: u32,
}

/// A change of the number of upstreams to order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityChange {
    /// The data centre.
    pub data_centre: DataCentre,
    /// True for spot upstreams.
    pub is_spot: bool,
    /// Target number.
    pub count: u32,
}

#[derive(Clone, Copy, Debug)]
struct SentOrder {
    count: u32,
    at: MonoTime,
}

#[derive(Clone, Debug, Default)]
pub(super) struct DataCentreState {
    /// Since when enough spot upstreams have been serving.
    sufficient_since: Option<MonoTime>,
    /// Since when there have been too few.
    insufficient_since: Option<MonoTime>,
    /// True once enough spot upstreams have served for [`SETTLE_TIME`].
    was_sufficient: bool,
    /// Latest order of each kind; the key is true for spot upstreams.
    sent: FastMap<bool, SentOrder>,
}

/// Plans the capacity of one service.
#[derive(Clone, Debug, Default)]
pub struct CapacityPlanner {
    data_centres: FastMap<DataCentre, DataCentreState>,
}

impl CapacityPlanner {
    /// Returns the orders to make, given the upstreams that are serving.
    pub fn plan(
        &mut self,
        rule: &ScalingRule,
        serving: &FastMap<DataCentre, ServingCounts>,
        now: MonoTime,
    ) -> Vec<CapacityChange> {
        if rule.spot_price.is_none_or(|price| price >= MAX_SPOT_PRICE_RATIO) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for (data_centre, counts) in serving {
            let state = self.data_centres.entry(data_centre.clone()).or_default();
            let without_spot = rule.max.div_ceil(ON_DEMAND_DIVISOR).max(rule.min);
            let with_spot = (rule.max / ON_DEMAND_DIVISOR_WITH_SPOT).max(rule.min).max(1);
            let supply =
                state.update_spot_supply(counts.spot >= (without_spot - with_spot).max(1), rule.boot, now);
            // The maximum covers both kinds together, so the slots of removed on-demand upstreams are filled
            // only afterwards.
            let is_replaced = supply == SpotSupply::Stable && counts.on_demand <= with_spot;
            let spot = rule
                .max
                .saturating_sub(if is_replaced { with_spot } else { without_spot });
            let has_surplus = supply == SpotSupply::Starting && counts.spot > spot;
            if spot > 0 && counts.spot != spot && !has_surplus {
                state.push_change(data_centre, true, spot, now, &mut changes);
            }
            let wanted = match supply {
                SpotSupply::Stable => with_spot,
                SpotSupply::Lost if counts.on_demand < without_spot => without_spot,
                SpotSupply::Starting | SpotSupply::Lost => continue,
            };
            if counts.on_demand != wanted {
                state.push_change(data_centre, false, wanted, now, &mut changes);
            }
        }
        changes
    }
}

/// State of a data centre's spot upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SpotSupply {
    /// They were ordered and may still be starting.
    Starting,
    /// Enough have served for [`SETTLE_TIME`].
    Stable,
    /// They were reclaimed or are not available.
    Lost,
}

impl DataCentreState {
    /// True if there were enough spot upstreams at the latest update.
    pub(super) fn has_enough_spot(&self) -> bool {
        self.sufficient_since.is_some()
    }

    /// Counts spot upstreams as starting again, since more were ordered.
    pub(super) fn restart_spot_supply(&mut self) {
        self.sufficient_since = None;
        self.insufficient_since = None;
        self.was_sufficient = false;
    }

    pub(super) fn update_spot_supply(
        &mut self,
        is_sufficient: bool,
        boot: Duration,
        now: MonoTime,
    ) -> SpotSupply {
        if is_sufficient {
            self.insufficient_since = None;
            let since = *self.sufficient_since.get_or_insert(now);
            if now.since(since) < SETTLE_TIME {
                return SpotSupply::Starting;
            }
            self.was_sufficient = true;
            return SpotSupply::Stable;
        }
        self.sufficient_since = None;
        let since = *self.insufficient_since.get_or_insert(now);
        if self.was_sufficient || now.since(since) >= boot + BOOT_MARGIN {
            return SpotSupply::Lost;
        }
        SpotSupply::Starting
    }

    pub(super) fn push_change(
        &mut self,
        data_centre: &DataCentre,
        is_spot: bool,
        count: u32,
        now: MonoTime,
        changes: &mut Vec<CapacityChange>,
    ) {
        let is_duplicate = self
            .sent
            .get(&is_spot)
            .is_some_and(|sent| sent.count == count && now.since(sent.at) < REORDER_INTERVAL);
        if is_duplicate {
            return;
        }
        self.sent.insert(is_spot, SentOrder { count, at: now });
        changes.push(CapacityChange {
            data_centre: data_centre.clone(),
            is_spot,
            count,
        });
    }
}
