//! Trials of what is blocked.
//!
//! A sound part or request may be blamed for crashes by chance: a report that came late, or two causes at work under one
//! part. Since nothing with it is sent any more, no completed run can clear it. So one such request is let through: if its
//! run completes, the block is lifted; if it crashes its upstream, the block holds until it lapses.
//!
//! Each trial of what does crash upstreams costs one more crash. The instances therefore take turns by the fleet's clock,
//! without messages, a block is tried once, and after [`MAX_FAILED_TRIALS`] crashes no other is tried. Nor is a block that
//! rests on more crashes than it takes.

use std::time::Duration;

use super::blame::{CRASHES_TO_BLOCK, CompletionTimes, CrashGroups, CrashRecord, SuspectKey, contains_all};
use super::pace::PaceTurn;

/// Time after the crashes that a block rests on until a trial is sent; all instances know of the block by then.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Length of an instance's turn to send a trial.
const TURN_TIME: Duration = Duration::from_secs(2);

/// Trials of parts that may crash upstreams within the time for which crashes count, and as many of whole requests.
const MAX_FAILED_TRIALS: usize = 2;

/// What is known of the trials of a set of suspects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TrialState {
    /// May be tried from this time on, in Unix milliseconds on the fleet's clock.
    Untried { from_ms: u64 },
    /// A trial crashed its upstream.
    Failed,
    /// More crashes than it takes have confirmed the block.
    Certain,
}

/// A set of suspects that is blocked.
#[derive(Clone, Debug)]
pub(super) struct HeldSet {
    /// The suspects, in order.
    pub(super) suspects: Vec<SuspectKey>,
    /// When the block began, in Unix milliseconds on the fleet's clock; `None` for a cause that is no block yet.
    pub(super) blocked_ms: Option<u64>,
    /// True once a trial has crashed its upstream, or none is needed.
    pub(super) is_confirmed: bool,
}

impl HeldSet {
    fn has_part(&self) -> bool {
        let is_part = |suspect: &SuspectKey| matches!(suspect, SuspectKey::PromptPart(_));
        self.suspects.iter().any(is_part)
    }

    fn shares_suspects(&self, other: &Self) -> bool {
        self.suspects
            .iter()
            .any(|suspect| other.suspects.contains(suspect))
    }
}

/// What this instance has tried.
#[derive(Clone, Debug, Default)]
pub(super) struct TrialLog {
    last_turn: Option<u64>,
}

impl TrialLog {
    /// Uses this instance's turn for a trial; returns false if it is another's turn or the turn is used up.
    pub(super) fn use_turn(&mut self, turn: &PaceTurn) -> bool {
        let number = turn.fleet_ms / as_ms(TURN_TIME);
        let holder = usize::try_from(number).unwrap_or_default() % turn.instances.max(1);
        let is_own = holder == turn.position && self.last_turn != Some(number);
        if is_own {
            self.last_turn = Some(number);
        }
        is_own
    }
}

/// Evidence on which trials are decided; all instances that know the same records decide alike.
pub(super) struct TrialEvidence<'a> {
    groups: CrashGroups<'a>,
    held: &'a [HeldSet],
}

impl<'a> TrialEvidence<'a> {
    pub(super) fn new(
        records: &'a [CrashRecord],
        completions: &CompletionTimes,
        held: &'a [HeldSet],
    ) -> Self {
        Self {
            groups: CrashGroups::new(records, completions),
            held,
        }
    }

    /// True if a blocked request with these properties may be sent as a trial.
    pub(super) fn may_try(&self, keys: &[SuspectKey], fleet_ms: u64) -> bool {
        let held = self.held.iter();
        let mut blocking = held.filter(|set| contains_all(keys, &set.suspects)).peekable();
        let is_open = |set: &HeldSet| {
            matches!(self.state(set), TrialState::Untried { from_ms } if from_ms <= fleet_ms)
                && self.failed_trials(set.has_part()) < MAX_FAILED_TRIALS
        };
        blocking.peek().is_some() && blocking.all(is_open)
    }

    /// True if a trial of these suspects crashed its upstream, or none is needed.
    pub(super) fn is_confirmed(&self, suspects: &[SuspectKey]) -> bool {
        let mut held = self.held.iter();
        held.any(|set| set.suspects == suspects && !matches!(self.state(set), TrialState::Untried { .. }))
    }

    fn failed_trials(&self, of_parts: bool) -> usize {
        let held = self.held.iter();
        held.filter(|set| set.has_part() == of_parts && self.state(set) == TrialState::Failed)
            .count()
    }

    fn state(&self, set: &HeldSet) -> TrialState {
        // An instance that has started since knows only the block.
        let blamed_ms = self.groups.blamed_ms(&set.suspects).or(set.blocked_ms);
        let from_ms = blamed_ms.map_or(u64::MAX, |blamed_ms| blamed_ms.saturating_add(as_ms(SETTLE_TIME)));
        let others: Vec<&[SuspectKey]> = self
            .held
            .iter()
            .filter(|other| !other.shares_suspects(set))
            .map(|other| other.suspects.as_slice())
            .collect();
        if set.is_confirmed || self.groups.unexplained(&set.suspects, from_ms, &others) > 0 {
            TrialState::Failed
        } else if self.groups.count_before(&set.suspects, from_ms) > CRASHES_TO_BLOCK {
            TrialState::Certain
        } else {
            TrialState::Untried { from_ms }
        }
    }
}

fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
