//! Intervals and timeouts of the slot map's upkeep.

use std::time::Duration;

/// Intervals and timeouts for spreading and changing the slot map.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotMapKeeperConfig {
    /// Interval at which a node sends its map version to a peer chosen at random. A message has about ten bytes.
    pub gossip_interval: Duration,
    /// Interval at which the proposer reads the store and requests the holders' statuses.
    pub review_interval: Duration,
    /// How long a holder must be missing, or live without a vote, before it is replaced. A node that restarts within
    /// this time causes no change of the map.
    pub replacement_delay: Duration,
    /// How long a missing holder's machine must be absent from the platform's list to count as permanently gone. It
    /// must exceed the lag of that list.
    pub gone_after: Duration,
    /// How long the proposer waits for other nodes to start before it writes the first map.
    pub first_map_delay: Duration,
    /// How long to wait for a reply of the store.
    pub store_timeout: Duration,
}

impl Default for SlotMapKeeperConfig {
    fn default() -> Self {
        SlotMapKeeperConfig {
            gossip_interval: Duration::from_secs(2),
            review_interval: Duration::from_secs(30),
            replacement_delay: Duration::from_secs(60),
            gone_after: Duration::from_secs(600),
            first_map_delay: Duration::from_secs(5),
            store_timeout: Duration::from_secs(10),
        }
    }
}
