//! Starting the control duties of an instance.

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

/// How long an instance is missing before its processes count as ended.
const GONE_AFTER: Duration = Duration::from_secs(60);

/// What the control duties share with the rest of the instance.
pub struct ControlParts<'a> {
    /// The instance's flags.
    pub options: &'a InstanceOptions,
    /// Who the instance is.
    pub own: &'a InstanceInfo,
    /// The platform's log.
    pub log: Arc<dyn LogClient>,
    /// The instance's clock.
    pub clock: Arc<dyn TimeSource>,
    /// The other instances.
    pub members: MemberHandle,
    /// The platform's list.
    pub list: watch::Receiver<Arc<InstanceList>>,
    /// Finished requests.
    pub meter: UsageMeter,
}

/// Starts the actor, and the tasks that follow the stream and let time pass.
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
