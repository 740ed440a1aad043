//! The stand-in for the platform's store, when it comes back from a copy.

use marigoldlock_standin::site::StoreStandin;
use reqwest::{Client, Response, StatusCode};

async fn read(store: &StoreStandin, offset: u64) -> Response {
    let url = format!(
        "http://{}/log-read?Topic=t&part=0&Source={offset}",
        store.address()
    );
    Client::new().get(url).send().await.unwrap()
}

async fn append(store: &StoreStandin, at: u64) -> Response {
    let url = format!("http://{}/log-append?Topic=t&part=0&At={at}", store.address());
    let record = [&2_u32.to_be_bytes()[..], b"ab"].concat();
    Client::new().post(url).body(record).send().await.unwrap()
}

fn era(answer: &Response) -> &str {
    answer.headers()["store-era"].to_str().unwrap()
}

#[tokio::test]
async fn a_copy_gives_offsets_out_again_in_a_later_era() {
    let store = StoreStandin::start().await.unwrap();
    let first = append(&store, 0).await;
    assert_eq!((first.status(), era(&first)), (StatusCode::OK, "1"));
    let copy = store.copy();
    assert_eq!(append(&store, 1).await.status(), StatusCode::OK);
    store.restore(&copy);
    assert_eq!(store.end("t"), 1);
    let unknown = read(&store, 2).await;
    assert_eq!((unknown.status(), era(&unknown)), (StatusCode::GONE, "2"));
    let again = append(&store, 1).await;
    assert_eq!((again.status(), era(&again)), (StatusCode::OK, "2"));
    let refused = append(&store, 1).await;
    assert_eq!(
        (refused.status(), era(&refused)),
        (StatusCode::PRECONDITION_FAILED, "2")
    );
}

#[tokio::test]
async fn a_read_that_waits_ends_when_the_store_comes_back() {
    let store = StoreStandin::start().await.unwrap();
    let url = format!(
        "http://{}/log-read?Topic=t&part=0&Source=0&WaitMs=30000",
        store.address()
    );
    let copy = store.copy();
    let waiting = tokio::spawn(Client::new().get(url).send());
    while store.calls() == 0 {
        tokio::task::yield_now().await;
    }
    store.restore(&copy);
    let answer = waiting.await.unwrap().unwrap();
    assert_eq!(
        (answer.status(), era(&answer)),
        (StatusCode::SERVICE_UNAVAILABLE, "2")
    );
}
