//! Duties that one instance at a time has: usage reports and orders.
//!
//! If no live instance holds the duties, the first in rank that reaches the store claims them.

use std::sync::Arc;
use std::time::Duration;

use marigoldlock_core::gateway::era::StorePosition;
use marigoldlock_core::gateway::exchange::FleetView;
use marigoldlock_core::gateway::members::MemberStage;
use marigoldlock_core::prelude::*;

use super::Gateway;
use super::capacity::CapacityManager;
use super::duty_log::DutyLog;
use super::roles::RoleManager;

/// Time between two checks of the duties.
const TICK_INTERVAL: Duration = Duration::from_millis(300);

/// Time without a holder after which the first in rank claims the duties; longer than one missed heartbeat.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Factor by which the other instances wait longer, in case the first in rank can't claim.
const FALLBACK_TIMEOUT_FACTOR: u32 = 3;

impl Gateway {
    /// Releases the duties.
    pub(super) fn release_duties(&self, reason: &str) {
        log::info!(reason; "duties released");
        let mut state = self.state();
        state.duty_fence = None;
        state.changing.clear();
    }
}

/// Claims the duties when they are vacant and carries them out. Returns at once if the gateway has no API for
/// duties, otherwise never.
pub async fn run(gateway: Arc<Gateway>) {
    if gateway.parts.duty_api.is_none() {
        return;
    }
    let mut manager = DutyManager {
        log: DutyLog::new(Arc::clone(&gateway)),
        gateway,
        vacant_since: None,
        planned_fence: None,
        roles: RoleManager::default(),
        capacity: CapacityManager::default(),
    };
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        manager.tick().await;
    }
}

struct DutyManager {
    gateway: Arc<Gateway>,
    log: DutyLog,
    vacant_since: Option<MonoTime>,
    /// Fencing number for which the planners below were created.
    planned_fence: Option<u64>,
    roles: RoleManager,
    capacity: CapacityManager,
}

impl DutyManager {
    async fn tick(&mut self) {
        let (fence, stage) = {
            let state = self.gateway.state();
            (state.duty_fence, state.stage)
        };
        if fence != self.planned_fence {
            // Planners from an earlier term don't know what other holders have ordered since.
            self.planned_fence = fence;
            self.roles = RoleManager::default();
            std::mem::take(&mut self.capacity).close();
            self.vacant_since = None;
        }
        match (fence, stage) {
            (Some(_), MemberStage::Leaving) => self.gateway.release_duties("the instance is leaving"),
            (Some(fence), _) => self.run_duties(fence).await,
            (None, MemberStage::Ready) => self.claim_if_vacant().await,
            (None, _) => {}
        }
    }

    /// Claims the duties if they have been vacant for long enough.
    async fn claim_if_vacant(&mut self) {
        let now = self.gateway.now();
        let (holder, is_successor, is_first, is_former, known_end) = {
            let state = self.gateway.state();
            let view = FleetView {
                own: &self.gateway.parts.card,
                members: &state.members,
                now,
            };
            // Claims of earlier eras are void, also those of instances that haven't learned of this one.
            let known = state.duty_state.position();
            let first_fence = StorePosition::new(known.era, 0).fence();
            let holders = state
                .members
                .live(now)
                .filter_map(|member| member.report.duty_fence)
                .filter(|fence| *fence >= first_fence);
            (
                holders.max(),
                view.is_successor(),
                state.store.is_reachable() && view.is_first_successor(),
                state.reclaims_duties && state.duty_state.claim().is_none(),
                known,
            )
        };
        if let Some(fence) = holder {
            self.vacant_since = None;
            self.gateway.state().reclaims_duties = false;
            // A possible successor reads the holder's claim early, so that the lease has already expired when
            // the holder is lost.
            if is_successor && fence >= known_end.fence() {
                self.log.read().await;
            }
            return;
        }
        let since = *self.vacant_since.get_or_insert(now);
        let timeout = if is_former {
            // It knows best which windows have been reported.
            Duration::ZERO
        } else if is_first {
            HOLDER_TIMEOUT
        } else {
            HOLDER_TIMEOUT * FALLBACK_TIMEOUT_FACTOR
        };
        if now.since(since) < timeout || !self.log.read().await {
            return;
        }
        self.claim().await;
    }

    async fn claim(&mut self) {
        let card = self.gateway.parts.card.clone();
        let now = self.gateway.now();
        let (fence, may_claim, end, record) = {
            let state = self.gateway.state();
            let duty_state = &state.duty_state;
            (
                duty_state.fence_of(&card.id, card.incarnation),
                duty_state.may_claim(now, self.gateway.bounds().lease),
                duty_state.position(),
                duty_state.new_claim(card.id.clone(), card.incarnation),
            )
        };
        if let Some(fence) = fence {
            self.set_held(fence);
            return;
        }
        if !may_claim {
            return;
        }
        if self.log.append(record, end).await {
            let fence = self
                .gateway
                .state()
                .duty_state
                .fence_of(&card.id, card.incarnation);
            if let Some(fence) = fence {
                self.set_held(fence);
            }
        }
    }

    fn set_held(&mut self, fence: u64) {
        log::info!(fence; "duties taken");
        let mut state = self.gateway.state();
        // The era may have ended since the claim.
        let (id, incarnation) = (&self.gateway.parts.card.id, self.gateway.parts.card.incarnation);
        if state.duty_state.fence_of(id, incarnation) == Some(fence) {
            state.duty_fence = Some(fence);
            state.reclaims_duties = false;
        }
    }

    /// Sends the orders that are due, or releases the duties if the fencing number is too low.
    async fn run_duties(&mut self, fence: u64) {
        let now = self.gateway.now();
        let is_superseded = {
            let state = self.gateway.state();
            state
                .members
                .live(now)
                .any(|member| member.report.duty_fence.is_some_and(|other| other > fence))
        };
        if is_superseded {
            self.gateway
                .release_duties("another instance holds a higher fencing number");
            return;
        }
        if self.gateway.state().lacks_entries(now) {
            // Orders that rest on such a listing would replace upstreams that are there.
            return;
        }
        let bounds = self.gateway.bounds();
        if !bounds.requires_fence && !self.gateway.state().duty_state.has_waited(now, bounds.lease) {
            return;
        }
        if !self.roles.tick(&self.gateway, fence) {
            self.gateway
                .release_duties("an upstream has seen a higher fencing number");
            return;
        }
        if !self.capacity.tick(&self.gateway, fence) {
            self.gateway
                .release_duties("the platform has seen a higher fencing number");
        }
    }
}
