//! Fault knobs that every stand-in has.
//!
//! A [`FaultPlan`] says what goes wrong. It can be set in process through [`FaultKnobs`], or over HTTP with
//! `PUT /_standin/faults`; `GET` shows the current one. Paths under `/_standin/` are never subject to it,
//! apart from a stand-in that is gone.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

/// How many calls a fault applies to.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallBudget {
    /// No call.
    #[default]
    None,
    /// The next so many calls.
    Next(u64),
    /// Every call until the plan is replaced.
    Every,
}

impl CallBudget {
    fn take(&mut self) -> bool {
        match self {
            Self::None | Self::Next(0) => false,
            Self::Next(left) => {
                *left -= 1;
                true
            }
            Self::Every => true,
        }
    }
}

/// How an outage shows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageKind {
    /// Calls get 503 at once.
    #[default]
    Refuse,
    /// Calls are read and never answered.
    Stall,
    /// The listener and all connections are closed.
    Vanish,
}

/// Span of time in which a stand-in is out of service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutageWindow {
    /// Start, in milliseconds after the plan was set.
    #[serde(default)]
    pub from_ms: u64,
    /// Length, in milliseconds.
    pub for_ms: u64,
    /// How it shows.
    #[serde(default)]
    pub kind: OutageKind,
}

/// What goes wrong at a stand-in.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Method of the calls that the call faults apply to; `None` for all.
    pub method: Option<String>,
    /// Start of the path of the calls that the call faults apply to; `None` for all.
    pub path: Option<String>,
    /// Delay before the effect, in milliseconds.
    pub delay_ms: u64,
    /// Delay between the effect and the answer, in milliseconds.
    pub answer_delay_ms: u64,
    /// Calls that are refused with 503 before any effect.
    pub refuse: CallBudget,
    /// Calls that are read and never answered, without effect; the connection stays open.
    pub stall: CallBudget,
    /// Calls that take effect, then lose their connection without an answer.
    pub drop_answer: CallBudget,
    /// Calls that take effect and are never answered; the connection stays open.
    pub stall_answer: CallBudget,
    /// Streamed answers fall silent after so many tokens; the connection stays open.
    pub stall_stream_after: Option<u64>,
    /// Streamed answers lose their connection after so many tokens.
    pub cut_stream_after: Option<u64>,
    /// Spans of time out of service.
    pub outages: Vec<OutageWindow>,
    /// The listener and all connections are closed until the plan is replaced in process.
    pub gone: bool,
    /// Vanish now, and come back after so many milliseconds with a new incarnation.
    pub restart_ms: Option<u64>,
}

impl FaultPlan {
    fn covers(&self, method: &str, path: &str) -> bool {
        let method_fits = self
            .method
            .as_deref()
            .is_none_or(|wanted| wanted.eq_ignore_ascii_case(method));
        let path_fits = self.path.as_deref().is_none_or(|wanted| path.starts_with(wanted));
        method_fits && path_fits
    }

    fn outage_at(&self, elapsed_ms: u64) -> Option<OutageKind> {
        self.outages
            .iter()
            .find(|window| elapsed_ms >= window.from_ms && elapsed_ms - window.from_ms < window.for_ms)
            .map(|window| window.kind)
    }

    fn next_boundary(&self, elapsed_ms: u64) -> Option<u64> {
        let starts = self.outages.iter().map(|window| window.from_ms);
        let ends = self
            .outages
            .iter()
            .map(|window| window.from_ms.saturating_add(window.for_ms));
        let restart = self.restart_ms;
        starts
            .chain(ends)
            .chain(restart)
            .filter(|boundary| *boundary > elapsed_ms)
            .min()
    }

    fn absent_at(&self, elapsed_ms: u64) -> bool {
        self.gone
            || self.restart_ms.is_some_and(|restart| elapsed_ms < restart)
            || self.outage_at(elapsed_ms) == Some(OutageKind::Vanish)
    }
}

/// What is to happen to one call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CallFate {
    /// Run and answer.
    #[default]
    Pass,
    /// Answer 503 without running.
    Refuse,
    /// Neither run nor answer.
    Stall,
    /// Run, then close the connection.
    DropAnswer,
    /// Run, then never answer.
    StallAnswer,
}

/// Fate of one call with its delays.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallFault {
    /// What happens.
    pub fate: CallFate,
    /// Delay before the effect.
    pub delay: Duration,
    /// Delay after the effect.
    pub answer_delay: Duration,
}

/// Whether a stand-in can be reached, and how often it was restarted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Presence {
    /// The listener and all connections are closed.
    pub absent: bool,
    /// Grows with every restart.
    pub restarts: u64,
}

#[derive(Debug)]
struct KnobState {
    plan: FaultPlan,
    set_at: Instant,
    generation: u64,
}

/// Shared handle on the faults of one stand-in.
#[derive(Clone, Debug)]
pub struct FaultKnobs {
    state: Arc<Mutex<KnobState>>,
    changed: watch::Sender<Presence>,
}

impl FaultKnobs {
    /// Knobs with the given plan.
    pub fn new(plan: FaultPlan) -> Self {
        let set_at = Instant::now();
        let presence = Presence {
            absent: plan.absent_at(0),
            restarts: 0,
        };
        let state = KnobState {
            plan,
            set_at,
            generation: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changed: watch::Sender::new(presence),
        }
    }

    /// Replaces the plan; its windows are counted from now.
    pub fn set(&self, plan: FaultPlan) {
        let restarted = plan.restart_ms.is_some();
        {
            let mut state = self.state();
            state.plan = plan;
            state.set_at = Instant::now();
            state.generation += 1;
        }
        self.changed
            .send_modify(|presence| presence.restarts += u64::from(restarted));
        self.refresh();
    }

    /// Changes single fields of the plan; its windows are counted from now.
    pub fn update(&self, change: impl FnOnce(&mut FaultPlan)) {
        let mut plan = self.plan();
        plan.restart_ms = None;
        change(&mut plan);
        self.set(plan);
    }

    /// Removes every fault.
    pub fn clear(&self) {
        self.set(FaultPlan::default());
    }

    /// The plan as it stands, with what is left of its budgets.
    pub fn plan(&self) -> FaultPlan {
        self.state().plan.clone()
    }

    /// Decides what happens to a call, and takes it off the plan's budgets.
    pub fn begin_call(&self, method: &str, path: &str) -> CallFault {
        let mut state = self.state();
        let elapsed_ms = state.set_at.elapsed().as_millis() as u64;
        let plan = &mut state.plan;
        let outage = plan.outage_at(elapsed_ms);
        if !plan.covers(method, path) && outage.is_none() {
            return CallFault::default();
        }
        let fate = match outage {
            Some(OutageKind::Refuse) => CallFate::Refuse,
            Some(OutageKind::Stall | OutageKind::Vanish) => CallFate::Stall,
            None if plan.refuse.take() => CallFate::Refuse,
            None if plan.stall.take() => CallFate::Stall,
            None if plan.drop_answer.take() => CallFate::DropAnswer,
            None if plan.stall_answer.take() => CallFate::StallAnswer,
            None => CallFate::Pass,
        };
        CallFault {
            fate,
            delay: Duration::from_millis(plan.delay_ms),
            answer_delay: Duration::from_millis(plan.answer_delay_ms),
        }
    }

    /// Watches whether the stand-in can be reached.
    pub fn presence(&self) -> watch::Receiver<Presence> {
        self.changed.subscribe()
    }

    /// Keeps the presence in step with the plan's windows; ends never.
    pub(crate) async fn follow_plan(&self) {
        let mut changes = self.presence();
        loop {
            changes.mark_unchanged();
            let boundary = self.refresh();
            let wait = async {
                match boundary {
                    Some(boundary) => tokio::time::sleep_until(boundary).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = wait => {},
                _ = changes.changed() => {},
            }
        }
    }

    fn refresh(&self) -> Option<Instant> {
        let (absent, boundary) = {
            let state = self.state();
            let elapsed_ms = state.set_at.elapsed().as_millis() as u64;
            let boundary = state.plan.next_boundary(elapsed_ms);
            let boundary = boundary.map(|at| state.set_at + Duration::from_millis(at));
            (state.plan.absent_at(elapsed_ms), boundary)
        };
        self.changed.send_if_modified(|presence| {
            let modified = presence.absent != absent;
            presence.absent = absent;
            modified
        });
        boundary
    }

    fn state(&self) -> MutexGuard<'_, KnobState> {
        self.state.lock().expect("no panic while held")
    }
}

impl Default for FaultKnobs {
    fn default() -> Self {
        Self::new(FaultPlan::default())
    }
}
