//! Tests of positions across eras of the store, and of removals that a copy lacks.

use super::at;
use crate::gateway::era::{DepartureTable, EntryDate, StoreEra, StorePosition};

fn position(era: u64, offset: u64) -> StorePosition {
    StorePosition::new(StoreEra(era), offset)
}

#[test]
fn positions_and_fencing_numbers_rise_across_eras() {
    let order = [
        position(1, 0),
        position(1, 9),
        position(2, 0),
        position(2, 1),
        position(3, 0),
    ];
    for pair in order.windows(2) {
        assert!(
            pair[0] < pair[1] && pair[0].fence() < pair[1].fence(),
            "{} {}",
            pair[0],
            pair[1]
        );
        assert!(pair[1].before() < pair[1]);
    }
    assert_eq!(position(2, 5).before(), position(2, 4));
    let first = position(2, 0).before();
    assert!(first > position(1, 1 << 60) && first < position(2, 0));
    assert_eq!(position(1, 3).next(), position(1, 4));
}

/// Guards against upstreams that return from a copy after they have left, and against others that are kept out.
#[test]
fn only_the_same_process_that_has_not_written_since_stays_removed() {
    let date = |started_ms, writes| EntryDate {
        started_ms: Some(started_ms),
        writes: Some(writes),
    };
    let mut table = DepartureTable::default();
    table.record("a", StoreEra(1), date(100, 7), at(0));
    let is_outdated = |table: &DepartureTable, era, date| table.is_outdated("a", StoreEra(era), || date);
    assert!(is_outdated(&table, 2, date(100, 7)));
    assert!(
        is_outdated(&table, 3, date(100, 5)),
        "the copy is older still, or it came twice"
    );
    assert!(
        !is_outdated(&table, 1, date(100, 7)),
        "the order of the records tells"
    );
    assert!(!is_outdated(&table, 2, date(100, 8)), "it has written again");
    assert!(!is_outdated(&table, 2, date(200, 1)), "it has started again");
    let unknown = EntryDate {
        started_ms: Some(100),
        writes: None,
    };
    assert!(is_outdated(&table, 2, unknown));
    assert!(!table.is_outdated("b", StoreEra(2), || unreachable!("no removal is known")));
    table.expire(at(59_999));
    assert!(is_outdated(&table, 2, date(100, 7)));
    table.expire(at(60_000));
    assert!(!is_outdated(&table, 2, date(100, 7)));
    table.record("a", StoreEra(1), date(100, 7), at(0));
    table.forget("a");
    assert!(!is_outdated(&table, 2, date(100, 7)), "it was in use again");
}
