//! Reading and publishing settings by path.

use std::sync::Arc;

use axum::Json;
use axum::body::Bytes;
use axum::extract::rejection::{BytesRejection, QueryRejection};
use axum::extract::{Path, Query, State};
use marigoldlock_core::settings::{SettingsChange, SettingsPath, SettingsRejection};
use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};

use super::AdminContext;
use super::operator::Operator;
use crate::front::Rejection;
use crate::settings::{CloneFold, PublishError, SettingsReplica, read_history, settings_text, version_after};

/// Settings version in force at the instance.
#[derive(Debug, Serialize)]
pub(super) struct VersionAnswer {
    version: LogPosition,
    /// Time since the version was last known to be the newest, in milliseconds.
    age_ms: Option<u64>,
}

/// Settings value at a path.
#[derive(Debug, Serialize)]
pub(super) struct SettingsAnswer {
    version: LogPosition,
    path: SettingsPath,
    body: Option<String>,
}

/// Query parameters of a change.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct ChangeQuery {
    expect: Option<LogPosition>,
    dry_run: bool,
}

/// Path and version of an accepted change.
#[derive(Debug, Serialize)]
pub(super) struct ChangeAnswer {
    pub(super) path: SettingsPath,
    pub(super) version: LogPosition,
}

/// A change in the history of a path.
#[derive(Debug, Serialize)]
pub(super) struct HistoryEntry {
    version: LogPosition,
    path: String,
    author: String,
    body: Option<String>,
    verdict: String,
}

/// `GET /admin/v1/version`.
pub(super) async fn version(_: Operator, State(context): State<Arc<AdminContext>>) -> Json<VersionAnswer> {
    let state = context.settings.state();
    let age = state.age(context.clock.now());
    Json(VersionAnswer {
        version: state.active.version(),
        age_ms: age.map(|age| age.as_millis() as u64),
    })
}

/// `GET /admin/v1/settings/{path}`.
pub(super) async fn show(
    operator: Operator,
    State(context): State<Arc<AdminContext>>,
    Path(path): Path<String>,
) -> Result<Json<SettingsAnswer>, Rejection> {
    let path = parse_path(&path)?;
    operator.may_read(&path)?;
    let active = context.settings.active();
    let body = active.value(&path).map(settings_text);
    Ok(Json(SettingsAnswer {
        version: active.version(),
        path,
        body,
    }))
}

/// `PUT /admin/v1/settings/{path}`.
pub(super) async fn replace(
    operator: Operator,
    State(context): State<Arc<AdminContext>>,
    Path(path): Path<String>,
    query: Result<Query<ChangeQuery>, QueryRejection>,
    body: Result<Bytes, BytesRejection>,
) -> Result<Json<ChangeAnswer>, Rejection> {
    let body = body.map_err(|_| Rejection::new(ResultCode::BodyTooLarge))?;
    let body = String::from_utf8(body.into()).map_err(|_| Rejection::new(ResultCode::InvalidUtf8))?;
    change(&context, &operator, &path, Some(body), &parse_query(query)?).await
}

/// `DELETE /admin/v1/settings/{path}`.
pub(super) async fn remove(
    operator: Operator,
    State(context): State<Arc<AdminContext>>,
    Path(path): Path<String>,
    query: Result<Query<ChangeQuery>, QueryRejection>,
) -> Result<Json<ChangeAnswer>, Rejection> {
    change(&context, &operator, &path, None, &parse_query(query)?).await
}

fn parse_query(query: Result<Query<ChangeQuery>, QueryRejection>) -> Result<ChangeQuery, Rejection> {
    match query {
        Ok(Query(query)) => Ok(query),
        Err(refused) => Err(Rejection::with_message(
            ResultCode::InvalidField,
            refused.body_text(),
        )),
    }
}

/// `GET /admin/v1/history/{path}`.
pub(super) async fn history(
    operator: Operator,
    State(context): State<Arc<AdminContext>>,
    Path(path): Path<String>,
) -> Result<Json<Vec<HistoryEntry>>, Rejection> {
    let path = parse_path(&path)?;
    operator.may_read(&path)?;
    let entries = read_history(Arc::clone(&context.log), &path)
        .await
        .map_err(publish_rejection)?;
    let past = entries.into_iter().map(|entry| HistoryEntry {
        version: version_after(entry.position),
        verdict: entry.verdict_text(),
        path: entry.change.path,
        author: entry.change.author,
        body: entry.change.body,
    });
    Ok(Json(past.collect()))
}

async fn change(
    context: &AdminContext,
    operator: &Operator,
    path: &str,
    body: Option<String>,
    query: &ChangeQuery,
) -> Result<Json<ChangeAnswer>, Rejection> {
    let path = parse_path(path)?;
    operator.may_write(&path)?;
    let change = SettingsChange {
        path: path.to_string(),
        body,
        expect: query.expect,
        author: operator.name.clone(),
    };
    if query.dry_run {
        let mut replica = replica(context).await?;
        replica.catch_up().await.map_err(publish_rejection)?;
        replica.check(&[change]).map_err(rejection)?;
        return Ok(Json(ChangeAnswer {
            path,
            version: replica.fold().version(),
        }));
    }
    let version = publish(context, change).await?;
    Ok(Json(ChangeAnswer { path, version }))
}

/// Publishes one change and returns the version from which on it is in force.
pub(super) async fn publish(
    context: &AdminContext,
    change: SettingsChange,
) -> Result<LogPosition, Rejection> {
    let mut replica = replica(context).await?;
    let verdicts = replica
        .publish(vec![change], &context.instance, context.incarnation)
        .await
        .map_err(publish_rejection)?;
    let verdict = verdicts.into_iter().next();
    let verdict = verdict.ok_or_else(|| Rejection::new(ResultCode::Internal))?;
    verdict.map(version_after).map_err(rejection)
}

/// Creates a replica that starts from the settings state of this instance.
async fn replica(context: &AdminContext) -> Result<SettingsReplica, Rejection> {
    let fold = context.settings_actor.ask(CloneFold).await;
    let fold = fold.map_err(|_| Rejection::new(ResultCode::InstanceLeaving))?;
    Ok(SettingsReplica::resume(Arc::clone(&context.log), fold.0))
}

pub(super) fn parse_path(path: &str) -> Result<SettingsPath, Rejection> {
    path.parse().map_err(rejection)
}

fn rejection(refused: SettingsRejection) -> Rejection {
    Rejection::with_message(refused.code(), refused.to_string())
}

fn publish_rejection(error: PublishError) -> Rejection {
    Rejection::with_message(error.code(), error.to_string())
}
