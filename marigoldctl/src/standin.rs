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
use tokio::signal::unix::{SignalKind, signal};

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
    match args.kind {
        StandinKind::Log(args) => run_log(args).await,
        StandinKind::Engine(args) => run_engine(*args).await,
        StandinKind::Service(args) => run_service(args).await,
        StandinKind::Ordering(args) => run_ordering(*args).await,
        StandinKind::Usage(args) => run_usage(args).await,
        StandinKind::List(args) => run_list(args).await,
    }
}

async fn run_log(args: LogArgs) -> eyre::Result<()> {
    let log = LogStandin::start(args.into_options()).await?;
    announce("log", log.address());
    wait_for_signal().await?;
    log.close().await;
    Ok(())
}

async fn run_engine(args: EngineArgs) -> eyre::Result<()> {
    let place = args.place.clone();
    let engine = EngineStandin::start(args.into_options()).await?;
    announce("engine", engine.address());
    let listed = ListedPlace::register(place, ListKind::Engine, engine.address()).await?;
    wait_for_signal().await?;
    listed.close().await;
    engine.close().await;
    Ok(())
}

async fn run_service(args: ServiceArgs) -> eyre::Result<()> {
    let place = args.place.clone();
    let service = ServiceStandin::start(args.into_options()).await?;
    announce("service", service.address());
    let listed = ListedPlace::register(place, ListKind::Service, service.address()).await?;
    wait_for_signal().await?;
    listed.close().await;
    service.close().await;
    Ok(())
}

async fn run_ordering(args: OrderingArgs) -> eyre::Result<()> {
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
    wait_for_signal().await?;
    ordering.close().await;
    Ok(())
}

async fn run_usage(args: UsageArgs) -> eyre::Result<()> {
    let usage = UsageStandin::start(args.into_options()).await?;
    announce("usage", usage.address());
    wait_for_signal().await?;
    usage.close().await;
    Ok(())
}

async fn run_list(args: ListArgs) -> eyre::Result<()> {
    let list = ListStandin::start(args.into_options()).await?;
    announce("list", list.address());
    wait_for_signal().await?;
    list.close().await;
    Ok(())
}

fn announce(standin: &str, address: SocketAddr) {
    println!("{}", json!({ "standin": standin, "address": address }));
}

async fn wait_for_signal() -> eyre::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {},
        _ = terminate.recv() => {},
    }
    Ok(())
}
