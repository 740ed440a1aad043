//! `marigoldctl standin`: runs one stand-in for an external system in this process.
//!
//! The first line on stdout is JSON with the stand-in's address. The stand-in runs until SIGINT or SIGTERM.
//! Faults are set by arguments at the start and over HTTP with `PUT /_standin/faults` later.

mod args;
mod listing;

use std::net::SocketAddr;
use std::sync::Arc;

use clap::{Args, Subcommand};
use marigoldlock_standin::ordering::LocalHost;
use marigoldlock_standin::prelude::*;
use marigoldlock_wire::platform::ListKind;
use serde_json::json;
use tokio::signal::unix::{Signal, SignalKind, signal};

use self::args::{EngineArgs, ListArgs, LogArgs, OrderingArgs, ServiceArgs, UsageArgs};
use self::listing::{ListRegistration, RemoteList};

/// Run one stand-in for an external system until SIGINT or SIGTERM.
#[derive(Args, Debug)]
pub struct StandinArgs {
    #[command(subcommand)]
    kind: StandinKind,
}

#[derive(Debug, Subcommand)]
enum StandinKind {
    /// The platform's append-only log.
    Log(LogArgs),
    /// A model engine.
    Engine(Box<EngineArgs>),
    /// A plain service whose calls must not be repeated.
    Service(ServiceArgs),
    /// The platform's interface for ordering upstreams; the ordered upstreams run in the same process.
    Ordering(Box<OrderingArgs>),
    /// The platform's interface for usage reports.
    Usage(UsageArgs),
    /// The platform's instance list.
    List(ListArgs),
}

/// Runs the stand-in until a signal arrives.
///
/// # Errors
///
/// Returns an error if an address can't be bound or if registering in the instance list fails.
pub async fn run(args: StandinArgs) -> eyre::Result<()> {
    let signals = StopSignals::listen()?;
    match args.kind {
        StandinKind::Log(args) => run_log(args, signals).await,
        StandinKind::Engine(args) => run_engine(*args, signals).await,
        StandinKind::Service(args) => run_service(args, signals).await,
        StandinKind::Ordering(args) => run_ordering(*args, signals).await,
        StandinKind::Usage(args) => run_usage(args, signals).await,
        StandinKind::List(args) => run_list(args, signals).await,
    }
}

async fn run_log(args: LogArgs, signals: StopSignals) -> eyre::Result<()> {
    let log = LogStandin::start(args.into_options()).await?;
    print_address("log", log.address());
    signals.wait().await;
    log.close().await;
    Ok(())
}

async fn run_engine(args: EngineArgs, signals: StopSignals) -> eyre::Result<()> {
    let place = args.place.clone();
    let engine = EngineStandin::start(args.into_options()).await?;
    print_address("engine", engine.address());
    let registration = ListRegistration::register(place, ListKind::Engine, engine.address()).await?;
    signals.wait().await;
    registration.close().await;
    engine.close().await;
    Ok(())
}

async fn run_service(args: ServiceArgs, signals: StopSignals) -> eyre::Result<()> {
    let place = args.place.clone();
    let service = ServiceStandin::start(args.into_options()).await?;
    print_address("service", service.address());
    let registration = ListRegistration::register(place, ListKind::Service, service.address()).await?;
    signals.wait().await;
    registration.close().await;
    service.close().await;
    Ok(())
}

async fn run_ordering(args: OrderingArgs, signals: StopSignals) -> eyre::Result<()> {
    let host = Arc::new(LocalHost::new(args.templates()));
    let list = Arc::new(RemoteList::new(args.list));
    let ordering = OrderingStandin::start(args.options(), host, list).await?;
    print_address("ordering", ordering.address());
    for wanted in &args.initial {
        for _ in 0..wanted.count {
            ordering
                .start_now(&wanted.service, &wanted.data_centre, wanted.capacity)
                .await?;
        }
    }
    signals.wait().await;
    ordering.close().await;
    Ok(())
}

async fn run_usage(args: UsageArgs, signals: StopSignals) -> eyre::Result<()> {
    let usage = UsageStandin::start(args.into_options()).await?;
    print_address("usage", usage.address());
    signals.wait().await;
    usage.close().await;
    Ok(())
}

async fn run_list(args: ListArgs, signals: StopSignals) -> eyre::Result<()> {
    let list = ListStandin::start(args.into_options()).await?;
    print_address("list", list.address());
    signals.wait().await;
    list.close().await;
    Ok(())
}

fn print_address(standin: &str, address: SocketAddr) {
    println!("{}", json!({ "standin": standin, "address": address }));
}

/// Signals that stop a stand-in. They are registered before it starts, so that every signal leads to an
/// orderly shutdown.
struct StopSignals {
    interrupt: Signal,
    terminate: Signal,
}

impl StopSignals {
    fn listen() -> eyre::Result<Self> {
        let interrupt = signal(SignalKind::interrupt())?;
        let terminate = signal(SignalKind::terminate())?;
        Ok(Self { interrupt, terminate })
    }

    async fn wait(mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {},
            _ = self.terminate.recv() => {},
        }
    }
}
