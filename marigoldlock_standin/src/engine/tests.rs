//! Tests of the engine's state machine, on a clock that the test advances.

use std::time::Duration;

use marigoldlock_wire::engine::{
    ChatMessage, ChatRequest, EngineAction, EngineOrder, EngineRole, KvTransfer, ResumePoint, prefix_hashes,
};
use marigoldlock_wire::ids::{Epoch, LogPosition};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

use super::batch::OutputEvent;
use super::options::EngineOptions;
use super::refusal::EngineRefusal;
use super::seen::{RequestOutcome, SeenRequest};
use super::state::EngineState;
use super::text::expected_text;
use super::weights::WeightStore;

struct TestEngine {
    state: EngineState,
    started: Instant,
    now: Instant,
}

impl TestEngine {
    fn new(options: EngineOptions) -> Self {
        let now = Instant::now();
        Self {
            state: EngineState::new(options),
            started: now,
            now,
        }
    }

    fn submit(
        &mut self,
        request: &ChatRequest,
        priority: u8,
    ) -> Result<UnboundedReceiver<OutputEvent>, EngineRefusal> {
        let record = SeenRequest {
            priority,
            ..SeenRequest::default()
        };
        self.state.submit(request, record, self.now)
    }

    fn step(&mut self) -> bool {
        let Some(length) = self.state.begin_step(self.now) else {
            return false;
        };
        self.now += length;
        self.state.end_step(self.now);
        true
    }

    fn run(&mut self) -> Duration {
        while self.step() {}
        self.now.duration_since(self.started)
    }

    fn run_some(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
        }
    }

    fn time(&mut self, request: &ChatRequest) -> Duration {
        let before = self.now;
        let _events = self.submit(request, 0).unwrap();
        self.run();
        self.now.duration_since(before)
    }

    fn wait(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    fn order(&mut self, epoch: u64, orderer: &str, action: EngineAction) -> bool {
        let order = EngineOrder {
            reference: String::new(),
            epoch: Epoch(LogPosition(epoch)),
            orderer: orderer.into(),
            action,
        };
        self.state.order(order, 0, self.now)
    }
}

fn chat(words: usize, tokens: u64) -> ChatRequest {
    let content = (0..words).map(|word| format!("w{word} ")).collect();
    ChatRequest {
        model: "m".into(),
        messages: vec![ChatMessage {
            role: "user".into(),
            content,
        }],
        max_tokens: Some(tokens),
        stream: true,
        resume: None,
    }
}

fn tokens(events: &mut UnboundedReceiver<OutputEvent>) -> Vec<u64> {
    let mut tokens = Vec::new();
    while let Ok(OutputEvent::Token(index)) = events.try_recv() {
        tokens.push(index);
    }
    tokens
}

#[test]
fn batch_slows_each_stream_but_not_as_much_as_a_queue() {
    let options = EngineOptions {
        decode_tokens_per_s: 100.0,
        batch_slowdown: 0.1,
        ..EngineOptions::default()
    };
    let mut alone = TestEngine::new(options.clone());
    let _events = alone.submit(&chat(1, 101), 0).unwrap();
    let lone = alone.run();
    let mut batch = TestEngine::new(options);
    let _all: Vec<_> = (0..6).map(|_| batch.submit(&chat(1, 101), 0).unwrap()).collect();
    let together = batch.run();
    assert_eq!(lone.as_millis(), 1000);
    assert_eq!(together.as_millis(), 1500);
}

#[test]
fn prompts_slow_running_streams_down() {
    let options = EngineOptions {
        prefill_tokens_per_s: 1000.0,
        ..EngineOptions::default()
    };
    let mut engine = TestEngine::new(options);
    let mut events = engine.submit(&chat(1, 50), 0).unwrap();
    engine.step();
    assert_eq!(tokens(&mut events), [0]);
    let _long = engine.submit(&chat(512, 1), 0).unwrap();
    let before = engine.now;
    engine.step();
    assert_eq!(tokens(&mut events), [1]);
    assert!(engine.now.duration_since(before) > Duration::from_millis(512));
}

#[test]
fn lower_priority_number_is_served_first() {
    let options = EngineOptions {
        slots: 1,
        ..EngineOptions::default()
    };
    let mut engine = TestEngine::new(options);
    let mut late = engine.submit(&chat(1, 1), 5).unwrap();
    let mut first = engine.submit(&chat(1, 1), 0).unwrap();
    engine.step();
    assert_eq!((tokens(&mut first).len(), tokens(&mut late).len()), (1, 0));
}

#[test]
fn cancelled_request_gives_its_slot_back() {
    let options = EngineOptions {
        slots: 1,
        ..EngineOptions::default()
    };
    let mut engine = TestEngine::new(options);
    let first = engine.submit(&chat(1, 1000), 0).unwrap();
    let mut second = engine.submit(&chat(1, 1), 0).unwrap();
    engine.step();
    drop(first);
    engine.step();
    assert_eq!(tokens(&mut second).len(), 1);
    assert_eq!(engine.state.seen().recent[0].outcome, RequestOutcome::Cancelled);
}

#[test]
fn cached_prefix_skips_prefill() {
    let options = EngineOptions {
        prefill_tokens_per_s: 1000.0,
        ..EngineOptions::default()
    };
    let mut engine = TestEngine::new(options);
    let _events = engine.submit(&chat(640, 1), 0).unwrap();
    engine.run();
    let before = engine.now;
    let mut events = engine.submit(&chat(650, 1), 0).unwrap();
    engine.run();
    assert_eq!(engine.now.duration_since(before).as_millis(), 10);
    tokens(&mut events);
    let mut again = engine.submit(&chat(650, 0), 0).unwrap();
    engine.run();
    assert_eq!(again.try_recv(), Ok(OutputEvent::Done { cached_tokens: 640 }));
}

#[test]
fn cache_evicts_the_least_recently_used_blocks() {
    let options = EngineOptions {
        kv_total_tokens: 256,
        ..EngineOptions::default()
    };
    let mut engine = TestEngine::new(options);
    let older = KvTransfer {
        prefixes: vec![1, 2],
        tokens: 128,
    };
    let newer = KvTransfer {
        prefixes: vec![3, 4],
        tokens: 128,
    };
    engine.state.import(&older, engine.now);
    engine.state.import(&newer, engine.now);
    engine.state.export(&older);
    engine.state.import(
        &KvTransfer {
            prefixes: vec![5],
            tokens: 64,
        },
        engine.now,
    );
    assert_eq!(engine.state.export(&older).prefixes, [1, 2]);
    assert_eq!(engine.state.export(&newer).prefixes, [3]);
}

#[test]
fn cache_events_are_late_and_have_gaps() {
    let options = EngineOptions {
        event_lag_ms: 100,
        event_gap: 3,
        ..EngineOptions::default()
    };
    let mut engine = TestEngine::new(options);
    let blocks = KvTransfer {
        prefixes: vec![1, 2, 3, 4],
        tokens: 256,
    };
    engine.state.import(&blocks, engine.now);
    engine.wait(99);
    assert_eq!(engine.state.cache_events(0, engine.now).next, 0);
    engine.wait(1);
    let events = engine.state.cache_events(0, engine.now);
    let numbers: Vec<u64> = events.events.iter().map(|event| event.sequence).collect();
    assert_eq!((events.next, numbers), (4, vec![0, 1, 3]));
}

#[test]
fn load_report_lags() {
    let options = EngineOptions {
        load_lag_ms: 500,
        ..EngineOptions::default()
    };
    let mut engine = TestEngine::new(options);
    engine.wait(1000);
    let _events = engine.submit(&chat(1, 1000), 0).unwrap();
    engine.wait(499);
    let before = engine.state.load_report(engine.now);
    engine.wait(1);
    let after = engine.state.load_report(engine.now);
    assert_eq!((before.queued, after.queued), (0, 1));
    assert_eq!((after.age_ms, after.sequence), (500, before.sequence + 1));
}

#[test]
fn role_change_cuts_running_requests_and_takes_seconds() {
    let mut engine = TestEngine::new(EngineOptions::default());
    let mut events = engine.submit(&chat(1, 1000), 0).unwrap();
    engine.step();
    assert!(engine.order(7, "a", EngineAction::SetRole(EngineRole::Prefill)));
    assert_eq!(tokens(&mut events), [0]);
    assert!(events.is_closed());
    assert_eq!(engine.state.seen().cut, 1);
    assert_eq!(
        engine.submit(&chat(1, 1), 0).unwrap_err(),
        EngineRefusal::Changing
    );
    engine.wait(3000);
    assert_eq!(engine.state.setup(engine.now).role, EngineRole::Prefill);
    assert_eq!(
        engine.submit(&chat(1, 2), 0).unwrap_err(),
        EngineRefusal::WrongRole
    );
    assert!(engine.submit(&chat(1, 1), 0).is_ok());
}

#[test]
fn crash_during_a_change_restores_the_initial_setup() {
    let mut engine = TestEngine::new(EngineOptions::default());
    engine.order(1, "a", EngineAction::SetRole(EngineRole::Decode));
    engine.wait(1000);
    engine.state.restart(engine.now);
    engine.wait(3000);
    let setup = engine.state.setup(engine.now);
    assert_eq!((setup.role, setup.changing), (EngineRole::Mixed, false));
}

#[test]
fn decode_role_prefills_slowly() {
    let options = EngineOptions {
        prefill_tokens_per_s: 1000.0,
        ..EngineOptions::default()
    };
    let mixed = TestEngine::new(options.clone()).time(&chat(100, 1));
    let decode = EngineOptions {
        role: EngineRole::Decode,
        decode_prompt_tokens: Some(100),
        ..options
    };
    let mut decode = TestEngine::new(decode);
    assert_eq!(
        decode.submit(&chat(101, 1), 0).unwrap_err(),
        EngineRefusal::WrongRole
    );
    assert_eq!(decode.time(&chat(100, 1)), 4 * mixed);
}

#[test]
fn old_fencing_number_is_refused_or_flagged() {
    for check_fence in [true, false] {
        let mut engine = TestEngine::new(EngineOptions {
            check_fence,
            ..EngineOptions::default()
        });
        assert!(engine.order(7, "a", EngineAction::Drain));
        assert_eq!(engine.order(6, "b", EngineAction::Undrain), !check_fence);
        engine.order(7, "c", EngineAction::Drain);
        let orders = engine.state.seen().orders;
        let findings = [1, 2].map(|place: usize| orders[place].finding);
        assert!(findings[0].stale && findings[1].rival);
        assert_eq!(orders[1].refused, check_fence);
    }
}

#[test]
fn shared_weight_store_serves_one_load_after_another() {
    let weights = WeightStore::new(1000);
    let options = EngineOptions {
        weights,
        models: vec!["m".into()],
        ..EngineOptions::default()
    };
    let mut engines = [TestEngine::new(options.clone()), TestEngine::new(options)];
    engines[1].now = engines[0].now;
    for engine in &mut engines {
        engine.order(1, "a", EngineAction::LoadModel("n".into()));
        engine.wait(1000);
    }
    let loaded = engines
        .each_mut()
        .map(|engine| engine.state.setup(engine.now).models.len());
    assert_eq!(loaded, [2, 1]);
}

#[test]
fn resumed_stream_continues_from_its_resume_point() {
    let mut engine = TestEngine::new(EngineOptions::default());
    let mut request = chat(3, 10);
    let text = expected_text(&request.messages, 7);
    request.resume = Some(ResumePoint { tokens: 7, text });
    let mut events = engine.submit(&request, 0).unwrap();
    engine.run();
    assert_eq!(tokens(&mut events), [7, 8, 9]);
    request.resume = Some(ResumePoint {
        tokens: 7,
        text: "other".into(),
    });
    let _events = engine.submit(&request, 0).unwrap();
    let differs = engine
        .state
        .seen()
        .recent
        .iter()
        .map(|seen| seen.resume_differs)
        .collect::<Vec<_>>();
    assert_eq!(differs, [false, true]);
}

#[test]
fn restart_changes_the_incarnation_and_clears_the_state() {
    let mut engine = TestEngine::new(EngineOptions::default());
    let request = chat(128, 1000);
    let events = engine.submit(&request, 0).unwrap();
    engine.run_some(3);
    let before = engine.state.load_report(engine.now).incarnation;
    engine.state.restart(engine.now);
    assert!(events.is_closed());
    assert_ne!(engine.state.load_report(engine.now).incarnation, before);
    let wanted = KvTransfer {
        prefixes: prefix_hashes(&request.messages),
        tokens: 128,
    };
    assert_eq!(engine.state.export(&wanted).tokens, 0);
}
