//! Records of usage.

use serde::{Deserialize, Serialize};

use crate::platform::UsageFigure;
use crate::prelude::*;

/// Count of one incarnation for a window.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct UsageCount {
    /// The incarnation that counted.
    pub incarnation: Incarnation,
    /// Window in which the requests finished.
    pub window: u64,
    /// Total counted for the window so far.
    pub figure: UsageFigure,
}

/// Record of a customer's usage.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum UsageRecord {
    /// Closes a window. Its figure is the part of the counts that earlier records don't include.
    Freeze {
        /// The customer.
        customer: CustomerId,
        /// The window; the record is void unless it is later than the customer's last frozen one.
        window: u64,
        /// Epoch of the writer.
        epoch: Epoch,
        /// Counts of this window and late counts of earlier windows.
        counts: Vec<UsageCount>,
    },
    /// The platform has accepted the report of a frozen window.
    Reported {
        /// The customer.
        customer: CustomerId,
        /// The window.
        window: u64,
    },
}
