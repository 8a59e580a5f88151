//! A caller's request, as the node goes by it.

use std::sync::Arc;

use bytes::Bytes;
use havengate_core::relay::{ContentId, Prompt, Urgency};
use havengate_core::routing::{Route, TenantAccess};
use havengate_core::time::Timestamp;
use havengate_core::world::ServiceName;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};

use crate::protocol::RequestHead;

/// Prompts of this many tokens and more are worth a choice of the engine that reads them; shorter ones take less time on
/// the engine that answers them than the move of their KV cache.
const LONG_PROMPT_TOKENS: u32 = 2_000;

/// A caller's request, read whole.
pub struct CallerRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The headers that travel.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// What the head says.
    pub head: RequestHead,
    /// What it asks, the same for each copy of it.
    pub content: ContentId,
    /// The route.
    pub route: Arc<Route>,
    /// Whose request it is, by its key; `None`: nobody's in particular.
    pub tenant: Option<Arc<TenantAccess>>,
    /// The service that the request goes to.
    pub service: ServiceName,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When the request must have ended.
    pub ends_at: Timestamp,
    /// Whether it can be in time, as it was last expected.
    pub urgency: Urgency,
}

impl CallerRequest {
    /// The rank among requests alike: the tenant's, else the route's; 0 is the most urgent.
    pub fn rank(&self) -> u8 {
        self.tenant.as_ref().and_then(|tenant| tenant.priority).unwrap_or(self.route.priority)
    }

    /// The prompt, if it is worth a choice of the engine that reads it.
    pub fn long_prompt(&self) -> Option<&Prompt> {
        self.head.prompt.as_ref().filter(|prompt| prompt.tokens >= LONG_PROMPT_TOKENS)
    }
}
