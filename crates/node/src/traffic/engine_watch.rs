//! Asks one engine for its load and its cache events, again and again, on a thread of its own: an engine that does not
//! answer must not delay what is heard of the others.

use std::sync::Weak;
use std::thread;
use std::time::Duration;

use havengate_core::dispatch::{EngineEvent, ReportedLoad};
use havengate_core::world::{Address, EngineName};

use super::pool_runtime::PoolRuntime;
use crate::engines::dialect::{CacheEvents, LoadReport};

/// Time between two questions. Reports lag by about as much anyway; they only correct what the dispatcher knows.
const ASK_EVERY: Duration = Duration::from_millis(500);

/// Stack of a watching thread.
const STACK_BYTES: usize = 256 * 1024;

/// Watches an engine for as long as the pool's runtime lives and has the engine.
pub fn watch_engine(runtime: Weak<PoolRuntime>, engine: EngineName) {
    let name = engine.clone();
    let watch = move || {
        let mut after = 0;
        while let Some(runtime) = runtime.upgrade() {
            let Some(address) = runtime.address(&engine) else { return };
            if runtime.is_owner() {
                after = ask(&runtime, &engine, address, after);
            }
            drop(runtime);
            thread::sleep(ASK_EVERY);
        }
    };
    if let Err(error) = thread::Builder::new().stack_size(STACK_BYTES).name("engine-watch".to_owned()).spawn(watch) {
        log::error!(engine:% = name, error:% = error; "engine_watch_failed");
    }
}

/// Asks once; returns the number after which to ask for cache events next time.
fn ask(runtime: &PoolRuntime, engine: &EngineName, address: Address, after: u64) -> u64 {
    if let Some(report) = runtime.engines().load(address) {
        runtime.record_load(engine, reported(&report));
    }
    match runtime.engines().cache_events(address, after) {
        Some(events) => {
            let next = events.next;
            pass_on(runtime, engine, events, after);
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

/// Passes events on; a gap in their numbers, or numbers that start anew, mean that what was cached is unknown.
fn pass_on(runtime: &PoolRuntime, engine: &EngineName, events: CacheEvents, after: u64) {
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
