//! Counting what customers used at this instance.

use std::sync::{Arc, Mutex, PoisonError};

use marigoldlock_wire::platform::UsageFigure;
use marigoldlock_wire::prelude::*;

/// Counters of finished requests by customer, shared by cloning.
#[derive(Clone, Debug, Default)]
pub struct UsageMeter {
    figures: Arc<Mutex<FastMap<CustomerId, UsageFigure>>>,
}

impl UsageMeter {
    /// Counts one finished request.
    pub fn record(&self, customer: &CustomerId, figure: UsageFigure) {
        let mut figures = self.figures.lock().unwrap_or_else(PoisonError::into_inner);
        let sum = figures.entry(customer.clone()).or_default();
        sum.requests += figure.requests;
        sum.prompt_tokens += figure.prompt_tokens;
        sum.output_tokens += figure.output_tokens;
    }

    /// Takes what was counted since the last call.
    pub fn drain(&self) -> FastMap<CustomerId, UsageFigure> {
        std::mem::take(&mut *self.figures.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
