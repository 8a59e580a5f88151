//! What nodes tell each other.

use std::time::Duration;

use speedy::{Readable, Writable};

use super::configuration_update::PackedUpdate;
use crate::authority::Term;
use crate::back_ends::{DirectoryUpdate, EngineStage};
use crate::duties::usage::UsageCountsMessage;
use crate::routing::ConfigurationNumber;
use crate::stages::DemandReport;
use crate::store::Position;
use crate::time::Timestamp;
use crate::world::{Address, BackEndId};

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum PeerMessage {
    /// What the sender has.
    Digest(Digest),
    /// What the sender's callers ask of engines, for the nodes that decide on stages.
    Demand(DemandReport),
    /// Engines that are about to change their stage.
    Stages(StageNotice),
    /// What the sender's callers have used, for the candidates that report it.
    Usage(UsageCountsMessage),
    /// The candidate at this address has just started and wants all counts that are kept.
    UsageWanted(Address),
}

/// The engines that change their stage now, told by the holder of the lease to all nodes, again and again until they have
/// changed: nothing new is to be sent there.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StageNotice {
    /// The sender's address for its peers.
    pub sender: Address,
    /// The term of the sender's lease; of two senders, the one with the lower term is wrong.
    pub term: Term,
    /// The engines and the stage that each is to serve.
    pub engines: Vec<(BackEndId, EngineStage)>,
}

/// What a node has, sent to a few peers at a time in one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Digest {
    /// The sender.
    pub sender: PeerAddresses,
    /// The configuration in force at the sender; 0 when it has none.
    pub configuration: ConfigurationNumber,
    /// The position of the last change in the sender's directory; 0 when it has none.
    pub directory: Position,
    /// Peers that the sender has heard from lately, a few of them.
    pub peers: Vec<PeerAddresses>,
}

/// Where a node is reached by its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PeerAddresses {
    /// Where it answers pulls and digests; names the node.
    pub control: Address,
    /// Where it takes notices of readings.
    pub notices: Address,
}

/// Asks for what is newer than the asker's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Pull {
    /// The configuration that news of it are to lead on from: the one in force at the asker, or 0 to be told all. `None`: the
    /// asker wants none now. News may be large, so a node has them sent over one connection at a time.
    pub configuration: Option<ConfigurationNumber>,
    /// The position of the asker's directory; without an era where the asker knows none.
    pub directory: Position,
    /// How long the answer may wait until there is something new, in milliseconds.
    pub wait_millis: u32,
}

/// What is newer than the asker's own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct PullAnswer {
    /// The configuration in force at the sender; 0 when it has none.
    pub newest: ConfigurationNumber,
    /// A position of the store at which that configuration was the newest; `None`: not known.
    pub newest_at: Option<Position>,
    /// What leads to it, in order, where the asker wanted it.
    pub configuration: Vec<PackedUpdate>,
    /// What leads to a newer directory.
    pub directory: Option<DirectoryUpdate>,
    /// How long ago the store had confirmed what the sender has, when it made the answer.
    pub ages: KnowledgeAges,
    /// How long the sender had waited for news when it made the answer, in milliseconds.
    pub waited_millis: u32,
}

impl PullAnswer {
    /// A moment at which the sender had not yet made the answer, for one that was asked for at `asked_at`: its ages count back
    /// from there, so that the time an answer was on its way makes nothing younger.
    pub fn made_after(&self, asked_at: Timestamp) -> Timestamp {
        asked_at + Duration::from_millis(u64::from(self.waited_millis))
    }
}

/// How long ago the store has confirmed what a node has, directly or by way of others, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct KnowledgeAges {
    /// Of the configuration; `None`: never.
    pub configuration_millis: Option<u32>,
    /// How long ago the configuration was shown to be the newest, where nothing on its way counts; `None`: never.
    pub configuration_shown_millis: Option<u32>,
    /// Of the directory; `None`: never.
    pub directory_millis: Option<u32>,
}
