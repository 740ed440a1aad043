//! Flags of the stand-ins.

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
use super::listing::PlaceArgs;

/// Address and faults, which every stand-in has.
#[derive(Args, Clone, Debug)]
pub(super) struct CommonArgs {
    /// Address to listen on; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[command(flatten)]
    faults: FaultArgs,
}

/// What goes wrong from the start; `PUT /_standin/faults` replaces it.
#[derive(Args, Clone, Debug)]
#[command(next_help_heading = "Faults")]
struct FaultArgs {
    /// Method of the calls that the faults below apply to [default: all].
    #[arg(long)]
    fault_method: Option<String>,
    /// Start of the path of the calls that the faults below apply to [default: all].
    #[arg(long)]
    fault_path: Option<String>,
    /// Delay before the effect, in milliseconds.
    #[arg(long, default_value_t = 0)]
    delay_ms: u64,
    /// Delay between the effect and the answer, in milliseconds.
    #[arg(long, default_value_t = 0)]
    answer_delay_ms: u64,
    /// Calls to refuse with 503 before any effect: `none`, `every` or how many.
    #[arg(long, default_value = "none")]
    refuse: CallBudget,
    /// Calls to read and never answer, without effect: `none`, `every` or how many.
    #[arg(long, default_value = "none")]
    stall: CallBudget,
    /// Calls that lose their connection before any effect: `none`, `every` or how many.
    #[arg(long, default_value = "none")]
    drop_call: CallBudget,
    /// Calls that take effect and lose their connection: `none`, `every` or how many.
    #[arg(long, default_value = "none")]
    drop_answer: CallBudget,
    /// Calls that take effect and are never answered: `none`, `every` or how many.
    #[arg(long, default_value = "none")]
    stall_answer: CallBudget,
    /// Answers of an engine that belong to the request before: `none`, `every` or how many.
    #[arg(long, default_value = "none")]
    cross_answer: CallBudget,
    /// How many times as long work takes.
    #[arg(long)]
    slowdown: Option<f64>,
    /// Tokens after which a streamed answer falls silent.
    #[arg(long)]
    stall_stream_after: Option<u64>,
    /// Tokens after which a streamed answer loses its connection.
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

/// Flags of the log.
#[derive(Args, Debug)]
pub(super) struct LogArgs {
    /// Appends per second over all streams.
    #[arg(long, default_value_t = 400)]
    appends_per_s: u32,
    /// Appends that may come at once.
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

/// Flags of an engine.
#[derive(Args, Debug)]
pub(super) struct EngineArgs {
    #[command(flatten)]
    pub(super) place: PlaceArgs,
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

/// Flags of a plain service.
#[derive(Args, Debug)]
pub(super) struct ServiceArgs {
    #[command(flatten)]
    pub(super) place: PlaceArgs,
    /// Time that a call takes, in milliseconds.
    #[arg(long, default_value_t = 0)]
    work_ms: u64,
    /// Calls side by side.
    #[arg(long, default_value_t = 32)]
    slots: u32,
    /// How old the figures of a load report are, in milliseconds.
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

/// Upstreams that are there from the start.
#[derive(Clone, Debug)]
pub(super) struct InitialUpstreams {
    /// How they are paid for.
    pub(super) capacity: CapacityKind,
    /// Their service.
    pub(super) service: ServiceId,
    /// Where they stand.
    pub(super) data_centre: DataCentre,
    /// How many.
    pub(super) count: u32,
}

/// Text that names no upstreams.
#[derive(Clone, Copy, Debug, Error)]
#[error("expected <service>@<data centre>:<count>, with `cheap:` before it for cheap capacity")]
pub(super) struct InitialFormatError;

impl FromStr for InitialUpstreams {
    type Err = InitialFormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (capacity, text) = match text.strip_prefix("cheap:") {
            Some(rest) => (CapacityKind::Cheap, rest),
            None => (CapacityKind::Steady, text),
        };
        let (service, place) = text.split_once('@').ok_or(InitialFormatError)?;
        let (data_centre, count) = place.split_once(':').ok_or(InitialFormatError)?;
        let count = count.parse().map_err(|_| InitialFormatError)?;
        Ok(Self {
            capacity,
            service: service.into(),
            data_centre: data_centre.into(),
            count,
        })
    }
}

/// Flags of the ordering interface.
#[derive(Args, Debug)]
pub(super) struct OrderingArgs {
    /// Address of the instance list that shows what runs.
    #[arg(long)]
    pub(super) list: SocketAddr,
    /// Service whose upstreams are engines; may be repeated.
    #[arg(long)]
    engine_service: Vec<ServiceId>,
    /// Service whose upstreams are plain services; may be repeated.
    #[arg(long)]
    plain_service: Vec<ServiceId>,
    /// Upstreams from the start, as `[cheap:]<service>@<data centre>:<count>`; may be repeated.
    #[arg(long)]
    pub(super) initial: Vec<InitialUpstreams>,
    /// Time until an ordered upstream runs and is listed, in milliseconds.
    #[arg(long, default_value_t = 20_000)]
    start_ms: u64,
    /// Time that a withdrawn upstream is listed as leaving, in milliseconds.
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

    /// What the upstreams of each service are like; the faults are the ordering interface's own.
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

/// Flags of the usage interface.
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

/// Flags of the instance list.
#[derive(Args, Debug)]
pub(super) struct ListArgs {
    /// How old the list is that readers get, in milliseconds.
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
