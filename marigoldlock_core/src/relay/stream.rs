//! One caller's stream across attempts.

use std::ops::Range;

use bytes::Bytes;
use marigoldlock_wire::engine::{ChatUsage, ResumePoint};
use serde_json::json;

use super::budget::RetryBudget;
use super::event::{ChunkView, StreamEvent, parse_event};
use super::failure::{FailureKind, ResendRule};
use super::splitter::SseSplitter;
use super::step::{Attempt, AttemptId, BreakStep, HeadEcho, RelayLimits, RelayStep, StreamTotals};
use crate::prelude::*;

/// The event that ends a stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Idle,
    Connecting,
    AwaitingToken,
    Streaming,
    Ended,
}

enum Verdict {
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
    since: MonoTime,
    splitter: SseSplitter,
    answer_id: Option<Box<str>>,
    attempt_answer_id: Option<Box<str>>,
    opened: bool,
    finished: bool,
    text: Option<String>,
    tokens: u64,
    usage: Option<ChatUsage>,
}

impl StreamRelay {
    /// A stream that nothing was sent for yet.
    pub fn new(request: RequestId, limits: RelayLimits) -> Self {
        Self {
            request,
            limits,
            attempt: AttemptId(0),
            phase: Phase::Idle,
            since: MonoTime::ZERO,
            splitter: SseSplitter::default(),
            answer_id: None,
            attempt_answer_id: None,
            opened: false,
            finished: false,
            text: Some(String::new()),
            tokens: 0,
            usage: None,
        }
    }

    /// Starts the next attempt; input of all earlier ones is dropped from now on.
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

    /// The request has been written to a connection.
    pub fn on_sent(&mut self, attempt: AttemptId, now: MonoTime) {
        if attempt == self.attempt && self.phase == Phase::Connecting {
            self.enter(Phase::AwaitingToken, now);
        }
    }

    /// The head of an answer has come.
    pub fn on_head(&mut self, attempt: AttemptId, echo: HeadEcho, now: MonoTime) -> RelayStep {
        if !self.is_current(attempt) {
            return RelayStep::Stale;
        }
        let expected = HeadEcho {
            request: Some(self.request),
            attempt: Some(self.attempt),
        };
        if echo != expected {
            return RelayStep::Failed(FailureKind::Crossed);
        }
        self.on_sent(attempt, now);
        RelayStep::Continue
    }

    /// Bytes of an answer's body have come; what the caller gets of them is added to `out`.
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
            match self.judge(&block[range.clone()], now) {
                Verdict::Forward => extend_run(&mut run, range, &block, out),
                Verdict::Drop => {}
                Verdict::Replace(event) => {
                    flush_run(&mut run, &block, out);
                    out.push(event);
                }
                Verdict::Done => {
                    extend_run(&mut run, range, &block, out);
                    self.phase = Phase::Ended;
                    break RelayStep::Ended(self.totals());
                }
                Verdict::Fail(kind) => break RelayStep::Failed(kind),
            }
        };
        flush_run(&mut run, &block, out);
        step
    }

    /// The attempt failed; decides how the caller still gets one whole answer.
    ///
    /// Call it once for each failed attempt, also for one that [`RelayStep::Failed`] told of, and for a body
    /// that ended without its last event, as [`FailureKind::Broken`].
    pub fn on_break(
        &mut self,
        attempt: AttemptId,
        kind: FailureKind,
        budget: &mut RetryBudget,
        now: MonoTime,
    ) -> BreakStep {
        if !self.is_current(attempt) {
            return BreakStep::Stale;
        }
        if self.finished {
            return self.complete();
        }
        let allowed = self.attempt.0 < self.limits.attempts
            && self.text.is_some()
            && match kind.resend_rule(true) {
                ResendRule::Free => true,
                ResendRule::Budgeted => budget.try_spend(now),
                ResendRule::Never => false,
            };
        if !allowed {
            self.phase = Phase::Ended;
            return BreakStep::GiveUp(self.give_up_code(kind));
        }
        self.phase = Phase::Idle;
        // Input of the failed attempt is stale from here on, before the next one begins.
        match self.resume_point() {
            Some(point) => BreakStep::Resume(point),
            None => BreakStep::Retry,
        }
    }

    /// When the running phase has gone without progress for too long; `None` if nothing is awaited.
    pub fn deadline(&self) -> Option<MonoTime> {
        let progress = &self.limits.progress;
        let limit = match self.phase {
            Phase::Idle | Phase::Ended => return None,
            Phase::Connecting => progress.connect,
            Phase::AwaitingToken => progress.first_token,
            Phase::Streaming => progress.between_tokens,
        };
        Some(self.since + limit)
    }

    /// How an attempt failed whose deadline has passed.
    pub fn timeout_kind(&self) -> FailureKind {
        match self.phase {
            Phase::Connecting => FailureKind::NotConnected,
            _ => FailureKind::TimedOut,
        }
    }

    /// Counts so far.
    pub fn totals(&self) -> StreamTotals {
        StreamTotals {
            tokens: self.tokens,
            usage: self.usage,
            attempts: self.attempt.0,
        }
    }

    /// True once the caller has been given any bytes.
    pub fn is_opened(&self) -> bool {
        self.opened
    }

    /// Memory held for the stream beyond its own size, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.text.as_ref().map_or(0, String::capacity) + self.splitter.held_bytes()
    }

    fn enter(&mut self, phase: Phase, now: MonoTime) {
        self.phase = phase;
        self.since = now;
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

    fn judge(&mut self, event: &[u8], now: MonoTime) -> Verdict {
        match parse_event(event) {
            Ok(StreamEvent::Comment) => Verdict::Drop,
            Ok(StreamEvent::Done) if self.finished => Verdict::Done,
            Ok(StreamEvent::Done) | Err(_) => Verdict::Fail(FailureKind::Broken),
            Ok(StreamEvent::Chunk(chunk)) => self.judge_chunk(event, &chunk, now),
        }
    }

    fn judge_chunk(&mut self, event: &[u8], chunk: &ChunkView<'_>, now: MonoTime) -> Verdict {
        if chunk.is_error() {
            return Verdict::Fail(FailureKind::Broken);
        }
        if !self.matches_attempt(&chunk.id.0) {
            return Verdict::Fail(FailureKind::Crossed);
        }
        let text = chunk.text();
        let is_token = !text.is_empty();
        if self.finished && (is_token || chunk.is_finish()) {
            return Verdict::Fail(FailureKind::Broken);
        }
        if !is_token && !chunk.is_finish() && self.is_repeat(chunk) {
            return Verdict::Drop;
        }
        if is_token {
            self.keep(text);
            self.enter(Phase::Streaming, now);
        }
        self.finished |= chunk.is_finish();
        self.usage = chunk.usage.or(self.usage);
        self.opened = true;
        self.with_first_id(event, chunk)
    }

    /// True for a chunk without text that the caller has had from an earlier attempt or chunk.
    fn is_repeat(&self, chunk: &ChunkView<'_>) -> bool {
        match chunk.usage {
            Some(_) => self.usage.is_some(),
            None => self.opened && self.attempt.0 > 1,
        }
    }

    /// Checks that all chunks of one attempt carry one id.
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

    fn keep(&mut self, token: &str) {
        self.tokens += 1;
        let Some(text) = &mut self.text else {
            return;
        };
        if text.len() + token.len() > self.limits.kept_bytes {
            self.text = None;
            return;
        }
        text.push_str(token);
    }

    /// The event as the caller gets it: with the id of the first attempt.
    fn with_first_id(&self, event: &[u8], chunk: &ChunkView<'_>) -> Verdict {
        if self.answer_id == self.attempt_answer_id {
            return Verdict::Forward;
        }
        let first = self.answer_id.as_deref().unwrap_or_default();
        match replace_slice(event, &chunk.id.0, first) {
            Some(event) => Verdict::Replace(event),
            None => Verdict::Fail(FailureKind::Broken),
        }
    }

    /// Ends a stream that broke after its finish chunk.
    fn complete(&mut self) -> BreakStep {
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
        BreakStep::Complete {
            tail: tail.into(),
            totals: self.totals(),
        }
    }
}

/// Adds `range` to the run of events that are passed on as they came.
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

/// `event` with `new` in place of `old`, which must be a part of it and not a copy.
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
