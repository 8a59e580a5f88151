//! A real dispatcher with a pool of simulated engines in virtual time, and a history of each request.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod engine;
mod history;
mod pool;

use std::time::Duration;

use havengate_core::configuration::PolicyChoice;
use havengate_core::dispatch::{DispatchConfig, Dispatcher, EngineAvailability, EngineSlot};
use havengate_core::policy::placement_policy;
use havengate_core::request::{RequestId, RequestProfile};
use havengate_core::world::{Contract, EngineName, EnginePerformance, EngineRole, TenantName};

pub use history::RequestRecord;
pub use pool::SimulatedPool;

pub const SHORT: &str = "short";
pub const LONG: &str = "long";
pub const ONCE: &str = "once";

pub fn contract(name: &str, first_token_within: Duration, repeatable: bool) -> Contract {
    Contract {
        name: name.into(),
        first_token_within,
        token_interval: Duration::from_millis(100),
        repeatable,
        weight: 1,
        priority: 0,
    }
}

pub fn contracts() -> Vec<Contract> {
    vec![
        contract(SHORT, Duration::from_secs(2), true),
        contract(LONG, Duration::from_secs(20), true),
        contract(ONCE, Duration::from_secs(5), false),
    ]
}

pub fn request(id: u128, contract: &str, prompt_tokens: u32, max_output_tokens: u32) -> RequestProfile {
    RequestProfile {
        id: RequestId(id),
        tenant: TenantName::from("patan-press"),
        contract: contract.into(),
        model: "lekh-model".into(),
        prompt_tokens,
        max_output_tokens,
        blocks: Vec::new(),
        key: None,
        time_left: Duration::from_secs(60),
        priority: 0,
    }
}

pub fn engine_name(index: usize) -> EngineName {
    EngineName::new(format!("lekh-model-{index:02}"))
}

pub fn slots(roles: &[EngineRole]) -> Vec<EngineSlot> {
    let slot = |(index, &role): (usize, &EngineRole)| EngineSlot {
        name: engine_name(index),
        role,
        availability: EngineAvailability::Serving,
        link_latency: Duration::from_micros(1_500),
        performance: EnginePerformance::default(),
    };
    roles.iter().enumerate().map(slot).collect()
}

pub fn dispatcher(config: DispatchConfig, policy: &str, roles: &[EngineRole]) -> Dispatcher {
    let policy = placement_policy(&PolicyChoice::with_defaults(policy), 7).expect("a known policy");
    let mut dispatcher = Dispatcher::new(config, policy);
    dispatcher.set_contracts(contracts());
    dispatcher.set_engines(slots(roles));
    dispatcher
}
