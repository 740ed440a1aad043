//! Index of the upstreams by service and model.

use crate::prelude::*;

use super::types::{RouteRefusal, UpstreamInfo};

/// Table slots of one service's upstreams.
#[derive(Clone, Debug, Default)]
struct ServiceSlots {
    all: Vec<u32>,
    by_model: FastMap<ModelId, Vec<u32>>,
}

/// Table slots by service and model, each list in ascending order.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceIndex {
    services: FastMap<ServiceId, ServiceSlots>,
}

impl ServiceIndex {
    pub(super) fn insert(&mut self, info: &UpstreamInfo, slot: u32) {
        let service = self.services.entry(info.service.clone()).or_default();
        insert_sorted(&mut service.all, slot);
        for model in &info.models {
            insert_sorted(service.by_model.entry(model.clone()).or_default(), slot);
        }
    }

    pub(super) fn remove(&mut self, info: &UpstreamInfo, slot: u32) {
        let Some(service) = self.services.get_mut(&info.service) else {
            return;
        };
        service.all.retain(|other| *other != slot);
        for model in &info.models {
            if let Some(slots) = service.by_model.get_mut(model) {
                slots.retain(|other| *other != slot);
            }
        }
        service.by_model.retain(|_, slots| !slots.is_empty());
        if service.all.is_empty() {
            self.services.remove(&info.service);
        }
    }

    /// Table slots of the service's upstreams that serve the model, or of all its upstreams if `model` is
    /// `None`.
    pub(super) fn members(
        &self,
        service: &ServiceId,
        model: Option<&ModelId>,
    ) -> Result<&[u32], RouteRefusal> {
        let slots = self.services.get(service).ok_or(RouteRefusal::NoUpstream)?;
        match model {
            None => Ok(&slots.all),
            Some(model) => slots
                .by_model
                .get(model)
                .map(Vec::as_slice)
                .ok_or(RouteRefusal::NoModel),
        }
    }
}

fn insert_sorted(slots: &mut Vec<u32>, slot: u32) {
    if let Err(position) = slots.binary_search(&slot) {
        slots.insert(position, slot);
    }
}
