//! Fault injection, shared by all stand-ins.
//!
//! A [`FaultPlan`] describes the faults. It can be set in process through [`FaultInjector`], or over HTTP
//! with `PUT /_standin/faults`; `GET` returns the current plan. Paths under `/_standin/` are exempt from call
//! faults, but are also unreachable while the listener is closed or the stand-in is paused.

mod plan;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

pub use self::plan::{CallBudget, FaultPlan, OutageKind, OutageWindow};

/// What a stand-in does with a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CallAction {
    /// Run and respond normally.
    #[default]
    Pass,
    /// Respond with 503 without running.
    Refuse,
    /// Neither run nor respond.
    Stall,
    /// Close the connection without running.
    DropCall,
    /// Run, then close the connection.
    DropAnswer,
    /// Run, then never respond.
    StallAnswer,
    /// Run, then respond with the answer to the previous request.
    CrossAnswer,
}

/// Fault applied to one call, with its delays.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallFault {
    /// What the stand-in does with the call.
    pub action: CallAction,
    /// Delay before the call runs or is refused.
    pub delay: Duration,
    /// Delay between the call and its response.
    pub answer_delay: Duration,
}

/// Availability of a stand-in, as its server applies it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Availability {
    /// The listener and all connections are closed.
    pub closed: bool,
    /// Nothing is read, run or answered while this is set.
    pub paused: bool,
    /// Number of restarts so far.
    pub restart_count: u64,
    /// Number of times that `silence_open` was applied to the open connections.
    pub silence_count: u64,
}

/// What happens to a streamed answer at its next token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamFault {
    /// Continue normally.
    None,
    /// Send nothing more, but keep the connection open.
    Stall,
    /// Close the connection.
    Cut,
}

#[derive(Debug)]
struct InjectorState {
    plan: FaultPlan,
    set_at: Instant,
    calls: u64,
}

/// Shared handle that sets and applies the faults of one stand-in.
#[derive(Clone, Debug)]
pub struct FaultInjector {
    state: Arc<Mutex<InjectorState>>,
    changed: watch::Sender<Availability>,
}

impl FaultInjector {
    /// Creates an injector with the given plan.
    pub fn new(plan: FaultPlan) -> Self {
        let set_at = Instant::now();
        let availability = Availability {
            closed: plan.is_closed_at(0),
            paused: plan.is_paused_at(0),
            ..Availability::default()
        };
        let state = InjectorState {
            plan,
            set_at,
            calls: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changed: watch::Sender::new(availability),
        }
    }

    /// Replaces the plan; its outage windows start counting now.
    pub fn set(&self, plan: FaultPlan) {
        let restarted = plan.restart_ms.is_some();
        let silenced = plan.silence_open;
        {
            let mut state = self.state();
            state.plan = plan;
            state.set_at = Instant::now();
        }
        self.changed.send_modify(|availability| {
            availability.restart_count += u64::from(restarted);
            availability.silence_count += u64::from(silenced);
        });
        self.refresh();
    }

    /// Changes fields of the plan; its outage windows start counting now.
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

    /// The current plan, with the remaining budgets.
    pub fn plan(&self) -> FaultPlan {
        self.state().plan.clone()
    }

    /// Number of calls received so far, whatever their outcome.
    pub fn calls_received(&self) -> u64 {
        self.state().calls
    }

    /// Decides what happens to a call, and counts it against the plan's budgets.
    pub fn begin_call(&self, method: &str, path: &str) -> CallFault {
        let mut state = self.state();
        state.calls += 1;
        let elapsed_ms = state.set_at.elapsed().as_millis() as u64;
        let plan = &mut state.plan;
        let outage = plan.outage_at(elapsed_ms);
        if !plan.covers(method, path) && outage.is_none() {
            return CallFault::default();
        }
        let action = match outage {
            Some(OutageKind::Refuse) => CallAction::Refuse,
            Some(OutageKind::Stall | OutageKind::Vanish) => CallAction::Stall,
            Some(OutageKind::Pause) => CallAction::Pass,
            None if plan.refuse.consume() => CallAction::Refuse,
            None if plan.stall.consume() => CallAction::Stall,
            None if plan.drop_call.consume() => CallAction::DropCall,
            None if plan.drop_answer.consume() => CallAction::DropAnswer,
            None if plan.stall_answer.consume() => CallAction::StallAnswer,
            None if plan.cross_answer.consume() => CallAction::CrossAnswer,
            None => CallAction::Pass,
        };
        CallFault {
            action,
            delay: Duration::from_millis(plan.delay_ms),
            answer_delay: Duration::from_millis(plan.answer_delay_ms),
        }
    }

    /// Kind of the current outage, if any.
    pub fn outage(&self) -> Option<OutageKind> {
        let state = self.state();
        let elapsed_ms = state.set_at.elapsed().as_millis() as u64;
        state.plan.outage_at(elapsed_ms)
    }

    /// Duration of work with the current slowdown.
    pub fn apply_slowdown(&self, work: Duration) -> Duration {
        match self.state().plan.slowdown {
            Some(factor) if factor > 0.0 => {
                Duration::try_from_secs_f64(work.as_secs_f64() * factor).unwrap_or(work)
            }
            _ => work,
        }
    }

    /// What happens to a streamed answer after `sent_tokens` tokens.
    pub fn stream_fault(&self, sent_tokens: u64) -> StreamFault {
        let state = self.state();
        let reached = |limit: Option<u64>| limit.is_some_and(|limit| sent_tokens >= limit);
        if reached(state.plan.cut_stream_after) {
            return StreamFault::Cut;
        }
        match reached(state.plan.stall_stream_after) {
            true => StreamFault::Stall,
            false => StreamFault::None,
        }
    }

    /// Subscribes to changes of the stand-in's availability.
    pub fn availability(&self) -> watch::Receiver<Availability> {
        self.changed.subscribe()
    }

    /// Waits until the stand-in is no longer paused.
    pub(crate) async fn wait_while_paused(&self) {
        let mut availability = self.availability();
        if availability
            .wait_for(|availability| !availability.paused)
            .await
            .is_err()
        {
            std::future::pending().await
        }
    }

    /// Updates the availability at the start and end of the plan's windows; never returns.
    pub(crate) async fn follow_plan(&self) {
        let mut changes = self.availability();
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
        let (closed, paused, boundary) = {
            let state = self.state();
            let elapsed_ms = state.set_at.elapsed().as_millis() as u64;
            let boundary = state.plan.next_boundary(elapsed_ms);
            let boundary = boundary.map(|at| state.set_at + Duration::from_millis(at));
            (
                state.plan.is_closed_at(elapsed_ms),
                state.plan.is_paused_at(elapsed_ms),
                boundary,
            )
        };
        self.changed.send_if_modified(|availability| {
            let modified = availability.closed != closed || availability.paused != paused;
            availability.closed = closed;
            availability.paused = paused;
            modified
        });
        boundary
    }

    fn state(&self) -> MutexGuard<'_, InjectorState> {
        self.state.lock().expect("no panic while held")
    }
}

impl Default for FaultInjector {
    fn default() -> Self {
        Self::new(FaultPlan::default())
    }
}
