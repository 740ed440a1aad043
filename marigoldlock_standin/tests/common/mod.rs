//! Helpers shared by the HTTP tests.
#![allow(dead_code)]

use std::net::SocketAddr;

use futures::StreamExt;
use marigoldlock_wire::engine::ChatMessage;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// Messages of a chat, and the body of its streamed request.
pub fn chat_body(content: &str, tokens: u64) -> (Vec<ChatMessage>, Value) {
    let messages = vec![ChatMessage {
        role: "user".into(),
        content: content.into(),
    }];
    let body = json!({ "model": "m", "messages": messages, "stream": true, "max_tokens": tokens });
    (messages, body)
}

/// Text of a streamed answer, and whether it is complete.
pub async fn stream_text(address: SocketAddr, body: &Value) -> (String, bool) {
    let url = format!("http://{address}/v1/chat/completions");
    let request = reqwest::Client::new().post(url).json(body);
    let mut bytes = request.send().await.unwrap().bytes_stream();
    let mut raw = Vec::new();
    while let Some(Ok(part)) = bytes.next().await {
        raw.extend_from_slice(&part);
    }
    let raw = String::from_utf8(raw).unwrap();
    let mut text = String::new();
    let mut complete = false;
    for event in raw.split_terminator("\n\n") {
        let data = event.strip_prefix("data: ").unwrap();
        if data == "[DONE]" {
            complete = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).unwrap();
        let delta = &chunk["choices"][0]["delta"]["content"];
        text += delta.as_str().unwrap_or_default();
    }
    (text, complete)
}

/// Decoded JSON body of a `GET` response.
pub async fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let answer = reqwest::get(format!("http://{address}{path}")).await.unwrap();
    answer.json().await.unwrap()
}

/// Response to a `POST` with a JSON body.
pub async fn post_json(address: SocketAddr, path: &str, body: &Value) -> reqwest::Response {
    let url = format!("http://{address}{path}");
    let request = reqwest::Client::new().post(url).json(body);
    request.send().await.unwrap()
}
