//! Reports usage windows while this instance holds the duties.
//!
//! The counts of a window are written to the store before they are reported, so that an instance that reports
//! the window again reports the same counts. Reports run in a task of their own, because a call that hangs
//! must not delay orders.

use std::sync::Arc;
use std::time::Duration;

use marigoldlock_core::gateway::adapter::{DutyHolder, DutyOutcome};
use marigoldlock_core::gateway::call::CustomerCounts;
use marigoldlock_core::gateway::usage::EndedWindow;
use marigoldlock_core::prelude::*;

use super::Gateway;
use super::duty_log::DutyLog;
use super::send_right::obtain_right;

/// Time between two checks for windows to report.
const TICK_INTERVAL: Duration = Duration::from_millis(300);

/// Time after taking the duties before the first counts are fixed: all instances must have sent their counts
/// to the new holder.
const COLLECTION_TIME: Duration = Duration::from_millis(1_500);

/// Number of reported windows that are remembered; older ones are long past their due time.
const RETAINED_WINDOWS: u64 = 64;

impl Gateway {
    /// Index of the usage window at a time.
    pub(super) fn window(&self, unix_ms: u64) -> u64 {
        let length = u64::try_from(self.bounds().usage_window.as_millis()).unwrap_or(u64::MAX);
        unix_ms / length.max(1)
    }

    /// Estimated current time, in Unix milliseconds.
    pub(super) fn fleet_unix_ms(&self) -> u64 {
        let now = self.now();
        let own = self.parts.clock.unix_ms();
        self.state().fleet_clock.unix_ms(own, now)
    }

    /// Counts a request that has started to run.
    pub(super) fn count_usage(&self, customer: &CustomerId) {
        let window = self.window(self.fleet_unix_ms());
        let source = (self.parts.card.id.clone(), self.parts.card.incarnation);
        self.state().usage.count_request(&source, window, customer);
    }
}

/// Reports usage windows while this instance holds the duties; never returns.
pub async fn report_usage(gateway: Arc<Gateway>) {
    let mut reporter = WindowReporter {
        log: DutyLog::new(Arc::clone(&gateway)),
        gateway,
        reported: FastSet::default(),
        holding: None,
    };
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        reporter.tick().await;
    }
}

struct WindowReporter {
    gateway: Arc<Gateway>,
    log: DutyLog,
    reported: FastSet<u64>,
    /// Fencing number, and since when it has been held.
    holding: Option<(u64, MonoTime)>,
}

impl WindowReporter {
    /// Fixes and reports the windows that are due.
    async fn tick(&mut self) {
        let now = self.gateway.now();
        let Some(fence) = self.gateway.state().duty_fence else {
            self.holding = None;
            return;
        };
        let since = match self.holding {
            Some((held, since)) if held == fence => since,
            _ => {
                self.reported.clear();
                self.holding = Some((fence, now));
                now
            }
        };
        if now.since(since) < COLLECTION_TIME {
            return;
        }
        let fleet_ms = self.gateway.fleet_unix_ms();
        let current = self.gateway.window(fleet_ms);
        let length = self.gateway.bounds().usage_window;
        let due = self.gateway.bounds().usage_due.as_millis() / length.as_millis().max(1);
        let oldest = current.saturating_sub(u64::try_from(due).unwrap_or(2) + 1);
        for window in oldest..current {
            if self.reported.contains(&window) {
                continue;
            }
            let ended_ms = (window + 1).saturating_mul(u64::try_from(length.as_millis()).unwrap_or(u64::MAX));
            let ended = EndedWindow {
                window,
                ended_for: Duration::from_millis(fleet_ms.saturating_sub(ended_ms)),
                due: self.gateway.bounds().usage_due,
                held_since: since,
            };
            if !self.report(fence, ended).await {
                return;
            }
        }
        self.reported.retain(|window| window + RETAINED_WINDOWS > current);
    }

    /// Fixes and reports one window; returns false if the remaining windows must wait.
    async fn report(&mut self, fence: u64, ended: EndedWindow) -> bool {
        let window = ended.window;
        let (fixed, is_stored, is_open, has_counts, may_fix, missing) = {
            let state = self.gateway.state();
            let view = self.gateway.fleet_view(&state);
            (
                state.duty_state.usage(window).map(<[_]>::to_vec),
                state.duty_state.is_stored(window),
                state.duty_state.is_open(window),
                !state.usage.total(window).is_empty(),
                state.usage.may_fix(ended, &view),
                state.usage.missing(window, &view),
            )
        };
        let counts = match fixed {
            Some(counts) if is_stored => counts,
            // The store has lost them; a later holder has to find them there.
            Some(counts) => match self.fix_counts(fence, window, counts).await {
                Some(counts) => counts,
                None => return false,
            },
            None if !may_fix => return false,
            None if !has_counts => {
                self.reported.insert(window);
                return true;
            }
            None if !is_open => {
                log::warn!(window; "usage not reported: the store may have lost counts that were reported");
                metrics::counter!("gateway_usage_windows_lost_total").increment(1);
                self.reported.insert(window);
                return true;
            }
            None => match self.fix_counts(fence, window, self.total(window)).await {
                Some(counts) => counts,
                None => return false,
            },
        };
        let counts: CustomerCounts = counts.into_iter().collect();
        let Some(duties) = self.gateway.parts.duty_api.clone() else {
            return false;
        };
        let right = obtain_right(&self.gateway, fence).await;
        if right.is_denied() {
            return false;
        }
        let holder = DutyHolder {
            instance: self.gateway.parts.card.id.as_str(),
            fence,
            guard: right.guard(),
        };
        let outcome = duties.report_usage(holder, window, &counts).await;
        log::info!(
            window, fence, requests = counts.values().sum::<u64>(), untold = missing, outcome:? = outcome,
            ended_ms = ended.ended_for.as_millis() as u64;
            "usage reported"
        );
        metrics::gauge!("gateway_usage_untold_instances").set(missing as f64);
        match outcome {
            DutyOutcome::Accepted => {
                self.reported.insert(window);
                true
            }
            DutyOutcome::Fenced => {
                self.gateway
                    .release_duties("the platform has seen a higher fencing number");
                false
            }
            DutyOutcome::Refused(_) | DutyOutcome::NoAnswer(_) => false,
        }
    }

    fn total(&self, window: u64) -> Vec<(CustomerId, u64)> {
        let mut counts: Vec<(CustomerId, u64)> =
            self.gateway.state().usage.total(window).into_iter().collect();
        counts.sort();
        counts
    }

    /// Writes the counts of a window to the store.
    async fn fix_counts(
        &mut self,
        fence: u64,
        window: u64,
        counts: Vec<(CustomerId, u64)>,
    ) -> Option<Vec<(CustomerId, u64)>> {
        let (record, end) = {
            let state = self.gateway.state();
            if state.duty_fence != Some(fence) {
                return None;
            }
            let duty_state = &state.duty_state;
            (duty_state.new_counts(window, counts), duty_state.position())
        };
        if !self.log.append(record, end).await {
            return None;
        }
        self.gateway.state().duty_state.usage(window).map(<[_]>::to_vec)
    }
}
