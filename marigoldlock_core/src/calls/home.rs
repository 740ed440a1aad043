//! Table of the calls whose home is this instance.
//!
//! The table is bounded, so old keys must be removed, and a removed key must not run again. Keys are
//! therefore grouped into generations. Each generation has its own home token, derived from the incarnation,
//! and the address answer contains the newest token. A generation is removed as a whole; after that its token
//! has no home, and calls with its keys are refused with [`ResultCode::HomeGone`].

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use marigoldlock_wire::peer::CallAnswer;
use marigoldlock_wire::record::calls::{CallHash, RequestFingerprint};

use super::key::CallIdentity;
use crate::membership::{MAX_HOME_GENERATIONS, home_token};
use crate::prelude::*;

/// A generation is full when its number of keys reaches the maximum divided by this number.
const FULL_GENERATIONS_PER_TABLE: usize = 4;

/// Limits of a [`HomeTable`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HomeLimits {
    /// How long addresses are given out with one generation's token before the next generation starts.
    pub generation_duration: Duration,
    /// How long a generation is kept after the next one has started.
    pub retention: Duration,
    /// Maximum number of keys.
    pub max_keys: usize,
    /// Maximum number of keys of one customer.
    pub max_keys_per_customer: usize,
    /// Maximum total size of the stored answers, in bytes.
    pub max_stored_bytes: usize,
    /// Maximum size of a stored answer, in bytes.
    pub max_answer_bytes: usize,
    /// Maximum number of requests that wait for one running call.
    pub max_joiners: u32,
}

impl Default for HomeLimits {
    fn default() -> Self {
        Self {
            generation_duration: Duration::from_secs(3_600),
            retention: Duration::from_secs(6 * 3_600),
            max_keys: 200_000,
            max_keys_per_customer: 50_000,
            max_stored_bytes: 16 << 20,
            max_answer_bytes: 1 << 20,
            max_joiners: 16,
        }
    }
}

/// Identifies one run of a call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CallTicket {
    home: Incarnation,
    call: CallHash,
    run: u64,
}

impl CallTicket {
    /// Hash of the call.
    pub fn call(&self) -> CallHash {
        self.call
    }
}

/// Decision about a call at its home.
#[derive(Clone, Debug, PartialEq)]
pub enum HomeDecision {
    /// Run the call and then settle the ticket.
    Run(CallTicket),
    /// Wait for the run of this ticket and return its answer.
    Join(CallTicket),
    /// Return the stored answer of the call.
    Replay(Arc<CallAnswer>),
    /// Refuse the request with this code.
    Refuse(ResultCode),
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// The service answered.
    Answered(Arc<CallAnswer>),
    /// No byte was sent, or the service is known not to have run it.
    NotRun,
    /// It was sent, but no answer was received.
    Unknown,
}

#[derive(Debug)]
enum CallState {
    Running { run: u64, joiners: u32 },
    Answered(Arc<CallAnswer>),
    AnswerDropped,
    Unknown,
}

#[derive(Debug)]
struct CallEntry {
    fingerprint: RequestFingerprint,
    customer: Option<CustomerId>,
    state: CallState,
}

#[derive(Debug)]
struct Generation {
    home: Incarnation,
    started_at: MonoTime,
    retired_at: Option<MonoTime>,
    calls: FastMap<CallHash, CallEntry>,
    running: usize,
}

/// The calls whose home is this instance.
#[derive(Debug)]
pub struct HomeTable {
    incarnation: Incarnation,
    generations_started: u64,
    limits: HomeLimits,
    generations: VecDeque<Generation>,
    per_customer: FastMap<Option<CustomerId>, usize>,
    /// Calls with a stored answer, oldest first.
    stored: VecDeque<(Incarnation, CallHash)>,
    stored_bytes: usize,
    next_run: u64,
    leaving: bool,
}

impl HomeTable {
    /// Creates the empty table of an incarnation.
    pub fn new(incarnation: Incarnation, limits: HomeLimits, now: MonoTime) -> Self {
        let mut table = Self {
            incarnation,
            generations_started: 0,
            limits,
            generations: VecDeque::new(),
            per_customer: FastMap::default(),
            stored: VecDeque::new(),
            stored_bytes: 0,
            next_run: 0,
            leaving: false,
        };
        table.start_generation(now);
        table
    }

    /// The home token to give out with addresses.
    pub fn token(&self) -> Incarnation {
        self.generations.back().expect("a table has a generation").home
    }

    /// All home tokens whose keys run here, oldest first.
    pub fn tokens(&self) -> impl Iterator<Item = Incarnation> + '_ {
        self.generations.iter().map(|generation| generation.home)
    }

    /// Returns true if calls with keys of this token run here.
    pub fn is_home(&self, home: Incarnation) -> bool {
        self.tokens().any(|known| known == home)
    }

    /// Starts a generation if the newest is old or full, and removes expired generations without running calls.
    pub fn tick(&mut self, now: MonoTime) {
        if self.needs_new_generation(now) {
            self.start_generation(now);
        }
        while self
            .generations
            .front()
            .is_some_and(|oldest| self.is_expired(oldest, now))
        {
            let Some(oldest) = self.generations.pop_front() else {
                return;
            };
            self.remove_generation(oldest);
        }
    }

    /// Stops accepting new calls; known calls are still answered.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Number of calls in the table.
    pub fn len(&self) -> usize {
        self.generations
            .iter()
            .map(|generation| generation.calls.len())
            .sum()
    }

    /// Returns true if the table holds no calls.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of running calls.
    pub fn running(&self) -> usize {
        self.generations.iter().map(|generation| generation.running).sum()
    }

    /// Total size of the stored answers, in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Decides what to do with a call whose key names `home`.
    pub fn begin(
        &mut self,
        home: Incarnation,
        identity: &CallIdentity<'_>,
        fingerprint: RequestFingerprint,
    ) -> HomeDecision {
        let call = identity.hash();
        let max_joiners = self.limits.max_joiners;
        let Some(generation) = self.generation_mut(home) else {
            return HomeDecision::Refuse(ResultCode::HomeGone);
        };
        match generation.calls.get_mut(&call) {
            Some(entry) if entry.fingerprint != fingerprint => {
                HomeDecision::Refuse(ResultCode::IdempotencyKeyReused)
            }
            Some(entry) => decide_existing(entry, home, call, max_joiners),
            None => self.start_call(home, identity, call, fingerprint),
        }
    }

    /// Ends the run of the ticket; returns false if that run is not in progress.
    ///
    /// A call that was not run is removed, so that a later request may run it.
    pub fn settle(&mut self, ticket: CallTicket, outcome: CallOutcome) -> bool {
        let max_bytes = self.limits.max_answer_bytes;
        let Some(generation) = self.generation_mut(ticket.home) else {
            return false;
        };
        let Some(entry) = generation.calls.get_mut(&ticket.call) else {
            return false;
        };
        if !matches!(entry.state, CallState::Running { run, .. } if run == ticket.run) {
            return false;
        }
        generation.running -= 1;
        match outcome {
            CallOutcome::Unknown => entry.state = CallState::Unknown,
            CallOutcome::NotRun => self.remove(ticket),
            CallOutcome::Answered(answer) if answer_size(&answer) > max_bytes => {
                entry.state = CallState::AnswerDropped;
            }
            CallOutcome::Answered(answer) => {
                let bytes = answer_size(&answer);
                entry.state = CallState::Answered(answer);
                self.stored.push_back((ticket.home, ticket.call));
                self.stored_bytes += bytes;
                self.evict_answers();
            }
        }
        true
    }

    fn needs_new_generation(&self, now: MonoTime) -> bool {
        let newest = self.generations.back().expect("a table has a generation");
        let is_old = now.since(newest.started_at) >= self.limits.generation_duration;
        let is_full = newest.calls.len() * FULL_GENERATIONS_PER_TABLE >= self.limits.max_keys;
        (is_old || is_full) && self.generations_started < MAX_HOME_GENERATIONS
    }

    fn start_generation(&mut self, now: MonoTime) {
        if let Some(newest) = self.generations.back_mut() {
            newest.retired_at = Some(now);
        }
        self.generations.push_back(Generation {
            home: home_token(self.incarnation, self.generations_started),
            started_at: now,
            retired_at: None,
            calls: FastMap::default(),
            running: 0,
        });
        self.generations_started += 1;
    }

    fn start_call(
        &mut self,
        home: Incarnation,
        identity: &CallIdentity<'_>,
        call: CallHash,
        fingerprint: RequestFingerprint,
    ) -> HomeDecision {
        if self.leaving {
            return HomeDecision::Refuse(ResultCode::InstanceLeaving);
        }
        if self.len() >= self.limits.max_keys {
            return HomeDecision::Refuse(ResultCode::InstanceOverloaded);
        }
        let customer = identity.customer.map(CustomerId::from);
        let count = self.per_customer.entry(customer.clone()).or_default();
        if *count >= self.limits.max_keys_per_customer {
            return HomeDecision::Refuse(ResultCode::CustomerLimit);
        }
        *count += 1;
        self.next_run += 1;
        let run = self.next_run;
        let generation = self
            .generation_mut(home)
            .expect("the caller found the generation");
        let state = CallState::Running { run, joiners: 0 };
        generation.calls.insert(
            call,
            CallEntry {
                fingerprint,
                customer,
                state,
            },
        );
        generation.running += 1;
        HomeDecision::Run(CallTicket { home, call, run })
    }

    fn generation_mut(&mut self, home: Incarnation) -> Option<&mut Generation> {
        self.generations
            .iter_mut()
            .find(|generation| generation.home == home)
    }

    fn remove(&mut self, ticket: CallTicket) {
        let Some(generation) = self.generation_mut(ticket.home) else {
            return;
        };
        if let Some(entry) = generation.calls.remove(&ticket.call) {
            self.decrement_customer(entry.customer);
        }
    }

    fn decrement_customer(&mut self, customer: Option<CustomerId>) {
        let Some(count) = self.per_customer.get_mut(&customer) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.per_customer.remove(&customer);
        }
    }

    fn is_expired(&self, generation: &Generation, now: MonoTime) -> bool {
        let is_old = generation
            .retired_at
            .is_some_and(|retired_at| now.since(retired_at) >= self.limits.retention);
        is_old && generation.running == 0
    }

    fn remove_generation(&mut self, generation: Generation) {
        self.stored.retain(|(home, _)| *home != generation.home);
        for entry in generation.calls.into_values() {
            if let CallState::Answered(answer) = &entry.state {
                self.stored_bytes -= answer_size(answer);
            }
            self.decrement_customer(entry.customer);
        }
    }

    fn evict_answers(&mut self) {
        while self.stored_bytes > self.limits.max_stored_bytes {
            let Some((home, call)) = self.stored.pop_front() else {
                return;
            };
            let entry = self
                .generation_mut(home)
                .and_then(|generation| generation.calls.get_mut(&call));
            let Some(entry) = entry else {
                continue;
            };
            if let CallState::Answered(answer) = &entry.state {
                let bytes = answer_size(answer);
                entry.state = CallState::AnswerDropped;
                self.stored_bytes -= bytes;
            }
        }
    }
}

fn decide_existing(
    entry: &mut CallEntry,
    home: Incarnation,
    call: CallHash,
    max_joiners: u32,
) -> HomeDecision {
    match &mut entry.state {
        CallState::Running { joiners, .. } if *joiners >= max_joiners => {
            HomeDecision::Refuse(ResultCode::StillRunning)
        }
        CallState::Running { run, joiners } => {
            *joiners += 1;
            HomeDecision::Join(CallTicket {
                home,
                call,
                run: *run,
            })
        }
        CallState::Answered(answer) => HomeDecision::Replay(Arc::clone(answer)),
        CallState::AnswerDropped => HomeDecision::Refuse(ResultCode::AnswerNotKept),
        CallState::Unknown => HomeDecision::Refuse(ResultCode::OutcomeUnknown),
    }
}

/// Size of an answer in memory, in bytes.
pub(super) fn answer_size(answer: &CallAnswer) -> usize {
    match answer {
        CallAnswer::Answered { headers, body, .. } => {
            let headers: usize = headers.iter().map(|(name, value)| name.len() + value.len()).sum();
            headers + body.len()
        }
        CallAnswer::Failed { .. } => 0,
    }
}
