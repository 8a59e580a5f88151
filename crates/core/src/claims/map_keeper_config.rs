//! The times by which the slot map is kept.

use std::time::Duration;

/// Times of the spread and the change of the map.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotMapKeeperConfig {
    /// Time between two tellings of a node's version to another one, drawn at random. A message has some ten bytes.
    pub gossip_interval: Duration,
    /// Time between two reads of the store by the proposer; also between two rounds of asking holders what they hold.
    pub review_interval: Duration,
    /// How long a holder must be missing, or live without a vote, before it is replaced. A node that restarts in this
    /// time costs no change of the map.
    pub patience: Duration,
    /// How long a missing holder's machine must be absent from the platform's list to count as gone for good. It must
    /// exceed the lag of that list.
    pub gone_after: Duration,
    /// How long the proposer waits for other nodes to come up before it writes the first map.
    pub founding_delay: Duration,
    /// How long a reply of the store is waited for.
    pub store_timeout: Duration,
}

impl Default for SlotMapKeeperConfig {
    fn default() -> Self {
        SlotMapKeeperConfig {
            gossip_interval: Duration::from_secs(2),
            review_interval: Duration::from_secs(30),
            patience: Duration::from_secs(60),
            gone_after: Duration::from_secs(600),
            founding_delay: Duration::from_secs(5),
            store_timeout: Duration::from_secs(10),
        }
    }
}
