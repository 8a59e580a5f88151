//! The nodes that keep the origin of a stream for the node that relayed it.
//!
//! Every node ranks all nodes by a hash of their address and the stream, so that a node that is asked to resume the stream
//! finds the replicas without any agreement.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::stream_origin::StreamKey;
use crate::world::Address;

/// The replicas of a stream: several may be lost together with the node that relayed it.
const REPLICAS: usize = 3;

/// Those of them in other regions, if there are any: they outlast the loss of the whole region.
const DISTANT_REPLICAS: usize = 1;

/// The nodes of the own region that are queried for an origin: more than replicas, since nodes may know different peers.
const NEAR_QUERIED: usize = 8;

/// The nodes of other regions that are queried for an origin.
const DISTANT_QUERIED: usize = 3;

/// The peers of a node, by distance.
#[derive(Clone, Copy, Debug)]
pub struct RankedPeers<'a> {
    /// The peers that are not known to be in another region.
    pub near: &'a [Address],
    /// The peers in other regions.
    pub distant: &'a [Address],
}

impl RankedPeers<'_> {
    /// The peers that keep the origin of `stream`.
    pub fn replicas(&self, stream: StreamKey) -> Vec<Address> {
        let distant = DISTANT_REPLICAS.min(self.distant.len());
        self.first(stream, REPLICAS - distant, distant)
    }

    /// The peers that are queried for the origin of `stream`.
    pub fn queried(&self, stream: StreamKey) -> Vec<Address> {
        self.first(stream, NEAR_QUERIED, DISTANT_QUERIED)
    }

    fn first(&self, stream: StreamKey, near: usize, distant: usize) -> Vec<Address> {
        let mut chosen = first_of(self.near, stream, near);
        chosen.extend(first_of(self.distant, stream, distant));
        chosen
    }
}

/// The first `count` of `peers` by their rank for `stream`.
fn first_of(peers: &[Address], stream: StreamKey, count: usize) -> Vec<Address> {
    let mut ranked: Vec<(u64, Address)> = peers.iter().map(|peer| (rank(*peer, stream), *peer)).collect();
    if ranked.len() > count {
        ranked.select_nth_unstable(count);
        ranked.truncate(count);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, peer)| peer).collect()
}

fn rank(peer: Address, stream: StreamKey) -> u64 {
    let port = peer.0.port().to_le_bytes();
    match peer.0.ip() {
        std::net::IpAddr::V4(ip) => {
            let [a, b, c, d] = ip.octets();
            xxh3_64_with_seed(&[a, b, c, d, port[0], port[1]], stream.number())
        }
        std::net::IpAddr::V6(ip) => {
            let mut bytes = ip.octets().to_vec();
            bytes.extend(port);
            xxh3_64_with_seed(&bytes, stream.number())
        }
    }
}
