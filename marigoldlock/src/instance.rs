//! One running entry instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::Duration;

use async_trait::async_trait;
use eyre::{Result, bail};
use kameo::actor::{ActorRef, Spawn as _};
use log::{info, warn};
use marigoldlock_core::admission::{AdmissionControl, AdmissionParams};
use marigoldlock_core::keys::FreshnessVerdict;
use marigoldlock_core::membership::{MemberLimits, OwnIdentity};
use marigoldlock_core::routing::{ExpectedCost, RouteParams, RouteTable};
use marigoldlock_core::settings::SpreadMember;
use marigoldlock_wire::peer::{PeerRequest, PeerResponse};
use marigoldlock_wire::platform::InstanceList;
use marigoldlock_wire::prelude::*;
use marigoldlock_wire::record::{CALLS_STREAM, JOBS_STREAM};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio_util::task::TaskTracker;

use crate::admin::{AdminContext, admin_router};
use crate::calls::{CallRunner, CallService, CallsSink, HomeHandle, PlainHandle};
use crate::cli::InstanceOptions;
use crate::clock::{BootClock, TimeSource};
use crate::control::{ControlHandle, ControlParts, start_control};
use crate::dispatch::{DispatchActor, DispatchHandle, DispatchSources};
use crate::front::{
    ChatJobs, ConnectionLimits, FrontContext, FrontLimits, FrontParts, FrontServer, front_router,
    serve_forwarded,
};
use crate::jobs::{JobHandle, JobsSink};
use crate::log_stream::{FollowLimits, RecordWriter, StreamFollower, WriterLimits};
use crate::members::{
    HeartbeatExchange, MemberHandle, MemberSources, OwnAddresses, ReportPace, poll_list, poll_upstreams,
};
use crate::peer::{PeerHandler, PeerPool, PeerServer};
use crate::placing::{PlacementPlanner, PlannerParts};
use crate::platform::{HttpListClient, HttpLogClient, ListClient, LogClient};
use crate::settings::{
    NetworkPeers, SettingsActor, SettingsFollower, SettingsHandle, SettingsServer, SettingsState,
    SnapshotWriter,
};
use crate::upstream::UpstreamClient;
use crate::usage::UsageMeter;

/// Longest wait for running peer requests at shutdown.
const PEER_DRAIN: Duration = Duration::from_secs(5);

/// Longest wait for the resignation of duties at shutdown.
const CONTROL_LEAVE: Duration = Duration::from_secs(5);

/// A running entry instance.
pub struct Instance {
    options: InstanceOptions,
    context: Arc<FrontContext>,
    front: FrontServer,
    peer_server: PeerServer,
    peer_address: SocketAddr,
    calls: TaskTracker,
    control: ControlHandle,
    exchange: Arc<HeartbeatExchange>,
    tasks: Vec<AbortHandle>,
}

impl Instance {
    /// Starts an instance; it serves once its settings are in force.
    ///
    /// # Errors
    ///
    /// Fails if a flag's value can't be used or an address can't be bound.
    pub async fn start(options: InstanceOptions) -> Result<Self> {
        options.check()?;
        let log = Arc::new(HttpLogClient::new(&options.log_url));
        let list = Arc::new(HttpListClient::new(&options.list_url));
        Self::start_with(options, log, list, Arc::new(BootClock)).await
    }

    /// Starts an instance with the given platform and clock.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub async fn start_with(
        options: InstanceOptions,
        log: Arc<dyn LogClient>,
        list: Arc<dyn ListClient>,
        clock: Arc<dyn TimeSource>,
    ) -> Result<Self> {
        crate::metrics::init();
        let listener = std::net::TcpListener::bind(options.listen);
        let listener = match listener {
            Ok(listener) => listener,
            Err(err) => bail!("--listen {}: {err}", options.listen),
        };
        let address = options.advertise.unwrap_or(listener.local_addr()?);
        let (peer_server, peer_listener) = PeerServer::bind(options.peer_listen).await?;
        let peer_address = options.peer_advertise.unwrap_or(peer_server.address());
        let own = own_addresses(&options, clock.as_ref(), address, peer_address);
        let (feed, list_feed) = watch::channel(Arc::new(InstanceList::default()));
        let parts = InstanceParts::build(&options, &own, Arc::clone(&log), clock, &list_feed);
        let admin = admin_context(&options, &own, &parts, log);
        let mut tasks = parts.tasks;
        let control = parts.exchange.control.clone();
        let exchange = Arc::clone(&parts.exchange);
        let dispatch = parts.dispatch.clone();
        tasks.push(spawn(poll_list(
            list,
            options.poll(),
            feed,
            dispatch.clone(),
            parts.members.clone(),
        )));
        tasks.push(spawn(poll_upstreams(
            list_feed,
            report_pace(&options),
            own.instance.clone(),
            own.data_centre.clone(),
            dispatch,
        )));
        tasks.push(spawn(Arc::clone(&parts.exchange).run(options.heartbeat())));
        let settings = SettingsServer {
            clock: Arc::clone(&parts.context.clock),
            handle: parts.context.settings.clone(),
            actor: parts.exchange.settings_actor.clone(),
        };
        let handler = InstanceHandler {
            context: Arc::clone(&parts.context),
            exchange: parts.exchange,
            settings,
        };
        peer_server.serve(peer_listener, Arc::new(handler));
        let router = front_router(Arc::clone(&parts.context)).merge(admin_router(Arc::new(admin)));
        let front = FrontServer::start(listener, connection_limits(&options), router)?;
        info!(instance = options.name, address:%, peer_address:%; "instance started");
        let calls = parts.context.calls.tracker.clone();
        Ok(Self {
            options,
            context: parts.context,
            front,
            peer_server,
            peer_address,
            calls,
            control,
            exchange,
            tasks,
        })
    }

    /// Address that callers use.
    pub fn address(&self) -> SocketAddr {
        self.front.address()
    }

    /// Address that peers use.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// What the request handlers share.
    pub fn context(&self) -> &Arc<FrontContext> {
        &self.context
    }

    /// Waits until the settings are in force; false if that takes too long.
    pub async fn wait_ready(&self, timeout: Duration) -> bool {
        let settings = self.context.settings.clone();
        let clock = &self.context.clock;
        let ready = settings.wait_for(|state| state.verdict(clock.now()) == FreshnessVerdict::Serve);
        tokio::time::timeout(timeout, ready).await.unwrap_or(false)
    }

    /// Shuts down without cutting a request: leaves the address answer, lets what runs finish, then ends.
    ///
    /// Returns whether all running requests finished in time.
    pub async fn close(self) -> bool {
        info!(instance = self.options.name; "shutting down");
        self.context.set_leaving();
        self.context.calls.home.leave();
        self.control.begin_leave();
        tokio::time::sleep(Duration::from_millis(self.options.leave_notice_ms)).await;
        let finished = self
            .front
            .close(Duration::from_secs(self.options.drain_timeout_s))
            .await;
        self.calls.close();
        let calls = tokio::time::timeout(
            Duration::from_secs(self.options.drain_timeout_s),
            self.calls.wait(),
        );
        let finished = finished && calls.await.is_ok();
        // What was served during the drain is counted at the peers before this instance ends.
        self.exchange.round().await;
        if !self.control.leave(CONTROL_LEAVE).await {
            warn!(instance = self.options.name; "duties were not resigned in time; their leases run out");
        }
        let finished = self.peer_server.close(PEER_DRAIN).await && finished;
        for task in &self.tasks {
            task.abort();
        }
        if !finished {
            warn!(instance = self.options.name; "requests were still running at the end of the drain time");
        }
        finished
    }
}

fn spawn(task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
    tokio::spawn(task).abort_handle()
}

fn own_addresses(
    options: &InstanceOptions,
    clock: &dyn TimeSource,
    address: SocketAddr,
    peer_address: SocketAddr,
) -> OwnAddresses {
    OwnAddresses {
        instance: InstanceId::from(options.name.as_str()),
        incarnation: Incarnation(rand::random()),
        started_ms: clock.unix_ms(),
        data_centre: options.data_centre_id(),
        address: address.to_string(),
        peer_address: peer_address.to_string(),
    }
}

fn admin_context(
    options: &InstanceOptions,
    own: &OwnAddresses,
    parts: &InstanceParts,
    log: Arc<dyn LogClient>,
) -> AdminContext {
    AdminContext {
        instance: own.instance.clone(),
        incarnation: own.incarnation,
        clock: Arc::clone(&parts.context.clock),
        settings: parts.context.settings.clone(),
        settings_actor: parts.exchange.settings_actor.clone(),
        log,
        front: Arc::clone(&parts.context),
        control: parts.exchange.control.clone(),
        root_hash: options.admin_hash.as_deref().and_then(|hash| hash.parse().ok()),
    }
}

fn report_pace(options: &InstanceOptions) -> ReportPace {
    ReportPace {
        shortest: options.poll(),
        bytes_per_s: options.report_bytes_per_s,
    }
}

fn connection_limits(options: &InstanceOptions) -> ConnectionLimits {
    ConnectionLimits {
        connections: options.max_connections,
        header_bytes: options.max_header_bytes,
        header_timeout: options.send_timeout(),
        read_timeout: options.read_timeout(),
    }
}

/// The actors and what the handlers share.
struct InstanceParts {
    context: Arc<FrontContext>,
    exchange: Arc<HeartbeatExchange>,
    dispatch: DispatchHandle,
    members: MemberHandle,
    tasks: Vec<AbortHandle>,
}

impl InstanceParts {
    fn build(
        options: &InstanceOptions,
        own: &OwnAddresses,
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
        let (plain, call_tasks) = start_plain(own, &log, &clock);
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
            plain: plain.clone(),
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
        let planner = PlacementPlanner::new(PlannerParts {
            incarnation: own.incarnation,
            clock: Arc::clone(&clock),
            settings: settings.clone(),
            dispatch: dispatch.clone(),
            control: control.clone(),
            scales: options.ordering_url.is_some(),
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
            plain,
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
                send_silence: options.send_timeout(),
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

/// Starts what claims plain keys, and the tasks that write and follow the calls stream.
fn start_plain(
    own: &OwnAddresses,
    log: &Arc<dyn LogClient>,
    clock: &Arc<dyn TimeSource>,
) -> (PlainHandle, [AbortHandle; 2]) {
    let (writer, write) = RecordWriter::new(
        Arc::clone(log),
        CALLS_STREAM,
        own.instance.clone(),
        own.incarnation,
        WriterLimits::default(),
    );
    let plain = PlainHandle::start(own.incarnation, Arc::clone(clock), writer);
    let follower = StreamFollower::new(
        Arc::clone(log),
        Arc::clone(clock),
        CALLS_STREAM,
        FollowLimits::default(),
    );
    let follow = follower.run(CallsSink::new(plain.clone()));
    (plain, [spawn(write), spawn(follow)])
}

/// Starts what knows the jobs, and the tasks that write and follow their stream.
fn start_jobs(
    own: &OwnAddresses,
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

/// Claims and runs jobs.
fn run_jobs(context: &Arc<FrontContext>, members: MemberHandle, interval: Duration) -> AbortHandle {
    let work = Arc::new(ChatJobs(Arc::clone(context)));
    let jobs = context.jobs.clone();
    let leaving = Arc::clone(context);
    spawn(jobs.run(work, members, interval, move || leaving.is_leaving()))
}

fn start_settings() -> (SettingsHandle, ActorRef<SettingsActor>) {
    let (sender, receiver) = watch::channel(SettingsState::default());
    let actor = SettingsActor::spawn_with_mailbox(sender, kameo::mailbox::unbounded());
    (SettingsHandle::new(receiver), actor)
}

/// Follows the settings and keeps their snapshots young.
fn follow_settings(
    own: &OwnAddresses,
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
        own: SpreadMember {
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

fn start_dispatch(clock: &Arc<dyn TimeSource>, own: &OwnAddresses) -> DispatchHandle {
    let policy = Box::new(ExpectedCost::new(rand::random()));
    let sources = DispatchSources {
        table: RouteTable::new(RouteParams::default(), policy),
        admission: AdmissionControl::new(AdmissionParams::default()),
        clock: Arc::clone(clock),
        instance: own.instance.clone(),
        data_centre: own.data_centre.clone(),
    };
    DispatchHandle::new(DispatchActor::spawn_with_mailbox(
        sources,
        kameo::mailbox::unbounded(),
    ))
}

/// Serves the requests of peers.
struct InstanceHandler {
    context: Arc<FrontContext>,
    exchange: Arc<HeartbeatExchange>,
    settings: SettingsServer,
}

#[async_trait]
impl PeerHandler for InstanceHandler {
    async fn handle(&self, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Heartbeat(heartbeat) => self.exchange.answer(*heartbeat).await,
            PeerRequest::FetchSettings { after, wait_ms } => {
                let wait = Duration::from_millis(wait_ms);
                PeerResponse::Settings(self.settings.answer(after, wait).await)
            }
            PeerRequest::ForwardCall(call) => {
                PeerResponse::Call(Box::new(serve_forwarded(&self.context, *call).await))
            }
        }
    }
}

/// Waits for the signals that ask a process to end.
///
/// # Errors
///
/// Fails if the signals can't be listened for.
pub async fn wait_for_signal() -> Result<()> {
    use tokio::signal::unix::{SignalKind, signal};

    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
    Ok(())
}
