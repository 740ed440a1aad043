//! Which model lacks engines, and which engine should load it.

use std::cmp::Reverse;

use crate::prelude::*;

use super::types::{EngineView, ModelDemand, PlacementParams};

/// Utilisation of a model's engines above which one more loads it.
const LOAD_ABOVE: f64 = 0.9;

/// Engines that a model needs more than it has, and the engine that should load it.
pub(super) fn best_load(
    engines: &[EngineView],
    place: &DataCentre,
    models: &[ModelDemand],
    params: &PlacementParams,
) -> Option<(UpstreamId, ModelId, f64)> {
    let shortage = |demand: &ModelDemand| {
        let holders = engines
            .iter()
            .filter(|engine| !engine.leaving && engine.models.contains(&demand.model));
        let share = |engine: &EngineView| 1.0 / engine.models.len().max(1) as f64;
        let capacity: f64 = holders.map(share).sum();
        demand.engines - capacity * LOAD_ABOVE
    };
    let short = models.iter().map(|demand| (&demand.model, shortage(demand)));
    let (model, lacking) = short.max_by(|left, right| left.1.total_cmp(&right.1))?;
    if lacking <= 0.0 {
        return None;
    }
    let able = engines.iter().filter(|engine| {
        engine.data_centre == *place
            && !engine.leaving
            && !engine.changing
            && !engine.models.contains(model)
            && engine.models.len() < params.models_per_engine
    });
    let engine = able.min_by_key(|engine| (engine.models.len(), engine.in_flight, Reverse(&engine.id)))?;
    Some((engine.id.clone(), model.clone(), lacking))
}
