//! Authentication and permissions of operators.

use std::sync::Arc;

use axum::extract::FromRequestParts;
use axum::http::header;
use axum::http::request::Parts;
use marigoldlock_core::keys::{FreshnessVerdict, bearer_token, hash_key};
use marigoldlock_core::settings::SettingsPath;
use marigoldlock_wire::prelude::*;

use super::AdminContext;
use crate::front::Rejection;

/// Name under which the operator set by the process flag publishes changes.
const ROOT_NAME: &str = "root";

/// Operator authenticated by the token of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Operator {
    /// Name under which changes are published.
    pub(super) name: String,
    /// The only team whose settings the operator may access; `None` for all teams and the fleet.
    team: Option<TeamId>,
    read_only: bool,
}

impl Operator {
    /// Returns an error if the operator may not read the path.
    pub(super) fn may_read(&self, path: &SettingsPath) -> Result<(), Rejection> {
        match &self.team {
            Some(team) if path.team_name() != Some(team.as_str()) => Err(self.refusal(path)),
            _ => Ok(()),
        }
    }

    /// Returns an error if the operator may not write the path.
    pub(super) fn may_write(&self, path: &SettingsPath) -> Result<(), Rejection> {
        self.may_read(path)?;
        if self.read_only {
            return Err(self.refusal(path));
        }
        Ok(())
    }

    fn refusal(&self, path: &SettingsPath) -> Rejection {
        let message = format!("Operator {} may not do this at {path}.", self.name);
        Rejection::with_message(ResultCode::TeamNotAllowed, message)
    }
}

impl FromRequestParts<Arc<AdminContext>> for Operator {
    type Rejection = Rejection;

    async fn from_request_parts(parts: &mut Parts, context: &Arc<AdminContext>) -> Result<Self, Rejection> {
        let value = parts.headers.get(header::AUTHORIZATION);
        let value = value.ok_or_else(|| Rejection::new(ResultCode::MissingKey))?;
        let text = value
            .to_str()
            .map_err(|_| Rejection::new(ResultCode::UnknownKey))?;
        let token = bearer_token(text).ok_or_else(|| Rejection::new(ResultCode::MissingKey))?;
        let hash = hash_key(token);
        if context.root_hash == Some(hash) {
            return Ok(Self {
                name: ROOT_NAME.to_owned(),
                team: None,
                read_only: false,
            });
        }
        // With stale settings, the token of an operator that has been removed could still be accepted.
        if let FreshnessVerdict::Refuse(code) = context.settings.verdict(context.clock.now()) {
            return Err(Rejection::new(code));
        }
        let active = context.settings.active();
        let found = active
            .operator(&hash)
            .ok_or_else(|| Rejection::new(ResultCode::UnknownKey))?;
        Ok(Self {
            name: found.name.to_owned(),
            team: found.team.cloned(),
            read_only: found.settings.read_only,
        })
    }
}
