//! What the home of a key remembers.
//!
//! The home's memory is bounded, so it must forget, and a forgotten key must not run again. Keys are
//! therefore kept by generation: each has a home token of its own, derived from the incarnation, and addresses
//! are given out with the newest. A generation is forgotten whole, after which its token is nobody's home and its keys are answered as
//! unknown.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use marigoldlock_wire::peer::CallAnswer;
use marigoldlock_wire::record::calls::{CallHash, RequestFingerprint};

use super::key::CallName;
use crate::membership::{MAX_HOME_GENERATIONS, home_token};
use crate::prelude::*;

/// Generations, each with its share of the keys, that fill the table.
const GENERATIONS_FILLING_TABLE: usize = 4;

/// Bounds of a home's memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HomeLimits {
    /// How long a generation takes new keys before the next one begins.
    pub generation: Duration,
    /// How long a generation is kept after the next one began.
    pub keep: Duration,
    /// Most keys in all.
    pub keys: usize,
    /// Most keys of one customer.
    pub keys_per_customer: usize,
    /// Most bytes of kept answers.
    pub answer_bytes: usize,
    /// Largest answer that is kept, in bytes.
    pub largest_answer: usize,
    /// Most requests that wait for one running call.
    pub joiners: u32,
}

impl Default for HomeLimits {
    fn default() -> Self {
        Self {
            generation: Duration::from_secs(3_600),
            keep: Duration::from_secs(6 * 3_600),
            keys: 200_000,
            keys_per_customer: 50_000,
            answer_bytes: 16 << 20,
            largest_answer: 1 << 20,
            joiners: 16,
        }
    }
}

/// Names one run of a call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CallTicket {
    home: Incarnation,
    call: CallHash,
    run: u64,
}

impl CallTicket {
    /// The call that runs.
    pub fn call(&self) -> CallHash {
        self.call
    }
}

/// What to do with a call at its home.
#[derive(Clone, Debug, PartialEq)]
pub enum HomeDecision {
    /// Run it and settle the ticket.
    Run(CallTicket),
    /// Wait for the run of this ticket; its answer is this request's answer too.
    Join(CallTicket),
    /// Give the answer that the call had.
    Replay(Arc<CallAnswer>),
    /// Tell the caller.
    Refuse(ResultCode),
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// The service answered.
    Answered(Arc<CallAnswer>),
    /// No byte was sent, or the service is known not to have run it.
    NotRun,
    /// It was sent and no answer came.
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
    print: RequestFingerprint,
    customer: Option<CustomerId>,
    state: CallState,
}

#[derive(Debug)]
struct Generation {
    home: Incarnation,
    begun: MonoTime,
    retired: Option<MonoTime>,
    calls: FastMap<CallHash, CallEntry>,
    running: usize,
}

/// The calls whose home is this instance.
#[derive(Debug)]
pub struct HomeTable {
    incarnation: Incarnation,
    begun: u64,
    limits: HomeLimits,
    generations: VecDeque<Generation>,
    per_customer: FastMap<Option<CustomerId>, usize>,
    kept: VecDeque<(Incarnation, CallHash)>,
    kept_bytes: usize,
    next_run: u64,
    leaving: bool,
}

impl HomeTable {
    /// The empty table of an incarnation.
    pub fn new(incarnation: Incarnation, limits: HomeLimits, now: MonoTime) -> Self {
        let mut table = Self {
            incarnation,
            begun: 0,
            limits,
            generations: VecDeque::new(),
            per_customer: FastMap::default(),
            kept: VecDeque::new(),
            kept_bytes: 0,
            next_run: 0,
            leaving: false,
        };
        table.begin_generation(now);
        table
    }

    /// The home token to give out with addresses.
    pub fn home(&self) -> Incarnation {
        self.generations.back().expect("a table has a generation").home
    }

    /// All home tokens whose keys run here, oldest first.
    pub fn homes(&self) -> impl Iterator<Item = Incarnation> + '_ {
        self.generations.iter().map(|generation| generation.home)
    }

    /// True if keys of the token run here.
    pub fn is_home(&self, home: Incarnation) -> bool {
        self.homes().any(|known| known == home)
    }

    /// Begins a generation when the newest is old or full enough, and forgets old ones that run nothing.
    pub fn tick(&mut self, now: MonoTime) {
        if self.wants_generation(now) {
            self.begin_generation(now);
        }
        while self
            .generations
            .front()
            .is_some_and(|oldest| self.is_expired(oldest, now))
        {
            let Some(oldest) = self.generations.pop_front() else {
                return;
            };
            self.forget(oldest);
        }
    }

    /// Takes no new calls from now on; known ones are still answered.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Calls remembered.
    pub fn len(&self) -> usize {
        self.generations
            .iter()
            .map(|generation| generation.calls.len())
            .sum()
    }

    /// True if no call is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Calls running.
    pub fn running(&self) -> usize {
        self.generations.iter().map(|generation| generation.running).sum()
    }

    /// Bytes of answers kept.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Decides about a call whose key names `home`.
    pub fn begin(
        &mut self,
        home: Incarnation,
        name: &CallName<'_>,
        print: RequestFingerprint,
    ) -> HomeDecision {
        let call = name.hash();
        let joiners_allowed = self.limits.joiners;
        let Some(generation) = self.generation_mut(home) else {
            return HomeDecision::Refuse(ResultCode::HomeGone);
        };
        match generation.calls.get_mut(&call) {
            Some(entry) if entry.print != print => HomeDecision::Refuse(ResultCode::IdempotencyKeyReused),
            Some(entry) => decide_known(entry, home, call, joiners_allowed),
            None => self.begin_new(home, name, call, print),
        }
    }

    /// Ends the ticket's run; false if the ticket is not running.
    ///
    /// A call that was not run is forgotten, so that a later request may run it.
    pub fn settle(&mut self, ticket: CallTicket, outcome: CallOutcome) -> bool {
        let largest = self.limits.largest_answer;
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
            CallOutcome::Answered(answer) if answer_bytes(&answer) > largest => {
                entry.state = CallState::AnswerDropped;
            }
            CallOutcome::Answered(answer) => {
                let bytes = answer_bytes(&answer);
                entry.state = CallState::Answered(answer);
                self.kept.push_back((ticket.home, ticket.call));
                self.kept_bytes += bytes;
                self.drop_old_answers();
            }
        }
        true
    }

    fn wants_generation(&self, now: MonoTime) -> bool {
        let newest = self.generations.back().expect("a table has a generation");
        let is_old = now.since(newest.begun) >= self.limits.generation;
        let is_full = newest.calls.len() * GENERATIONS_FILLING_TABLE >= self.limits.keys;
        (is_old || is_full) && self.begun < MAX_HOME_GENERATIONS
    }

    fn begin_generation(&mut self, now: MonoTime) {
        if let Some(newest) = self.generations.back_mut() {
            newest.retired = Some(now);
        }
        self.generations.push_back(Generation {
            home: home_token(self.incarnation, self.begun),
            begun: now,
            retired: None,
            calls: FastMap::default(),
            running: 0,
        });
        self.begun += 1;
    }

    fn begin_new(
        &mut self,
        home: Incarnation,
        name: &CallName<'_>,
        call: CallHash,
        print: RequestFingerprint,
    ) -> HomeDecision {
        if self.leaving {
            return HomeDecision::Refuse(ResultCode::InstanceLeaving);
        }
        if self.len() >= self.limits.keys {
            return HomeDecision::Refuse(ResultCode::InstanceOverloaded);
        }
        let customer = name.customer.map(CustomerId::from);
        let count = self.per_customer.entry(customer.clone()).or_default();
        if *count >= self.limits.keys_per_customer {
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
                print,
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
            self.uncount(entry.customer);
        }
    }

    fn uncount(&mut self, customer: Option<CustomerId>) {
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
            .retired
            .is_some_and(|retired| now.since(retired) >= self.limits.keep);
        is_old && generation.running == 0
    }

    fn forget(&mut self, generation: Generation) {
        self.kept.retain(|(home, _)| *home != generation.home);
        for entry in generation.calls.into_values() {
            if let CallState::Answered(answer) = &entry.state {
                self.kept_bytes -= answer_bytes(answer);
            }
            self.uncount(entry.customer);
        }
    }

    fn drop_old_answers(&mut self) {
        while self.kept_bytes > self.limits.answer_bytes {
            let Some((home, call)) = self.kept.pop_front() else {
                return;
            };
            let entry = self
                .generation_mut(home)
                .and_then(|generation| generation.calls.get_mut(&call));
            let Some(entry) = entry else {
                continue;
            };
            if let CallState::Answered(answer) = &entry.state {
                let bytes = answer_bytes(answer);
                entry.state = CallState::AnswerDropped;
                self.kept_bytes -= bytes;
            }
        }
    }
}

fn decide_known(entry: &mut CallEntry, home: Incarnation, call: CallHash, allowed: u32) -> HomeDecision {
    match &mut entry.state {
        CallState::Running { joiners, .. } if *joiners >= allowed => {
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

/// Memory that a kept answer takes, in bytes.
pub(super) fn answer_bytes(answer: &CallAnswer) -> usize {
    match answer {
        CallAnswer::Answered { headers, body, .. } => {
            let headers: usize = headers.iter().map(|(name, value)| name.len() + value.len()).sum();
            headers + body.len()
        }
        CallAnswer::Failed { .. } => 0,
    }
}
