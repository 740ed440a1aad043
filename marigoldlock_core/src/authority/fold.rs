//! Holders of duties, folded from the control stream.

// Ordered maps keep the state hashable for the model check and its encoding stable for snapshots.
use std::collections::BTreeMap;

use marigoldlock_wire::record::authority::{AuthorityRecord, Duty, HolderId};
use serde::{Deserialize, Serialize};

use super::Fault;
use crate::prelude::*;

/// Newest state of a duty.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct DutyHead {
    /// Position of the winning claim.
    pub epoch: Epoch,
    /// Position of the newest claim, renewal or resignation.
    pub position: LogPosition,
    /// Process that won the claim.
    pub holder: HolderId,
    /// Whether the holder has resigned.
    pub resigned: bool,
}

/// Change that a valid record made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AuthorityChange {
    /// A claim won; the duty's head names the new holder.
    Claimed(Duty),
    /// The writer renewed its duties.
    Renewed,
    /// The holder resigned from a duty.
    Resigned(Duty),
    /// A former holder has stopped sending.
    Stopped(HolderId),
}

/// Head of each duty.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct AuthorityFold {
    heads: BTreeMap<Duty, DutyHead>,
}

impl AuthorityFold {
    /// The head of a duty; `None` if it was never claimed.
    pub fn head(&self, duty: &Duty) -> Option<&DutyHead> {
        self.heads.get(duty)
    }

    /// All duties and their heads.
    pub fn heads(&self) -> impl Iterator<Item = (&Duty, &DutyHead)> {
        self.heads.iter()
    }

    /// The head of a duty that is held and not resigned.
    pub fn held(&self, duty: &Duty) -> Option<&DutyHead> {
        self.head(duty).filter(|head| !head.resigned)
    }

    /// Whether `writer` holds the duty under the epoch.
    pub fn is_current(&self, duty: &Duty, writer: &HolderId, epoch: Epoch) -> bool {
        self.held(duty)
            .is_some_and(|head| head.epoch == epoch && head.holder == *writer)
    }

    /// Applies a record; `None` if it is void.
    pub(super) fn apply(
        &mut self,
        position: LogPosition,
        writer: &HolderId,
        record: &AuthorityRecord,
        fault: Option<Fault>,
    ) -> Option<AuthorityChange> {
        match record {
            AuthorityRecord::Claim { duty, supersedes } => {
                self.claim(position, writer, duty, *supersedes, fault)
            }
            AuthorityRecord::Renew => self.renew(position, writer),
            AuthorityRecord::Resign { duty } => self.resign(position, writer, duty),
            AuthorityRecord::Stopped { holder } => Some(AuthorityChange::Stopped(holder.clone())),
        }
    }

    fn claim(
        &mut self,
        position: LogPosition,
        writer: &HolderId,
        duty: &Duty,
        supersedes: Option<LogPosition>,
        fault: Option<Fault>,
    ) -> Option<AuthorityChange> {
        let head = self.heads.get(duty);
        let newest = head.map(|head| head.position);
        if newest != supersedes && fault != Some(Fault::SkipSupersedes) {
            return None;
        }
        let epoch = match head {
            Some(head) if fault == Some(Fault::ReuseEpoch) => head.epoch,
            _ => Epoch(position),
        };
        let head = DutyHead {
            epoch,
            position,
            holder: writer.clone(),
            resigned: false,
        };
        self.heads.insert(duty.clone(), head);
        Some(AuthorityChange::Claimed(duty.clone()))
    }

    fn renew(&mut self, position: LogPosition, writer: &HolderId) -> Option<AuthorityChange> {
        let mut renewed = false;
        for head in self.heads.values_mut() {
            if head.holder == *writer && !head.resigned {
                head.position = position;
                renewed = true;
            }
        }
        renewed.then_some(AuthorityChange::Renewed)
    }

    fn resign(&mut self, position: LogPosition, writer: &HolderId, duty: &Duty) -> Option<AuthorityChange> {
        let head = self.heads.get_mut(duty)?;
        if head.holder != *writer || head.resigned {
            return None;
        }
        head.position = position;
        head.resigned = true;
        Some(AuthorityChange::Resigned(duty.clone()))
    }
}
