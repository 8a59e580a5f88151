//! How recent tunnels for peers ended, so that a peer can ask.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::Duration;

use havengate_core::paths::TunnelRequest;
use tokio::time::Instant;

/// How long an end is kept. A peer asks at once.
const ENDED_TUNNEL_MEMORY: Duration = Duration::from_secs(3);

/// The most ends that are kept: as many as tunnels may be open.
const ENDED_TUNNELS_MAXIMUM: usize = 384;

struct EndedTunnel {
    request: TunnelRequest,
    peer: IpAddr,
    opened_at: Instant,
    ended_at: Instant,
}

/// The tunnels that ended because their back end closed the connection in order.
#[derive(Default)]
pub struct EndedTunnels {
    ended: VecDeque<EndedTunnel>,
}

impl EndedTunnels {
    /// Records that the back end closed the tunnel that `peer` opened with `request` at `opened_at`.
    pub fn record(&mut self, request: TunnelRequest, peer: IpAddr, opened_at: Instant) {
        self.ended.retain(|tunnel| tunnel.ended_at.elapsed() < ENDED_TUNNEL_MEMORY);
        if self.ended.len() >= ENDED_TUNNELS_MAXIMUM {
            self.ended.pop_front();
        }
        self.ended.push_back(EndedTunnel { request, peer, opened_at, ended_at: Instant::now() });
    }

    /// When the tunnel of `request`, a repetition of the request that opened it, was opened, and when the back end closed
    /// it; `None` if that is not known.
    pub fn find(&self, request: &TunnelRequest, peer: IpAddr) -> Option<(Instant, Instant)> {
        let is_same = |tunnel: &&EndedTunnel| tunnel.request == *request && tunnel.peer == peer;
        let tunnel = self.ended.iter().find(is_same)?;
        (tunnel.ended_at.elapsed() < ENDED_TUNNEL_MEMORY).then_some((tunnel.opened_at, tunnel.ended_at))
    }
}
