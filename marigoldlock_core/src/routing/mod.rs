//! Which upstream a request goes to.
//!
//! The [`RouteTable`] keeps what is known of each upstream: the facts from the platform's list, the last load
//! report, what this instance has in flight, what its peers say they have in flight, the prefixes believed to
//! be cached, and the health seen from here. A [`RoutePolicy`] picks among them. The policy in use,
//! [`ExpectedCost`], estimates the time to the first token on a bounded sample of upstreams; [`RoundRobin`],
//! [`LeastInFlight`] and [`RandomPick`] are the baselines that it is measured against.
//!
//! Load reports lag, so they are only hints: own work is known exactly, and the work of the peers is taken as
//! the larger of what they say and what the report shows beyond our own share at that time.

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
    AttemptOutcome, AttemptTicket, KvStep, PrefillStep, RouteAsk, RouteDecision, RouteParams, RouteReason,
    RouteRefusal, RouteScore, UpstreamFacts, UpstreamKind, WorkClass, engine_priority,
};
pub use upstream::UpstreamState;
