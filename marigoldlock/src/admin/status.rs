//! `GET /admin/v1/status`: status of one instance for operators.

use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use marigoldlock_core::keys::FreshnessVerdict;
use marigoldlock_wire::prelude::*;
use serde::{Deserialize, Serialize};

use super::AdminContext;
use super::operator::Operator;
use crate::control::HeldDuty;
use crate::dispatch::{QueueStatus, UpstreamStatus};
use crate::front::RefusalCount;
use crate::members::MemberStatus;

/// Status of an instance, and its view of the other instances and the upstreams.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub address: String,
    /// True once the instance is shutting down.
    pub leaving: bool,
    /// Number of the result code with which all requests are refused; `None` while requests are served.
    pub refuses: Option<u16>,
    /// Settings version in force.
    pub settings_version: LogPosition,
    /// Time since the settings were last known to be the newest, in milliseconds.
    pub settings_age_ms: Option<u64>,
    /// True if the last read of the log failed.
    pub log_failing: bool,
    /// The other instances.
    pub members: Vec<MemberStatus>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamStatus>,
    /// Running and waiting requests, by service.
    pub queues: Vec<QueueStatus>,
    /// Refused and failed requests since the start of the instance.
    pub refusals: Vec<RefusalCount>,
    /// Holders of the duties according to the control stream.
    pub duties: Vec<DutyStatus>,
    /// Number of orders that are not settled.
    pub outstanding_orders: usize,
    /// Number of frozen usage windows that are not known to have been reported.
    pub unreported_windows: usize,
}

/// A duty and its holder.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DutyStatus {
    /// The duty.
    pub duty: String,
    /// The instance that holds it; `None` after a resignation.
    pub holder: Option<InstanceId>,
    /// Position of the winning claim.
    pub epoch: Epoch,
}

/// `GET /admin/v1/status`.
pub(super) async fn status(_: Operator, State(context): State<Arc<AdminContext>>) -> Json<InstanceStatus> {
    let front = &context.front;
    let now = context.clock.now();
    let state = context.settings.state();
    let control = context.control.status().await;
    let refuses = match state.verdict(now) {
        FreshnessVerdict::Serve => None,
        FreshnessVerdict::Refuse(code) => Some(code.number()),
    };
    Json(InstanceStatus {
        instance: context.instance.clone(),
        incarnation: context.incarnation,
        data_centre: front.data_centre.clone(),
        address: front.address.clone(),
        leaving: front.is_leaving(),
        refuses,
        settings_version: state.active.version(),
        settings_age_ms: state.age(now).map(|age| age.as_millis() as u64),
        log_failing: state.log.is_failing,
        members: front.members.list().await,
        upstreams: front.dispatch.upstreams().await,
        queues: front.dispatch.queues().await,
        refusals: front.refusals.list(),
        duties: control.duties.iter().map(duty_status).collect(),
        outstanding_orders: control.outstanding_orders,
        unreported_windows: control.unreported_windows,
    })
}

fn duty_status(held: &HeldDuty) -> DutyStatus {
    DutyStatus {
        duty: held.duty.to_string(),
        holder: held.holder.as_ref().map(|holder| holder.instance.clone()),
        epoch: held.epoch,
    }
}
