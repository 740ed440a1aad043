//! Rate limits that upstreams of the users' platform state, counted at the upstreams.

mod platform_support;

use std::time::{Duration, Instant};

use marigoldlock_standin::site::UpstreamStandin;
use platform_support::Site;

/// Limit that the upstreams state, in requests per second.
const RATE: f64 = 2.0;

/// Length of the platform's sliding window.
const WINDOW: Duration = Duration::from_secs(4);

/// Most requests in a window: one and a half times the stated rate, and five.
const ALLOWED: usize = (1.5 * RATE * 4.0) as usize + 5;

/// Time after the first statement from which the platform counts.
const CONTACT: Duration = Duration::from_secs(3);

fn state_limit(site: &Site, ids: &[&str], rate: Option<f64>) {
    for id in ids {
        site.runner(id).set_faults(|faults| faults.rate_limit = rate);
    }
}

/// Sends requests to all instances in turn for `length`, and returns the statuses.
async fn press(site: &Site, path: &str, length: Duration) -> Vec<u16> {
    let started = Instant::now();
    let mut statuses = Vec::new();
    while started.elapsed() < length {
        let number = statuses.len();
        let attempt = format!("{path}{number}");
        let answer = site.send(number % site.instances.len(), path, &attempt).await;
        statuses.push(answer.status().as_u16());
        // The body is read so that the request ends before the next one.
        answer.bytes().await.ok();
    }
    statuses
}

/// Most requests that reached the upstream within a window that began at `from` or later.
fn most_in_window(upstream: &UpstreamStandin, from: Instant) -> usize {
    let times: Vec<Instant> = upstream.arrivals().iter().map(|arrival| arrival.at).collect();
    let starts = times.iter().filter(|start| **start >= from);
    let counts = starts.map(|start| {
        times
            .iter()
            .filter(|time| (*start..*start + WINDOW).contains(time))
            .count()
    });
    counts.max().unwrap_or_default()
}

/// Guards against requests beyond a stated limit: instances that had been told it went on as before.
#[tokio::test]
async fn an_upstream_that_states_a_rate_limit_gets_no_more_from_all_instances() {
    let site = Site::start(3).await;
    let started = Instant::now();
    state_limit(&site, &["a1", "p1", "d1"], Some(RATE));
    let (plain, streams) = tokio::join!(
        press(&site, "/look/x", CONTACT + WINDOW),
        press(&site, "/draft/x", CONTACT + WINDOW)
    );
    for id in ["a1", "p1", "d1"] {
        let most = most_in_window(site.runner(id), started + CONTACT);
        assert!(
            most <= ALLOWED,
            "{id} got {most} requests in 4 s, {ALLOWED} allowed"
        );
    }
    assert!(
        plain.iter().chain(&streams).all(|status| *status == 200),
        "the other upstreams serve what the limited ones do not take"
    );
}

/// Guards against requests beyond a stated limit where no other upstream is left.
#[tokio::test]
async fn requests_beyond_every_stated_rate_limit_are_refused_at_once_as_not_run() {
    let site = Site::start(2).await;
    let started = Instant::now();
    state_limit(&site, &["a1", "a2"], Some(RATE));
    let statuses = press(&site, "/book/x", CONTACT + WINDOW).await;
    assert!(statuses.iter().all(|status| [200, 503].contains(status)));
    for id in ["a1", "a2"] {
        let most = most_in_window(site.runner(id), started + CONTACT);
        assert!(
            most <= ALLOWED,
            "{id} got {most} requests in 4 s, {ALLOWED} allowed"
        );
    }
    let served = statuses.iter().filter(|status| **status == 200).count();
    let runs: usize = ["a1", "a2"].iter().map(|id| site.runner(id).runs().len()).sum();
    assert_eq!(served, runs, "a refused booking has not run");
    let refused = site.send(0, "/book/x", "b1").await;
    if refused.status() == 503 {
        assert!(refused.headers().contains_key("retry-after"));
    }
}

/// Guards against a limit that outlives its statement.
#[tokio::test]
async fn an_upstream_that_states_no_limit_any_more_gets_its_share_again() {
    let site = Site::start(1).await;
    state_limit(&site, &["a1"], Some(RATE));
    press(&site, "/look/x", Duration::from_secs(1)).await;
    state_limit(&site, &["a1"], None);
    // The next request within the limit brings the news.
    press(&site, "/look/x", Duration::from_secs(2)).await;
    let before = site.runner("a1").arrivals().len();
    let sent = press(&site, "/look/x", Duration::from_secs(1)).await.len();
    let got = site.runner("a1").arrivals().len() - before;
    assert!(got * 4 > sent, "a1 got {got} of {sent}");
}
