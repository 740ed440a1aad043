//! Tests of the routing table and its policies.

use std::time::Duration;

use marigoldlock_wire::engine::{
    CACHE_BLOCK_TOKENS, CacheChange, CacheEvent, CacheEvents, EngineRole, LoadReport,
};
use marigoldlock_wire::peer::UpstreamLoad;
use marigoldlock_wire::platform::CapacityKind;

use crate::prelude::*;

use super::*;

const SERVICE: &str = "copydesk-llm";
const MODEL: &str = "review-8b";

struct RequestParts {
    service: ServiceId,
    model: ModelId,
    local: DataCentre,
    prefixes: Vec<u64>,
    exclude: Vec<UpstreamId>,
    data_centres: Vec<DataCentre>,
}

impl RequestParts {
    fn new() -> Self {
        Self {
            service: SERVICE.into(),
            model: MODEL.into(),
            local: "pest-a".into(),
            prefixes: Vec::new(),
            exclude: Vec::new(),
            data_centres: Vec::new(),
        }
    }

    fn with_blocks(blocks: u64) -> Self {
        Self {
            prefixes: (1..=blocks).collect(),
            ..Self::new()
        }
    }

    fn request(&self) -> RouteRequest<'_> {
        RouteRequest {
            service: &self.service,
            model: Some(&self.model),
            prefixes: &self.prefixes,
            prompt_tokens: 1_000,
            output_tokens: 100,
            class: WorkClass::Standard,
            cheap_allowed: true,
            data_centres: &self.data_centres,
            exclude: &self.exclude,
            local: &self.local,
        }
    }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn info(name: &str) -> UpstreamInfo {
    UpstreamInfo {
        id: name.into(),
        service: SERVICE.into(),
        data_centre: "pest-a".into(),
        address: format!("127.0.0.1:{}", 9000 + name.len()),
        capacity: CapacityKind::Steady,
        models: vec![MODEL.into()],
        kind: UpstreamKind::Engine,
    }
}

fn report(sequence: u64) -> LoadReport {
    LoadReport {
        incarnation: Incarnation(1),
        sequence,
        prefill_tokens_per_s: 8_000.0,
        decode_tokens_per_s: 40.0,
        slots: 16,
        models: vec![MODEL.into()],
        ..LoadReport::default()
    }
}

fn table_of(count: usize, seed: u64) -> RouteTable {
    let mut table = RouteTable::new(RouteParams::default(), Box::new(ExpectedCost::new(seed)));
    for number in 0..count {
        let name = format!("runner-{number:02}");
        table.upsert(info(&name));
        table.on_load_report(&name.as_str().into(), &report(1), at(0));
    }
    table
}

fn chosen(table: &mut RouteTable, parts: &RequestParts, now: MonoTime) -> String {
    table.choose(&parts.request(), now).unwrap().upstream.to_string()
}

fn send(table: &mut RouteTable, parts: &RequestParts, now: MonoTime) -> (String, AttemptTicket) {
    let decision = table.choose(&parts.request(), now).unwrap();
    let ticket = table.on_sent(&decision, &parts.request(), now);
    (decision.upstream.to_string(), ticket)
}

fn fail(table: &mut RouteTable, name: &str, parts: &RequestParts, times: u32, now: MonoTime) {
    for _ in 0..times {
        let ticket = table.on_sent_to(&name.into(), &parts.request(), 0, Duration::ZERO, now);
        table.on_finished(ticket, AttemptOutcome::Broken, now);
    }
}

fn stored(incarnation: u64, from: u64, prefixes: &[u64]) -> CacheEvents {
    let events = prefixes.iter().zip(from..).map(|(&prefix, sequence)| CacheEvent {
        sequence,
        change: CacheChange::Stored,
        prefix,
    });
    CacheEvents {
        incarnation: Incarnation(incarnation),
        next: from + prefixes.len() as u64,
        events: events.collect(),
    }
}

#[test]
fn unknown_service_unknown_model_and_no_allowed_upstream_are_distinct_errors() {
    let mut table = table_of(2, 1);
    let mut parts = RequestParts::new();
    parts.exclude = vec!["runner-00".into(), "runner-01".into()];
    assert_eq!(
        table.choose(&parts.request(), at(0)),
        Err(RouteRefusal::NoneAllowed)
    );
    parts.model = "other".into();
    assert_eq!(table.choose(&parts.request(), at(0)), Err(RouteRefusal::NoModel));
    parts.service = "other".into();
    assert_eq!(
        table.choose(&parts.request(), at(0)),
        Err(RouteRefusal::NoUpstream)
    );
}

#[test]
fn leaving_changing_and_excluded_upstreams_get_no_requests() {
    let mut table = table_of(4, 1);
    table.set_leaving(&"runner-00".into());
    let changing = LoadReport {
        changing: true,
        ..report(2)
    };
    table.on_load_report(&"runner-01".into(), &changing, at(0));
    let mut parts = RequestParts::new();
    parts.exclude = vec!["runner-02".into()];
    for _ in 0..50 {
        assert_eq!(chosen(&mut table, &parts, at(1)), "runner-03");
    }
}

#[test]
fn restrictions_on_cheap_capacity_and_data_centres_are_respected() {
    let mut table = table_of(1, 1);
    let cheap = UpstreamInfo {
        capacity: CapacityKind::Cheap,
        ..info("cheap")
    };
    let remote = UpstreamInfo {
        data_centre: "pest-b".into(),
        ..info("far")
    };
    table.upsert(cheap);
    table.upsert(remote);
    let mut parts = RequestParts::new();
    parts.exclude = vec!["runner-00".into()];
    parts.data_centres = vec!["pest-a".into()];
    let request = RouteRequest {
        cheap_allowed: false,
        ..parts.request()
    };
    assert_eq!(table.choose(&request, at(0)), Err(RouteRefusal::NoneAllowed));
    assert_eq!(chosen(&mut table, &parts, at(0)), "cheap");
}

#[test]
fn cached_prefix_is_preferred_until_its_queue_costs_more() {
    let mut table = table_of(4, 3);
    let parts = RequestParts::with_blocks(15);
    table.on_cache_events(&"runner-02".into(), &stored(1, 0, &parts.prefixes), at(0));
    let decision = table.choose(&parts.request(), at(1)).unwrap();
    assert_eq!(decision.upstream.as_str(), "runner-02");
    assert_eq!(decision.reason, RouteReason::CachedPrefix);
    assert_eq!(decision.cached_tokens, 15 * CACHE_BLOCK_TOKENS as u64);
    let busy = LoadReport {
        prefill_backlog_tokens: 80_000,
        ..report(2)
    };
    table.on_load_report(&"runner-02".into(), &busy, at(1));
    assert_ne!(chosen(&mut table, &parts, at(1)), "runner-02");
}

#[test]
fn kv_cache_is_copied_when_its_holder_is_busy() {
    let mut table = table_of(3, 3);
    let parts = RequestParts::with_blocks(100);
    table.on_cache_events(&"runner-01".into(), &stored(1, 0, &parts.prefixes), at(0));
    let busy = LoadReport {
        prefill_backlog_tokens: 80_000,
        ..report(2)
    };
    table.on_load_report(&"runner-01".into(), &busy, at(1));
    let request = RouteRequest {
        prompt_tokens: 6_400,
        ..parts.request()
    };
    let decision = table.choose(&request, at(1)).unwrap();
    let step = decision.kv_from.unwrap();
    assert_eq!(step.upstream.as_str(), "runner-01");
    assert_eq!(decision.reason, RouteReason::KvTransfer);
    assert!(decision.cost < Duration::from_millis(400), "{:?}", decision.cost);
}

#[test]
fn cache_event_gap_halves_confidence_and_restart_clears_the_cache() {
    let mut table = table_of(1, 3);
    let parts = RequestParts::with_blocks(10);
    let id: UpstreamId = "runner-00".into();
    table.on_cache_events(&id, &stored(1, 0, &parts.prefixes), at(0));
    table.on_cache_events(&id, &stored(1, 50, &[999]), at(1));
    let decision = table.choose(&parts.request(), at(1)).unwrap();
    assert_eq!(decision.cached_tokens, 5 * CACHE_BLOCK_TOKENS as u64);
    table.on_cache_events(&id, &stored(2, 0, &[]), at(2));
    assert_eq!(table.choose(&parts.request(), at(2)).unwrap().cached_tokens, 0);
}

#[test]
fn own_work_corrects_a_lagged_report() {
    let mut table = table_of(4, 5);
    let parts = RequestParts::new();
    let mut counts = FastMap::<String, u32>::default();
    for _ in 0..40 {
        let (name, _ticket) = send(&mut table, &parts, at(10));
        *counts.entry(name).or_default() += 1;
    }
    assert!(
        counts.values().all(|count| (9..=11).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn eight_instances_with_the_same_reports_do_not_herd() {
    let parts = RequestParts::new();
    let mut counts = FastMap::<String, u32>::default();
    for seed in 0..8 {
        let mut table = table_of(12, seed);
        let idle = LoadReport {
            running: 0,
            ..report(2)
        };
        for number in 0..12 {
            let busy = LoadReport {
                running: 8,
                prefill_backlog_tokens: 400,
                ..report(2)
            };
            let name: UpstreamId = format!("runner-{number:02}").into();
            table.on_load_report(&name, if number < 4 { &idle } else { &busy }, at(1));
        }
        for _ in 0..4 {
            let (name, _ticket) = send(&mut table, &parts, at(2));
            *counts.entry(name).or_default() += 1;
        }
    }
    let most = counts.values().max().copied().unwrap();
    assert!(most <= 12, "{counts:?}");
    assert!(counts.len() >= 4, "{counts:?}");
}

#[test]
fn peer_load_is_counted_until_it_expires() {
    let mut table = table_of(2, 7);
    let parts = RequestParts::new();
    let load = UpstreamLoad {
        upstream: "runner-00".into(),
        requests: 12,
        prefill_tokens: 40_000,
        urgent_prefill_tokens: 0,
    };
    table.on_peer_load(&"entry-2".into(), std::slice::from_ref(&load), at(0));
    for _ in 0..20 {
        assert_eq!(chosen(&mut table, &parts, at(1)), "runner-01");
    }
    assert_eq!(table.state(&"runner-00".into()).unwrap().in_flight(), 12);
    table.tick(at(6_000));
    assert_eq!(table.state(&"runner-00".into()).unwrap().in_flight(), 0);
}

#[test]
fn interactive_work_does_not_wait_for_long_prompts_of_lower_priority() {
    let mut table = table_of(1, 7);
    let parts = RequestParts::new();
    let request = RouteRequest {
        class: WorkClass::Long,
        prompt_tokens: 40_000,
        ..parts.request()
    };
    let decision = table.choose(&request, at(0)).unwrap();
    let _ticket = table.on_sent(&decision, &request, at(0));
    let interactive = RouteRequest {
        class: WorkClass::Interactive,
        ..parts.request()
    };
    let urgent = table.choose(&interactive, at(0)).unwrap().cost;
    let ordinary = table.choose(&parts.request(), at(0)).unwrap().cost;
    assert!(urgent < Duration::from_millis(500), "{urgent:?}");
    assert!(ordinary > Duration::from_secs(4), "{ordinary:?}");
}

#[test]
fn failures_eject_and_one_successful_probe_restores() {
    let mut table = table_of(4, 9);
    let parts = RequestParts::new();
    fail(&mut table, "runner-00", &parts, 3, at(0));
    for _ in 0..50 {
        assert_ne!(chosen(&mut table, &parts, at(1)), "runner-00");
    }
    let mut probe = None;
    let mut others = Vec::new();
    for _ in 0..200 {
        let decision = table.choose(&parts.request(), at(5_001)).unwrap();
        if decision.upstream.as_str() == "runner-00" {
            assert_eq!(decision.reason, RouteReason::Probation);
            probe = Some(table.on_sent(&decision, &parts.request(), at(5_001)));
            break;
        }
        let ticket = table.on_sent(&decision, &parts.request(), at(5_001));
        others.push(ticket);
    }
    let ticket = probe.expect("an ejected upstream is probed again");
    for _ in 0..50 {
        assert_ne!(chosen(&mut table, &parts, at(5_002)), "runner-00");
    }
    table.on_finished(ticket, AttemptOutcome::Answered, at(5_100));
    assert!(!table.state(&"runner-00".into()).unwrap().health.needs_probe());
}

#[test]
fn ejected_share_is_limited() {
    let mut table = table_of(10, 9);
    let parts = RequestParts::new();
    for number in 0..10 {
        fail(&mut table, &format!("runner-{number:02}"), &parts, 10, at(0));
    }
    let ejected = table.states().filter(|state| state.health.is_ejected()).count();
    assert_eq!(ejected, 3);
    assert!(table.choose(&parts.request(), at(1)).is_ok());
}

#[test]
fn upstream_without_progress_is_avoided() {
    let mut table = table_of(3, 11);
    let parts = RequestParts::new();
    let tickets: Vec<_> = (0..3)
        .map(|number| {
            let name: UpstreamId = format!("runner-{number:02}").into();
            table.on_sent_to(&name, &parts.request(), 100, Duration::from_millis(20), at(0))
        })
        .collect();
    for ticket in &tickets[1..] {
        table.on_first_token(ticket, at(100));
        table.on_progress(ticket, at(3_900));
    }
    for _ in 0..50 {
        assert_ne!(chosen(&mut table, &parts, at(4_000)), "runner-00");
    }
}

#[test]
fn slow_upstream_is_avoided_until_its_measured_latency_expires() {
    let mut table = table_of(2, 13);
    let parts = RequestParts::new();
    for round in 0..10 {
        let now = at(round * 1_000);
        let ticket = table.on_sent_to(
            &"runner-00".into(),
            &parts.request(),
            0,
            Duration::from_millis(125),
            now,
        );
        table.on_first_token(&ticket, now + Duration::from_millis(900));
        table.on_finished(ticket, AttemptOutcome::Answered, now + Duration::from_millis(950));
    }
    for _ in 0..50 {
        assert_eq!(chosen(&mut table, &parts, at(10_000)), "runner-01");
    }
    let mut names = FastSet::default();
    for _ in 0..50 {
        names.insert(chosen(&mut table, &parts, at(300_000)));
    }
    assert_eq!(names.len(), 2);
}

#[test]
fn prefill_and_decode_run_on_engines_of_their_roles() {
    let mut table = table_of(2, 15);
    let prefill = LoadReport {
        role: EngineRole::Prefill,
        ..report(2)
    };
    let decode = LoadReport {
        role: EngineRole::Decode,
        ..report(2)
    };
    table.on_load_report(&"runner-00".into(), &prefill, at(0));
    table.on_load_report(&"runner-01".into(), &decode, at(0));
    let parts = RequestParts::new();
    let request = RouteRequest {
        prompt_tokens: 8_000,
        ..parts.request()
    };
    let decision = table.choose(&request, at(0)).unwrap();
    assert_eq!(decision.upstream.as_str(), "runner-01");
    assert_eq!(decision.prefill_at.unwrap().upstream.as_str(), "runner-00");
    assert_eq!(decision.reason, RouteReason::SplitPrefill);
}

#[test]
fn stale_reports_and_tickets_of_removed_upstreams_are_ignored() {
    let mut table = table_of(1, 17);
    let parts = RequestParts::new();
    let (_, ticket) = send(&mut table, &parts, at(0));
    let late = LoadReport {
        running: 15,
        ..report(1)
    };
    table.on_load_report(&"runner-00".into(), &late, at(1));
    assert_eq!(table.state(&"runner-00".into()).unwrap().in_flight(), 1);
    table.remove(&"runner-00".into());
    table.upsert(info("successor"));
    table.on_first_token(&ticket, at(2));
    table.on_finished(ticket, AttemptOutcome::Answered, at(3));
    assert_eq!(table.state(&"successor".into()).unwrap().own_requests(), 0);
    assert_eq!(table.own_load(), Vec::new());
}

#[test]
fn reported_models_update_the_index() {
    let mut table = table_of(1, 17);
    let mut parts = RequestParts::new();
    parts.model = "draft-3b".into();
    assert_eq!(table.choose(&parts.request(), at(0)), Err(RouteRefusal::NoModel));
    let loaded = LoadReport {
        models: vec!["draft-3b".into()],
        ..report(2)
    };
    table.on_load_report(&"runner-00".into(), &loaded, at(1));
    assert_eq!(chosen(&mut table, &parts, at(1)), "runner-00");
}

#[test]
fn baselines_pick_in_turn_by_report_and_at_random() {
    let fill = |policy: Box<dyn RoutePolicy>| {
        let mut table = RouteTable::new(RouteParams::default(), policy);
        for (number, running) in [5, 0, 9].into_iter().enumerate() {
            let name = format!("runner-{number:02}");
            table.upsert(info(&name));
            table.on_load_report(&name.as_str().into(), &LoadReport { running, ..report(1) }, at(0));
        }
        table
    };
    let parts = RequestParts::new();
    let mut round_robin = fill(Box::<RoundRobin>::default());
    let order: Vec<_> = (0..4).map(|_| chosen(&mut round_robin, &parts, at(1))).collect();
    assert_eq!(order, ["runner-01", "runner-02", "runner-00", "runner-01"]);
    let mut least_in_flight = fill(Box::new(LeastInFlight));
    assert_eq!(chosen(&mut least_in_flight, &parts, at(1)), "runner-01");
    let mut random = fill(Box::new(RandomPick::new(3)));
    let names: FastSet<_> = (0..50).map(|_| chosen(&mut random, &parts, at(1))).collect();
    assert_eq!(names.len(), 3);
}

#[test]
fn same_seed_gives_the_same_decisions() {
    let parts = RequestParts::new();
    let run = |seed| {
        let mut table = table_of(20, seed);
        (0..50)
            .map(|_| send(&mut table, &parts, at(0)).0)
            .collect::<Vec<_>>()
    };
    assert_eq!(run(4), run(4));
    assert_ne!(run(4), run(5));
}

#[test]
fn engine_priority_prefers_urgent_then_short_requests() {
    let order = [
        engine_priority(WorkClass::Interactive, 8_000),
        engine_priority(WorkClass::Standard, 300),
        engine_priority(WorkClass::Standard, 6_000),
        engine_priority(WorkClass::Long, 100),
    ];
    assert!(order.is_sorted_by(|left, right| left < right));
}
