//! Creating, listing and withdrawing customers' keys.

use std::sync::Arc;

use axum::Json;
use axum::extract::rejection::JsonRejection;
use axum::extract::{Path, State};
use marigoldlock_core::keys::{KEY_BYTES, KeyHash, generate_key, hash_key};
use marigoldlock_core::settings::{SettingsChange, SettingsPath};
use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};
use toml::{Table, Value};

use super::AdminContext;
use super::operator::Operator;
use super::settings::{ChangeAnswer, parse_path, publish};
use crate::front::Rejection;

/// Request to create a key for a customer.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NewKeyRequest {
    /// The customer.
    pub customer: String,
    /// Id of the key; generated if missing.
    #[serde(default)]
    pub id: Option<String>,
    /// Remark for operators.
    #[serde(default)]
    pub note: String,
}

/// A new key.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct NewKeyAnswer {
    /// Id of the key.
    pub id: String,
    /// The key itself; it is not stored and can't be shown again.
    pub key: String,
    /// Settings version from which on the key works.
    pub version: LogPosition,
}

/// A key without its secret.
#[derive(Debug, Serialize)]
pub(super) struct KeySummary {
    id: String,
    customer: CustomerId,
    hash: KeyHash,
    withdrawn: bool,
    note: String,
}

/// `POST /admin/v1/keys/{team}`.
pub(super) async fn create(
    operator: Operator,
    State(context): State<Arc<AdminContext>>,
    Path(team): Path<String>,
    request: Result<Json<NewKeyRequest>, JsonRejection>,
) -> Result<Json<NewKeyAnswer>, Rejection> {
    let Json(request) = request.map_err(json_rejection)?;
    let id = request
        .id
        .unwrap_or_else(|| format!("k{:08x}", rand::random::<u32>()));
    let path = key_path(&team, &id)?;
    operator.may_write(&path)?;
    let active = context.settings.active();
    if active.value(&path).is_some() {
        let message = format!("{path}: a key with this id is there already");
        return Err(Rejection::with_message(ResultCode::VersionConflict, message));
    }
    let key = generate_key(&rand::random::<[u8; KEY_BYTES]>());
    let body = Table::from_iter([
        ("hash".to_owned(), Value::from(hash_key(&key).to_string())),
        ("customer".to_owned(), Value::from(request.customer)),
        ("note".to_owned(), Value::from(request.note)),
    ]);
    let change = SettingsChange {
        path: path.to_string(),
        body: Some(body.to_string()),
        // If two requests create the same id concurrently, the later one must not replace the key of the first.
        expect: Some(active.version()),
        author: operator.name,
    };
    let version = publish(&context, change).await?;
    Ok(Json(NewKeyAnswer { id, key, version }))
}

/// `DELETE /admin/v1/keys/{team}/{id}`.
pub(super) async fn withdraw(
    operator: Operator,
    State(context): State<Arc<AdminContext>>,
    Path((team, id)): Path<(String, String)>,
) -> Result<Json<ChangeAnswer>, Rejection> {
    let path = key_path(&team, &id)?;
    operator.may_write(&path)?;
    let change = SettingsChange {
        path: format!("{path}/withdrawn"),
        body: Some("value = true".to_owned()),
        expect: None,
        author: operator.name,
    };
    let version = publish(&context, change).await?;
    Ok(Json(ChangeAnswer { path, version }))
}

/// `GET /admin/v1/keys/{team}`.
pub(super) async fn list(
    operator: Operator,
    State(context): State<Arc<AdminContext>>,
    Path(team): Path<String>,
) -> Result<Json<Vec<KeySummary>>, Rejection> {
    operator.may_read(&parse_path(&format!("teams/{team}/keys"))?)?;
    let active = context.settings.active();
    let keys = active
        .team(&team)
        .into_iter()
        .flat_map(|settings| settings.keys.values());
    let listed = keys.map(|key| KeySummary {
        id: key.id.clone(),
        customer: key.customer.clone(),
        hash: key.hash,
        withdrawn: key.withdrawn,
        note: key.note.clone(),
    });
    Ok(Json(listed.collect()))
}

fn json_rejection(refused: JsonRejection) -> Rejection {
    let code = match refused {
        JsonRejection::MissingJsonContentType(_) => ResultCode::UnsupportedMediaType,
        JsonRejection::JsonSyntaxError(_) => ResultCode::MalformedJson,
        JsonRejection::BytesRejection(_) => ResultCode::BodyTooLarge,
        _ => ResultCode::InvalidField,
    };
    Rejection::with_message(code, refused.body_text())
}

fn key_path(team: &str, id: &str) -> Result<SettingsPath, Rejection> {
    parse_path(&format!("teams/{team}/keys/{id}"))
}
