//! The administration API, and the effect of withdrawing a key on open connections.

mod support;

use marigoldlock_core::keys::hash_key;
use marigoldlock_fleet::{ADMIN_TOKEN, Fleet, FleetOptions};
use reqwest::{Method, StatusCode};
use serde_json::{Value, json};
use support::{CallResult, TestCaller, call_result, chat_messages};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const EVA_TOKEN: &str = "mgl_token_of_eva";

/// Number of requests after which a withdrawn key that still works fails the test.
const MAX_REQUESTS: usize = 10_000;

struct Admin {
    http: reqwest::Client,
    base: String,
}

impl Admin {
    fn new(fleet: &Fleet, instance: usize) -> Self {
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        Self {
            http,
            base: format!("http://{}/admin/v1", fleet.instances[instance].address()),
        }
    }

    async fn call(&self, method: Method, path: &str, token: &str, body: &str) -> CallResult {
        let request = self
            .http
            .request(method, format!("{}/{path}", self.base))
            .bearer_auth(token);
        call_result(request.body(body.to_owned()).send().await.unwrap())
            .await
            .unwrap()
    }

    async fn put(&self, path: &str, token: &str, body: &str) -> (StatusCode, Option<u16>) {
        let answer = self
            .call(Method::PUT, &format!("settings/{path}"), token, body)
            .await;
        (answer.status, answer.code)
    }

    /// Publishes a change and returns the new version.
    async fn publish(&self, path: &str, body: &str) -> u64 {
        let answer = self
            .call(Method::PUT, &format!("settings/{path}"), ADMIN_TOKEN, body)
            .await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        let answer: Value = serde_json::from_str(&answer.body).unwrap();
        answer["version"].as_u64().unwrap()
    }
}

async fn start() -> (Fleet, Admin) {
    let fleet = Fleet::start(FleetOptions::small(2))
        .await
        .expect("the fleet starts");
    marigoldlock::logging::init("off");
    let admin = Admin::new(&fleet, 0);
    (fleet, admin)
}

async fn wait_for_version(fleet: &Fleet, version: u64) {
    for instance in 0..fleet.instances.len() {
        let admin = Admin::new(fleet, instance);
        loop {
            let answer = admin.call(Method::GET, "version", ADMIN_TOKEN, "").await;
            let answer: Value = serde_json::from_str(&answer.body).unwrap();
            if answer["version"].as_u64() >= Some(version) {
                break;
            }
            tokio::task::yield_now().await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn team_operator_writes_and_reads_its_own_subtree_only() {
    let (fleet, admin) = start().await;
    let operator = format!("hash = \"{}\"", hash_key(EVA_TOKEN));
    let version = admin.publish("teams/copydesk/operators/eva", &operator).await;
    wait_for_version(&fleet, version).await;

    let own = admin
        .put("teams/copydesk/customers/zoo", EVA_TOKEN, "weight = 2")
        .await;
    assert_eq!(own, (StatusCode::OK, None));
    for path in ["teams/other/customers/zoo2", "fleet/weights/cost", "fleet"] {
        let refused = admin.put(path, EVA_TOKEN, "value = 2").await;
        assert_eq!(refused, (StatusCode::FORBIDDEN, Some(2005)), "{path}");
        let read = admin
            .call(Method::GET, &format!("settings/{path}"), EVA_TOKEN, "")
            .await;
        assert_eq!(read.code, Some(2005), "{path}");
    }
    let history = admin
        .call(Method::GET, "history/teams/other", EVA_TOKEN, "")
        .await;
    assert_eq!(history.code, Some(2005));

    let version = admin
        .publish("teams/copydesk/operators/eva/read_only", "value = true")
        .await;
    wait_for_version(&fleet, version).await;
    assert_eq!(
        admin
            .put("teams/copydesk/customers/zoo", EVA_TOKEN, "weight = 3")
            .await
            .1,
        Some(2005)
    );
    let removed = admin
        .call(
            Method::DELETE,
            "settings/teams/copydesk/operators/eva",
            ADMIN_TOKEN,
            "",
        )
        .await;
    assert_eq!(removed.status, StatusCode::OK);
    let removed: Value = serde_json::from_str(&removed.body).unwrap();
    wait_for_version(&fleet, removed["version"].as_u64().unwrap()).await;
    assert_eq!(
        admin
            .put("teams/copydesk/customers/zoo", EVA_TOKEN, "weight = 3")
            .await
            .1,
        Some(2002)
    );
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_without_an_operator_token_are_refused() {
    let (fleet, admin) = start().await;
    let customer_key = fleet.options().deployment.key("dairy-north");
    let with_key = admin.put("teams/copydesk/customers/zoo", &customer_key, "").await;
    assert_eq!(with_key, (StatusCode::UNAUTHORIZED, Some(2002)));
    let without = admin
        .http
        .get(format!("{}/settings/fleet", admin.base))
        .send()
        .await
        .unwrap();
    assert_eq!(call_result(without).await.unwrap().code, Some(2001));
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_and_conflicting_changes_get_result_codes() {
    let (fleet, admin) = start().await;
    let path = "teams/copydesk/services/booking-app/queue_limit";
    let faulty = admin
        .call(Method::PUT, &format!("settings/{path}"), ADMIN_TOKEN, "value = 0")
        .await;
    assert_eq!((faulty.status.as_u16(), faulty.code), (422, Some(6001)));
    assert!(
        faulty.body.contains("queue_limit (line 1): 0 is not within"),
        "{}",
        faulty.body
    );

    let seen = admin.publish(path, "value = 20").await;
    admin.publish(path, "value = 21").await;
    let late = format!("settings/{path}?expect={seen}");
    let late = admin.call(Method::PUT, &late, ADMIN_TOKEN, "value = 22").await;
    assert_eq!((late.status.as_u16(), late.code), (409, Some(6002)));

    let dry = admin
        .call(
            Method::PUT,
            &format!("settings/{path}?dry_run=true"),
            ADMIN_TOKEN,
            "value = 23",
        )
        .await;
    assert_eq!(dry.status, StatusCode::OK);
    let history = admin
        .call(Method::GET, &format!("history/{path}"), ADMIN_TOKEN, "")
        .await;
    assert!(!history.body.contains("value = 23") && history.body.contains("value = 21"));

    for query in ["expect=x", "unknown=1"] {
        let refused = admin
            .call(Method::PUT, &format!("settings/{path}?{query}"), ADMIN_TOKEN, "")
            .await;
        assert_eq!(refused.code, Some(1006), "{query}");
    }
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn key_created_through_the_api_works_until_it_is_withdrawn() {
    let (fleet, admin) = start().await;
    let request = json!({"customer": "dairy-north", "id": "fresh"}).to_string();
    let post = admin
        .http
        .post(format!("{}/keys/copydesk", admin.base))
        .bearer_auth(ADMIN_TOKEN);
    let made = post
        .header("content-type", "application/json")
        .body(request.clone())
        .send()
        .await
        .unwrap();
    let made: Value = made.json().await.unwrap();
    wait_for_version(&fleet, made["version"].as_u64().unwrap()).await;
    let caller = TestCaller::new(&fleet, "dairy-north").with_key(made["key"].as_str().unwrap());
    assert_eq!(
        caller.chat(1, "Write a slogan", 2, false).await.status(),
        StatusCode::OK
    );

    let post = admin
        .http
        .post(format!("{}/keys/copydesk", admin.base))
        .bearer_auth(ADMIN_TOKEN);
    let again = post
        .header("content-type", "application/json")
        .body(request)
        .send()
        .await
        .unwrap();
    assert_eq!(
        call_result(again).await.unwrap().code,
        Some(6002),
        "the id is taken"
    );

    let withdrawn = admin
        .call(Method::DELETE, "keys/copydesk/fresh", ADMIN_TOKEN, "")
        .await;
    let withdrawn: Value = serde_json::from_str(&withdrawn.body).unwrap();
    wait_for_version(&fleet, withdrawn["version"].as_u64().unwrap()).await;
    let refused = call_result(caller.chat(1, "Write a slogan", 2, false).await)
        .await
        .unwrap();
    assert_eq!(
        (refused.code, refused.execution.as_deref()),
        (Some(2003), Some("not_run"))
    );
    let list = admin.call(Method::GET, "keys/copydesk", ADMIN_TOKEN, "").await;
    assert!(list.body.contains("\"withdrawn\":true") && !list.body.contains(made["key"].as_str().unwrap()));
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_is_refused_on_an_open_connection() {
    let (fleet, admin) = start().await;
    let body = json!({
        "model": "copydesk-8b",
        "messages": chat_messages("Write a slogan"),
        "max_tokens": 1,
    });
    let body = body.to_string();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        fleet.options().deployment.key("chess-club"),
        body.len()
    );
    let mut connection = TcpStream::connect(fleet.instances[1].address()).await.unwrap();
    assert!(
        send_request(&mut connection, &request)
            .await
            .starts_with("HTTP/1.1 200")
    );

    let withdrawn = admin
        .call(Method::DELETE, "keys/copydesk/chess-club-1", ADMIN_TOKEN, "")
        .await;
    assert_eq!(withdrawn.status, StatusCode::OK, "{withdrawn:?}");
    let mut refused = String::new();
    for _ in 0..MAX_REQUESTS {
        refused = send_request(&mut connection, &request).await;
        if !refused.starts_with("HTTP/1.1 200") {
            break;
        }
    }
    assert!(
        refused.starts_with("HTTP/1.1 401") && refused.contains("x-result-code: 2003"),
        "{refused}"
    );
    fleet.close().await;
}

/// Sends a request on an open connection and reads the response.
async fn send_request(connection: &mut TcpStream, request: &str) -> String {
    connection.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    loop {
        let read = connection.read_buf(&mut answer).await.unwrap();
        assert!(
            read > 0,
            "the connection was closed: {}",
            String::from_utf8_lossy(&answer)
        );
        let text = String::from_utf8_lossy(&answer);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let is_whole = match length {
            Some(length) => body.len() >= length.parse().unwrap(),
            None => body.ends_with("0\r\n\r\n"),
        };
        if is_whole {
            return text.into_owned();
        }
    }
}
