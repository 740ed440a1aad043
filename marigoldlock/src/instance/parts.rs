//! Construction of an instance's actors and background tasks.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::Duration;

use kameo::actor::{ActorRef, Spawn as _};
use marigoldlock_core::admission::{AdmissionControl, AdmissionParams};
use marigoldlock_core::membership::{MemberLimits, OwnIdentity};
use marigoldlock_core::routing::{ExpectedCost, RouteParams, RouteTable};
use marigoldlock_core::settings::RelayCandidate;
use marigoldlock_wire::platform::InstanceList;
use marigoldlock_wire::record::{CALLS_STREAM, JOBS_STREAM};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio_util::task::TaskTracker;

use crate::calls::{CallRunner, CallService, CallsSink, ClaimHandle, HomeHandle};
use crate::cli::InstanceOptions;
use crate::clock::TimeSource;
use crate::control::{ControlParts, start_control};
use crate::dispatch::{DispatchActor, DispatchArgs, DispatchHandle};
use crate::front::{ChatJobRunner, FrontContext, FrontLimits, FrontParts};
use crate::jobs::{JobHandle, JobsSink};
use crate::log_stream::{FollowLimits, RecordWriter, StreamFollower, WriterLimits};
use crate::members::{HeartbeatExchange, InstanceInfo, MemberHandle, MemberSources};
use crate::peer::PeerPool;
use crate::placement::{PlacementPlanner, PlannerContext};
use crate::platform::LogClient;
use crate::settings::{
    NetworkPeers, SettingsActor, SettingsFollower, SettingsHandle, SettingsState, SnapshotWriter,
};
use crate::upstream::UpstreamClient;
use crate::usage::UsageMeter;

/// Handles to the actors and the state shared by request handlers.
pub(super) struct InstanceParts {
    pub(super) context: Arc<FrontContext>,
    pub(super) exchange: Arc<HeartbeatExchange>,
    pub(super) dispatch: DispatchHandle,
    pub(super) members: MemberHandle,
    pub(super) tasks: Vec<AbortHandle>,
}

impl InstanceParts {
    /// Starts the actors and the background tasks.
    pub(super) fn build(
        options: &InstanceOptions,
        own: &InstanceInfo,
        log: Arc<dyn LogClient>,
        clock: Arc<dyn TimeSource>,
        list: &watch::Receiver<Arc<InstanceList>>,
    ) -> Self {
        let (settings, settings_actor) = start_settings();
        let dispatch = start_dispatch(&clock, own);
        let identity = OwnIdentity {
            instance: own.instance.clone(),
            incarnation: own.incarnation,
            data_centre: own.data_centre.clone(),
        };
        let limits = MemberLimits::default();
        let members = MemberHandle::start(MemberSources {
            own: identity,
            clock: Arc::clone(&clock),
            limits,
        });
        let home = HomeHandle::start(own.incarnation, Arc::clone(&clock));
        let (claims, call_tasks) = start_claims(own, &log, &clock);
        let (jobs, job_tasks) = start_jobs(own, &log, &clock);
        let peers = PeerPool::default();
        let upstreams = UpstreamClient::default();
        let leaving = Arc::new(AtomicBool::new(false));
        let runner = CallRunner {
            dispatch: dispatch.clone(),
            upstreams: upstreams.clone(),
            clock: Arc::clone(&clock),
        };
        let calls = CallService {
            home: home.clone(),
            claims: claims.clone(),
            runner,
            members: members.clone(),
            peers: peers.clone(),
            tracker: TaskTracker::new(),
        };
        let meter = UsageMeter::default();
        let (control, control_tasks) = start_control(ControlParts {
            options,
            own,
            log: Arc::clone(&log),
            clock: Arc::clone(&clock),
            members: members.clone(),
            list: list.clone(),
            meter: meter.clone(),
        });
        let planner = PlacementPlanner::new(PlannerContext {
            incarnation: own.incarnation,
            clock: Arc::clone(&clock),
            settings: settings.clone(),
            dispatch: dispatch.clone(),
            control: control.clone(),
            scaling_enabled: options.ordering_url.is_some(),
        });
        let exchange = Arc::new(HeartbeatExchange {
            own: own.clone(),
            clock: Arc::clone(&clock),
            members: members.clone(),
            dispatch: dispatch.clone(),
            list: list.clone(),
            settings: settings.clone(),
            settings_actor,
            home,
            plain: claims,
            control,
            peers,
            leaving: Arc::clone(&leaving),
            sequence: AtomicU64::new(0),
        });
        let mut tasks = Vec::from(follow_settings(own, log, &exchange));
        tasks.extend(call_tasks);
        tasks.extend(control_tasks);
        tasks.push(spawn(planner.run()));
        tasks.extend(job_tasks);
        let context = FrontContext::new(FrontParts {
            name: own.instance.clone(),
            incarnation: own.incarnation,
            data_centre: own.data_centre.clone(),
            address: own.address.clone(),
            clock,
            settings,
            dispatch: dispatch.clone(),
            members: members.clone(),
            upstreams,
            calls,
            jobs,
            usage: meter,
            limits: FrontLimits {
                body_idle_timeout: options.send_timeout(),
            },
            leaving,
        });
        let context = Arc::new(context);
        tasks.push(run_jobs(&context, members.clone(), options.heartbeat()));
        Self {
            context,
            exchange,
            dispatch,
            members,
            tasks,
        }
    }
}

/// Starts the actor that claims plain keys, and the tasks that write and follow the calls stream.
fn start_claims(
    own: &InstanceInfo,
    log: &Arc<dyn LogClient>,
    clock: &Arc<dyn TimeSource>,
) -> (ClaimHandle, [AbortHandle; 2]) {
    let (writer, write) = RecordWriter::new(
        Arc::clone(log),
        CALLS_STREAM,
        own.instance.clone(),
        own.incarnation,
        WriterLimits::default(),
    );
    let claims = ClaimHandle::start(own.incarnation, Arc::clone(clock), writer);
    let follower = StreamFollower::new(
        Arc::clone(log),
        Arc::clone(clock),
        CALLS_STREAM,
        FollowLimits::default(),
    );
    let follow = follower.run(CallsSink::new(claims.clone()));
    (claims, [spawn(write), spawn(follow)])
}

/// Starts the job actor, and the tasks that write and follow the jobs stream.
fn start_jobs(
    own: &InstanceInfo,
    log: &Arc<dyn LogClient>,
    clock: &Arc<dyn TimeSource>,
) -> (JobHandle, [AbortHandle; 2]) {
    let (writer, write) = RecordWriter::new(
        Arc::clone(log),
        JOBS_STREAM,
        own.instance.clone(),
        own.incarnation,
        WriterLimits::default(),
    );
    let jobs = JobHandle::start(own.incarnation, Arc::clone(clock), Arc::clone(log), writer);
    let follower = StreamFollower::new(
        Arc::clone(log),
        Arc::clone(clock),
        JOBS_STREAM,
        FollowLimits::default(),
    );
    let follow = follower.run(JobsSink::new(jobs.clone()));
    (jobs, [spawn(write), spawn(follow)])
}

/// Starts the task that claims and runs jobs.
fn run_jobs(context: &Arc<FrontContext>, members: MemberHandle, interval: Duration) -> AbortHandle {
    let runner = Arc::new(ChatJobRunner(Arc::clone(context)));
    let jobs = context.jobs.clone();
    let context = Arc::clone(context);
    spawn(jobs.run(runner, members, interval, move || context.is_leaving()))
}

fn start_settings() -> (SettingsHandle, ActorRef<SettingsActor>) {
    let (sender, receiver) = watch::channel(SettingsState::default());
    let actor = SettingsActor::spawn_with_mailbox(sender, kameo::mailbox::unbounded());
    (SettingsHandle::new(receiver), actor)
}

/// Starts the tasks that follow the settings and write snapshots of them.
fn follow_settings(
    own: &InstanceInfo,
    log: Arc<dyn LogClient>,
    exchange: &HeartbeatExchange,
) -> [AbortHandle; 2] {
    let peers = Arc::new(NetworkPeers::new(
        exchange.members.clone(),
        exchange.peers.clone(),
    ));
    let follower = SettingsFollower {
        log: Arc::clone(&log),
        peers: peers.clone(),
        clock: Arc::clone(&exchange.clock),
        handle: exchange.settings.clone(),
        actor: exchange.settings_actor.clone(),
        own: RelayCandidate {
            instance: own.instance.clone(),
            data_centre: own.data_centre.clone(),
        },
    };
    let writer = SnapshotWriter {
        log,
        peers,
        clock: Arc::clone(&exchange.clock),
        handle: exchange.settings.clone(),
        actor: exchange.settings_actor.clone(),
        instance: own.instance.clone(),
        incarnation: own.incarnation,
    };
    [spawn(follower.run()), spawn(writer.run())]
}

fn start_dispatch(clock: &Arc<dyn TimeSource>, own: &InstanceInfo) -> DispatchHandle {
    let policy = Box::new(ExpectedCost::new(rand::random()));
    let args = DispatchArgs {
        table: RouteTable::new(RouteParams::default(), policy),
        admission: AdmissionControl::new(AdmissionParams::default()),
        clock: Arc::clone(clock),
        instance: own.instance.clone(),
        data_centre: own.data_centre.clone(),
    };
    DispatchHandle::new(DispatchActor::spawn_with_mailbox(
        args,
        kameo::mailbox::unbounded(),
    ))
}

/// Spawns a task that the instance aborts when it stops.
pub(super) fn spawn(task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
    tokio::spawn(task).abort_handle()
}
