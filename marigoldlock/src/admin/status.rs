//! `GET /admin/v1/status`: what an operator has to know of one instance.

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

/// One instance as it sees itself and the others.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct InstanceStatus {
    /// Name.
    pub instance: InstanceId,
    /// Start.
    pub incarnation: Incarnation,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub address: String,
    /// True once it shuts down.
    pub leaving: bool,
    /// Number of the code with which requests are refused; `None` while they are served.
    pub refuses: Option<u16>,
    /// Settings version in force.
    pub settings_version: LogPosition,
    /// Age of the proof that the settings are current, in milliseconds.
    pub settings_age_ms: Option<u64>,
    /// True if the last read of the log failed.
    pub log_failing: bool,
    /// The other instances.
    pub members: Vec<MemberStatus>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamStatus>,
    /// Requests running and waiting, by service.
    pub queues: Vec<QueueStatus>,
    /// Refused and failed requests since the start.
    pub refusals: Vec<RefusalCount>,
    /// Who holds which duty, as the control stream says.
    pub duties: Vec<DutyStatus>,
    /// Orders that are not settled.
    pub outstanding_orders: usize,
    /// Frozen usage windows that are not known to be reported.
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

/// Tells an operator how the instance stands.
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
        log_failing: state.log_failing,
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
