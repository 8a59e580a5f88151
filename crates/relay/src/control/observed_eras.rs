//! The eras of the store that this node has observed, and the peers that send positions without an era.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;

use havengate_core::store::{Position, StoreEra};
use havengate_core::time::Timestamp;
use havengate_core::world::Address;
use tokio::sync::watch;

/// The most peers without an era that are remembered.
const PEERS_WITHOUT_ERA_MAXIMUM: usize = 2_000;

/// The eras observed from any source. They only prompt a query to the store and are not trusted by themselves.
pub struct ObservedEras {
    newest: watch::Sender<StoreEra>,
    /// When this process first observed the newest era.
    newest_since: Cell<Timestamp>,
    /// Peers that send positions without an era: their build predates eras, or they know none.
    peers_without_era: RefCell<BTreeSet<Address>>,
}

impl ObservedEras {
    /// Creates the state in which no era has been observed.
    pub fn new() -> Self {
        ObservedEras {
            newest: watch::Sender::new(StoreEra::default()),
            newest_since: Cell::new(Timestamp::ZERO),
            peers_without_era: RefCell::default(),
        }
    }

    /// Records an era reported by the store or by a peer.
    pub fn observe(&self, era: StoreEra, now: Timestamp) {
        if era > self.newest() {
            self.newest_since.set(now);
            self.newest.send_replace(era);
        }
    }

    /// The newest era observed.
    pub fn newest(&self) -> StoreEra {
        *self.newest.borrow()
    }

    /// Subscribes to the newest era observed.
    pub fn subscribe(&self) -> watch::Receiver<StoreEra> {
        self.newest.subscribe()
    }

    /// When this process first observed `era`; `None` unless it is the newest one.
    pub fn observed_since(&self, era: StoreEra) -> Option<Timestamp> {
        (self.newest() == era).then(|| self.newest_since.get())
    }

    /// Records the position of a peer's directory.
    pub fn record_peer(&self, peer: Address, directory: Position, now: Timestamp) {
        self.observe(directory.era, now);
        let mut peers_without_era = self.peers_without_era.borrow_mut();
        if directory.era.is_reported() {
            peers_without_era.remove(&peer);
        } else if directory != Position::default() && peers_without_era.len() < PEERS_WITHOUT_ERA_MAXIMUM {
            peers_without_era.insert(peer);
        }
    }

    /// Whether a peer sends positions without an era.
    pub fn lacks_era(&self, peer: Address) -> bool {
        self.peers_without_era.borrow().contains(&peer)
    }
}
