//! Tests of decisions on news that is too old: an instance that was cut off or stood still.

use std::time::Duration;

use marigoldlock_wire::prelude::*;

use super::at;
use crate::gateway::news::NewsDate;
use crate::gateway::origins::{OriginTable, StreamKey, StreamOrigin, VersionHistory, VersionKey};

const LIFETIME: Duration = Duration::from_secs(60);

fn origin(number: usize) -> StreamOrigin {
    StreamOrigin {
        stream: StreamKey::from(format!("s{number}").as_str()),
        version: VersionKey::new(&ServiceId::from("llm"), &SoftwareVersion::from("v1")),
    }
}

#[test]
fn the_age_of_news_counts_from_the_time_at_which_it_was_complete() {
    let mut date = NewsDate::default();
    assert!(date.age(at(0)).is_none());
    date.confirm(at(1_000));
    assert_eq!(date.age(at(1_200)), Some(Duration::from_millis(200)));
    assert!(date.is_within(Duration::from_millis(500), at(1_500)));
    assert!(!date.is_within(Duration::from_millis(500), at(1_501)));
}

/// Answers overtake each other; an older one takes nothing back.
#[test]
fn older_news_does_not_make_the_date_older() {
    let mut date = NewsDate::default();
    date.confirm(at(1_000));
    date.confirm(at(400));
    assert_eq!(date.age(at(1_000)), Some(Duration::ZERO));
}

/// A machine that stood still for some seconds may have missed an upstream that came and went.
#[test]
fn a_standstill_ages_the_news() {
    let mut date = NewsDate::default();
    date.confirm(at(0));
    assert!(!date.may_hide_changes(at(3_000)));
    assert!(date.may_hide_changes(at(3_001)));
    date.confirm(at(3_100));
    assert!(!date.may_hide_changes(at(3_100)));
    date.reset();
    assert_eq!(
        date.age(at(3_100)),
        None,
        "datagrams may have waited in the socket"
    );
}

/// An instance that starts while the store is slow adopts the version that serves alone before its first complete listing, which
/// another instance may bring.
#[test]
fn a_first_listing_hides_no_changes() {
    assert!(!NewsDate::default().may_hide_changes(at(60_000)));
}

/// The version that is listed after a gap may have served alone only since then.
#[test]
fn a_version_is_settled_anew_after_changes_may_have_been_missed() {
    let v1 = SoftwareVersion::from("v1");
    let mut history = VersionHistory::default();
    history.adopt(v1.clone());
    history.update(&[&v1], LIFETIME, at(0));
    history.reset();
    history.update(&[&v1], LIFETIME, at(1));
    assert_eq!(history.settled(), None);
    history.update(&[&v1], LIFETIME, at(60_001));
    assert_eq!(history.settled(), Some(&v1));
}

/// All instances are killed just after a second version has begun to serve: the store has to know the streams that were
/// under way at the first one as well.
#[test]
fn streams_under_way_are_archived_once_a_second_version_serves() {
    let mut table = OriginTable::default();
    table.record(origin(0), false, at(0));
    table.merge(&[origin(1)], at(0));
    assert!(!table.take_unsent()[0].is_contested);
    assert_eq!(table.take_unstored(10), []);

    table.contest();
    let unsent = table.take_unsent();
    assert_eq!(unsent.len(), 1, "others tell of what began there");
    assert!(unsent[0].is_contested && unsent[0].origin == origin(0));
    table.set_archiving(true);
    table.merge(&[origin(1), origin(2)], at(1));
    table.record(origin(3), true, at(1));
    assert_eq!(
        table.take_unstored(10),
        [origin(0), origin(1), origin(2), origin(3)]
    );
    assert_eq!(table.take_unstored(10), []);
}

#[test]
fn origins_that_could_not_be_stored_come_first_the_next_time() {
    let mut table = OriginTable::default();
    table.set_archiving(true);
    table.merge(&[origin(0), origin(1)], at(0));
    let failed = table.take_unstored(1);
    table.return_unstored(failed);
    assert_eq!(table.take_unstored(10), [origin(0), origin(1)]);
    table.merge(&[origin(2)], at(1));
    table.set_archiving(false);
    assert_eq!(table.take_unstored(10), [], "another instance archives them");
}

/// What is read from the store isn't written there again.
#[test]
fn restored_origins_are_not_queued_for_the_store() {
    let mut table = OriginTable::default();
    table.set_archiving(true);
    table.restore(&[origin(0)], at(0));
    assert_eq!(table.version(origin(0).stream), Some(origin(0).version));
    assert_eq!(table.take_unstored(10), []);
}
