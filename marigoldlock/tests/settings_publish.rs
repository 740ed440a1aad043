//! Publishing settings with lost responses, an unavailable log and concurrent operators.

use std::sync::Arc;

use marigoldlock::platform::{HttpLogClient, LogClient};
use marigoldlock::settings::{PublishError, SettingsReplica, read_history};
use marigoldlock_core::settings::SettingsChange;
use marigoldlock_standin::prelude::*;
use marigoldlock_wire::codec;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::{Envelope, SETTINGS_STREAM};

const WEIGHT: &str = "teams/a/customers/acme/weight";

fn change(path: &str, body: &str) -> SettingsChange {
    SettingsChange {
        path: path.into(),
        body: Some(body.into()),
        expect: None,
        author: "eva".into(),
    }
}

fn weight_of(weight: u32) -> SettingsChange {
    change(WEIGHT, &format!("value = {weight}"))
}

fn encoded(id: u128, records: Vec<SettingsChange>) -> Vec<u8> {
    codec::encode(&Envelope {
        id: RecordId(id),
        writer: "eva".into(),
        incarnation: Incarnation(1),
        records,
    })
}

fn client(log: &LogStandin) -> Arc<dyn LogClient> {
    Arc::new(HttpLogClient::new(&format!("http://{}", log.address())))
}

async fn start() -> (LogStandin, SettingsReplica) {
    let log = LogStandin::start(LogOptions::default()).await.unwrap();
    log.append(
        SETTINGS_STREAM,
        &encoded(1, vec![change("teams/a/customers/acme", "weight = 1")]),
    );
    let replica = SettingsReplica::open(client(&log)).await.unwrap();
    (log, replica)
}

async fn publish(
    replica: &mut SettingsReplica,
    change: SettingsChange,
) -> Result<LogPosition, (ResultCode, String)> {
    let published = replica.publish(vec![change], &"eva".into(), Incarnation(1)).await;
    let verdicts = published.map_err(|error| (error.code(), error.to_string()))?;
    verdicts[0]
        .clone()
        .map_err(|rejection| (rejection.code(), rejection.to_string()))
}

async fn current_weight(log: &LogStandin) -> f64 {
    let replica = SettingsReplica::open(client(log)).await.unwrap();
    replica.fold().active().customer("acme").unwrap().weight
}

#[tokio::test]
async fn the_second_of_two_racing_operators_is_refused() {
    let (log, mut eva) = start().await;
    let mut tom = SettingsReplica::open(client(&log)).await.unwrap();
    let seen = Some(tom.fold().version());
    publish(&mut eva, weight_of(2)).await.unwrap();
    let late = publish(
        &mut tom,
        SettingsChange {
            expect: seen,
            ..weight_of(3)
        },
    )
    .await
    .unwrap_err();
    assert_eq!(late.0, ResultCode::VersionConflict);
    assert_eq!(current_weight(&log).await, 2.0);
    // Without an expected version the later change overwrites the earlier one.
    log.append(SETTINGS_STREAM, &encoded(7, vec![weight_of(3)]));
    assert_eq!(current_weight(&log).await, 3.0);
    log.close().await;
}

#[tokio::test]
async fn concurrent_operators_do_not_overwrite_each_other() {
    let (log, mut eva) = start().await;
    let mut tom = SettingsReplica::open(client(&log)).await.unwrap();
    let (first, second) = tokio::join!(publish(&mut eva, weight_of(2)), publish(&mut tom, weight_of(3)));
    let weight = current_weight(&log).await;
    match (first, second) {
        // One operator read the other's change before checking its own.
        (Ok(first), Ok(second)) => assert_eq!(weight, if first > second { 2.0 } else { 3.0 }),
        (Ok(_), Err((code, _))) => assert_eq!((code, weight), (ResultCode::VersionConflict, 2.0)),
        (Err((code, _)), Ok(_)) => assert_eq!((code, weight), (ResultCode::VersionConflict, 3.0)),
        (Err(first), Err(second)) => panic!("{first:?} {second:?}"),
    }
    log.close().await;
}

#[tokio::test]
async fn lost_append_response_is_resolved_by_reading_the_log() {
    let (log, mut eva) = start().await;
    log.faults().update(|plan| {
        plan.method = Some("POST".into());
        plan.drop_answer = CallBudget::Next(1);
    });
    publish(&mut eva, weight_of(2)).await.unwrap();
    assert_eq!(log.records(SETTINGS_STREAM, 0).records.len(), 2);
    assert_eq!(current_weight(&log).await, 2.0);
    log.close().await;
}

#[tokio::test]
async fn duplicate_append_does_not_revert_a_newer_change() {
    let (log, mut eva) = start().await;
    let repeated = encoded(5, vec![weight_of(2)]);
    log.append(SETTINGS_STREAM, &repeated);
    publish(&mut eva, weight_of(3)).await.unwrap();
    log.append(SETTINGS_STREAM, &repeated);
    assert_eq!(current_weight(&log).await, 3.0);
    let history = read_history(client(&log), &WEIGHT.parse().unwrap())
        .await
        .unwrap();
    assert_eq!(history.last().unwrap().verdict_text(), "repeated");
    // The same change with a new record id does revert it, so the id is what prevents it above.
    log.append(SETTINGS_STREAM, &encoded(6, vec![weight_of(2)]));
    assert_eq!(current_weight(&log).await, 2.0);
    log.close().await;
}

#[tokio::test]
async fn refused_change_is_not_appended() {
    let (log, mut eva) = start().await;
    let refused = publish(&mut eva, weight_of(0)).await.unwrap_err();
    assert_eq!(refused.0, ResultCode::InvalidSettings);
    assert!(
        refused
            .1
            .starts_with("teams/a/customers/acme/weight (line 1): 0 is not within"),
        "{}",
        refused.1
    );
    assert_eq!(log.records(SETTINGS_STREAM, 0).records.len(), 1);
    log.close().await;
}

#[tokio::test]
async fn change_that_the_log_refuses_is_reported_as_not_run() {
    let (log, mut eva) = start().await;
    log.faults().update(|plan| {
        plan.method = Some("POST".into());
        plan.refuse = CallBudget::Every;
    });
    let refused = publish(&mut eva, weight_of(2)).await.unwrap_err();
    assert_eq!(
        (refused.0, refused.0.execution()),
        (ResultCode::LogUnavailable, Execution::NotRun)
    );
    log.faults().clear();
    assert_eq!(current_weight(&log).await, 1.0);
    log.close().await;
}

#[tokio::test]
async fn change_that_cannot_be_read_back_is_reported_as_unconfirmed() {
    let (log, mut eva) = start().await;
    log.faults().update(|plan| {
        plan.method = Some("POST".into());
        plan.drop_answer = CallBudget::Every;
    });
    let appending = tokio::spawn(async move { publish(&mut eva, weight_of(2)).await });
    // Once the append is stored and its response lost, the log refuses all calls.
    while log.records(SETTINGS_STREAM, 0).records.len() < 2 {
        tokio::task::yield_now().await;
    }
    log.faults().update(|plan| {
        plan.method = None;
        plan.drop_answer = CallBudget::None;
        plan.refuse = CallBudget::Every;
    });
    match appending.await.unwrap() {
        // The read succeeded before the log refused calls.
        Ok(_) => {}
        Err((code, _)) => assert_eq!(code, ResultCode::ChangeNotConfirmed),
    }
    log.faults().clear();
    assert_eq!(current_weight(&log).await, 2.0);
    log.close().await;
}

#[tokio::test]
async fn invalid_records_are_skipped() {
    let (log, mut eva) = start().await;
    log.append(SETTINGS_STREAM, b"not a record");
    log.append(
        SETTINGS_STREAM,
        &encoded(8, vec![weight_of(0), change("teams/a/customers/zeta", "")]),
    );
    publish(&mut eva, weight_of(4)).await.unwrap();
    assert_eq!(current_weight(&log).await, 4.0);
    assert!(eva.fold().active().customer("zeta").is_some());
    log.close().await;
}

#[tokio::test]
async fn expired_records_without_a_snapshot_are_reported() {
    let (log, _) = start().await;
    log.append(SETTINGS_STREAM, &encoded(2, vec![weight_of(2)]));
    log.expire(SETTINGS_STREAM, 1);
    let opened = SettingsReplica::open(client(&log)).await;
    assert!(matches!(opened, Err(PublishError::Expired { first: 1 })));
    log.close().await;
}
