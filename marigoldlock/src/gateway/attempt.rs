//! One attempt: sends a request to an upstream and reads its answer.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use marigoldlock_core::gateway::outcome::AttemptFailure;
use marigoldlock_core::gateway::prelude::*;

use super::links::{LinkSender, connect};
use super::session::Call;

/// Largest answer of a call that is no stream, in bytes; it is held until it is whole.
const ANSWER_BYTES_MOST: usize = 8 << 20;

/// How an attempt is made.
#[derive(Clone, Debug, Default)]
pub struct AttemptPlan {
    /// Where the prompt's memory is fetched from.
    pub kv_source: Option<KvSource>,
    /// True if only the prompt is read.
    pub is_prefill: bool,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Longest wait for the head of the answer.
    pub patience: Duration,
}

/// Head of an upstream's answer, with the connection that it comes on.
pub struct OpenAnswer {
    pub sender: LinkSender,
    pub head: ResponseHead,
    pub parts: response::Parts,
    pub body: Incoming,
}

impl Call {
    /// Reads the rest of an answer that is no stream.
    pub async fn read_whole(
        &self,
        entry: &UpstreamEntry,
        opened: OpenAnswer,
    ) -> Result<Response<Bytes>, AttemptFailure> {
        let OpenAnswer {
            sender,
            head,
            parts,
            body,
        } = opened;
        let read = Limited::new(body, ANSWER_BYTES_MOST).collect();
        let body = match tokio::time::timeout(self.time_left(), read).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(err)) => {
                log::info!(request = self.head.attempt_id, upstream:% = entry.id, error:% = err; "the answer broke off");
                return Err(AttemptFailure::Broken);
            }
            Err(_) => return Err(AttemptFailure::TimedOut),
        };
        self.keep_link(entry, sender, &head);
        let mut answer = Response::new(body);
        *answer.status_mut() = parts.status;
        *answer.headers_mut() = self.gateway.parts.upstream.response_headers(&parts.headers);
        Ok(answer)
    }

    /// Notes a whole answer and keeps its connection.
    pub fn keep_link(&self, entry: &UpstreamEntry, sender: LinkSender, head: &ResponseHead) {
        let now = self.gateway.now();
        self.gateway.state().upstream(&entry.id).record_success(now);
        if !head.is_closing {
            self.gateway.links().keep(&entry.id, sender, head.keep_alive, now);
        }
    }

    /// Sends the request to an upstream and reads the head of its answer.
    ///
    /// # Errors
    ///
    /// Says what is known of the attempt if it gave no answer that can be used.
    pub async fn send(
        &self,
        entry: &UpstreamEntry,
        plan: &AttemptPlan,
    ) -> Result<OpenAnswer, AttemptFailure> {
        let is_reusable = self.route.kind.is_retryable() || plan.is_prefill;
        let pooled = if is_reusable {
            self.gateway.links().take(&entry.id, self.gateway.now())
        } else {
            None
        };
        let answer = match pooled {
            Some(sender) => match self.send_on(sender, entry, plan).await {
                // The upstream had closed the idle connection; nothing was sent.
                Err(AttemptFailure::NotSent) => self.send_fresh(entry, plan).await,
                result => result,
            },
            None => self.send_fresh(entry, plan).await,
        }?;
        self.check(entry, answer)
    }

    async fn send_fresh(
        &self,
        entry: &UpstreamEntry,
        plan: &AttemptPlan,
    ) -> Result<OpenAnswer, AttemptFailure> {
        match connect(entry.address).await {
            Ok(sender) => self.send_on(sender, entry, plan).await,
            Err(err) => {
                log::info!(request = self.head.attempt_id, upstream:% = entry.id, error:% = err; "connect failed");
                Err(AttemptFailure::NotSent)
            }
        }
    }

    async fn send_on(
        &self,
        mut sender: LinkSender,
        entry: &UpstreamEntry,
        plan: &AttemptPlan,
    ) -> Result<OpenAnswer, AttemptFailure> {
        let time_left = self.time_left();
        if time_left.is_zero() {
            return Err(AttemptFailure::NotSent);
        }
        let request = self.build_request(entry, plan, time_left);
        let sent = tokio::time::timeout(plan.patience, sender.try_send_request(request)).await;
        match sent {
            Ok(Ok(response)) => {
                let (parts, body) = response.into_parts();
                let head = self.gateway.parts.upstream.read_response(&parts);
                Ok(OpenAnswer {
                    sender,
                    head,
                    parts,
                    body,
                })
            }
            Ok(Err(mut err)) => {
                let is_sent = err.take_message().is_none();
                let error = err.into_error();
                log::info!(
                    request = self.head.attempt_id, upstream:% = entry.id, error:% = error, sent = is_sent;
                    "no answer from the upstream"
                );
                Err(if is_sent {
                    AttemptFailure::Broken
                } else {
                    AttemptFailure::NotSent
                })
            }
            Err(_) => Err(AttemptFailure::TimedOut),
        }
    }

    fn build_request(
        &self,
        entry: &UpstreamEntry,
        plan: &AttemptPlan,
        time_left: Duration,
    ) -> Request<Full<Bytes>> {
        let customer = self.owner.as_ref();
        let attempt = AttemptHead {
            upstream: &entry.id,
            customer: customer.map(|owner| &owner.customer),
            time_left,
            last_event: plan.last_event,
            kv_source: plan.kv_source.as_ref(),
            is_prefill: plan.is_prefill,
            priority: self.rank(),
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.headers_mut() = self
            .gateway
            .parts
            .upstream
            .attempt_headers(&self.parts.headers, &attempt);
        if let Some(path) = self.parts.uri.path_and_query() {
            *request.uri_mut() = path.clone().into();
        }
        request
    }

    /// Tells an answer to this request from refusals and from what belongs to another request.
    fn check(&self, entry: &UpstreamEntry, opened: OpenAnswer) -> Result<OpenAnswer, AttemptFailure> {
        let head = &opened.head;
        if let Some(load) = head.load {
            let now = self.gateway.now();
            self.gateway.state().upstream(&entry.id).record_report(load, now);
        }
        let is_foreign = head
            .attempt_id
            .as_ref()
            .is_some_and(|id| *id != self.head.attempt_id);
        if is_foreign {
            log::warn!(
                request = self.head.attempt_id, upstream:% = entry.id, answer_to = head.attempt_id.as_deref();
                "the answer belongs to another request; the connection is closed"
            );
            return Err(AttemptFailure::Broken);
        }
        if head.is_other_upstream {
            return Err(AttemptFailure::OtherUpstream);
        }
        if head.is_not_run {
            return Err(AttemptFailure::NotRun);
        }
        let promises_not_run = matches!(opened.parts.status.as_u16(), 408 | 421 | 429 | 503);
        let is_unsigned = opened.parts.status.is_success() && !head.is_signed;
        if promises_not_run || opened.parts.status.is_informational() {
            return Err(AttemptFailure::Broken);
        }
        if is_unsigned && head.attempt_id.is_none() {
            return Err(AttemptFailure::Broken);
        }
        Ok(opened)
    }
}
