//! Relay of one streamed answer across attempts.

use std::ops::Range;

use bytes::Bytes;
use marigoldlock_wire::engine::{ChatUsage, ResumePoint};
use serde_json::json;

use super::budget::RetryBudget;
use super::event::{ChunkView, StreamEvent, parse_event};
use super::failure::{FailureKind, RetryRule};
use super::splitter::SseSplitter;
use super::step::{Attempt, AttemptId, EchoedIds, RecoveryStep, RelayLimits, RelayStep, StreamTotals};
use crate::prelude::*;

/// Last event of a stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Idle,
    Connecting,
    AwaitingToken,
    Streaming,
    Ended,
}

enum EventAction {
    Forward,
    Drop,
    Replace(Bytes),
    Done,
    Fail(FailureKind),
}

/// State of one caller's stream.
#[derive(Debug)]
pub struct StreamRelay {
    request: RequestId,
    limits: RelayLimits,
    attempt: AttemptId,
    phase: Phase,
    last_progress: MonoTime,
    splitter: SseSplitter,
    answer_id: Option<Box<str>>,
    attempt_answer_id: Option<Box<str>>,
    has_output: bool,
    finished: bool,
    text: Option<String>,
    tokens: u64,
    usage: Option<ChatUsage>,
}

impl StreamRelay {
    /// Creates the relay of a request before its first attempt.
    pub fn new(request: RequestId, limits: RelayLimits) -> Self {
        Self {
            request,
            limits,
            attempt: AttemptId(0),
            phase: Phase::Idle,
            last_progress: MonoTime::ZERO,
            splitter: SseSplitter::default(),
            answer_id: None,
            attempt_answer_id: None,
            has_output: false,
            finished: false,
            text: Some(String::new()),
            tokens: 0,
            usage: None,
        }
    }

    /// Starts the next attempt; input from earlier attempts is dropped from now on.
    pub fn begin_attempt(&mut self, now: MonoTime) -> Attempt {
        self.attempt = AttemptId(self.attempt.0 + 1);
        self.enter(Phase::Connecting, now);
        self.splitter = SseSplitter::default();
        self.attempt_answer_id = None;
        Attempt {
            id: self.attempt,
            resume: self.resume_point(),
        }
    }

    /// Handles the end of sending the request on a connection.
    pub fn on_sent(&mut self, attempt: AttemptId, now: MonoTime) {
        if attempt == self.attempt && self.phase == Phase::Connecting {
            self.enter(Phase::AwaitingToken, now);
        }
    }

    /// Handles the head of an answer.
    pub fn on_head(&mut self, attempt: AttemptId, echo: EchoedIds, now: MonoTime) -> RelayStep {
        if !self.is_current(attempt) {
            return RelayStep::Stale;
        }
        let expected = EchoedIds {
            request: Some(self.request),
            attempt: Some(self.attempt),
        };
        if echo != expected {
            return RelayStep::Failed(FailureKind::Crossed);
        }
        self.on_sent(attempt, now);
        RelayStep::Continue
    }

    /// Handles bytes of an answer's body and appends the bytes to send to the caller to `out`.
    pub fn on_chunk(
        &mut self,
        attempt: AttemptId,
        chunk: Bytes,
        now: MonoTime,
        out: &mut Vec<Bytes>,
    ) -> RelayStep {
        if !self.is_current(attempt) {
            return RelayStep::Stale;
        }
        if self.splitter.push(chunk).is_err() {
            return RelayStep::Failed(FailureKind::Broken);
        }
        let block = self.splitter.block().clone();
        let mut run = 0..0;
        let step = loop {
            let Some(range) = self.splitter.next_range() else {
                break RelayStep::Continue;
            };
            match self.handle_event(&block[range.clone()], now) {
                EventAction::Forward => extend_run(&mut run, range, &block, out),
                EventAction::Drop => {}
                EventAction::Replace(event) => {
                    flush_run(&mut run, &block, out);
                    out.push(event);
                }
                EventAction::Done => {
                    extend_run(&mut run, range, &block, out);
                    self.phase = Phase::Ended;
                    break RelayStep::Ended(self.totals());
                }
                EventAction::Fail(kind) => break RelayStep::Failed(kind),
            }
        };
        flush_run(&mut run, &block, out);
        step
    }

    /// Handles a failed attempt and decides how to complete the answer.
    ///
    /// Must be called once for each failed attempt, including one reported by [`RelayStep::Failed`]. A body
    /// that ends without its last event counts as [`FailureKind::Broken`].
    pub fn on_attempt_failed(
        &mut self,
        attempt: AttemptId,
        kind: FailureKind,
        budget: &mut RetryBudget,
        now: MonoTime,
    ) -> RecoveryStep {
        if !self.is_current(attempt) {
            return RecoveryStep::Stale;
        }
        if self.finished {
            return self.complete();
        }
        let allowed = self.attempt.0 < self.limits.max_attempts
            && self.text.is_some()
            && match kind.retry_rule(true) {
                RetryRule::Free => true,
                RetryRule::Budgeted => budget.try_spend(now),
                RetryRule::Never => false,
            };
        if !allowed {
            self.phase = Phase::Ended;
            return RecoveryStep::GiveUp(self.give_up_code(kind));
        }
        self.phase = Phase::Idle;
        // From here on input of the failed attempt is stale, even before the next attempt begins.
        match self.resume_point() {
            Some(point) => RecoveryStep::Resume(point),
            None => RecoveryStep::Retry,
        }
    }

    /// Returns the time at which the current phase times out, or `None` if no attempt is running.
    pub fn deadline(&self) -> Option<MonoTime> {
        let progress = &self.limits.progress;
        let limit = match self.phase {
            Phase::Idle | Phase::Ended => return None,
            Phase::Connecting => progress.connect,
            Phase::AwaitingToken => progress.first_token,
            Phase::Streaming => progress.between_tokens,
        };
        Some(self.last_progress + limit)
    }

    /// Returns the kind of failure if the deadline of the current phase has passed.
    pub fn timeout_kind(&self) -> FailureKind {
        match self.phase {
            Phase::Connecting => FailureKind::NotConnected,
            _ => FailureKind::TimedOut,
        }
    }

    /// Returns the totals so far.
    pub fn totals(&self) -> StreamTotals {
        StreamTotals {
            tokens: self.tokens,
            usage: self.usage,
            attempts: self.attempt.0,
        }
    }

    /// Returns true once any bytes were passed on to the caller.
    pub fn has_output(&self) -> bool {
        self.has_output
    }

    /// Returns the heap memory held for the stream, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.text.as_ref().map_or(0, String::capacity) + self.splitter.buffered_bytes()
    }

    fn enter(&mut self, phase: Phase, now: MonoTime) {
        self.phase = phase;
        self.last_progress = now;
    }

    fn is_current(&self, attempt: AttemptId) -> bool {
        attempt == self.attempt && !matches!(self.phase, Phase::Idle | Phase::Ended)
    }

    fn resume_point(&self) -> Option<ResumePoint> {
        let text = self.text.as_ref()?;
        (self.tokens > 0).then(|| ResumePoint {
            tokens: self.tokens,
            text: text.clone(),
        })
    }

    fn give_up_code(&self, kind: FailureKind) -> ResultCode {
        if self.tokens > 0 {
            return ResultCode::StreamBroken;
        }
        kind.result_code()
    }

    fn handle_event(&mut self, event: &[u8], now: MonoTime) -> EventAction {
        match parse_event(event) {
            Ok(StreamEvent::Comment) => EventAction::Drop,
            Ok(StreamEvent::Done) if self.finished => EventAction::Done,
            Ok(StreamEvent::Done) | Err(_) => EventAction::Fail(FailureKind::Broken),
            Ok(StreamEvent::Chunk(chunk)) => self.handle_chunk(event, &chunk, now),
        }
    }

    fn handle_chunk(&mut self, event: &[u8], chunk: &ChunkView<'_>, now: MonoTime) -> EventAction {
        if chunk.is_error() {
            return EventAction::Fail(FailureKind::Broken);
        }
        if !self.matches_attempt(&chunk.id.0) {
            return EventAction::Fail(FailureKind::Crossed);
        }
        let text = chunk.text();
        let is_token = !text.is_empty();
        if self.finished && (is_token || chunk.is_finish()) {
            return EventAction::Fail(FailureKind::Broken);
        }
        if !is_token && !chunk.is_finish() && self.is_duplicate(chunk) {
            return EventAction::Drop;
        }
        if is_token {
            self.record_token(text);
            self.enter(Phase::Streaming, now);
        }
        self.finished |= chunk.is_finish();
        self.usage = chunk.usage.or(self.usage);
        self.has_output = true;
        self.rewrite_id(event, chunk)
    }

    /// Returns true for a chunk without text that repeats one the caller already received.
    fn is_duplicate(&self, chunk: &ChunkView<'_>) -> bool {
        match chunk.usage {
            Some(_) => self.usage.is_some(),
            None => self.has_output && self.attempt.0 > 1,
        }
    }

    /// Checks that all chunks of one attempt carry the same id.
    fn matches_attempt(&mut self, id: &str) -> bool {
        match &self.attempt_answer_id {
            Some(known) => **known == *id,
            None => {
                self.attempt_answer_id = Some(id.into());
                self.answer_id.get_or_insert_with(|| id.into());
                true
            }
        }
    }

    fn record_token(&mut self, token: &str) {
        self.tokens += 1;
        let Some(text) = &mut self.text else {
            return;
        };
        if text.len() + token.len() > self.limits.max_text_bytes {
            self.text = None;
            return;
        }
        text.push_str(token);
    }

    /// Replaces the id of the event by that of the first attempt, so that the caller sees a single id.
    fn rewrite_id(&self, event: &[u8], chunk: &ChunkView<'_>) -> EventAction {
        if self.answer_id == self.attempt_answer_id {
            return EventAction::Forward;
        }
        let first = self.answer_id.as_deref().unwrap_or_default();
        match replace_slice(event, &chunk.id.0, first) {
            Some(event) => EventAction::Replace(event),
            None => EventAction::Fail(FailureKind::Broken),
        }
    }

    /// Completes a stream that broke after its finish chunk.
    fn complete(&mut self) -> RecoveryStep {
        self.phase = Phase::Ended;
        let mut tail = Vec::new();
        if self.usage.is_none() {
            let usage = ChatUsage {
                completion_tokens: self.tokens,
                ..ChatUsage::default()
            };
            let id = self.answer_id.as_deref().unwrap_or_default();
            let chunk = json!({"id": id, "object": "chat.completion.chunk", "choices": [], "usage": usage});
            tail.extend_from_slice(format!("data: {chunk}\n\n").as_bytes());
        }
        tail.extend_from_slice(DONE_EVENT);
        RecoveryStep::Complete {
            tail: tail.into(),
            totals: self.totals(),
        }
    }
}

/// Extends the run of adjacent events that are forwarded unchanged by `range`.
fn extend_run(run: &mut Range<usize>, range: Range<usize>, block: &Bytes, out: &mut Vec<Bytes>) {
    if run.end == range.start {
        run.end = range.end;
        return;
    }
    flush_run(run, block, out);
    *run = range;
}

fn flush_run(run: &mut Range<usize>, block: &Bytes, out: &mut Vec<Bytes>) {
    if run.start < run.end {
        out.push(block.slice(run.clone()));
    }
    *run = run.end..run.end;
}

/// Returns `event` with `old` replaced by `new`; `old` must be a slice of `event`, not a copy.
fn replace_slice(event: &[u8], old: &str, new: &str) -> Option<Bytes> {
    let start = (old.as_ptr() as usize).checked_sub(event.as_ptr() as usize)?;
    let end = start.checked_add(old.len())?;
    if end > event.len() || old.is_empty() {
        return None;
    }
    let quoted = serde_json::to_string(new).ok()?;
    let escaped = &quoted[1..quoted.len() - 1];
    Some(
        [&event[..start], escaped.as_bytes(), &event[end..]]
            .concat()
            .into(),
    )
}
