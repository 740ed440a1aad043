//! Counters of refused and failed requests by customer and result code.

use std::sync::{Mutex, PoisonError};

use axum::http::HeaderValue;
use axum::response::Response;
use marigoldlock_core::settings::ActiveSettings;
use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};

use super::auth::authenticate_value;
use super::reject::CODE_HEADER;

/// Customer to which requests without a known key are attributed.
const UNKNOWN_CUSTOMER: &str = "(unknown)";

/// Number of refusals of one customer with one result code.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalCount {
    /// The customer.
    pub customer: CustomerId,
    /// Number of the result code.
    pub code: u16,
    /// Number of refusals since the start of the instance.
    pub count: u64,
}

/// Counters of the refusals of an instance.
#[derive(Debug, Default)]
pub struct RefusalCounters {
    counts: Mutex<FastMap<(CustomerId, u16), u64>>,
}

impl RefusalCounters {
    /// Counts an answer if it carries a result code.
    pub(super) fn record(&self, settings: &ActiveSettings, key: Option<&HeaderValue>, response: &Response) {
        let code = response
            .headers()
            .get(CODE_HEADER)
            .and_then(|code| code.to_str().ok());
        let Some(code) = code.and_then(|code| code.parse::<u16>().ok()) else {
            return;
        };
        metrics::counter!("marigoldlock_refusals_total", "code" => code.to_string()).increment(1);
        let customer = match authenticate_value(settings, key) {
            Ok(customer) => customer.name.clone(),
            Err(_) => UNKNOWN_CUSTOMER.into(),
        };
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry((customer, code)).or_default() += 1;
    }

    /// Returns all counters, largest first.
    pub fn list(&self) -> Vec<RefusalCount> {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let mut list: Vec<_> = counts
            .iter()
            .map(|((customer, code), count)| RefusalCount {
                customer: customer.clone(),
                code: *code,
                count: *count,
            })
            .collect();
        list.sort_by(|a, b| b.count.cmp(&a.count).then_with(|| a.customer.cmp(&b.customer)));
        list
    }
}
