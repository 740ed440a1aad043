//! Malformed and invalid requests. Each file in `bad_input/` holds one request and the result code that it must get.
//!
//! Each request is sent to an instance that streams a chat at the same time; the chat must not be affected.

mod support;

use std::path::Path;
use std::sync::OnceLock;
use std::time::Duration;

use marigoldlock_fleet::{Fleet, FleetOptions};
use marigoldlock_standin::prelude::expected_text;
use marigoldlock_wire::prelude::*;
use serde::Deserialize;
use support::{TestCaller, chat_messages};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;

/// Timeout for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// A request and the expected result code.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BadRequest {
    /// Request line and headers. `{key}` stands for the caller's key, `{model}` for the chat model, `{plain}` for the
    /// plain service.
    head: String,
    /// Body.
    #[serde(default)]
    body: String,
    /// Body in hex, for bytes that aren't UTF-8.
    #[serde(default)]
    body_hex: Option<String>,
    /// How often the body is repeated.
    #[serde(default = "default_repeat")]
    repeat: usize,
    /// Length of the value of an additional header, in bytes.
    #[serde(default)]
    long_header: usize,
    /// Whether to add a content-length header.
    #[serde(default = "default_with_length")]
    with_length: bool,
    /// Expected result code.
    code: u16,
}

fn default_repeat() -> usize {
    1
}

fn default_with_length() -> bool {
    true
}

struct SharedFleet {
    runtime: Runtime,
    fleet: Fleet,
}

fn shared_fleet() -> &'static SharedFleet {
    static SHARED: OnceLock<SharedFleet> = OnceLock::new();
    SHARED.get_or_init(|| {
        let runtime = Runtime::new().expect("a runtime");
        let mut options = FleetOptions::small(1);
        options.send_timeout_ms = 500;
        let fleet = runtime.block_on(Fleet::start(options)).expect("the fleet starts");
        SharedFleet { runtime, fleet }
    })
}

fn check_request(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let request: BadRequest = toml::from_str(&text)?;
    let shared = shared_fleet();
    shared.runtime.block_on(async {
        let caller = TestCaller::new(&shared.fleet, "dairy-north");
        let chat = caller.stream_chat(0, "Write a slogan", 20);
        let (answer, chat) = futures::join!(send(&shared.fleet, &caller, &request), chat);
        let answer = answer?;
        let code = result_code(&answer).ok_or_else(|| format!("no result code in:\n{answer}"))?;
        if code != request.code {
            return Err(format!("expected {}, got:\n{answer}", request.code).into());
        }
        let known = ResultCode::from_number(code).ok_or("an unknown code")?;
        if !answer.starts_with(&format!("HTTP/1.1 {}", known.status())) {
            return Err(format!("the status does not match the code:\n{answer}").into());
        }
        if chat.text != expected_text(&chat_messages("Write a slogan"), 20) {
            return Err(format!("the concurrent chat was disturbed: {}", chat.body).into());
        }
        Ok(())
    })
}

async fn send(fleet: &Fleet, caller: &TestCaller, request: &BadRequest) -> datatest_stable::Result<String> {
    let deployment = &fleet.options().deployment;
    let fill = |text: &str| {
        text.replace("{key}", caller.key())
            .replace("{model}", deployment.model.as_str())
            .replace("{plain}", deployment.plain.as_str())
    };
    let body = match &request.body_hex {
        Some(hex) => decode_hex(hex)?,
        None => fill(&request.body).repeat(request.repeat).into_bytes(),
    };
    let mut head = fill(&request.head).trim().replace('\n', "\r\n");
    head.push_str("\r\nhost: test\r\nconnection: close");
    if request.long_header > 0 {
        head.push_str(&format!("\r\nx-long: {}", "a".repeat(request.long_header)));
    }
    if request.with_length {
        head.push_str(&format!("\r\ncontent-length: {}", body.len()));
    }
    head.push_str("\r\n\r\n");
    let mut stream = TcpStream::connect(fleet.instances[0].address()).await?;
    stream.write_all(head.as_bytes()).await?;
    // The instance may respond and close the connection before the whole body is sent.
    let _ = stream.write_all(&body).await;
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(RESPONSE_TIMEOUT, stream.read_to_end(&mut answer)).await?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

fn decode_hex(hex: &str) -> datatest_stable::Result<Vec<u8>> {
    let digits = hex.as_bytes().chunks(2);
    let bytes = digits.map(|pair| Ok(u8::from_str_radix(std::str::from_utf8(pair)?, 16)?));
    bytes.collect()
}

fn result_code(answer: &str) -> Option<u16> {
    let line = answer
        .lines()
        .find_map(|line| line.strip_prefix("x-result-code: "))?;
    line.trim().parse().ok()
}

datatest_stable::harness! {
    { test = check_request, root = "tests/bad_input", pattern = r".*\.toml$" },
}
