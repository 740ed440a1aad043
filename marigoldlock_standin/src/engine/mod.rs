//! Stand-in for a model engine.
//!
//! It batches continuously on tokio's clock ([`batch`]), caches prompt prefixes up to a limit ([`cache`]),
//! accepts orders, and generates the same tokens for the same prompt on every engine ([`expected_text`]), so
//! that a resumed stream can be compared with an unbroken one. In burst mode it sends its output as fast as
//! the client reads it. A change of role or version cuts running requests, so the orderer has to drain first.

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
use crate::faults::FaultInjector;
use crate::server::{DisconnectPolicy, StandinServer};

/// Maximum delay of steps that is caught up on, in milliseconds; time lost beyond it is skipped.
const MAX_STEP_LAG_MS: u64 = 50;

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
    faults: FaultInjector,
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
        let faults = FaultInjector::new(options.faults.clone());
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
        let server = StandinServer::start(listen, routes, &faults, DisconnectPolicy::Cancel).await?;
        let steps = tokio::spawn(run_steps(Arc::clone(&shared)));
        Ok(Self {
            server,
            shared,
            steps,
        })
    }

    /// Address the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Fault injector, which can be changed at any time.
    pub fn faults(&self) -> &FaultInjector {
        &self.shared.faults
    }

    /// Requests and orders that the engine received.
    pub fn seen(&self) -> EngineSeen {
        self.shared.state().seen()
    }

    /// Role, models, adapters and version, as of now.
    pub fn setup(&self) -> EngineSetup {
        self.shared.state().setup(Instant::now())
    }

    /// Closes the listener and all connections; the recorded requests stay readable.
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

    /// Stores the plan of the newest answer and returns the previous one.
    fn replace_last_answer(&self, plan: &AnswerPlan) -> Option<AnswerPlan> {
        let mut last = self.last_answer.lock().expect("no panic while held");
        last.replace(plan.clone())
    }
}

/// Runs the batch step by step, and restarts the engine when its fault injector does.
async fn run_steps(engine: Arc<SharedEngine>) {
    let mut availability = engine.faults.availability();
    let mut restarts = availability.borrow_and_update().restart_count;
    let mut due = Instant::now();
    loop {
        let seen = availability.borrow_and_update().restart_count;
        if seen != restarts {
            restarts = seen;
            engine.state().restart(Instant::now());
        }
        if availability.borrow().paused {
            let _ = availability.changed().await;
            due = Instant::now();
            continue;
        }
        let now = Instant::now();
        let step = engine.state().begin_step(now);
        let Some(step) = step else {
            tokio::select! {
                () = engine.work.notified() => {},
                _ = availability.changed() => {},
            }
            due = Instant::now();
            continue;
        };
        due = step_deadline(due, now, engine.faults.apply_slowdown(step));
        tokio::select! {
            () = tokio::time::sleep_until(due) => engine.state().end_step(Instant::now()),
            _ = availability.changed() => {},
        }
    }
}

// Timers are coarser than short steps, so a step is timed from the previous step's deadline, not from its
// actual end.
fn step_deadline(due: Instant, now: Instant, step: Duration) -> Instant {
    let earliest = now
        .checked_sub(Duration::from_millis(MAX_STEP_LAG_MS))
        .unwrap_or(now);
    due.max(earliest) + step
}
