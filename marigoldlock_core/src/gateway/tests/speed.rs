//! Tests of upstreams' speeds and of the choice by them.

use std::time::Duration;

use marigoldlock_wire::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{at, entry, even_choice, millis, prompt};
use crate::gateway::adapter::LoadReport;
use crate::gateway::catalog::{UpstreamEntry, UpstreamRole};
use crate::gateway::choice::{Candidate, ChoiceContext, pick_decode, pick_plain, pick_prefill};
use crate::gateway::speed::{SlownessFactor, SpeedBaseline, UpstreamSpeed};
use crate::gateway::state::UpstreamState;
use crate::time::MonoTime;

fn report(slowdown: Option<u32>) -> LoadReport {
    LoadReport {
        slots: 64,
        slowdown,
        ..LoadReport::default()
    }
}

fn candidates(fleet: &[(UpstreamEntry, UpstreamState)]) -> Vec<Candidate<'_>> {
    let pairs = fleet.iter();
    pairs.map(|(entry, state)| Candidate { entry, state }).collect()
}

fn factor(speed: &UpstreamSpeed, now: MonoTime) -> f64 {
    f64::from(speed.slowness(now).per_mille()) / 1e3
}

/// Measures `rounds` response times at each upstream, which take `factors` times as long as normal, between half and
/// twice that at random.
fn measure(factors: &[f64], rounds: usize, random: &mut StdRng) -> (Vec<UpstreamSpeed>, MonoTime) {
    let mut speeds = vec![UpstreamSpeed::default(); factors.len()];
    let mut baseline = SpeedBaseline::default();
    let mut now = at(0);
    for _ in 0..rounds {
        now = now + millis(10);
        for (speed, factor) in speeds.iter_mut().zip(factors) {
            let spread = random.random_range(-1.0_f64..1.0).exp2();
            let elapsed = Duration::from_secs_f64(0.03 * factor * spread);
            speed.record_time(1, elapsed, &mut baseline, now);
        }
    }
    (speeds, now)
}

/// Guards against changes for deployments whose upstreams are equally fast: decisions of the cost functions without
/// and with speeds are compared on random candidates that report no slowdown, or the normal one.
#[test]
fn without_speeds_the_choice_is_that_of_equally_fast_upstreams() {
    let mut random = StdRng::seed_from_u64(4);
    for round in 0..20_000_u64 {
        let is_plain = round % 2 == 0;
        let mut fleet = Vec::new();
        for number in 0..random.random_range(1..12) {
            let role =
                [UpstreamRole::Whole, UpstreamRole::Prefill, UpstreamRole::Decode][random.random_range(0..3)];
            let data_centre = ["a", "b", "c"][random.random_range(0..3)];
            let mut entry = entry(&format!("u{number}"), data_centre, role);
            entry.slots = random.random_range(0..12);
            let mut state = UpstreamState::default();
            state.own.requests = random.random_range(0..8);
            state.peers.requests = random.random_range(0..8);
            state.own.prefill_tokens = random.random_range(0..20_000);
            state.peers.waiting_tokens = random.random_range(0..20_000);
            if random.random_bool(0.5) {
                let slowdown = [None, Some(100)][random.random_range(0..2)];
                let report = LoadReport {
                    running: random.random_range(0..12),
                    ..report(slowdown)
                };
                state.record_report(report, at(random.random_range(0..800)));
            }
            if random.random_bool(0.2) {
                state.record_failure(at(0));
            }
            if random.random_bool(0.3) {
                state.prefix.record(&prompt(round % 7, 5_000, 1).parts, 100_000);
            }
            fleet.push((entry, state));
        }
        let candidates = candidates(&fleet);
        let data_centre = DataCentre::from("a");
        let context = ChoiceContext {
            data_centre: &data_centre,
            now: at(800),
        };
        let seed = random.random();
        if is_plain {
            let chosen = pick_plain(&candidates, context, seed);
            let expected = even_choice::pick_plain(candidates.iter().copied(), context, seed);
            assert_eq!(chosen, expected, "round {round}");
            continue;
        }
        let prompt = prompt(
            round % 7,
            random.random_range(0..9_000),
            random.random_range(1..9_000),
        );
        assert_eq!(
            pick_prefill(&candidates, &prompt, context),
            even_choice::pick_prefill(&candidates, &prompt, context),
            "round {round}"
        );
        assert_eq!(
            pick_decode(&candidates, context, seed),
            even_choice::pick_decode(&candidates, context, seed),
            "round {round}"
        );
    }
}

/// Guards against decisions by a value that changes many times a second.
#[test]
fn a_reported_slowdown_is_smoothed_and_decays_with_its_age() {
    let mut speed = UpstreamSpeed::default();
    for step in 0..1_000 {
        let percent = if step % 2 == 0 { 50 } else { 200 };
        speed.record_report(percent, at(step * 10));
    }
    assert!((0.9..1.1).contains(&factor(&speed, at(10_000))), "{speed:?}");

    let mut speed = UpstreamSpeed::default();
    for step in 0..1_000 {
        speed.record_report(100, at(step * 10));
    }
    assert_eq!(speed.slowness(at(10_000)), SlownessFactor::NORMAL);
    for step in 1_000..1_060 {
        speed.record_report(250, at(step * 10));
    }
    assert!(factor(&speed, at(10_600)) > 2.2, "a slowdown of 600 ms shows");
    assert!(
        factor(&speed, at(11_600)) < 1.3,
        "an old report has little effect"
    );
    assert!(
        factor(&speed, at(20_000)) < 1.06,
        "what remains is the mean of 10 s with 600 ms of slowdown"
    );
}

/// Guards against permanent differences that no report tells.
#[test]
fn a_permanent_difference_is_measured() {
    let mut random = StdRng::seed_from_u64(1);
    let (speeds, now) = measure(&[0.7, 0.7, 1.7], 400, &mut random);
    let factors: Vec<f64> = speeds.iter().map(|speed| factor(speed, now)).collect();
    let ratio = factors[2] / factors[0];
    assert!((1.9..3.0).contains(&ratio), "1.7 to 0.7: {factors:?}");
    assert!((0.8..1.25).contains(&(factors[1] / factors[0])), "{factors:?}");
    let later = factor(&speeds[2], now + Duration::from_secs(300));
    assert!(later < 1.05, "an upstream that is avoided gets another chance");
}

/// Guards against preferences by chance among equally fast upstreams.
#[test]
fn equally_fast_upstreams_are_measured_as_such() {
    let mut notable = 0;
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        for rounds in [10, 40, 100, 400] {
            let (speeds, now) = measure(&[1.0; 6], rounds, &mut random);
            let is_notable = |speed: &&UpstreamSpeed| speed.slowness(now).is_notable();
            notable += speeds.iter().filter(is_notable).count();
        }
    }
    assert_eq!(notable, 0, "of 1200");
}

/// Guards against counting a permanent difference twice if the reports include it, or not at all if they don't.
#[test]
fn a_permanent_difference_counts_once_whether_or_not_it_is_reported() {
    for is_reported in [false, true] {
        let mut slow = UpstreamState::default();
        let mut fast = UpstreamState::default();
        let mut baseline = SpeedBaseline::default();
        let mut now = at(0);
        for _ in 0..600 {
            now = now + millis(10);
            slow.record_report(report(Some(if is_reported { 170 } else { 100 })), now);
            fast.record_report(report(Some(if is_reported { 70 } else { 100 })), now);
            slow.record_time(1, millis(51), &mut baseline, now);
            fast.record_time(1, millis(21), &mut baseline, now);
        }
        let per_mille = |state: &UpstreamState| f64::from(state.slowness(now).per_mille());
        let ratio = per_mille(&slow) / per_mille(&fast);
        assert!((2.2..2.7).contains(&ratio), "reported {is_reported}: {ratio}");
    }
}

/// Guards against requests at a slow upstream while a fast one is free, and against slow upstreams without work while
/// fast ones are full.
#[test]
fn work_goes_to_fast_upstreams_first_and_to_slow_ones_up_to_their_capacity() {
    let data_centre = DataCentre::from("a");
    let context = ChoiceContext {
        data_centre: &data_centre,
        now: at(0),
    };
    for (slots, is_plain) in [(6, true), (64, false)] {
        let mut fleet: Vec<(UpstreamEntry, UpstreamState)> = (0..3)
            .map(|number| {
                let mut entry = entry(&format!("u{number}"), "a", UpstreamRole::Whole);
                entry.slots = slots;
                let mut state = UpstreamState::default();
                state.record_report(report(Some([70, 70, 170][number])), at(0));
                (entry, state)
            })
            .collect();
        let mut order = Vec::new();
        for request in 0..u64::from(slots) * 3 {
            let candidates = candidates(&fleet);
            let chosen = if is_plain {
                pick_plain(&candidates, context, request)
            } else {
                pick_decode(&candidates, context, request)
            };
            let id = chosen.unwrap().id.clone();
            let index = fleet.iter().position(|(entry, _)| entry.id == id).unwrap();
            fleet[index].1.own.requests += 1;
            order.push(index);
        }
        assert!(order[..3].iter().all(|index| *index != 2), "{order:?}");
        for (entry, state) in &fleet {
            assert_eq!(state.own.requests, slots, "{}: {order:?}", entry.id);
        }
        let first = order.iter().position(|index| *index == 2).unwrap();
        assert!(
            first < order.len() / 2,
            "slow upstreams get work before fast ones are full"
        );
    }
}

/// Guards against a slowed engine that keeps prompts whose prefix it owns although another one is done much earlier.
#[test]
fn a_slowed_engine_prefills_fewer_prompts() {
    let data_centre = DataCentre::from("a");
    let context = ChoiceContext {
        data_centre: &data_centre,
        now: at(0),
    };
    let prompt = prompt(3, 6_000, 4_000);
    let mut fleet: Vec<(UpstreamEntry, UpstreamState)> = (0..4)
        .map(|number| {
            let entry = entry(&format!("u{number}"), "a", UpstreamRole::Prefill);
            (entry, UpstreamState::default())
        })
        .collect();
    let owner = pick_prefill(&candidates(&fleet), &prompt, context)
        .unwrap()
        .0
        .id
        .clone();
    for (entry, state) in &mut fleet {
        let slowdown = if entry.id == owner { 300 } else { 100 };
        state.record_report(report(Some(slowdown)), at(0));
    }
    let (chosen, uncached) = pick_prefill(&candidates(&fleet), &prompt, context).unwrap();
    assert_ne!(chosen.id, owner);
    assert_eq!(uncached, 10_000);
}

/// Guards against a service whose upstreams report no slowdown and are chosen by chance differences of their answers.
#[test]
fn an_upstream_that_reports_no_slowdown_is_not_measured() {
    let mut baseline = SpeedBaseline::default();
    let mut silent = UpstreamState::default();
    for number in 0..1_000 {
        let elapsed = if number < 500 { 20 } else { 60 };
        silent.record_time(1, millis(elapsed), &mut baseline, at(number * 10));
    }
    assert!(!silent.slowness(at(10_000)).is_notable());
}
