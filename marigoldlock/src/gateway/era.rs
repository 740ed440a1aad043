//! Eras of the store, as this instance learns of them.
//!
//! Any answer of the store and any heartbeat may bring the news that the store has come back from a copy. The instance enters the
//! new era at once: what it had read stays in force, but no offset that it knew is used again, and each task reads or writes its
//! stream anew. The design note on eras of the store says what holds for each of them.

use marigoldlock_core::gateway::adapter::EraDated;
use marigoldlock_core::gateway::prelude::*;

use super::Gateway;

impl Gateway {
    /// The newest era that this instance knows of.
    pub(super) fn store_era(&self) -> StoreEra {
        self.state().store_era()
    }

    /// Learns the era of an answer. An answer of an earlier era than the present one fails, since it was under way when the
    /// store came back.
    pub(super) fn check_era<T: EraDated>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        match &result {
            Ok(answer) => {
                let current = self.enter_era(answer.era());
                if answer.era() < current {
                    return Err(StoreError::OtherEra(current));
                }
            }
            Err(StoreError::OtherEra(era)) => {
                self.enter_era(*era);
            }
            Err(_) => {}
        }
        result
    }

    /// Enters an era if it is newer than the present one; returns the present one.
    pub(super) fn enter_era(&self, era: StoreEra) -> StoreEra {
        if let Some(known) = self.state().known_era()
            && era <= known
        {
            return known;
        }
        let first_window = self.window(self.fleet_unix_ms());
        let now = self.now();
        let mut state = self.state();
        let Some(change) = state.enter_era(era, self.parts.is_first_start, first_window, now) else {
            return state.store_era();
        };
        drop(state);
        if let EraChange::Later(before) = change {
            log::warn!(era:%, before:%; "the store has come back from a copy; reading its streams again");
            metrics::counter!("gateway_store_eras_total").increment(1);
            self.era_changed.notify_waiters();
        }
        era
    }
}

/// How an instance got into an era.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraChange {
    /// It is the first that it knows of.
    First,
    /// The store was in this era before.
    Later(StoreEra),
}
