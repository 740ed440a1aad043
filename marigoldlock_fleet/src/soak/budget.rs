//! Check of the fleet's retry budget, from what callers sent and upstreams received.

use std::time::{Duration, Instant};

use derive_more::Display;
use marigoldlock_standin::site::ArrivalRecord;
use marigoldlock_wire::prelude::*;

/// Retries that the settings file allows per request.
pub const RETRY_RATIO: f64 = 0.2;

/// Additional retries per window.
pub const RETRY_SLACK: f64 = 10.0;

/// Length of the sliding window.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Times at which one service's requests were sent and its upstreams received repeats.
#[derive(Clone, Debug, Default)]
pub struct RepeatRecord {
    /// When callers sent requests.
    pub requests: Vec<Instant>,
    /// When upstreams received a request beyond the first of its attempt.
    pub repeats: Vec<Instant>,
}

impl RepeatRecord {
    /// Finds the repeats among a service's arrivals. The first accepted prefill of an attempt is none.
    pub fn record_arrivals(&mut self, mut arrivals: Vec<ArrivalRecord>) {
        arrivals.sort_by_key(|arrival| arrival.at);
        let (mut prefilled, mut seen) = (FastSet::default(), FastSet::default());
        for arrival in arrivals {
            let is_free_prefill =
                arrival.is_prefill && arrival.is_accepted && prefilled.insert(arrival.attempt.clone());
            if !is_free_prefill && !seen.insert(arrival.attempt) {
                self.repeats.push(arrival.at);
            }
        }
    }

    /// The window with the most repeats compared to what is allowed; `None` if there were no repeats.
    pub fn fullest_window(&self) -> Option<RepeatWindow> {
        let windows = self.repeats.iter().map(|start| self.window(*start));
        windows.max_by(|one, other| one.used().total_cmp(&other.used()))
    }

    /// Counts the repeats from `start` on. The requests are counted in that window, the one before it or the one half a
    /// window before it, whichever has most.
    fn window(&self, start: Instant) -> RepeatWindow {
        let count = |times: &[Instant], from: Instant| {
            let window = from..from + RETRY_WINDOW;
            times.iter().filter(|time| window.contains(time)).count()
        };
        let starts = [0, 1, 2].map(|halves| start.checked_sub(RETRY_WINDOW / 2 * halves));
        let requests = starts.iter().flatten().map(|from| count(&self.requests, *from));
        RepeatWindow {
            requests: requests.max().unwrap_or_default(),
            repeats: count(&self.repeats, start),
        }
    }
}

/// Requests and repeats of one service in a window.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("{repeats} repeats of {requests} requests, {:.0} allowed", self.allowed())]
pub struct RepeatWindow {
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests beyond the first of their attempt that upstreams received.
    pub repeats: usize,
}

impl RepeatWindow {
    fn allowed(&self) -> f64 {
        RETRY_RATIO * self.requests as f64 + RETRY_SLACK
    }

    /// Repeats as a share of those allowed; more than 1 if the budget was exceeded.
    pub fn used(&self) -> f64 {
        self.repeats as f64 / self.allowed()
    }
}
