//! The border between the planner's holder and the policies.

use std::fmt::Debug;

use marigoldlock_wire::platform::CapacityKind;

use crate::prelude::*;

use super::types::{FleetView, PlacementOrder};

/// Decides which orders to give.
pub trait PlacementPolicy: Debug + Send {
    /// Name for logs and reports.
    fn name(&self) -> &'static str;

    /// Orders of the data centre's authority for one service; to be called every second or so.
    fn plan(&mut self, view: &FleetView<'_>, now: MonoTime) -> Vec<PlacementOrder>;

    /// Notes that the platform had no capacity of the kind.
    fn on_unavailable(
        &mut self,
        service: &ServiceId,
        data_centre: &DataCentre,
        kind: CapacityKind,
        now: MonoTime,
    );
}
