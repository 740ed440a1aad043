//! Placement: engine roles, loaded models and the number of upstreams of a service.
//!
//! A [`PlacementPolicy`] takes a service's upstreams and demand and returns the orders that the authority of
//! a data centre should issue: changes of engine roles, models to load, and upstreams to start or withdraw.
//! The `orders` module executes them under the lease; this module has no side effects. [`AdaptivePlacement`]
//! is the policy in use, [`FixedPlacement`] the baseline that changes nothing.
//!
//! - **Roles** change only if the predicted gain over the dwell time exceeds the lost engine time by a
//!   margin. One engine per service and data centre changes at a time, and none twice within the dwell time.
//!   An engine is drained first, so that a change interrupts no request.
//! - **Models** are loaded one at a time, because the weight store is rate-limited.
//! - **Upstreams** are started if they pay off, and withdrawn once the others have been able to carry the
//!   load for long enough. Cheap capacity is limited per data centre, and the loss of all cheap capacity of
//!   any one data centre must leave enough engines for the work that can't be interrupted.

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
pub use roles::{EngineLoad, RoleBenefit, RoleMix};
pub use types::{
    DemandSample, EngineView, FleetView, ModelDemand, PlacementAction, PlacementOrder, PlacementParams,
    PlacementReason, SpendingWeights,
};
