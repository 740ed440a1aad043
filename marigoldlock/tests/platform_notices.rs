//! What upstreams of the users' platform say of themselves in their answers, and what reaches them afterwards.

mod platform_support;

use std::time::{Duration, Instant};

use platform_support::Site;

/// Time that the upstreams ask to be left alone.
const RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// Time after a refusal in which requests under way may still arrive, by the platform's page.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// Requests that may reach an upstream from one instance during the rest of that time, by the platform's page.
const ALLOWED: usize = 2;

/// Guards against requests to an upstream that has asked to be left alone, where no other is left.
#[tokio::test]
async fn an_upstream_that_asks_to_be_left_alone_is_left_alone() {
    let site = Site::start(1).await;
    for id in ["a1", "a2"] {
        site.runner(id).set_faults(|faults| {
            faults.rejects_requests = true;
            faults.retry_after = Some(RETRY_AFTER.as_secs_f64());
        });
    }
    let started = Instant::now();
    for number in 0.. {
        let answer = site.send(0, "/look/x", &format!("l{number}")).await;
        assert_eq!(answer.status(), 503);
        assert!(answer.headers().contains_key("retry-after"));
        if started.elapsed() > RETRY_AFTER {
            break;
        }
    }
    for id in ["a1", "a2"] {
        let arrivals = site.runner(id).arrivals();
        let refused_at = arrivals[0].at;
        let quiet = refused_at + UNDER_WAY..refused_at + RETRY_AFTER;
        let late = arrivals
            .iter()
            .filter(|arrival| quiet.contains(&arrival.at))
            .count();
        assert!(
            late <= ALLOWED,
            "{late} requests reached {id} while it was to be left alone"
        );
        site.runner(id).set_faults(|faults| *faults = Default::default());
    }
    tokio::time::sleep(RETRY_AFTER).await;
    assert_eq!(site.send(0, "/look/x", "again").await.status(), 200);
}
