//! A caller's request in the form that the node routes and sends.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use havengate_core::relay::{ContentId, Prompt, SharedPart, Urgency};
use havengate_core::resumption::VersionKey;
use havengate_core::routing::{Route, TenantAccess};
use havengate_core::time::Timestamp;
use havengate_core::world::ServiceName;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};

use super::body_memory::HeldBody;
use crate::back_ends::UsedConnections;
use crate::protocol::RequestHead;
use crate::quotas::QuotaPermit;

/// The smallest prompt for which the engine that prefills it is chosen separately. The prefill of a shorter one on the
/// engine that answers takes less time than moving its KV cache there.
const LONG_PROMPT_TOKENS: u32 = 2_000;

/// A caller's request, read in full.
pub struct CallerRequest {
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub target: Uri,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Accounts for the memory of the body.
    pub held_body: HeldBody,
    /// The parsed head.
    pub head: RequestHead,
    /// The id of its content, the same for each copy of the request.
    pub content: ContentId,
    /// The parts of its prompt that other requests may share.
    pub shared_parts: Rc<[SharedPart]>,
    /// The route.
    pub route: Arc<Route>,
    /// The tenant, by the request's key; `None` for an anonymous request.
    pub tenant: Option<Arc<TenantAccess>>,
    /// The units of the tenant's limit that it was admitted with; `None` if there is no limit.
    pub permit: Option<QuotaPermit>,
    /// The service that the request goes to.
    pub service: ServiceName,
    /// The only software version that may answer, as it began the stream that the request takes up again; `None` for a
    /// new request.
    pub resumed_version: Option<VersionKey>,
    /// When it arrived.
    pub arrived: Timestamp,
    /// The request's deadline.
    pub ends_at: Timestamp,
    /// Whether it is expected to be in time, by the last estimate.
    pub urgency: Urgency,
    /// The connections that it has been sent over.
    pub used_connections: UsedConnections,
}

impl CallerRequest {
    /// The rank among requests of the same urgency: the tenant's priority, else the route's; 0 is the most urgent.
    pub fn rank(&self) -> u8 {
        self.tenant.as_ref().and_then(|tenant| tenant.priority).unwrap_or(self.route.priority)
    }

    /// The prompt, if it is long enough for the engine that prefills it to be chosen separately.
    pub fn long_prompt(&self) -> Option<&Prompt> {
        self.head.prompt.as_ref().filter(|prompt| prompt.tokens >= LONG_PROMPT_TOKENS)
    }
}
