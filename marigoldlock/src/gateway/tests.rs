//! Tests of the gateway's own parts.

use std::time::Duration;

use tokio::time::Instant;

use super::cursor::{FollowCursor, NextCall, poll_wait};

const WAIT: Duration = Duration::from_secs(10);

#[test]
fn a_follower_lists_once_and_reads_on() {
    let now = Instant::now();
    let mut cursor = FollowCursor::default();
    assert_eq!(cursor.next_call(now, WAIT), NextCall::List);
    cursor.advance(40, true);
    assert!(matches!(cursor.next_call(now, WAIT), NextCall::Follow(40, _)));
    cursor.advance(42, false);
    assert!(matches!(cursor.next_call(now, WAIT), NextCall::Follow(42, _)));
}

#[test]
fn a_stale_listing_after_dropped_records_is_not_the_last() {
    let now = Instant::now();
    let mut cursor = FollowCursor::default();
    cursor.advance(40, true);
    cursor.restart(54, now);
    assert_eq!(cursor.next_call(now, WAIT), NextCall::List);
    // The listing is stale; reading goes on at the first record that is kept.
    cursor.advance(45, true);
    let NextCall::Follow(54, wait) = cursor.next_call(now, WAIT) else {
        panic!("reads on at 54")
    };
    assert!(wait < Duration::from_secs(1), "the next listing is due soon");
    let mut listings = 0;
    for millis in (0..10_000).step_by(100) {
        if cursor.next_call(now + Duration::from_millis(millis), WAIT) == NextCall::List {
            listings += 1;
        }
    }
    assert_eq!(listings, 5);
}

#[test]
fn an_offset_that_was_never_written_is_left() {
    let now = Instant::now();
    let mut cursor = FollowCursor::default();
    cursor.advance(40, true);
    cursor.restart(0, now);
    assert_eq!(cursor.next_call(now, WAIT), NextCall::List);
    cursor.advance(12, true);
    assert!(matches!(cursor.next_call(now, WAIT), NextCall::Follow(12, _)));
}

#[test]
fn instances_end_their_long_polls_in_turn() {
    for count in [1_usize, 2, 8, 20] {
        for start in (0..20_000).step_by(37) {
            let ends: Vec<Duration> = (0..count).map(|rank| poll_wait(rank, count, start)).collect();
            let first = ends.iter().min().unwrap();
            assert!(
                *first <= Duration::from_millis(600),
                "{count} instances at {start}: {first:?}"
            );
            assert!(
                ends.iter()
                    .all(|end| *end >= Duration::from_millis(50) && *end <= WAIT)
            );
        }
    }
}
