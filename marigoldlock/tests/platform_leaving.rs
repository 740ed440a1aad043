//! Requests that come late in a planned stop, or outlast it.

mod platform_support;

use std::net::SocketAddr;
use std::time::Duration;

use marigoldlock_standin::site::{SITE_HOST, SITE_KEY, site_settings};
use platform_support::{Site, wait_until};
use reqwest::Client;

/// Time after the signal from which a request may be told from one that its caller sent unknowingly, by the platform's page.
const NOTICE: Duration = Duration::from_millis(3_050);

/// Longer than the grace.
const LONG_MS: u64 = 20_000;

/// Sends a request that may not be repeated and may take long; returns its status, or nothing if the connection ends.
async fn book(client: &Client, front: SocketAddr, attempt: &str) -> Option<u16> {
    let request = client
        .post(format!("http://{front}/book/x"))
        .header("Host", SITE_HOST)
        .header("Attempt-Id", attempt)
        .header("Authorization", format!("Bearer {SITE_KEY}"))
        .header("Deadline-Ms", LONG_MS.to_string())
        .body("the body");
    let answer = request.send().await.ok()?;
    Some(answer.status().as_u16())
}

async fn start_site(delay: Duration) -> Site {
    let site = Site::start(1).await;
    let mut settings = site_settings(50);
    settings["Routes"][2]["TimeoutMs"] = LONG_MS.into();
    site.store.put_settings(&settings);
    wait_until("the long timeout is in force", || {
        site.instances[0].settings_version() == 50
    })
    .await;
    for id in ["a1", "a2"] {
        site.runner(id).set_faults(|faults| faults.delay = delay);
    }
    site
}

/// Guards against requests that are taken late in the grace and cut at its end, with an unknown outcome.
#[tokio::test]
async fn a_late_request_that_may_outlast_the_grace_is_refused_as_not_run() {
    let mut site = start_site(Duration::from_secs(15)).await;
    let server = site.instances.remove(0);
    let front = server.addresses().front;
    // Keeps a connection open, as callers do.
    let client = Client::builder().no_proxy().build().unwrap();
    assert_eq!(
        client
            .get(format!("http://{front}/none"))
            .send()
            .await
            .unwrap()
            .status(),
        404
    );
    let closing = tokio::spawn(server.close());
    tokio::time::sleep(NOTICE).await;
    let status = book(&client, front, "late").await;
    let mut arrivals = site.upstreams.iter().flat_map(|runner| runner.arrivals());
    assert!(
        arrivals.all(|arrival| arrival.attempt != "late"),
        "it was passed on: {status:?}"
    );
    assert!(matches!(status, Some(503) | None), "{status:?}");
    closing.abort();
}

/// Guards against connections that are cut without an answer when the grace ends.
#[tokio::test]
async fn a_request_that_outlasts_the_grace_is_answered() {
    let mut site = start_site(Duration::from_secs(15)).await;
    let server = site.instances.remove(0);
    let front = server.addresses().front;
    let client = Client::builder().no_proxy().build().unwrap();
    let early = tokio::spawn(async move { book(&client, front, "early").await });
    wait_until("the request runs", || {
        site.upstreams.iter().any(|runner| !runner.arrivals().is_empty())
    })
    .await;
    server.close().await;
    assert_eq!(
        early.await.unwrap(),
        Some(504),
        "its outcome is unknown, and said so"
    );
}
