//! Counters of the peers, and their effect on this instance's state.

use marigoldlock_wire::peer::CustomerCounter;

use crate::prelude::*;
use crate::routing::WorkClass;

use super::service::ServiceState;

/// Last counters of one peer.
#[derive(Clone, Debug)]
pub(super) struct PeerCounters {
    pub(super) received: MonoTime,
    incarnation: Incarnation,
    last_counters: FastMap<(ServiceId, CustomerId), LastCounter>,
}

/// Last counter of one customer at one peer.
#[derive(Clone, Copy, Debug, Default)]
struct LastCounter {
    served: [u64; 3],
    in_flight: u32,
    active: [u32; 3],
}

impl PeerCounters {
    pub(super) fn new(incarnation: Incarnation, now: MonoTime) -> Self {
        Self {
            received: now,
            incarnation,
            last_counters: FastMap::default(),
        }
    }

    /// True if the peer has restarted since its last counters.
    pub(super) fn is_other_incarnation(&self, incarnation: Incarnation) -> bool {
        self.incarnation != incarnation
    }

    /// Applies the counters; customers missing from them have no requests in flight or waiting at the peer.
    pub(super) fn apply(
        &mut self,
        services: &mut FastMap<ServiceId, ServiceState>,
        counters: &[CustomerCounter],
        now: MonoTime,
    ) {
        self.received = now;
        self.remove_active(services);
        for counter in counters {
            let key = (counter.service.clone(), counter.customer.clone());
            let service = services.entry(counter.service.clone()).or_default();
            let number = service.ensure_customer(&counter.customer, now);
            // The first counter only sets the starting point: tokens served before it are not charged.
            let first = LastCounter {
                served: counter.served_by_class,
                ..LastCounter::default()
            };
            let last = self.last_counters.entry(key).or_insert(first);
            for class in WorkClass::ALL {
                let index = class.index();
                let tokens = counter.served_by_class[index] as i64 - last.served[index] as i64;
                service.charge(number, class, tokens, false);
            }
            *last = LastCounter {
                served: counter.served_by_class,
                in_flight: counter.in_flight,
                active: counter.active_by_class,
            };
            last.add_to(service, number);
        }
    }

    /// Removes the peer's requests in flight or waiting; the tokens that it has served stay charged.
    pub(super) fn remove_active(&mut self, services: &mut FastMap<ServiceId, ServiceState>) {
        for ((service, customer), last) in &mut self.last_counters {
            let Some(service) = services.get_mut(service) else {
                continue;
            };
            if let Some(number) = service.find_customer(customer) {
                last.subtract_from(service, number);
            }
            last.in_flight = 0;
            last.active = [0; 3];
        }
    }
}

impl LastCounter {
    fn add_to(&self, service: &mut ServiceState, number: u32) {
        service.peers_in_flight += self.in_flight;
        for (sum, active) in service.peers_active.iter_mut().zip(self.active) {
            *sum += active;
        }
        let state = service.customer_mut(number);
        state.peers_in_flight += self.in_flight;
        state.peers_active += self.active.iter().sum::<u32>();
    }

    fn subtract_from(&self, service: &mut ServiceState, number: u32) {
        service.peers_in_flight -= self.in_flight;
        for (sum, active) in service.peers_active.iter_mut().zip(self.active) {
            *sum -= active;
        }
        let state = service.customer_mut(number);
        state.peers_in_flight -= self.in_flight;
        state.peers_active -= self.active.iter().sum::<u32>();
    }
}
