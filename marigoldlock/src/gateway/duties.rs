//! Duties that one instance at a time has: usage reports and orders.
//!
//! An instance takes the duties when no live instance holds them: the first in rank that reaches the store.

use std::sync::Arc;
use std::time::Duration;

use marigoldlock_core::gateway::duty::DutyRecord;
use marigoldlock_core::gateway::exchange::FleetView;
use marigoldlock_core::gateway::members::MemberStage;
use marigoldlock_core::prelude::*;

use super::Gateway;
use super::capacity::CapacityKeeper;
use super::duty_log::DutyLog;
use super::roles::RoleKeeper;

/// Time between two looks at the duties.
const TICK: Duration = Duration::from_millis(300);

/// Time without a holder after which the first in rank claims the duties: longer than a missed heartbeat.
const HOLDER_MISSING: Duration = Duration::from_millis(1_200);

/// How much longer the others wait, in case the first can't claim.
const OTHERS_WAIT: u32 = 3;

impl Gateway {
    /// Lets go of the duties.
    pub(super) fn release_duties(&self, reason: &str) {
        log::info!(reason; "duties released");
        let mut state = self.state();
        state.duty_fence = None;
        state.changing.clear();
    }
}

/// Takes and carries out the duties, for ever.
pub async fn run(gateway: Arc<Gateway>) {
    if gateway.parts.duties.is_none() {
        return;
    }
    let mut keeper = DutyKeeper {
        log: DutyLog::new(Arc::clone(&gateway)),
        gateway,
        missing_since: None,
        held: None,
        roles: RoleKeeper::default(),
        capacity: CapacityKeeper::default(),
    };
    loop {
        tokio::time::sleep(TICK).await;
        keeper.tick().await;
    }
}

struct DutyKeeper {
    gateway: Arc<Gateway>,
    log: DutyLog,
    missing_since: Option<MonoTime>,
    /// Fencing number under which the plans below were made.
    held: Option<u64>,
    roles: RoleKeeper,
    capacity: CapacityKeeper,
}

impl DutyKeeper {
    async fn tick(&mut self) {
        let (fence, stage) = {
            let state = self.gateway.state();
            (state.duty_fence, state.stage)
        };
        if fence != self.held {
            // Plans of an earlier time under the duties say nothing of what others ordered since.
            self.held = fence;
            self.roles = RoleKeeper::default();
            self.capacity = CapacityKeeper::default();
            self.missing_since = None;
        }
        match (fence, stage) {
            (Some(_), MemberStage::Leaving) => self.gateway.release_duties("the instance is leaving"),
            (Some(fence), _) => self.carry_out(fence).await,
            (None, MemberStage::Ready) => self.stand_by().await,
            (None, _) => {}
        }
    }

    /// Claims the duties if nobody holds them and this instance is the first in order.
    async fn stand_by(&mut self) {
        let now = self.gateway.now();
        let (holder, is_successor, is_first, known_end) = {
            let state = self.gateway.state();
            let view = FleetView {
                own: &self.gateway.parts.card,
                members: &state.members,
                now,
            };
            let holders = state
                .members
                .live(now)
                .filter_map(|member| member.report.duty_fence);
            (
                holders.max(),
                view.is_successor(),
                state.store_reached && view.is_first_successor(),
                state.ledger.next_offset(),
            )
        };
        if let Some(fence) = holder {
            self.missing_since = None;
            // A successor knows the holder's claim early, so that its lease is over when the holder is lost.
            if is_successor && fence > known_end {
                self.log.read().await;
            }
            return;
        }
        let since = *self.missing_since.get_or_insert(now);
        let patience = if is_first {
            HOLDER_MISSING
        } else {
            HOLDER_MISSING * OTHERS_WAIT
        };
        if now.since(since) < patience || !self.log.read().await {
            return;
        }
        self.claim().await;
    }

    async fn claim(&mut self) {
        let card = self.gateway.parts.card.clone();
        let now = self.gateway.now();
        let (fence, may_claim, end) = {
            let state = self.gateway.state();
            let fence = state.ledger.fence_of(&card.id, card.incarnation);
            (
                fence,
                state.ledger.may_claim(now, self.gateway.bounds().lease),
                state.ledger.next_offset(),
            )
        };
        if let Some(fence) = fence {
            self.hold(fence);
            return;
        }
        if !may_claim {
            return;
        }
        let record = DutyRecord::Claim {
            holder: card.id.clone(),
            incarnation: card.incarnation,
        };
        if self.log.append(record, end).await {
            let fence = self.gateway.state().ledger.fence_of(&card.id, card.incarnation);
            if let Some(fence) = fence {
                self.hold(fence);
            }
        }
    }

    fn hold(&mut self, fence: u64) {
        log::info!(fence; "duties taken");
        self.gateway.state().duty_fence = Some(fence);
    }

    /// Gives the orders that are due.
    async fn carry_out(&mut self, fence: u64) {
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
