//! Time of one routing, admission and placement decision and of the blame for crashes, at the current and the target fleet size.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use marigoldlock_core::admission::{
    AdmissionControl, AdmissionDecision, AdmissionEvent, AdmissionParams, AdmissionRequest, FinishedWork,
};
use marigoldlock_core::gateway::blame::{CrashRecord, SuspectKey};
use marigoldlock_core::gateway::crashes::{CrashTable, FleetTime};
use marigoldlock_core::gateway::state::UpstreamKey;
use marigoldlock_core::placement::{
    AdaptivePlacement, DemandSample, EngineView, FleetView, PlacementParams, PlacementPolicy,
};
use marigoldlock_core::prelude::*;
use marigoldlock_core::routing::{
    AttemptOutcome, ExpectedCost, RouteParams, RouteRequest, RouteTable, UpstreamInfo, UpstreamKind,
    WorkClass,
};
use marigoldlock_wire::engine::{CacheChange, CacheEvent, CacheEvents, EngineRole, LoadReport};
use marigoldlock_wire::platform::CapacityKind;

/// Upstreams, customers and models of the current and of the target fleet.
const SIZES: [(usize, usize, usize); 2] = [(12, 8, 8), (600, 1_500, 8)];

/// Full cache blocks in each prompt.
const BLOCKS: u64 = 32;

fn model(number: usize) -> ModelId {
    format!("model-{number}").into()
}

fn upstream(number: usize) -> UpstreamId {
    format!("runner-{number:03}").into()
}

fn table(upstreams: usize, models: usize) -> RouteTable {
    let mut table = RouteTable::new(RouteParams::default(), Box::new(ExpectedCost::new(7)));
    // Each engine has two models, so a model is loaded on a quarter of the engines.
    let loaded_models = |number: usize| vec![model(number % models), model((number + 1) % models)];
    for number in 0..upstreams {
        table.upsert(UpstreamInfo {
            id: upstream(number),
            service: "llm".into(),
            data_centre: format!("dc-{}", number % 9).into(),
            address: "127.0.0.1:9000".into(),
            capacity: CapacityKind::Steady,
            models: loaded_models(number),
            kind: UpstreamKind::Engine,
        });
        let report = LoadReport {
            incarnation: Incarnation(1),
            sequence: 1,
            running: (number % 7) as u32,
            prefill_backlog_tokens: (number % 5) as u64 * 400,
            prefill_tokens_per_s: 8_000.0,
            decode_tokens_per_s: 40.0,
            slots: 16,
            models: loaded_models(number),
            ..LoadReport::default()
        };
        table.on_load_report(&upstream(number), &report, MonoTime::ZERO);
        let events = (0..BLOCKS).map(|block| CacheEvent {
            sequence: block,
            change: CacheChange::Stored,
            prefix: block + 1_000 * (number as u64 % 50),
        });
        let events = CacheEvents {
            incarnation: Incarnation(1),
            next: BLOCKS,
            events: events.collect(),
        };
        table.on_cache_events(&upstream(number), &events, MonoTime::ZERO);
    }
    table
}

fn bench_route(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route");
    for (upstreams, _, models) in SIZES {
        let mut table = table(upstreams, models);
        let service: ServiceId = "llm".into();
        let local: DataCentre = "dc-0".into();
        let asked: Vec<_> = (0..models).map(model).collect();
        let prompts: Vec<Vec<u64>> = (0..50)
            .map(|prompt| (0..BLOCKS).map(|block| block + 1_000 * prompt).collect())
            .collect();
        let mut turn = 0;
        let mut choose = |table: &mut RouteTable, sends: bool| {
            turn += 1;
            let now = MonoTime::from_millis(turn as u64);
            let ask = RouteRequest {
                service: &service,
                model: Some(&asked[turn % models]),
                prefixes: &prompts[turn % prompts.len()],
                prompt_tokens: 2_100,
                output_tokens: 200,
                class: WorkClass::ALL[turn % 3],
                cheap_allowed: true,
                data_centres: &[],
                exclude: &[],
                local: &local,
            };
            let decision = table.choose(&ask, now).expect("an upstream takes it");
            if sends {
                let ticket = table.on_sent(&decision, &ask, now);
                table.on_first_token(&ticket, now);
                table.on_finished(ticket, AttemptOutcome::Answered, now);
            }
            decision
        };
        group.bench_function(BenchmarkId::new("choose", upstreams), |bencher| {
            bencher.iter(|| black_box(choose(&mut table, false)));
        });
        group.bench_function(BenchmarkId::new("choose_and_account", upstreams), |bencher| {
            bencher.iter(|| black_box(choose(&mut table, true)));
        });
    }
    group.finish();
}

fn bench_admit(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admit");
    for (upstreams, customers, _) in SIZES {
        let ids: Vec<CustomerId> = (0..customers)
            .map(|number| format!("customer-{number}").into())
            .collect();
        let service: ServiceId = "llm".into();
        let mut next = 0u64;
        let mut offer = |control: &mut AdmissionControl| {
            next += 1;
            let now = MonoTime::from_millis(next / 10);
            let verdict = control.submit(&AdmissionRequest {
                id: RequestId(u128::from(next)),
                customer: &ids[next as usize % customers],
                service: &service,
                class: WorkClass::ALL[next as usize % 3],
                weight: 1,
                prompt_tokens: 2_000,
                max_output_tokens: 200,
                deadline: now + Duration::from_secs(86_400),
                now,
            });
            (RequestId(u128::from(next)), verdict)
        };
        let mut idle = AdmissionControl::new(AdmissionParams::default());
        idle.set_capacity(&service, upstreams as u32 * 16);
        group.bench_function(BenchmarkId::new("start_and_finish", customers), |bencher| {
            bencher.iter(|| {
                let (request, _) = offer(&mut idle);
                let work = FinishedWork {
                    prompt_tokens: 2_000,
                    output_tokens: 200,
                };
                idle.on_finished(request, Some(work), MonoTime::ZERO);
                black_box(idle.take_events())
            });
        });
        // Four requests of each customer are queued; each request that finishes starts one of them.
        let mut busy = AdmissionControl::new(AdmissionParams::default());
        busy.set_capacity(&service, upstreams as u32 * 16);
        let mut running = std::collections::VecDeque::new();
        for _ in 0..customers * 4 + upstreams * 16 {
            let (request, verdict) = offer(&mut busy);
            if verdict == AdmissionDecision::Start {
                running.push_back(request);
            }
        }
        group.bench_function(BenchmarkId::new("queue_and_start", customers), |bencher| {
            bencher.iter(|| {
                let (offered, verdict) = offer(&mut busy);
                if verdict == AdmissionDecision::Start {
                    running.push_back(offered);
                }
                let request = running.pop_front().expect("something runs");
                let work = FinishedWork {
                    prompt_tokens: 2_000,
                    output_tokens: 200,
                };
                busy.on_finished(request, Some(work), MonoTime::ZERO);
                running.extend(starts(busy.take_events()));
            });
        });
    }
    group.finish();
}

fn starts(events: Vec<AdmissionEvent>) -> impl Iterator<Item = RequestId> {
    events.into_iter().filter_map(|event| match event {
        AdmissionEvent::Start { request } => Some(request),
        AdmissionEvent::Refuse { .. } => None,
    })
}

fn bench_place(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    for (upstreams, _, models) in SIZES {
        let data_centres: Vec<DataCentre> = (0..9).map(|number| format!("dc-{number}").into()).collect();
        let engines: Vec<_> = (0..upstreams)
            .map(|number| EngineView {
                id: upstream(number),
                data_centre: data_centres[number % 9].clone(),
                capacity: CapacityKind::Steady,
                role: [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode][number % 3],
                ordered_role: None,
                changing: false,
                leaving: false,
                in_flight: 4,
                models: vec![model(number % models)],
            })
            .collect();
        let service: ServiceId = "llm".into();
        let scale = upstreams as f64;
        let demand = DemandSample {
            prefill_tokens_per_s: 2_600.0 * scale,
            output_tokens_per_s: 120.0 * scale,
            interruptible: 0.3,
            ..DemandSample::default()
        };
        group.bench_function(BenchmarkId::new("plan", upstreams), |bencher| {
            bencher.iter_batched_ref(
                || {
                    AdaptivePlacement::new(PlacementParams {
                        max_upstreams: 1_000,
                        ..PlacementParams::default()
                    })
                },
                |policy| {
                    let view = FleetView {
                        service: &service,
                        engines: &engines,
                        data_centre: &data_centres[0],
                        data_centres: &data_centres,
                        demand,
                        models: &[],
                    };
                    black_box(policy.plan(&view, MonoTime::ZERO))
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

/// Time to derive the causes from as many crash records as an instance keeps, and to look up one request.
fn bench_blame(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("blame");
    let time = FleetTime {
        now: MonoTime::from_millis(1_000),
        fleet_ms: 1_767_252_734_991,
    };
    let suspects = |request: u64| vec![SuspectKey::Request(request), SuspectKey::PromptPart(request % 50)];
    let mut table = CrashTable::default();
    for request in 0..200 {
        table.record_crash(
            CrashRecord {
                request,
                upstream: UpstreamKey::from(&upstream(request as usize % 60)),
                sent_ms: time.fleet_ms - 5_000 + request,
                crashed_ms: time.fleet_ms - 4_000 + request,
                suspects: suspects(request),
            },
            time,
        );
    }
    group.bench_function("update", |bencher| {
        bencher.iter(|| table.clone().update(black_box(time)))
    });
    let keys = suspects(7);
    group.bench_function("look_up", |bencher| {
        bencher.iter(|| table.block_left(black_box(&keys), time.fleet_ms));
    });
    group.finish();
}

criterion_group!(decisions, bench_route, bench_admit, bench_place, bench_blame);
criterion_main!(decisions);
