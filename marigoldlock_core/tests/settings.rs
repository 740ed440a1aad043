//! Table tests of settings validation. Each file lists changes and the expected result of each.

use std::path::Path;

use marigoldlock_core::prelude::*;
use marigoldlock_core::settings::{SettingsChange, SettingsFold};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Table {
    step: Vec<Step>,
}

/// One change. It must be accepted unless `refused` gives the path and the reason of its rejection.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Step {
    path: String,
    body: Option<String>,
    refused: Option<Refusal>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Refusal {
    path: String,
    line: Option<usize>,
    reason: String,
}

fn check_table(path: &Path) -> datatest_stable::Result<()> {
    let table: Table = toml::from_str(&std::fs::read_to_string(path)?)?;
    let mut fold = SettingsFold::new();
    for (offset, step) in table.step.into_iter().enumerate() {
        let change = SettingsChange {
            path: step.path,
            body: step.body,
            expect: None,
            author: "test".into(),
        };
        let verdict = fold.apply(LogPosition::new(offset as u64, 0), &change);
        match (verdict, step.refused) {
            (Ok(()), None) => {}
            (Err(rejection), Some(refusal)) => {
                assert_eq!(rejection.path, refusal.path, "step {offset}: {rejection}");
                assert_eq!(rejection.line, refusal.line, "step {offset}: {rejection}");
                let reason = rejection.reason.to_string();
                assert!(reason.contains(&refusal.reason), "step {offset}: {reason:?}");
                assert_eq!(rejection.code(), ResultCode::InvalidSettings);
            }
            (verdict, _) => panic!("step {offset} at {}: {verdict:?}", change.path),
        }
    }
    Ok(())
}

datatest_stable::harness! {
    { test = check_table, root = "tests/settings", pattern = r"\.toml$" },
}
