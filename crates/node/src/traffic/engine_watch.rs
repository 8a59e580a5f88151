//! Polls one engine for its load and its cache events, on a thread of its own: an engine that does not answer must not
//! delay the reports of the others.

use std::sync::Weak;
use std::thread;
use std::time::Duration;

use havengate_core::dispatch::{EngineEvent, ReportedLoad};
use havengate_core::world::{Address, EngineName};

use super::pool_runtime::PoolRuntime;
use crate::engines::dialect::{CacheEvents, LoadReport};

/// Time between two polls. Reports lag by about as much anyway; they only correct the dispatcher's estimates.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Stack size of a watching thread.
const STACK_BYTES: usize = 256 * 1024;

/// Watches an engine for as long as the pool's runtime exists and includes the engine.
pub fn watch_engine(runtime: Weak<PoolRuntime>, engine: EngineName) {
    let name = engine.clone();
    let watch = move || {
        let mut after = 0;
        while let Some(runtime) = runtime.upgrade() {
            let Some(address) = runtime.address(&engine) else { return };
            if runtime.is_owner() {
                after = poll_engine(&runtime, &engine, address, after);
            }
            drop(runtime);
            thread::sleep(ENGINE_POLL_INTERVAL);
        }
    };
    if let Err(error) = thread::Builder::new().stack_size(STACK_BYTES).name("engine-watch".to_owned()).spawn(watch) {
        log::error!(engine:% = name, error:% = error; "engine_watch_failed");
    }
}

/// Polls once; returns the sequence number after which the next poll asks for cache events.
fn poll_engine(runtime: &PoolRuntime, engine: &EngineName, address: Address, after: u64) -> u64 {
    if let Some(report) = runtime.engines().load(address) {
        runtime.record_load(engine, reported(&report));
    }
    match runtime.engines().cache_events(address, after) {
        Some(events) => {
            let next = events.next;
            apply_cache_events(runtime, engine, events, after);
            next
        }
        None => after,
    }
}

fn reported(report: &LoadReport) -> ReportedLoad {
    ReportedLoad {
        age: Duration::from_millis(report.age_ms),
        requests: report.running.saturating_add(report.waiting),
        waiting_prefill_tokens: report.waiting_prefill_tokens,
        used_kv_tokens: report.used_kv_tokens,
    }
}

/// Passes cache events to the dispatcher. A gap in their sequence numbers, or numbers that start again, mean that the
/// engine's cache content is unknown.
fn apply_cache_events(runtime: &PoolRuntime, engine: &EngineName, events: CacheEvents, after: u64) {
    let mut expected = after + 1;
    if events.next < after {
        runtime.engine_event(EngineEvent::CacheGap { engine: engine.clone() });
    }
    for event in events.events {
        if event.sequence != expected {
            runtime.engine_event(EngineEvent::CacheGap { engine: engine.clone() });
        }
        expected = event.sequence + 1;
        runtime.engine_event(EngineEvent::CacheStored { engine: engine.clone(), blocks: event.stored });
        runtime.engine_event(EngineEvent::CacheRemoved { engine: engine.clone(), blocks: event.removed });
    }
}
