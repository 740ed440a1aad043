//! Checks of the invariants and the report of a soak test.

use std::fmt::{self, Display, Formatter};

use marigoldlock_core::gateway::crashes::CrashBlock;
use marigoldlock_standin::site::{ArrivalRecord, RunRecord, SITE_BODY};
use marigoldlock_wire::prelude::*;

use super::blocks::ALLOWED_REFUSALS;
use super::budget::{RepeatRecord, RepeatWindow};
use super::caller::{CallOutcome, CallRecord};
use super::crashing::CrashCounts;
use super::fault::PlannedFault;
use super::{ALLOWED_FAILURES, REQUESTS_PER_FAILURE, Violation};

/// The invariant that the fleet keeps its retry budget.
pub const BUDGET_INVARIANT: &str = "retries stay within the fleet's budget";

/// The invariant that all events of a stream come from upstreams of one software version.
pub const VERSION_INVARIANT: &str = "a stream goes on only at the software version that began it";

/// The invariant that requests which crash no upstreams are served.
pub const SOUND_INVARIANT: &str = "only requests that crash upstreams are blocked";

/// What the stand-ins and the processes recorded.
#[derive(Debug, Default)]
pub struct SiteRecord {
    /// Number of runs of each attempt, without prefill runs.
    pub runs: FastMap<String, u32>,
    /// Requests that arrived at the upstreams of each service.
    pub arrivals: FastMap<String, Vec<ArrivalRecord>>,
    /// Crashes of each service's upstreams, and requests that crash them.
    pub crashing: FastMap<String, CrashCounts>,
    /// Runs whose request differed from what the caller sent.
    pub changed_runs: Vec<String>,
    /// Usage windows that were reported again with different counts.
    pub usage_conflicts: u32,
    /// Duty calls with a fencing number that another holder had sent before.
    pub fence_rivals: u32,
    /// Number of usage windows reported.
    pub windows_reported: usize,
    /// True if no window was reported that began after the last fault.
    pub is_usage_silent: bool,
    /// Era of the store at the end.
    pub store_eras: u64,
    /// Blocks on sound requests that stayed in the store for too long.
    pub wrong_blocks: Vec<CrashBlock>,
    /// Exits of processes that no fault caused, and shutdowns that took too long.
    pub unexpected_exits: Vec<String>,
}

impl SiteRecord {
    /// Records a run at an upstream and checks its request.
    pub fn record_run(&mut self, run: &RunRecord) {
        if !run.is_prefill {
            *self.runs.entry(run.attempt.clone()).or_default() += 1;
        }
        let is_body_unchanged = run.path.starts_with("/look") || run.body == SITE_BODY;
        if run.has_key || run.tenant.as_deref() != Some("acme") || !is_body_unchanged {
            self.changed_runs.push(format!("{run:?}"));
        }
    }

    fn runs_of(&self, attempt: &str) -> u32 {
        self.runs.get(attempt).copied().unwrap_or_default()
    }
}

/// Result of the soak test for one seed.
#[derive(Debug)]
pub struct SoakReport {
    /// Seed of the faults and the requests.
    pub seed: u64,
    /// The injected faults.
    pub schedule: Vec<PlannedFault>,
    /// Violations of invariants.
    pub violations: Vec<Violation>,
    /// Numbers of requests: sent, answered, refused as not run, and with unknown outcome.
    pub counts: [usize; 4],
    /// Share of the requests with a valid key that were answered after the recovery.
    pub served_at_end: f64,
    /// Crashes of upstreams, and requests that crash them.
    pub crashing: CrashCounts,
    /// Largest share of the retry budget that any service's upstreams saw used.
    pub budget_used: f64,
    /// Number of usage windows reported.
    pub windows_reported: usize,
    /// Era of the store at the end, counted from one.
    pub store_eras: u64,
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
        let after_recovery: Vec<&CallRecord> = calls
            .iter()
            .filter(|call| call.is_after_recovery && !call.has_unknown_key && !call.crashes_upstreams)
            .filter(|call| call.outcome != CallOutcome::Left)
            .collect();
        let served = after_recovery
            .iter()
            .filter(|call| call.outcome == CallOutcome::Answered);
        let final_requests = FinalRequests {
            sent: after_recovery.len(),
            served: served.count(),
        };
        Self {
            seed,
            violations: find_violations(calls, &site, final_requests),
            counts: [
                calls.len(),
                count(|outcome| *outcome == CallOutcome::Answered),
                count(|outcome| matches!(outcome, CallOutcome::NotRun(_) | CallOutcome::Blocked)),
                count(|outcome| *outcome == CallOutcome::Unknown),
            ],
            served_at_end: final_requests.served as f64 / final_requests.sent.max(1) as f64,
            crashing: CrashCounts {
                crashes: site.crashing.values().map(|counts| counts.crashes).sum(),
                arrivals: site.crashing.values().map(|counts| counts.arrivals).sum(),
            },
            budget_used: site
                .arrivals
                .iter()
                .filter_map(|(service, arrivals)| fullest_window(calls, service, arrivals))
                .map(|window| window.used())
                .fold(0.0, f64::max),
            windows_reported: site.windows_reported,
            store_eras: site.store_eras,
            schedule,
            logs,
        }
    }
}

/// The window in which a service's upstreams got the most repeats compared to what is allowed.
fn fullest_window(calls: &[CallRecord], service: &str, arrivals: &[ArrivalRecord]) -> Option<RepeatWindow> {
    let mut record = RepeatRecord::default();
    let own = calls.iter().filter(|call| call.service == service);
    record.requests.extend(own.map(|call| call.sent_at.into_std()));
    record.record_arrivals(arrivals.to_vec());
    record.fullest_window()
}

/// Requests after the recovery that have to be served.
#[derive(Clone, Copy, Debug)]
struct FinalRequests {
    sent: usize,
    served: usize,
}

impl FinalRequests {
    fn is_short(self) -> bool {
        let failed = self.sent - self.served;
        self.served == 0 || failed > ALLOWED_FAILURES + self.sent / REQUESTS_PER_FAILURE
    }
}

fn find_violations(calls: &[CallRecord], site: &SiteRecord, final_requests: FinalRequests) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut report = |invariant, observed: String| violations.push(Violation { invariant, observed });
    for call in calls {
        let runs = site.runs_of(&call.attempt);
        let describe = || format!("{} ran {runs} times, {:?}", call.attempt, call.outcome);
        if call.is_booking && runs > 1 {
            report("a non-repeatable request runs at most once", describe());
        }
        match &call.outcome {
            CallOutcome::NotRun(_) | CallOutcome::Blocked if runs > 0 => {
                report("a request refused as not run has not run", describe())
            }
            CallOutcome::Answered if runs == 0 => {
                report("an answered request has run at an upstream", describe())
            }
            CallOutcome::Wrong(_) => report("an answer is complete and belongs to its request", describe()),
            CallOutcome::Forbidden(_) if !call.has_unknown_key => {
                report("a valid key and route are accepted", describe())
            }
            _ => {}
        }
        if call.stream_versions.len() > 1 {
            report(
                VERSION_INVARIANT,
                format!("{}: {:?}", call.attempt, call.stream_versions),
            );
        }
        if call.has_unknown_key && (runs > 0 || call.outcome == CallOutcome::Answered) {
            report("a request with an unknown key does not run", describe());
        }
    }
    for (service, arrivals) in &site.arrivals {
        let window = fullest_window(calls, service, arrivals);
        if let Some(excess) = window.filter(|window| window.used() > 1.0) {
            report(BUDGET_INVARIANT, format!("{service}: {excess}"));
        }
    }
    for (service, counts) in &site.crashing {
        if counts.is_excess() {
            report(
                "requests that crash upstreams are no longer sent",
                format!("{service}: {counts:?}"),
            );
        }
    }
    for block in &site.wrong_blocks {
        report(SOUND_INVARIANT, format!("{block:?} stayed in the store"));
    }
    let refused = calls
        .iter()
        .filter(|call| call.outcome == CallOutcome::Blocked && !call.crashes_upstreams);
    let refused = refused.count();
    if refused > ALLOWED_REFUSALS {
        report(SOUND_INVARIANT, format!("{refused} sound requests were refused"));
    }
    for run in &site.changed_runs {
        report(
            "an upstream gets the unchanged request with its customer and without its key",
            run.clone(),
        );
    }
    if site.usage_conflicts > 0 {
        report(
            "a usage window is never reported twice with different counts",
            format!("{} windows", site.usage_conflicts),
        );
    }
    if site.fence_rivals > 0 {
        report(
            "two holders of the duties never send one fencing number",
            format!("{} calls", site.fence_rivals),
        );
    }
    if site.is_usage_silent {
        report(
            "usage is reported after the recovery",
            format!("{} windows before it", site.windows_reported),
        );
    }
    for exit in &site.unexpected_exits {
        report(
            "no process exits unexpectedly or fails to shut down in time",
            exit.clone(),
        );
    }
    if final_requests.is_short() {
        let FinalRequests { sent, served } = final_requests;
        report(
            "callers are served after the recovery",
            format!("{served} of {sent} requests were answered"),
        );
    }
    violations
}

impl Display for SoakReport {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        let [sent, answered, not_run, unknown] = self.counts;
        write!(
            out,
            "seed {}: {} faults, {sent} requests, {answered} answered, {not_run} not run, {unknown} unknown, {:.2} served at \
             the end, {:.2} of the retry budget used, {} crashes and then {} requests that crash, {} usage windows, {} store eras",
            self.seed,
            self.schedule.len(),
            self.served_at_end,
            self.budget_used,
            self.crashing.crashes,
            self.crashing.arrivals,
            self.windows_reported,
            self.store_eras,
        )?;
        let Some(first) = self.violations.first() else {
            return Ok(());
        };
        write!(
            out,
            "\n  {} violations of invariants, the first: {first}\n  logs: {}",
            self.violations.len(),
            self.logs
        )?;
        for planned in &self.schedule {
            write!(
                out,
                "\n  {:.2} s to {:.2} s {:?}",
                planned.at.as_secs_f64(),
                (planned.at + planned.duration).as_secs_f64(),
                planned.fault
            )?;
        }
        Ok(())
    }
}
