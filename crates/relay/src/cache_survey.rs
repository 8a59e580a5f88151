//! How a newly started node learns which prompt parts engines have cached: from peers or, when all nodes have restarted
//! and no peer knows, from the engines.
//!
//! Without it, prefills of cached parts would be repeated on other engines until each part has been used once.

use std::rc::Rc;
use std::time::{Duration, Instant};

use havengate_core::back_ends::{BackEnd, DirectoryEntry, Usability};
use havengate_core::relay::PromptPart;
use havengate_core::time::whole_millis;
use hyper::StatusCode;
use tokio::time::{sleep, timeout};

use crate::back_ends::{OwnConnection, address_to, get_request};
use crate::callers::Traffic;
use crate::protocol::Protocol;

/// The pause between two attempts. In this time peers are discovered, answer, and learn it themselves.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(700);

/// Attempts after which the node assumes that no peer knows of cached parts, as at the first start of a deployment.
const ATTEMPTS_MAXIMUM: u32 = 6;

/// An engine that takes longer to answer is skipped. Its next prefills announce what it caches.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(800);

/// The largest list of cached parts that is accepted from an engine.
const LIST_MAXIMUM_BYTES: usize = 1024 * 1024;

/// Learns what engines have cached, once after the start.
pub async fn survey<P: Protocol>(traffic: Rc<Traffic<P>>) {
    while !traffic.knowledge.load().is_complete() {
        sleep(ATTEMPT_INTERVAL).await;
    }
    for attempt in 0..ATTEMPTS_MAXIMUM {
        traffic.peer_notices.request_cached_parts().await;
        sleep(ATTEMPT_INTERVAL).await;
        if traffic.peer_notices.knows_cached_parts() {
            log::info!(event = "kept_parts_learned", source = "peer", attempt; "");
            return;
        }
        // Each list costs a call and delays the engine a little, so only the few store readers ask, and only once.
        if attempt == 0 && traffic.knowledge.load().is_reader {
            query_engines(&traffic).await;
        }
    }
}

async fn query_engines<P: Protocol>(traffic: &Traffic<P>) {
    let began = Instant::now();
    let knowledge = traffic.knowledge.load_full();
    let mut engines: Vec<&DirectoryEntry> =
        knowledge.directory.entries().filter(|entry| entry.back_end.stage.is_some()).collect();
    // Engines are asked one after the other, so those of other regions, which take a round trip longer, come last.
    engines.sort_by_key(|entry| traffic.pool.is_distant(&entry.back_end));
    let (mut asked, mut parts) = (0, 0);
    for entry in engines {
        if !admit_call(traffic, entry) {
            continue;
        }
        let engine = &entry.back_end;
        asked += 1;
        if let Ok(Some(cached)) = timeout(ENGINE_TIMEOUT, list_cached_parts(traffic, engine)).await {
            parts += cached.len();
            traffic.peer_notices.record_cached_parts(&engine.id, cached);
        }
    }
    let took_ms = whole_millis(began.elapsed());
    log::info!(event = "kept_parts_learned", source = "engines", asked, parts, took_ms; "");
}

/// Returns whether the engine may be called now, and records the call if so.
fn admit_call<P>(traffic: &Traffic<P>, entry: &DirectoryEntry) -> bool {
    let now = traffic.clock.now();
    let mut notices = traffic.notices.lock();
    let is_usable = notices.usability(entry, now) == Usability::Usable;
    is_usable && notices.record_call(&entry.back_end.id, now).is_none()
}

/// The shared parts of long prompts that `engine` has cached; `None` when it gives no valid list.
async fn list_cached_parts<P: Protocol>(traffic: &Traffic<P>, engine: &BackEnd) -> Option<Vec<PromptPart>> {
    let connection = OwnConnection::open(&traffic.pool, engine).await.ok()?;
    let request = get_request(traffic.protocol.cached_parts_path())?;
    let request = address_to(&traffic.protocol, engine, request)?;
    let (status, body) = connection.call(request, LIST_MAXIMUM_BYTES).await?;
    if status != StatusCode::OK {
        return None;
    }
    let report = traffic.protocol.read_cached_parts(&body)?;
    if !engine.id.may_be_same_incarnation(report.started) {
        log::info!(event = "engine_is_another_life", back_end:% = engine.id, told_by = "kept_parts"; "");
        return None;
    }
    let mut parts = report.parts;
    parts.retain(|part| part.tokens >= PART_MINIMUM_TOKENS);
    Some(parts)
}

/// Smaller parts do not justify placing a request by them.
const PART_MINIMUM_TOKENS: u32 = 1_000;
