//! Faults seeded into the model check, to show that it detects them.

use serde::{Deserialize, Serialize};

/// Rule that is disabled on purpose. Only the model check and tests set one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Fault {
    /// A claim wins without a check of the record that it supersedes.
    SkipSupersedes,
    /// A claimant waits only for the lease, without drift margin and order lifetime.
    DropMargin,
    /// A claim that replaces a holder reuses the epoch of that holder.
    ReuseEpoch,
    /// After a lost answer of the platform, the order is sent again without a look-up.
    SkipLookUp,
    /// A look-up is sent, and its result used, while the unanswered order may still arrive.
    EarlyLookUp,
    /// A new holder sends before its predecessor is known to have stopped.
    IgnoreSender,
    /// A new holder sends as soon as its predecessor has stopped, although the predecessor's last write may
    /// still arrive.
    AdoptEarly,
    /// An order is settled while an unanswered copy of it may still arrive.
    SettleEarly,
    /// A window is reported before its figure is frozen.
    ReportBeforeFreeze,
    /// Late counts are added without subtracting what was frozen before.
    RecountLate,
}
