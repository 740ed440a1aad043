//! Schedule of a fault's stages.

use super::event_queue::secs_to_micros;
use super::experiment::FaultSpec;

/// Stage of a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FaultStage {
    /// The fault begins.
    Begin,
    /// The notice has expired: the upstreams to be reclaimed are removed.
    NoticeExpired,
    /// The fault ends.
    End,
}

/// Stages of a fault with their times in microseconds.
pub(super) fn stages(fault: &FaultSpec) -> Vec<(u64, FaultStage)> {
    match fault {
        FaultSpec::Crash { at_s, back_s, .. } => vec![
            (secs_to_micros(*at_s), FaultStage::Begin),
            (secs_to_micros(at_s + back_s), FaultStage::End),
        ],
        FaultSpec::Silent { at_s, for_s, .. }
        | FaultSpec::Slow { at_s, for_s, .. }
        | FaultSpec::StalledReviews { at_s, for_s, .. } => {
            vec![
                (secs_to_micros(*at_s), FaultStage::Begin),
                (secs_to_micros(at_s + for_s), FaultStage::End),
            ]
        }
        FaultSpec::Reclaim {
            at_s,
            notice_s,
            unavailable_s,
            ..
        } => vec![
            (secs_to_micros(*at_s), FaultStage::Begin),
            (secs_to_micros(at_s + notice_s), FaultStage::NoticeExpired),
            (secs_to_micros(at_s + unavailable_s), FaultStage::End),
        ],
        FaultSpec::KeyWithdrawn { at_s, .. } => vec![(secs_to_micros(*at_s), FaultStage::Begin)],
    }
}
