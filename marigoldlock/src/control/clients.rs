//! HTTP clients for sending orders and usage reports.

use std::time::Duration;

use async_trait::async_trait;
use marigoldlock_core::orders::{LookUpAnswer, ReceiverAnswer};
use marigoldlock_core::time::ORDER_LIFETIME;
use marigoldlock_wire::engine::EngineOrder;
use marigoldlock_wire::platform::{OrderAnswer, UpstreamOrder, UsageReport};
use reqwest::StatusCode;
use serde::Serialize;

use crate::platform::client_with_user_timeout;

/// Time limit for the answer to an order or report.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after which the kernel drops unacknowledged bytes of an order or report (`TCP_USER_TIMEOUT`).
const SEND_USER_TIMEOUT: Duration = Duration::from_millis(800);

/// Bytes delayed by a partition must be dropped before another process may act, which waits `ORDER_LIFETIME`.
const _: () = assert!(SEND_TIMEOUT.as_millis() + SEND_USER_TIMEOUT.as_millis() <= ORDER_LIFETIME.as_millis());

/// Outcome of sending an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendOutcome<T> {
    /// The receiver answered.
    Answered(T),
    /// Nothing was sent.
    NotSent,
    /// No answer; the order may have been carried out or may still be.
    Unknown,
}

/// Client that sends orders.
#[async_trait]
pub trait OrderClient: Send + Sync {
    /// Sends an order to the engine at the address.
    async fn order_engine(&self, address: &str, order: &EngineOrder) -> SendOutcome<ReceiverAnswer>;

    /// Sends an order to the platform.
    async fn order_upstream(&self, order: &UpstreamOrder) -> SendOutcome<ReceiverAnswer>;

    /// Looks up an order at the platform; returns `None` if it does not answer.
    async fn look_up(&self, reference: &str) -> Option<LookUpAnswer>;
}

/// Client that sends usage reports.
#[async_trait]
pub trait ReportClient: Send + Sync {
    /// Sends a report; returns true if the platform accepted it.
    async fn report(&self, report: &UsageReport) -> bool;
}

/// Order client over HTTP.
#[derive(Clone, Debug)]
pub struct HttpOrderClient {
    http: reqwest::Client,
    platform_url: Option<String>,
}

impl HttpOrderClient {
    /// Creates a client; without a URL, orders to the platform are not sent.
    pub fn new(platform_url: Option<&str>) -> Self {
        let platform_url = platform_url.map(|url| url.trim_end_matches('/').to_owned());
        Self {
            http: client_with_user_timeout(SEND_USER_TIMEOUT),
            platform_url,
        }
    }

    async fn post(&self, url: String, body: &(impl Serialize + Sync)) -> SendOutcome<reqwest::Response> {
        let request = self.http.post(url).timeout(SEND_TIMEOUT).json(body);
        match request.send().await {
            Ok(response) => SendOutcome::Answered(response),
            Err(err) if err.is_connect() => SendOutcome::NotSent,
            Err(_) => SendOutcome::Unknown,
        }
    }
}

#[async_trait]
impl OrderClient for HttpOrderClient {
    async fn order_engine(&self, address: &str, order: &EngineOrder) -> SendOutcome<ReceiverAnswer> {
        let response = match self.post(format!("http://{address}/v1/orders"), order).await {
            SendOutcome::Answered(response) => response,
            SendOutcome::NotSent => return SendOutcome::NotSent,
            SendOutcome::Unknown => return SendOutcome::Unknown,
        };
        match response.status() {
            status if status.is_success() => SendOutcome::Answered(ReceiverAnswer::Done { upstream: None }),
            StatusCode::CONFLICT => SendOutcome::Answered(ReceiverAnswer::Fenced),
            status if status.is_client_error() => SendOutcome::Answered(ReceiverAnswer::Refused),
            _ => SendOutcome::Unknown,
        }
    }

    async fn order_upstream(&self, order: &UpstreamOrder) -> SendOutcome<ReceiverAnswer> {
        let Some(url) = &self.platform_url else {
            return SendOutcome::NotSent;
        };
        let response = match self.post(format!("{url}/v1/orders"), order).await {
            SendOutcome::Answered(response) => response,
            SendOutcome::NotSent => return SendOutcome::NotSent,
            SendOutcome::Unknown => return SendOutcome::Unknown,
        };
        match response.status() {
            status if status.is_success() => match response.json::<OrderAnswer>().await {
                Ok(answer) => SendOutcome::Answered(ReceiverAnswer::Done {
                    upstream: answer.upstream,
                }),
                Err(_) => SendOutcome::Unknown,
            },
            status if status.is_client_error() => SendOutcome::Answered(ReceiverAnswer::Refused),
            _ => SendOutcome::Unknown,
        }
    }

    async fn look_up(&self, reference: &str) -> Option<LookUpAnswer> {
        let platform_url = self.platform_url.as_ref()?;
        let url = format!("{platform_url}/v1/orders?reference={reference}");
        let request = self.http.get(url);
        let response = request.timeout(SEND_TIMEOUT).send().await.ok()?;
        let orders: Vec<OrderAnswer> = response.error_for_status().ok()?.json().await.ok()?;
        let answer = orders.into_iter().next();
        Some(answer.map_or(LookUpAnswer::Absent, |order| LookUpAnswer::Found {
            upstream: order.upstream,
        }))
    }
}

/// Report client over HTTP.
#[derive(Clone, Debug)]
pub struct HttpReportClient {
    http: reqwest::Client,
    url: String,
}

impl HttpReportClient {
    /// Creates a client of the usage API at `base_url`.
    pub fn new(base_url: &str) -> Self {
        let url = format!("{}/v1/usage", base_url.trim_end_matches('/'));
        Self {
            http: client_with_user_timeout(SEND_USER_TIMEOUT),
            url,
        }
    }
}

#[async_trait]
impl ReportClient for HttpReportClient {
    async fn report(&self, report: &UsageReport) -> bool {
        let request = self.http.post(&self.url).timeout(SEND_TIMEOUT).json(report);
        let response = request.send().await;
        response.is_ok_and(|response| response.status().is_success())
    }
}
