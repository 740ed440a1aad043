//! Model check of the settings version: appends that arrive in order or once more from a peer.

mod model_support;

use std::fmt;

use marigoldlock_core::prelude::*;
use marigoldlock_core::settings::{SettingsChange, SettingsFold};
use marigoldlock_wire::record::Envelope;
use model_support::{StateSpace, assert_caught, assert_safe};

/// Ids of the appended changes; the first change is repeated after the second.
const STREAM: [u128; 4] = [1, 2, 1, 3];

/// Maximum number of appends delivered to one instance.
const MAX_DELIVERIES: usize = 5;

/// Offsets delivered to each of two instances, in order of delivery.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Deliveries {
    instances: [Vec<u64>; 2],
}

struct Delivery {
    instance: usize,
    offset: u64,
}

impl fmt::Display for Delivery {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} receives the append at {}", self.instance, self.offset)
    }
}

#[derive(Default)]
struct SettingsSpace {
    /// Seeded fault: an instance that receives an older append starts again without a version.
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
    /// The version and the weight in force after each delivered append.
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
    type State = Deliveries;
    type Step = Delivery;

    fn start(&self) -> Deliveries {
        Deliveries::default()
    }

    fn steps(&self, state: &Deliveries) -> Vec<(Delivery, Deliveries)> {
        let mut steps = Vec::new();
        for instance in 0..2 {
            let delivered = &state.instances[instance];
            // An append is read in order or delivered once more by a peer with an older version.
            let next = delivered.iter().max().map_or(0, |newest| newest + 1);
            let known = next.min(STREAM.len() as u64 - 1);
            if delivered.len() == MAX_DELIVERIES {
                continue;
            }
            for offset in 0..=known {
                let mut next = state.clone();
                next.instances[instance].push(offset);
                steps.push((Delivery { instance, offset }, next));
            }
        }
        steps
    }

    fn violation(&self, state: &Deliveries) -> Option<String> {
        let histories = state.instances.each_ref().map(|offsets| self.history(offsets));
        for history in &histories {
            if history.windows(2).any(|pair| pair[1].0 < pair[0].0) {
                return Some("the settings version decreased".to_owned());
            }
        }
        let [a, b] = histories.each_ref().map(|history| history.last());
        let differs = a.zip(b).is_some_and(|(a, b)| a.0 == b.0 && a.1 != b.1);
        differs.then(|| "two instances differ at one version".to_owned())
    }
}

#[test]
fn settings_version_never_decreases() {
    assert_safe("settings", &SettingsSpace::default());
}

#[test]
fn forgotten_version_is_caught() {
    let space = SettingsSpace {
        forgets_version: true,
    };
    assert_caught("forgotten settings version", "version decreased", &space);
}

#[test]
fn changes_of_the_model_take_effect() {
    let history = SettingsSpace::default().history(&[0, 1, 2, 3]);
    let weights: Vec<_> = history.into_iter().map(|(_, weight)| weight).collect();
    assert_eq!(weights, [Some(1.0), Some(2.0), Some(2.0), Some(3.0)]);
}
