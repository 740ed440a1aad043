//! What a soak has shown.

use std::fmt::{self, Display, Formatter};

use marigoldlock_standin::site::{RunRecord, SITE_BODY};
use marigoldlock_wire::prelude::*;

use super::caller::{CallOutcome, CallRecord};
use super::fault::PlannedFault;
use super::{BrokenPromise, SERVED_LEAST};

/// What the stand-ins and the processes showed.
#[derive(Debug, Default)]
pub struct SiteRecord {
    /// Runs of each request, readings of its prompt not counted.
    pub runs: FastMap<String, u32>,
    /// Runs that were not as the caller sent them.
    pub changed_runs: Vec<String>,
    /// Usage windows accepted with different figures.
    pub usage_conflicts: u32,
    /// Usage windows reported.
    pub windows_reported: usize,
    /// Processes that ended by themselves.
    pub own_ends: Vec<String>,
}

impl SiteRecord {
    /// Notes what an upstream ran.
    pub fn note_run(&mut self, run: &RunRecord) {
        if !run.is_prefill {
            *self.runs.entry(run.attempt.clone()).or_default() += 1;
        }
        let is_body_right = run.path.starts_with("/look") || run.body == SITE_BODY;
        if run.has_key || run.tenant.as_deref() != Some("acme") || !is_body_right {
            self.changed_runs.push(format!("{run:?}"));
        }
    }

    fn runs_of(&self, attempt: &str) -> u32 {
        self.runs.get(attempt).copied().unwrap_or_default()
    }
}

/// Result of one seed.
#[derive(Debug)]
pub struct SoakReport {
    /// The seed.
    pub seed: u64,
    /// Faults that were injected.
    pub schedule: Vec<PlannedFault>,
    /// Promises that were broken.
    pub broken: Vec<BrokenPromise>,
    /// Requests sent, answered, refused as not run, and of unknown outcome.
    pub counts: [usize; 4],
    /// Share of the requests in calm times at the end that were answered.
    pub served_at_end: f64,
    /// Usage windows reported.
    pub windows_reported: usize,
    /// Folder with the instances' logs.
    pub logs: String,
}

impl SoakReport {
    pub(super) fn new(
        seed: u64,
        schedule: Vec<PlannedFault>,
        calls: &[CallRecord],
        site: SiteRecord,
        logs: String,
    ) -> Self {
        let count = |is: fn(&CallOutcome) -> bool| calls.iter().filter(|call| is(&call.outcome)).count();
        let calm: Vec<&CallRecord> = calls
            .iter()
            .filter(|call| call.is_calm && !call.is_forged)
            .collect();
        let served = calm.iter().filter(|call| call.outcome == CallOutcome::Answered);
        let served_at_end = served.count() as f64 / calm.len().max(1) as f64;
        Self {
            seed,
            broken: broken(calls, &site, served_at_end),
            counts: [
                calls.len(),
                count(|outcome| *outcome == CallOutcome::Answered),
                count(|outcome| matches!(outcome, CallOutcome::NotRun(_))),
                count(|outcome| *outcome == CallOutcome::Unknown),
            ],
            served_at_end,
            windows_reported: site.windows_reported,
            schedule,
            logs,
        }
    }
}

fn broken(calls: &[CallRecord], site: &SiteRecord, served_at_end: f64) -> Vec<BrokenPromise> {
    let mut broken = Vec::new();
    let mut note = |promise, seen: String| broken.push(BrokenPromise { promise, seen });
    for call in calls {
        let runs = site.runs_of(&call.attempt);
        let seen = || format!("{} ran {runs} times, {:?}", call.attempt, call.outcome);
        if call.is_booking && runs > 1 {
            note("a request that may not be repeated runs once at most", seen());
        }
        match &call.outcome {
            CallOutcome::NotRun(_) if runs > 0 => note("what is said not to have run has not run", seen()),
            CallOutcome::Answered if runs == 0 => note("an answer comes from an upstream", seen()),
            CallOutcome::Wrong(_) => note("an answer is whole and belongs to its request", seen()),
            CallOutcome::Forbidden(_) if !call.is_forged => note("a valid key and route are served", seen()),
            _ => {}
        }
        if call.is_forged && (runs > 0 || call.outcome == CallOutcome::Answered) {
            note("nothing runs for an unknown key", seen());
        }
    }
    for run in &site.changed_runs {
        note(
            "a request runs as it was sent, for its customer, without its key",
            run.clone(),
        );
    }
    if site.usage_conflicts > 0 {
        note(
            "no usage window is reported with two figures",
            format!("{} windows", site.usage_conflicts),
        );
    }
    for end in &site.own_ends {
        note("no process ends by itself", end.clone());
    }
    if served_at_end < SERVED_LEAST {
        note(
            "callers are served again after the faults",
            format!("{:.0} in 100 are", served_at_end * 100.0),
        );
    }
    broken
}

impl Display for SoakReport {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        let [sent, answered, not_run, unknown] = self.counts;
        write!(
            out,
            "seed {}: {} faults, {sent} requests, {answered} answered, {not_run} not run, {unknown} unknown, {:.2} served at \
             the end, {} usage windows",
            self.seed,
            self.schedule.len(),
            self.served_at_end,
            self.windows_reported,
        )?;
        let Some(first) = self.broken.first() else {
            return Ok(());
        };
        write!(
            out,
            "\n  {} broken promises, the first: {first}\n  logs: {}",
            self.broken.len(),
            self.logs
        )?;
        for planned in &self.schedule {
            write!(
                out,
                "\n  {:.2} s to {:.2} s {:?}",
                planned.at.as_secs_f64(),
                (planned.at + planned.lasts).as_secs_f64(),
                planned.fault
            )?;
        }
        Ok(())
    }
}
