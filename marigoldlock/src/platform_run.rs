//! Runs the instance on the users' platform.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use clap::Args;
use eyre::{Result, WrapErr};
use marigoldlock_core::gateway::budget::BudgetLimits;
use marigoldlock_core::gateway::members::MemberCard;
use marigoldlock_platform::{
    PlatformCaller, PlatformDirectory, PlatformDuties, PlatformOrders, PlatformRecords, PlatformStore,
    PlatformUpstream, ProcessSettings, SETTINGS_VARIABLE,
};
use marigoldlock_wire::prelude::*;
use tokio::signal::unix::{SignalKind, signal};

use crate::clock::BootClock;
use crate::gateway::{GatewayAddresses, GatewayBounds, GatewayParts, GatewayServer};

/// Flags of an instance on the users' platform; the rest stands in the platform's settings file.
#[derive(Args, Clone, Debug)]
pub struct PlatformOptions {
    /// The platform's settings file.
    #[arg(long, env = SETTINGS_VARIABLE)]
    pub settings_file: PathBuf,
    /// Port to serve metrics on.
    #[arg(long, env = "MARIGOLDLOCK_METRICS_PORT", default_value_t = 9464)]
    pub metrics_port: u16,
}

/// Serves until the platform stops the process.
///
/// # Errors
///
/// Fails if the settings can't be used or an address can't be listened on.
pub async fn run(options: PlatformOptions) -> Result<()> {
    let settings = ProcessSettings::load(&options.settings_file)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    crate::metrics::init();
    let metrics = SocketAddr::new(settings.ip, options.metrics_port);
    let server = GatewayServer::start(gateway_parts(&settings, Some(metrics))?).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&options, &settings),
        }
    }
    server.close().await;
    Ok(())
}

/// Checks a changed settings file. Addresses and bounds are taken at the start only.
fn reload(options: &PlatformOptions, before: &ProcessSettings) {
    match ProcessSettings::load(&options.settings_file) {
        Ok(after) => log::info!(changed = after != *before; "settings file read again"),
        Err(err) => {
            log::error!(error:% = err; "the changed settings file can't be used; the old settings stay")
        }
    }
}

/// A gateway's parts, with the platform's adapters.
///
/// # Errors
///
/// Fails if no client of the store can be built.
pub fn gateway_parts(settings: &ProcessSettings, metrics: Option<SocketAddr>) -> Result<GatewayParts> {
    let store = PlatformStore::new(settings.store).wrap_err("build the store's client")?;
    let http = store.http();
    let duties = settings
        .duties
        .map(|address| PlatformDuties::new(address, http.clone()));
    let bounds = settings.bounds;
    Ok(GatewayParts {
        card: MemberCard {
            id: InstanceId::from(settings.name.as_str()),
            incarnation: Incarnation(rand::random()),
            front: settings.front,
            peer: SocketAddr::new(settings.ip, settings.peer_port),
            data_centre: DataCentre::from(settings.data_centre.as_str()),
            weight: (settings.cpu_share * 100.0).round() as u32,
        },
        addresses: GatewayAddresses {
            front: settings.front,
            readiness: settings.readiness,
            directory: settings.directory,
            metrics,
            peer: SocketAddr::new(settings.ip, settings.peer_port),
        },
        seeds: settings
            .seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), settings.peer_port))
            .collect(),
        bounds: GatewayBounds {
            budget: BudgetLimits {
                ratio: bounds.retry_ratio,
                slack: bounds.retry_slack,
                window: bounds.retry_window,
            },
            shutdown_grace: bounds.shutdown_grace,
            lease: bounds.lease,
            usage_window: bounds.usage_window,
            usage_due: bounds.usage_due,
        },
        caller: Arc::new(PlatformCaller),
        upstream: Arc::new(PlatformUpstream),
        directory: Arc::new(PlatformDirectory),
        store: Arc::new(store),
        format: Arc::new(PlatformRecords),
        duties: duties.map(|duties| Arc::new(duties) as _),
        orders: Arc::new(PlatformOrders::new(http)),
        clock: Arc::new(BootClock),
    })
}
