//! Hosts that run the ordered upstreams.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use eyre::OptionExt;
use futures::FutureExt;
use futures::future::BoxFuture;
use marigoldlock_wire::FastMap;
use marigoldlock_wire::ids::{ServiceId, UpstreamId};
use marigoldlock_wire::platform::ListKind;

use crate::engine::{EngineOptions, EngineSeen, EngineStandin};
use crate::faults::FaultInjector;
use crate::service::{SeenCalls, ServiceOptions, ServiceStandin};

/// Running upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostedUpstream {
    /// Whether it is an engine or a plain service.
    pub kind: ListKind,
    /// Address that serves requests.
    pub address: SocketAddr,
}

/// Starts and stops upstreams for the ordering stand-in.
pub trait UpstreamHost: Debug + Send + Sync {
    /// Starts an upstream of a service.
    fn start<'a>(
        &'a self,
        upstream: &'a UpstreamId,
        service: &'a ServiceId,
    ) -> BoxFuture<'a, eyre::Result<HostedUpstream>>;

    /// Stops an upstream immediately, including the calls running on it.
    fn stop<'a>(&'a self, upstream: &'a UpstreamId) -> BoxFuture<'a, ()>;
}

/// Kind and options of a service's upstreams.
#[derive(Clone, Debug)]
pub enum UpstreamTemplate {
    /// Model engines.
    Engine(Box<EngineOptions>),
    /// Plain services.
    Service(Box<ServiceOptions>),
}

#[derive(Clone, Debug)]
enum LocalUpstream {
    Engine(Arc<EngineStandin>),
    Service(Arc<ServiceStandin>),
}

impl LocalUpstream {
    async fn start(template: UpstreamTemplate) -> eyre::Result<Self> {
        Ok(match template {
            UpstreamTemplate::Engine(options) => {
                Self::Engine(Arc::new(EngineStandin::start(*options).await?))
            }
            UpstreamTemplate::Service(options) => {
                Self::Service(Arc::new(ServiceStandin::start(*options).await?))
            }
        })
    }

    fn hosted(&self) -> HostedUpstream {
        match self {
            Self::Engine(engine) => HostedUpstream {
                kind: ListKind::Engine,
                address: engine.address(),
            },
            Self::Service(service) => HostedUpstream {
                kind: ListKind::Service,
                address: service.address(),
            },
        }
    }

    fn faults(&self) -> &FaultInjector {
        match self {
            Self::Engine(engine) => engine.faults(),
            Self::Service(service) => service.faults(),
        }
    }
}

/// Runs upstreams as stand-ins in this process.
///
/// Stopped upstreams are kept, so that their recorded calls can be checked afterwards.
#[derive(Debug, Default)]
pub struct LocalHost {
    templates: FastMap<ServiceId, UpstreamTemplate>,
    upstreams: Mutex<FastMap<UpstreamId, LocalUpstream>>,
}

impl LocalHost {
    /// Creates a host for the given services.
    pub fn new(templates: impl IntoIterator<Item = (ServiceId, UpstreamTemplate)>) -> Self {
        Self {
            templates: templates.into_iter().collect(),
            upstreams: Mutex::default(),
        }
    }

    /// Fault injector of an upstream that this host started.
    pub fn faults(&self, upstream: &UpstreamId) -> Option<FaultInjector> {
        let upstreams = self.upstreams();
        upstreams.get(upstream).map(|upstream| upstream.faults().clone())
    }

    /// Recorded requests and orders of an engine that this host started.
    pub fn engine_seen(&self, upstream: &UpstreamId) -> Option<EngineSeen> {
        match self.upstreams().get(upstream)? {
            LocalUpstream::Engine(engine) => Some(engine.seen()),
            LocalUpstream::Service(_) => None,
        }
    }

    /// Recorded calls of a plain service that this host started.
    pub fn service_seen(&self, upstream: &UpstreamId) -> Option<SeenCalls> {
        match self.upstreams().get(upstream)? {
            LocalUpstream::Engine(_) => None,
            LocalUpstream::Service(service) => Some(service.seen()),
        }
    }

    /// Every upstream that this host started, including stopped ones.
    pub fn names(&self) -> Vec<UpstreamId> {
        let mut names: Vec<UpstreamId> = self.upstreams().keys().cloned().collect();
        names.sort_unstable();
        names
    }

    fn upstreams(&self) -> MutexGuard<'_, FastMap<UpstreamId, LocalUpstream>> {
        self.upstreams.lock().expect("no panic while held")
    }
}

impl UpstreamHost for LocalHost {
    fn start<'a>(
        &'a self,
        upstream: &'a UpstreamId,
        service: &'a ServiceId,
    ) -> BoxFuture<'a, eyre::Result<HostedUpstream>> {
        async move {
            let template = self.templates.get(service).cloned();
            let template = template.ok_or_eyre("the service has no template")?;
            let started = LocalUpstream::start(template).await?;
            let hosted = started.hosted();
            self.upstreams().insert(upstream.clone(), started);
            Ok(hosted)
        }
        .boxed()
    }

    fn stop<'a>(&'a self, upstream: &'a UpstreamId) -> BoxFuture<'a, ()> {
        async move {
            let stopped = self.upstreams().get(upstream).cloned();
            match stopped {
                Some(LocalUpstream::Engine(engine)) => engine.stop().await,
                Some(LocalUpstream::Service(service)) => service.stop().await,
                None => {}
            }
        }
        .boxed()
    }
}
