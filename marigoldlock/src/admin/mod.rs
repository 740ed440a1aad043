//! The administration API.
//!
//! | request | effect |
//! | --- | --- |
//! | `GET /admin/v1/status` | status of this instance, its members and its upstreams |
//! | `GET /admin/v1/version` | settings version in force at this instance |
//! | `GET /admin/v1/settings/{path}` | value at a path, as TOML |
//! | `PUT /admin/v1/settings/{path}?expect=&dry_run=` with a TOML body | replaces the value |
//! | `DELETE /admin/v1/settings/{path}?expect=&dry_run=` | removes the value |
//! | `GET /admin/v1/history/{path}` | changes at a path that the log still keeps |
//! | `GET /admin/v1/keys/{team}` | keys of a team |
//! | `POST /admin/v1/keys/{team}` with [`NewKeyRequest`] | creates a key |
//! | `DELETE /admin/v1/keys/{team}/{id}` | withdraws a key |
//!
//! Every request carries the token of an operator as a bearer token; customers' keys are not accepted. An
//! operator of a team may access only the subtree of that team; an operator of the fleet may access
//! everything. The settings contain the hashes of the tokens; the hash of the first operator's token comes
//! from a process flag.

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

/// State shared by the handlers of the administration API.
pub struct AdminContext {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// Settings in force.
    pub settings: SettingsHandle,
    /// Actor that owns the settings.
    pub settings_actor: ActorRef<SettingsActor>,
    /// The platform's log.
    pub log: Arc<dyn LogClient>,
    /// State shared by the handlers of callers' requests.
    pub front: Arc<FrontContext>,
    /// Handle to the control actor.
    pub control: ControlHandle,
    /// Hash of the token of the root operator, who may do everything; set by a process flag.
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
        .layer(map_response(add_request_id))
        .with_state(context)
}

/// Adds a request id to every answer; an answer without one would be treated as written by the HTTP library.
async fn add_request_id(mut response: Response) -> Response {
    let id = RequestId(rand::random()).to_string();
    let value = HeaderValue::from_str(&id).expect("hex digits are a valid header value");
    response
        .headers_mut()
        .insert(HeaderName::from_static(REQUEST_ID_HEADER), value);
    response
}
