//! Baseline policy that changes nothing.

use marigoldlock_wire::platform::CapacityKind;

use crate::prelude::*;

use super::policy::PlacementPolicy;
use super::types::{FleetView, PlacementOrder};

/// Issues no orders.
#[derive(Clone, Copy, Debug, Default)]
pub struct FixedPlacement;

impl PlacementPolicy for FixedPlacement {
    fn name(&self) -> &'static str {
        "fixed"
    }

    fn plan(&mut self, _view: &FleetView<'_>, _now: MonoTime) -> Vec<PlacementOrder> {
        Vec::new()
    }

    fn on_capacity_unavailable(
        &mut self,
        _service: &ServiceId,
        _place: &DataCentre,
        _kind: CapacityKind,
        _now: MonoTime,
    ) {
    }
}
