//! Which upstream runs which request.
//!
//! The actor owns admission and the routing table; requests ask it for their turn, then for an upstream, and
//! tell it how the attempt went. An
//! [`AttemptLease`] stands for an attempt in flight: dropping it, as when the caller leaves, counts the
//! attempt as cancelled.

mod actor;
mod admit;
mod demand;
mod lease;
mod peers;
mod status;
mod work;

pub use actor::{DispatchActor, DispatchSources, UpdateCache, UpdateList, UpdateLoad};
pub use admit::{AdmissionRefusal, AdmitPermit, CustomerTerms, Tick};
pub use demand::{AskPlanning, InstanceDemand, PlanningView};
pub use lease::{AttemptLease, DispatchHandle};
pub use peers::{LoadSummary, OwnLoad, RemovePeer, UpdatePeer};
pub use status::{AskSilence, ListQueues, ListUpstreams, QueueStatus, UpstreamStatus};
pub use work::WorkItem;
