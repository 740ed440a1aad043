//! Model check of the settings version: appends handed over late, again, by a peer, and after a restart.

mod model_support;

use std::fmt;

use marigoldlock_core::prelude::*;
use marigoldlock_core::settings::{SettingsChange, SettingsFold};
use marigoldlock_wire::record::Envelope;
use model_support::{StateSpace, assert_caught, assert_safe};

/// Changes published, with a repeat of the first one behind the second.
const STREAM: [u128; 4] = [1, 2, 1, 3];

/// Records handed over to one instance.
const HANDED: usize = 5;

/// Offsets handed to each of two instances, in order.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Handed {
    instances: [Vec<u64>; 2],
}

struct HandOver {
    instance: usize,
    offset: u64,
}

impl fmt::Display for HandOver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is handed the append at {}", self.instance, self.offset)
    }
}

#[derive(Default)]
struct SettingsSpace {
    /// The instance starts over whenever an older append comes, as if it had no version.
    forgets_version: bool,
}

fn append(offset: u64) -> Envelope<SettingsChange> {
    let id = STREAM[offset as usize];
    let change = SettingsChange {
        path: "teams/a/customers/acme".to_owned(),
        body: Some(format!("weight = {id}")),
        expect: None,
        author: "model".to_owned(),
    };
    Envelope {
        id: RecordId(id),
        writer: "ctl".into(),
        incarnation: Incarnation(1),
        records: vec![change],
    }
}

impl SettingsSpace {
    /// The version and the weight in force after each append handed over.
    fn history(&self, offsets: &[u64]) -> Vec<(LogPosition, Option<f64>)> {
        let mut fold = SettingsFold::new();
        let mut history = Vec::new();
        for offset in offsets {
            if self.forgets_version && LogPosition::new(*offset, 0) < fold.version() {
                fold = SettingsFold::new();
            }
            fold.apply_envelope(*offset, &append(*offset));
            let weight = fold.active().customer("acme").map(|customer| customer.weight);
            history.push((fold.version(), weight));
        }
        history
    }
}

impl StateSpace for SettingsSpace {
    type State = Handed;
    type Step = HandOver;

    fn start(&self) -> Handed {
        Handed::default()
    }

    fn steps(&self, state: &Handed) -> Vec<(HandOver, Handed)> {
        let mut steps = Vec::new();
        for instance in 0..2 {
            let handed = &state.instances[instance];
            // An append is read in order, or handed over once more by a peer that is behind.
            let next = handed.iter().max().map_or(0, |newest| newest + 1);
            let known = next.min(STREAM.len() as u64 - 1);
            if handed.len() == HANDED {
                continue;
            }
            for offset in 0..=known {
                let mut next = state.clone();
                next.instances[instance].push(offset);
                steps.push((HandOver { instance, offset }, next));
            }
        }
        steps
    }

    fn violation(&self, state: &Handed) -> Option<String> {
        let histories = state.instances.each_ref().map(|offsets| self.history(offsets));
        for history in &histories {
            if history.windows(2).any(|pair| pair[1].0 < pair[0].0) {
                return Some("the settings version moved back".to_owned());
            }
        }
        let [a, b] = histories.each_ref().map(|history| history.last());
        let differs = a.zip(b).is_some_and(|(a, b)| a.0 == b.0 && a.1 != b.1);
        differs.then(|| "two instances differ at one version".to_owned())
    }
}

#[test]
fn settings_version_never_moves_back() {
    assert_safe("settings", &SettingsSpace::default());
}

#[test]
fn forgotten_version_is_caught() {
    let space = SettingsSpace {
        forgets_version: true,
    };
    assert_caught("forgotten settings version", "moved back", &space);
}

#[test]
fn changes_of_the_model_take_effect() {
    let history = SettingsSpace::default().history(&[0, 1, 2, 3]);
    let weights: Vec<_> = history.into_iter().map(|(_, weight)| weight).collect();
    assert_eq!(weights, [Some(1.0), Some(2.0), Some(2.0), Some(3.0)]);
}
