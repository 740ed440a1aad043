//! Streams that are slow but sound, and streams that stall and send a byte now and then.

mod platform_support;

use std::time::Duration;

use futures::StreamExt as _;
use marigoldlock_standin::site::{EVENTS_PER_STREAM, UpstreamFaults};
use platform_support::{Site, event_ids};

/// Time between two events: all of a stream's events take two thirds of the caller's deadline.
const SLOW_INTERVAL: Duration = Duration::from_millis(350);

fn set_engine_faults(site: &Site, change: impl Fn(&mut UpstreamFaults)) {
    for upstream in site
        .upstreams
        .iter()
        .filter(|upstream| upstream.id().starts_with('d'))
    {
        upstream.set_faults(&change);
    }
}

/// A stream is not cut because it is slow.
#[tokio::test]
async fn a_slow_but_sound_stream_is_complete_and_runs_once() {
    let site = Site::start(1).await;
    set_engine_faults(&site, |faults| faults.event_interval = Some(SLOW_INTERVAL));
    let response = site.send(0, "/draft/x", "slow").await;
    assert_eq!(response.status(), 200);
    let text = response.text().await.unwrap();
    assert_eq!(event_ids(&text).len() as u64, EVENTS_PER_STREAM);
    assert_eq!(site.runs_of("slow"), 1);
}

/// Bytes that complete no event keep no stream alive beyond its deadline, and it does not end as if it were complete.
#[tokio::test]
async fn a_stream_that_stalls_with_a_byte_now_and_then_ends_as_broken_off() {
    let site = Site::start(1).await;
    set_engine_faults(&site, |faults| {
        faults.stall_stream_after = Some(2);
        faults.event_interval = Some(Duration::from_millis(20));
    });
    let response = site.send(0, "/draft/x", "stalled").await;
    assert_eq!(response.status(), 200);
    let mut body = response.bytes_stream();
    let mut text = String::new();
    let mut is_broken_off = false;
    while let Some(frame) = body.next().await {
        match frame {
            Ok(bytes) => text.push_str(std::str::from_utf8(&bytes).unwrap()),
            Err(_) => is_broken_off = true,
        }
    }
    assert!(is_broken_off);
    assert_eq!(event_ids(&text), [0, 1], "only whole events are forwarded");
    assert_eq!(site.runs_of("stalled"), 1);
}

/// The same for an answer that is no stream: it is bounded by the deadline, and another upstream may answer a read.
#[tokio::test]
async fn a_slow_answer_of_a_plain_service_is_delivered() {
    let site = Site::start(1).await;
    for upstream in site
        .upstreams
        .iter()
        .filter(|upstream| upstream.id().starts_with('a'))
    {
        upstream.set_faults(|faults| faults.delay = Duration::from_millis(1_000));
    }
    let response = site.send(0, "/book/x", "slow-booking").await;
    assert_eq!(response.status(), 200);
    assert_eq!(response.text().await.unwrap(), "whole answer");
    assert_eq!(site.runs_of("slow-booking"), 1);
}
