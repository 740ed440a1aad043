//! Duties that one instance at a time has: reporting usage.
//!
//! An instance takes the duties when no live instance holds them. It fixes the figures of each window in the
//! store before it reports them, so that whoever reports the window again reports the same.

use std::sync::Arc;
use std::time::Duration;

use marigoldlock_core::gateway::border::{AppendOutcome, DutyHolder, DutyOutcome, StoreError, StoreStream};
use marigoldlock_core::gateway::call::CustomerCounts;
use marigoldlock_core::gateway::duty::DutyRecord;
use marigoldlock_core::gateway::exchange::FleetView;
use marigoldlock_core::gateway::members::MemberStage;
use marigoldlock_core::prelude::*;

use super::Gateway;
use super::capacity::CapacityKeeper;
use super::roles::RoleKeeper;

/// Time between two looks at the duties.
const TICK: Duration = Duration::from_millis(300);

/// Time after its end for which a window stays open: requests that began in it are told within a few heartbeats.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Time without a holder after which an instance claims the duties: longer than a missed heartbeat.
const HOLDER_MISSING: Duration = Duration::from_millis(1_200);

/// Time after taking the duties before the first figures are fixed: all instances must have told the new holder what
/// they counted.
const HEAR_COUNTS: Duration = Duration::from_millis(1_500);

/// Failed calls to the store in a row after which a holder lets go.
const FAILURES_TO_RELEASE: u32 = 3;

impl Gateway {
    /// Number of the usage window at a time.
    pub(super) fn window(&self, unix_ms: u64) -> u64 {
        let length = u64::try_from(self.parts.bounds.usage_window.as_millis()).unwrap_or(u64::MAX);
        unix_ms / length.max(1)
    }

    /// True time, in Unix milliseconds.
    pub(super) fn true_ms(&self) -> u64 {
        let now = self.now();
        let own = self.parts.clock.unix_ms();
        self.state().clock.unix_ms(own, now)
    }

    /// Counts a request that began to run.
    pub(super) fn count_usage(&self, customer: &CustomerId) {
        let window = self.window(self.true_ms());
        let source = (self.parts.card.id.clone(), self.parts.card.incarnation);
        self.state().usage.count(&source, window, customer);
    }
}

/// Takes and carries out the duties, for ever.
pub async fn run(gateway: Arc<Gateway>) {
    if gateway.parts.duties.is_none() {
        return;
    }
    let mut keeper = DutyKeeper {
        gateway,
        missing_since: None,
        held_since: None,
        failures: 0,
        reported: FastSet::default(),
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
    missing_since: Option<MonoTime>,
    held_since: Option<MonoTime>,
    failures: u32,
    reported: FastSet<u64>,
    roles: RoleKeeper,
    capacity: CapacityKeeper,
}

impl DutyKeeper {
    async fn tick(&mut self) {
        let (fence, stage) = {
            let state = self.gateway.state();
            (state.duty_fence, state.stage)
        };
        match (fence, stage) {
            (Some(_), MemberStage::Leaving) => self.release("the instance is leaving"),
            (Some(fence), _) => self.carry_out(fence).await,
            (None, MemberStage::Ready) => self.stand_by().await,
            (None, _) => {}
        }
    }

    /// Claims the duties if nobody holds them and this instance is the first in order.
    async fn stand_by(&mut self) {
        let now = self.gateway.now();
        let own = &self.gateway.parts.card.id;
        let (has_holder, is_first) = {
            let state = self.gateway.state();
            let members = &state.members;
            let is_ready = |id: &InstanceId| {
                id == own
                    || members
                        .live(now)
                        .any(|member| member.card().id == *id && member.report.stage == MemberStage::Ready)
            };
            let view = FleetView {
                own: &self.gateway.parts.card,
                members,
                now,
            };
            let first = view.ranked().into_iter().find(|card| is_ready(&card.id));
            let has_holder = members.live(now).any(|member| member.report.duty_fence.is_some());
            (has_holder, first.is_some_and(|card| card.id == *own))
        };
        if has_holder {
            self.missing_since = None;
            return;
        }
        let since = *self.missing_since.get_or_insert(now);
        let waited = now.since(since);
        // If the first in order can't reach the store, the others claim later.
        let patience = if is_first {
            HOLDER_MISSING
        } else {
            HOLDER_MISSING * 3
        };
        if waited < patience || !self.read_ledger().await {
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
                state.ledger.may_claim(now, self.gateway.parts.bounds.lease),
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
        if self.append(record, end).await {
            let fence = self.gateway.state().ledger.fence_of(&card.id, card.incarnation);
            if let Some(fence) = fence {
                self.hold(fence);
            }
        }
    }

    fn hold(&mut self, fence: u64) {
        log::info!(fence; "duties taken");
        self.missing_since = None;
        self.held_since = Some(self.gateway.now());
        self.failures = 0;
        self.reported.clear();
        self.gateway.state().duty_fence = Some(fence);
    }

    fn release(&mut self, reason: &str) {
        log::info!(reason; "duties released");
        self.gateway.state().duty_fence = None;
        self.roles.reset(&self.gateway);
        self.missing_since = None;
        self.failures = 0;
    }

    /// Fixes and reports the windows that are due.
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
            self.release("another instance holds a higher fencing number");
            return;
        }
        if !self.roles.tick(&self.gateway, fence).await {
            self.release("an upstream has seen a higher fencing number");
            return;
        }
        if !self.capacity.tick(&self.gateway, fence).await {
            self.release("the platform has seen a higher fencing number");
            return;
        }
        if self.held_since.is_none_or(|since| now.since(since) < HEAR_COUNTS) {
            return;
        }
        let settled = self.gateway.true_ms().saturating_sub(SETTLE.as_millis() as u64);
        let current = self.gateway.window(settled);
        let length = self.gateway.parts.bounds.usage_window;
        let due = self.gateway.parts.bounds.usage_due.as_millis() / length.as_millis().max(1);
        let oldest = current.saturating_sub(u64::try_from(due).unwrap_or(2) + 1);
        for window in oldest..current {
            if !self.reported.contains(&window) && !self.report(fence, window).await {
                return;
            }
        }
        self.reported.retain(|window| window + 64 > current);
    }

    /// Fixes and reports one window; returns false if the rest must wait.
    async fn report(&mut self, fence: u64, window: u64) -> bool {
        let (fixed, has_counts) = {
            let state = self.gateway.state();
            (
                state.ledger.usage(window).map(<[_]>::to_vec),
                !state.usage.total(window).is_empty(),
            )
        };
        let counts = match fixed {
            Some(counts) => counts,
            None if !has_counts => {
                self.reported.insert(window);
                return true;
            }
            None => match self.fix(window).await {
                Some(counts) => counts,
                None => return false,
            },
        };
        let counts: CustomerCounts = counts.into_iter().collect();
        let Some(duties) = self.gateway.parts.duties.clone() else {
            return false;
        };
        let holder = DutyHolder {
            instance: self.gateway.parts.card.id.as_str(),
            fence,
        };
        let outcome = duties.report_usage(holder, window, &counts).await;
        log::info!(window, fence, requests = counts.values().sum::<u64>(), outcome:? = outcome; "usage reported");
        match outcome {
            DutyOutcome::Accepted => {
                self.reported.insert(window);
                true
            }
            DutyOutcome::Fenced => {
                self.release("the platform has seen a higher fencing number");
                false
            }
            DutyOutcome::Refused(_) | DutyOutcome::NoAnswer(_) => false,
        }
    }

    /// Fixes the figures of a window in the store.
    async fn fix(&mut self, window: u64) -> Option<Vec<(CustomerId, u64)>> {
        let (counts, end) = {
            let state = self.gateway.state();
            let mut counts: Vec<(CustomerId, u64)> = state.usage.total(window).into_iter().collect();
            counts.sort();
            (counts, state.ledger.next_offset())
        };
        let record = DutyRecord::Usage {
            window,
            counts: counts.clone(),
        };
        if !self.append(record, end).await {
            return None;
        }
        self.gateway.state().ledger.usage(window).map(<[_]>::to_vec)
    }

    /// Appends a record at the end that is known; returns true if it is there.
    async fn append(&mut self, record: DutyRecord, end: u64) -> bool {
        let bytes = match bincode::serde::encode_to_vec(&record, bincode::config::standard()) {
            Ok(bytes) => bytes,
            Err(err) => {
                log::error!(error:% = err; "a duty record can't be written");
                return false;
            }
        };
        match self
            .gateway
            .parts
            .store
            .append_at(StoreStream::Duties, &bytes, end)
            .await
        {
            Ok(AppendOutcome::Appended(offset)) => {
                self.failures = 0;
                let now = self.gateway.now();
                self.gateway.state().ledger.apply(offset, record, now);
                true
            }
            Ok(AppendOutcome::Moved(actual)) => {
                log::info!(expected = end, actual; "the duties' stream has moved on; read again");
                self.read_ledger().await;
                self.check_authority();
                false
            }
            Err(err) => {
                // The record may be there or may come yet: its condition settles which.
                self.note_failure(&err);
                self.read_ledger().await;
                self.check_authority();
                false
            }
        }
    }

    /// Lets go of the duties if the latest claim is another's.
    fn check_authority(&mut self) {
        let card = &self.gateway.parts.card;
        let (held, latest) = {
            let state = self.gateway.state();
            (
                state.duty_fence,
                state.ledger.fence_of(&card.id, card.incarnation),
            )
        };
        if held.is_some() && held != latest {
            self.release("another instance has claimed the duties");
        }
    }

    fn note_failure(&mut self, err: &StoreError) {
        self.failures += 1;
        log::info!(error:% = err, failures = self.failures; "the duties' stream was not reached");
        let is_holder = self.gateway.state().duty_fence.is_some();
        if is_holder && self.failures >= FAILURES_TO_RELEASE {
            self.release("the store is not reached");
        }
    }

    /// Reads the duties' stream to its end.
    async fn read_ledger(&mut self) -> bool {
        loop {
            let offset = self.gateway.state().ledger.next_offset();
            let batch = match self.gateway.parts.store.read(StoreStream::Duties, offset).await {
                Ok(batch) => batch,
                Err(StoreError::Gone(first)) => {
                    self.gateway.state().ledger.skip_to(first);
                    continue;
                }
                Err(err) => {
                    self.note_failure(&err);
                    return false;
                }
            };
            let now = self.gateway.now();
            let mut state = self.gateway.state();
            for (offset, bytes) in &batch.records {
                match bincode::serde::decode_from_slice(bytes, bincode::config::standard()) {
                    Ok((record, _)) => state.ledger.apply(*offset, record, now),
                    Err(err) => {
                        log::warn!(offset, error:% = err; "a duty record can't be read; skipped");
                        state.ledger.skip_to(offset + 1);
                    }
                }
            }
            if batch.next_offset >= batch.end_offset {
                return true;
            }
        }
    }
}
