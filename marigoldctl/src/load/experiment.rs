//! Experiment files.

use eyre::{Result, ensure};
use marigoldlock_core::routing::WorkClass;
use marigoldlock_wire::engine::EngineRole;
use marigoldlock_wire::platform::CapacityKind;
use serde::Deserialize;

/// One experiment: a deployment, its customers, faults and the policies to compare.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment and, without extension, of its result files.
    pub name: String,
    /// Seeds; each policy runs once with each.
    pub seeds: Vec<u64>,
    /// Time for which requests arrive in a run.
    pub seconds: f64,
    /// The entry instances and the delays between them and the upstreams.
    pub entry: EntrySpec,
    /// The services.
    pub service: Vec<ServiceSpec>,
    /// The request streams.
    pub stream: Vec<StreamSpec>,
    /// Faults to inject.
    #[serde(default)]
    pub fault: Vec<FaultSpec>,
    /// Latency targets by class.
    pub targets: TargetSpec,
    /// The policies to compare.
    pub policy: Vec<PolicySpec>,
}

/// The entry instances.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySpec {
    /// Number of instances.
    pub instances: usize,
    /// Data centres; instances and upstreams are assigned to them in turn.
    pub data_centres: Vec<String>,
    /// One-way latency between two data centres.
    pub between_ms: f64,
    /// Interval of an upstream's load reports.
    pub report_interval_ms: f64,
    /// Age of a report when it arrives.
    pub report_lag_ms: f64,
    /// Interval of the heartbeats to the peers.
    pub heartbeat_ms: f64,
    /// Time until a heartbeat arrives.
    pub heartbeat_delay_ms: f64,
    /// Time for which a caller keeps using the same instance.
    pub address_s: f64,
    /// Time until a change shows in the platform's instance list.
    pub list_lag_s: f64,
    /// Time without progress after which an attempt is aborted.
    pub silence_s: f64,
}

/// One service and its upstreams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Steady upstreams at the start.
    pub steady: usize,
    /// Cheap upstreams at the start.
    #[serde(default)]
    pub cheap: usize,
    /// True if the upstreams are engines whose roles and number placement may change.
    #[serde(default)]
    pub placed: bool,
    /// Requests that one upstream runs concurrently.
    pub slots: u32,
    /// Prefill speed without running streams, in tokens per second.
    #[serde(default = "unlimited")]
    pub prefill_tokens_per_s: f64,
    /// Prompt tokens prefilled in one step while streams run.
    #[serde(default = "default_chunk")]
    pub chunk_tokens: u64,
    /// Base duration of a decode step, before the share of each stream.
    pub step_ms: f64,
    /// Time that each running stream adds to a step.
    pub step_per_stream_ms: f64,
    /// Size of the prefix cache, in tokens.
    #[serde(default)]
    pub cache_tokens: u64,
    /// Factor by which a prefill engine is faster and a decode engine runs more streams than a mixed engine.
    #[serde(default = "one")]
    pub role_gain: f64,
    /// Time that a role change takes.
    #[serde(default)]
    pub role_change_s: f64,
    /// Time from an order until the upstream is up.
    #[serde(default)]
    pub cold_start_s: f64,
    /// Price of a steady upstream per hour.
    #[serde(default)]
    pub steady_price: f64,
    /// Price of a cheap upstream per hour.
    #[serde(default)]
    pub cheap_price: f64,
    /// Minimum number of steady upstreams that placement keeps.
    #[serde(default)]
    pub steady_floor: u32,
    /// Maximum number of upstreams that placement orders.
    #[serde(default)]
    pub most: u32,
    /// Maximum number of cheap upstreams in one data centre.
    #[serde(default)]
    pub cheap_per_data_centre: u32,
}

/// One request stream of a customer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamSpec {
    /// Customer that sends the requests.
    pub customer: String,
    /// The customer's weight.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Service that the requests call.
    pub service: String,
    /// Class of the requests.
    pub class: WorkClass,
    /// Mean requests per second.
    pub rate: f64,
    /// Mean prompt tokens.
    pub prompt_tokens: f64,
    /// Mean output tokens.
    pub output_tokens: f64,
    /// Prompt tokens that requests with the same template have in common.
    #[serde(default)]
    pub shared_tokens: u64,
    /// Number of prompt templates.
    #[serde(default = "default_templates")]
    pub templates: u64,
    /// True if the requests may run on cheap capacity.
    #[serde(default)]
    pub cheap: bool,
    /// Pairs of a start in seconds and the rate's factor from then on; the factor is 1 before the first.
    #[serde(default)]
    pub shape: Vec<(f64, f64)>,
    /// Number of callers; each chooses its instance independently.
    #[serde(default = "default_callers")]
    pub callers: usize,
}

/// Fault to inject.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, tag = "kind", rename_all = "snake_case")]
pub enum FaultSpec {
    /// An upstream crashes without notice.
    Crash {
        /// When.
        at_s: f64,
        /// Service of the upstream.
        service: String,
        /// Which one, counted from 0.
        upstream: usize,
        /// Time until it is back, without its cache and requests.
        back_s: f64,
    },
    /// An upstream hangs: connections stay open, but it answers nothing.
    Silent {
        /// When.
        at_s: f64,
        /// Service of the upstream.
        service: String,
        /// Which one, counted from 0.
        upstream: usize,
        /// How long.
        for_s: f64,
    },
    /// An upstream runs at reduced speed.
    Slow {
        /// When.
        at_s: f64,
        /// Service of the upstream.
        service: String,
        /// Which one, counted from 0.
        upstream: usize,
        /// How long.
        for_s: f64,
        /// Factor by which each step takes longer.
        factor: f64,
    },
    /// All cheap upstreams of a data centre are reclaimed.
    Reclaim {
        /// When the notice appears in the list.
        at_s: f64,
        /// Data centre.
        data_centre: String,
        /// Time between the notice and the removal.
        notice_s: f64,
        /// Time, from the notice on, for which the platform has no cheap capacity there.
        unavailable_s: f64,
    },
    /// The streams of a customer's long work stall.
    StalledReviews {
        /// When.
        at_s: f64,
        /// How long.
        for_s: f64,
        /// Customer.
        customer: String,
    },
    /// A customer's key is withdrawn.
    KeyWithdrawn {
        /// When.
        at_s: f64,
        /// Customer.
        customer: String,
    },
}

/// Latency targets within which an answer counts towards goodput.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// Time to the first token of interactive work.
    pub interactive_first_ms: f64,
    /// Mean time between tokens of interactive work.
    pub interactive_between_ms: f64,
    /// Time to the first token of standard work.
    pub standard_first_ms: f64,
    /// Mean time between tokens of standard work.
    pub standard_between_ms: f64,
    /// Total time of long work, which is also its deadline.
    pub long_whole_s: f64,
    /// Deadline of interactive requests, counted from arrival; an answer after it is useless.
    pub interactive_deadline_s: f64,
    /// Deadline of standard requests, counted from arrival; an answer after it is useless.
    pub standard_deadline_s: f64,
}

/// Routing policy.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Lowest expected time to the first token.
    ExpectedCost,
    /// Round robin.
    RoundRobin,
    /// Fewest requests in flight according to the load reports.
    LeastInFlight,
    /// Random upstream.
    Random,
}

/// Admission policy.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionKind {
    /// Fair shares, with capacity reserved for the urgent classes.
    FairShare,
    /// First come, first served.
    FirstCome,
}

/// Placement policy.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum PlacementKind {
    /// Roles and capacity follow demand.
    Adaptive,
    /// Roles follow demand; the number of upstreams is fixed.
    RolesOnly,
    /// Roles and the number of upstreams are fixed.
    Fixed,
}

/// Priority that is sent to the engines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum PriorityKind {
    /// Same priority for every request.
    #[default]
    None,
    /// Priority by class.
    Class,
    /// Priority by class, with short standard prompts first.
    Prompt,
}

/// A policy to compare.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicySpec {
    /// Name of the policy.
    pub name: String,
    /// Routing.
    pub route: RouteKind,
    /// Admission.
    pub admission: AdmissionKind,
    /// Placement.
    pub placement: PlacementKind,
    /// Priority that is sent to the engines.
    #[serde(default)]
    pub priorities: PriorityKind,
    /// Roles that the first upstreams of a placed service start with; the others are mixed.
    #[serde(default)]
    pub roles: Vec<EngineRole>,
}

impl Experiment {
    /// Parses an experiment file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not TOML of the expected form, has no instance or data centre, or if a
    /// stream names a service that the experiment does not define.
    pub fn parse(text: &str) -> Result<Self> {
        let experiment: Self = toml::from_str(text)?;
        ensure!(
            experiment.entry.instances > 0,
            "an experiment needs at least one instance"
        );
        ensure!(
            !experiment.entry.data_centres.is_empty(),
            "an experiment needs at least one data centre"
        );
        for stream in &experiment.stream {
            let known = experiment
                .service
                .iter()
                .any(|service| service.name == stream.service);
            ensure!(
                known,
                "a stream of customer {} names the undefined service {}",
                stream.customer,
                stream.service
            );
        }
        Ok(experiment)
    }
}

impl TargetSpec {
    /// Time from arrival to the deadline, in seconds.
    pub fn deadline_s(&self, class: WorkClass) -> f64 {
        match class {
            WorkClass::Interactive => self.interactive_deadline_s,
            WorkClass::Standard => self.standard_deadline_s,
            WorkClass::Long => self.long_whole_s,
        }
    }
}

impl ServiceSpec {
    /// Price of an upstream per second.
    pub fn price_per_s(&self, kind: CapacityKind) -> f64 {
        let hourly = match kind {
            CapacityKind::Steady => self.steady_price,
            CapacityKind::Cheap => self.cheap_price,
        };
        hourly / 3_600.0
    }
}

fn unlimited() -> f64 {
    1e9
}

fn default_chunk() -> u64 {
    256
}

fn one() -> f64 {
    1.0
}

fn default_weight() -> u32 {
    1
}

fn default_templates() -> u64 {
    1
}

fn default_callers() -> usize {
    4
}
