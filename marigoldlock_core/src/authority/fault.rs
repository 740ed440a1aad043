//! Faults that the model check seeds, to show that it finds them.

use serde::{Deserialize, Serialize};

/// A rule left out on purpose. Only the model check and tests set one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Fault {
    /// A claim wins whatever it supersedes.
    SkipSupersedes,
    /// A challenger waits for the lease only.
    DropMargin,
    /// A claim over a former holder goes on with its epoch.
    ReuseEpoch,
    /// A lost answer of the platform is followed by the same order without a look-up.
    SkipLookUp,
    /// A look-up counts although the lost order may still arrive.
    EarlyLookUp,
    /// A successor sends without knowing that its predecessor has stopped.
    IgnoreSender,
    /// A successor sends at once when its predecessor has stopped, whose last write may still arrive.
    AdoptEarly,
    /// An order counts as settled while an unanswered copy may still arrive.
    SettleEarly,
    /// A window is reported before its figure is frozen.
    ReportBeforeFreeze,
    /// Late counts are added without regard to those frozen before.
    RecountLate,
}
