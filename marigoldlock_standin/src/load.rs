//! Load figures that readers get late.

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
    /// History that gives figures after the lag.
    pub(crate) fn new(lag_ms: u64) -> Self {
        Self {
            lag: Duration::from_millis(lag_ms),
            figures: VecDeque::new(),
            reports: 0,
        }
    }

    /// Notes the figures as they are now; those of an earlier start are forgotten.
    pub(crate) fn note(&mut self, figures: LoadReport, now: Instant) {
        let before = self.figures.back();
        if before.is_some_and(|(_, before)| before.incarnation != figures.incarnation) {
            self.figures.clear();
        }
        let newest = self.figures.back().map_or(now, |(made, _)| now.max(*made));
        self.figures.push_back((newest, figures));
        self.forget(now);
    }

    /// Report with the figures as they were one lag ago, or with the oldest there are.
    pub(crate) fn report(&mut self, now: Instant) -> LoadReport {
        self.forget(now);
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

    fn forget(&mut self, now: Instant) {
        let lag = self.lag;
        let shows = |(made, _): &(Instant, LoadReport)| now.duration_since(*made) >= lag;
        while self.figures.get(1).is_some_and(shows) {
            self.figures.pop_front();
        }
    }
}
