//! Dispatch of peer requests.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use marigoldlock_wire::peer::{PeerRequest, PeerResponse};

use crate::front::{FrontContext, serve_forwarded};
use crate::members::HeartbeatExchange;
use crate::peer::PeerHandler;
use crate::settings::SettingsServer;

/// Handles requests from peers.
pub(super) struct InstanceHandler {
    pub(super) context: Arc<FrontContext>,
    pub(super) exchange: Arc<HeartbeatExchange>,
    pub(super) settings: SettingsServer,
}

#[async_trait]
impl PeerHandler for InstanceHandler {
    async fn handle(&self, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Heartbeat(heartbeat) => self.exchange.answer(*heartbeat).await,
            PeerRequest::FetchSettings { after, wait_ms } => {
                let wait = Duration::from_millis(wait_ms);
                PeerResponse::Settings(self.settings.answer(after, wait).await)
            }
            PeerRequest::ForwardCall(call) => {
                PeerResponse::Call(Box::new(serve_forwarded(&self.context, *call).await))
            }
        }
    }
}
