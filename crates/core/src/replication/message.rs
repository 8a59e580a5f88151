//! Messages between nodes.

use std::time::Duration;

use speedy::{Readable, Writable};

use super::configuration_update::PackedUpdate;
use crate::authority::Term;
use crate::back_ends::{DirectoryUpdate, EngineStage};
use crate::duties::usage::UsageCountsMessage;
use crate::quota::{ReachReport, TenantLimitNotice, TenantLimitQuery};
use crate::resumption::{VersionNotice, VersionQuery};
use crate::routing::ConfigurationNumber;
use crate::stages::DemandReport;
use crate::store::Position;
use crate::time::Timestamp;
use crate::world::{Address, BackEndId, ZoneName};

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum PeerMessage {
    /// The versions of the sender's configuration and directory.
    Digest(Digest),
    /// The demand of the sender's callers on engines, for the nodes that decide on stages.
    Demand(DemandReport),
    /// Engines that are about to change their stage.
    Stages(StageNotice),
    /// The usage of the sender's callers, for the candidates that report it.
    Usage(UsageCountsMessage),
    /// The candidate at this address has just started and requests all usage counts that its peers keep.
    UsageWanted(Address),
    /// A query for the limits of the sender's configuration.
    TenantLimitsWanted(TenantLimitQuery),
    /// A part of the limits of a configuration.
    TenantLimits(TenantLimitNotice),
    /// The zones of nodes.
    Locations(LocationNotice),
    /// The candidate at this address can't perform duties for the time being.
    DutyUnavailable(Address),
    /// A query for the software versions of back ends.
    VersionsWanted(VersionQuery),
    /// The software versions of back ends.
    Versions(VersionNotice),
    /// How many nodes the sender sees and has seen.
    Reach(ReachNotice),
}

/// How many nodes the sender sees and has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReachNotice {
    /// The address at which peers reach the sender.
    pub sender: Address,
    /// What it sees.
    pub report: ReachReport,
}

/// The zones of some nodes, as the sender knows them, so that nodes know which peers are near.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LocationNotice {
    /// The address at which peers reach the sender.
    pub sender: Address,
    /// The address where each node receives notices, and its zone.
    pub locations: Vec<(Address, ZoneName)>,
}

/// The engines that are changing their stage. The holder of the lease announces them to all nodes repeatedly until the
/// change is complete; nodes must send them no new requests.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StageNotice {
    /// The address at which peers reach the sender.
    pub sender: Address,
    /// The term of the sender's lease; of two senders, the one with the lower term is outdated.
    pub term: Term,
    /// The engines, each with the stage that it is to serve.
    pub engines: Vec<(BackEndId, EngineStage)>,
}

/// The versions of a node's configuration and directory, sent in one datagram to a few peers at a time.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Digest {
    /// The sender.
    pub sender: PeerAddresses,
    /// The configuration in force at the sender; 0 when it has none.
    pub configuration: ConfigurationNumber,
    /// The position of the last change in the sender's directory; 0 when it has none.
    pub directory: Position,
    /// A few of the peers from which the sender has received a digest recently.
    pub peers: Vec<PeerAddresses>,
}

/// The addresses at which peers reach a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PeerAddresses {
    /// Where it receives digests and pulls; identifies the node.
    pub control: Address,
    /// Where it receives prefill notices.
    pub notices: Address,
}

/// Requests everything newer than what the requesting node has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Pull {
    /// The version to send updates from: the one in force at the requesting node, or 0 for the full configuration.
    /// `None`: no updates. Updates may be large, so a node requests them over one connection at a time.
    pub configuration: Option<ConfigurationNumber>,
    /// The position of the requesting node's directory; without an era when that node knows none.
    pub directory: Position,
    /// How long the answer may be held back until there is an update, in milliseconds.
    pub wait_millis: u32,
}

/// Everything newer than what the requesting node has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct PullAnswer {
    /// The configuration in force at the sender; 0 when it has none.
    pub newest: ConfigurationNumber,
    /// A position of the store at which that configuration was the newest; `None`: unknown.
    pub newest_at: Option<Position>,
    /// The updates that lead to it, in order, if the pull requested them.
    pub configuration: Vec<PackedUpdate>,
    /// The update to a newer directory.
    pub directory: Option<DirectoryUpdate>,
    /// How long ago the store had confirmed the sender's state when the sender made the answer.
    pub ages: KnowledgeAges,
    /// How long the sender had waited for an update before it made the answer, in milliseconds.
    pub waited_millis: u32,
}

impl PullAnswer {
    /// A lower bound of the time at which the sender made the answer to a pull sent at `asked_at`. The ages in the answer
    /// count back from it, so that time in transit never makes knowledge appear younger than it is.
    pub fn made_after(&self, asked_at: Timestamp) -> Timestamp {
        asked_at + Duration::from_millis(u64::from(self.waited_millis))
    }
}

/// How long ago the store confirmed a node's state, directly or through other nodes, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct KnowledgeAges {
    /// Age of the confirmation of the configuration; `None`: never confirmed.
    pub configuration_millis: Option<u32>,
    /// How long ago the configuration was verified to be the newest, where time in transit or spent waiting never lowers
    /// the age; `None`: never verified.
    pub configuration_current_millis: Option<u32>,
    /// Age of the confirmation of the directory; `None`: never confirmed.
    pub directory_millis: Option<u32>,
}
