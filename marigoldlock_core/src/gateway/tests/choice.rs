//! Which upstream gets a request.

use marigoldlock_wire::prelude::*;

use super::{at, entry, prompt};
use crate::gateway::catalog::{UpstreamEntry, UpstreamRole};
use crate::gateway::choice::{Candidate, ChoicePoint, pick_generator, pick_plain, pick_reader};
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

fn point(data_centre: &DataCentre) -> ChoicePoint<'_> {
    ChoicePoint {
        data_centre,
        now: at(0),
    }
}

#[test]
fn long_subjects_have_one_reader_from_every_data_centre() {
    let fleet = fleet(&[(UpstreamRole::Prefill, 9), (UpstreamRole::Decode, 3)]);
    let candidates = candidates(&fleet);
    let mut owners = FastSet::default();
    for subject in 0..200 {
        let prompt = prompt(subject, 13_000, 3_000);
        let chosen: FastSet<&UpstreamId> = ["a", "b", "c"]
            .map(DataCentre::from)
            .iter()
            .map(|place| &pick_reader(&candidates, &prompt, point(place)).unwrap().0.id)
            .collect();
        assert_eq!(chosen.len(), 1, "subject {subject} has more than one reader");
        owners.extend(chosen);
    }
    assert_eq!(owners.len(), 9, "subjects use all readers and no generator");
}

#[test]
fn a_lost_reader_moves_only_its_own_subjects() {
    let fleet = fleet(&[(UpstreamRole::Prefill, 8)]);
    let all = candidates(&fleet);
    let rest: Vec<Candidate<'_>> = all[1..].to_vec();
    let place = DataCentre::from("a");
    for subject in 0..300 {
        let prompt = prompt(subject, 13_000, 3_000);
        let before = pick_reader(&all, &prompt, point(&place)).unwrap().0;
        let after = pick_reader(&rest, &prompt, point(&place)).unwrap().0;
        if before.id != all[0].entry.id {
            assert_eq!(before.id, after.id, "subject {subject} moved without need");
        }
    }
}

#[test]
fn a_subject_leaves_its_reader_only_while_the_queue_costs_more_than_reading_again() {
    let mut fleet = fleet(&[(UpstreamRole::Prefill, 6)]);
    let place = DataCentre::from("a");
    let prompt = prompt(7, 13_000, 3_000);
    let owner = pick_reader(&candidates(&fleet), &prompt, point(&place))
        .unwrap()
        .0
        .id
        .clone();
    let at_owner = |fleet: &mut Vec<(UpstreamEntry, UpstreamState)>, tokens| {
        let state = fleet
            .iter_mut()
            .find(|(entry, _)| entry.id == owner)
            .map(|(_, state)| state);
        state.unwrap().own.reading_tokens = tokens;
        pick_reader(&candidates(fleet), &prompt, point(&place))
            .unwrap()
            .0
            .id
            == owner
    };
    assert!(at_owner(&mut fleet, 20_000));
    assert!(!at_owner(&mut fleet, 60_000));
}

#[test]
fn generators_read_no_long_prompt_while_readers_queue() {
    let mut fleet = fleet(&[(UpstreamRole::Prefill, 2), (UpstreamRole::Decode, 4)]);
    for (entry, state) in &mut fleet {
        if entry.role == UpstreamRole::Prefill {
            state.own.waiting_tokens = 60_000;
        }
    }
    let place = DataCentre::from("a");
    let chosen = pick_reader(&candidates(&fleet), &prompt(1, 350, 1_100), point(&place))
        .unwrap()
        .0;
    assert_eq!(chosen.role, UpstreamRole::Prefill);
}

#[test]
fn tokens_are_generated_near_the_instance_until_its_generators_are_crowded() {
    let mut fleet = fleet(&[(UpstreamRole::Decode, 3)]);
    let place = DataCentre::from("b");
    let pick = |fleet: &[(UpstreamEntry, UpstreamState)]| {
        pick_generator(&candidates(fleet), point(&place), 1)
            .unwrap()
            .data_centre
            .clone()
    };
    assert_eq!(pick(&fleet), place);
    fleet[1].1.peers.requests = 30;
    assert_ne!(pick(&fleet), place);
}

#[test]
fn plain_calls_stay_near_until_half_of_the_slots_are_taken() {
    let mut fleet = fleet(&[(UpstreamRole::Whole, 3)]);
    for (entry, _) in &mut fleet {
        entry.slots = 6;
    }
    let place = DataCentre::from("c");
    let pick = |fleet: &[(UpstreamEntry, UpstreamState)]| {
        let chosen = pick_plain(candidates(fleet).into_iter(), point(&place), 3);
        chosen.unwrap().data_centre.clone()
    };
    assert_eq!(pick(&fleet), place);
    fleet[2].1.own.requests = 2;
    assert_eq!(pick(&fleet), place);
    fleet[2].1.own.requests = 3;
    assert_ne!(pick(&fleet), place);
}

#[test]
fn an_upstream_that_just_failed_is_the_last_choice() {
    let mut fleet = fleet(&[(UpstreamRole::Whole, 2)]);
    fleet[0].1.record_failure(at(0));
    let place = DataCentre::from("a");
    let chosen = pick_plain(candidates(&fleet).into_iter(), point(&place), 3);
    assert_eq!(chosen.unwrap().id.as_str(), "u1");
}
