//! Whether a back end that closed a connection still serves.

use std::time::Duration;

use havengate_core::back_ends::BackEnd;
use tokio::time::{Instant, sleep};

use super::{ConnectError, ConnectionPool, Detour};

/// A terminating process closes its connections and its listener one after the other. A check in between would find it
/// alive.
const CHECK_DELAY: Duration = Duration::from_millis(10);

/// Whether a back end that interrupted a run still accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackEndLiveness {
    /// Nothing listens at its address any more.
    Terminated,
    /// It still accepts connections.
    Alive,
    /// Its machine can't be reached, or this node reaches no other back end either, so its state is unknown.
    Unknown,
}

impl BackEndLiveness {
    /// The name in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            BackEndLiveness::Terminated => "ended",
            BackEndLiveness::Alive => "lives",
            BackEndLiveness::Unknown => "unknown",
        }
    }
}

impl ConnectionPool {
    /// Whether `back_end`, which has just closed a connection, still accepts others.
    pub async fn liveness(&self, back_end: &BackEnd) -> BackEndLiveness {
        sleep(CHECK_DELAY).await;
        self.check_liveness(back_end).await
    }

    /// Like `liveness`; also whether a connection from before `served_at` is open still, which shows that the process that
    /// accepts connections is the one that served then. Alone such a connection shows nothing: its end may be lost on the
    /// way.
    pub async fn liveness_after_close(&self, back_end: &BackEnd, served_at: Instant) -> (BackEndLiveness, bool) {
        sleep(CHECK_DELAY).await;
        let liveness = self.check_liveness(back_end).await;
        // Lets the tasks of connections that were closed meanwhile notice it.
        tokio::task::yield_now().await;
        (liveness, self.has_connection_from_before(back_end, served_at))
    }

    async fn check_liveness(&self, back_end: &BackEnd) -> BackEndLiveness {
        match self.check(back_end).await {
            Ok(()) => BackEndLiveness::Alive,
            Err(ConnectError::Refused(_)) if self.confirms_refusal(back_end).await => BackEndLiveness::Terminated,
            Err(_) => BackEndLiveness::Unknown,
        }
    }

    fn has_connection_from_before(&self, back_end: &BackEnd, moment: Instant) -> bool {
        let connections = self.connections.borrow();
        let idle = connections.get(&back_end.id).map(|connections| &connections.idle);
        let witnesses = |idle: &super::IdleConnection| {
            let connection = &idle.connection;
            connection.detour.is_none() && connection.opened_at < moment && connection.sender.is_ready()
        };
        idle.is_some_and(|idle| idle.iter().any(witnesses))
    }

    /// Whether another process may have taken the place of `back_end`: the directory lists another one at its address, or
    /// this node stood still until a moment ago.
    pub fn may_be_replaced(&self, back_end: &BackEnd) -> bool {
        self.paths.as_ref().is_some_and(|paths| paths.has_stalled() || paths.is_address_reused(back_end))
    }

    /// Whether the peer that helped confirms that `back_end` closed the connection behind a tunnel and still serves.
    pub async fn confirms_tunnel_end(&self, back_end: &BackEnd, detour: Detour) -> bool {
        match &self.tunnels {
            Some(tunnels) => tunnels.confirm_end(back_end, detour).await,
            None => false,
        }
    }
}
