//! Opens connections to upstreams, and probes whether this instance reaches any.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::prelude::*;
use rand::seq::IteratorRandom as _;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::Gateway;
use super::connections::{CONNECT_TIMEOUT, HttpSender, connect};

/// Upstreams that are probed at the same time.
const PROBED_UPSTREAMS: usize = 16;

/// Interval at which an instance that is cut off checks whether a probe is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Gateway {
    /// Opens a connection to an upstream.
    ///
    /// # Errors
    ///
    /// Fails if the upstream does not accept the connection in time; nothing was sent.
    pub async fn connect_upstream(self: &Arc<Self>, entry: &UpstreamEntry) -> std::io::Result<HttpSender> {
        let began_at = self.now();
        let result = connect(entry.address).await;
        match &result {
            Ok(_) => self.record_connected(),
            Err(_) => {
                if self.record_unreached(entry, began_at) {
                    let gateway = Arc::clone(self);
                    tokio::spawn(async move { gateway.probe_upstreams().await });
                }
            }
        }
        result
    }

    /// Records that no connection could be opened; returns true if upstreams should be probed.
    fn record_unreached(&self, entry: &UpstreamEntry, began_at: MonoTime) -> bool {
        let mut state = self.state();
        state.reach.record_failed(&entry.id, began_at);
        let listed = state.catalog.entries().count();
        state.reach.should_probe(listed, self.now())
    }

    fn record_connected(&self) {
        if self.state().reach.record_connected(self.now()) {
            log::info!("this instance reaches upstreams again");
            metrics::gauge!("gateway_cut_off").set(0.0);
        }
    }

    /// True while this instance reaches no upstream.
    pub fn is_cut_off(&self) -> bool {
        self.state().reach.is_cut_off()
    }

    /// Probes upstreams; returns true if one of them accepts a connection.
    pub async fn probe_upstreams(&self) -> bool {
        let began_at = self.now();
        let addresses = {
            let mut state = self.state();
            state.reach.start_probe(began_at);
            let addresses = state.catalog.entries().map(|entry| entry.address);
            addresses.choose_multiple(&mut rand::rng(), PROBED_UPSTREAMS)
        };
        if addresses.is_empty() {
            return true;
        }
        let probed = addresses.len();
        if connects_to_any(addresses).await {
            self.record_connected();
            return true;
        }
        if self.state().reach.record_unanswered_probe(began_at) {
            // They may hang as well, which wouldn't be noticed before they are used again.
            self.connections().clear();
            log::warn!(probed; "this instance reaches no upstream");
            metrics::gauge!("gateway_cut_off").set(1.0);
        }
        false
    }
}

async fn connects_to_any(addresses: Vec<SocketAddr>) -> bool {
    let mut probes = JoinSet::new();
    for address in addresses {
        probes.spawn(tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)));
    }
    while let Some(probe) = probes.join_next().await {
        if let Ok(Ok(Ok(_))) = probe {
            return true;
        }
    }
    false
}

/// Probes upstreams for as long as this instance is cut off; never returns.
pub async fn watch_reach(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let is_due = {
            let state = gateway.state();
            let listed = state.catalog.entries().count();
            state.reach.is_cut_off() && state.reach.should_probe(listed, gateway.now())
        };
        if is_due {
            gateway.probe_upstreams().await;
        }
    }
}
