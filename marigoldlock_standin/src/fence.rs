//! Checks of fencing numbers, for receivers that record violations without having to reject them.

use std::hash::Hash;

use marigoldlock_wire::FastMap;
use marigoldlock_wire::ids::{Epoch, InstanceId};
use serde::{Deserialize, Serialize};

/// Result of checking a sender's fencing number.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FenceFinding {
    /// True if a higher number was received earlier.
    pub stale: bool,
    /// True if another sender used the same number earlier.
    pub rival: bool,
}

impl FenceFinding {
    /// True if the sender can't have held the duty.
    pub fn is_violation(self) -> bool {
        self.stale || self.rival
    }
}

/// Highest fencing number of each scope, with its sender.
#[derive(Debug)]
pub struct FenceChecker<S> {
    highest: FastMap<S, (Epoch, InstanceId)>,
}

impl<S> Default for FenceChecker<S> {
    fn default() -> Self {
        Self {
            highest: FastMap::default(),
        }
    }
}

impl<S: Eq + Hash> FenceChecker<S> {
    /// Checks a number against the highest one in its scope, and records it.
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
