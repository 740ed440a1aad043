//! Chat completions.

use std::sync::Arc;

use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, HeaderValue, header};
use axum::response::Response;
use bytes::Bytes;
use marigoldlock_core::settings::{ActiveSettings, CustomerSettings, ServiceKind, ServiceSettings};
use marigoldlock_wire::engine::{ChatRequest, prefix_hashes, prompt_tokens};
use marigoldlock_wire::prelude::*;
use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::error::Category;
use serde_json::{Map, Value, json};

use super::auth::authorize;
use super::body::{BodyLimits, read_body};
use super::context::FrontContext;
use super::headers::end_to_end;
use super::reject::{Rejection, set_request_id};
use super::session::ChatSession;
use super::target::RequestTarget;
use crate::dispatch::WorkItem;

/// Maximum size of a chat body, in bytes. It applies until the model, and with it the service's own limit, is
/// known.
pub(super) const MAX_CHAT_BODY_BYTES: usize = 16 << 20;

/// A parsed and validated chat request.
pub(super) struct ChatRequestParts {
    /// Body for the upstream.
    pub body: Bytes,
    /// Headers for the upstream.
    pub headers: HeaderMap,
    /// True if the caller requested a stream.
    pub stream: bool,
    /// Service, customer, class and timeout.
    pub target: RequestTarget,
    /// Description of the chat for routing.
    pub item: Arc<WorkItem>,
}

impl ChatRequestParts {
    /// The same request with streaming turned off.
    ///
    /// # Errors
    ///
    /// Rejects a body that is not a JSON object.
    pub(super) fn without_streaming(self) -> Result<Self, Rejection> {
        if !self.stream {
            return Ok(self);
        }
        let body = with_field(&self.body, "stream", json!(false))?;
        Ok(Self {
            body,
            stream: false,
            ..self
        })
    }
}

/// `POST /v1/chat/completions`.
pub(super) async fn chat(State(context): State<Arc<FrontContext>>, request: Request) -> Response {
    let id = context.new_request();
    match serve(&context, id, request).await {
        Ok(response) => response,
        Err(rejection) => rejection.into_answer(id),
    }
}

async fn serve(context: &Arc<FrontContext>, id: RequestId, request: Request) -> Result<Response, Rejection> {
    let settings = context.serving_settings()?;
    let (parts, body) = request.into_parts();
    check_content_type(&parts.headers)?;
    let limits = BodyLimits {
        max_bytes: MAX_CHAT_BODY_BYTES,
        idle_timeout: context.limits.body_idle_timeout,
    };
    let body = read_body(body, &parts.headers, limits).await?;
    let work = parse_chat(context, &settings, id, &parts.headers, body)?;
    let stream = work.stream;
    let session = ChatSession::start(Arc::clone(context), work).await?;
    if stream {
        streamed_response(session, id).await
    } else {
        whole_response(session, id).await
    }
}

async fn streamed_response(mut session: ChatSession, id: RequestId) -> Result<Response, Rejection> {
    let first = session.next_block().await?;
    let blocks = futures::stream::unfold(Some((session, first)), |state| async {
        let (mut session, block) = state?;
        let block = block?;
        let next = match session.next_block().await {
            Ok(next) => next,
            Err(rejection) => Some(error_event(&rejection)),
        };
        Some((Ok::<_, std::convert::Infallible>(block), Some((session, next))))
    });
    let mut response = Response::new(Body::from_stream(blocks));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    set_request_id(&mut response, id);
    Ok(response)
}

/// Event that reports an error in a stream that has already started; no end marker follows it.
fn error_event(rejection: &Rejection) -> Bytes {
    let body = serde_json::to_string(&rejection.body()).expect("a rejection is plain JSON");
    format!("data: {body}\n\n").into()
}

async fn whole_response(session: ChatSession, id: RequestId) -> Result<Response, Rejection> {
    let body = session.read_whole_answer().await?;
    let mut response = Response::new(Body::from(body));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    set_request_id(&mut response, id);
    Ok(response)
}

pub(super) fn check_content_type(headers: &HeaderMap) -> Result<(), Rejection> {
    let value = headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let essence = value.split(';').next().unwrap_or_default().trim();
    if essence.eq_ignore_ascii_case("application/json") {
        return Ok(());
    }
    Err(Rejection::with_message(
        ResultCode::UnsupportedMediaType,
        "The route takes application/json.",
    ))
}

/// Parses JSON; malformed JSON and invalid fields get different result codes.
pub(super) fn parse_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Rejection> {
    if let Err(err) = std::str::from_utf8(body) {
        let message = format!("The body is not UTF-8 at byte {}.", err.valid_up_to());
        return Err(Rejection::with_message(ResultCode::InvalidUtf8, message));
    }
    serde_json::from_slice(body).map_err(|err| {
        // serde_json classifies a number out of range as a syntax error, although the text is valid JSON.
        let is_json = err.classify() == Category::Data || serde_json::from_slice::<IgnoredAny>(body).is_ok();
        let code = if is_json {
            ResultCode::InvalidField
        } else {
            ResultCode::MalformedJson
        };
        Rejection::with_message(code, err.to_string())
    })
}

pub(super) fn parse_chat(
    context: &FrontContext,
    settings: &ActiveSettings,
    id: RequestId,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<ChatRequestParts, Rejection> {
    parse_chat_for(context, settings, id, headers, body, |service| {
        authorize(settings, service, headers)
    })
}

/// Parses and validates a chat request; `find_customer` authorizes it for the service of its model.
pub(super) fn parse_chat_for(
    context: &FrontContext,
    settings: &ActiveSettings,
    id: RequestId,
    headers: &HeaderMap,
    body: Bytes,
    find_customer: impl FnOnce(&ServiceSettings) -> Result<Option<Arc<CustomerSettings>>, Rejection>,
) -> Result<ChatRequestParts, Rejection> {
    let chat: ChatRequest = parse_json(&body)?;
    let service = settings
        .service_for_model(chat.model.as_str())
        .filter(|service| service.kind == ServiceKind::Chat)
        .ok_or_else(|| unknown_model(&chat.model))?;
    let customer = find_customer(service)?;
    check_fields(&chat, service, body.len())?;
    let target = RequestTarget::new(
        settings,
        Arc::clone(service),
        customer,
        headers,
        &context.data_centre,
    )?;
    let item = WorkItem {
        request: id,
        customer: target.customer_id(),
        service: service.name.clone(),
        model: Some(chat.model.clone()),
        class: target.class,
        prefixes: prefix_hashes(&chat.messages),
        prompt_tokens: prompt_tokens(&chat.messages),
        output_tokens: chat.max_tokens.unwrap_or(service.expected_output_tokens),
        cheap_allowed: target.cheap_allowed,
        data_centres: target.data_centres(),
    };
    let body = with_token_limit(body, &chat, service)?;
    Ok(ChatRequestParts {
        body,
        headers: end_to_end(headers),
        stream: chat.stream,
        target,
        item: Arc::new(item),
    })
}

fn unknown_model(model: &ModelId) -> Rejection {
    Rejection::with_message(
        ResultCode::UnknownModel,
        format!("No service offers model {model}."),
    )
}

fn check_fields(chat: &ChatRequest, service: &ServiceSettings, bytes: usize) -> Result<(), Rejection> {
    let invalid = |message: String| Err(Rejection::with_message(ResultCode::InvalidField, message));
    if bytes as u64 > service.body_limit_bytes {
        let message = format!("The body may have {} bytes.", service.body_limit_bytes);
        return Err(Rejection::with_message(ResultCode::BodyTooLarge, message));
    }
    if chat.resume.is_some() {
        return invalid("Field resume is not for callers.".into());
    }
    if chat.messages.is_empty() {
        return invalid("Field messages is empty.".into());
    }
    let max_tokens = service.max_output_tokens;
    if chat
        .max_tokens
        .is_some_and(|tokens| tokens == 0 || tokens > max_tokens)
    {
        return invalid(format!("Field max_tokens takes a number from 1 to {max_tokens}."));
    }
    Ok(())
}

/// Adds the service's limit on output tokens to a body that sets none.
fn with_token_limit(body: Bytes, chat: &ChatRequest, service: &ServiceSettings) -> Result<Bytes, Rejection> {
    if chat.max_tokens.is_some() {
        return Ok(body);
    }
    with_field(&body, "max_tokens", json!(service.max_output_tokens))
}

/// Sets one field of a JSON object.
pub(super) fn with_field(body: &[u8], name: &str, value: Value) -> Result<Bytes, Rejection> {
    let mut object: Map<String, Value> = parse_json(body)?;
    object.insert(name.to_owned(), value);
    Ok(Value::Object(object).to_string().into())
}
