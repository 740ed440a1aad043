//! Load patterns: swings of the mix, bursts, reclaimed capacity.

use marigoldlock_wire::prelude::*;

use super::{at, entry, millis};
use crate::gateway::admission::{ReadRate, come_back};
use crate::gateway::capacity::{CapacityChange, CapacityPlanner, ServingCounts};
use crate::gateway::catalog::{UpstreamEntry, UpstreamRole};
use crate::gateway::queue::{ReaderQueue, has_room};
use crate::gateway::roles::{EngineLoad, RoleChange, RolePlanner};
use crate::gateway::route::ScalingRule;
use crate::gateway::state::UpstreamState;

fn engines(readers: usize, generators: usize) -> Vec<UpstreamEntry> {
    let roles = std::iter::repeat_n(UpstreamRole::Prefill, readers)
        .chain(std::iter::repeat_n(UpstreamRole::Decode, generators));
    roles
        .enumerate()
        .map(|(number, role)| entry(&format!("u{number:02}"), ["a", "b", "c"][number % 3], role))
        .collect()
}

/// Feeds steady samples, as many as the planner takes in `seconds`.
fn run(
    planner: &mut RolePlanner,
    engines: &[UpstreamEntry],
    queue: u64,
    generating: u32,
    from: u64,
    seconds: u64,
) -> Vec<RoleChange> {
    let mut changes = Vec::new();
    for tick in 0..seconds * 4 {
        let loads: Vec<EngineLoad<'_>> = engines
            .iter()
            .map(|entry| {
                let is_reader = entry.role == UpstreamRole::Prefill;
                EngineLoad {
                    entry,
                    requests: if is_reader { 2 } else { generating },
                    reading_tokens: if is_reader { queue } else { 0 },
                    is_healthy: true,
                }
            })
            .collect();
        changes.extend(planner.plan(&loads, millis(3_000), at(from + tick * 250)));
    }
    changes
}

/// Feeds samples without any request.
fn idle(planner: &mut RolePlanner, engines: &[UpstreamEntry], from: u64, seconds: u64) -> Vec<RoleChange> {
    let loads: Vec<EngineLoad<'_>> = engines
        .iter()
        .map(|entry| EngineLoad {
            entry,
            requests: 0,
            reading_tokens: 0,
            is_healthy: true,
        })
        .collect();
    (0..seconds * 4)
        .flat_map(|tick| planner.plan(&loads, millis(3_000), at(from + tick * 250)))
        .collect()
}

#[test]
fn long_prompts_turn_idle_generators_into_readers_once() {
    let engines = engines(4, 8);
    let mut planner = RolePlanner::default();
    let changes = run(&mut planner, &engines, 20_000, 3, 0, 10);
    assert_eq!(changes.len(), 5, "three generators stay, one in each data centre");
    assert!(changes.iter().all(|change| change.role == UpstreamRole::Prefill));
    let left: FastSet<&DataCentre> = engines[4..]
        .iter()
        .filter(|entry| changes.iter().all(|change| change.upstream != entry.id))
        .map(|entry| &entry.data_centre)
        .collect();
    assert_eq!(left.len(), 3);
}

#[test]
fn roles_stay_without_a_queue() {
    let mut planner = RolePlanner::default();
    assert!(run(&mut planner, &engines(4, 8), 500, 2, 0, 10).is_empty());
}

#[test]
fn crowded_generators_get_help_one_at_a_time() {
    let engines = engines(9, 3);
    let mut planner = RolePlanner::default();
    let changes = run(&mut planner, &engines, 1_000, 40, 0, 2);
    assert!(!changes.is_empty());
    assert!(changes.iter().all(|change| change.role == UpstreamRole::Decode));
    let mut once = RolePlanner::default();
    let first = run(&mut once, &engines, 1_000, 40, 0, 1);
    assert!(first.len() <= 1, "{first:?}");
}

#[test]
fn crowded_generators_draw_no_more_help_than_is_on_its_way() {
    // Half as many requests again as three generators carry: two more are enough, whenever they come.
    let engines = engines(9, 3);
    let mut planner = RolePlanner::default();
    let changes = run(&mut planner, &engines, 1_000, 45, 0, 3);
    assert_eq!(changes.len(), 2, "{changes:?}");
}

#[test]
fn engines_get_ready_to_read_before_the_first_request() {
    let mut engines = engines(4, 8);
    let mut planner = RolePlanner::default();
    let changes = idle(&mut planner, &engines, 0, 3);
    assert_eq!(changes.len(), 5, "three generators stay, one in each data centre");
    assert!(changes.iter().all(|change| change.role == UpstreamRole::Prefill));
    for entry in &mut engines {
        if changes.iter().any(|change| change.upstream == entry.id) {
            entry.role = UpstreamRole::Prefill;
        }
    }
    // If output is asked for in the first moment, they turn back without a pause.
    assert!(!run(&mut planner, &engines, 100, 60, 4_000, 5).is_empty());
}

#[test]
fn a_lull_after_requests_changes_no_role() {
    let engines = engines(4, 8);
    let mut planner = RolePlanner::default();
    assert!(run(&mut planner, &engines, 500, 2, 0, 2).is_empty());
    assert!(idle(&mut planner, &engines, 2_000, 5).is_empty());
}

#[test]
fn a_mix_that_swings_back_at_once_does_not_turn_engines_to_and_fro() {
    let mut engines = engines(4, 8);
    let mut planner = RolePlanner::default();
    let changes = run(&mut planner, &engines, 20_000, 3, 0, 2);
    for entry in &mut engines {
        if changes.iter().any(|change| change.upstream == entry.id) {
            entry.role = UpstreamRole::Prefill;
        }
    }
    let back = run(&mut planner, &engines, 100, 40, 2_000, 6);
    assert!(back.is_empty(), "{back:?}");
    assert!(!run(&mut planner, &engines, 100, 40, 12_000, 6).is_empty());
}

#[test]
fn lost_generators_are_replaced_at_once() {
    let engines = engines(9, 3);
    let mut planner = RolePlanner::default();
    let mut changes = Vec::new();
    for tick in 0..8 {
        let loads: Vec<EngineLoad<'_>> = engines
            .iter()
            .map(|entry| EngineLoad {
                entry,
                requests: 0,
                reading_tokens: 0,
                is_healthy: entry.role == UpstreamRole::Prefill,
            })
            .collect();
        changes.extend(planner.plan(&loads, millis(3_000), at(tick * 250)));
    }
    assert_eq!(changes.len(), 3);
    assert!(changes.iter().all(|change| change.role == UpstreamRole::Decode));
}

#[test]
fn an_order_without_effect_is_given_up() {
    let engines = engines(4, 8);
    let mut planner = RolePlanner::default();
    let changes = run(&mut planner, &engines, 20_000, 3, 0, 3);
    assert_eq!(planner.changing().count(), changes.len());
    run(&mut planner, &engines, 0, 3, 3_000, 14);
    assert_eq!(planner.changing().count(), 0);
}

#[test]
fn an_engine_gets_no_work_until_its_change_is_done() {
    let mut engines = engines(4, 8);
    let mut planner = RolePlanner::default();
    let changes = run(&mut planner, &engines, 20_000, 3, 0, 2);
    for entry in &mut engines {
        if changes.iter().any(|change| change.upstream == entry.id) {
            entry.role = UpstreamRole::Prefill;
        }
    }
    run(&mut planner, &engines, 0, 3, 2_000, 3);
    assert_eq!(
        planner.changing().count(),
        changes.len(),
        "the new role is told before it is served"
    );
    run(&mut planner, &engines, 0, 3, 5_000, 1);
    assert_eq!(planner.changing().count(), 0);
}

#[test]
fn few_prompts_are_at_a_reader_and_the_most_urgent_waits_least() {
    let mut reader = UpstreamState::default();
    reader.own.requests = 2;
    reader.own.reading_tokens = 30_000;
    assert!(has_room(&reader));
    reader.peers.requests = 1;
    assert!(!has_room(&reader), "others' work counts as well");
    reader.own.reading_tokens = 1_000;
    assert!(has_room(&reader), "short prompts leave room");

    let id = UpstreamId::from("u1");
    let mut queue = ReaderQueue::default();
    let late = queue.ticket(2);
    let urgent = queue.ticket(0);
    queue.join(&id, late);
    assert!(queue.is_first(&id, late));
    queue.join(&id, urgent);
    assert!(!queue.is_first(&id, late) && queue.is_first(&id, urgent));
    queue.leave(&id, urgent);
    assert!(queue.is_first(&id, late));
}

#[test]
fn a_burst_is_refused_once_its_wait_passes_the_objective() {
    let mut rate = ReadRate::default();
    assert_eq!(
        rate.time_for(1_000_000),
        millis(0),
        "nothing is refused before a rate is known"
    );
    for _ in 0..100 {
        rate.record(3_000, millis(300), 3);
    }
    let expected = rate.time_for(30_000);
    assert_eq!(expected.as_millis(), 1_000);
    assert_eq!(come_back(millis(0), expected, millis(800)), None);
    let after = come_back(millis(0), rate.time_for(60_000), millis(800)).unwrap();
    assert!(after >= millis(800) && after <= millis(1_500), "{after:?}");
    assert!(
        come_back(millis(1_300), millis(0), millis(800)).is_some(),
        "waiting counts"
    );
}

#[test]
fn short_readings_teach_no_rate() {
    let mut rate = ReadRate::default();
    rate.record(50, millis(40), 1);
    assert_eq!(rate.time_for(100_000), millis(0));
}

fn scaling() -> ScalingRule {
    ScalingRule {
        min: 1,
        max: 8,
        boot: millis(4_000),
        spot_price: Some(0.2),
        prices: FastMap::default(),
    }
}

fn serving(ordinary: u32, cheap: u32) -> FastMap<DataCentre, ServingCounts> {
    [(DataCentre::from("a"), ServingCounts { ordinary, cheap })]
        .into_iter()
        .collect()
}

fn change(is_cheap: bool, count: u32) -> CapacityChange {
    CapacityChange {
        data_centre: DataCentre::from("a"),
        is_cheap,
        count,
    }
}

#[test]
fn cheap_capacity_comes_first_and_ordinary_goes_when_it_serves() {
    let rule = scaling();
    let mut planner = CapacityPlanner::default();
    assert_eq!(planner.plan(&rule, &serving(3, 0), at(0)), [change(true, 4)]);
    assert!(
        planner.plan(&rule, &serving(4, 0), at(2_000)).is_empty(),
        "cheap ones still start"
    );
    assert!(planner.plan(&rule, &serving(4, 4), at(4_500)).is_empty());
    assert_eq!(planner.plan(&rule, &serving(4, 4), at(6_600)), [change(false, 2)]);
    assert_eq!(
        planner.plan(&rule, &serving(2, 4), at(9_000)),
        [change(true, 6)],
        "the room is taken"
    );
    assert!(planner.plan(&rule, &serving(2, 6), at(13_000)).is_empty());
}

#[test]
fn ordinary_capacity_returns_when_the_cheap_is_reclaimed() {
    let rule = scaling();
    let mut planner = CapacityPlanner::default();
    for time in [0, 2_000, 4_100] {
        planner.plan(&rule, &serving(4, 4), at(time));
    }
    planner.plan(&rule, &serving(2, 4), at(6_500));
    let changes = planner.plan(&rule, &serving(2, 0), at(9_000));
    assert!(changes.contains(&change(false, 4)), "{changes:?}");
    assert!(changes.contains(&change(true, 4)), "{changes:?}");
    assert!(
        planner.plan(&rule, &serving(2, 0), at(9_300)).is_empty(),
        "orders are not repeated at once"
    );
    assert_eq!(planner.plan(&rule, &serving(2, 0), at(14_500)).len(), 2);
}

#[test]
fn ordinary_capacity_fills_in_where_no_cheap_is_to_be_had() {
    let rule = scaling();
    let mut planner = CapacityPlanner::default();
    planner.plan(&rule, &serving(2, 0), at(0));
    assert!(
        !planner
            .plan(&rule, &serving(2, 0), at(5_000))
            .contains(&change(false, 4))
    );
    let changes = planner.plan(&rule, &serving(2, 0), at(6_500));
    assert!(changes.contains(&change(false, 4)), "{changes:?}");
}

#[test]
fn a_successor_orders_the_same() {
    let rule = scaling();
    let mut first = CapacityPlanner::default();
    for time in [0, 2_000, 4_100, 9_000] {
        first.plan(&rule, &serving(2, 6), at(time));
    }
    let mut successor = CapacityPlanner::default();
    for time in [10_000, 12_000, 14_100, 19_000] {
        assert!(successor.plan(&rule, &serving(2, 6), at(time)).is_empty());
    }
}

#[test]
fn nothing_is_ordered_where_cheap_capacity_is_not_cheap() {
    let mut rule = scaling();
    rule.spot_price = Some(0.9);
    let mut planner = CapacityPlanner::default();
    for time in [0, 2_000, 4_000] {
        assert!(planner.plan(&rule, &serving(4, 0), at(time)).is_empty());
    }
}
