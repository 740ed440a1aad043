//! Runs the settings commands as processes against a log stand-in.

use std::process::{Command, Output};

use marigoldlock_standin::prelude::*;
use serde_json::Value;

struct Operator {
    log_url: String,
}

impl Operator {
    async fn run(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldctl"));
        command.args(arguments).args(["--log-url", &self.log_url]);
        tokio::task::spawn_blocking(move || command.output().unwrap())
            .await
            .unwrap()
    }

    async fn json(&self, arguments: &[&str]) -> Value {
        let output = self.run(&[arguments, &["--json"]].concat()).await;
        assert!(
            output.status.success(),
            "{arguments:?}: {}",
            String::from_utf8_lossy(&output.stderr)
        );
        serde_json::from_slice(&output.stdout).unwrap_or_default()
    }

    async fn error(&self, arguments: &[&str]) -> String {
        let output = self.run(arguments).await;
        assert!(!output.status.success(), "{arguments:?}");
        String::from_utf8(output.stderr).unwrap()
    }
}

async fn start() -> (LogStandin, Operator) {
    let log = LogStandin::start(LogOptions::default()).await.unwrap();
    let log_url = format!("http://{}", log.address());
    (log, Operator { log_url })
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_are_checked_compared_published_and_shown() {
    let (log, operator) = start().await;
    let path = "teams/a/customers/acme/weight";
    operator
        .json(&["customers", "create", "acme", "--team", "a", "--weight", "2"])
        .await;
    let seen = operator.json(&["config", "show", path]).await;
    assert_eq!(seen["body"], "value = 2.0\n");

    operator.json(&["config", "check", path, "--value", "3"]).await;
    let difference = operator.json(&["config", "diff", path, "--value", "3"]).await;
    let lines = difference["lines"].as_array().unwrap();
    assert_eq!(lines[..], [format!("- {path} = 2.0"), format!("+ {path} = 3")]);
    let refused = operator
        .error(&["config", "publish", path, "--value", "-3"])
        .await;
    assert!(
        refused.contains("6001 InvalidSettings") && refused.contains("(line 1)"),
        "{refused}"
    );

    let expect = seen["version"].to_string();
    operator
        .json(&["config", "publish", path, "--value", "3", "--expect", &expect])
        .await;
    let late = operator
        .error(&["config", "publish", path, "--value", "4", "--expect", &expect])
        .await;
    assert!(late.contains("6002 VersionConflict"), "{late}");
    let history = operator.run(&["config", "history", path]).await;
    let history = String::from_utf8(history.stdout).unwrap();
    assert_eq!(history.lines().count(), 2, "{history}");
    log.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_created_withdrawn_and_go_with_their_customer() {
    let (log, operator) = start().await;
    operator
        .json(&["customers", "create", "acme", "--team", "a"])
        .await;
    let made = operator
        .json(&[
            "keys",
            "create",
            "--team",
            "a",
            "--customer",
            "acme",
            "--id",
            "k1",
        ])
        .await;
    assert!(made["key"].as_str().unwrap().starts_with("mgl_"));
    let orphan = operator
        .error(&["keys", "create", "--team", "a", "--customer", "nobody"])
        .await;
    assert!(orphan.contains("6001 InvalidSettings"), "{orphan}");
    let taken = operator
        .error(&[
            "keys",
            "create",
            "--team",
            "a",
            "--customer",
            "acme",
            "--id",
            "k1",
        ])
        .await;
    assert!(taken.contains("is there already"), "{taken}");

    operator.json(&["keys", "withdraw", "k1", "--team", "a"]).await;
    let listed = operator.json(&["keys", "list", "--team", "a"]).await;
    assert_eq!(
        (&listed["id"], &listed["withdrawn"]),
        (&Value::from("k1"), &Value::from(true))
    );
    assert!(!listed.to_string().contains(made["key"].as_str().unwrap()));

    operator
        .json(&["customers", "remove", "acme", "--team", "a"])
        .await;
    let left = operator.json(&["config", "show", "teams/a"]).await;
    assert!(!left.to_string().contains("k1"), "{left}");
    log.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_append_answer_publishes_once() {
    let (log, operator) = start().await;
    log.faults().update(|plan| {
        plan.method = Some("POST".into());
        plan.drop_answer = CallBudget::Next(1);
    });
    operator
        .json(&["customers", "create", "acme", "--team", "a"])
        .await;
    assert_eq!(log.records("settings", 0).records.len(), 1);
    log.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn log_that_refuses_is_reported_with_its_number() {
    let (log, operator) = start().await;
    log.faults().update(|plan| plan.refuse = CallBudget::Every);
    let refused = operator.error(&["config", "show", "teams/a"]).await;
    assert!(refused.contains("3009 LogUnavailable"), "{refused}");
    log.close().await;
}
