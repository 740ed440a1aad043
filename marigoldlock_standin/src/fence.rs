//! Watch over fencing numbers, for receivers that note them without acting on them.

use std::hash::Hash;

use marigoldlock_wire::FastMap;
use marigoldlock_wire::ids::{Epoch, InstanceId};
use serde::{Deserialize, Serialize};

/// What a fencing number says about its sender.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FenceFinding {
    /// True if a higher number came before.
    pub stale: bool,
    /// True if another sender used the same number before.
    pub rival: bool,
}

impl FenceFinding {
    /// True if the sender can't have been the one in charge.
    pub fn is_violation(self) -> bool {
        self.stale || self.rival
    }
}

/// Highest fencing number of each scope with its sender.
#[derive(Debug)]
pub struct FenceWatch<S> {
    highest: FastMap<S, (Epoch, InstanceId)>,
}

impl<S> Default for FenceWatch<S> {
    fn default() -> Self {
        Self {
            highest: FastMap::default(),
        }
    }
}

impl<S: Eq + Hash> FenceWatch<S> {
    /// Checks a number against those that came before in its scope, and notes it.
    pub fn check(&mut self, scope: S, epoch: Epoch, sender: &InstanceId) -> FenceFinding {
        let Some((highest, holder)) = self.highest.get(&scope) else {
            self.highest.insert(scope, (epoch, sender.clone()));
            return FenceFinding::default();
        };
        let finding = FenceFinding {
            stale: epoch < *highest,
            rival: epoch == *highest && sender != holder,
        };
        if epoch > *highest {
            self.highest.insert(scope, (epoch, sender.clone()));
        }
        finding
    }
}
