//! Tests of the simulation.

use marigoldlock_wire::engine::EngineRole;

use super::engine::{EngineModel, EngineOutput, EngineWork};
use super::experiment::{Experiment, PolicySpec};
use super::measure::{PolicyResult, fair_shares};
use super::{replay, workload};

/// Small deployment under load; the tests append faults to it.
const SMALL: &str = r#"
name = "small"
seeds = [1]
seconds = 40

[entry]
instances = 3
data_centres = ["pest-a", "pest-b"]
between_ms = 0.5
report_interval_ms = 250
report_lag_ms = 500
heartbeat_ms = 500
heartbeat_delay_ms = 50
address_s = 10
list_lag_s = 2
silence_s = 3

[targets]
interactive_first_ms = 500
interactive_between_ms = 50
standard_first_ms = 2000
standard_between_ms = 50
long_whole_s = 600
interactive_deadline_s = 15
standard_deadline_s = 90

[[service]]
name = "llm"
steady = 3
cheap = 2
placed = true
slots = 8
prefill_tokens_per_s = 8000
chunk_tokens = 192
step_ms = 15
step_per_stream_ms = 0.6
cache_tokens = 100000
role_gain = 1.25
role_change_s = 5
cold_start_s = 20
steady_price = 1.0
cheap_price = 0.3
steady_floor = 2
most = 8
cheap_per_data_centre = 2

[[stream]]
customer = "dairy"
service = "llm"
class = "interactive"
rate = 3
prompt_tokens = 300
output_tokens = 30
shared_tokens = 128

[[stream]]
customer = "tender-house"
service = "llm"
class = "long"
rate = 0.5
prompt_tokens = 4000
output_tokens = 200
cheap = true

[[policy]]
name = "ours"
route = "expected_cost"
admission = "fair_share"
placement = "adaptive"
priorities = "class"

[[policy]]
name = "round robin"
route = "round_robin"
admission = "first_come"
placement = "fixed"
"#;

fn run(faults: &str, policy: usize) -> PolicyResult {
    let text = format!("{SMALL}\n{faults}");
    let experiment = Experiment::parse(&text).unwrap();
    let requests = workload::generate(&experiment, 7);
    replay::replay(&experiment, &experiment.policy[policy], &requests, 7)
}

fn accounted(result: &PolicyResult) -> u64 {
    let answered: u64 = result.classes.values().map(|times| times.answered).sum();
    answered + result.refused.values().sum::<u64>() + result.failed
}

#[test]
fn same_seed_gives_the_same_result() {
    let texts = [0, 0].map(|policy| serde_json::to_string(&run("", policy)).unwrap());
    assert_eq!(texts[0], texts[1]);
}

#[test]
fn every_request_is_answered_or_refused_under_both_policies() {
    for policy in 0..2 {
        let result = run("", policy);
        assert_eq!(accounted(&result), result.offered);
        assert_eq!(result.failed, 0);
    }
}

#[test]
fn crash_silence_and_reclaim_lose_no_request() {
    let faults = r#"
[[fault]]
kind = "crash"
at_s = 8
service = "llm"
upstream = 0
back_s = 10

[[fault]]
kind = "silent"
at_s = 16
service = "llm"
upstream = 1
for_s = 10

[[fault]]
kind = "reclaim"
at_s = 24
data_centre = "pest-b"
notice_s = 0
unavailable_s = 30
"#;
    let result = run(faults, 0);
    assert_eq!(result.failed, 0);
    assert_eq!(accounted(&result), result.offered);
    assert!(result.resumed > 0);
}

#[test]
fn withdrawn_key_starts_nothing_more() {
    let fault = "[[fault]]\nkind = \"key_withdrawn\"\nat_s = 0\ncustomer = \"dairy\"\n";
    let result = run(fault, 0);
    assert_eq!(result.classes["interactive"].answered, 0);
    assert!(result.classes["long"].answered > 0);
}

#[test]
fn stalled_reviews_end_once_they_go_on() {
    let fault = "[[fault]]\nkind = \"stalled_reviews\"\nat_s = 5\nfor_s = 20\ncustomer = \"tender-house\"\n";
    let result = run(fault, 0);
    assert_eq!(result.classes["long"].answered, result.classes["long"].offered);
}

#[test]
fn engine_reads_urgent_prompts_first_and_makes_every_token() {
    let experiment = Experiment::parse(SMALL).unwrap();
    let mut engine = EngineModel::new(&experiment.service[0], EngineRole::Mixed, 1);
    let work = |attempt, priority, prompt_tokens| EngineWork {
        attempt,
        priority,
        prompt_tokens,
        imported_tokens: 0,
        output_tokens: 3,
        prefixes: Vec::new().into(),
        stalled: false,
    };
    engine.accept(work(1, 2, 4_000));
    engine.begin_step().unwrap();
    engine.end_step();
    engine.accept(work(2, 0, 100));
    let mut outputs = Vec::new();
    while engine.begin_step().is_some() {
        outputs.extend(engine.end_step());
    }
    let finished = outputs.iter().filter_map(|output| match output {
        EngineOutput::Finished { attempt } => Some(*attempt),
        EngineOutput::Token { .. } => None,
    });
    assert_eq!(finished.collect::<Vec<_>>(), [2, 1]);
    let tokens = outputs
        .iter()
        .filter(|output| matches!(output, EngineOutput::Token { .. }))
        .count();
    assert_eq!(tokens, 6);
}

#[test]
fn fair_shares_follow_weights_and_never_exceed_demand() {
    let close = |dues: Vec<f64>, wanted: &[f64]| {
        assert!(
            dues.iter()
                .zip(wanted)
                .all(|(due, wanted)| (due - wanted).abs() < 1e-6),
            "{dues:?}"
        );
    };
    close(
        fair_shares(100.0, &[(10.0, 1.0), (200.0, 1.0), (200.0, 2.0)]),
        &[10.0, 30.0, 60.0],
    );
    close(fair_shares(100.0, &[(10.0, 1.0), (20.0, 1.0)]), &[10.0, 20.0]);
}

#[test]
fn experiments_of_the_repository_are_valid() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../experiments");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let experiment =
            Experiment::parse(&text).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        assert_eq!(
            Some(experiment.name.as_str()),
            path.file_stem().and_then(|stem| stem.to_str())
        );
        let ours = |policy: &PolicySpec| policy.name == "ours";
        assert!(experiment.policy.iter().any(ours) && experiment.policy.len() > 2);
        count += 1;
    }
    assert!(count >= 8);
}
