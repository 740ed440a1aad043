//! Rejections: answers that carry a result code.

use std::time::Duration;

use axum::Json;
use axum::http::{HeaderName, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use derive_more::{Display, Error};
use marigoldlock_wire::engine::REQUEST_ID_HEADER;
use marigoldlock_wire::prelude::*;
use serde::Serialize;

/// Header with the number of the result code.
pub const CODE_HEADER: &str = "x-result-code";

/// Header that says whether the request ran: `not_run`, `outcome_unknown` or `ran`.
pub const EXECUTION_HEADER: &str = "x-execution";

/// Rejection of a refused or failed request.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
#[display("{code}: {message}")]
pub struct Rejection {
    /// Result code.
    pub code: ResultCode,
    /// Explanation for the caller.
    pub message: String,
    /// When the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Rejection {
    /// Creates a rejection with the meaning of the code as its message.
    pub fn new(code: ResultCode) -> Self {
        Self::with_message(code, code.meaning())
    }

    /// Creates a rejection with a specific message.
    pub fn with_message(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets when the caller may retry.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Converts the rejection to an HTTP answer with the request's id.
    pub fn into_answer(self, request: RequestId) -> Response {
        let mut response = self.into_response();
        set_request_id(&mut response, request);
        response
    }

    /// The JSON body of the answer.
    pub fn body(&self) -> ErrorBody<'_> {
        ErrorBody {
            error: ErrorDetail {
                code: self.code.number(),
                name: self.code.name(),
                message: &self.message,
                execution: execution_text(self.code.execution()),
                retry_after_ms: self.retry_after.map(|wait| wait.as_millis() as u64),
            },
        }
    }
}

/// JSON body of a rejection.
#[derive(Debug, Serialize)]
pub struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    code: u16,
    name: &'static str,
    message: &'a str,
    execution: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl IntoResponse for Rejection {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = (status, Json(self.body())).into_response();
        let headers = response.headers_mut();
        headers.insert(
            HeaderName::from_static(CODE_HEADER),
            HeaderValue::from(self.code.number()),
        );
        let execution = HeaderValue::from_static(execution_text(self.code.execution()));
        headers.insert(HeaderName::from_static(EXECUTION_HEADER), execution);
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_millis().div_ceil(1000).max(1) as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Sets the request id header of a response.
pub fn set_request_id(response: &mut Response, request: RequestId) {
    let value = HeaderValue::from_str(&request.to_string()).expect("hex digits are a valid header value");
    response
        .headers_mut()
        .insert(HeaderName::from_static(REQUEST_ID_HEADER), value);
}

fn execution_text(execution: Execution) -> &'static str {
    match execution {
        Execution::NotRun => "not_run",
        Execution::Unknown => "outcome_unknown",
        Execution::Ran => "ran",
    }
}
