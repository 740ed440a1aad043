//! Refusals of an engine; a refused request hasn't run.

use axum::Json;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde_json::json;
use thiserror::Error;

/// Why an engine refuses a request.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(super) enum EngineRefusal {
    /// Prompt and output exceed the context.
    #[error("prompt and output exceed the context")]
    TooLong,
    /// The model is not loaded.
    #[error("model not loaded")]
    UnknownModel,
    /// The engine is out of service for a change.
    #[error("engine is changing")]
    Changing,
    /// The engine was ordered to accept no new work.
    #[error("engine is draining")]
    Draining,
    /// The queue is full.
    #[error("queue is full")]
    QueueFull,
    /// The role does not allow the request.
    #[error("request does not fit the engine's role")]
    WrongRole,
}

impl EngineRefusal {
    fn status(self) -> StatusCode {
        match self {
            Self::TooLong => StatusCode::BAD_REQUEST,
            Self::UnknownModel => StatusCode::NOT_FOUND,
            Self::Changing | Self::Draining | Self::QueueFull | Self::WrongRole => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }
}

impl IntoResponse for EngineRefusal {
    fn into_response(self) -> Response {
        let body = Json(json!({ "error": { "message": self.to_string(), "type": "refused" } }));
        let mut response = (self.status(), body).into_response();
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            let second = header::HeaderValue::from_static("1");
            response.headers_mut().insert(header::RETRY_AFTER, second);
        }
        response
    }
}
