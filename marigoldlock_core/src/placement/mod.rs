//! What each upstream is for, and how many there are.
//!
//! A [`PlacementPolicy`] looks at one service's upstreams and demand and returns the orders that the authority
//! of a data centre should give: engine roles, models and adapters, and upstreams to start or withdraw. The
//! orders slice carries them out under the lease; nothing here has an effect of its own. [`AdaptivePlacement`]
//! is the policy in use, [`FixedPlacement`] the baseline that changes nothing.
//!
//! - **Roles** change only if the predicted gain over the dwell time exceeds the seconds lost by a margin, one
//!   engine at a time per service and data centre, and never twice within the dwell time. An engine is drained
//!   first, so that a change cuts no request.
//! - **Models** are loaded one at a time, because the weight store is rate-limited.
//! - **Upstreams** are ordered when they pay back, and withdrawn when the rest carries the load for long enough.
//!   Cheaper capacity is capped per data centre, and losing all of it in any one data centre must leave room for
//!   the work that can't be interrupted.

mod adaptive;
mod capacity;
mod change;
mod demand;
mod fixed;
mod models;
mod policy;
mod roles;
mod types;

#[cfg(test)]
mod tests;

pub use adaptive::{AdaptivePlacement, PLAN_INTERVAL};
pub use capacity::CapacityPlan;
pub use demand::DemandTracker;
pub use fixed::FixedPlacement;
pub use policy::PlacementPolicy;
pub use roles::{EngineLoad, RoleMix, RoleWorth};
pub use types::{
    DemandSample, EngineView, FleetView, ModelDemand, PlacementAction, PlacementOrder, PlacementParams,
    PlacementReason, SpendingWeights,
};
