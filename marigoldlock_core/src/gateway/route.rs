//! Routes, services and keys that are in force.

use std::sync::Arc;
use std::time::Duration;

use marigoldlock_wire::prelude::*;

/// What may be done again with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by events; runs again only from the last event on, and only if it is resumable.
    Stream {
        /// Whether another upstream may go on after the last event.
        resumable: bool,
    },
}

impl CallKind {
    /// True if a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// True if the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Share of a route's requests that one service gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TrafficShare {
    /// The service.
    pub service: ServiceId,
    /// Weight against the route's other shares.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// Name, for logs.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time to the final answer.
    pub timeout: Duration,
    /// Latency objective.
    pub target_latency: Duration,
    /// Longest pause between two events of an answer on time.
    pub gap_target: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that serve the route.
    pub shares: Vec<TrafficShare>,
    /// Most upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// True if no key is asked for.
    pub is_anonymous: bool,
}

impl RouteRule {
    /// Service for a request whose draw, from 0 to 1, is `draw`.
    pub fn service(&self, draw: f64) -> Option<&ServiceId> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = draw * f64::from(total);
        for share in &self.shares {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares
            .iter()
            .rfind(|share| share.weight > 0)
            .map(|share| &share.service)
    }
}

/// What is known of a service's model engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineRule {
    /// Memory of one engine, in tokens.
    pub kv_tokens: u64,
    /// Memory of a token, in bytes.
    pub kv_bytes: u64,
    /// Time that a change of role takes once running work is done.
    pub role_change: Duration,
}

/// Bounds on how many upstreams may be ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingRule {
    /// Fewest upstreams in a data centre.
    pub min: u32,
    /// Most upstreams in a data centre.
    pub max: u32,
    /// Time until a new upstream serves.
    pub boot: Duration,
    /// Price of reclaimable capacity against the price of the rest.
    pub spot_price: Option<f64>,
    /// Price of an upstream by data centre.
    pub prices: FastMap<DataCentre, f64>,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name.
    pub name: ServiceId,
    /// Connections that one of its upstreams accepts from all instances together.
    pub max_connections: u32,
    /// Present if its upstreams are model engines.
    pub engine: Option<EngineRule>,
    /// Present if upstreams of the service can be ordered.
    pub scaling: Option<ScalingRule>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time to send a head.
    pub header_timeout: Duration,
    /// Longest time that a connection stays open without a request.
    pub idle_timeout: Duration,
}

/// Customer behind a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyOwner {
    /// The customer.
    pub customer: CustomerId,
    /// Rank of the customer; goes before the route's.
    pub priority: Option<u8>,
}

/// One version of the settings, whole.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Version; only grows.
    pub version: u64,
    /// Routes of each host, longest prefix first.
    routes: FastMap<String, Vec<Arc<RouteRule>>>,
    services: FastMap<ServiceId, ServiceRule>,
    keys: Option<FastMap<String, KeyOwner>>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

impl GatewaySettings {
    /// Settings from their parts; `keys` is `None` if no route asks for one.
    pub fn new(
        version: u64,
        rules: Vec<RouteRule>,
        services: Vec<ServiceRule>,
        keys: Option<FastMap<String, KeyOwner>>,
        limits: CallerLimits,
    ) -> Self {
        let mut routes: FastMap<String, Vec<Arc<RouteRule>>> = FastMap::default();
        for rule in rules {
            routes.entry(rule.host.clone()).or_default().push(Arc::new(rule));
        }
        for host in routes.values_mut() {
            host.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|rule| (rule.name.clone(), rule))
            .collect();
        Self {
            version,
            routes,
            services,
            keys,
            limits,
        }
    }

    /// Route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let rules = self
            .routes
            .get(host)
            .or_else(|| self.routes.get(strip_port(host)))?;
        rules.iter().find(|rule| path.starts_with(&rule.path_prefix))
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRule> {
        self.services.values()
    }

    /// True if routes ask for keys.
    pub fn has_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// Owner of a key.
    pub fn key_owner(&self, key: &str) -> Option<&KeyOwner> {
        self.keys.as_ref()?.get(key)
    }
}

fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
