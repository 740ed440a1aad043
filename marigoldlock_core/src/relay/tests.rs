//! Tests of the stream relay, the body buffer and the retry budget.

use std::time::Duration;

use bytes::Bytes;
use marigoldlock_wire::engine::ResumePoint;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::*;
use crate::prelude::*;

const NOW: MonoTime = MonoTime::from_millis(1_000);
const REQUEST: RequestId = RequestId(7);

fn limits(max_attempts: u32) -> RelayLimits {
    RelayLimits {
        max_attempts,
        ..RelayLimits::default()
    }
}

fn budget() -> RetryBudget {
    RetryBudget::new(BudgetLimits::default(), NOW)
}

fn chunk(id: &str, content: &str) -> String {
    let content = serde_json::to_string(content).unwrap();
    format!(
        "data: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\"choices\":[{{\"index\":0,\
         \"delta\":{{\"content\":{content}}},\"finish_reason\":null}}]}}\n\n"
    )
}

fn role(id: &str) -> String {
    format!(
        "data: {{\"id\":\"{id}\",\"choices\":[{{\"index\":0,\"delta\":{{\"role\":\"assistant\",\
         \"content\":\"\"}},\"finish_reason\":null}}]}}\n\n"
    )
}

fn ending(id: &str, tokens: usize) -> String {
    format!(
        "data: {{\"id\":\"{id}\",\"choices\":[{{\"index\":0,\"delta\":{{}},\"finish_reason\":\"stop\"}}]}}\n\n\
         data: {{\"id\":\"{id}\",\"choices\":[],\"usage\":{{\"prompt_tokens\":3,\
         \"completion_tokens\":{tokens}}}}}\n\ndata: [DONE]\n\n"
    )
}

/// Returns the body that an engine sends for `tokens` when it resumes after the first `from` of them.
fn engine_body(id: &str, tokens: &[String], from: usize) -> String {
    let mut body = role(id);
    for token in &tokens[from..] {
        body.push_str(&chunk(id, token));
    }
    body.push_str(&ending(id, tokens.len()));
    body
}

fn echo(attempt: AttemptId) -> EchoedIds {
    EchoedIds {
        request: Some(REQUEST),
        attempt: Some(attempt),
    }
}

fn started(relay: &mut StreamRelay) -> AttemptId {
    let attempt = relay.begin_attempt(NOW).id;
    relay.on_sent(attempt, NOW);
    assert_eq!(relay.on_head(attempt, echo(attempt), NOW), RelayStep::Continue);
    attempt
}

fn joined(out: &[Bytes]) -> String {
    String::from_utf8(out.concat()).unwrap()
}

fn events(text: &str) -> Vec<serde_json::Value> {
    text.split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "))
        .filter(|data| *data != "[DONE]")
        .map(|data| serde_json::from_str(data).unwrap())
        .collect()
}

fn answer_text(events: &[serde_json::Value]) -> String {
    events
        .iter()
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str())
        .collect()
}

#[test]
fn events_are_split_at_either_line_ending() {
    let body = "data: 1\n\n: note\n\ndata: 2\r\n\r\nevent: x\ndata: 3\n\ndata: un";
    for size in 1..body.len() {
        let mut splitter = SseSplitter::default();
        let mut found = Vec::new();
        for part in body.as_bytes().chunks(size) {
            splitter.push(Bytes::copy_from_slice(part)).unwrap();
            while let Some(event) = splitter.next_event() {
                found.push(String::from_utf8(event.to_vec()).unwrap());
            }
        }
        assert_eq!(
            found,
            [
                "data: 1\n\n",
                ": note\n\n",
                "data: 2\r\n\r\n",
                "event: x\ndata: 3\n\n"
            ],
            "chunks of {size}"
        );
        assert_eq!(splitter.buffered_bytes(), "data: un".len());
    }
}

#[test]
fn an_event_without_end_is_refused_before_it_fills_the_memory() {
    let mut splitter = SseSplitter::default();
    let part = Bytes::from(vec![b'x'; 1 << 10]);
    let pushed = (0..100)
        .take_while(|_| splitter.push(part.clone()).is_ok())
        .count();
    assert!(pushed < 100);
    assert!(splitter.buffered_bytes() <= MAX_EVENT_BYTES + (1 << 10));
}

#[test]
fn an_unbroken_answer_is_passed_on_as_it_came() {
    let tokens: Vec<String> = ["one", " two", " \"three\"\n"].map(String::from).to_vec();
    let body = engine_body("a", &tokens, 0);
    let mut relay = StreamRelay::new(REQUEST, limits(2));
    let attempt = started(&mut relay);
    let mut out = Vec::new();
    let step = relay.on_chunk(attempt, Bytes::from(body.clone()), NOW, &mut out);
    let RelayStep::Ended(totals) = step else {
        panic!("{step:?}");
    };
    assert_eq!(joined(&out), body);
    assert_eq!(out.len(), 1, "adjacent events go out in one piece");
    assert_eq!(totals.tokens, 3);
    assert_eq!(totals.usage.unwrap().completion_tokens, 3);
}

#[test]
fn an_answer_of_another_request_or_attempt_is_not_given_to_the_caller() {
    let mut relay = StreamRelay::new(REQUEST, limits(3));
    let first = relay.begin_attempt(NOW).id;
    let crossed = EchoedIds {
        request: Some(RequestId(8)),
        attempt: Some(first),
    };
    assert_eq!(
        relay.on_head(first, crossed, NOW),
        RelayStep::Failed(FailureKind::Crossed)
    );
    assert_eq!(
        relay.on_attempt_failed(first, FailureKind::Crossed, &mut budget(), NOW),
        RecoveryStep::Retry
    );
    let second = started(&mut relay);
    let mut out = Vec::new();
    relay.on_chunk(second, chunk("b", "mine").into(), NOW, &mut out);
    let step = relay.on_chunk(second, chunk("z", "theirs").into(), NOW, &mut out);
    assert_eq!(step, RelayStep::Failed(FailureKind::Crossed));
    assert_eq!(answer_text(&events(&joined(&out))), "mine");
}

#[test]
fn a_stream_that_breaks_after_its_finish_chunk_is_ended_and_not_resumed() {
    let mut relay = StreamRelay::new(REQUEST, limits(3));
    let attempt = started(&mut relay);
    let mut out = Vec::new();
    let body = chunk("a", "all") + ending("a", 1).split_inclusive("\n\n").next().unwrap();
    relay.on_chunk(attempt, body.into(), NOW, &mut out);
    let step = relay.on_attempt_failed(attempt, FailureKind::Broken, &mut budget(), NOW);
    let RecoveryStep::Complete { tail, totals } = step else {
        panic!("{step:?}");
    };
    let tail = String::from_utf8(tail.to_vec()).unwrap();
    assert!(tail.ends_with("data: [DONE]\n\n"));
    assert_eq!(events(&tail)[0]["usage"]["completion_tokens"], 1);
    assert_eq!(totals.tokens, 1);
}

#[test]
fn an_end_without_a_finish_chunk_is_a_broken_stream() {
    let mut relay = StreamRelay::new(REQUEST, limits(3));
    let attempt = started(&mut relay);
    let mut out = Vec::new();
    let body = chunk("a", "half") + "data: [DONE]\n\n";
    assert_eq!(
        relay.on_chunk(attempt, body.into(), NOW, &mut out),
        RelayStep::Failed(FailureKind::Broken)
    );
    assert!(!joined(&out).contains("[DONE]"));
    assert_eq!(
        relay.on_attempt_failed(attempt, FailureKind::Broken, &mut budget(), NOW),
        RecoveryStep::Resume(ResumePoint {
            tokens: 1,
            text: "half".into()
        })
    );
}

#[test]
fn attempts_and_kept_text_are_bounded() {
    let mut relay = StreamRelay::new(REQUEST, limits(1));
    let attempt = started(&mut relay);
    relay.on_chunk(attempt, chunk("a", "x").into(), NOW, &mut Vec::new());
    assert_eq!(
        relay.on_attempt_failed(attempt, FailureKind::Broken, &mut budget(), NOW),
        RecoveryStep::GiveUp(ResultCode::StreamBroken)
    );

    let small = RelayLimits {
        max_text_bytes: 8,
        ..limits(9)
    };
    let mut relay = StreamRelay::new(REQUEST, small);
    let attempt = started(&mut relay);
    for _ in 0..3 {
        relay.on_chunk(attempt, chunk("a", "xxxx").into(), NOW, &mut Vec::new());
    }
    assert_eq!(relay.buffered_bytes(), 0);
    assert_eq!(
        relay.on_attempt_failed(attempt, FailureKind::Broken, &mut budget(), NOW),
        RecoveryStep::GiveUp(ResultCode::StreamBroken)
    );
}

#[test]
fn each_phase_has_its_own_deadline() {
    let mut relay = StreamRelay::new(REQUEST, limits(2));
    let progress = ProgressLimits::default();
    assert_eq!(relay.deadline(), None);
    let attempt = relay.begin_attempt(NOW).id;
    assert_eq!(relay.deadline(), Some(NOW + progress.connect));
    assert_eq!(relay.timeout_kind(), FailureKind::NotConnected);
    relay.on_sent(attempt, NOW);
    assert_eq!(relay.deadline(), Some(NOW + progress.first_token));
    assert_eq!(relay.timeout_kind(), FailureKind::TimedOut);
    let later = NOW + Duration::from_secs(5);
    relay.on_chunk(attempt, Bytes::from_static(b": wait\n\n"), later, &mut Vec::new());
    assert_eq!(
        relay.deadline(),
        Some(NOW + progress.first_token),
        "a comment is no progress"
    );
    relay.on_chunk(attempt, chunk("a", "x").into(), later, &mut Vec::new());
    assert_eq!(relay.deadline(), Some(later + progress.between_tokens));
}

#[test]
fn a_timeout_spends_the_budget_and_an_ended_connection_does_not() {
    let limits = BudgetLimits {
        retries_per_thousand: 0,
        retries_per_minute: 0,
        max_saved: 1,
    };
    let mut budget = RetryBudget::new(limits, NOW);
    let mut fail = |kind| {
        let mut relay = StreamRelay::new(REQUEST, self::limits(3));
        let attempt = started(&mut relay);
        relay.on_attempt_failed(attempt, kind, &mut budget, NOW)
    };
    assert_eq!(fail(FailureKind::TimedOut), RecoveryStep::Retry);
    assert_eq!(
        fail(FailureKind::TimedOut),
        RecoveryStep::GiveUp(ResultCode::OutcomeUnknown)
    );
    assert_eq!(
        fail(FailureKind::Refused),
        RecoveryStep::GiveUp(ResultCode::UpstreamRefused)
    );
    assert_eq!(fail(FailureKind::Broken), RecoveryStep::Retry);
    assert_eq!(fail(FailureKind::NotConnected), RecoveryStep::Retry);
}

#[test]
fn only_a_rejection_lets_a_call_that_may_not_be_repeated_go_again() {
    use FailureKind::*;
    for kind in [NotConnected, Refused, TimedOut, ResetAfterSend, Broken, Crossed] {
        let may_go = kind.retry_rule(false) != RetryRule::Never;
        assert_eq!(may_go, kind.is_rejection(), "{kind:?}");
        let not_run = kind.result_code().execution() == Execution::NotRun;
        assert_eq!(not_run, kind.is_rejection(), "{kind:?}");
    }
}

#[test]
fn the_budget_is_a_share_of_successes_and_of_time() {
    let limits = BudgetLimits {
        retries_per_thousand: 100,
        retries_per_minute: 60,
        max_saved: 5,
    };
    let mut budget = RetryBudget::new(limits, NOW);
    let spend = |budget: &mut RetryBudget, now| (0..100).filter(|_| budget.try_spend(now)).count();
    assert_eq!(spend(&mut budget, NOW), 5);
    (0..30).for_each(|_| budget.on_success());
    assert_eq!(spend(&mut budget, NOW), 3);
    assert_eq!(spend(&mut budget, NOW + Duration::from_secs(2)), 2);
    assert_eq!(spend(&mut budget, NOW + Duration::from_secs(3_600)), 5);
}

#[test]
fn a_body_is_given_only_when_whole() {
    let attempt = AttemptId(2);
    let body = |content_length| {
        let mut body = BodyBuffer::new(attempt, 8);
        body.push(attempt, Bytes::from_static(b"ab")).unwrap();
        body.push(AttemptId(1), Bytes::from_static(b"late")).unwrap();
        body.push(attempt, Bytes::from_static(b"cd")).unwrap();
        body.finish(content_length)
    };
    assert_eq!(body(None).unwrap(), "abcd");
    assert_eq!(body(Some(4)).unwrap(), "abcd");
    assert_eq!(body(Some(5)), None);
    let mut body = BodyBuffer::new(attempt, 3);
    assert!(body.push(attempt, Bytes::from_static(b"abcd")).is_err());
}

#[derive(Clone, Debug)]
struct BreakPlan {
    /// Number of bytes of the attempt's body that arrive before it fails.
    arrives: usize,
    chunk: usize,
    kind: FailureKind,
}

fn plans() -> impl Strategy<Value = (Vec<String>, Vec<BreakPlan>, usize)> {
    let token = prop_oneof![
        "[ a-z]{1,6}",
        Just("\"".to_owned()),
        Just("\n\n".to_owned()),
        Just("é\\".to_owned()),
    ];
    let kind = prop_oneof![
        Just(FailureKind::Broken),
        Just(FailureKind::ResetAfterSend),
        Just(FailureKind::TimedOut),
        Just(FailureKind::NotConnected),
    ];
    let plan = (0..3_000_usize, 1..400_usize, kind).prop_map(|(arrives, chunk, kind)| BreakPlan {
        arrives,
        chunk,
        kind,
    });
    (
        prop::collection::vec(token, 1..12),
        prop::collection::vec(plan, 0..4),
        1..200_usize,
    )
}

/// The caller receives the same text as from an unbroken stream, whatever attempts fail and however late the
/// input of earlier attempts arrives.
#[test]
fn the_caller_gets_one_whole_answer_through_any_breaks() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&plans(), |(tokens, breaks, last_chunk)| {
            relay_through(&tokens, &breaks, last_chunk)
        })
        .unwrap();
}

fn relay_through(tokens: &[String], breaks: &[BreakPlan], last_chunk: usize) -> Result<(), TestCaseError> {
    let mut relay = StreamRelay::new(REQUEST, limits(9));
    let mut budget = budget();
    let mut out = Vec::new();
    let mut late: Vec<(AttemptId, Bytes)> = Vec::new();
    let mut given = 0;
    let mut ended = false;
    let last = BreakPlan {
        arrives: usize::MAX,
        chunk: last_chunk,
        kind: FailureKind::Broken,
    };
    for plan in breaks.iter().chain([&last]) {
        let attempt = relay.begin_attempt(NOW);
        prop_assert_eq!(attempt.resume.as_ref().map_or(0, |point| point.tokens), given);
        let expected = tokens[..given as usize].concat();
        prop_assert_eq!(attempt.resume.map_or(String::new(), |point| point.text), expected);
        relay.on_head(attempt.id, echo(attempt.id), NOW);
        let body = engine_body(&format!("id-{}", attempt.id), tokens, given as usize);
        let cut = plan.arrives.min(body.len());
        for part in body.as_bytes()[..cut].chunks(plan.chunk) {
            let step = relay.on_chunk(attempt.id, Bytes::copy_from_slice(part), NOW, &mut out);
            ended |= matches!(step, RelayStep::Ended(_));
            for (old, chunk) in &late {
                let before = out.len();
                prop_assert_eq!(
                    relay.on_chunk(*old, chunk.clone(), NOW, &mut out),
                    RelayStep::Stale
                );
                prop_assert_eq!(out.len(), before);
            }
        }
        if ended {
            break;
        }
        late.push((attempt.id, Bytes::copy_from_slice(&body.as_bytes()[cut..])));
        match relay.on_attempt_failed(attempt.id, plan.kind, &mut budget, NOW) {
            RecoveryStep::Retry => prop_assert_eq!(relay.totals().tokens, 0),
            RecoveryStep::Resume(point) => given = point.tokens,
            RecoveryStep::Complete { tail, .. } => {
                out.push(tail);
                break;
            }
            step => prop_assert!(false, "{:?}", step),
        }
    }
    check_answer(&joined(&out), tokens)
}

fn check_answer(answer: &str, tokens: &[String]) -> Result<(), TestCaseError> {
    prop_assert!(answer.ends_with("data: [DONE]\n\n"));
    prop_assert_eq!(answer.matches("[DONE]").count(), 1);
    let events = events(answer);
    prop_assert_eq!(answer_text(&events), tokens.concat());
    let id = &events[0]["id"];
    prop_assert!(events.iter().all(|event| &event["id"] == id));
    let usages: Vec<_> = events
        .iter()
        .filter_map(|event| event["usage"]["completion_tokens"].as_u64())
        .collect();
    prop_assert_eq!(usages, [tokens.len() as u64]);
    let finishes = events
        .iter()
        .filter(|event| event["choices"][0]["finish_reason"].is_string())
        .count();
    prop_assert_eq!(finishes, 1);
    Ok(())
}
