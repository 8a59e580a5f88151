//! How the stand-ins for engines and platform behave.

use std::time::Duration;

use havengate_core::world::Address;
use serde::{Deserialize, Serialize};

/// How stand-in engines behave beyond what [`havengate_core::world::EnginePerformance`] says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineStandInOptions {
    /// How old load reports are. Default: 500 ms.
    #[serde(with = "humantime_serde")]
    pub load_report_lag: Duration,
    /// How late cache events come. Default: 200 ms.
    #[serde(with = "humantime_serde")]
    pub cache_event_delay: Duration,
    /// The share of cache events that is lost, 0 to 1. Default: 0.01.
    pub cache_event_loss: f64,
    /// How long loading a model version or an adapter takes. Default: 10 s.
    #[serde(with = "humantime_serde")]
    pub model_load: Duration,
}

impl Default for EngineStandInOptions {
    fn default() -> Self {
        EngineStandInOptions {
            load_report_lag: Duration::from_millis(500),
            cache_event_delay: Duration::from_millis(200),
            cache_event_loss: 0.01,
            model_load: Duration::from_secs(10),
        }
    }
}

/// How the stand-in platform behaves. Outages are the business of experiments.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformStandInOptions {
    /// Where its API listens.
    pub address: Address,
    /// How long a call takes. Default: 5 ms.
    #[serde(default = "default_call_latency", with = "humantime_serde")]
    pub call_latency: Duration,
    /// Watches that it serves at once; more are refused. Default: 8.
    #[serde(default = "default_readers_maximum")]
    pub readers_maximum: u16,
    /// How old its list of machines is. Default: 10 s.
    #[serde(default = "default_machine_list_lag", with = "humantime_serde")]
    pub machine_list_lag: Duration,
}

fn default_call_latency() -> Duration {
    Duration::from_millis(5)
}

fn default_readers_maximum() -> u16 {
    8
}

fn default_machine_list_lag() -> Duration {
    Duration::from_secs(10)
}
