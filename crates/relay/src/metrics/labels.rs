//! Label sets of the metrics.

use prometheus_client::encoding::EncodeLabelSet;

/// Labels of a request's end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabels {
    /// The route; empty when no route matched.
    pub route: String,
    /// How the request ended.
    pub outcome: &'static str,
    /// The cause of the outcome.
    pub cause: &'static str,
}

/// Labels of a send.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SendLabels {
    /// The service.
    pub service: String,
    /// The stage that was sent: a prefill, or a request to be answered.
    pub stage: &'static str,
    /// How the send ended.
    pub outcome: &'static str,
}

/// Labels of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreLabels {
    /// The operation.
    pub call: &'static str,
    /// How the call ended.
    pub outcome: &'static str,
}

/// Labels of a service's repeat budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabel {
    /// The service.
    pub service: String,
}

/// Labels of the limit of a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TenantLabel {
    /// The tenant.
    pub tenant: String,
}

/// Labels of requests of a tenant with a limit.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TenantRequestLabels {
    /// The tenant.
    pub tenant: String,
    /// What happened to their units.
    pub outcome: &'static str,
}

/// Label of an answer that proves nothing about its request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerFaultLabel {
    /// Why.
    pub fault: &'static str,
}

/// Labels of the end of a back end's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerEndLabels {
    /// How the answer marks its end.
    pub framing: &'static str,
    /// What the end shows; empty for an answer that was interrupted.
    pub end: &'static str,
}

/// Labels of a run that a back end interrupted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BrokenRunLabel {
    /// The later state of the back end.
    pub back_end: &'static str,
}

/// Labels of a request under which engines terminated.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SuspectLabel {
    /// The outcome of the request.
    pub outcome: &'static str,
}

/// Labels of a stream that a caller takes up again.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResumedStreamLabels {
    /// How it is known where it began.
    pub known: &'static str,
    /// Whether it goes on, or why not.
    pub verdict: &'static str,
}

/// Labels of a latency.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteLabel {
    /// The route.
    pub route: String,
}

/// The subject of a message between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NodeMessageKind {
    /// Prefills in progress.
    Prefills,
    /// Cached parts of engines, for nodes that have just started.
    CachedParts,
    /// The versions that a node has.
    Digest,
    /// Updates of the configuration and the directory.
    Feed,
    /// The callers' demand on engines.
    Demand,
    /// Engines that change their stage.
    Stages,
    /// The callers' usage.
    Usage,
    /// Back ends that could not be reached.
    Unreachable,
    /// Engines that terminated while running requests.
    Terminations,
    /// Draining back ends.
    Draining,
    /// Rate limits of overloaded back ends.
    Limits,
    /// The limits of tenants.
    TenantLimits,
    /// Requests and grants of units of tenants' limits.
    Quotas,
    /// The zones of nodes.
    Locations,
    /// Queries and offers of tunnels.
    Tunnels,
    /// Candidates that can't perform duties.
    Duties,
    /// The software versions of back ends.
    Versions,
    /// Where streams began.
    Origins,
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
            NodeMessageKind::TenantLimits => "tenant_limits",
            NodeMessageKind::Quotas => "quotas",
            NodeMessageKind::Locations => "locations",
            NodeMessageKind::Tunnels => "tunnels",
            NodeMessageKind::Duties => "duties",
            NodeMessageKind::Versions => "versions",
            NodeMessageKind::Origins => "origins",
        }
    }
}

/// Labels of messages between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MessageLabel {
    /// The subject of the messages.
    pub kind: &'static str,
}

/// Labels of an estimate.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EstimateLabel {
    /// The name of the estimated quantity.
    pub name: &'static str,
}

/// Labels of changes of engines' stages.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StageChangeLabels {
    /// The stage that the engine was to serve.
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

/// Labels of calls that duties make.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DutyLabels {
    /// The duty.
    pub duty: &'static str,
    /// How the call was answered.
    pub answer: &'static str,
}

/// Labels of notices that back ends send about themselves in answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct NoticeLabel {
    /// The kind of notice.
    pub notice: &'static str,
}

/// Labels of updates by their source.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SourceLabel {
    /// The source of the update.
    pub source: &'static str,
}

/// Labels of messages that were dropped.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DropLabel {
    /// The reason for dropping them.
    pub cause: &'static str,
}
