//! Opens tunnels through peers.

use std::time::Duration;

use havengate_core::back_ends::BackEnd;
use havengate_core::paths::{ChosenPeer, PathGroup, TunnelAnswer, TunnelId, TunnelRequest, TunnelToken};
use havengate_core::world::{Address, Distance, ZoneName};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{Tunnels, random_id};
use crate::back_ends::Detour;
use crate::control::transfer::{PeersError, TransferTimeouts, connect, read_message, write_message};

/// The number of peers that are tried for one tunnel.
const PEERS_MAXIMUM: usize = 2;

/// The time limit for connecting to a peer.
const CONNECT_TIME_LIMIT: Duration = Duration::from_millis(300);

/// The time limit for the peer's answer, which follows its own attempt to connect: 300 ms, or twice that between
/// regions, and a round trip.
const ANSWER_TIME_LIMIT: Duration = Duration::from_millis(700);

/// How long a request waits for the first offer after the paths were lost.
const OFFER_TIME_LIMIT: Duration = Duration::from_millis(150);

/// A connection to a back end through a peer.
pub struct Tunnel {
    /// Carries the bytes of the connection to the back end.
    pub stream: TcpStream,
    /// Identifies the tunnel.
    pub id: TunnelId,
    /// The peer.
    pub peer: Address,
    /// The secret that it was opened with.
    pub token: TunnelToken,
}

/// Why no tunnel was opened. Nothing has reached the back end.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum TunnelError {
    /// no peer offers a tunnel
    NoOffer,
    /// peer {0} could not connect to the back end
    Unreachable(Address),
    /// no peer opened the tunnel: {0}
    Failed(String),
}

impl Tunnels {
    /// Opens a tunnel to `back_end`.
    ///
    /// # Errors
    /// When no peer offers a tunnel, or none that was tried is connected to the back end in time.
    pub async fn open(&self, back_end: &BackEnd) -> Result<Tunnel, TunnelError> {
        let group = PathGroup::of(back_end);
        let mut tried: Vec<Address> = Vec::new();
        let mut error = TunnelError::NoOffer;
        while tried.len() < PEERS_MAXIMUM {
            let Some(ChosenPeer { peer, token }) = self.choose_or_wait(&group, &tried).await else {
                break;
            };
            tried.push(peer);
            let request = TunnelRequest { token, id: random_id(), back_end: back_end.id.clone() };
            match ask(peer, &request).await {
                Ok((TunnelAnswer::Connected, stream)) => {
                    self.shared.metrics.paths().record_tunnel_opened("connected");
                    return Ok(Tunnel { stream, id: request.id, peer, token });
                }
                Ok((answer, _)) => {
                    self.shared.metrics.paths().record_tunnel_opened(answer.code());
                    error = match answer {
                        TunnelAnswer::Unreachable => TunnelError::Unreachable(peer),
                        _ => TunnelError::Failed(answer.code().to_owned()),
                    };
                    // A peer that fails to reach one back end may reach the others.
                    if answer == TunnelAnswer::Unreachable {
                        continue;
                    }
                }
                Err(failure) => {
                    self.shared.metrics.paths().record_tunnel_opened("peer_lost");
                    error = TunnelError::Failed(failure.to_string());
                }
            }
            self.drop_offers_of(peer);
        }
        Err(error)
    }

    /// Whether the peer of a tunnel that has ended confirms that `back_end` closed the connection in order. A peer that was
    /// restarted doesn't know the tunnel; one of an older version opens another tunnel instead, which is closed unused.
    pub async fn confirm_end(&self, back_end: &BackEnd, detour: Detour) -> bool {
        let Detour { peer, tunnel, token } = detour;
        let request = TunnelRequest { token, id: tunnel, back_end: back_end.id.clone() };
        match ask(peer, &request).await {
            Ok((answer, _)) => answer == TunnelAnswer::EndedInOrder,
            Err(error) => {
                log::warn!(event = "tunnel_end_unconfirmed", tunnel:% = tunnel, peer:% = peer, error:% = error; "");
                false
            }
        }
    }

    /// Chooses a peer. The first request after the paths were lost waits for an offer.
    async fn choose_or_wait(&self, group: &PathGroup, tried: &[Address]) -> Option<ChosenPeer> {
        let received = self.shared.offer_received.notified();
        if let Some(chosen) = self.choose(group, tried) {
            return Some(chosen);
        }
        if !tried.is_empty() {
            return None;
        }
        // After the time limit there is no offer, as before.
        let _ = timeout(OFFER_TIME_LIMIT, received).await;
        self.choose(group, tried)
    }

    fn choose(&self, group: &PathGroup, tried: &[Address]) -> Option<ChosenPeer> {
        let now = self.shared.clock.now();
        let mut offers = self.shared.offers.borrow_mut();
        offers.choose(group, tried, |zone| self.distance(zone), &mut fastrand::Rng::new(), now)
    }

    /// The distance to `zone`. Without regions, all zones are in one.
    fn distance(&self, zone: &ZoneName) -> Distance {
        match self.shared.topology.distance(zone) {
            Distance::OtherRegion if !self.shared.topology.spans_regions() => Distance::SameRegion,
            distance => distance,
        }
    }
}

async fn ask(peer: Address, request: &TunnelRequest) -> Result<(TunnelAnswer, TcpStream), PeersError> {
    let mut stream = connect(peer, CONNECT_TIME_LIMIT).await?;
    let timeouts = TransferTimeouts::with_first_byte(ANSWER_TIME_LIMIT);
    write_message(&mut stream, request, timeouts).await?;
    let answer = read_message(&mut stream, timeouts).await?;
    Ok((answer, stream))
}
