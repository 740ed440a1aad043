//! Dispatch of requests to upstreams.
//!
//! The [`DispatchActor`] owns admission control and the routing table. A request waits there for admission,
//! gets an upstream, and reports the outcome of each attempt. An [`AttemptLease`] represents an attempt in
//! flight: dropping it, for example when the caller disconnects, counts the attempt as cancelled.

mod actor;
mod admit;
mod demand;
mod lease;
mod peers;
mod status;
mod work;

pub use actor::{DispatchActor, DispatchArgs, UpdateCache, UpdateList, UpdateLoad};
pub use admit::{AdmissionPermit, AdmissionRefusal, CustomerTerms, Tick};
pub use demand::{GetPlanningView, InstanceDemand, PlanningView};
pub use lease::{AttemptLease, DispatchHandle};
pub use peers::{GetLoadSummary, LoadSummary, RemovePeer, UpdatePeer};
pub use status::{GetSilence, ListQueues, ListUpstreams, QueueStatus, UpstreamStatus};
pub use work::WorkItem;
