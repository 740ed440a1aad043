//! What the peers' counters add to this instance's view.

use marigoldlock_wire::peer::CustomerCounter;

use crate::prelude::*;
use crate::routing::WorkClass;

use super::service::ServiceState;

/// Last counters of one peer.
#[derive(Clone, Debug)]
pub(super) struct PeerCounters {
    pub(super) heard: MonoTime,
    incarnation: Incarnation,
    seen: FastMap<(ServiceId, CustomerId), SeenCounter>,
}

/// Last counter of one customer at one peer.
#[derive(Clone, Copy, Debug, Default)]
struct SeenCounter {
    served: [u64; 3],
    in_flight: u32,
    active: [u32; 3],
}

impl PeerCounters {
    pub(super) fn new(incarnation: Incarnation, now: MonoTime) -> Self {
        Self {
            heard: now,
            incarnation,
            seen: FastMap::default(),
        }
    }

    /// True if the peer was restarted since.
    pub(super) fn is_other_start(&self, incarnation: Incarnation) -> bool {
        self.incarnation != incarnation
    }

    /// Takes in the counters; customers that are missing have nothing in flight or waiting there.
    pub(super) fn apply(
        &mut self,
        services: &mut FastMap<ServiceId, ServiceState>,
        counters: &[CustomerCounter],
        now: MonoTime,
    ) {
        self.heard = now;
        self.withdraw(services);
        for counter in counters {
            let key = (counter.service.clone(), counter.customer.clone());
            let service = services.entry(counter.service.clone()).or_default();
            let number = service.number(&counter.customer, now);
            // The first counter is only a starting point: what was served before is nobody's debt here.
            let first = SeenCounter {
                served: counter.served_by_class,
                ..SeenCounter::default()
            };
            let seen = self.seen.entry(key).or_insert(first);
            for class in WorkClass::ALL {
                let index = class.index();
                let tokens = counter.served_by_class[index] as i64 - seen.served[index] as i64;
                service.charge(number, class, tokens, false);
            }
            *seen = SeenCounter {
                served: counter.served_by_class,
                in_flight: counter.in_flight,
                active: counter.active_by_class,
            };
            seen.count_in(service, number);
        }
    }

    /// Takes the peer's requests out of the view; what it has served still counts.
    pub(super) fn withdraw(&mut self, services: &mut FastMap<ServiceId, ServiceState>) {
        for ((service, customer), seen) in &mut self.seen {
            let Some(service) = services.get_mut(service) else {
                continue;
            };
            if let Some(number) = service.known_number(customer) {
                seen.count_out(service, number);
            }
            seen.in_flight = 0;
            seen.active = [0; 3];
        }
    }
}

impl SeenCounter {
    fn count_in(&self, service: &mut ServiceState, number: u32) {
        service.peers_in_flight += self.in_flight;
        for (sum, active) in service.peers_active.iter_mut().zip(self.active) {
            *sum += active;
        }
        let state = service.customer_mut(number);
        state.peers_in_flight += self.in_flight;
        state.peers_active += self.active.iter().sum::<u32>();
    }

    fn count_out(&self, service: &mut ServiceState, number: u32) {
        service.peers_in_flight -= self.in_flight;
        for (sum, active) in service.peers_active.iter_mut().zip(self.active) {
            *sum -= active;
        }
        let state = service.customer_mut(number);
        state.peers_in_flight -= self.in_flight;
        state.peers_active -= self.active.iter().sum::<u32>();
    }
}
