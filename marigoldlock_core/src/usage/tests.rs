//! Tests of counts and shards.

use marigoldlock_wire::peer::UsageShare;
use marigoldlock_wire::platform::UsageFigure;
use marigoldlock_wire::record::authority::HolderId;

use super::*;
use crate::prelude::*;

fn holder(incarnation: u64) -> HolderId {
    HolderId {
        instance: "a".into(),
        incarnation: Incarnation(incarnation),
    }
}

fn figure(requests: u64) -> UsageFigure {
    UsageFigure {
        requests,
        prompt_tokens: 0,
        output_tokens: 0,
    }
}

fn share(incarnation: u64, requests: u64) -> UsageShare {
    UsageShare {
        instance: "a".into(),
        incarnation: Incarnation(incarnation),
        customer: "dairy".into(),
        window: 4,
        figure: figure(requests),
    }
}

#[test]
fn older_share_changes_nothing() {
    let mut counts = UsageCounts::new(holder(1));
    counts.merge(&share(2, 5));
    counts.merge(&share(2, 3));
    let ledger = UsageLedger::default();
    assert_eq!(counts.shares(&ledger, |_| true), vec![share(2, 5)]);
}

#[test]
fn only_own_counts_and_those_of_ended_processes_are_shared() {
    let mut counts = UsageCounts::new(holder(1));
    counts.count(&"dairy".into(), 4, figure(1));
    counts.count(&"dairy".into(), 4, figure(1));
    counts.merge(&share(2, 5));
    counts.merge(&share(1, 50));
    let ledger = UsageLedger::default();
    assert_eq!(counts.shares(&ledger, |_| false), vec![share(1, 2)]);
    assert_eq!(counts.shares(&ledger, |_| true).len(), 2);
}

#[test]
fn shards_stay_in_range() {
    let used: FastSet<u16> = (0..1500)
        .map(|index| shard_of(&CustomerId::from(format!("customer-{index}"))))
        .collect();
    assert_eq!(used.len(), usize::from(USAGE_SHARDS));
}
