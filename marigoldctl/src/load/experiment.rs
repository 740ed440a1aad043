//! Experiment files.

use eyre::{Result, ensure};
use marigoldlock_core::routing::WorkClass;
use marigoldlock_wire::engine::EngineRole;
use marigoldlock_wire::platform::CapacityKind;
use serde::Deserialize;

/// One experiment: a deployment, its customers, faults, and the policies to compare.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name, also of the result files.
    pub name: String,
    /// Seeds of the runs.
    pub seeds: Vec<u64>,
    /// Length of a run.
    pub seconds: f64,
    /// The entry instances and what they exchange.
    pub entry: EntrySpec,
    /// The services.
    pub service: Vec<ServiceSpec>,
    /// The streams of requests.
    pub stream: Vec<StreamSpec>,
    /// What fails, and when.
    #[serde(default)]
    pub fault: Vec<FaultSpec>,
    /// Targets by class.
    pub targets: TargetSpec,
    /// The policies.
    pub policy: Vec<PolicySpec>,
}

/// The entry instances.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySpec {
    /// How many there are.
    pub instances: usize,
    /// Data centres, over which instances and upstreams are spread.
    pub data_centres: Vec<String>,
    /// One way between two data centres.
    pub between_ms: f64,
    /// Time between two load reports of an upstream.
    pub report_interval_ms: f64,
    /// Age of a report when it arrives.
    pub report_lag_ms: f64,
    /// Time between two heartbeats to the peers.
    pub heartbeat_ms: f64,
    /// Time that a heartbeat takes.
    pub heartbeat_delay_ms: f64,
    /// Time for which a caller keeps its address.
    pub address_s: f64,
    /// Lag of the platform's list.
    pub list_lag_s: f64,
    /// Time after which a silent attempt is given up.
    pub silence_s: f64,
}

/// One service and its upstreams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name.
    pub name: String,
    /// Steady upstreams at the start.
    pub steady: usize,
    /// Cheap upstreams at the start.
    #[serde(default)]
    pub cheap: usize,
    /// True if placement may change roles and numbers.
    #[serde(default)]
    pub placed: bool,
    /// Requests run side by side.
    pub slots: u32,
    /// Prefill speed alone, in tokens per second.
    #[serde(default = "unlimited")]
    pub prefill_tokens_per_s: f64,
    /// Prompt tokens read in one step beside running streams.
    #[serde(default = "default_chunk")]
    pub chunk_tokens: u64,
    /// Time of a step without streams or prompts.
    pub step_ms: f64,
    /// Time that each running stream adds to a step.
    pub step_per_stream_ms: f64,
    /// Prefix cache, in tokens.
    #[serde(default)]
    pub cache_tokens: u64,
    /// How much faster a prefill engine reads, and how many streams more a decode engine runs.
    #[serde(default = "one")]
    pub role_gain: f64,
    /// Time that a role change takes.
    #[serde(default)]
    pub role_change_s: f64,
    /// Time from an order to a working upstream.
    #[serde(default)]
    pub cold_start_s: f64,
    /// Price of a steady upstream per hour.
    #[serde(default)]
    pub steady_price: f64,
    /// Price of a cheap upstream per hour.
    #[serde(default)]
    pub cheap_price: f64,
    /// Fewest steady upstreams that placement keeps.
    #[serde(default)]
    pub steady_floor: u32,
    /// Most upstreams that placement orders.
    #[serde(default)]
    pub most: u32,
    /// Most cheap upstreams in one data centre.
    #[serde(default)]
    pub cheap_per_data_centre: u32,
}

/// One stream of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamSpec {
    /// Customer that sends it.
    pub customer: String,
    /// The customer's weight.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Service wanted.
    pub service: String,
    /// Class.
    pub class: WorkClass,
    /// Requests a second, on average.
    pub rate: f64,
    /// Mean prompt tokens.
    pub prompt_tokens: f64,
    /// Mean output tokens.
    pub output_tokens: f64,
    /// Prompt tokens that requests on the same template share.
    #[serde(default)]
    pub shared_tokens: u64,
    /// Templates.
    #[serde(default = "default_templates")]
    pub templates: u64,
    /// True if its work may run on cheaper capacity.
    #[serde(default)]
    pub cheap: bool,
    /// Factors of the rate from given seconds on; before the first one it is 1.
    #[serde(default)]
    pub shape: Vec<(f64, f64)>,
    /// Callers, each with an address of its own.
    #[serde(default = "default_callers")]
    pub callers: usize,
}

/// What fails.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, tag = "kind", rename_all = "snake_case")]
pub enum FaultSpec {
    /// An upstream is gone at once.
    Crash {
        /// When.
        at_s: f64,
        /// Service of the upstream.
        service: String,
        /// Which one, counted from 0.
        upstream: usize,
        /// Time until it is back, empty.
        back_s: f64,
    },
    /// An upstream goes silent: connections stay open, nothing is answered.
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
    /// An upstream runs slower.
    Slow {
        /// When.
        at_s: f64,
        /// Service of the upstream.
        service: String,
        /// Which one, counted from 0.
        upstream: usize,
        /// How long.
        for_s: f64,
        /// How many times slower.
        factor: f64,
    },
    /// All cheap upstreams of a data centre are reclaimed.
    Reclaim {
        /// When the notice appears in the list.
        at_s: f64,
        /// Data centre.
        data_centre: String,
        /// Time between the notice and the end.
        notice_s: f64,
        /// Time for which the platform has no cheap capacity there.
        unavailable_s: f64,
    },
    /// Streams of a customer's long work stand still.
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

/// Targets within which an answer counts.
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
    /// Whole time of long work.
    pub long_whole_s: f64,
    /// Time after which an interactive answer is worth nothing; the request's deadline.
    pub interactive_deadline_s: f64,
    /// Time after which a standard answer is worth nothing; the request's deadline.
    pub standard_deadline_s: f64,
}

/// Which routing policy.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Expected time to the first token.
    ExpectedCost,
    /// In turns.
    RoundRobin,
    /// Least in flight by the reports.
    LeastInFlight,
    /// Any.
    Random,
}

/// Which admission policy.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionKind {
    /// Fair shares with room for the urgent classes.
    FairShare,
    /// First come, first served.
    FirstCome,
}

/// Which placement policy.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum PlacementKind {
    /// Roles and capacity follow demand.
    Adaptive,
    /// Roles follow demand, the number of upstreams is fixed.
    RolesOnly,
    /// Nothing changes.
    Fixed,
}

/// Which priority engines are told.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum PriorityKind {
    /// The same for all.
    #[default]
    None,
    /// The class.
    Class,
    /// The class, and short standard prompts first.
    Prompt,
}

/// A policy to compare.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicySpec {
    /// Name.
    pub name: String,
    /// Routing.
    pub route: RouteKind,
    /// Admission.
    pub admission: AdmissionKind,
    /// Placement.
    pub placement: PlacementKind,
    /// Priority that engines are told.
    #[serde(default)]
    pub priorities: PriorityKind,
    /// Roles that the first upstreams of a placed service start with; the others are mixed.
    #[serde(default)]
    pub roles: Vec<EngineRole>,
}

impl Experiment {
    /// Reads an experiment.
    ///
    /// # Errors
    ///
    /// When the text is not TOML of the right form, or names what it does not define.
    pub fn parse(text: &str) -> Result<Self> {
        let experiment: Self = toml::from_str(text)?;
        ensure!(experiment.entry.instances > 0, "at least one instance is needed");
        ensure!(
            !experiment.entry.data_centres.is_empty(),
            "at least one data centre is needed"
        );
        for stream in &experiment.stream {
            let known = experiment
                .service
                .iter()
                .any(|service| service.name == stream.service);
            ensure!(
                known,
                "stream of {} names the unknown service {}",
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
