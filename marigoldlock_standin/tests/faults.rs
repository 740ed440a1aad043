//! Fault injection, as seen by a client.

mod common;

use std::net::SocketAddr;

use common::{chat_body, get_json, stream_text};
use marigoldlock_standin::faults::{OutageKind, OutageWindow};
use marigoldlock_standin::prelude::*;
use marigoldlock_wire::engine::{LoadReport, REQUEST_ID_HEADER};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn quick_engine() -> EngineStandin {
    let options = EngineOptions {
        decode_tokens_per_s: 5000.0,
        ..EngineOptions::default()
    };
    EngineStandin::start(options).await.unwrap()
}

async fn post(address: SocketAddr, path: &str) -> reqwest::Result<reqwest::Response> {
    let url = format!("http://{address}{path}");
    reqwest::Client::new().post(url).body("x").send().await
}

#[tokio::test]
async fn refusal_has_no_effect_and_counts_down() {
    let service = ServiceStandin::start(ServiceOptions::default()).await.unwrap();
    service.faults().update(|plan| plan.refuse = CallBudget::Next(2));
    let mut statuses = Vec::new();
    for _ in 0..3 {
        let answer = post(service.address(), "/faces").await.unwrap();
        statuses.push(answer.status().as_u16());
    }
    assert_eq!(statuses, [503, 503, 200]);
    assert_eq!(service.seen().calls.len(), 1);
    service.close().await;
}

#[tokio::test]
async fn faults_are_set_over_http_for_one_path() {
    let service = ServiceStandin::start(ServiceOptions::default()).await.unwrap();
    let url = format!("http://{}/_standin/faults", service.address());
    let client = reqwest::Client::new();
    let plan = json!({ "method": "POST", "path": "/faces", "refuse": "every" });
    let set = client.put(&url).json(&plan).send().await.unwrap();
    assert!(set.status().is_success());
    assert_eq!(post(service.address(), "/faces/1").await.unwrap().status(), 503);
    assert_eq!(post(service.address(), "/other").await.unwrap().status(), 200);
    let unknown = client.put(&url).json(&json!({ "refuze": "every" }));
    assert!(unknown.send().await.unwrap().status().is_client_error());
    service.close().await;
}

#[tokio::test]
async fn stalled_call_has_no_effect_and_stalled_answer_has() {
    let service = ServiceStandin::start(ServiceOptions::default()).await.unwrap();
    service.faults().update(|plan| {
        plan.stall = CallBudget::Next(1);
        plan.stall_answer = CallBudget::Next(1);
    });
    let stalled: Vec<_> = (0..2)
        .map(|_| tokio::spawn(post(service.address(), "/faces")))
        .collect();
    while service.seen().calls.is_empty() {
        tokio::task::yield_now().await;
    }
    post(service.address(), "/faces").await.unwrap();
    assert_eq!(service.seen().calls.len(), 2);
    assert!(stalled.iter().all(|call| !call.is_finished()));
    service.close().await;
}

#[tokio::test]
async fn late_call_takes_effect_after_its_caller_left() {
    let service = ServiceStandin::start(ServiceOptions::default()).await.unwrap();
    service.faults().update(|plan| plan.delay_ms = 20);
    let call = tokio::spawn(post(service.address(), "/faces"));
    while service.faults().calls_received() == 0 {
        tokio::task::yield_now().await;
    }
    call.abort();
    while service.seen().calls.is_empty() {
        tokio::task::yield_now().await;
    }
    service.close().await;
}

#[tokio::test]
async fn paused_service_runs_pending_calls_on_resume() {
    let service = ServiceStandin::start(ServiceOptions::default()).await.unwrap();
    service.faults().update(|plan| plan.paused = true);
    let call = tokio::spawn(post(service.address(), "/faces"));
    let gone = tokio::spawn(post(service.address(), "/left"));
    let mut answer = [0];
    let mut silent = TcpStream::connect(service.address()).await.unwrap();
    silent
        .write_all(b"GET /faces HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .unwrap();
    tokio::task::yield_now().await;
    assert!(silent.try_read(&mut answer).is_err());
    assert_eq!(service.seen().calls.len(), 0);
    service.faults().clear();
    for call in [call, gone] {
        assert_eq!(call.await.unwrap().unwrap().status(), 200);
    }
    silent.read_exact(&mut answer).await.unwrap();
    assert_eq!(service.seen().calls.len(), 3);
    service.close().await;
}

#[tokio::test]
async fn dropped_call_has_no_effect() {
    let service = ServiceStandin::start(ServiceOptions::default()).await.unwrap();
    service
        .faults()
        .update(|plan| plan.drop_call = CallBudget::Next(1));
    assert!(post(service.address(), "/faces").await.is_err());
    assert_eq!(service.seen().calls.len(), 0);
    assert!(post(service.address(), "/faces").await.is_ok());
    service.close().await;
}

#[tokio::test]
async fn crash_drops_waiting_calls() {
    let options = ServiceOptions {
        slots: 1,
        work_ms: 3_600_000,
        ..ServiceOptions::default()
    };
    let service = ServiceStandin::start(options).await.unwrap();
    let calls: Vec<_> = (0..2)
        .map(|_| tokio::spawn(post(service.address(), "/faces")))
        .collect();
    while service.faults().calls_received() < 2 || service.seen().calls.is_empty() {
        tokio::task::yield_now().await;
    }
    service.faults().update(|plan| plan.restart_ms = Some(0));
    for call in calls {
        assert!(call.await.unwrap().is_err());
    }
    assert_eq!(service.seen().calls.len(), 1);
    let load: LoadReport = get_json(service.address(), "/v1/load").await;
    assert_eq!((load.running, load.queued), (0, 0));
    service.close().await;
}

#[tokio::test]
async fn stream_is_cut_after_its_tokens() {
    let engine = quick_engine().await;
    engine.faults().update(|plan| plan.cut_stream_after = Some(3));
    let (messages, body) = chat_body("cut here", 10);
    let (text, complete) = stream_text(engine.address(), &body).await;
    assert!(!complete);
    assert_eq!(text, expected_text(&messages, 3));
    engine.close().await;
}

#[tokio::test]
async fn crossed_answer_belongs_to_the_previous_request() {
    let engine = quick_engine().await;
    let url = format!("http://{}/v1/chat/completions", engine.address());
    let client = reqwest::Client::new();
    let mut answers = Vec::new();
    for (id, content) in [("1", "first"), ("2", "second")] {
        let (_, body) = chat_body(content, 3);
        let request = client.post(&url).header(REQUEST_ID_HEADER, id).json(&body);
        let answer = request.send().await.unwrap();
        let id = answer.headers()[REQUEST_ID_HEADER].to_str().unwrap().to_owned();
        answers.push((id, answer.text().await.unwrap()));
        engine
            .faults()
            .update(|plan| plan.cross_answer = CallBudget::Next(1));
    }
    assert_eq!(answers[0].0, "1");
    assert_eq!(answers[0], answers[1]);
    engine.close().await;
}

#[tokio::test]
async fn outage_loses_answers_in_progress() {
    let log = LogStandin::start(LogOptions::default()).await.unwrap();
    let url = format!(
        "http://{}/v1/streams/s/records?from=0&max=1&wait_ms=50",
        log.address()
    );
    let read = tokio::spawn(reqwest::get(url));
    while log.faults().calls_received() == 0 {
        tokio::task::yield_now().await;
    }
    let window = OutageWindow {
        from_ms: 0,
        for_ms: 3_600_000,
        kind: OutageKind::Refuse,
    };
    log.faults().update(|plan| plan.outages = vec![window]);
    assert!(read.await.unwrap().is_err());
    log.close().await;
}

#[tokio::test(start_paused = true)]
async fn slowdown_stretches_work() {
    let injector = FaultInjector::default();
    let work = std::time::Duration::from_millis(100);
    assert_eq!(injector.apply_slowdown(work), work);
    for (factor, expected_ms) in [(2.5, 250), (-1.0, 100), (f64::NAN, 100)] {
        injector.update(|plan| plan.slowdown = Some(factor));
        assert_eq!(injector.apply_slowdown(work).as_millis(), expected_ms);
    }
}

#[tokio::test]
async fn restarted_engine_has_another_incarnation() {
    let engine = quick_engine().await;
    let before: LoadReport = get_json(engine.address(), "/v1/load").await;
    engine.faults().update(|plan| plan.restart_ms = Some(10));
    let after = loop {
        let url = format!("http://{}/v1/load", engine.address());
        if let Ok(answer) = reqwest::get(url).await {
            break answer.json::<LoadReport>().await.unwrap();
        }
        tokio::task::yield_now().await;
    };
    assert_ne!(after.incarnation, before.incarnation);
    engine.close().await;
}

#[tokio::test]
async fn outage_window_opens_and_closes() {
    let log = LogStandin::start(LogOptions::default()).await.unwrap();
    let window = OutageWindow {
        from_ms: 0,
        for_ms: 50,
        kind: OutageKind::Refuse,
    };
    log.faults().update(|plan| plan.outages = vec![window]);
    let path = "/v1/streams/s/records";
    assert_eq!(post(log.address(), path).await.unwrap().status(), 503);
    while post(log.address(), path).await.unwrap().status() != 200 {
        tokio::task::yield_now().await;
    }
    assert_eq!(log.appends(), 1);
    log.close().await;
}

#[tokio::test]
async fn open_connection_stalls_while_a_new_one_works() {
    let list = ListStandin::start(ListOptions::default()).await.unwrap();
    let request = b"GET /v1/instances HTTP/1.1\r\nhost: x\r\n\r\n";
    let mut open = TcpStream::connect(list.address()).await.unwrap();
    let mut answer = [0; 16];
    open.write_all(request).await.unwrap();
    open.read_exact(&mut answer).await.unwrap();
    list.faults().update(|plan| plan.silence_open = true);
    tokio::task::yield_now().await;
    while open.try_read(&mut [0; 4096]).is_ok_and(|count| count > 0) {}
    open.write_all(request).await.unwrap();
    let mut fresh = TcpStream::connect(list.address()).await.unwrap();
    fresh.write_all(request).await.unwrap();
    fresh.read_exact(&mut answer).await.unwrap();
    let silent = open.try_read(&mut answer).unwrap_err();
    assert_eq!(silent.kind(), std::io::ErrorKind::WouldBlock);
    list.close().await;
}
