//! Upstreams that send heads or bodies without end, to many requests at once.

mod platform_support;

use std::net::SocketAddr;
use std::time::Duration;

use marigoldlock_standin::site::{SITE_KEY, site_settings};
use platform_support::{Site, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Memory of the instance's machine in its settings file, in bytes.
const MACHINE_BYTES: u64 = 260 << 20;

/// Requests at once.
const REQUESTS: usize = 64;

/// What the upstream sends after the request.
#[derive(Clone, Copy, Debug)]
enum Endless {
    /// Header fields.
    Head,
    /// Almost the largest response in large pieces, then single bytes.
    LargeBody,
    /// Chunks of one byte.
    TinyChunks,
    /// The extension of a chunk.
    Extension,
    /// Trailers after a complete body.
    Trailers,
    /// Informational responses before the one that is waited for.
    Informational,
    /// One event that never ends.
    Event,
    /// Bytes that are no HTTP.
    Noise,
}

/// Starts an upstream that answers every request without end.
async fn start_upstream(kind: Endless) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                // The instance closes the connection.
                let _ = answer(stream, kind).await;
            });
        }
    });
    address
}

async fn answer(mut stream: TcpStream, kind: Endless) -> std::io::Result<()> {
    let mut request = [0; 8_192];
    let length = stream.read(&mut request).await?;
    let text = String::from_utf8_lossy(&request[..length]).to_lowercase();
    let attempt = text
        .lines()
        .find_map(|line| line.strip_prefix("attempt-id: "))
        .unwrap_or_default();
    let start = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n");
    let (head, block, pause) = match kind {
        Endless::Head => (start, b"X-More: and more of it\r\n".repeat(1_000), Duration::ZERO),
        Endless::LargeBody => {
            stream.write_all(format!("{start}\r\n").as_bytes()).await?;
            for _ in 0..(8 << 20) / 4_096 - 1 {
                stream.write_all(&[b'x'; 4_096]).await?;
            }
            (String::new(), vec![b'x'], Duration::from_millis(50))
        }
        Endless::TinyChunks => (
            format!("{start}Transfer-Encoding: chunked\r\n\r\n"),
            b"1\r\nx\r\n".repeat(1_000),
            Duration::from_millis(5),
        ),
        Endless::Extension => (
            format!("{start}Transfer-Encoding: chunked\r\n\r\n1;name="),
            b"and more of it".repeat(1_000),
            Duration::ZERO,
        ),
        Endless::Trailers => (
            format!("{start}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"),
            b"X-More: and more of it\r\n".repeat(1_000),
            Duration::ZERO,
        ),
        Endless::Informational => (
            String::new(),
            b"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(100),
            Duration::from_millis(5),
        ),
        Endless::Event => (
            format!("{start}Content-Type: text/event-stream\r\n\r\n"),
            b"data: and more of it\n".repeat(1_000),
            Duration::ZERO,
        ),
        Endless::Noise => (
            String::new(),
            b"\x16\x03\x01\x00\x00".repeat(4_000),
            Duration::ZERO,
        ),
    };
    stream.write_all(head.as_bytes()).await?;
    loop {
        stream.write_all(&block).await?;
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes: u64 = line.unwrap().trim().trim_end_matches(" kB").parse().unwrap();
    kilobytes << 10
}

/// Guards against a process that keeps what faulty upstreams send, and is killed for it together with all other requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_without_end_leave_the_memory_flat() {
    let site = Site::start(1).await;
    let front = site.instances[0].addresses().front;
    let kinds = [
        Endless::Head,
        Endless::Noise,
        Endless::Event,
        Endless::Extension,
        Endless::Trailers,
        Endless::Informational,
        Endless::TinyChunks,
        Endless::LargeBody,
    ];
    for (version, kind) in (50..).zip(kinds) {
        let address = start_upstream(kind).await;
        for id in ["a1", "a2", "p1", "d1", "d2"] {
            let mut entry = site.runner(id).entry("ready");
            entry["Address"] = address.to_string().into();
            site.store.put_upstream(id, Some(&entry));
        }
        site.store.put_settings(&site_settings(version));
        wait_until("the settings are in force", || {
            site.instances[0].settings_version() == version
        })
        .await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let before = resident_bytes();
        let path = if matches!(kind, Endless::Event) {
            "/draft/x"
        } else {
            "/look/x"
        };
        let calls = (0..REQUESTS).map(|number| {
            let attempt = format!("{kind:?}{number}").to_lowercase();
            let caller = &site.caller;
            async move {
                if let Ok(answer) = caller.send_as(front, path, &attempt, SITE_KEY).await {
                    let status = answer.status();
                    let body = answer.text().await;
                    // A stream is cut.
                    assert!(body.is_err() || status != 200, "{kind:?}: {status} {body:?}");
                }
            }
        });
        let mut calls = std::pin::pin!(futures::future::join_all(calls));
        let mut peak = before;
        loop {
            let is_done = tokio::time::timeout(Duration::from_millis(20), calls.as_mut())
                .await
                .is_ok();
            peak = peak.max(resident_bytes());
            if is_done || peak > before + MACHINE_BYTES {
                break;
            }
        }
        let grown = peak - before;
        println!("{kind:?}: {} MB more resident memory", grown >> 20);
        assert!(grown < MACHINE_BYTES, "{kind:?}: {} MB", grown >> 20);
    }
    // The instance serves as before.
    for id in ["a1", "a2"] {
        site.store.put_upstream(id, Some(&site.runner(id).entry("ready")));
    }
    wait_until("the sound upstreams are listed", || {
        site.instances[0].usable_upstreams() == 5
    })
    .await;
    for number in 0..100 {
        let answer = site.send(0, "/look/x", &format!("sound{number}")).await;
        if answer.status() == 200 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("no request was served after the endless answers");
}
