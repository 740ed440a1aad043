//! Service, customer, class and deadline of a request.

use std::sync::Arc;
use std::time::Duration;

use axum::http::HeaderMap;
use marigoldlock_core::admission::CustomerLimits;
use marigoldlock_core::routing::WorkClass;
use marigoldlock_core::settings::{ActiveSettings, CustomerSettings, RequestClass, ServiceSettings};
use marigoldlock_wire::prelude::*;

use super::headers::{CLASS_HEADER, DEADLINE_HEADER};
use super::reject::Rejection;
use crate::dispatch::CustomerTerms;

/// Scheduling weight that corresponds to a weight of 1 in the settings.
const WEIGHT_SCALE: f64 = 100.0;

/// Maximum deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// Service, customer, class and timeout of a request.
#[derive(Clone, Debug)]
pub struct RequestTarget {
    /// The service.
    pub service: Arc<ServiceSettings>,
    /// The customer; `None` if the service is open to all callers.
    pub customer: Option<Arc<CustomerSettings>>,
    /// Latency class.
    pub class: WorkClass,
    /// Time until the whole answer must have arrived.
    pub timeout: Duration,
    /// True if the request may run on cheaper capacity.
    pub cheap_allowed: bool,
}

impl RequestTarget {
    /// Reads class and deadline from the headers.
    ///
    /// # Errors
    ///
    /// Rejects invalid headers.
    pub fn new(
        settings: &ActiveSettings,
        service: Arc<ServiceSettings>,
        customer: Option<Arc<CustomerSettings>>,
        headers: &HeaderMap,
        local: &DataCentre,
    ) -> Result<Self, Rejection> {
        let class = request_class(headers)?.unwrap_or(service.default_class);
        let timeout = request_timeout(headers)?.unwrap_or(Duration::from_millis(service.answer_timeout_ms));
        let cheap_allowed = customer
            .as_ref()
            .is_some_and(|customer| settings.allows_cheap(customer, &service, class, local.as_str()));
        Ok(Self {
            service,
            customer,
            class: work_class(class),
            timeout,
            cheap_allowed,
        })
    }

    /// Id of the customer.
    pub fn customer_id(&self) -> Option<CustomerId> {
        self.customer.as_ref().map(|customer| customer.name.clone())
    }

    /// Data centres where the request may run; empty for all.
    pub fn data_centres(&self) -> Vec<DataCentre> {
        self.customer
            .as_ref()
            .map(|customer| customer.data_centres.clone())
            .unwrap_or_default()
    }

    /// Weight and limits of the customer.
    pub fn terms(&self) -> CustomerTerms {
        let Some(customer) = &self.customer else {
            return CustomerTerms {
                weight: WEIGHT_SCALE as u32,
                limits: CustomerLimits::default(),
            };
        };
        let limits = CustomerLimits {
            in_flight: Some(
                customer
                    .streams
                    .unwrap_or(u32::MAX)
                    .min(self.service.max_streams_per_customer),
            ),
            tokens_per_minute: customer.tokens_per_s.map(|rate| (rate * 60.0) as u64),
            queued: Some(self.service.queue_limit),
        };
        CustomerTerms {
            weight: (customer.weight * WEIGHT_SCALE).max(1.0) as u32,
            limits,
        }
    }
}

fn work_class(class: RequestClass) -> WorkClass {
    match class {
        RequestClass::Interactive => WorkClass::Interactive,
        RequestClass::Standard => WorkClass::Standard,
        RequestClass::Long => WorkClass::Long,
    }
}

fn request_class(headers: &HeaderMap) -> Result<Option<RequestClass>, Rejection> {
    let Some(text) = header_text(headers, CLASS_HEADER)? else {
        return Ok(None);
    };
    match text {
        "interactive" => Ok(Some(RequestClass::Interactive)),
        "standard" => Ok(Some(RequestClass::Standard)),
        "long" => Ok(Some(RequestClass::Long)),
        _ => Err(invalid(CLASS_HEADER, "takes interactive, standard or long")),
    }
}

fn request_timeout(headers: &HeaderMap) -> Result<Option<Duration>, Rejection> {
    let Some(text) = header_text(headers, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    let timeout = text.parse().ok().map(Duration::from_millis);
    match timeout {
        Some(timeout) if !timeout.is_zero() && timeout <= MAX_DEADLINE => Ok(Some(timeout)),
        _ => Err(invalid(DEADLINE_HEADER, "takes milliseconds, from 1 to a day's")),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Rejection> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = std::str::from_utf8(value.as_bytes());
    let text = text.map_err(|_| {
        Rejection::with_message(ResultCode::InvalidUtf8, format!("Header {name} is not UTF-8."))
    })?;
    Ok(Some(text))
}

fn invalid(name: &str, requirement: &str) -> Rejection {
    Rejection::with_message(ResultCode::InvalidField, format!("Header {name} {requirement}."))
}
