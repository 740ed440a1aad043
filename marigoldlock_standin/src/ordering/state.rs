//! Received orders and the upstreams they started or withdrew.

use marigoldlock_wire::FastMap;
use marigoldlock_wire::ids::{DataCentre, ServiceId, UpstreamId};
use marigoldlock_wire::platform::{
    CapacityKind, ListEntry, ListState, OrderAction, OrderAnswer, UpstreamOrder,
};
use serde::{Deserialize, Serialize};

use crate::fence::{FenceChecker, FenceFinding};

/// Order that was received.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SeenUpstreamOrder {
    /// Time of arrival, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The order.
    pub order: UpstreamOrder,
    /// The upstream started or withdrawn, if any.
    pub upstream: Option<UpstreamId>,
    /// True if an earlier order had the same reference.
    pub repeated: bool,
    /// Check of its fencing number against earlier orders for its data centre.
    #[serde(flatten)]
    pub finding: FenceFinding,
}

/// Lifecycle phase of an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamPhase {
    /// Ordered, not running yet.
    Starting,
    /// Running.
    Live,
    /// About to be stopped.
    Leaving,
}

/// Upstream that was started by an order, or by the stand-in's `start_now`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OrderedUpstream {
    /// Service that the upstream belongs to.
    pub service: ServiceId,
    /// Data centre it runs in.
    pub data_centre: DataCentre,
    /// Steady capacity, or cheap capacity that can be reclaimed.
    pub capacity: CapacityKind,
    /// Lifecycle phase.
    pub phase: UpstreamPhase,
}

/// Action that an order requires.
#[derive(Clone, Debug)]
pub(super) enum OrderEffect {
    /// Start this upstream.
    Start(UpstreamId),
    /// List this upstream as leaving, then stop it.
    Leave(UpstreamId),
    /// Nothing.
    None,
}

/// State of the ordering stand-in.
#[derive(Debug, Default)]
pub(super) struct OrderingState {
    /// Every order, in the order of arrival.
    pub(super) seen: Vec<SeenUpstreamOrder>,
    /// Upstreams that are starting, live or leaving.
    pub(super) upstreams: FastMap<UpstreamId, OrderedUpstream>,
    listed: FastMap<UpstreamId, ListEntry>,
    remaining: FastMap<(DataCentre, CapacityKind), u32>,
    fence: FenceChecker<DataCentre>,
    started: u64,
    lost_starts: u32,
}

impl OrderingState {
    /// Records and applies an order. A repeated order is applied again, and an old fencing number is recorded
    /// but doesn't reject the order.
    pub(super) fn record_order(&mut self, order: UpstreamOrder, time_ms: u64) -> (OrderAnswer, OrderEffect) {
        let scope = order.data_centre.clone();
        let finding = self.fence.check(scope, order.epoch, &order.orderer);
        let repeated = self
            .seen
            .iter()
            .any(|seen| seen.order.reference == order.reference);
        let effect = match &order.action {
            OrderAction::Start { capacity } => {
                self.begin_start(&order.service, &order.data_centre, *capacity)
            }
            OrderAction::Withdraw { upstream } => self.begin_withdrawal(upstream),
        };
        let upstream = match &effect {
            OrderEffect::Start(upstream) | OrderEffect::Leave(upstream) => Some(upstream.clone()),
            OrderEffect::None => None,
        };
        let answer = OrderAnswer {
            reference: order.reference.clone(),
            upstream: upstream.clone(),
        };
        self.seen.push(SeenUpstreamOrder {
            time_ms,
            order,
            upstream,
            repeated,
            finding,
        });
        (answer, effect)
    }

    /// Answers to all orders with the reference.
    pub(super) fn find(&self, reference: &str) -> Vec<OrderAnswer> {
        self.seen
            .iter()
            .filter(|seen| seen.order.reference == reference)
            .map(|seen| OrderAnswer {
                reference: reference.to_owned(),
                upstream: seen.upstream.clone(),
            })
            .collect()
    }

    /// Limits how many more upstreams can be started; `None` removes the limit.
    pub(super) fn set_remaining(
        &mut self,
        data_centre: DataCentre,
        capacity: CapacityKind,
        remaining: Option<u32>,
    ) {
        let key = (data_centre, capacity);
        match remaining {
            Some(count) => self.remaining.insert(key, count),
            None => self.remaining.remove(&key),
        };
    }

    /// Makes the next `count` starts be accepted without ever running.
    pub(super) fn lose_starts(&mut self, count: u32) {
        self.lost_starts = count;
    }

    /// Consumes one of the starts to be lost; returns false if none is left.
    pub(super) fn consume_lost_start(&mut self) -> bool {
        let lost = self.lost_starts > 0;
        self.lost_starts -= u32::from(lost);
        lost
    }

    /// Registers a new upstream, if there is capacity for it.
    pub(super) fn begin_start(
        &mut self,
        service: &ServiceId,
        data_centre: &DataCentre,
        capacity: CapacityKind,
    ) -> OrderEffect {
        if let Some(remaining) = self.remaining.get_mut(&(data_centre.clone(), capacity)) {
            if *remaining == 0 {
                return OrderEffect::None;
            }
            *remaining -= 1;
        }
        self.started += 1;
        let upstream = UpstreamId::from(format!("{service}-{data_centre}-{}", self.started));
        let ordered = OrderedUpstream {
            service: service.clone(),
            data_centre: data_centre.clone(),
            capacity,
            phase: UpstreamPhase::Starting,
        };
        self.upstreams.insert(upstream.clone(), ordered);
        OrderEffect::Start(upstream)
    }

    /// Marks an upstream as leaving, if it exists and isn't leaving yet.
    pub(super) fn begin_withdrawal(&mut self, upstream: &UpstreamId) -> OrderEffect {
        match self.upstreams.get_mut(upstream) {
            Some(ordered) if ordered.phase != UpstreamPhase::Leaving => {
                ordered.phase = UpstreamPhase::Leaving;
                OrderEffect::Leave(upstream.clone())
            }
            _ => OrderEffect::None,
        }
    }

    /// Marks a starting upstream as live; returns false if it was withdrawn meanwhile.
    pub(super) fn finish_start(&mut self, upstream: &UpstreamId) -> bool {
        match self.upstreams.get_mut(upstream) {
            Some(ordered) if ordered.phase == UpstreamPhase::Starting => {
                ordered.phase = UpstreamPhase::Live;
                true
            }
            _ => false,
        }
    }

    /// Stores an upstream's list entry and returns the state to list; `None` if it was removed already.
    pub(super) fn set_listed(&mut self, upstream: &UpstreamId, entry: ListEntry) -> Option<ListState> {
        let phase = self.upstreams.get(upstream)?.phase;
        self.listed.insert(upstream.clone(), entry);
        match phase {
            UpstreamPhase::Starting | UpstreamPhase::Live => Some(ListState::Live),
            UpstreamPhase::Leaving => Some(ListState::Leaving),
        }
    }

    /// List entry of an upstream, if it has been listed.
    pub(super) fn listed(&self, upstream: &UpstreamId) -> Option<ListEntry> {
        self.listed.get(upstream).cloned()
    }

    /// Removes a stopped upstream.
    pub(super) fn remove(&mut self, upstream: &UpstreamId) {
        self.upstreams.remove(upstream);
        self.listed.remove(upstream);
    }

    /// Cheap upstreams that match a reclaim request, sorted by name.
    pub(super) fn reclaimable(
        &self,
        data_centre: Option<&DataCentre>,
        name: Option<&UpstreamId>,
    ) -> Vec<UpstreamId> {
        let mut reclaimed: Vec<UpstreamId> = self
            .upstreams
            .iter()
            .filter(|(_, ordered)| ordered.capacity == CapacityKind::Cheap)
            .filter(|(_, ordered)| data_centre.is_none_or(|wanted| *wanted == ordered.data_centre))
            .filter(|(upstream, _)| name.is_none_or(|wanted| wanted == *upstream))
            .map(|(upstream, _)| upstream.clone())
            .collect();
        reclaimed.sort_unstable();
        reclaimed
    }
}
