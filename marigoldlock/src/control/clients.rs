//! Clients of the receivers of orders and reports.

use std::time::Duration;

use async_trait::async_trait;
use marigoldlock_core::orders::{LookUpAnswer, ReceiverAnswer};
use marigoldlock_core::time::ORDER_LIFETIME;
use marigoldlock_wire::engine::EngineOrder;
use marigoldlock_wire::platform::{OrderAnswer, UpstreamOrder, UsageReport};
use reqwest::StatusCode;
use serde::Serialize;

use crate::platform::client_with_user_timeout;

/// Longest wait for the answer to an order or report.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Longest time the kernel keeps an order's bytes after the last acknowledgement.
const SEND_USER_TIMEOUT: Duration = Duration::from_millis(800);

/// What a partition held back must be dropped before another process may act.
const _: () = assert!(SEND_TIMEOUT.as_millis() + SEND_USER_TIMEOUT.as_millis() <= ORDER_LIFETIME.as_millis());

/// What became of a send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendFate<T> {
    /// The receiver answered.
    Answered(T),
    /// No byte left.
    NotSent,
    /// No answer; the send may have taken effect or may still.
    Lost,
}

/// Sends orders.
#[async_trait]
pub trait OrderClient: Send + Sync {
    /// Sends an order to the engine at the address.
    async fn order_engine(&self, address: &str, order: &EngineOrder) -> SendFate<ReceiverAnswer>;

    /// Sends an order to the platform.
    async fn order_upstream(&self, order: &UpstreamOrder) -> SendFate<ReceiverAnswer>;

    /// Asks the platform for an order; `None` if it does not answer.
    async fn look_up(&self, reference: &str) -> Option<LookUpAnswer>;
}

/// Sends usage reports.
#[async_trait]
pub trait ReportClient: Send + Sync {
    /// Sends a report; true if the platform took it.
    async fn report(&self, report: &UsageReport) -> bool;
}

/// Order client over HTTP.
#[derive(Clone, Debug)]
pub struct HttpOrderClient {
    http: reqwest::Client,
    platform_url: Option<String>,
}

impl HttpOrderClient {
    /// A client; without a URL no platform order is sent.
    pub fn new(platform_url: Option<&str>) -> Self {
        let platform_url = platform_url.map(|url| url.trim_end_matches('/').to_owned());
        Self {
            http: client_with_user_timeout(SEND_USER_TIMEOUT),
            platform_url,
        }
    }

    async fn post(&self, url: String, body: &(impl Serialize + Sync)) -> SendFate<reqwest::Response> {
        let request = self.http.post(url).timeout(SEND_TIMEOUT).json(body);
        match request.send().await {
            Ok(response) => SendFate::Answered(response),
            Err(err) if err.is_connect() => SendFate::NotSent,
            Err(_) => SendFate::Lost,
        }
    }
}

#[async_trait]
impl OrderClient for HttpOrderClient {
    async fn order_engine(&self, address: &str, order: &EngineOrder) -> SendFate<ReceiverAnswer> {
        let response = match self.post(format!("http://{address}/v1/orders"), order).await {
            SendFate::Answered(response) => response,
            SendFate::NotSent => return SendFate::NotSent,
            SendFate::Lost => return SendFate::Lost,
        };
        match response.status() {
            status if status.is_success() => SendFate::Answered(ReceiverAnswer::Done { upstream: None }),
            StatusCode::CONFLICT => SendFate::Answered(ReceiverAnswer::Fenced),
            status if status.is_client_error() => SendFate::Answered(ReceiverAnswer::Refused),
            _ => SendFate::Lost,
        }
    }

    async fn order_upstream(&self, order: &UpstreamOrder) -> SendFate<ReceiverAnswer> {
        let Some(url) = &self.platform_url else {
            return SendFate::NotSent;
        };
        let response = match self.post(format!("{url}/v1/orders"), order).await {
            SendFate::Answered(response) => response,
            SendFate::NotSent => return SendFate::NotSent,
            SendFate::Lost => return SendFate::Lost,
        };
        match response.status() {
            status if status.is_success() => match response.json::<OrderAnswer>().await {
                Ok(answer) => SendFate::Answered(ReceiverAnswer::Done {
                    upstream: answer.upstream,
                }),
                Err(_) => SendFate::Lost,
            },
            status if status.is_client_error() => SendFate::Answered(ReceiverAnswer::Refused),
            _ => SendFate::Lost,
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
    /// A client of the usage interface at `base_url`.
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
