//! Entry point for running an instance on the users' platform.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use eyre::{Result, WrapErr};
use marigoldlock_core::gateway::allowance::AllowanceBounds;
use marigoldlock_core::gateway::budget::BudgetLimits;
use marigoldlock_core::gateway::demand::CapacityHeadroom;
use marigoldlock_core::gateway::hedge::HedgeShare;
use marigoldlock_core::gateway::intake::MachineSize;
use marigoldlock_core::gateway::members::MemberCard;
use marigoldlock_platform::{
    PlatformCaller, PlatformDirectory, PlatformDuties, PlatformOrders, PlatformRecords, PlatformStore,
    PlatformUpstream, ProcessSettings, RuleBounds, SETTINGS_FILE_ENV,
};
use marigoldlock_wire::prelude::*;
use tokio::signal::unix::{SignalKind, signal};

use crate::clock::BootClock;
use crate::gateway::{GatewayAddresses, GatewayBounds, GatewayParts, GatewayServer};

/// How often the settings file is read again, as it may change without a signal. The file is small and rarely
/// changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Flags of an instance on the users' platform; everything else comes from the platform's settings file.
#[derive(Args, Clone, Debug)]
pub struct PlatformOptions {
    /// Path of the platform's settings file.
    #[arg(long, env = SETTINGS_FILE_ENV)]
    pub settings_file: PathBuf,
    /// Port to serve metrics on.
    #[arg(long, env = "MARIGOLDLOCK_METRICS_PORT", default_value_t = 9464)]
    pub metrics_port: u16,
    /// Upstreams to order, as a multiple of the recent peak of the load: 1.2 to 10, or 0 to order the same number under any
    /// load.
    #[arg(long, env = "MARIGOLDLOCK_CAPACITY_HEADROOM", default_value_t = CapacityHeadroom::default())]
    pub capacity_headroom: CapacityHeadroom,
    /// Share of requests that are sent to a second upstream when the first is slow, 0 to 0.2; 0 sends none.
    #[arg(long, env = "MARIGOLDLOCK_HEDGE_SHARE", default_value_t = HedgeShare::OFF, allow_negative_numbers = true)]
    pub hedge_share: HedgeShare,
}

/// Serves until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the settings file is invalid or an address can't be bound.
pub async fn run(options: PlatformOptions) -> Result<()> {
    let settings = ProcessSettings::load(&options.settings_file)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    crate::metrics::init();
    let metrics = SocketAddr::new(settings.ip, options.metrics_port);
    let parts = GatewayParts {
        capacity_headroom: options.capacity_headroom,
        hedge_share: options.hedge_share,
        ..gateway_parts(&settings, Some(metrics))?
    };
    let server = GatewayServer::start(parts).await?;
    let mut watcher = SettingsFileWatcher::new(options.settings_file, settings);
    let mut reloads = tokio::time::interval(RELOAD_INTERVAL);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => watcher.reload(&server, "signal"),
            _ = reloads.tick() => watcher.reload(&server, "file"),
        }
    }
    server.close().await;
    Ok(())
}

/// Reloads the platform's settings file and applies its changes.
pub struct SettingsFileWatcher {
    file: PathBuf,
    current: ProcessSettings,
    /// Error of the last reload, so that the same error is logged only once.
    last_error: Option<String>,
}

impl SettingsFileWatcher {
    /// Creates a watcher of `file`, whose settings `current` are in force.
    pub fn new(file: PathBuf, current: ProcessSettings) -> Self {
        Self {
            file,
            current,
            last_error: None,
        }
    }

    /// Reads the file again and applies its bounds; other changes need a restart.
    pub fn reload(&mut self, server: &GatewayServer, cause: &'static str) {
        match ProcessSettings::load(&self.file) {
            Ok(settings) if settings == self.current => {
                self.last_error = None;
                if cause == "signal" {
                    log::info!(cause, changed = false; "settings file reloaded");
                }
            }
            Ok(settings) => {
                let needs_start = ProcessSettings {
                    bounds: self.current.bounds,
                    is_first_start: self.current.is_first_start,
                    ..settings.clone()
                } != self.current;
                log::info!(cause, changed = true, needs_start; "settings file reloaded");
                server.set_bounds(gateway_bounds(&settings.bounds));
                self.current = settings;
                self.last_error = None;
            }
            Err(err) => {
                let message = err.to_string();
                if self.last_error.as_ref() != Some(&message) {
                    log::error!(cause, error = message; "invalid settings file; keeping the previous settings");
                }
                self.last_error = Some(message);
            }
        }
    }
}

fn gateway_bounds(bounds: &RuleBounds) -> GatewayBounds {
    GatewayBounds {
        budget: BudgetLimits {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        },
        allowance: AllowanceBounds {
            window: bounds.allowance_window,
            overshoot: bounds.allowance_overshoot,
            slack: bounds.allowance_slack,
        },
        shutdown_grace: bounds.shutdown_grace,
        lease: bounds.lease,
        requires_fence: bounds.requires_fence,
        usage_window: bounds.usage_window,
        usage_due: bounds.usage_due,
    }
}

/// Assembles a gateway from the settings and the platform's adapters, without what flags enable.
///
/// # Errors
///
/// Fails if the store's HTTP client can't be built.
pub fn gateway_parts(settings: &ProcessSettings, metrics: Option<SocketAddr>) -> Result<GatewayParts> {
    let store = PlatformStore::new(settings.store).wrap_err("build the store's client")?;
    let http = store.http();
    let duties = settings
        .duties
        .map(|address| PlatformDuties::new(address, http.clone()));
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
        bounds: gateway_bounds(&settings.bounds),
        capacity_headroom: CapacityHeadroom::default(),
        machine: MachineSize {
            memory_bytes: settings.memory_bytes,
            descriptors: settings.descriptors,
        },
        hedge_share: HedgeShare::OFF,
        is_first_start: settings.is_first_start,
        caller_protocol: Arc::new(PlatformCaller),
        upstream_protocol: Arc::new(PlatformUpstream),
        directory_protocol: Arc::new(PlatformDirectory),
        store: Arc::new(store),
        record_format: Arc::new(PlatformRecords),
        duty_api: duties.map(|duties| Arc::new(duties) as _),
        upstream_orders: Arc::new(PlatformOrders::new(http)),
        clock: Arc::new(BootClock),
    })
}
