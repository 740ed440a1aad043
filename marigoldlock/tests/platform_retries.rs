//! The fleet's retry budget on the users' platform, counted at the upstreams.

mod platform_support;

use std::collections::HashMap;

use marigoldlock::gateway::{GatewayBounds, GatewayServer};
use marigoldlock_core::gateway::budget::BudgetLimits;
use marigoldlock_standin::site::UpstreamStandin;
use platform_support::{Site, event_ids};

/// Allows `slack` retries and none per request.
fn limit_retries(server: &GatewayServer, slack: f64) {
    let bounds = server.bounds();
    server.set_bounds(GatewayBounds {
        budget: BudgetLimits {
            ratio: 0.0,
            slack,
            ..bounds.budget
        },
        ..bounds
    });
}

/// Arrivals at the upstreams beyond the first of each request. The first accepted prefill of a request is free.
fn repeats(site: &Site) -> HashMap<String, usize> {
    let mut arrivals: HashMap<String, (usize, bool)> = HashMap::new();
    for arrival in site.upstreams.iter().flat_map(UpstreamStandin::arrivals) {
        let (count, has_prefill) = arrivals.entry(arrival.attempt).or_default();
        *count += 1;
        *has_prefill |= arrival.is_prefill && arrival.is_accepted;
    }
    arrivals
        .into_iter()
        .map(|(attempt, (count, has_prefill))| (attempt, count - usize::from(has_prefill) - 1))
        .collect()
}

fn break_streams(site: &Site, cuts_resumed_streams: bool) {
    for id in ["d1", "d2"] {
        site.runner(id).set_faults(|faults| {
            faults.cut_stream_after = Some(2);
            faults.cuts_resumed_streams = cuts_resumed_streams;
        });
    }
}

/// Guards against retries beyond the budget: a resumed stream was prefilled again without being counted.
#[tokio::test]
async fn a_resumed_stream_sends_no_more_than_its_attempts_allow() {
    let site = Site::start(1).await;
    break_streams(&site, true);
    for number in 0..4 {
        let answer = site.send(0, "/draft/x", &format!("s{number}")).await;
        assert!(answer.text().await.is_err(), "no engine finishes the stream");
    }
    for (attempt, repeats) in repeats(&site) {
        assert!(
            repeats <= 1,
            "{attempt}: {repeats} requests beyond the first, with two attempts"
        );
    }
}

/// Guards against a second full prefill: a resumed stream is no longer prefilled apart.
#[tokio::test]
async fn a_resumed_stream_copies_the_prompt_from_the_engine_that_prefilled_it() {
    let site = Site::start(1).await;
    break_streams(&site, false);
    let answer = site.send(0, "/draft/x", "s1").await;
    assert_eq!(event_ids(&answer.text().await.unwrap()).len(), 6);
    let mut runs: Vec<_> = ["d1", "d2"]
        .iter()
        .flat_map(|id| site.runner(id).runs())
        .collect();
    runs.sort_by_key(|run| run.last_event);
    let peer = site.runner("p1").address().to_string();
    assert_eq!((runs.len(), runs[0].kv_fetch.as_ref()), (2, None));
    assert_eq!(runs[1].kv_source, None, "a handle can be taken only once");
    assert_eq!(runs[1].kv_fetch.as_deref(), Some(peer.as_str()));
}

/// Guards against retries beyond the budget: an exhausted budget still let each broken stream send a prefill.
#[tokio::test]
async fn broken_streams_send_nothing_more_once_the_retry_budget_is_exhausted() {
    let site = Site::start(1).await;
    let slack = 5.0;
    limit_retries(&site.instances[0], slack);
    break_streams(&site, false);
    for number in 0..12 {
        // Whether the stream is complete depends on the budget.
        site.send(0, "/draft/x", &format!("s{number}"))
            .await
            .text()
            .await
            .ok();
    }
    let sum: usize = repeats(&site).values().sum();
    assert!(sum as f64 <= slack, "{sum} retries, {slack} allowed");
}

/// Guards against retries beyond the budget: a restarted instance was granted what its predecessor had spent.
#[tokio::test]
async fn restarts_grant_no_further_retries() {
    let mut site = Site::start(1).await;
    let slack = 10.0;
    for id in ["a1", "a2"] {
        site.runner(id)
            .set_faults(|faults| faults.rejects_requests = true);
    }
    for restart in 0..3 {
        limit_retries(&site.instances[0], slack);
        for number in 0..12 {
            let attempt = format!("l{restart}-{number}");
            assert_eq!(site.send(0, "/look/x", &attempt).await.status(), 503);
        }
        site.instances.remove(0).abort();
        site.start_instance(0).await.unwrap();
    }
    let sum: usize = repeats(&site).values().sum();
    assert!(sum > 0, "the first instance may retry");
    assert!(sum as f64 <= slack, "{sum} retries, {slack} allowed");
}
