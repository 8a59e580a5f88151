//! A back end as listed in the directory.

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use crate::world::{Address, BackEndId, ServiceName, ZoneName};

/// Whether a back end takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub enum BackEndState {
    /// Accepts requests.
    Ready,
    /// Finishes its running requests and must get no new ones.
    Draining,
}

/// The stage of a request that a model engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Readable, Writable, Serialize, Deserialize)]
pub enum EngineStage {
    /// Processes prompts and returns handles to their KV cache.
    Prefill,
    /// Generates answers, from another engine's KV cache or after its own prefill.
    Decode,
}

impl EngineStage {
    /// The name in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            EngineStage::Prefill => "prefill",
            EngineStage::Decode => "decode",
        }
    }
}

/// One incarnation of a back end.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct BackEnd {
    /// The identity of this incarnation. Each request names it, so that a different back end at the same address
    /// refuses it.
    pub id: BackEndId,
    /// The service that the back end belongs to.
    pub service: ServiceName,
    /// The address that it listens on.
    pub address: Address,
    /// The zone that it runs in.
    pub zone: ZoneName,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: BackEndState,
    /// The stage that it serves; `None` for plain applications.
    pub stage: Option<EngineStage>,
    /// Whether it may be preempted, together with all preemptible back ends of its zone.
    #[serde(default)]
    pub preemptible: bool,
}
