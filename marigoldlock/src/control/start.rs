//! Start of the control duties of an instance.

use std::sync::Arc;
use std::time::Duration;

use marigoldlock_core::authority::ControlTiming;
use marigoldlock_wire::platform::InstanceList;
use marigoldlock_wire::record::CONTROL_STREAM;
use marigoldlock_wire::record::authority::HolderId;
use tokio::sync::watch;
use tokio::task::AbortHandle;

use super::{ControlHandle, ControlSink, ControlSources, HttpOrderClient, HttpReportClient, ReportClient};
use crate::cli::InstanceOptions;
use crate::clock::TimeSource;
use crate::log_stream::{FollowLimits, StreamFollower};
use crate::members::{InstanceInfo, MemberHandle};
use crate::platform::LogClient;
use crate::usage::UsageMeter;

/// Length of a usage window.
const USAGE_WINDOW: Duration = Duration::from_secs(60);

/// Time for which an instance must be missing from the members before its processes count as terminated.
const GONE_AFTER: Duration = Duration::from_secs(60);

/// Parts of the instance that the control duties use.
pub struct ControlParts<'a> {
    /// Command-line options of the instance.
    pub options: &'a InstanceOptions,
    /// Identity and addresses of the instance.
    pub own: &'a InstanceInfo,
    /// The platform's log.
    pub log: Arc<dyn LogClient>,
    /// Clock of the instance.
    pub clock: Arc<dyn TimeSource>,
    /// The other instances.
    pub members: MemberHandle,
    /// The platform's list.
    pub list: watch::Receiver<Arc<InstanceList>>,
    /// Meter of finished requests.
    pub meter: UsageMeter,
}

/// Starts the control actor, the task that follows the control stream and the task that sends ticks.
pub fn start_control(parts: ControlParts<'_>) -> (ControlHandle, [AbortHandle; 2]) {
    let ControlParts {
        options,
        own,
        log,
        clock,
        members,
        list,
        meter,
    } = parts;
    let reports = options
        .usage_url
        .as_deref()
        .map(|url| Arc::new(HttpReportClient::new(url)) as Arc<dyn ReportClient>);
    let control = ControlHandle::start(ControlSources {
        own: HolderId {
            instance: own.instance.clone(),
            incarnation: own.incarnation,
        },
        data_centre: own.data_centre.clone(),
        clock: Arc::clone(&clock),
        log: Arc::clone(&log),
        orders: Arc::new(HttpOrderClient::new(options.ordering_url.as_deref())),
        reports,
        members: Some(members),
        list,
        meter,
        window: USAGE_WINDOW,
        gone_after: GONE_AFTER,
        timing: ControlTiming::default(),
        fault: None,
    });
    let follower = StreamFollower::new(log, clock, CONTROL_STREAM, FollowLimits::default());
    let follow = tokio::spawn(follower.run(ControlSink::new(control.clone())));
    let ticks = tokio::spawn(control.clone().run_ticks());
    (control, [follow.abort_handle(), ticks.abort_handle()])
}
