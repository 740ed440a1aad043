//! Connections of a stand-in.

use std::pin::Pin;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::faults::Availability;

/// Handle to the connection on which a request arrived.
#[derive(Clone, Debug)]
pub struct ConnectionHandle(pub(super) CancellationToken);

impl ConnectionHandle {
    /// Closes the connection, including any calls in progress on it.
    pub fn cut(&self) {
        self.0.cancel();
    }
}

/// Drives a connection. Polling is suspended while the stand-in is paused, and stops for good once the fault
/// `silence_open` has been applied to the connection.
pub(super) async fn drive_connection(
    mut connection: Pin<&mut impl Future>,
    token: CancellationToken,
    mut availability: watch::Receiver<Availability>,
) {
    let silence_count = availability.borrow().silence_count;
    loop {
        let now = *availability.borrow_and_update();
        let suspended = now.paused || now.silence_count != silence_count;
        tokio::select! {
            biased;
            () = token.cancelled() => return,
            changed = availability.changed() => {
                if changed.is_err() {
                    return;
                }
            },
            _ = &mut connection, if !suspended => return,
        }
    }
}
