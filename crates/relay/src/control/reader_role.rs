//! Determines from the known peers whether this node reads the store.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

use havengate_core::replication::Readers;
use havengate_core::time::Timestamp;
use havengate_core::world::Address;
use havengate_node::clock::Clock;

/// This node's role in reading the store. Clones share the state.
#[derive(Clone)]
pub struct ReaderRole {
    readers: Rc<RefCell<Readers>>,
    peers: Rc<RefCell<Vec<Address>>>,
    is_reader: Rc<Cell<bool>>,
    clock: Clock,
}

impl ReaderRole {
    /// The role of a node that knows no peers yet: it is a reader.
    pub fn new(readers: Readers, clock: Clock) -> Self {
        ReaderRole {
            readers: Rc::new(RefCell::new(readers)),
            peers: Rc::default(),
            is_reader: Rc::new(Cell::new(true)),
            clock,
        }
    }

    /// Recomputes the role from the peers from which messages arrived recently, of which `distant` are in other
    /// regions.
    pub fn set_peers(&self, peers: Vec<Address>, distant: BTreeSet<Address>) {
        self.readers.borrow_mut().set_distant(distant);
        let is_reader = self.readers.borrow().includes_own(&peers);
        if self.is_reader.replace(is_reader) != is_reader {
            log::info!(event = "reader_role", reads_store = is_reader, peers = peers.len(); "");
        }
        *self.peers.borrow_mut() = peers;
    }

    /// Whether this node is one of the readers.
    pub fn is_reader(&self) -> bool {
        self.is_reader.get()
    }

    /// Whether this node has to ask the store about knowledge that was confirmed at `confirmed_at`: a reader always,
    /// another node when that knowledge is stale.
    pub fn must_read(&self, confirmed_at: Option<Timestamp>) -> bool {
        self.is_reader() || self.is_stale(confirmed_at)
    }

    /// Whether knowledge that was confirmed at `confirmed_at` is stale.
    pub fn is_stale(&self, confirmed_at: Option<Timestamp>) -> bool {
        self.readers.borrow().is_stale(confirmed_at, self.clock.now())
    }

    /// The peer at index `slot` of this node's feeds, counted from 0.
    pub fn feed(&self, slot: usize) -> Option<Address> {
        self.readers.borrow().feeds(&self.peers.borrow(), self.clock.now()).get(slot).copied()
    }

    /// Whether `peer` is in another region.
    pub fn is_distant(&self, peer: Address) -> bool {
        self.readers.borrow().is_distant(peer)
    }

    /// Records that `reader` could not be reached or that its knowledge is stale.
    pub fn suspend(&self, reader: Address) {
        self.readers.borrow_mut().suspend(reader, self.clock.now());
    }
}
