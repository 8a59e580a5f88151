//! The engine's own call to another engine, whose KV cache it imports.

use std::net::SocketAddr;
use std::time::Duration;

use havengate_node::engines::dialect::KvHandle;
use ureq::Agent;

/// How long one engine waits for another.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Claims exported KV caches at other engines.
pub(super) struct KvClient {
    agent: Agent,
}

impl KvClient {
    pub(super) fn new() -> Self {
        let config = Agent::config_builder()
            .proxy(None)
            .http_status_as_error(false)
            .max_redirects(0)
            .timeout_global(Some(TIMEOUT))
            .build();
        KvClient { agent: config.into() }
    }

    /// The KV cache that `handle` names, as it now belongs to this engine; `None` when it is gone.
    pub(super) fn claim(&self, handle: &KvHandle) -> Option<KvHandle> {
        let engine: SocketAddr = handle.engine.parse().ok()?;
        let mut response = self.agent.post(format!("http://{engine}/v1/kv/claim")).send_json(handle).ok()?;
        if response.status().as_u16() != 200 {
            return None;
        }
        response.body_mut().read_json().ok()
    }
}
