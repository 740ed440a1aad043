//! Records of the usage duty.

use serde::{Deserialize, Serialize};

use crate::platform::UsageFigure;
use crate::prelude::*;

/// What one incarnation had counted for a window.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct UsageCount {
    /// The incarnation that counted.
    pub incarnation: Incarnation,
    /// Window in which the requests finished.
    pub window: u64,
    /// Its whole count for the window so far.
    pub figure: UsageFigure,
}

/// Record of a customer's usage.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum UsageRecord {
    /// Closes a window; its figure is what the counts hold beyond those of earlier records.
    Freeze {
        /// The customer.
        customer: CustomerId,
        /// The window; void unless it lies after the customer's last frozen one.
        window: u64,
        /// Epoch of the writer.
        epoch: Epoch,
        /// Counts of this window and late ones of earlier windows.
        counts: Vec<UsageCount>,
    },
    /// The platform has taken the report of a frozen window.
    Reported {
        /// The customer.
        customer: CustomerId,
        /// The window.
        window: u64,
    },
}
