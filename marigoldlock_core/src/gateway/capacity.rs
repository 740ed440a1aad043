//! How many upstreams to order in each data centre.
//!
//! Load pattern: reading binds at the peaks, and cheap capacity costs a fraction of the rest but may be
//! reclaimed, all of a data centre at once. Cheap upstreams fill half of the room, and some ordinary ones stay, so that
//! the loss of all cheap ones of a data centre cuts it to a part and leaves the others whole. The counts follow
//! from the rule alone, so that a successor orders the same.

use std::time::Duration;

use marigoldlock_wire::prelude::*;

use crate::time::MonoTime;

use super::route::ScalingRule;

/// Price of cheap capacity against the rest under which it replaces ordinary upstreams.
const CHEAP_PRICE: f64 = 0.5;

/// Time for which cheap upstreams must have served before ordinary ones go.
const SETTLE: Duration = Duration::from_secs(2);

/// Time beyond their boot after which cheap upstreams that don't serve are taken as not to be had.
const OVERDUE: Duration = Duration::from_secs(2);

/// Part of the most upstreams that are ordinary while there are no cheap ones.
const ORDINARY_ALONE: u32 = 2;

/// Part of the most upstreams that stay ordinary beside cheap ones.
const ORDINARY_BESIDE: u32 = 4;

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
    /// Since when enough cheap upstreams serve.
    enough_since: Option<MonoTime>,
    /// Since when there are too few.
    short_since: Option<MonoTime>,
    /// True once enough cheap upstreams have served.
    had_enough: bool,
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
            let alone = rule.max.div_ceil(ORDINARY_ALONE).max(rule.min);
            let beside = (rule.max / ORDINARY_BESIDE).max(rule.min).max(1);
            let supply = site.follow(counts.cheap >= (alone - beside).max(1), rule.boot, now);
            // The bound is on both kinds together, so the room of the ordinary ones that went is taken afterwards.
            let is_exchanged = supply == CheapSupply::Settled && counts.ordinary <= beside;
            let cheap = rule.max.saturating_sub(if is_exchanged { beside } else { alone });
            let is_more = supply == CheapSupply::Starting && counts.cheap > cheap;
            if cheap > 0 && counts.cheap != cheap && !is_more {
                site.order(data_centre, true, cheap, now, &mut changes);
            }
            let wanted = match supply {
                CheapSupply::Settled => beside,
                CheapSupply::Lost if counts.ordinary < alone => alone,
                CheapSupply::Starting | CheapSupply::Lost => continue,
            };
            if counts.ordinary != wanted {
                site.order(data_centre, false, wanted, now, &mut changes);
            }
        }
        changes
    }
}

/// State of a data centre's cheap upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CheapSupply {
    /// They were ordered and may still start.
    Starting,
    /// Enough have served for a while.
    Settled,
    /// They were reclaimed, or are not to be had.
    Lost,
}

impl SiteState {
    fn follow(&mut self, is_enough: bool, boot: Duration, now: MonoTime) -> CheapSupply {
        if is_enough {
            self.short_since = None;
            let since = *self.enough_since.get_or_insert(now);
            if now.since(since) < SETTLE {
                return CheapSupply::Starting;
            }
            self.had_enough = true;
            return CheapSupply::Settled;
        }
        self.enough_since = None;
        let since = *self.short_since.get_or_insert(now);
        if self.had_enough || now.since(since) >= boot + OVERDUE {
            return CheapSupply::Lost;
        }
        CheapSupply::Starting
    }

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
