//! Interface between the queues and the admission policies, and the policies themselves.

use std::fmt::Debug;

use crate::prelude::*;
use crate::routing::WorkClass;

use super::queue::ClassQueue;

/// Minimum share of the slots reserved for interactive work.
const MIN_INTERACTIVE_RESERVE: f64 = 0.1;

/// Maximum share of the slots reserved for interactive work.
const MAX_INTERACTIVE_RESERVE: f64 = 0.6;

/// Maximum share of the slots reserved for standard work against long work.
const MAX_STANDARD_RESERVE: f64 = 0.6;

/// Slots reserved per interactive request of the recent peak demand.
const PEAK_HEADROOM: f64 = 1.25;

/// Minimum share of the slots that long work may use.
const MIN_LONG_SHARE: f64 = 0.15;

/// Maximum number of tied customers that are searched for the earliest deadline.
const MAX_TIED_CUSTOMERS: usize = 32;

/// Load of one service on all instances, as this instance knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceLoad {
    /// Slots of all upstreams of the service.
    pub slots: u32,
    /// Requests in flight at this instance, by class.
    pub own: [u32; 3],
    /// Requests in flight or waiting at this instance, by class.
    pub own_active: [u32; 3],
    /// Requests in flight at the peers.
    pub peers_in_flight: u32,
    /// Requests in flight or waiting at the peers, by class.
    pub peers_active: [u32; 3],
    /// Recent peak of the requests in flight or waiting on all instances, by class.
    pub peaks: [f64; 3],
}

impl ServiceLoad {
    /// Requests in flight on all instances.
    pub fn in_flight(&self) -> u32 {
        self.own.iter().sum::<u32>() + self.peers_in_flight
    }
}

/// Customer and class whose next request starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuePick {
    /// Class of the request.
    pub class: WorkClass,
    /// Number of the customer within the service.
    pub customer: u32,
}

/// Queues and customers of a service, as a policy sees them.
pub trait QueueView {
    /// Queue of a class.
    fn queue(&self, class: WorkClass) -> &ClassQueue;

    /// True if the customer's limit allows one more request in flight.
    fn is_below_limit(&self, customer: u32) -> bool;

    /// Deadline and arrival time of the customer's next request of a class.
    fn next(&self, customer: u32, class: WorkClass) -> Option<(MonoTime, MonoTime)>;
}

/// Decides how many slots each class may use and in which order requests start.
pub trait AdmissionPolicy: Debug + Send {
    /// Name for logs and reports.
    fn name(&self) -> &'static str;

    /// True if one more request of the class may start at this instance.
    fn may_start(&self, load: &ServiceLoad, class: WorkClass) -> bool;

    /// Slots that this instance may use for the class; used to estimate waiting times.
    fn usable_slots(&self, load: &ServiceLoad, class: WorkClass) -> f64;

    /// Picks the next request to start among the classes for which `startable` is true.
    fn pick(&self, view: &dyn QueueView, startable: [bool; 3]) -> Option<QueuePick>;

    /// True if a request is refused as soon as its deadline can't be met, rather than once it has passed.
    fn refuses_early(&self) -> bool;
}

/// Weighted fair sharing among customers, with slots reserved for the urgent classes.
#[derive(Clone, Copy, Debug)]
pub struct FairShare {
    /// Difference in weighted tokens within which customers tie for long work, so that the earliest deadline
    /// decides.
    pub tie_window: u64,
}

impl FairShare {
    /// Slots of all upstreams that a class may fill, together with the less urgent classes.
    fn class_slots(load: &ServiceLoad, class: WorkClass) -> f64 {
        let slots = f64::from(load.slots);
        let reserve = (load.peaks[0] * PEAK_HEADROOM)
            .clamp(slots * MIN_INTERACTIVE_RESERVE, slots * MAX_INTERACTIVE_RESERVE);
        match class {
            WorkClass::Interactive => slots,
            WorkClass::Standard => slots - reserve,
            WorkClass::Long => {
                let standard = load.peaks[1].min(slots * MAX_STANDARD_RESERVE);
                (slots - reserve - standard).max(slots * MIN_LONG_SHARE)
            }
        }
    }

    /// This instance's share of the class's slots, in proportion to its demand.
    fn own_slots(load: &ServiceLoad, class: WorkClass) -> f64 {
        let lower = class.index().max(1)..3;
        let sum = |counts: &[u32; 3]| f64::from(counts[lower.clone()].iter().sum::<u32>());
        let own = sum(&load.own_active).max(1.0);
        let all = own + sum(&load.peers_active);
        (Self::class_slots(load, class) * own / all).max(1.0)
    }
}

impl AdmissionPolicy for FairShare {
    fn name(&self) -> &'static str {
        "fair_share"
    }

    fn may_start(&self, load: &ServiceLoad, class: WorkClass) -> bool {
        if load.in_flight() >= load.slots {
            return false;
        }
        if class == WorkClass::Interactive {
            return true;
        }
        // More urgent requests don't count here: slots are already reserved for them.
        let used: u32 = load.own[class.index()..].iter().sum();
        f64::from(used) < Self::own_slots(load, class).floor().max(1.0)
    }

    fn usable_slots(&self, load: &ServiceLoad, class: WorkClass) -> f64 {
        if class != WorkClass::Interactive {
            return Self::own_slots(load, class);
        }
        let own = f64::from(load.own_active[0].max(1));
        let share = own / (own + f64::from(load.peers_active[0]));
        (Self::class_slots(load, class) * share).max(1.0)
    }

    fn pick(&self, view: &dyn QueueView, startable: [bool; 3]) -> Option<QueuePick> {
        let classes = WorkClass::ALL
            .into_iter()
            .filter(|class| startable[class.index()]);
        classes.into_iter().find_map(|class| {
            let queue = view.queue(class);
            let mut eligible = queue
                .iter()
                .filter(|(_, customer)| view.is_below_limit(*customer));
            let (least_served, first) = eligible.next()?;
            let customer = match class {
                WorkClass::Long => {
                    let limit = least_served.saturating_add(self.tie_window);
                    let tied = eligible
                        .take(MAX_TIED_CUSTOMERS)
                        .take_while(|(served, _)| *served <= limit);
                    let deadline = |customer: &u32| view.next(*customer, class);
                    std::iter::once(first)
                        .chain(tied.map(|(_, customer)| customer))
                        .min_by_key(deadline)?
                }
                _ => first,
            };
            Some(QueuePick { class, customer })
        })
    }

    fn refuses_early(&self) -> bool {
        true
    }
}

/// Baseline: first come, first served, without classes.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstCome;

impl AdmissionPolicy for FirstCome {
    fn name(&self) -> &'static str {
        "first_come"
    }

    fn may_start(&self, load: &ServiceLoad, _class: WorkClass) -> bool {
        load.in_flight() < load.slots
    }

    fn usable_slots(&self, load: &ServiceLoad, _class: WorkClass) -> f64 {
        f64::from(load.slots.max(1))
    }

    fn pick(&self, view: &dyn QueueView, startable: [bool; 3]) -> Option<QueuePick> {
        let classes = WorkClass::ALL
            .into_iter()
            .filter(|class| startable[class.index()]);
        let waiting = classes.flat_map(|class| {
            let queue = view.queue(class).iter();
            queue.map(move |(_, customer)| QueuePick { class, customer })
        });
        let arrived = |pick: &QueuePick| view.next(pick.customer, pick.class).map(|(_, arrived)| arrived);
        waiting
            .filter(|pick| view.is_below_limit(pick.customer))
            .min_by_key(arrived)
    }

    fn refuses_early(&self) -> bool {
        false
    }
}
