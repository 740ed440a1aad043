//! Tests of the settings state, its snapshots and the choice of sources.

use marigoldlock_wire::record::Envelope;
use marigoldlock_wire::record::authority::SnapshotPart;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::keys::hash_key;
use crate::prelude::*;
use crate::settings::*;

fn seeded(seed: u64) -> Config {
    Config {
        cases: 128,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

fn change(path: &str, body: &str) -> SettingsChange {
    SettingsChange {
        path: path.into(),
        body: Some(body.into()),
        expect: None,
        author: "test".into(),
    }
}

fn removal(path: &str) -> SettingsChange {
    SettingsChange {
        path: path.into(),
        body: None,
        expect: None,
        author: "test".into(),
    }
}

fn envelope(id: u128, records: Vec<SettingsChange>) -> Envelope<SettingsChange> {
    Envelope {
        id: RecordId(id),
        writer: "ctl".into(),
        incarnation: Incarnation(1),
        records,
    }
}

fn customer_with_key(weight: u32, key: &str) -> String {
    let hash = hash_key(key);
    format!("[customers.acme]\nweight = {weight}\n[keys.k1]\nhash = \"{hash}\"\ncustomer = \"acme\"\n")
}

fn weight(fold: &SettingsFold) -> f64 {
    fold.active().customer("acme").unwrap().weight
}

#[test]
fn removed_and_withdrawn_keys_stop_working() {
    let mut fold = SettingsFold::new();
    fold.apply(
        LogPosition(0),
        &change("teams/a", &customer_with_key(1, "secret")),
    )
    .unwrap();
    let hash = hash_key("secret");
    assert_eq!(fold.active().authenticate(&hash).unwrap().name.as_str(), "acme");
    fold.apply(
        LogPosition(1),
        &change("teams/a/keys/k1/withdrawn", "value = true"),
    )
    .unwrap();
    assert_eq!(fold.active().authenticate(&hash), Err(ResultCode::WithdrawnKey));
    fold.apply(LogPosition(2), &removal("teams/a/keys/k1")).unwrap();
    assert_eq!(fold.active().authenticate(&hash), Err(ResultCode::UnknownKey));
}

#[test]
fn settings_held_by_a_request_do_not_change_under_it() {
    let mut fold = SettingsFold::new();
    fold.apply(
        LogPosition(0),
        &change("teams/a", &customer_with_key(1, "secret")),
    )
    .unwrap();
    let before = fold.active();
    fold.apply(
        LogPosition(1),
        &change("teams/a/customers/acme/weight", "value = 2"),
    )
    .unwrap();
    assert_eq!(before.customer("acme").unwrap().weight, 1.0);
    assert_eq!(weight(&fold), 2.0);
}

#[test]
fn duplicate_envelope_does_not_bring_an_old_value_back() {
    let mut fold = SettingsFold::new();
    let first = envelope(1, vec![change("teams/a", &customer_with_key(1, "secret"))]);
    let second = envelope(2, vec![change("teams/a/customers/acme/weight", "value = 2")]);
    fold.apply_envelope(0, &first);
    fold.apply_envelope(1, &second);
    assert_eq!(fold.apply_envelope(2, &first), FoldOutcome::Duplicate);
    assert_eq!(weight(&fold), 2.0);
    assert_eq!(fold.version(), LogPosition::new(3, 0));
}

#[test]
fn earlier_position_changes_nothing() {
    let mut fold = SettingsFold::new();
    fold.apply_envelope(
        5,
        &envelope(1, vec![change("teams/a", &customer_with_key(2, "secret"))]),
    );
    let stale = envelope(2, vec![change("teams/a/customers/acme/weight", "value = 9")]);
    assert_eq!(fold.apply_envelope(4, &stale), FoldOutcome::Duplicate);
    let refused = fold.apply(LogPosition::new(4, 0), &stale.records[0]).unwrap_err();
    assert!(matches!(refused.reason, RejectionReason::OutOfOrder { .. }));
    assert_eq!(weight(&fold), 2.0);
    assert_eq!(fold.version(), LogPosition::new(6, 0));
}

#[test]
fn the_first_of_two_racing_changes_wins() {
    let mut fold = SettingsFold::new();
    let seen = fold.version();
    let racing = |weight| SettingsChange {
        expect: Some(seen),
        ..change("teams/a", &customer_with_key(weight, "secret"))
    };
    fold.apply(LogPosition(0), &racing(1)).unwrap();
    let refused = fold.apply(LogPosition(1), &racing(2)).unwrap_err();
    assert_eq!(refused.code(), ResultCode::VersionConflict);
    assert_eq!(weight(&fold), 1.0);
}

#[test]
fn expect_conflicts_only_at_above_or_under_the_path() {
    let mut fold = SettingsFold::new();
    fold.apply(
        LogPosition(0),
        &change("teams/a", &customer_with_key(1, "secret")),
    )
    .unwrap();
    let seen = fold.version();
    fold.apply(
        LogPosition(1),
        &change("teams/a/customers/acme/weight", "value = 2"),
    )
    .unwrap();
    let with_expect = |path: &str, body: &str| SettingsChange {
        expect: Some(seen),
        ..change(path, body)
    };
    let beside = with_expect("teams/a/customers/acme/cheap_capacity", "value = true");
    fold.apply(LogPosition(2), &beside).unwrap();
    let above = with_expect("teams/a/customers/acme", "weight = 7");
    assert_eq!(
        fold.apply(LogPosition(3), &above).unwrap_err().code(),
        ResultCode::VersionConflict
    );
    let same = with_expect("teams/a/customers/acme/weight", "value = 7");
    assert_eq!(
        fold.apply(LogPosition(4), &same).unwrap_err().code(),
        ResultCode::VersionConflict
    );
    let other_team = with_expect("teams/b/customers/zeta", "");
    fold.apply(LogPosition(5), &other_team).unwrap();
}

#[test]
fn forgotten_changes_void_old_expectations() {
    let mut fold = SettingsFold::new();
    fold.apply(LogPosition(0), &change("teams/a/customers/acme", ""))
        .unwrap();
    let seen = fold.version();
    fold.apply(
        LogPosition(1),
        &change("teams/a/customers/acme/weight", "value = 2"),
    )
    .unwrap();
    for position in 2..1_200 {
        let path = format!("teams/b/customers/c{position}");
        fold.apply(LogPosition(position), &change(&path, "")).unwrap();
    }
    let late = SettingsChange {
        expect: Some(seen),
        ..change("teams/a/customers/acme/weight", "value = 3")
    };
    assert_eq!(
        fold.apply(LogPosition(1_200), &late).unwrap_err().code(),
        ResultCode::VersionConflict
    );
}

#[test]
fn service_of_another_team_needs_both_sides() {
    let mut fold = SettingsFold::new();
    fold.apply(
        LogPosition(0),
        &change("teams/a/services/shared", "kind = \"plain\""),
    )
    .unwrap();
    fold.apply(
        LogPosition(1),
        &change("teams/b/customers/zeta", "services = [\"shared\"]"),
    )
    .unwrap();
    let allowed = |fold: &SettingsFold| {
        let active = fold.active();
        active.allows(
            active.customer("zeta").unwrap(),
            active.service("shared").unwrap(),
        )
    };
    assert!(!allowed(&fold));
    fold.apply(
        LogPosition(2),
        &change("teams/a/services/shared/shared_with", "value = [\"b\"]"),
    )
    .unwrap();
    assert!(allowed(&fold));
    fold.apply(LogPosition(3), &removal("teams/b/customers/zeta/services"))
        .unwrap();
    assert!(!allowed(&fold));
}

#[test]
fn cheap_capacity_needs_the_customer_and_a_rule() {
    let mut fold = SettingsFold::new();
    let body = "[services.lm]\nmodels = [\"m\"]\n[customers.acme]\ncheap_capacity = true\n[rules.night]\n\
                data_centres = [\"pest-a\"]\n";
    fold.apply(LogPosition(0), &change("teams/a", body)).unwrap();
    let allowed = |fold: &SettingsFold, class, data_centre| {
        let active = fold.active();
        let service = active.service_for_model("m").unwrap();
        active.allows_cheap(active.customer("acme").unwrap(), service, class, data_centre)
    };
    assert!(allowed(&fold, RequestClass::Long, "pest-a"));
    assert!(!allowed(&fold, RequestClass::Interactive, "pest-a"));
    assert!(!allowed(&fold, RequestClass::Long, "pest-b"));
    fold.apply(LogPosition(1), &removal("teams/a/customers/acme/cheap_capacity"))
        .unwrap();
    assert!(!allowed(&fold, RequestClass::Long, "pest-a"));
}

#[test]
fn unreadable_record_is_skipped() {
    let mut fold = SettingsFold::new();
    fold.skip(0);
    assert_eq!(fold.version(), LogPosition::new(1, 0));
    fold.skip(0);
    assert_eq!(fold.version(), LogPosition::new(1, 0));
}

fn members(count: usize) -> Vec<RelayCandidate> {
    let member = |index: usize| RelayCandidate {
        instance: format!("entry-{index}").as_str().into(),
        data_centre: ["pest-a", "pest-b"][index % 2].into(),
    };
    (0..count).map(member).collect()
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

#[test]
fn relays_follow_the_log_and_the_others_follow_relays() {
    let members = members(40);
    let relays = choose_relays(&members, &"pest-a".into(), 2);
    assert_eq!(relays.len(), 2);
    let mut followers: FastMap<InstanceId, usize> = FastMap::default();
    for member in members
        .iter()
        .filter(|member| member.data_centre.as_str() == "pest-a")
    {
        match SourceChooser::new(member.clone()).choose(&members, 2, at(0)) {
            SettingsSource::Log => assert!(relays.contains(&member.instance)),
            SettingsSource::Peer(relay) => *followers.entry(relay).or_default() += 1,
        }
    }
    assert_eq!(followers.values().sum::<usize>(), 18);
    assert!(relays.iter().all(|relay| followers[relay] >= 4), "{followers:?}");
}

#[test]
fn follower_of_a_dead_relay_reads_the_log_and_then_asks_the_other_relay() {
    let members = members(40);
    let relays = choose_relays(&members, &"pest-a".into(), 2);
    let own = members
        .iter()
        .step_by(2)
        .find(|member| !relays.contains(&member.instance))
        .unwrap();
    let mut chooser = SourceChooser::new(own.clone());
    let first = chooser.choose(&members, 2, at(0));
    chooser.note_failure(&first, at(0));
    assert_eq!(chooser.choose(&members, 2, at(1)), SettingsSource::Log);
    chooser.note_failure(&SettingsSource::Log, at(10));
    let second = chooser.choose(&members, 2, at(11));
    assert!(second != first && second != SettingsSource::Log);
    chooser.note_failure(&second, at(20));
    assert_eq!(chooser.choose(&members, 2, at(21)), first);
    assert_eq!(chooser.choose(&members, 2, at(5_000)), first);
}

#[test]
fn lone_instance_reads_the_log() {
    let own = members(1).remove(0);
    assert_eq!(
        SourceChooser::new(own.clone()).choose(&[own], 2, at(0)),
        SettingsSource::Log
    );
}

fn snapshot_envelopes(fold: &SettingsFold, writer: u64) -> Vec<Envelope<SnapshotPart>> {
    let parts = split_snapshot(&SettingsSnapshot::of(fold));
    let envelope = |part: SnapshotPart| Envelope {
        id: RecordId(u128::from(part.part)),
        writer: "entry-1".into(),
        incarnation: Incarnation(writer),
        records: vec![part],
    };
    parts.into_iter().map(envelope).collect()
}

#[test]
fn new_reader_starts_from_the_newest_complete_snapshot() {
    let mut fold = SettingsFold::new();
    let mut reader = SnapshotReader::default();
    for offset in 0..400 {
        let path = format!("teams/a/customers/c{offset}");
        let long = format!("data_centres = [{}]", "\"pest-a\", ".repeat(60));
        fold.apply_envelope(offset, &envelope(offset.into(), vec![change(&path, &long)]));
        if offset == 200 {
            snapshot_envelopes(&fold, 1)
                .iter()
                .for_each(|envelope| reader.add(envelope));
        }
    }
    let newest = snapshot_envelopes(&fold, 2);
    assert!(newest.len() > 1);
    newest.iter().skip(1).for_each(|envelope| reader.add(envelope));
    assert_eq!(reader.newest().unwrap().version(), LogPosition::new(201, 0));
    newest.iter().for_each(|envelope| reader.add(envelope));
    assert_eq!(reader.newest().unwrap().version(), fold.version());
    assert!(restore_fold(400, &reader).is_some());
    assert!(restore_fold(401, &reader).is_none());
    assert_eq!(
        restore_fold(0, &SnapshotReader::default()).unwrap().version(),
        LogPosition(0)
    );
}

/// Generates changes of which some are accepted and some rejected, depending on the earlier ones.
fn any_change() -> impl Strategy<Value = SettingsChange> {
    let path = prop::sample::select(vec![
        "teams/a",
        "teams/b",
        "teams/a/customers",
        "teams/a/customers/acme",
        "teams/b/customers/acme",
        "teams/a/customers/acme/weight",
        "teams/a/services/lm",
        "teams/b/services/lm",
        "teams/a/keys/k1",
        "teams/b/keys/k1",
        "teams/a/rules/r",
        "fleet",
        "fleet/weights/cost",
        "teams",
        "nowhere/x",
    ]);
    let body = prop::option::weighted(
        0.8,
        prop::sample::select(vec![
            "",
            "value = 3",
            "value = -1",
            "weight = 2",
            "models = [\"m\"]",
            "kind = \"plain\"",
            "bad = [",
            "services = [\"lm\"]",
            "[customers.acme]\n[services.lm]\nmodels = [\"m\"]",
            "hash = \"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\"\ncustomer = \"acme\"",
        ]),
    );
    (path, body, prop::option::weighted(0.3, 0u64..40)).prop_map(|(path, body, expect)| SettingsChange {
        path: path.into(),
        body: body.map(str::to_owned),
        expect: expect.map(|offset| LogPosition::new(offset, 0)),
        author: "test".into(),
    })
}

fn snapshot(fold: &SettingsFold) -> String {
    let active = fold.active();
    format!("{:?} {:?}", active.fleet(), active.teams().collect::<Vec<_>>())
}

proptest! {
    #![proptest_config(seeded(12))]

    /// A rejected change leaves the settings unchanged, and the check before publishing predicts the outcome.
    #[test]
    fn refused_change_leaves_no_trace(changes in prop::collection::vec(any_change(), 1..40)) {
        let mut fold = SettingsFold::new();
        for (offset, change) in changes.iter().enumerate() {
            let before = snapshot(&fold);
            let checked = fold.check(change);
            let applied = fold.apply(LogPosition::new(offset as u64, 0), change);
            prop_assert_eq!(checked.is_ok(), applied.is_ok());
            if applied.is_err() {
                prop_assert_eq!(before, snapshot(&fold));
            }
        }
    }

    /// Reading any part of the log again, or an append twice, results in the same settings.
    #[test]
    fn rereading_changes_nothing(
        changes in prop::collection::vec(any_change(), 1..30),
        reread in prop::collection::vec((0usize..30, 0usize..30), 0..6),
    ) {
        let envelopes: Vec<_> =
            changes.into_iter().enumerate().map(|(id, change)| envelope(id as u128, vec![change])).collect();
        let mut straight = SettingsFold::new();
        for (offset, envelope) in envelopes.iter().enumerate() {
            straight.apply_envelope(offset as u64, envelope);
        }
        let mut rereading = SettingsFold::new();
        let mut version = rereading.version();
        for (from, until) in reread.into_iter().chain([(0, envelopes.len())]) {
            let from = from.min(rereading.version().offset() as usize);
            for (offset, envelope) in envelopes.iter().enumerate().take(until).skip(from) {
                rereading.apply_envelope(offset as u64, envelope);
                prop_assert!(rereading.version() >= version);
                version = rereading.version();
            }
        }
        prop_assert_eq!(snapshot(&straight), snapshot(&rereading));
        prop_assert_eq!(straight.version(), rereading.version());
    }

    /// A reader that starts from a snapshot reaches the same verdicts as one that read the whole log.
    #[test]
    fn snapshot_and_whole_log_agree(changes in prop::collection::vec(any_change(), 2..40), at in 0usize..39) {
        let at = at.min(changes.len() - 1);
        let envelopes: Vec<_> =
            changes.into_iter().enumerate().map(|(id, change)| envelope(id as u128, vec![change])).collect();
        let mut whole = SettingsFold::new();
        for (offset, envelope) in envelopes[..at].iter().enumerate() {
            whole.apply_envelope(offset as u64, envelope);
        }
        let mut restored = SettingsSnapshot::of(&whole).restore().unwrap();
        for (offset, envelope) in envelopes.iter().enumerate().skip(at) {
            prop_assert_eq!(
                whole.apply_envelope(offset as u64, envelope),
                restored.apply_envelope(offset as u64, envelope)
            );
        }
        let repeat = whole.apply_envelope(90, &envelopes[0]);
        prop_assert_eq!(repeat, restored.apply_envelope(90, &envelopes[0]));
        prop_assert_eq!(snapshot(&whole), snapshot(&restored));
        prop_assert_eq!(SettingsSnapshot::of(&whole), SettingsSnapshot::of(&restored));
    }

    /// Applying changes one by one, with reuse of unchanged items, gives the same settings as publishing the
    /// resulting tree at once.
    #[test]
    fn steps_and_whole_tree_agree(changes in prop::collection::vec(any_change(), 1..40)) {
        let mut fold = SettingsFold::new();
        for (offset, change) in changes.iter().enumerate() {
            let _ = fold.apply(LogPosition::new(offset as u64, 0), change);
        }
        let mut whole = SettingsFold::new();
        for (position, root) in ["fleet", "teams/a", "teams/b"].iter().enumerate() {
            if let Some(value) = fold.value(&root.parse().unwrap()) {
                let body = toml::to_string(&value).unwrap();
                whole.apply(LogPosition(position as u64), &change(root, &body)).unwrap();
            }
        }
        prop_assert_eq!(snapshot(&fold), snapshot(&whole));
    }
}
