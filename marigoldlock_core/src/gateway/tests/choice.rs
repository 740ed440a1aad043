//! Tests of the choice of an upstream.

use marigoldlock_wire::prelude::*;

use super::{at, entry, prompt};
use crate::gateway::catalog::{UpstreamEntry, UpstreamRole};
use crate::gateway::choice::{Candidate, ChoiceContext, pick_decode, pick_plain, pick_prefill};
use crate::gateway::state::UpstreamState;

fn fleet(roles: &[(UpstreamRole, usize)]) -> Vec<(UpstreamEntry, UpstreamState)> {
    let mut fleet = Vec::new();
    for (role, count) in roles {
        for _ in 0..*count {
            let number = fleet.len();
            let data_centre = ["a", "b", "c"][number % 3];
            fleet.push((
                entry(&format!("u{number}"), data_centre, *role),
                UpstreamState::default(),
            ));
        }
    }
    fleet
}

fn candidates(fleet: &[(UpstreamEntry, UpstreamState)]) -> Vec<Candidate<'_>> {
    fleet
        .iter()
        .map(|(entry, state)| Candidate { entry, state })
        .collect()
}

fn context(data_centre: &DataCentre) -> ChoiceContext<'_> {
    ChoiceContext {
        data_centre,
        now: at(0),
    }
}

#[test]
fn a_shared_prefix_has_one_prefill_engine_from_every_data_centre() {
    let fleet = fleet(&[(UpstreamRole::Prefill, 9), (UpstreamRole::Decode, 3)]);
    let candidates = candidates(&fleet);
    let mut engines = FastSet::default();
    for prefix_id in 0..200 {
        let prompt = prompt(prefix_id, 13_000, 3_000);
        let chosen: FastSet<&UpstreamId> = ["a", "b", "c"]
            .map(DataCentre::from)
            .iter()
            .map(|data_centre| {
                &pick_prefill(&candidates, &prompt, context(data_centre))
                    .unwrap()
                    .0
                    .id
            })
            .collect();
        assert_eq!(
            chosen.len(),
            1,
            "prefix {prefix_id} has more than one prefill engine"
        );
        engines.extend(chosen);
    }
    assert_eq!(
        engines.len(),
        9,
        "shared prefixes use all prefill engines and no decode engine"
    );
}

#[test]
fn a_lost_prefill_engine_moves_only_its_own_prefixes() {
    let fleet = fleet(&[(UpstreamRole::Prefill, 8)]);
    let all = candidates(&fleet);
    let remaining: Vec<Candidate<'_>> = all[1..].to_vec();
    let data_centre = DataCentre::from("a");
    for prefix_id in 0..300 {
        let prompt = prompt(prefix_id, 13_000, 3_000);
        let before = pick_prefill(&all, &prompt, context(&data_centre)).unwrap().0;
        let after = pick_prefill(&remaining, &prompt, context(&data_centre))
            .unwrap()
            .0;
        if before.id != all[0].entry.id {
            assert_eq!(
                before.id, after.id,
                "prefix {prefix_id} moved although its engine is still there"
            );
        }
    }
}

#[test]
fn a_prefix_leaves_its_owner_only_while_the_backlog_costs_more_than_computing_it_again() {
    let mut fleet = fleet(&[(UpstreamRole::Prefill, 6)]);
    let data_centre = DataCentre::from("a");
    let prompt = prompt(7, 13_000, 3_000);
    let owner = pick_prefill(&candidates(&fleet), &prompt, context(&data_centre))
        .unwrap()
        .0
        .id
        .clone();
    let stays_at_owner = |fleet: &mut Vec<(UpstreamEntry, UpstreamState)>, tokens| {
        let state = fleet
            .iter_mut()
            .find(|(entry, _)| entry.id == owner)
            .map(|(_, state)| state);
        state.unwrap().own.prefill_tokens = tokens;
        pick_prefill(&candidates(fleet), &prompt, context(&data_centre))
            .unwrap()
            .0
            .id
            == owner
    };
    assert!(stays_at_owner(&mut fleet, 20_000));
    assert!(!stays_at_owner(&mut fleet, 60_000));
}

#[test]
fn decode_engines_prefill_no_prompt_while_prefill_engines_have_a_backlog() {
    let mut fleet = fleet(&[(UpstreamRole::Prefill, 2), (UpstreamRole::Decode, 4)]);
    for (entry, state) in &mut fleet {
        if entry.role == UpstreamRole::Prefill {
            state.own.waiting_tokens = 60_000;
        }
    }
    let data_centre = DataCentre::from("a");
    let chosen = pick_prefill(&candidates(&fleet), &prompt(1, 350, 1_100), context(&data_centre))
        .unwrap()
        .0;
    assert_eq!(chosen.role, UpstreamRole::Prefill);
}

#[test]
fn decode_stays_local_until_the_local_engines_are_overloaded() {
    let mut fleet = fleet(&[(UpstreamRole::Decode, 3)]);
    let data_centre = DataCentre::from("b");
    let pick = |fleet: &[(UpstreamEntry, UpstreamState)]| {
        pick_decode(&candidates(fleet), context(&data_centre), 1)
            .unwrap()
            .data_centre
            .clone()
    };
    assert_eq!(pick(&fleet), data_centre);
    fleet[1].1.peers.requests = 30;
    assert_ne!(pick(&fleet), data_centre);
}

#[test]
fn plain_requests_stay_local_until_half_of_the_slots_are_taken() {
    let mut fleet = fleet(&[(UpstreamRole::Whole, 3)]);
    for (entry, _) in &mut fleet {
        entry.slots = 6;
    }
    let data_centre = DataCentre::from("c");
    let pick = |fleet: &[(UpstreamEntry, UpstreamState)]| {
        let chosen = pick_plain(&candidates(fleet), context(&data_centre), 3);
        chosen.unwrap().data_centre.clone()
    };
    assert_eq!(pick(&fleet), data_centre);
    fleet[2].1.own.requests = 2;
    assert_eq!(pick(&fleet), data_centre);
    fleet[2].1.own.requests = 3;
    assert_ne!(pick(&fleet), data_centre);
}

#[test]
fn an_upstream_that_just_failed_is_the_last_choice() {
    let mut fleet = fleet(&[(UpstreamRole::Whole, 2)]);
    fleet[0].1.record_failure(at(0));
    let data_centre = DataCentre::from("a");
    let chosen = pick_plain(&candidates(&fleet), context(&data_centre), 3);
    assert_eq!(chosen.unwrap().id.as_str(), "u1");
}
