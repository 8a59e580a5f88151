//! Checks by new connections whether back ends still serve.

use havengate_core::back_ends::BackEnd;
use tokio::time::sleep;

use super::{ConnectError, ConnectionPool};

/// How many other back ends are connected to, at most, before a refusal counts as a failure of the node's paths.
const WITNESSES_MAXIMUM: usize = 3;

impl ConnectionPool {
    /// Opens a new direct connection to `back_end` to check whether it still listens, and keeps it for the next request.
    ///
    /// # Errors
    /// When no connection can be established.
    pub async fn check(&self, back_end: &BackEnd) -> Result<(), ConnectError> {
        let stream = self.open_direct(back_end).await?;
        let connection = self.begin_connection(back_end, stream, None).await?;
        self.put_back(back_end, connection, self.limits.idle_time_default);
        Ok(())
    }

    /// Whether a refusal by `back_end` shows that it has terminated, and not that the node has lost its paths: another back
    /// end accepts a connection, or a peer is refused too. If no other one has accepted a connection lately, and no peer
    /// offers a tunnel, the refusal is accepted as it is.
    pub async fn confirms_refusal(&self, back_end: &BackEnd) -> bool {
        let Some(paths) = &self.paths else {
            return true;
        };
        let mut others = paths.reached_beside(back_end);
        fastrand::shuffle(&mut others);
        others.truncate(WITNESSES_MAXIMUM);
        for other in &others {
            if self.check(other).await.is_ok() {
                return true;
            }
        }
        if !others.is_empty() {
            return false;
        }
        match &self.tunnels {
            Some(tunnels) => tunnels.open(back_end).await.is_err(),
            None => true,
        }
    }

    /// Waits until `back_end` doesn't accept a new connection in time, which is checked at intervals.
    pub(super) async fn wait_until_gone(&self, back_end: &BackEnd) {
        loop {
            sleep(self.limits.unanswered_time).await;
            let is_reached =
                self.paths.as_ref().is_some_and(|paths| paths.reached_within(back_end, self.limits.unanswered_time));
            if !is_reached && matches!(self.check(back_end).await, Err(ConnectError::TimedOut)) {
                return;
            }
        }
    }
}
