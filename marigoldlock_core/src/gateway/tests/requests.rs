//! Tests of routes, outcomes of attempts and the retry budget.

use marigoldlock_wire::prelude::*;

use super::{at, millis};
use crate::gateway::budget::{BudgetLimits, BudgetStart, FixedShare, RetryBudget};
use crate::gateway::call::RefusalCause;
use crate::gateway::events::event_id;
use crate::gateway::outcome::{AttemptFailure, AttemptHistory, SendPhase};
use crate::gateway::route::{CallKind, CallerLimits, GatewaySettings, KeyOwner, RouteRule, TrafficShare};

const STREAM: CallKind = CallKind::Stream { resumable: false };
const RESUMABLE: CallKind = CallKind::Stream { resumable: true };

fn rule(name: &str, prefix: &str, shares: &[(&str, u32)]) -> RouteRule {
    RouteRule {
        name: name.into(),
        host: "shop.example".into(),
        path_prefix: prefix.into(),
        kind: CallKind::Idempotent,
        timeout: millis(1_000),
        target_latency: millis(100),
        gap_target: None,
        priority: 1,
        shares: shares
            .iter()
            .map(|(service, weight)| TrafficShare {
                service: ServiceId::from(*service),
                weight: *weight,
            })
            .collect(),
        max_attempts: 2,
        is_anonymous: false,
    }
}

fn settings(rules: Vec<RouteRule>) -> GatewaySettings {
    let owner = KeyOwner {
        customer: CustomerId::from("acme"),
        priority: None,
    };
    let keys = [("k1".to_owned(), owner)].into_iter().collect();
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
        header_timeout: millis(3_000),
        idle_timeout: millis(15_000),
    };
    GatewaySettings::new(7, rules, Vec::new(), Some(keys), limits)
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let settings = settings(vec![
        rule("short", "/a/", &[("s", 1)]),
        rule("long", "/a/b/", &[("s", 1)]),
    ]);
    let name = |host: &str, path: &str| settings.route(host, path).map(|rule| rule.name.clone());
    assert_eq!(name("shop.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("shop.example:8080", "/a/x").as_deref(), Some("short"));
    assert_eq!(name("shop.example", "/a"), None);
    assert_eq!(name("other.example", "/a/x"), None);
}

#[test]
fn a_key_identifies_its_customer() {
    let settings = settings(Vec::new());
    assert_eq!(settings.key_owner("k1").unwrap().customer.as_str(), "acme");
    assert!(settings.key_owner("k2").is_none());
}

#[test]
fn shares_follow_their_weights() {
    let rule = rule("split", "/", &[("a", 90), ("b", 10), ("c", 0)]);
    let draws = (0..1_000).map(|draw| rule.service(f64::from(draw) / 1_000.0).unwrap().clone());
    let mut counts: FastMap<ServiceId, u32> = FastMap::default();
    for service in draws {
        *counts.entry(service).or_default() += 1;
    }
    assert_eq!(counts[&ServiceId::from("a")], 900);
    assert_eq!(counts[&ServiceId::from("b")], 100);
    assert!(!counts.contains_key(&ServiceId::from("c")));
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_that_is_safe() {
    for failure in [
        AttemptFailure::Broken,
        AttemptFailure::TimedOut,
        AttemptFailure::Errored,
    ] {
        let mut attempts = AttemptHistory::default();
        attempts.count_sent();
        attempts.record(failure);
        assert!(!attempts.may_send(CallKind::NonIdempotent, 3), "{failure:?}");
        assert!(!attempts.may_send(STREAM, 3), "{failure:?}");
        assert!(attempts.may_send(CallKind::Idempotent, 3), "{failure:?}");
        assert!(attempts.may_send(RESUMABLE, 3), "{failure:?}");
        assert!(!attempts.refusal(false).is_not_run(), "{failure:?}");
        assert!(!attempts.refusal(true).is_not_run(), "{failure:?}");
    }
}

#[test]
fn a_request_that_did_not_run_may_go_elsewhere_within_its_attempts() {
    for failure in [AttemptFailure::NotRun, AttemptFailure::OtherUpstream] {
        let mut attempts = AttemptHistory::default();
        attempts.count_sent();
        attempts.record(failure);
        assert!(attempts.may_send(CallKind::NonIdempotent, 2));
        assert!(!attempts.may_send(CallKind::NonIdempotent, 1));
        assert_eq!(attempts.refusal(false), RefusalCause::TurnedAway);
    }
    let attempts = AttemptHistory::default();
    assert_eq!(attempts.refusal(false), RefusalCause::NoUpstream);
    assert_eq!(attempts.refusal(true), RefusalCause::TooLate);
}

#[test]
fn one_attempt_that_may_have_run_decides_the_refusal() {
    let mut attempts = AttemptHistory::default();
    for failure in [
        AttemptFailure::Broken,
        AttemptFailure::NotRun,
        AttemptFailure::NotSent,
    ] {
        attempts.count_sent();
        attempts.record(failure);
    }
    assert_eq!(attempts.refusal(false), RefusalCause::OutcomeUnknown);
    assert_eq!(attempts.refusal(true), RefusalCause::TimedOut);
}

#[test]
fn only_the_first_prefill_is_free() {
    let mut attempts = AttemptHistory::default();
    let never = || panic!("no retry is due");
    let prefill = attempts.permit(SendPhase::Prefill, RESUMABLE, 2, never).unwrap();
    attempts.release(prefill);
    let _prefill = attempts.permit(SendPhase::Prefill, RESUMABLE, 2, never).unwrap();
    attempts.record_prefill();
    assert!(
        attempts
            .permit(SendPhase::Prefill, RESUMABLE, 2, || true)
            .is_none()
    );
    let _run = attempts.permit(SendPhase::Run, RESUMABLE, 2, never).unwrap();
    attempts.record(AttemptFailure::Broken);
    assert!(
        attempts
            .permit(SendPhase::Prefill, RESUMABLE, 2, || true)
            .is_none()
    );
    assert!(
        attempts.permit(SendPhase::Run, RESUMABLE, 2, || false).is_none(),
        "the budget is exhausted"
    );
    let _resumed = attempts.permit(SendPhase::Run, RESUMABLE, 2, || true).unwrap();
    assert!(attempts.permit(SendPhase::Run, RESUMABLE, 2, || true).is_none());
}

#[test]
fn a_rejected_prefill_counts_as_an_attempt() {
    for (max_attempts, may_run) in [(1, false), (2, true)] {
        let mut attempts = AttemptHistory::default();
        let _rejected = attempts
            .permit(SendPhase::Prefill, STREAM, max_attempts, || false)
            .unwrap();
        attempts.record(AttemptFailure::NotRun);
        let run = attempts.permit(SendPhase::Run, STREAM, max_attempts, || true);
        assert_eq!(run.is_some(), may_run);
    }
}

#[test]
fn all_instances_together_stay_within_the_retry_budget() {
    let limits = BudgetLimits {
        ratio: 0.2,
        slack: 56.0,
        window: millis(10_000),
    };
    for instances in [1_usize, 8, 40, 400] {
        let mut retries = 0;
        for _ in 0..instances {
            let mut budget = RetryBudget::default();
            for request in 0..50 {
                budget.count_request(at(request * 10), &limits);
            }
            retries += (0..200)
                .filter(|_| budget.try_retry(at(600), &limits, FixedShare::Equal(instances)))
                .count();
        }
        let allowed = 0.2 * 50.0 * instances as f64 + 56.0;
        assert!(
            retries as f64 <= allowed,
            "{instances} instances: {retries} of {allowed}"
        );
    }
}

/// Guards against retries beyond the budget: each restart granted the fixed retries anew.
#[test]
fn instances_that_restart_at_any_time_stay_within_the_retry_budget() {
    let limits = BudgetLimits {
        ratio: 0.2,
        slack: 52.0,
        window: millis(10_000),
    };
    let step_ms = 50;
    for lifetime_ms in [200, 1_000, 4_000, 9_950, 10_050, 15_000, 100_000] {
        let instances = 6;
        let mut sent = Vec::new();
        for instance in 0..instances {
            let mut start = BudgetStart::new(at(0));
            let mut budget = RetryBudget::default();
            for time in (0..40_000).step_by(step_ms) {
                let is_restart = time > 0 && (time + instance * 130) % lifetime_ms < step_ms as u64;
                if is_restart {
                    start = BudgetStart::new(at(time));
                    budget = RetryBudget::default();
                }
                if time == 0 && instance == 0 {
                    start.record_first();
                }
                budget.count_request(at(time), &limits);
                let share = start.share(at(time), &limits, instances as usize);
                while budget.try_retry(at(time), &limits, share) {
                    sent.push(time);
                }
            }
        }
        for from in (0..30_000_u64).step_by(step_ms) {
            let window = from..from + 10_000;
            let retries = sent.iter().filter(|&&time| window.contains(&time)).count();
            let requests = instances as f64 * 10_000.0 / step_ms as f64;
            let allowed = limits.ratio * requests + limits.slack;
            assert!(
                retries as f64 <= allowed,
                "lifetime {lifetime_ms} ms, from {from} ms: {retries} of {allowed}"
            );
        }
    }
}

#[test]
fn the_retry_budget_is_restored_after_its_window() {
    let limits = BudgetLimits {
        ratio: 0.0,
        slack: 5.0,
        window: millis(10_000),
    };
    let mut budget = RetryBudget::default();
    let share = FixedShare::Equal(1);
    let granted = (0..10)
        .filter(|_| budget.try_retry(at(0), &limits, share))
        .count();
    assert_eq!(granted, 4);
    assert!(!budget.try_retry(at(9_999), &limits, share));
    assert!(budget.try_retry(at(10_001), &limits, share));
}

#[test]
fn event_ids_are_parsed_and_other_lines_ignored() {
    assert_eq!(event_id(b"id: 12\ndata: x\n\n"), Some(12));
    assert_eq!(event_id(b"weight-versions: 3\nid:4\r\ndata: id: 9\n\n"), Some(4));
    assert_eq!(event_id(b"data: x\n\n"), None);
    assert_eq!(event_id(b"id: twelve\n\n"), None);
}
