//! A back end as the directory describes it.

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

use crate::world::{Address, BackEndId, ServiceName, ZoneName};

/// Whether a back end takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub enum BackEndState {
    /// It takes requests.
    Ready,
    /// It is leaving: it finishes what it has and must get nothing new.
    Draining,
}

/// The part of a request that a model engine works on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub enum EngineStage {
    /// Reads prompts and hands out handles of their KV cache.
    Prefill,
    /// Generates answers, from another engine's KV cache or from a prompt that it reads itself.
    Decode,
}

impl EngineStage {
    /// The word in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            EngineStage::Prefill => "prefill",
            EngineStage::Decode => "decode",
        }
    }
}

/// One life of a back end.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable, Serialize, Deserialize)]
pub struct BackEnd {
    /// The identity of this life; each request that is sent names the back end, so that another one at the address refuses.
    pub id: BackEndId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: Address,
    /// The zone that it runs in.
    pub zone: ZoneName,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: BackEndState,
    /// The stage that it serves; `None` for plain applications.
    pub stage: Option<EngineStage>,
    /// Whether it may be taken away, with all like it in its zone.
    #[serde(default)]
    pub preemptible: bool,
}
