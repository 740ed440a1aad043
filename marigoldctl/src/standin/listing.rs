//! Registration of stand-ins in the instance list of another process, over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use eyre::WrapErr;
use futures::FutureExt;
use futures::future::BoxFuture;
use marigoldlock_standin::list::ListTarget;
use marigoldlock_wire::ids::{DataCentre, ServiceId};
use marigoldlock_wire::platform::{CapacityKind, ListEntry, ListKind, ListState};

/// Timeout of a request to the list, in milliseconds.
const LIST_TIMEOUT_MS: u64 = 5000;

/// Client of an instance list in another process.
#[derive(Debug)]
pub(super) struct RemoteList {
    address: SocketAddr,
    client: reqwest::Client,
}

impl RemoteList {
    /// Creates a client of the list at an address.
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: reqwest::Client::new(),
        }
    }

    fn url(&self, id: &str) -> String {
        format!("http://{}/v1/instances/{id}", self.address)
    }

    async fn send(&self, request: reqwest::RequestBuilder) -> eyre::Result<()> {
        let request = request.timeout(Duration::from_millis(LIST_TIMEOUT_MS));
        let response = request.send().await?;
        response.error_for_status()?;
        Ok(())
    }
}

impl ListTarget for RemoteList {
    fn set(&self, entry: ListEntry) -> BoxFuture<'_, eyre::Result<()>> {
        let request = self.client.put(self.url(&entry.id)).json(&entry);
        self.send(request).boxed()
    }

    fn remove<'a>(&'a self, id: &'a str) -> BoxFuture<'a, eyre::Result<()>> {
        self.send(self.client.delete(self.url(id))).boxed()
    }
}

/// Arguments for a stand-in's entry in the instance list.
#[derive(Args, Clone, Debug)]
pub(super) struct RegistrationArgs {
    /// Address of the instance list to register in [default: not registered].
    #[arg(long, requires_all = ["id", "service", "data_centre"])]
    list: Option<SocketAddr>,
    /// Name in the instance list.
    #[arg(long)]
    id: Option<String>,
    /// Service in the instance list.
    #[arg(long)]
    service: Option<ServiceId>,
    /// Data centre in the instance list.
    #[arg(long)]
    data_centre: Option<DataCentre>,
    /// Register it as cheap capacity.
    #[arg(long)]
    cheap: bool,
}

impl RegistrationArgs {
    fn entry(&self, kind: ListKind, address: SocketAddr) -> Option<ListEntry> {
        Some(ListEntry {
            id: self.id.clone()?,
            kind,
            service: Some(self.service.clone()?),
            data_centre: self.data_centre.clone()?,
            address: address.to_string(),
            peer_address: None,
            capacity: if self.cheap {
                CapacityKind::Cheap
            } else {
                CapacityKind::Steady
            },
            state: ListState::Live,
        })
    }
}

/// Entry in the instance list; empty if none was requested.
#[derive(Debug)]
pub(super) struct ListRegistration {
    entry: Option<(RemoteList, String)>,
}

impl ListRegistration {
    /// Registers a stand-in in the list.
    pub(super) async fn register(
        place: RegistrationArgs,
        kind: ListKind,
        address: SocketAddr,
    ) -> eyre::Result<Self> {
        let entry = place.entry(kind, address);
        let (Some(list), Some(entry)) = (place.list, entry) else {
            return Ok(Self { entry: None });
        };
        let list = RemoteList::new(list);
        let id = entry.id.clone();
        list.set(entry)
            .await
            .wrap_err_with(|| format!("can't register {id} in the instance list at {}", list.address))?;
        Ok(Self {
            entry: Some((list, id)),
        })
    }

    /// Removes the entry.
    pub(super) async fn close(self) {
        let Some((list, id)) = self.entry else { return };
        if let Err(error) = list.remove(&id).await {
            log::warn!(id = id, error:% = error; "failed to remove stand-in from the list; its entry stays");
        }
    }
}
