//! Fetches a newer configuration from a peer that has it, from one peer at a time however many announce it.
//!
//! Parallel transfers share the bandwidth of the link, so each would take as many times longer as there are transfers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use havengate_core::routing::ConfigurationNumber;
use havengate_core::world::Address;
use tokio::sync::Notify;

use super::learner::Learner;
use super::reader_role::ReaderRole;
use super::transfer::{CONNECT_TIME_LIMIT, PeersError, TransferTimeouts, ask, connect};

/// The time limit for a peer's first byte: many nodes ask it at the same moment, and its link may be slow. Together
/// with the connect time limit it is below the two seconds within which a configuration change must be active.
const FIRST_BYTE_LIMIT: Duration = Duration::from_secs(1);

/// Fetches newer configurations. Clones share the state.
#[derive(Clone)]
pub struct ConfigurationFetcher {
    learner: Learner,
    /// Used to determine which peers are in other regions.
    role: ReaderRole,
    /// The peers that have announced a newer configuration than this node's.
    peers_ahead: Rc<RefCell<BTreeMap<Address, ConfigurationNumber>>>,
    peer_added: Rc<Notify>,
}

impl ConfigurationFetcher {
    /// Creates a fetcher that passes answers to `learner`.
    pub fn new(learner: Learner, role: ReaderRole) -> Self {
        ConfigurationFetcher { learner, role, peers_ahead: Rc::default(), peer_added: Rc::default() }
    }

    /// Records which configuration a peer has; a newer one is fetched.
    pub fn record_configuration_of(&self, peer: Address, version: ConfigurationNumber) {
        if version > self.learner.knowledge().configuration_number() {
            self.peers_ahead.borrow_mut().insert(peer, version);
            self.peer_added.notify_one();
        }
    }

    /// Fetches newer configurations as they are announced; never returns.
    pub async fn run(self) {
        loop {
            self.peer_added.notified().await;
            while let Some(peer) = self.choose_source() {
                if let Err(error) = self.fetch_from(peer).await {
                    // The peer announces its configuration again, or another one does.
                    self.peers_ahead.borrow_mut().remove(&peer);
                    log::warn!(event = "pull_failed", peer:% = peer, error:% = error; "");
                }
            }
        }
    }

    /// Chooses a peer that is ahead of this node, in the own region if possible. The choice is random, so that not all
    /// nodes ask the same peer.
    fn choose_source(&self) -> Option<Address> {
        let own = self.learner.knowledge().configuration_number();
        let mut peers_ahead = self.peers_ahead.borrow_mut();
        peers_ahead.retain(|_, version| *version > own);
        let (distant, near): (Vec<Address>, Vec<Address>) =
            peers_ahead.keys().partition(|peer| self.role.is_distant(**peer));
        fastrand::choice(near).or_else(|| fastrand::choice(distant))
    }

    async fn fetch_from(&self, peer: Address) -> Result<(), PeersError> {
        let mut stream = connect(peer, CONNECT_TIME_LIMIT).await?;
        let asked_at = self.learner.clock().now();
        let timeouts = TransferTimeouts::with_first_byte(FIRST_BYTE_LIMIT);
        let pull = self.learner.pull_for(peer, self.learner.pull_of_configuration());
        let answer = self.learner.with_own_era(peer, ask(&mut stream, &pull, timeouts).await?);
        // A peer that has less than it announced, or whose update is invalid, isn't asked again before its next
        // announcement.
        self.peers_ahead.borrow_mut().remove(&peer);
        self.learner.apply_answer(answer, asked_at);
        Ok(())
    }
}
