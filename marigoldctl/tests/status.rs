//! Status of a healthy and of a degraded fleet, and the output of `explain`.

use marigoldctl::explain::explanation;
use marigoldctl::status::read_fleet;
use marigoldlock_fleet::{ADMIN_TOKEN, Fleet, FleetOptions, wait_until};
use serde_json::{Value, json};
use std::process::Command;
use std::time::Duration;

async fn findings_at(fleet: &Fleet, index: usize) -> Vec<String> {
    let url = fleet.instances[index].url("");
    let status = read_fleet(&url, ADMIN_TOKEN).await.expect("a status");
    status.findings.into_iter().map(|finding| finding.what).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_healthy_fleet_is_well_and_a_killed_instance_is_named() {
    let mut fleet = Fleet::start(FleetOptions::small(3))
        .await
        .expect("the fleet starts");
    let well = wait_until(Duration::from_secs(20), async || {
        findings_at(&fleet, 0).await.is_empty()
    })
    .await;
    assert!(well, "{:?}", findings_at(&fleet, 0).await);

    let killed = fleet.instances[2].address().to_string();
    fleet.kill_instance(2);

    let findings = findings_at(&fleet, 0).await;
    assert!(findings.iter().any(|what| what.contains(&killed)), "{findings:?}");
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_customers_key_does_not_open_the_status() {
    let fleet = Fleet::start(FleetOptions::small(1))
        .await
        .expect("the fleet starts");
    let key = fleet.options().deployment.key("dairy-north");

    let refused = read_fleet(&fleet.instances[0].url(""), &key).await;

    assert!(refused.is_err_and(|err| err.to_string().contains("2002")));
    fleet.close().await;
}

#[test]
fn an_explanation_has_the_requests_lines_in_order() {
    let line = |time: u64, message: &str| match json!({"time_ms": time, "message": message, "request": "ab", "upstream": "e-1"})
    {
        Value::Object(fields) => fields,
        _ => unreachable!("an object was written"),
    };

    let text = explanation(vec![line(1_007, "route"), line(1_000, "admission")]);

    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[0].contains("0 ms  admission"), "{text}");
    assert!(
        lines[1].contains("7 ms  route") && lines[1].contains("upstream=e-1"),
        "{text}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_status_takes_the_same_environment_variables_as_the_settings_commands() {
    let fleet = Fleet::start(FleetOptions::small(1))
        .await
        .expect("the fleet starts");
    let url = fleet.instances[0].url("");

    let output = tokio::task::spawn_blocking(move || {
        Command::new(env!("CARGO_BIN_EXE_marigoldctl"))
            .arg("status")
            .env("MARIGOLDCTL_INSTANCE", url)
            .env("MARIGOLDCTL_TOKEN", ADMIN_TOKEN)
            .output()
    })
    .await
    .expect("no panic")
    .expect("the tool's own binary starts");

    assert!(output.status.success(), "{output:?}");
    fleet.close().await;
}
