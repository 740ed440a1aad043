//! The administration API.
//!
//! | call | meaning |
//! | --- | --- |
//! | `GET /admin/v1/status` | how this instance and those around it stand |
//! | `GET /admin/v1/version` | version in force at this instance |
//! | `GET /admin/v1/settings/{path}` | value at a path, as TOML |
//! | `PUT /admin/v1/settings/{path}?expect=&dry_run=` with a TOML body | replaces the value |
//! | `DELETE /admin/v1/settings/{path}?expect=&dry_run=` | removes the value |
//! | `GET /admin/v1/history/{path}` | changes that the log still keeps |
//! | `GET /admin/v1/keys/{team}` | keys of a team |
//! | `POST /admin/v1/keys/{team}` with [`NewKeyRequest`] | creates a key |
//! | `DELETE /admin/v1/keys/{team}/{id}` | withdraws a key |
//!
//! Every call carries an operator's own token as a bearer token; customers' keys don't work here. An
//! operator of a team reads and writes the team's subtree only, one of the fleet everything. The tokens'
//! hashes stand in the settings; the first operator comes from a process flag.

mod keys;
mod operator;
mod settings;
mod status;

use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::http::{HeaderName, HeaderValue};
use axum::middleware::map_response;
use axum::response::Response;
use axum::routing::{get, post};
use kameo::actor::ActorRef;
use marigoldlock_core::keys::KeyHash;
use marigoldlock_wire::engine::REQUEST_ID_HEADER;
use marigoldlock_wire::platform::MAX_RECORD_BYTES;
use marigoldlock_wire::prelude::*;

use crate::clock::TimeSource;
use crate::control::ControlHandle;
use crate::front::FrontContext;
use crate::platform::LogClient;
use crate::settings::{SettingsActor, SettingsHandle};

pub use self::keys::{NewKeyAnswer, NewKeyRequest};
pub use self::status::{DutyStatus, InstanceStatus};

/// What the administration API works with.
pub struct AdminContext {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Start of the instance.
    pub incarnation: Incarnation,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// Settings in force.
    pub settings: SettingsHandle,
    /// The actor that folds them.
    pub settings_actor: ActorRef<SettingsActor>,
    /// The platform's log.
    pub log: Arc<dyn LogClient>,
    /// What the request handlers share.
    pub front: Arc<FrontContext>,
    /// Way to the control actor.
    pub control: ControlHandle,
    /// Hash of the token that may do everything, from a process flag.
    pub root_hash: Option<KeyHash>,
}

/// Routes of the administration API.
pub fn admin_router(context: Arc<AdminContext>) -> Router {
    Router::new()
        .route("/admin/v1/status", get(status::status))
        .route("/admin/v1/version", get(settings::version))
        .route(
            "/admin/v1/settings/{*path}",
            get(settings::show)
                .put(settings::replace)
                .delete(settings::remove),
        )
        .route("/admin/v1/history/{*path}", get(settings::history))
        .route("/admin/v1/keys/{team}", post(keys::create).get(keys::list))
        .route(
            "/admin/v1/keys/{team}/{id}",
            axum::routing::delete(keys::withdraw),
        )
        .layer(DefaultBodyLimit::max(MAX_RECORD_BYTES))
        .layer(map_response(mark_answer))
        .with_state(context)
}

/// Gives every answer a request id; one without is taken for the HTTP library's own.
async fn mark_answer(mut response: Response) -> Response {
    let id = RequestId(rand::random()).to_string();
    let value = HeaderValue::from_str(&id).expect("hex digits are a valid header value");
    response
        .headers_mut()
        .insert(HeaderName::from_static(REQUEST_ID_HEADER), value);
    response
}
