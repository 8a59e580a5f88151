//! The learner's pulls from other nodes, and the answers to theirs.

use std::sync::Arc;
use std::time::Duration;

use havengate_core::back_ends::DirectoryUpdate;
use havengate_core::replication::{KnowledgeAges, PackedUpdate, Pull, PullAnswer};
use havengate_core::routing::ConfigurationNumber;
use havengate_core::store::{Position, Revision, StoreEra};
use havengate_core::time::Timestamp;
use havengate_core::world::Address;

use super::{Learner, Source};
use crate::knowledge::ActiveConfiguration;

impl Learner {
    /// A pull for the directory changes that this node lacks. The peer may delay its answer by up to `wait` until it
    /// has an update, of the configuration as well.
    pub fn pull_of_directory(&self, wait: Duration) -> Pull {
        let own = self.directory_position().unwrap_or_default();
        // Of an era that was only observed, this node lacks everything.
        let observed = Position::new(self.observed_eras.newest(), Revision::default());
        Pull {
            configuration: None,
            directory: own.max(observed),
            wait_millis: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// A pull for everything that this node lacks, the configuration included.
    pub fn pull_of_configuration(&self) -> Pull {
        let own = self.knowledge.load().configuration_number();
        let base = if self.needs_full_configuration.get() { ConfigurationNumber::default() } else { own };
        Pull { configuration: Some(base), ..self.pull_of_directory(Duration::ZERO) }
    }

    /// Records the position of a peer's directory.
    pub fn record_peer_position(&self, peer: Address, directory: Position) {
        self.observed_eras.record_peer(peer, directory, self.clock.now());
    }

    /// Adapts a pull to `peer`: a peer that sends positions without an era is sent none.
    pub fn pull_for(&self, peer: Address, pull: Pull) -> Pull {
        if !self.observed_eras.lacks_era(peer) {
            return pull;
        }
        Pull { directory: self.directory_position().unwrap_or_default().without_era(), ..pull }
    }

    /// Assigns this node's era to the positions in an answer of `peer` that come without one, and drops what can't be
    /// assigned.
    ///
    /// As long as the store was never restored, every position without an era belongs to the only era that there was.
    pub fn with_own_era(&self, peer: Address, answer: PullAnswer) -> PullAnswer {
        let era = self.directory.borrow().position().era;
        if !era.is_reported() || !self.observed_eras.lacks_era(peer) {
            return answer;
        }
        let has_single_era = !self.directory.borrow().was_restored();
        PullAnswer {
            newest_at: answer.newest_at.filter(|_| has_single_era).map(|at| Position::new(era, at.revision)),
            directory: answer.directory.filter(|_| has_single_era).map(|update| update.with_era(era)),
            ..answer
        }
    }

    /// Applies the answer of a peer that was asked at `asked_at`.
    pub fn apply_answer(&self, answer: PullAnswer, asked_at: Timestamp) {
        let confirmed = |age_millis| self.confirmed_at(&answer, asked_at, age_millis);
        let ages = answer.ages;
        let (configuration, directory) = (confirmed(ages.configuration_millis), confirmed(ages.directory_millis));
        let current_age_millis = ages.configuration_current_millis;
        for update in answer.configuration {
            self.adopt_update(update);
        }
        let own = self.knowledge.load().configuration_number();
        if own >= answer.newest {
            // The peer has no configuration that this node lacks, so its confirmation holds for this node.
            if let Some(confirmed_at) = configuration {
                self.confirm_configuration(confirmed_at);
            }
            if let Some(millis) = current_age_millis {
                self.mark_configuration_current(asked_at - Duration::from_millis(u64::from(millis)));
            }
        }
        if let Some(position) = answer.newest_at.filter(|_| own == answer.newest) {
            self.advance_configuration_position(position);
        }
        let Some(confirmed_at) = directory else {
            return;
        };
        match answer.directory {
            Some(DirectoryUpdate::Changes(changes)) => self.apply_changes(changes, confirmed_at, Source::Peer),
            Some(DirectoryUpdate::Listing(listing)) => self.adopt_listing(listing, confirmed_at, Source::Peer),
            None => {}
        }
    }

    /// Converts an age in the answer of a peer that was asked at `asked_at` to a timestamp, which is never later than
    /// the real one, however long the answer was in transit.
    pub fn confirmed_at(&self, answer: &PullAnswer, asked_at: Timestamp, age_millis: Option<u32>) -> Option<Timestamp> {
        let made_after = answer.made_after(asked_at).min(self.clock.now());
        age_millis.map(|millis| made_after - Duration::from_millis(u64::from(millis)))
    }

    /// The answer to a peer's `pull`, which has waited for an update for `waited`.
    pub fn answer(&self, pull: Pull, waited: Duration) -> PullAnswer {
        let now = self.clock.now();
        let age = |confirmed_at: Option<Timestamp>| {
            confirmed_at.map(|confirmed_at| u32::try_from(now.since(confirmed_at).as_millis() + 1).unwrap_or(u32::MAX))
        };
        let knowledge = self.knowledge.load();
        PullAnswer {
            newest: knowledge.configuration_number(),
            newest_at: self.configuration_position_for(pull.directory.era),
            configuration: pull.configuration.map(|base| self.updates_since(base)).unwrap_or_default(),
            directory: self.directory.borrow().update_since(pull.directory),
            ages: KnowledgeAges {
                configuration_millis: age(self.configuration_confirmed_at.get()),
                configuration_current_millis: age(self.configuration_current_at.get()),
                directory_millis: age(knowledge.directory_confirmed_at),
            },
            waited_millis: u32::try_from(waited.as_millis()).unwrap_or_default(),
        }
    }

    /// The updates from `base` to the active configuration: the incremental ones if they are retained, otherwise the
    /// full configuration.
    fn updates_since(&self, base: ConfigurationNumber) -> Vec<PackedUpdate> {
        let knowledge = self.knowledge.load();
        let updates = |active: &Arc<ActiveConfiguration>| {
            self.configuration_updates.borrow_mut().since(base, &active.configuration)
        };
        knowledge.configuration.as_ref().map(updates).unwrap_or_default()
    }

    /// A position at which the active configuration was the newest, in the form for a peer whose positions are in
    /// `era`.
    fn configuration_position_for(&self, era: StoreEra) -> Option<Position> {
        let own = self.configuration_position.get()?;
        if era.is_reported() || !own.era.is_reported() {
            return Some(own);
        }
        (!self.directory.borrow().was_restored()).then(|| own.without_era())
    }
}
