//! The border between the queues and the policies.

use std::fmt::Debug;

use crate::prelude::*;
use crate::routing::WorkClass;

use super::queue::ClassQueue;

/// Least share of the slots kept free of lower classes for interactive work.
const LEAST_RESERVE: f64 = 0.1;

/// Largest share of the slots kept for interactive work.
const MOST_RESERVE: f64 = 0.6;

/// Largest share of the slots kept for standard work, beside long work.
const MOST_STANDARD_RESERVE: f64 = 0.6;

/// Slots kept for each request of the recent peak.
const PEAK_MARGIN: f64 = 1.25;

/// Least share of the slots that long work may use.
const LEAST_LONG_ROOM: f64 = 0.15;

/// Customers looked at for the earliest deadline.
const LEVEL_CUSTOMERS: usize = 32;

/// Load of one service, as this instance sees the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceLoad {
    /// Slots of the whole fleet.
    pub slots: u32,
    /// Requests in flight here, by class.
    pub own: [u32; 3],
    /// Requests in flight or waiting here, by class.
    pub own_active: [u32; 3],
    /// Requests in flight at the peers.
    pub peers_in_flight: u32,
    /// Requests in flight or waiting at the peers, by class.
    pub peers_active: [u32; 3],
    /// Recent peak of requests in flight or waiting on all instances, by class.
    pub peaks: [f64; 3],
}

impl ServiceLoad {
    /// Requests in flight on all instances.
    pub fn in_flight(&self) -> u32 {
        self.own.iter().sum::<u32>() + self.peers_in_flight
    }
}

/// Customer and class whose next request is to start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuePick {
    /// The class.
    pub class: WorkClass,
    /// Number of the customer at the service.
    pub customer: u32,
}

/// What a policy may look at when it picks.
pub trait QueueView {
    /// The queue of a class.
    fn queue(&self, class: WorkClass) -> &ClassQueue;

    /// True if the customer's limits leave room.
    fn has_room(&self, customer: u32) -> bool;

    /// Deadline and arrival of the customer's next request of a class.
    fn next(&self, customer: u32, class: WorkClass) -> Option<(MonoTime, MonoTime)>;
}

/// Decides the room of the classes and the order within and among them.
pub trait AdmissionPolicy: Debug + Send {
    /// Name for logs and reports.
    fn name(&self) -> &'static str;

    /// True if one more request of the class may start here.
    fn has_room(&self, load: &ServiceLoad, class: WorkClass) -> bool;

    /// Slots that this instance may use for the class, for estimates of the wait.
    fn room(&self, load: &ServiceLoad, class: WorkClass) -> f64;

    /// The next request to start, among the classes for which `open` is true.
    fn pick(&self, view: &dyn QueueView, open: [bool; 3]) -> Option<QueuePick>;

    /// True if a request is refused as soon as its deadline can't be met.
    fn refuses_early(&self) -> bool;
}

/// Least received first, with room kept for the urgent classes.
#[derive(Clone, Copy, Debug)]
pub struct FairShare {
    /// Weighted tokens within which two customers are level.
    pub level_window: u64,
}

impl FairShare {
    /// Slots of the whole fleet that a class may fill, together with the less urgent ones.
    fn class_slots(load: &ServiceLoad, class: WorkClass) -> f64 {
        let slots = f64::from(load.slots);
        let reserve = (load.peaks[0] * PEAK_MARGIN).clamp(slots * LEAST_RESERVE, slots * MOST_RESERVE);
        match class {
            WorkClass::Interactive => slots,
            WorkClass::Standard => slots - reserve,
            WorkClass::Long => {
                let standard = load.peaks[1].min(slots * MOST_STANDARD_RESERVE);
                (slots - reserve - standard).max(slots * LEAST_LONG_ROOM)
            }
        }
    }

    /// This instance's share of what the class may fill, by demand.
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

    fn has_room(&self, load: &ServiceLoad, class: WorkClass) -> bool {
        if load.in_flight() >= load.slots {
            return false;
        }
        if class == WorkClass::Interactive {
            return true;
        }
        // Urgent work does not take from the room of the others, which they keep free for it.
        let used: u32 = load.own[class.index()..].iter().sum();
        f64::from(used) < Self::own_slots(load, class).floor().max(1.0)
    }

    fn room(&self, load: &ServiceLoad, class: WorkClass) -> f64 {
        if class != WorkClass::Interactive {
            return Self::own_slots(load, class);
        }
        let own = f64::from(load.own_active[0].max(1));
        let share = own / (own + f64::from(load.peers_active[0]));
        (Self::class_slots(load, class) * share).max(1.0)
    }

    fn pick(&self, view: &dyn QueueView, open: [bool; 3]) -> Option<QueuePick> {
        let classes = WorkClass::ALL.into_iter().filter(|class| open[class.index()]);
        classes.into_iter().find_map(|class| {
            let queue = view.queue(class);
            let mut ready = queue.iter().filter(|(_, customer)| view.has_room(*customer));
            let (least, first) = ready.next()?;
            let customer = match class {
                WorkClass::Long => {
                    let limit = least.saturating_add(self.level_window);
                    let level = ready
                        .take(LEVEL_CUSTOMERS)
                        .take_while(|(served, _)| *served <= limit);
                    let deadline = |customer: &u32| view.next(*customer, class);
                    std::iter::once(first)
                        .chain(level.map(|(_, customer)| customer))
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

/// First come, first served, without classes; the baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstCome;

impl AdmissionPolicy for FirstCome {
    fn name(&self) -> &'static str {
        "first_come"
    }

    fn has_room(&self, load: &ServiceLoad, _class: WorkClass) -> bool {
        load.in_flight() < load.slots
    }

    fn room(&self, load: &ServiceLoad, _class: WorkClass) -> f64 {
        f64::from(load.slots.max(1))
    }

    fn pick(&self, view: &dyn QueueView, open: [bool; 3]) -> Option<QueuePick> {
        let classes = WorkClass::ALL.into_iter().filter(|class| open[class.index()]);
        let waiting = classes.flat_map(|class| {
            let queue = view.queue(class).iter();
            queue.map(move |(_, customer)| QueuePick { class, customer })
        });
        let arrived = |pick: &QueuePick| view.next(pick.customer, pick.class).map(|(_, arrived)| arrived);
        waiting
            .filter(|pick| view.has_room(pick.customer))
            .min_by_key(arrived)
    }

    fn refuses_early(&self) -> bool {
        false
    }
}
