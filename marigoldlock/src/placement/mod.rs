//! Planning of engine roles, models and upstreams, and requests for the resulting orders.
//!
//! Each instance plans for the data centres whose orders duty it holds. A plan alone has no effect: the
//! control actor appends an intent, sends the order under the lease and settles it.

mod demand;
mod params;
mod planner;

pub use planner::{PlacementPlanner, PlannerContext};
