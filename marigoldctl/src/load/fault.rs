//! When faults begin and end.

use super::experiment::FaultSpec;
use super::sequence::from_s;

/// Part of a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FaultEdge {
    /// It begins.
    Begin,
    /// Its second step: the notice has run out.
    Turn,
    /// It ends.
    End,
}

/// Times of a fault's edges, in microseconds.
pub(super) fn edges(fault: &FaultSpec) -> Vec<(u64, FaultEdge)> {
    match fault {
        FaultSpec::Crash { at_s, back_s, .. } => vec![
            (from_s(*at_s), FaultEdge::Begin),
            (from_s(at_s + back_s), FaultEdge::End),
        ],
        FaultSpec::Silent { at_s, for_s, .. }
        | FaultSpec::Slow { at_s, for_s, .. }
        | FaultSpec::StalledReviews { at_s, for_s, .. } => {
            vec![
                (from_s(*at_s), FaultEdge::Begin),
                (from_s(at_s + for_s), FaultEdge::End),
            ]
        }
        FaultSpec::Reclaim {
            at_s,
            notice_s,
            unavailable_s,
            ..
        } => vec![
            (from_s(*at_s), FaultEdge::Begin),
            (from_s(at_s + notice_s), FaultEdge::Turn),
            (from_s(at_s + unavailable_s), FaultEdge::End),
        ],
        FaultSpec::KeyWithdrawn { at_s, .. } => vec![(from_s(*at_s), FaultEdge::Begin)],
    }
}
