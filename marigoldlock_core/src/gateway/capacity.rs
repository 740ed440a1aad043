//! How many upstreams to order in each data centre.
//!
//! Load pattern: reading binds at the peaks, and cheap capacity costs a fraction of the rest but may be
//! reclaimed, all of a data centre at once. Cheap upstreams fill the room that the rule leaves; about half of the
//! ordinary ones stay, so that the loss of all cheap ones of a data centre cuts it to a part and leaves the
//! others whole.

use std::time::Duration;

use marigoldlock_wire::prelude::*;

use crate::time::MonoTime;

use super::route::ScalingRule;

/// Price of cheap capacity against the rest under which it replaces ordinary upstreams.
const CHEAP_PRICE: f64 = 0.5;

/// Time in which the ordinary upstreams at the start are counted: their entries come one by one.
const LEARN: Duration = Duration::from_millis(1_500);

/// Time for which cheap upstreams must have served before ordinary ones go.
const SETTLE: Duration = Duration::from_secs(2);

/// Time between two orders for the same upstreams that show no effect; a refused order may succeed later.
const REPEAT: Duration = Duration::from_secs(5);

/// Upstreams of a service in one data centre that take work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServingCounts {
    /// Ordinary ones.
    pub ordinary: u32,
    /// Cheap ones, which may be reclaimed.
    pub cheap: u32,
}

/// Upstreams to order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityChange {
    /// The data centre.
    pub data_centre: DataCentre,
    /// True for cheap ones.
    pub is_cheap: bool,
    /// How many there should be.
    pub count: u32,
}

#[derive(Clone, Copy, Debug)]
struct SentOrder {
    count: u32,
    at: MonoTime,
}

#[derive(Clone, Debug, Default)]
struct SiteState {
    /// Ordinary upstreams at the start.
    base: u32,
    known_since: Option<MonoTime>,
    enough_since: Option<MonoTime>,
    sent: FastMap<bool, SentOrder>,
}

/// Plans the capacity of one service.
#[derive(Clone, Debug, Default)]
pub struct CapacityPlanner {
    sites: FastMap<DataCentre, SiteState>,
}

impl CapacityPlanner {
    /// Says what to order, by the upstreams that serve now.
    pub fn plan(
        &mut self,
        rule: &ScalingRule,
        serving: &FastMap<DataCentre, ServingCounts>,
        now: MonoTime,
    ) -> Vec<CapacityChange> {
        if rule.spot_price.is_none_or(|price| price >= CHEAP_PRICE) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for (data_centre, counts) in serving {
            let site = self.sites.entry(data_centre.clone()).or_default();
            let since = *site.known_since.get_or_insert(now);
            if now.since(since) < LEARN {
                site.base = site.base.max(counts.ordinary).min(rule.max);
                continue;
            }
            let kept = rule.min.max(site.base.div_ceil(2));
            let cheap = rule.max.saturating_sub(site.base);
            let is_enough = counts.cheap >= site.base.saturating_sub(kept).max(1);
            let since = is_enough.then(|| *site.enough_since.get_or_insert(now));
            site.enough_since = since;
            let is_settled = since.is_some_and(|since| now.since(since) >= SETTLE);
            let ordinary = if is_settled { kept } else { site.base };
            if cheap > 0 && counts.cheap != cheap {
                site.order(data_centre, true, cheap, now, &mut changes);
            }
            if counts.ordinary != ordinary {
                site.order(data_centre, false, ordinary, now, &mut changes);
            }
        }
        changes
    }
}

impl SiteState {
    fn order(
        &mut self,
        data_centre: &DataCentre,
        is_cheap: bool,
        count: u32,
        now: MonoTime,
        changes: &mut Vec<CapacityChange>,
    ) {
        let is_repeat = self
            .sent
            .get(&is_cheap)
            .is_some_and(|sent| sent.count == count && now.since(sent.at) < REPEAT);
        if is_repeat {
            return;
        }
        self.sent.insert(is_cheap, SentOrder { count, at: now });
        changes.push(CapacityChange {
            data_centre: data_centre.clone(),
            is_cheap,
            count,
        });
    }
}
