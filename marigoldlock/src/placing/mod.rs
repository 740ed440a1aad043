//! Planning roles, models and upstreams, and wishing for the orders.
//!
//! Every instance plans for the data centres whose orders it holds. The plan has no effect of its own: the
//! control actor appends an intent, sends the order under the lease and settles it.

mod demand;
mod params;
mod planner;

pub use planner::{PlacementPlanner, PlannerParts};
