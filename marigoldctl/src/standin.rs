//! `marigoldctl standin`: one stand-in as a process of its own.
//!
//! The first line on stdout is JSON with the stand-in's address. It runs until SIGINT or SIGTERM; its faults
//! are set by flags and over HTTP with `PUT /_standin/faults`.

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
use self::listing::{ListedPlace, RemoteList};

/// Run one stand-in for an outside system until SIGINT or SIGTERM.
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
    /// A plain service whose calls may not be repeated.
    Service(ServiceArgs),
    /// The platform's interface for ordering upstreams; it runs what is ordered in its own process.
    Ordering(Box<OrderingArgs>),
    /// The platform's interface for usage reports.
    Usage(UsageArgs),
    /// The platform's instance list.
    List(ListArgs),
}

/// Runs the stand-in until a signal comes.
///
/// # Errors
///
/// If an address can't be bound, or the list can't be reached to register at.
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
    announce("log", log.address());
    signals.wait().await;
    log.close().await;
    Ok(())
}

async fn run_engine(args: EngineArgs, signals: StopSignals) -> eyre::Result<()> {
    let place = args.place.clone();
    let engine = EngineStandin::start(args.into_options()).await?;
    announce("engine", engine.address());
    let listed = ListedPlace::register(place, ListKind::Engine, engine.address()).await?;
    signals.wait().await;
    listed.close().await;
    engine.close().await;
    Ok(())
}

async fn run_service(args: ServiceArgs, signals: StopSignals) -> eyre::Result<()> {
    let place = args.place.clone();
    let service = ServiceStandin::start(args.into_options()).await?;
    announce("service", service.address());
    let listed = ListedPlace::register(place, ListKind::Service, service.address()).await?;
    signals.wait().await;
    listed.close().await;
    service.close().await;
    Ok(())
}

async fn run_ordering(args: OrderingArgs, signals: StopSignals) -> eyre::Result<()> {
    let host = Arc::new(LocalHost::new(args.templates()));
    let list = Arc::new(RemoteList::new(args.list));
    let ordering = OrderingStandin::start(args.options(), host, list).await?;
    announce("ordering", ordering.address());
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
    announce("usage", usage.address());
    signals.wait().await;
    usage.close().await;
    Ok(())
}

async fn run_list(args: ListArgs, signals: StopSignals) -> eyre::Result<()> {
    let list = ListStandin::start(args.into_options()).await?;
    announce("list", list.address());
    signals.wait().await;
    list.close().await;
    Ok(())
}

fn announce(standin: &str, address: SocketAddr) {
    println!("{}", json!({ "standin": standin, "address": address }));
}

/// Signals that end a stand-in; caught from the start, so that none ends it in disorder.
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
