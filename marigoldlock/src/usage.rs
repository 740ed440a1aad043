//! Counts each customer's usage at this instance.

use std::sync::{Arc, Mutex, PoisonError};

use marigoldlock_wire::platform::UsageFigure;
use marigoldlock_wire::prelude::*;

/// Usage of finished requests per customer; clones share the counters.
#[derive(Clone, Debug, Default)]
pub struct UsageMeter {
    figures: Arc<Mutex<FastMap<CustomerId, UsageFigure>>>,
}

impl UsageMeter {
    /// Adds usage to the customer's counters.
    pub fn record(&self, customer: &CustomerId, figure: UsageFigure) {
        let mut figures = self.figures.lock().unwrap_or_else(PoisonError::into_inner);
        let sum = figures.entry(customer.clone()).or_default();
        sum.requests += figure.requests;
        sum.prompt_tokens += figure.prompt_tokens;
        sum.output_tokens += figure.output_tokens;
    }

    /// Returns the usage counted since the last call and resets the counters.
    pub fn drain(&self) -> FastMap<CustomerId, UsageFigure> {
        std::mem::take(&mut *self.figures.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
