//! Listeners: callers, questions about the instance, metrics, other instances.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use marigoldlock_core::gateway::members::MemberStage;
use tokio::net::{TcpListener, TcpStream};

use super::respond::{AnswerBody, whole};
use super::{Gateway, catch_up, session};

/// Wait after a failed accept, which means that descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time for which an address answer counts: short, so that callers soon leave an instance that ends.
const ANSWER_LIFETIME: Duration = Duration::from_secs(1);

/// Idle time of callers' connections before settings are known.
const IDLE_UNTOLD: Duration = Duration::from_secs(60);

/// How much longer than told a caller's connection may be idle, so that a request never meets its close.
const IDLE_FACTOR: u32 = 3;

/// Largest head before settings are known, in bytes.
const HEADER_BYTES_UNTOLD: usize = 64 << 10;

/// Smallest read buffer that the HTTP library accepts, in bytes.
const BUFFER_BYTES_LEAST: usize = 8 << 10;

/// Largest question of another instance, in bytes.
const QUESTION_BYTES: usize = 1 << 10;

/// Who is served on a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Surface {
    /// Callers' requests.
    Callers,
    /// Questions about addresses and readiness.
    Instance,
    /// Metrics.
    Metrics,
    /// Other instances.
    Peer,
}

/// Serves a listener in the background.
pub fn spawn(gateway: &Arc<Gateway>, listener: TcpListener, surface: Surface) {
    let killed = gateway.killed.clone();
    let accepting = accept(Arc::clone(gateway), listener, surface);
    tokio::spawn(killed.run_until_cancelled_owned(accepting));
}

async fn accept(gateway: Arc<Gateway>, listener: TcpListener, surface: Surface) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gateway.closing.cancelled(), if surface == Surface::Callers => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let killed = gateway.killed.clone();
                let connection = serve(Arc::clone(&gateway), stream, surface);
                let connection = killed.run_until_cancelled_owned(connection);
                if surface == Surface::Callers {
                    gateway.tracker.spawn(connection);
                } else {
                    tokio::spawn(connection);
                }
            }
            Err(err) => {
                log::warn!(error:% = err, surface:? = surface; "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(gateway: Arc<Gateway>, stream: TcpStream, surface: Surface) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!(error:% = err; "socket option was refused");
    }
    let limits = gateway.state().settings.as_ref().map(|settings| settings.limits);
    let idle = limits.map_or(IDLE_UNTOLD, |limits| limits.idle_timeout * IDLE_FACTOR);
    let header_bytes = limits.map_or(HEADER_BYTES_UNTOLD, |limits| limits.header_bytes);
    let closing = gateway.closing.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = Arc::clone(&gateway);
        async move { Ok::<_, Infallible>(answer(gateway, request, surface).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(BUFFER_BYTES_LEAST.max(header_bytes * 2))
        .half_close(false);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closing.cancelled(), if surface == Surface::Callers => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = result {
        log::debug!(error:% = err, surface:? = surface; "connection ended");
    }
}

async fn answer(gateway: Arc<Gateway>, request: Request<Incoming>, surface: Surface) -> Response<AnswerBody> {
    match surface {
        Surface::Callers => session::serve(gateway, request).await,
        Surface::Instance => answer_about(&gateway, request.uri()),
        Surface::Metrics => Response::new(whole(Bytes::from(crate::metrics::render()))),
        Surface::Peer => answer_peer(&gateway, request.into_body()).await,
    }
}

async fn answer_peer(gateway: &Gateway, question: Incoming) -> Response<AnswerBody> {
    match Limited::new(question, QUESTION_BYTES).collect().await {
        Ok(question) => Response::new(whole(catch_up::answer(gateway, &question.to_bytes()))),
        Err(err) => {
            log::info!(error:% = err; "another instance's question broke off");
            with_status(StatusCode::BAD_REQUEST)
        }
    }
}

fn answer_about(gateway: &Gateway, uri: &http::Uri) -> Response<AnswerBody> {
    let directory = &gateway.parts.directory;
    if directory.is_readiness_check(uri) {
        let is_ready = gateway.state().stage == MemberStage::Ready;
        let status = if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        return with_status(status);
    }
    let Some(question) = directory.read_address_query(uri) else {
        return with_status(StatusCode::NOT_FOUND);
    };
    let now = gateway.now();
    let state = gateway.state();
    let own = (state.stage == MemberStage::Ready).then_some(&gateway.parts.card);
    let addresses = state.members.addresses(own, question.data_centre.as_deref(), now);
    drop(state);
    if addresses.is_empty() {
        return with_status(StatusCode::SERVICE_UNAVAILABLE);
    }
    log::debug!(addresses = addresses.len(), data_centre = question.data_centre.as_deref(); "addresses told");
    directory.answer(&addresses, ANSWER_LIFETIME).map(whole)
}

fn with_status(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(whole(Bytes::new()));
    *response.status_mut() = status;
    response
}
