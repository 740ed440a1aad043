//! Smoothed demand of a service.

use crate::prelude::*;

use super::roles::EngineLoad;
use super::types::{DemandSample, PlacementParams};

/// Moving average of a service's demand.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandTracker {
    prefill: f64,
    output: f64,
    prefill_backlog: f64,
    output_backlog: f64,
    interruptible: f64,
    updated: Option<MonoTime>,
}

impl DemandTracker {
    /// Adds a sample.
    pub fn observe(&mut self, sample: &DemandSample, params: &PlacementParams, now: MonoTime) {
        let weight = self.updated.map_or(1.0, |updated| {
            let age = now.since(updated).as_secs_f64() / params.demand_half_life.as_secs_f64();
            1.0 - 0.5f64.powf(age)
        });
        self.updated = Some(now);
        update_average(&mut self.prefill, sample.prefill_tokens_per_s, weight);
        update_average(&mut self.output, sample.output_tokens_per_s, weight);
        update_average(&mut self.interruptible, sample.interruptible, weight);
        self.prefill_backlog = sample.prefill_backlog;
        self.output_backlog = sample.output_backlog;
    }

    /// Number of engines that the demand fully uses.
    pub fn load(&self, params: &PlacementParams) -> EngineLoad {
        let horizon_s = params.backlog_horizon.as_secs_f64();
        let prefill = self.prefill + self.prefill_backlog / horizon_s;
        let output = self.output + self.output_backlog / horizon_s;
        EngineLoad {
            prefill: prefill / (params.prefill_tokens_per_s * params.target_utilisation),
            decode: output / (params.output_tokens_per_s * params.target_utilisation),
        }
    }

    /// Share of the work that may be interrupted.
    pub fn interruptible(&self) -> f64 {
        self.interruptible
    }
}

fn update_average(average: &mut f64, sample: f64, weight: f64) {
    *average += (sample - *average) * weight;
}
