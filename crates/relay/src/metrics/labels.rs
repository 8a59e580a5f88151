//! What tells the values of one metric apart.

use prometheus_client::encoding::EncodeLabelSet;

/// Labels of a request's end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabels {
    /// The route; empty when none was found.
    pub route: String,
    /// How the request ended.
    pub outcome: &'static str,
    /// Why.
    pub cause: &'static str,
}

/// Labels of a send.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SendLabels {
    /// The service.
    pub service: String,
    /// What was sent: a prompt to be read, or a request to be answered.
    pub stage: &'static str,
    /// How the send ended.
    pub outcome: &'static str,
}

/// Labels of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreLabels {
    /// What was asked for.
    pub call: &'static str,
    /// How the call ended.
    pub outcome: &'static str,
}

/// Labels of a service's budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabel {
    /// The service.
    pub service: String,
}

/// Labels of a run that a back end broke off.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BrokenRunLabel {
    /// What has become of the back end.
    pub back_end: &'static str,
}

/// Labels of a request under which engines ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SuspectLabel {
    /// What became of it.
    pub outcome: &'static str,
}

/// Labels of a latency.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteLabel {
    /// The route.
    pub route: String,
}

/// What a message between nodes is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NodeMessageKind {
    /// Prompts that are read.
    Prefills,
    /// What engines keep, for nodes that have just started.
    CachedParts,
    /// Which versions nodes have.
    Digest,
    /// Configuration and directory.
    Feed,
    /// What callers ask of engines.
    Demand,
    /// Engines that change their stage.
    Stages,
    /// What callers have used.
    Usage,
    /// Back ends that could not be reached.
    Unreachable,
    /// Engines that ended while they ran requests.
    Terminations,
    /// Back ends that said that they leave.
    Draining,
    /// What back ends in need take.
    Limits,
}

impl NodeMessageKind {
    pub(super) fn code(self) -> &'static str {
        match self {
            NodeMessageKind::Prefills => "readings",
            NodeMessageKind::CachedParts => "kept_parts",
            NodeMessageKind::Digest => "digest",
            NodeMessageKind::Feed => "feed",
            NodeMessageKind::Demand => "demand",
            NodeMessageKind::Stages => "stages",
            NodeMessageKind::Usage => "usage",
            NodeMessageKind::Unreachable => "unreachable",
            NodeMessageKind::Terminations => "ends",
            NodeMessageKind::Draining => "leaving",
            NodeMessageKind::Limits => "limits",
        }
    }
}

/// Labels of messages between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MessageLabel {
    /// What they are about.
    pub kind: &'static str,
}

/// Labels of an estimate.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EstimateLabel {
    /// What is estimated.
    pub name: &'static str,
}

/// Labels of changes of engines' stages.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StageChangeLabels {
    /// The stage that was to be served.
    pub to: &'static str,
    /// How the change ended.
    pub outcome: &'static str,
}

/// Labels of orders to engines.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StageOrderLabel {
    /// How the engine answered.
    pub answer: &'static str,
}

/// Labels of calls of duties.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DutyLabels {
    /// The duty.
    pub duty: &'static str,
    /// How the call was answered.
    pub answer: &'static str,
}

/// Labels of what back ends say of themselves in answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct NoticeLabel {
    /// What they say.
    pub notice: &'static str,
}

/// Labels of what was told by somebody.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SourceLabel {
    /// Who told it.
    pub source: &'static str,
}

/// Labels of messages that were dropped.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DropLabel {
    /// Why.
    pub cause: &'static str,
}
