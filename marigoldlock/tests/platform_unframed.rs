//! Responses of upstreams that have neither a length nor chunks and end with their connection.

mod platform_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use marigoldlock_standin::site::{EVENTS_PER_STREAM, SITE_KEY};
use platform_support::{Site, event_ids};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Streams among which the unframed engine must have answered one. After a broken one it is avoided.
const MAX_STREAMS: usize = 500;

/// Starts an upstream that answers each request with these bytes and closes the connection.
async fn start_unframed(body: String) -> (SocketAddr, Arc<AtomicUsize>) {
    let answered = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&answered);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (body, count) = (body.clone(), Arc::clone(&count));
            tokio::spawn(async move {
                answer(stream, body).await;
                count.fetch_add(1, Ordering::Relaxed);
            });
        }
    });
    (address, answered)
}

async fn answer(mut stream: TcpStream, body: String) {
    let mut request = Vec::new();
    let end = marigoldlock_standin::site::SITE_BODY.as_bytes();
    while !request.ends_with(end) {
        let mut buffer = [0; 4_096];
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => request.extend_from_slice(&buffer[..length]),
        }
    }
    let head = String::from_utf8_lossy(&request).to_ascii_lowercase();
    let id = head
        .split("attempt-id: ")
        .nth(1)
        .and_then(|rest| rest.lines().next());
    let id = id.unwrap_or_default();
    let response = format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-seal: d1\r\ncontent-type: text/event-stream\r\n\r\n{body}"
    );
    stream.write_all(response.as_bytes()).await.ok();
    stream.shutdown().await.ok();
}

fn events(count: u64) -> String {
    (0..count)
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

/// Starts a site in which one of the two engines for decoding is an unframed one, and returns the event ids of streams.
async fn streams_with_unframed_engine(body: String) -> Vec<Vec<u64>> {
    let site = Site::start(1).await;
    let mut entry = site.runner("d1").entry("ready");
    let (address, answered) = start_unframed(body).await;
    entry["Address"] = address.to_string().into();
    entry["born"] = 2.into();
    site.store.put_upstream("d1", Some(&entry));
    let front = site.instances[0].addresses().front;
    let mut streams = Vec::new();
    while answered.load(Ordering::Relaxed) == 0 {
        let number = streams.len();
        assert!(number < MAX_STREAMS, "the engine gets its share of the streams");
        let (attempt, parts) = (format!("s{number}"), format!("a{number:x}:100,b{number:x}:50"));
        let answer = site
            .caller
            .send_prompt(front, "/draft/x", &attempt, SITE_KEY, &parts);
        let body = answer.await.unwrap().text().await.unwrap();
        streams.push(event_ids(&body));
    }
    streams
}

/// Guards against a stream that is taken for broken because only the connection's end ends it.
#[tokio::test]
async fn a_stream_that_ends_with_its_connection_is_complete() {
    let whole: Vec<u64> = (0..EVENTS_PER_STREAM).collect();
    for stream in streams_with_unframed_engine(events(EVENTS_PER_STREAM)).await {
        assert_eq!(stream, whole);
    }
}

/// Guards against a stream that is taken for complete although its connection ended inside an event.
#[tokio::test]
async fn a_stream_whose_connection_ends_inside_an_event_is_resumed() {
    let whole: Vec<u64> = (0..EVENTS_PER_STREAM).collect();
    let half = format!("{}id: 2\ndata: pi", events(2));
    for stream in streams_with_unframed_engine(half).await {
        assert_eq!(stream, whole);
    }
}
