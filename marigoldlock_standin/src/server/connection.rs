//! Connections of a stand-in.

use std::pin::Pin;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::faults::Presence;

/// Handle on the connection that a request came over.
#[derive(Clone, Debug)]
pub struct ConnectionHandle(pub(super) CancellationToken);

impl ConnectionHandle {
    /// Closes the connection, whatever is under way on it.
    pub fn cut(&self) {
        self.0.cancel();
    }
}

/// Polls a connection, but for while the stand-in is paused, and no more once it has fallen silent.
pub(super) async fn drive_connection(
    mut connection: Pin<&mut impl Future>,
    token: CancellationToken,
    mut presence: watch::Receiver<Presence>,
) {
    let silences = presence.borrow().silences;
    loop {
        let now = *presence.borrow_and_update();
        let held = now.paused || now.silences != silences;
        tokio::select! {
            biased;
            () = token.cancelled() => return,
            changed = presence.changed() => {
                if changed.is_err() {
                    return;
                }
            },
            _ = &mut connection, if !held => return,
        }
    }
}
