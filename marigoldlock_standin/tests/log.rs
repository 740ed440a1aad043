//! Rate limit and retention of the log.

use std::time::Duration;

use marigoldlock_standin::prelude::*;

#[tokio::test]
async fn appends_over_the_rate_limit_are_rejected() {
    let options = LogOptions {
        appends_per_s: 1,
        append_burst: 3,
        ..LogOptions::default()
    };
    let log = LogStandin::start(options).await.unwrap();
    let client = reqwest::Client::new();
    let mut rejected = 0;
    for stream in ["a", "b", "c", "d"] {
        let url = format!("http://{}/v1/streams/{stream}/records", log.address());
        let answer = client.post(url).body("record").send().await.unwrap();
        if answer.status() == 429 {
            assert_eq!(answer.headers()["retry-after"], "1");
            rejected += 1;
        }
    }
    assert_eq!((rejected, log.rejected_appends(), log.appends()), (1, 1, 3));
    log.close().await;
}

#[tokio::test(start_paused = true)]
async fn records_expire_by_age_and_by_count() {
    let options = LogOptions {
        keep_ms: Some(1000),
        keep_records: Some(2),
        ..LogOptions::default()
    };
    let log = LogStandin::start(options).await.unwrap();
    for _ in 0..3 {
        log.append("s", b"record");
    }
    assert_eq!(log.records("s", 0).first, 1);
    tokio::time::advance(Duration::from_millis(1000)).await;
    let answer = log.records("s", 0);
    assert_eq!((answer.first, answer.head, answer.records.len()), (3, 3, 0));
    assert_eq!(log.append("s", b"record"), 3);
    log.close().await;
}

#[tokio::test]
async fn oversized_record_is_refused() {
    let log = LogStandin::start(LogOptions::default()).await.unwrap();
    let url = format!("http://{}/v1/streams/s/records", log.address());
    let record = vec![0; marigoldlock_wire::platform::MAX_RECORD_BYTES + 1];
    let answer = reqwest::Client::new()
        .post(url)
        .body(record)
        .send()
        .await
        .unwrap();
    assert_eq!((answer.status().as_u16(), log.appends()), (413, 0));
    log.close().await;
}
