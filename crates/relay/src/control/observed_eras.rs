//! Which eras of the store this node has heard of, and which peers know of none.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;

use havengate_core::store::{Position, StoreEra};
use havengate_core::time::Timestamp;
use havengate_core::world::Address;
use tokio::sync::watch;

/// Peers without an era that are remembered.
const ERALESS_PEERS_MAXIMUM: usize = 2_000;

/// What was heard of eras, by whomever: a reason to ask, and nothing that is believed.
pub struct ObservedEras {
    newest: watch::Sender<StoreEra>,
    /// Since when this process has heard of the newest one.
    since: Cell<Timestamp>,
    /// Peers that tell their positions without an era: those of a build before eras, or that know none.
    eraless: RefCell<BTreeSet<Address>>,
}

impl ObservedEras {
    /// Nothing was heard yet.
    pub fn new() -> Self {
        ObservedEras {
            newest: watch::Sender::new(StoreEra::default()),
            since: Cell::new(Timestamp::ZERO),
            eraless: RefCell::default(),
        }
    }

    /// Notes that somebody tells this era.
    pub fn note(&self, era: StoreEra, now: Timestamp) {
        if era > self.newest() {
            self.since.set(now);
            self.newest.send_replace(era);
        }
    }

    /// The newest era.
    pub fn newest(&self) -> StoreEra {
        *self.newest.borrow()
    }

    /// The newest era, now and from now on.
    pub fn subscribe(&self) -> watch::Receiver<StoreEra> {
        self.newest.subscribe()
    }

    /// Since when this process has heard of `era`; `None` where that is not known.
    pub fn known_since(&self, era: StoreEra) -> Option<Timestamp> {
        (self.newest() == era).then(|| self.since.get())
    }

    /// Notes the position that a peer tells of its directory.
    pub fn note_peer(&self, peer: Address, directory: Position, now: Timestamp) {
        self.note(directory.era, now);
        let mut eraless = self.eraless.borrow_mut();
        if directory.era.is_told() {
            eraless.remove(&peer);
        } else if directory != Position::default() && eraless.len() < ERALESS_PEERS_MAXIMUM {
            eraless.insert(peer);
        }
    }

    /// Whether a peer tells no eras.
    pub fn is_eraless(&self, peer: Address) -> bool {
        self.eraless.borrow().contains(&peer)
    }
}
