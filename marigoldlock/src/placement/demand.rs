//! Rates of the demand on the fleet.

use marigoldlock_core::placement::DemandSample;
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::peer::ServiceDemand;
use marigoldlock_wire::prelude::*;

use crate::dispatch::PlanningView;

/// Converts the demand totals of all instances into rates between two samples.
#[derive(Debug, Default)]
pub(super) struct DemandMeter {
    totals: FastMap<Incarnation, ServiceDemand>,
    last_sample: Option<MonoTime>,
}

impl DemandMeter {
    /// Returns the demand since the last sample; `expected_output` is the expected output of a waiting
    /// request, in tokens.
    pub(super) fn sample(
        &mut self,
        view: &PlanningView,
        expected_output: u64,
        now: MonoTime,
    ) -> DemandSample {
        let elapsed_s = self
            .last_sample
            .map(|last_sample| now.since(last_sample).as_secs_f64());
        self.last_sample = Some(now);
        let (mut prompt, mut output, mut interruptible) = (0, 0, 0);
        for (incarnation, demand) in &view.demand {
            // What an instance counted before its first sample can't be assigned to a period.
            if let Some(old) = self.totals.insert(*incarnation, demand.clone()) {
                prompt += demand.prompt_tokens.saturating_sub(old.prompt_tokens);
                output += demand.output_tokens.saturating_sub(old.output_tokens);
                interruptible += demand
                    .interruptible_tokens
                    .saturating_sub(old.interruptible_tokens);
            }
        }
        self.totals
            .retain(|incarnation, _| view.demand.iter().any(|(known, _)| known == incarnation));
        let per_second = |tokens: u64| match elapsed_s {
            Some(elapsed_s) if elapsed_s > 0.0 => tokens as f64 / elapsed_s,
            _ => 0.0,
        };
        DemandSample {
            prefill_tokens_per_s: per_second(prompt),
            output_tokens_per_s: per_second(output),
            prefill_backlog: view.prefill_backlog as f64,
            output_backlog: f64::from(view.queued) * expected_output as f64,
            interruptible: if prompt + output > 0 {
                interruptible as f64 / (prompt + output) as f64
            } else {
                0.0
            },
        }
    }
}
