//! Request data that routing needs.

use marigoldlock_core::routing::{RouteRequest, WorkClass};
use marigoldlock_wire::prelude::*;

/// A request to be run at an upstream.
#[derive(Clone, Debug)]
pub struct WorkItem {
    /// Request id.
    pub request: RequestId,
    /// Customer that sent the request; `None` on an open route.
    pub customer: Option<CustomerId>,
    /// Requested service.
    pub service: ServiceId,
    /// Requested model; `None` for plain services.
    pub model: Option<ModelId>,
    /// Urgency of the request.
    pub class: WorkClass,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<u64>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Expected length of the output, in tokens.
    pub output_tokens: u64,
    /// True if the request may run on cheap capacity.
    pub cheap_allowed: bool,
    /// Allowed data centres; empty allows all.
    pub data_centres: Vec<DataCentre>,
}

impl WorkItem {
    /// Converts the request for the routing table.
    pub fn route_request<'a>(&'a self, exclude: &'a [UpstreamId], local: &'a DataCentre) -> RouteRequest<'a> {
        RouteRequest {
            service: &self.service,
            model: self.model.as_ref(),
            prefixes: &self.prefixes,
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            class: self.class,
            cheap_allowed: self.cheap_allowed,
            data_centres: &self.data_centres,
            exclude,
            local,
        }
    }
}
