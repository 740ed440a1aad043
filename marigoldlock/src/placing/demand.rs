//! Rates of the work that callers ask of the fleet.

use marigoldlock_core::placement::DemandSample;
use marigoldlock_core::time::MonoTime;
use marigoldlock_wire::peer::ServiceDemand;
use marigoldlock_wire::prelude::*;

use crate::dispatch::PlanningView;

/// Totals of every instance at the last look, from which rates are made.
#[derive(Debug, Default)]
pub(super) struct DemandMeter {
    totals: FastMap<Incarnation, ServiceDemand>,
    looked: Option<MonoTime>,
}

impl DemandMeter {
    /// Demand since the last look; `expected_output` is the output of a waiting request, in tokens.
    pub(super) fn sample(
        &mut self,
        view: &PlanningView,
        expected_output: u64,
        now: MonoTime,
    ) -> DemandSample {
        let seconds = self.looked.map(|looked| now.since(looked).as_secs_f64());
        self.looked = Some(now);
        let (mut prompt, mut output, mut interruptible) = (0, 0, 0);
        for (incarnation, demand) in &view.demand {
            // What an instance counted before it was first seen belongs to no span of time.
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
        let per_second = |tokens: u64| match seconds {
            Some(seconds) if seconds > 0.0 => tokens as f64 / seconds,
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
