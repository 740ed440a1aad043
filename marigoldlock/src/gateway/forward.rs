//! Forwards callers' requests to other instances while this one reaches no upstream.
//!
//! The other instance serves the request as its own: it counts it, and sends it to upstreams within its limits. The
//! response is passed on as it arrives. A request that may have reached another instance isn't sent to a further one, and
//! none is forwarded twice.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use marigoldlock_core::gateway::exchange::FleetView;
use marigoldlock_core::gateway::members::MemberCard;
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::gateway::reach::serving_peers;

use crate::logging::DECISION_TARGET;

use super::Gateway;
use super::call::{self, Call, RequestSender};
use super::connections::connect;
use super::response::{BodyError, ResponseBody, close_if_leaving, full_body};

/// Marks a request of another instance; the value is the time left until its deadline, in milliseconds.
const TIME_LEFT: HeaderName = HeaderName::from_static("marigoldlock-time-left-ms");

/// Marks the response of an instance that is cut off as well.
const CUT_OFF: HeaderName = HeaderName::from_static("marigoldlock-cut-off");

/// Number of other instances that are tried if nothing reaches the first ones.
const MAX_INSTANCES: usize = 3;

/// Time added to the deadline, within which the other instance's refusal arrives.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Why another instance gave no response.
enum ForwardFailure {
    /// Nothing was sent, or the instance is cut off as well.
    NotRun,
    /// The request may have run.
    Lost,
    /// The deadline passed.
    TimedOut,
}

impl Call {
    /// True if other instances have to serve the request, and nothing of it was sent to an upstream yet.
    pub fn should_forward(&self) -> bool {
        self.received_from == RequestSender::Caller
            && self.attempts.sent() == 0
            && self.prefilled_at.is_none()
            && self.gateway.is_cut_off()
    }

    /// Lets another instance serve a request that would be refused because this one reaches no upstream.
    pub async fn refuse_or_forward(&self, refusal: Refusal) -> Response<ResponseBody> {
        if refusal.cause.is_not_run()
            && self.should_forward()
            && let Some(response) = self.forward().await
        {
            return response;
        }
        self.refuse(refusal)
    }

    /// Lets another instance serve the request; `None` if there is none. A request of another instance is handed back.
    pub async fn forward(&self) -> Option<Response<ResponseBody>> {
        if self.received_from != RequestSender::Caller {
            return Some(hand_back());
        }
        for card in self.gateway.serving_peers().iter().take(MAX_INSTANCES) {
            let result = self.forward_to(card).await;
            let outcome = match &result {
                Ok(_) => "response",
                Err(ForwardFailure::NotRun) => "not_run",
                Err(ForwardFailure::Lost) => "lost",
                Err(ForwardFailure::TimedOut) => "timed_out",
            };
            log::info!(
                target: DECISION_TARGET,
                request = self.head.attempt_id, instance:% = card.id, outcome;
                "request forwarded to another instance"
            );
            metrics::counter!("gateway_forwarded_requests_total", "outcome" => outcome).increment(1);
            match result {
                Ok(response) => {
                    self.log_done("forwarded", response.status());
                    return Some(close_if_leaving(&self.gateway, response));
                }
                Err(ForwardFailure::NotRun) => {}
                Err(ForwardFailure::Lost) => {
                    return Some(self.refuse(Refusal::new(RefusalCause::OutcomeUnknown)));
                }
                Err(ForwardFailure::TimedOut) => {
                    return Some(self.refuse(Refusal::new(RefusalCause::TimedOut)));
                }
            }
        }
        None
    }

    async fn forward_to(&self, card: &MemberCard) -> Result<Response<ResponseBody>, ForwardFailure> {
        let Ok(mut connection) = connect(card.peer).await else {
            return Err(ForwardFailure::NotRun);
        };
        let time_left = self.time_left();
        if time_left.is_zero() {
            return Err(ForwardFailure::NotRun);
        }
        let sent = connection.try_send_request(self.forwarded_request(time_left));
        let response = match self.gateway.limit_time(time_left + RESPONSE_MARGIN, sent).await {
            Some(Ok(response)) => response,
            Some(Err(mut err)) => {
                if err.take_message().is_some() {
                    return Err(ForwardFailure::NotRun);
                }
                log::info!(request = self.head.attempt_id, instance:% = card.id, error:% = err.into_error(); "no response from the other instance");
                return Err(ForwardFailure::Lost);
            }
            None => return Err(ForwardFailure::TimedOut),
        };
        if response.headers().contains_key(CUT_OFF) {
            return Err(ForwardFailure::NotRun);
        }
        let (mut parts, body) = response.into_parts();
        remove_connection_headers(&mut parts.headers);
        Ok(Response::from_parts(parts, body.map_err(BodyError::from).boxed()))
    }

    fn forwarded_request(&self, time_left: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        let headers = request.headers_mut();
        *headers = self.parts.headers.clone();
        remove_connection_headers(headers);
        headers.remove(header::CONTENT_LENGTH);
        let millis = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(TIME_LEFT, HeaderValue::from(millis));
        request
    }
}

impl Gateway {
    fn serving_peers(&self) -> Vec<MemberCard> {
        let state = self.state();
        let view = FleetView {
            own: &self.parts.card,
            members: &state.members,
            now: self.now(),
        };
        let cards = serving_peers(&view, &mut rand::rng());
        cards.into_iter().take(MAX_INSTANCES).cloned().collect()
    }
}

fn remove_connection_headers(headers: &mut HeaderMap) {
    for name in &CONNECTION_HEADERS {
        headers.remove(name);
    }
}

/// Response that tells the other instance to try a further one.
fn hand_back() -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
        .headers_mut()
        .insert(CUT_OFF, HeaderValue::from_static("1"));
    response
}

/// Time left for a request of another instance; `None` if it is something else.
pub fn time_left(request: &Request<Incoming>) -> Option<Duration> {
    let millis = request.headers().get(TIME_LEFT)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Serves a request for another instance.
pub async fn serve(
    gateway: Arc<Gateway>,
    mut request: Request<Incoming>,
    time_left: Duration,
) -> Response<ResponseBody> {
    request.headers_mut().remove(TIME_LEFT);
    // The connection isn't one of a caller, but a shutdown has to wait for the response all the same.
    let token = gateway.tracker.token();
    let response = call::serve(gateway, request, RequestSender::Instance(time_left)).await;
    response.map(|body| {
        let body = body.map_frame(move |frame| {
            let _ = &token;
            frame
        });
        body.boxed()
    })
}
