//! Choice of the next model to load and the engine that loads it.

use std::cmp::Reverse;

use crate::prelude::*;

use super::types::{EngineView, ModelDemand, PlacementParams};

/// Utilisation of a model's engines above which one more engine loads the model.
const MAX_MODEL_UTILISATION: f64 = 0.9;

/// Returns the engine that should load a model, the model with the largest shortage, and the shortage in
/// engines.
pub(super) fn best_model_load(
    engines: &[EngineView],
    data_centre: &DataCentre,
    models: &[ModelDemand],
    params: &PlacementParams,
) -> Option<(UpstreamId, ModelId, f64)> {
    let shortage = |demand: &ModelDemand| {
        let holders = engines
            .iter()
            .filter(|engine| !engine.leaving && engine.models.contains(&demand.model));
        let share = |engine: &EngineView| 1.0 / engine.models.len().max(1) as f64;
        let capacity: f64 = holders.map(share).sum();
        demand.engines - capacity * MAX_MODEL_UTILISATION
    };
    let shortages = models.iter().map(|demand| (&demand.model, shortage(demand)));
    let (model, missing) = shortages.max_by(|left, right| left.1.total_cmp(&right.1))?;
    if missing <= 0.0 {
        return None;
    }
    let candidates = engines.iter().filter(|engine| {
        engine.data_centre == *data_centre
            && !engine.leaving
            && !engine.changing
            && !engine.models.contains(model)
            && engine.models.len() < params.models_per_engine
    });
    let engine =
        candidates.min_by_key(|engine| (engine.models.len(), engine.in_flight, Reverse(&engine.id)))?;
    Some((engine.id.clone(), model.clone(), missing))
}
