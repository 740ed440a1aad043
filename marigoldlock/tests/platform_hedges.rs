//! Hedged requests on the users' platform, counted at the upstreams.

mod platform_support;

use std::time::Duration;

use marigoldlock_core::gateway::hedge::HedgeShare;
use marigoldlock_standin::site::{UpstreamFaults, UpstreamStandin};
use platform_support::{Site, wait_until};

/// Upstreams of the plain service.
const PLAIN: [&str; 2] = ["a1", "a2"];

/// Requests from which the latency is learned. A fifth of them may be hedged later, more than there are slow ones.
const LEARNING_REQUESTS: usize = 150;

/// Requests that are sent while an upstream is slow.
const SLOW_PHASE_REQUESTS: usize = 16;

/// Time that the slow upstream takes: above the target latency, below three of them, after which a request without a
/// hedge goes elsewhere as well.
const SLOW_DELAY: Duration = Duration::from_millis(800);

/// Starts a site whose instance has this share and has learned the usual latency.
async fn start(share: f64) -> Site {
    let mut site = Site::start(0).await;
    let share = HedgeShare::try_new(share).unwrap();
    site.start_hedging_instance(0, share).await.unwrap();
    for number in 0..LEARNING_REQUESTS {
        let answer = site.send(0, "/look/x", &format!("learn{number}")).await;
        assert_eq!(answer.status(), 200);
        answer.bytes().await.unwrap();
    }
    site
}

fn set_faults(site: &Site, ids: &[&str], change: impl Fn(&mut UpstreamFaults)) {
    for id in ids {
        site.runner(id).set_faults(&change);
    }
}

/// Attempts of the slow phase that reached an upstream.
fn slow_phase(upstream: &UpstreamStandin) -> Vec<String> {
    let arrivals = upstream.arrivals().into_iter();
    arrivals
        .map(|arrival| arrival.attempt)
        .filter(|attempt| attempt.starts_with("slow"))
        .collect()
}

/// Sends the requests of the slow phase, and returns the ids of the upstreams that answered them.
async fn send_slow_phase(site: &Site, path: &str) -> Vec<String> {
    let mut answered_by = Vec::new();
    for number in 0..SLOW_PHASE_REQUESTS {
        let answer = site.send(0, path, &format!("slow{number}")).await;
        assert_eq!(answer.status(), 200);
        let seal = answer.headers()["response-seal"].to_str().unwrap().to_owned();
        assert_eq!(answer.text().await.unwrap(), "whole answer");
        answered_by.push(seal);
    }
    answered_by
}

/// Guards against a p99 that one slow upstream decides: without hedges all requests that reach it wait for it, with
/// them none does. Also guards against losing attempts that run on, and against upstreams ejected because they lost.
#[tokio::test]
async fn with_hedges_no_request_waits_for_a_slow_upstream() {
    for share in [0.0, 0.2] {
        let site = start(share).await;
        set_faults(&site, &["a1"], |faults| faults.delay = SLOW_DELAY);
        let answered_by = send_slow_phase(&site, "/look/x").await;
        let slow = answered_by.iter().filter(|id| *id == "a1").count();
        let reached = slow_phase(site.runner("a1"));
        assert!(
            reached.len() > 1,
            "the slow upstream is still chosen; an attempt that lost is no failure"
        );
        if share == 0.0 {
            assert_eq!(slow, reached.len(), "every request waits for its upstream");
            assert!(site.runner("a1").cancelled().is_empty());
            let sent: usize = PLAIN.iter().map(|id| slow_phase(site.runner(id)).len()).sum();
            assert_eq!(sent, SLOW_PHASE_REQUESTS);
            continue;
        }
        assert_eq!(slow, 0, "answered by {answered_by:?}");
        wait_until("the slower attempts are cancelled", || {
            let mut cancelled = site.runner("a1").cancelled();
            cancelled.retain(|attempt| attempt.starts_with("slow"));
            cancelled == reached
        })
        .await;
        let all: usize = PLAIN.iter().map(|id| site.runner(id).arrivals().len()).sum();
        let requests = LEARNING_REQUESTS + SLOW_PHASE_REQUESTS;
        assert!(
            all as f64 <= 1.2 * requests as f64,
            "{all} arrivals of {requests} requests"
        );
        // All instances report usage once a window of one second has ended.
        wait_until("usage is reported", || {
            site.reported_requests() >= requests as u64
        })
        .await;
        assert_eq!(
            site.reported_requests(),
            requests as u64,
            "a request is counted once"
        );
    }
}

/// Guards against a second run of a request that may run at most once.
#[tokio::test]
async fn a_booking_is_never_hedged() {
    let site = start(0.2).await;
    set_faults(&site, &["a1"], |faults| faults.delay = SLOW_DELAY);
    send_slow_phase(&site, "/book/x").await;
    for number in 0..SLOW_PHASE_REQUESTS {
        assert_eq!(site.runs_of(&format!("slow{number}")), 1);
    }
}

/// Guards against a request that fails because the faster of its two attempts fails.
#[tokio::test]
async fn a_hedge_that_fails_leaves_the_first_attempt_running() {
    let site = start(0.2).await;
    set_faults(&site, &["a1"], |faults| faults.delay = SLOW_DELAY);
    set_faults(&site, &["a2"], |faults| faults.returns_errors = true);
    // Whichever comes first: the error of a2 is no answer while a1 may still give one.
    for number in 0..4 {
        let answer = site.send(0, "/look/x", &format!("slow{number}")).await;
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.headers()["response-seal"], "a1");
        assert_eq!(site.runs_of(&format!("slow{number}")), 2);
    }
}
