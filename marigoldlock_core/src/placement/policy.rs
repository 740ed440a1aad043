//! Interface between the planner and the placement policies.

use std::fmt::Debug;

use marigoldlock_wire::platform::CapacityKind;

use crate::prelude::*;

use super::types::{FleetView, PlacementOrder};

/// Decides which orders to issue.
pub trait PlacementPolicy: Debug + Send {
    /// Name for logs and reports.
    fn name(&self) -> &'static str;

    /// Plans the orders for one service in one data centre; to be called about once a second.
    fn plan(&mut self, view: &FleetView<'_>, now: MonoTime) -> Vec<PlacementOrder>;

    /// Handles the platform's answer that it has no capacity of the kind.
    fn on_capacity_unavailable(
        &mut self,
        service: &ServiceId,
        data_centre: &DataCentre,
        kind: CapacityKind,
        now: MonoTime,
    );
}
