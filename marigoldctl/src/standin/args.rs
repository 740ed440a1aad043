//! Arguments of the stand-ins.

mod engine;

use std::net::SocketAddr;
use std::str::FromStr;

use clap::Args;
use marigoldlock_standin::faults::{CallBudget, FaultPlan, OutageWindow};
use marigoldlock_standin::prelude::*;
use marigoldlock_wire::ids::{DataCentre, ServiceId};
use marigoldlock_wire::platform::CapacityKind;
use thiserror::Error;

use self::engine::EngineTuning;
use super::listing::RegistrationArgs;

/// Arguments that every stand-in has: address and faults.
#[derive(Args, Clone, Debug)]
pub(super) struct CommonArgs {
    /// Address to listen on; port 0 selects a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[command(flatten)]
    faults: FaultArgs,
}

/// Faults from the start on; `PUT /_standin/faults` replaces them.
#[derive(Args, Clone, Debug)]
#[command(next_help_heading = "Faults")]
struct FaultArgs {
    /// HTTP method of the calls that the faults below apply to [default: all].
    #[arg(long)]
    fault_method: Option<String>,
    /// Path prefix of the calls that the faults below apply to [default: all].
    #[arg(long)]
    fault_path: Option<String>,
    /// Delay before the effect, in milliseconds.
    #[arg(long, default_value_t = 0)]
    delay_ms: u64,
    /// Delay between the effect and the answer, in milliseconds.
    #[arg(long, default_value_t = 0)]
    answer_delay_ms: u64,
    /// Calls to refuse with 503 before any effect: `none`, `every` or a number.
    #[arg(long, default_value = "none")]
    refuse: CallBudget,
    /// Calls to read and never answer, without effect: `none`, `every` or a number.
    #[arg(long, default_value = "none")]
    stall: CallBudget,
    /// Calls whose connection is closed before any effect: `none`, `every` or a number.
    #[arg(long, default_value = "none")]
    drop_call: CallBudget,
    /// Calls that take effect and whose connection is closed before the answer: `none`, `every` or a number.
    #[arg(long, default_value = "none")]
    drop_answer: CallBudget,
    /// Calls that take effect and are never answered: `none`, `every` or a number.
    #[arg(long, default_value = "none")]
    stall_answer: CallBudget,
    /// Calls that an engine answers with the answer to the previous request: `none`, `every` or a number.
    #[arg(long, default_value = "none")]
    cross_answer: CallBudget,
    /// Factor by which work takes longer.
    #[arg(long)]
    slowdown: Option<f64>,
    /// Tokens after which a streamed answer stalls.
    #[arg(long)]
    stall_stream_after: Option<u64>,
    /// Tokens after which the connection of a streamed answer is closed.
    #[arg(long)]
    cut_stream_after: Option<u64>,
    /// Outage as `<from ms>:<length ms>:<refuse|stall|vanish|pause>`; may be repeated.
    #[arg(long)]
    outage: Vec<OutageWindow>,
}

impl FaultArgs {
    fn into_plan(self) -> FaultPlan {
        FaultPlan {
            method: self.fault_method,
            path: self.fault_path,
            delay_ms: self.delay_ms,
            answer_delay_ms: self.answer_delay_ms,
            refuse: self.refuse,
            stall: self.stall,
            drop_call: self.drop_call,
            drop_answer: self.drop_answer,
            stall_answer: self.stall_answer,
            cross_answer: self.cross_answer,
            slowdown: self.slowdown,
            stall_stream_after: self.stall_stream_after,
            cut_stream_after: self.cut_stream_after,
            outages: self.outage,
            ..FaultPlan::default()
        }
    }
}

/// Arguments of the log.
#[derive(Args, Debug)]
pub(super) struct LogArgs {
    /// Maximum appends per second over all streams.
    #[arg(long, default_value_t = 400)]
    appends_per_s: u32,
    /// Maximum burst of appends.
    #[arg(long, default_value_t = 100)]
    append_burst: u32,
    /// Age at which a record expires, in milliseconds [default: never].
    #[arg(long)]
    keep_ms: Option<u64>,
    /// Records that a stream keeps [default: all].
    #[arg(long)]
    keep_records: Option<usize>,
    #[command(flatten)]
    common: CommonArgs,
}

impl LogArgs {
    pub(super) fn into_options(self) -> LogOptions {
        LogOptions {
            listen: self.common.listen,
            appends_per_s: self.appends_per_s,
            append_burst: self.append_burst,
            keep_ms: self.keep_ms,
            keep_records: self.keep_records,
            faults: self.common.faults.into_plan(),
        }
    }
}

/// Arguments of an engine.
#[derive(Args, Debug)]
pub(super) struct EngineArgs {
    #[command(flatten)]
    pub(super) place: RegistrationArgs,
    #[command(flatten)]
    common: CommonArgs,
    #[command(flatten)]
    tuning: EngineTuning,
}

impl EngineArgs {
    pub(super) fn into_options(self) -> EngineOptions {
        self.tuning.into_options(self.common)
    }
}

/// Arguments of a plain service.
#[derive(Args, Debug)]
pub(super) struct ServiceArgs {
    #[command(flatten)]
    pub(super) place: RegistrationArgs,
    /// Time that a call takes, in milliseconds.
    #[arg(long, default_value_t = 0)]
    work_ms: u64,
    /// Maximum concurrent calls.
    #[arg(long, default_value_t = 32)]
    slots: u32,
    /// Age of the figures in a load report, in milliseconds.
    #[arg(long, default_value_t = 500)]
    load_lag_ms: u64,
    #[command(flatten)]
    common: CommonArgs,
}

impl ServiceArgs {
    pub(super) fn into_options(self) -> ServiceOptions {
        ServiceOptions {
            listen: self.common.listen,
            work_ms: self.work_ms,
            slots: self.slots,
            load_lag_ms: self.load_lag_ms,
            faults: self.common.faults.into_plan(),
        }
    }
}

/// Upstreams that run from the start on.
#[derive(Clone, Debug)]
pub(super) struct InitialUpstreams {
    /// Kind of their capacity.
    pub(super) capacity: CapacityKind,
    /// Their service.
    pub(super) service: ServiceId,
    /// Their data centre.
    pub(super) data_centre: DataCentre,
    /// Number of upstreams.
    pub(super) count: u32,
}

/// Invalid value of `--initial`.
#[derive(Clone, Copy, Debug, Error)]
#[error("expected <service>@<data centre>:<count>, with `cheap:` before it for cheap capacity")]
pub(super) struct InitialUpstreamsError;

impl FromStr for InitialUpstreams {
    type Err = InitialUpstreamsError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (capacity, text) = match text.strip_prefix("cheap:") {
            Some(rest) => (CapacityKind::Cheap, rest),
            None => (CapacityKind::Steady, text),
        };
        let (service, place) = text.split_once('@').ok_or(InitialUpstreamsError)?;
        let (data_centre, count) = place.split_once(':').ok_or(InitialUpstreamsError)?;
        let count = count.parse().map_err(|_| InitialUpstreamsError)?;
        Ok(Self {
            capacity,
            service: service.into(),
            data_centre: data_centre.into(),
            count,
        })
    }
}

/// Arguments of the ordering interface.
#[derive(Args, Debug)]
pub(super) struct OrderingArgs {
    /// Address of the instance list in which running upstreams are registered.
    #[arg(long)]
    pub(super) list: SocketAddr,
    /// Service whose upstreams are engines; may be repeated.
    #[arg(long)]
    engine_service: Vec<ServiceId>,
    /// Service whose upstreams are plain services; may be repeated.
    #[arg(long)]
    plain_service: Vec<ServiceId>,
    /// Upstreams that run from the start on, as `[cheap:]<service>@<data centre>:<count>`; may be repeated.
    #[arg(long)]
    pub(super) initial: Vec<InitialUpstreams>,
    /// Time from an order until the upstream runs and is listed, in milliseconds.
    #[arg(long, default_value_t = 20_000)]
    start_ms: u64,
    /// Time for which a withdrawn upstream is listed as leaving, in milliseconds.
    #[arg(long, default_value_t = 30_000)]
    leave_ms: u64,
    #[command(flatten)]
    common: CommonArgs,
    #[command(flatten)]
    tuning: EngineTuning,
}

impl OrderingArgs {
    pub(super) fn options(&self) -> OrderingOptions {
        OrderingOptions {
            listen: self.common.listen,
            start_ms: self.start_ms,
            leave_ms: self.leave_ms,
            faults: self.common.faults.clone().into_plan(),
        }
    }

    /// Templates of the upstreams of each service; the faults apply to the ordering interface only.
    pub(super) fn templates(&self) -> Vec<(ServiceId, UpstreamTemplate)> {
        let engine = EngineOptions {
            listen: EngineOptions::default().listen,
            faults: FaultPlan::default(),
            ..self.tuning.clone().into_options(self.common.clone())
        };
        let engines = self.engine_service.iter().map(|service| {
            let template = UpstreamTemplate::Engine(Box::new(engine.clone()));
            (service.clone(), template)
        });
        let services = self.plain_service.iter().map(|service| {
            let template = UpstreamTemplate::Service(Box::default());
            (service.clone(), template)
        });
        engines.chain(services).collect()
    }
}

/// Arguments of the usage interface.
#[derive(Args, Debug)]
pub(super) struct UsageArgs {
    #[command(flatten)]
    common: CommonArgs,
}

impl UsageArgs {
    pub(super) fn into_options(self) -> UsageOptions {
        UsageOptions {
            listen: self.common.listen,
            faults: self.common.faults.into_plan(),
        }
    }
}

/// Arguments of the instance list.
#[derive(Args, Debug)]
pub(super) struct ListArgs {
    /// Age of the list that readers get, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    lag_ms: u64,
    #[command(flatten)]
    common: CommonArgs,
}

impl ListArgs {
    pub(super) fn into_options(self) -> ListOptions {
        ListOptions {
            listen: self.common.listen,
            lag_ms: self.lag_ms,
            entries: Vec::new(),
            faults: self.common.faults.into_plan(),
        }
    }
}
