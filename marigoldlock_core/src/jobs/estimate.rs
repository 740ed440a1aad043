//! Estimate of whether a job can meet its deadline.

use marigoldlock_wire::record::jobs::JobId;
use serde::Serialize;

use super::fold::{JobFold, JobState};

/// Throughput of jobs over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkRate {
    /// Tokens per second; zero while the rate is unknown.
    pub tokens_per_s: f64,
}

impl WorkRate {
    /// Measures the rate from the jobs that finished within the last `window_ms`.
    pub fn measured(fold: &JobFold, now_ms: u64, window_ms: u64) -> Self {
        let recent = fold.iter().filter(|(_, entry)| match entry.state {
            JobState::Finished { finished_ms, .. } => now_ms.saturating_sub(finished_ms) <= window_ms,
            _ => false,
        });
        let tokens: u64 = recent.map(|(_, entry)| entry.head.tokens).sum();
        Self {
            tokens_per_s: tokens as f64 / (window_ms as f64 / 1_000.0),
        }
    }
}

/// Estimate of whether a job can meet its deadline.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DeadlineOutlook {
    /// At the current rate it will be met, or the job finished in time.
    Expected,
    /// At the current rate it will be missed.
    AtRisk,
    /// It has passed, or the job finished too late.
    Missed,
    /// The rate or the job is unknown.
    Unknown,
}

/// Estimates whether a job can meet its deadline if all jobs with earlier deadlines run before it.
pub fn deadline_outlook(fold: &JobFold, job: JobId, rate: WorkRate, now_ms: u64) -> DeadlineOutlook {
    let Some(entry) = fold.get(job) else {
        return DeadlineOutlook::Unknown;
    };
    let deadline_ms = entry.head.deadline_ms;
    if let JobState::Finished { finished_ms, .. } = entry.state {
        return match finished_ms <= deadline_ms {
            true => DeadlineOutlook::Expected,
            false => DeadlineOutlook::Missed,
        };
    }
    if now_ms >= deadline_ms {
        return DeadlineOutlook::Missed;
    }
    if rate.tokens_per_s <= 0.0 {
        return DeadlineOutlook::Unknown;
    }
    let own = (deadline_ms, job);
    let ahead: u64 = fold
        .iter()
        .filter(|(_, other)| !matches!(other.state, JobState::Finished { .. } | JobState::Partial))
        .filter(|(id, other)| (other.head.deadline_ms, *id) <= own)
        .map(|(_, other)| other.head.tokens)
        .sum();
    let needed_ms = ahead as f64 / rate.tokens_per_s * 1_000.0;
    if needed_ms <= (deadline_ms - now_ms) as f64 {
        DeadlineOutlook::Expected
    } else {
        DeadlineOutlook::AtRisk
    }
}
