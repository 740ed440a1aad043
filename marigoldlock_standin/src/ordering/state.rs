//! Orders that came, and the upstreams they led to.

use marigoldlock_wire::FastMap;
use marigoldlock_wire::ids::{DataCentre, ServiceId, UpstreamId};
use marigoldlock_wire::platform::{
    CapacityKind, ListEntry, ListState, OrderAction, OrderAnswer, UpstreamOrder,
};
use serde::{Deserialize, Serialize};

use crate::fence::{FenceFinding, FenceWatch};

/// Order that came.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SeenUpstreamOrder {
    /// When it came, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The order.
    pub order: UpstreamOrder,
    /// The upstream started or withdrawn, if any.
    pub upstream: Option<UpstreamId>,
    /// True if an order with its reference came before.
    pub repeated: bool,
    /// What its fencing number says, among the orders for its data centre.
    #[serde(flatten)]
    pub finding: FenceFinding,
}

/// Where an upstream is in its life.
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

/// Upstream that was ordered or adopted.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OrderedUpstream {
    /// Its service.
    pub service: ServiceId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// How it is paid for.
    pub capacity: CapacityKind,
    /// Where it is in its life.
    pub phase: UpstreamPhase,
}

/// What an order sets going.
#[derive(Clone, Debug)]
pub(super) enum OrderEffect {
    /// An upstream has to start.
    Start(UpstreamId),
    /// An upstream has to leave.
    Leave(UpstreamId),
    /// Nothing.
    None,
}

/// State of the ordering stand-in.
#[derive(Debug, Default)]
pub(super) struct OrderingState {
    /// Every order, in the order of arrival.
    pub(super) seen: Vec<SeenUpstreamOrder>,
    /// Upstreams that start, run or leave.
    pub(super) upstreams: FastMap<UpstreamId, OrderedUpstream>,
    listed: FastMap<UpstreamId, ListEntry>,
    left: FastMap<(DataCentre, CapacityKind), u32>,
    fence: FenceWatch<DataCentre>,
    started: u64,
    lost_starts: u32,
}

impl OrderingState {
    /// Takes an order; the interface neither deduplicates nor checks fencing numbers.
    pub(super) fn take(&mut self, order: UpstreamOrder, time_ms: u64) -> (OrderAnswer, OrderEffect) {
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
            OrderAction::Withdraw { upstream } => self.begin_leave(upstream),
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

    /// Answers to the orders with a reference.
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
    pub(super) fn set_left(&mut self, data_centre: DataCentre, capacity: CapacityKind, left: Option<u32>) {
        let place = (data_centre, capacity);
        match left {
            Some(left) => self.left.insert(place, left),
            None => self.left.remove(&place),
        };
    }

    /// Lets the next starts be accepted and never come up.
    pub(super) fn lose_starts(&mut self, count: u32) {
        self.lost_starts = count;
    }

    /// Takes one off the starts that never come up; false if there is none left.
    pub(super) fn take_lost_start(&mut self) -> bool {
        let lost = self.lost_starts > 0;
        self.lost_starts -= u32::from(lost);
        lost
    }

    /// Names a new upstream, if there is capacity for it.
    pub(super) fn begin_start(
        &mut self,
        service: &ServiceId,
        data_centre: &DataCentre,
        capacity: CapacityKind,
    ) -> OrderEffect {
        if let Some(left) = self.left.get_mut(&(data_centre.clone(), capacity)) {
            if *left == 0 {
                return OrderEffect::None;
            }
            *left -= 1;
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

    /// Marks an upstream as leaving, if it is there and not leaving yet.
    pub(super) fn begin_leave(&mut self, upstream: &UpstreamId) -> OrderEffect {
        match self.upstreams.get_mut(upstream) {
            Some(ordered) if ordered.phase != UpstreamPhase::Leaving => {
                ordered.phase = UpstreamPhase::Leaving;
                OrderEffect::Leave(upstream.clone())
            }
            _ => OrderEffect::None,
        }
    }

    /// Marks a started upstream as live; false if it was withdrawn meanwhile.
    pub(super) fn end_start(&mut self, upstream: &UpstreamId) -> bool {
        match self.upstreams.get_mut(upstream) {
            Some(ordered) if ordered.phase == UpstreamPhase::Starting => {
                ordered.phase = UpstreamPhase::Live;
                true
            }
            _ => false,
        }
    }

    /// Keeps the list entry of an upstream, and gives the state to list; `None` if it is gone already.
    pub(super) fn set_listed(&mut self, upstream: &UpstreamId, entry: ListEntry) -> Option<ListState> {
        let phase = self.upstreams.get(upstream)?.phase;
        self.listed.insert(upstream.clone(), entry);
        match phase {
            UpstreamPhase::Starting | UpstreamPhase::Live => Some(ListState::Live),
            UpstreamPhase::Leaving => Some(ListState::Leaving),
        }
    }

    /// List entry of an upstream, once it has one.
    pub(super) fn listed(&self, upstream: &UpstreamId) -> Option<ListEntry> {
        self.listed.get(upstream).cloned()
    }

    /// Forgets an upstream that is gone.
    pub(super) fn remove(&mut self, upstream: &UpstreamId) {
        self.upstreams.remove(upstream);
        self.listed.remove(upstream);
    }

    /// Cheap upstreams that a reclaim hits.
    pub(super) fn reclaimable(
        &self,
        data_centre: Option<&DataCentre>,
        name: Option<&UpstreamId>,
    ) -> Vec<UpstreamId> {
        let mut hit: Vec<UpstreamId> = self
            .upstreams
            .iter()
            .filter(|(_, ordered)| ordered.capacity == CapacityKind::Cheap)
            .filter(|(_, ordered)| data_centre.is_none_or(|wanted| *wanted == ordered.data_centre))
            .filter(|(upstream, _)| name.is_none_or(|wanted| wanted == *upstream))
            .map(|(upstream, _)| upstream.clone())
            .collect();
        hit.sort_unstable();
        hit
    }
}
