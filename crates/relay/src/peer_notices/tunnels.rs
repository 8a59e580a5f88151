//! The exchange of queries for tunnels and of offers.

use std::collections::BTreeSet;
use std::time::Duration;

use havengate_core::paths::{PathGroup, TunnelQuery};
use havengate_core::relay::PeerNotice;
use havengate_core::world::Address;
use tokio::time::{Instant, MissedTickBehavior, interval_at};

use super::PeerNotices;
use crate::metrics::NodeMessageKind;
use crate::paths::BackEndPaths;
use crate::tunnels::Tunnels;

/// How often it is decided whether peers are asked.
const DECISION_INTERVAL: Duration = Duration::from_millis(50);

/// The time between two queries while there are enough offers, several of which fit into the validity of an offer.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two queries while there are too few offers.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// With fewer offers than this, more peers are asked.
const OFFERS_WANTED: usize = 3;

/// The randomly chosen peers that are asked at a time.
const QUERIED_PEERS: usize = 12;

/// How often peers are notified that this node stops, as a datagram may be lost.
const END_NOTICES: u32 = 3;

/// The time between two such notices.
const END_NOTICE_INTERVAL: Duration = Duration::from_millis(200);

impl PeerNotices {
    /// Starts to ask peers for tunnels while paths are impaired, and to answer such queries.
    pub fn exchange_tunnels(&self, tunnels: &Tunnels, paths: BackEndPaths) {
        if self.shared.tunnels.set(tunnels.clone()).is_ok() {
            tokio::task::spawn_local(self.clone().query_tunnels(tunnels.clone(), paths));
        }
    }

    /// Asks peers for tunnels to each group of back ends whose paths are impaired; never returns.
    async fn query_tunnels(self, tunnels: Tunnels, paths: BackEndPaths) {
        let mut ticks = interval_at(Instant::now() + DECISION_INTERVAL, DECISION_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut queried_at: Vec<(PathGroup, Instant)> = Vec::new();
        loop {
            ticks.tick().await;
            let impaired = paths.impaired();
            queried_at.retain(|(group, _)| impaired.contains(group));
            for group in impaired {
                let offering = tunnels.offering_peers(&group);
                let pause = if offering.len() < OFFERS_WANTED { SEARCH_INTERVAL } else { REFRESH_INTERVAL };
                let last = queried_at.iter().find(|(queried, _)| *queried == group).map(|(_, at)| *at);
                if last.is_some_and(|at| at.elapsed() < pause) {
                    continue;
                }
                queried_at.retain(|(queried, _)| *queried != group);
                queried_at.push((group.clone(), Instant::now()));
                self.query(group, offering).await;
            }
        }
    }

    /// Asks the `offering` peers, whose offers expire, and some others.
    async fn query(&self, group: PathGroup, offering: Vec<Address>) {
        let Some(sender) = self.sender() else {
            return;
        };
        let mut queried: BTreeSet<Address> = offering.into_iter().collect();
        queried.extend(self.random_peers(QUERIED_PEERS));
        let queried: Vec<Address> = queried.into_iter().collect();
        let query = PeerNotice::TunnelQuery(TunnelQuery { sender, group });
        self.send(&query, NodeMessageKind::Tunnels, &queried).await;
    }

    /// Answers a peer that asks for tunnels.
    pub(super) async fn answer_tunnel_query(&self, query: TunnelQuery) {
        let offer = self.sender().and_then(|own| self.shared.tunnels.get()?.offer_for(&query, own));
        if let Some(offer) = offer {
            self.send(&PeerNotice::TunnelOffer(offer), NodeMessageKind::Tunnels, &[query.sender]).await;
        }
    }

    /// Notifies the peers that have tunnels through this node that it stops.
    pub async fn announce_tunnels_end(&self) {
        let (Some(sender), Some(tunnels)) = (self.sender(), self.shared.tunnels.get()) else {
            return;
        };
        let peers = tunnels.granted_peers();
        for _ in 0..END_NOTICES {
            self.send(&PeerNotice::TunnelsEnd { sender }, NodeMessageKind::Tunnels, &peers).await;
            tokio::time::sleep(END_NOTICE_INTERVAL).await;
        }
    }
}
