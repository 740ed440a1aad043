//! Routes, services and API keys of one version of the settings.

use std::sync::Arc;
use std::time::Duration;

use marigoldlock_wire::prelude::*;

use super::allowance::CustomerAllowance;

/// Whether a request can be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Must run at most once.
    NonIdempotent,
    /// Answered with a stream of events. Runs again only after the last event received, and only if it is
    /// resumable.
    Stream {
        /// Whether another upstream can continue after the last event.
        resumable: bool,
    },
}

impl CallKind {
    /// True if a request can be sent again although it may have run.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// True if the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TrafficShare {
    /// The service.
    pub service: ServiceId,
    /// Weight relative to the route's other shares.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// Name, for logs.
    pub name: String,
    /// Host name that callers use.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub path_prefix: String,
    /// Whether requests can be retried.
    pub kind: CallKind,
    /// Longest time to the end of the response.
    pub timeout: Duration,
    /// Latency objective.
    pub target_latency: Duration,
    /// Longest pause between two events of a response that counts as on time.
    pub gap_target: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that serve the route, with their weights.
    pub shares: Vec<TrafficShare>,
    /// Largest number of upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// True if the route requires no API key.
    pub is_anonymous: bool,
}

impl RouteRule {
    /// Picks the service for a request from a random number between 0 and 1.
    pub fn service(&self, random: f64) -> Option<&ServiceId> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut remaining = random * f64::from(total);
        for share in &self.shares {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares
            .iter()
            .rfind(|share| share.weight > 0)
            .map(|share| &share.service)
    }
}

/// Properties of a service's model engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineRule {
    /// KV cache capacity of one engine, in tokens.
    pub kv_tokens: u64,
    /// KV cache size of one token, in bytes.
    pub kv_bytes: u64,
    /// Duration of a role change after the running requests have finished.
    pub role_change: Duration,
}

/// Limits on the number of upstreams that may be ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingRule {
    /// Minimum number of upstreams in a data centre.
    pub min: u32,
    /// Maximum number of upstreams in a data centre.
    pub max: u32,
    /// Time until a new upstream accepts requests.
    pub boot: Duration,
    /// Price of spot capacity relative to on-demand capacity.
    pub spot_price: Option<f64>,
    /// Price of an upstream by data centre.
    pub prices: FastMap<DataCentre, f64>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name.
    pub name: ServiceId,
    /// Connections that each upstream accepts from all instances together.
    pub max_connections: u32,
    /// Present if the upstreams are model engines.
    pub engine: Option<EngineRule>,
    /// Present if upstreams of the service can be ordered.
    pub scaling: Option<ScalingRule>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time to send a request head.
    pub header_timeout: Duration,
    /// Longest time for which a connection stays open without a request.
    pub idle_timeout: Duration,
}

/// Owner of an API key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyOwner {
    /// The customer.
    pub customer: CustomerId,
    /// Priority of the customer; overrides the route's.
    pub priority: Option<u8>,
}

/// A complete version of the settings.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Version; only increases.
    pub version: u64,
    /// Routes of each host, longest path prefix first.
    routes: FastMap<String, Vec<Arc<RouteRule>>>,
    services: FastMap<ServiceId, ServiceRule>,
    keys: Option<FastMap<String, KeyOwner>>,
    allowances: FastMap<CustomerId, CustomerAllowance>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl GatewaySettings {
    /// Creates settings; `keys` is `None` if no route requires a key.
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
            allowances: FastMap::default(),
            limits,
        }
    }

    /// Sets the allowances of customers; the others have no limit.
    pub fn with_allowances(self, allowances: FastMap<CustomerId, CustomerAllowance>) -> Self {
        Self { allowances, ..self }
    }

    /// Allowances of the customers that have one.
    pub fn allowances(&self) -> &FastMap<CustomerId, CustomerAllowance> {
        &self.allowances
    }

    /// Finds the route with the longest path prefix that matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let rules = self
            .routes
            .get(host)
            .or_else(|| self.routes.get(strip_port(host)))?;
        rules.iter().find(|rule| path.starts_with(&rule.path_prefix))
    }

    /// The longest timeout of any route.
    pub fn longest_timeout(&self) -> Duration {
        let timeouts = self.routes.values().flatten().map(|rule| rule.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Shortest latency objective of the routes that a service serves.
    pub fn shortest_target(&self, service: &ServiceId) -> Option<Duration> {
        let rules = self.routes.values().flatten();
        rules
            .filter(|rule| rule.shares.iter().any(|share| share.service == *service))
            .map(|rule| rule.target_latency)
            .min()
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRule> {
        self.services.values()
    }

    /// True if routes require API keys.
    pub fn has_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// Finds the owner of an API key.
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
