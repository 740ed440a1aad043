//! Stand-in for a model engine.
//!
//! It batches continuously on tokio's clock ([`batch`]), caches prompt prefixes in limited room ([`cache`]),
//! takes orders, and gives the same tokens for the same prompt on every engine ([`expected_text`]), so that a
//! resumed stream can be compared with an unbroken one. In burst mode it gives its output as fast as the
//! reader takes it. A change of role or version cuts what runs: whoever orders one has to drain first.

mod answer;
mod batch;
mod cache;
mod chat;
mod chunk;
mod options;
mod refusal;
mod routes;
mod seen;
mod setup;
mod state;
#[cfg(test)]
mod tests;
mod text;
mod weights;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use self::answer::AnswerPlan;
pub use self::options::EngineOptions;
pub use self::seen::{EngineSeen, RequestOutcome, SeenOrder, SeenRequest};
pub use self::setup::EngineSetup;
use self::state::EngineState;
pub use self::text::{OutputText, expected_text};
pub use self::weights::WeightStore;
use crate::clock::UnixClock;
use crate::faults::FaultKnobs;
use crate::server::{CallerLoss, StandinServer};

/// Most time that steps may be late and still be caught up with, in milliseconds.
const MAX_LATE_MS: u64 = 50;

/// Running engine stand-in.
#[derive(Debug)]
pub struct EngineStandin {
    server: StandinServer,
    shared: Arc<SharedEngine>,
    steps: JoinHandle<()>,
}

#[derive(Debug)]
struct SharedEngine {
    options: EngineOptions,
    clock: UnixClock,
    faults: FaultKnobs,
    work: Notify,
    last_answer: Mutex<Option<AnswerPlan>>,
    state: Mutex<EngineState>,
}

impl EngineStandin {
    /// Starts the engine.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start(options: EngineOptions) -> eyre::Result<Self> {
        let faults = FaultKnobs::new(options.faults.clone());
        let shared = Arc::new(SharedEngine {
            state: Mutex::new(EngineState::new(options.clone())),
            options,
            clock: UnixClock::new(),
            faults: faults.clone(),
            work: Notify::new(),
            last_answer: Mutex::default(),
        });
        let routes = routes::routes(Arc::clone(&shared));
        let listen = shared.options.listen;
        let server = StandinServer::start(listen, routes, &faults, CallerLoss::Cancel).await?;
        let steps = tokio::spawn(run_steps(Arc::clone(&shared)));
        Ok(Self {
            server,
            shared,
            steps,
        })
    }

    /// Address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The faults, to be changed at any time.
    pub fn faults(&self) -> &FaultKnobs {
        &self.shared.faults
    }

    /// Requests and orders that the engine saw.
    pub fn seen(&self) -> EngineSeen {
        self.shared.state().seen()
    }

    /// Role, models, adapters and version, as they are now.
    pub fn setup(&self) -> EngineSetup {
        self.shared.state().setup(Instant::now())
    }

    /// Closes the listener and all connections, and keeps what was seen.
    pub async fn stop(&self) {
        self.steps.abort();
        self.server.stop().await;
    }

    /// Closes the listener and all connections.
    pub async fn close(self) {
        self.steps.abort();
        self.server.close().await;
    }
}

impl SharedEngine {
    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no panic while held")
    }

    /// Keeps the plan of an answer, and gives the one before it.
    fn swap_answer(&self, plan: &AnswerPlan) -> Option<AnswerPlan> {
        let mut last = self.last_answer.lock().expect("no panic while held");
        last.replace(plan.clone())
    }
}

/// Runs the batch step by step, and starts the engine again when its faults say so.
async fn run_steps(engine: Arc<SharedEngine>) {
    let mut presence = engine.faults.presence();
    let mut restarts = presence.borrow_and_update().restarts;
    let mut due = Instant::now();
    loop {
        let seen = presence.borrow_and_update().restarts;
        if seen != restarts {
            restarts = seen;
            engine.state().restart(Instant::now());
        }
        if presence.borrow().paused {
            let _ = presence.changed().await;
            due = Instant::now();
            continue;
        }
        let now = Instant::now();
        let step = engine.state().begin_step(now);
        let Some(step) = step else {
            tokio::select! {
                () = engine.work.notified() => {},
                _ = presence.changed() => {},
            }
            due = Instant::now();
            continue;
        };
        due = step_end(due, now, engine.faults.slow_down(step));
        tokio::select! {
            () = tokio::time::sleep_until(due) => engine.state().end_step(Instant::now()),
            _ = presence.changed() => {},
        }
    }
}

// Timers are coarser than short steps, so a step begins when the one before was due, not when it ended.
fn step_end(due: Instant, now: Instant, step: Duration) -> Instant {
    let earliest = now.checked_sub(Duration::from_millis(MAX_LATE_MS)).unwrap_or(now);
    due.max(earliest) + step
}
