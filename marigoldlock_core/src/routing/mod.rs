//! Choosing the upstream for a request.
//!
//! The [`RouteTable`] holds the state of each upstream: its entry in the platform's list, its last load
//! report, the requests that this instance and its peers have in flight there, the prefixes presumed to be
//! cached, and its health as observed by this instance. A [`RoutePolicy`] picks one of them. The policy in
//! use, [`ExpectedCost`], estimates the time to the first token for a bounded sample of upstreams;
//! [`RoundRobin`], [`LeastInFlight`] and [`RandomPick`] are the baselines that it is measured against.
//!
//! Load reports lag behind, so they are only an approximation. The work of this instance is known exactly.
//! The work of its peers is estimated as the larger of two figures: what the peers report, and what the load
//! report showed beyond this instance's own work when it arrived.
//!
//! In this module a *table slot* is an upstream's position in the table, while the *slots* of an upstream are
//! the requests that it can run concurrently.

mod baseline;
mod cache;
mod cost;
mod expected;
mod health;
mod index;
mod policy;
mod subset;
mod table;
mod types;
mod upstream;

#[cfg(test)]
mod tests;

pub use baseline::{LeastInFlight, RandomPick, RoundRobin};
pub use expected::ExpectedCost;
pub use policy::{RoutePick, RoutePolicy, RoutePool};
pub use subset::{UPSTREAMS_PER_SERVICE, upstream_subset};
pub use table::RouteTable;
pub use types::{
    AttemptOutcome, AttemptTicket, KvStep, PrefillStep, RouteDecision, RouteParams, RouteReason,
    RouteRefusal, RouteRequest, RouteScore, UpstreamInfo, UpstreamKind, WorkClass, engine_priority,
};
pub use upstream::UpstreamState;
