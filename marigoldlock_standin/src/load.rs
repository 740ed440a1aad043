//! Load reports that readers see with a delay.

use std::collections::VecDeque;
use std::time::Duration;

use marigoldlock_wire::engine::LoadReport;
use tokio::time::Instant;

/// Load reports of the recent past, oldest first.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    lag: Duration,
    figures: VecDeque<(Instant, LoadReport)>,
    reports: u64,
}

impl LoadHistory {
    /// Creates a history whose reports are delayed by `lag_ms` milliseconds.
    pub(crate) fn new(lag_ms: u64) -> Self {
        Self {
            lag: Duration::from_millis(lag_ms),
            figures: VecDeque::new(),
            reports: 0,
        }
    }

    /// Records the current figures; those of an earlier incarnation are dropped.
    pub(crate) fn record(&mut self, figures: LoadReport, now: Instant) {
        let previous = self.figures.back();
        if previous.is_some_and(|(_, previous)| previous.incarnation != figures.incarnation) {
            self.figures.clear();
        }
        let newest = self.figures.back().map_or(now, |(made, _)| now.max(*made));
        self.figures.push_back((newest, figures));
        self.drop_older(now);
    }

    /// Report with the figures from one lag ago, or the oldest ones known.
    pub(crate) fn report(&mut self, now: Instant) -> LoadReport {
        self.drop_older(now);
        self.reports += 1;
        let Some((made, figures)) = self.figures.front() else {
            return LoadReport::default();
        };
        let age = self.lag.min(now.duration_since(*made));
        LoadReport {
            sequence: self.reports,
            age_ms: age.as_millis() as u64,
            ..figures.clone()
        }
    }

    fn drop_older(&mut self, now: Instant) {
        let lag = self.lag;
        let is_visible = |(made, _): &(Instant, LoadReport)| now.duration_since(*made) >= lag;
        while self.figures.get(1).is_some_and(is_visible) {
            self.figures.pop_front();
        }
    }
}
