//! Fault knobs that every stand-in has.
//!
//! A [`FaultPlan`] says what goes wrong. It can be set in process through [`FaultKnobs`], or over HTTP with
//! `PUT /_standin/faults`; `GET` shows the current one. Paths under `/_standin/` are never subject to it,
//! apart from a stand-in that is gone.

mod plan;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

pub use self::plan::{CallBudget, FaultPlan, OutageKind, OutageWindow};

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
    /// Close the connection without running.
    DropCall,
    /// Run, then close the connection.
    DropAnswer,
    /// Run, then never answer.
    StallAnswer,
    /// Run, then give the answer to the request before.
    CrossAnswer,
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
    /// Nothing is read, run or answered until this ends.
    pub paused: bool,
    /// Grows with every restart.
    pub restarts: u64,
    /// Grows whenever the open connections fall silent.
    pub silences: u64,
}

/// What is to happen to a streamed answer at its next token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamFault {
    /// Nothing.
    None,
    /// It falls silent; the connection stays open.
    Stall,
    /// Its connection is closed.
    Cut,
}

#[derive(Debug)]
struct KnobState {
    plan: FaultPlan,
    set_at: Instant,
    calls: u64,
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
            paused: plan.paused_at(0),
            ..Presence::default()
        };
        let state = KnobState {
            plan,
            set_at,
            calls: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changed: watch::Sender::new(presence),
        }
    }

    /// Replaces the plan; its windows are counted from now.
    pub fn set(&self, plan: FaultPlan) {
        let restarted = plan.restart_ms.is_some();
        let silenced = plan.silence_open;
        {
            let mut state = self.state();
            state.plan = plan;
            state.set_at = Instant::now();
        }
        self.changed.send_modify(|presence| {
            presence.restarts += u64::from(restarted);
            presence.silences += u64::from(silenced);
        });
        self.refresh();
    }

    /// Changes single fields of the plan; its windows are counted from now.
    pub fn update(&self, change: impl FnOnce(&mut FaultPlan)) {
        let mut plan = self.plan();
        plan.restart_ms = None;
        plan.silence_open = false;
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

    /// Calls that arrived so far, whatever became of them.
    pub fn calls_begun(&self) -> u64 {
        self.state().calls
    }

    /// Decides what happens to a call, and takes it off the plan's budgets.
    pub fn begin_call(&self, method: &str, path: &str) -> CallFault {
        let mut state = self.state();
        state.calls += 1;
        let elapsed_ms = state.set_at.elapsed().as_millis() as u64;
        let plan = &mut state.plan;
        let outage = plan.outage_at(elapsed_ms);
        if !plan.covers(method, path) && outage.is_none() {
            return CallFault::default();
        }
        let fate = match outage {
            Some(OutageKind::Refuse) => CallFate::Refuse,
            Some(OutageKind::Stall | OutageKind::Vanish) => CallFate::Stall,
            Some(OutageKind::Pause) => CallFate::Pass,
            None if plan.refuse.take() => CallFate::Refuse,
            None if plan.stall.take() => CallFate::Stall,
            None if plan.drop_call.take() => CallFate::DropCall,
            None if plan.drop_answer.take() => CallFate::DropAnswer,
            None if plan.stall_answer.take() => CallFate::StallAnswer,
            None if plan.cross_answer.take() => CallFate::CrossAnswer,
            None => CallFate::Pass,
        };
        CallFault {
            fate,
            delay: Duration::from_millis(plan.delay_ms),
            answer_delay: Duration::from_millis(plan.answer_delay_ms),
        }
    }

    /// How the stand-in is out of service now, if it is.
    pub fn outage(&self) -> Option<OutageKind> {
        let state = self.state();
        let elapsed_ms = state.set_at.elapsed().as_millis() as u64;
        state.plan.outage_at(elapsed_ms)
    }

    /// Time that work takes with the present slowdown.
    pub fn slow_down(&self, work: Duration) -> Duration {
        match self.state().plan.slowdown {
            Some(factor) if factor > 0.0 => {
                Duration::try_from_secs_f64(work.as_secs_f64() * factor).unwrap_or(work)
            }
            _ => work,
        }
    }

    /// What happens to a streamed answer that has given so many tokens.
    pub fn stream_fault(&self, given: u64) -> StreamFault {
        let state = self.state();
        let reached = |limit: Option<u64>| limit.is_some_and(|limit| given >= limit);
        if reached(state.plan.cut_stream_after) {
            return StreamFault::Cut;
        }
        match reached(state.plan.stall_stream_after) {
            true => StreamFault::Stall,
            false => StreamFault::None,
        }
    }

    /// Watches whether the stand-in can be reached.
    pub fn presence(&self) -> watch::Receiver<Presence> {
        self.changed.subscribe()
    }

    /// Waits until the stand-in isn't paused.
    pub(crate) async fn until_running(&self) {
        let mut presence = self.presence();
        if presence.wait_for(|presence| !presence.paused).await.is_err() {
            std::future::pending().await
        }
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
        let (absent, paused, boundary) = {
            let state = self.state();
            let elapsed_ms = state.set_at.elapsed().as_millis() as u64;
            let boundary = state.plan.next_boundary(elapsed_ms);
            let boundary = boundary.map(|at| state.set_at + Duration::from_millis(at));
            (
                state.plan.absent_at(elapsed_ms),
                state.plan.paused_at(elapsed_ms),
                boundary,
            )
        };
        self.changed.send_if_modified(|presence| {
            let modified = presence.absent != absent || presence.paused != paused;
            presence.absent = absent;
            presence.paused = paused;
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
