//! Customers' allowances on the users' platform, counted at the upstreams.

mod platform_support;

use std::time::Instant;

use marigoldlock_standin::site::{SITE_KEY, site_settings};
use platform_support::{Site, wait_until};
use serde_json::{Value, json};

/// Tokens of one request of the stand-in caller.
const REQUEST_TOKENS: u64 = 5_020;

fn settings_with(version: u64, allowance: &Value) -> Value {
    let mut settings = site_settings(version);
    let customer = settings["Tenants"][0].as_object_mut().unwrap();
    for (field, value) in allowance.as_object().unwrap() {
        customer.insert(field.clone(), value.clone());
    }
    settings
}

async fn start_with(instances: usize, allowance: Value) -> Site {
    let site = Site::start(instances).await;
    site.store.put_settings(&settings_with(20, &allowance));
    wait_until("the allowance is in force everywhere", || {
        site.instances
            .iter()
            .all(|instance| instance.settings_version() == 20)
    })
    .await;
    site
}

/// Guards against requests beyond the allowance that reach an upstream, and against refusals without a time to come back.
#[tokio::test]
async fn requests_beyond_the_allowance_get_429_and_reach_no_upstream() {
    let (rate, burst) = (3_000, 6_000);
    let allowance = json!({"Unit": "token_stream", "PlainTokens": 200, "RatePerS": rate, "Burst": burst});
    let site = start_with(2, allowance).await;
    let begun_at = Instant::now();
    let mut served = 0;
    for number in 0..40 {
        let attempt = format!("a{number}");
        let answer = site.send(number % 2, "/look/x", &attempt).await;
        if answer.status() == 200 {
            served += 1;
            continue;
        }
        assert_eq!(answer.status(), 429);
        let after: f64 = answer.headers()["retry-after"].to_str().unwrap().parse().unwrap();
        assert!(after > 0.0);
        let runs = site.upstreams.iter().flat_map(|upstream| upstream.arrivals());
        assert!(
            runs.into_iter().all(|arrival| arrival.attempt != attempt),
            "{attempt} was refused and reached an upstream"
        );
    }
    // Each instance may admit one request before it hears of the other's.
    let allowed = burst + rate * (begun_at.elapsed().as_secs() + 1) + 2 * REQUEST_TOKENS;
    assert!(
        served > 0 && served * REQUEST_TOKENS <= allowed,
        "{served} requests, {allowed} tokens allowed"
    );
}

/// Guards against a customer that is refused although it asks for less than its allowance.
#[tokio::test]
async fn requests_within_the_allowance_are_served() {
    let allowance =
        json!({"Unit": "token_stream", "PlainTokens": 200, "RatePerS": 10_000_000, "Burst": 10_000_000});
    let site = start_with(2, allowance).await;
    for number in 0..20 {
        let answer = site.send(number % 2, "/draft/x", &format!("s{number}")).await;
        assert_eq!(answer.status(), 200);
        answer.text().await.unwrap();
    }
}

/// Guards against settings with an impossible allowance that replace those in force.
#[tokio::test]
async fn an_impossible_allowance_leaves_the_settings_in_force() {
    let site = Site::start(1).await;
    site.store
        .put_settings(&settings_with(30, &json!({"RatePerS": -5})));
    let mut next = site_settings(31);
    next["Tenants"][0]["ApiKeys"] = json!([SITE_KEY, "key-new"]);
    site.store.put_settings(&next);
    wait_until("the next version is in force", || {
        site.instances[0].settings_version() == 31
    })
    .await;
    assert_eq!(site.send_as(0, "/look/x", "l1", "key-new").await.status(), 200);
}
