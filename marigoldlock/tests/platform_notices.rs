//! What upstreams of the users' platform say of themselves in their answers, and what reaches them afterwards.

mod platform_support;

use std::time::{Duration, Instant};

use marigoldlock_standin::site::SITE_KEY;
use platform_support::{Site, wait_until};

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

/// Guards against requests to an upstream whose answers say that it is leaving, while the store still lists it.
#[tokio::test]
async fn an_upstream_whose_answers_say_that_it_leaves_gets_no_more_requests() {
    let site = Site::start(1).await;
    for id in ["a1", "d1"] {
        site.runner(id).set_faults(|faults| faults.says_leaving = true);
    }
    let front = site.instances[0].addresses().front;
    for number in 0..24 {
        // Each prompt is new, since an engine that has a prompt in its cache is chosen again.
        let parts = format!("{:x}:4000,{:x}:1000", 100 + number, 900 + number);
        for path in ["/look/x", "/draft/x"] {
            let attempt = format!("{path}{number}");
            let answer = site
                .caller
                .send_prompt(front, path, &attempt, SITE_KEY, &parts)
                .await
                .unwrap();
            assert_eq!(answer.status(), 200);
            answer.text().await.unwrap();
        }
    }
    for id in ["a1", "d1"] {
        assert_eq!(site.runner(id).arrivals().len(), 1, "requests that reached {id}");
    }
    // The same process may be listed as ready for some time; only a new one takes requests again.
    site.store
        .put_upstream("a1", Some(&site.runner("a1").entry("ready")));
    let mut restarted = site.runner("d1").entry("ready");
    restarted["born"] = 2.into();
    site.store.put_upstream("d1", Some(&restarted));
    site.runner("d1").set_faults(|faults| faults.says_leaving = false);
    wait_until("the restart is known", || {
        site.instances[0].usable_upstreams() == 4
    })
    .await;
}
