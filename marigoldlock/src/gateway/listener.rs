//! Listeners for callers, queries about the instance, metrics and other instances.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use marigoldlock_core::gateway::intake::ClientKind;
use marigoldlock_core::gateway::members::{MemberStage, OwnAddress};
use tokio::net::{TcpListener, TcpStream};

use super::call::RequestSender;
use super::intake::{BodyFailure, BodyLimits, ClientConnection, ClientStream, GuardedBody, StreamTimeouts};
use super::response::{ResponseBody, full_body};
use super::{Gateway, call, catch_up, forward};

/// Delay after a failed accept, which usually means that the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Lifetime of the addresses given to callers: short, so that callers soon leave an instance that stops.
const ADDRESS_TTL: Duration = Duration::from_secs(1);

/// Idle timeout of callers' connections before the settings are known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Factor by which a caller's connection may be idle longer than the configured timeout, so that it isn't
/// closed just as a request arrives.
const IDLE_FACTOR: u32 = 3;

/// Largest request head before the settings are known, in bytes.
const DEFAULT_HEADER_BYTES: usize = 16 << 10;

/// Time for a request head before the settings are known.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);

/// Room in the read buffer for the request line and separators, in addition to the limit on header fields, in bytes.
const REQUEST_LINE_BYTES: usize = 4 << 10;

/// Time within which a body of another instance must be complete.
const PEER_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a client may try again if there was no room for its request.
const RETRY_AFTER: HeaderValue = HeaderValue::from_static("1");

/// Smallest read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Largest request from another instance, in bytes.
const MAX_CHANGE_REQUEST_BYTES: usize = 1 << 10;

/// Accepts connections in the background.
pub fn spawn(gateway: &Arc<Gateway>, listener: TcpListener, kind: ClientKind) {
    let killed = gateway.killed.clone();
    let accepting = accept(Arc::clone(gateway), listener, kind);
    tokio::spawn(killed.run_until_cancelled_owned(accepting));
}

async fn accept(gateway: Arc<Gateway>, listener: TcpListener, kind: ClientKind) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gateway.closing.cancelled(), if kind == ClientKind::Caller => return,
        };
        match accepted {
            Ok((stream, client)) => {
                let Some(client) = gateway.intake.admit(kind, client.ip()).await else {
                    continue;
                };
                let killed = gateway.killed.clone();
                let connection = serve(Arc::clone(&gateway), stream, client, kind);
                let connection = killed.run_until_cancelled_owned(connection);
                if kind == ClientKind::Caller {
                    gateway.tracker.spawn(connection);
                } else {
                    tokio::spawn(connection);
                }
            }
            Err(err) => {
                log::warn!(error:% = err, surface:? = kind; "accepting a connection failed; retrying");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(gateway: Arc<Gateway>, stream: TcpStream, client: Arc<ClientConnection>, kind: ClientKind) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!(error:% = err; "setting TCP_NODELAY failed");
    }
    let limits = gateway.state().settings.as_ref().map(|settings| settings.limits);
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout * IDLE_FACTOR);
    let header_bytes = match kind {
        ClientKind::Caller | ClientKind::Peer => {
            limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes) + REQUEST_LINE_BYTES
        }
        ClientKind::Instance | ClientKind::Metrics => MIN_BUFFER_BYTES,
    };
    let timeouts = StreamTimeouts {
        head: limits.map_or(DEFAULT_HEADER_TIMEOUT, |limits| limits.header_timeout),
        read: limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout),
    };
    let closing = gateway.closing.clone();
    let connection = Arc::clone(&client);
    let service = service_fn(move |mut request: Request<Incoming>| {
        let gateway = Arc::clone(&gateway);
        let connection = Arc::clone(&connection);
        async move {
            let guard = connection.start_request().await;
            request.extensions_mut().insert(Arc::clone(&connection));
            let mut response = handle(gateway, request, &connection, kind).await;
            if guard.is_last() {
                response
                    .headers_mut()
                    .insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response.map(|body| GuardedBody::attach(body, guard)))
        }
    });
    let stream = ClientStream::new(stream, Arc::clone(&client), timeouts);
    let mut builder = hyper::server::conn::http1::Builder::new();
    // Without `max_headers`, hyper takes at most 100 header fields.
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(MIN_BUFFER_BYTES.max(header_bytes))
        .half_close(false);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = client.dropped() => return,
        () = closing.cancelled(), if kind == ClientKind::Caller => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                result = connection => result,
                () = client.dropped() => return,
            }
        }
    };
    if let Err(err) = result {
        log::debug!(error:% = err, surface:? = kind; "connection ended");
    }
}

async fn handle(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    client: &ClientConnection,
    kind: ClientKind,
) -> Response<ResponseBody> {
    match kind {
        ClientKind::Caller => call::serve(gateway, request, RequestSender::Caller).await,
        ClientKind::Instance => handle_instance_request(&gateway, request.uri()),
        ClientKind::Metrics => charged_response(client, Bytes::from(crate::metrics::render())).await,
        ClientKind::Peer => match forward::time_left(&request) {
            Some(time_left) => forward::serve(gateway, request, time_left).await,
            None => handle_peer_request(&gateway, request.into_body(), client).await,
        },
    }
}

async fn handle_peer_request(
    gateway: &Gateway,
    body: Incoming,
    client: &ClientConnection,
) -> Response<ResponseBody> {
    let limits = BodyLimits {
        max_bytes: MAX_CHANGE_REQUEST_BYTES,
        window: PEER_BODY_TIMEOUT,
        timeout: PEER_BODY_TIMEOUT,
    };
    match client.read_body(body, limits).await {
        Ok(body) => charged_response(client, catch_up::handle_request(gateway, &body)).await,
        Err(BodyFailure::NoRoom) => no_room_response(),
        Err(failure) => {
            log::info!(failure:? = failure; "reading another instance's request failed");
            empty_response(StatusCode::BAD_REQUEST)
        }
    }
}

/// A complete response that is charged until the client has read it.
async fn charged_response(client: &ClientConnection, content: Bytes) -> Response<ResponseBody> {
    match client.charge_response(content).await {
        Some(content) => Response::new(full_body(content)),
        None => no_room_response(),
    }
}

fn no_room_response() -> Response<ResponseBody> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert(header::RETRY_AFTER, RETRY_AFTER);
    response
}

fn handle_instance_request(gateway: &Gateway, uri: &http::Uri) -> Response<ResponseBody> {
    let directory = &gateway.parts.directory_protocol;
    if directory.is_readiness_check(uri) {
        let is_ready = gateway.state().stage == MemberStage::Ready;
        let status = if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        return empty_response(status);
    }
    let Some(query) = directory.read_address_query(uri) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    let now = gateway.now();
    let state = gateway.state();
    let own = (state.stage == MemberStage::Ready).then_some(OwnAddress {
        card: &gateway.parts.card,
        is_cut_off: state.reach.is_cut_off(),
    });
    let addresses = state.members.addresses(own, query.data_centre.as_deref(), now);
    drop(state);
    if addresses.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    log::debug!(addresses = addresses.len(), data_centre = query.data_centre.as_deref(); "addresses sent");
    directory.address_response(&addresses, ADDRESS_TTL).map(full_body)
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}
