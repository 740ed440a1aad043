//! Requests as routing sees them.

use marigoldlock_core::routing::{RouteRequest, WorkClass};
use marigoldlock_wire::prelude::*;

/// Request to be run at an upstream.
#[derive(Clone, Debug)]
pub struct WorkItem {
    /// Request id.
    pub request: RequestId,
    /// Customer; `None` on an open route.
    pub customer: Option<CustomerId>,
    /// Service wanted.
    pub service: ServiceId,
    /// Model wanted; `None` for plain services.
    pub model: Option<ModelId>,
    /// How soon it is needed.
    pub class: WorkClass,
    /// Hashes of the prompt's prefixes.
    pub prefixes: Vec<u64>,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Output tokens expected.
    pub output_tokens: u64,
    /// True if it may run on cheaper capacity.
    pub cheap_allowed: bool,
    /// Data centres allowed; empty for all.
    pub data_centres: Vec<DataCentre>,
}

impl WorkItem {
    /// The request as the routing table takes it.
    pub fn route_ask<'a>(&'a self, exclude: &'a [UpstreamId], local: &'a DataCentre) -> RouteRequest<'a> {
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
