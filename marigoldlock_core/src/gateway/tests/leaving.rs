//! Tests of which requests a leaving instance takes.

use super::{at, millis};
use crate::gateway::leaving::LeavePlan;
use crate::gateway::route::CallKind;

/// Guards against requests that may not be repeated and are cut, with an unknown outcome, when the process ends.
#[test]
fn a_late_request_is_taken_only_if_it_ends_in_time_or_may_be_repeated() {
    let plan = LeavePlan::new(at(0), millis(7_600));
    let stream = CallKind::Stream { resumable: true };
    for kind in [CallKind::NonIdempotent, stream] {
        assert!(
            plan.may_take(kind, millis(20_000), at(3_000)),
            "callers may not know yet"
        );
        assert!(!plan.may_take(kind, millis(4_300), at(3_001)));
        assert!(plan.may_take(kind, millis(4_299), at(3_001)), "it ends in time");
        assert!(!plan.may_take(kind, millis(1), at(7_300)));
    }
    assert!(plan.may_take(CallKind::Idempotent, millis(20_000), at(3_001)));
    assert_eq!(plan.answers_at(), at(7_300));
}

#[test]
fn a_short_grace_is_shared_by_the_notice_and_the_rest() {
    let plan = LeavePlan::new(at(0), millis(2_000));
    assert!(plan.may_take(CallKind::NonIdempotent, millis(20_000), at(1_000)));
    assert!(!plan.may_take(CallKind::NonIdempotent, millis(20_000), at(1_001)));
    let none = LeavePlan::new(at(0), millis(0));
    assert_eq!(none.answers_at(), at(0));
}
