//! How a node that has just started learns what engines keep: from peers, or, when all nodes have started anew and nobody
//! knows, from the engines.
//!
//! Without it, parts that engines keep would be read again elsewhere for as long as it takes to use each of them once.

use std::rc::Rc;
use std::time::{Duration, Instant};

use havengate_core::back_ends::{BackEnd, DirectoryEntry, Usability};
use havengate_core::relay::PromptPart;
use havengate_core::time::whole_millis;
use hyper::StatusCode;
use tokio::time::{sleep, timeout};

use crate::back_ends::get_request;
use crate::callers::Traffic;
use crate::protocol::Protocol;

/// The pause between two tries: time for peers to be heard of, to answer, and to learn it themselves.
const TRY_PAUSE: Duration = Duration::from_millis(700);

/// Tries after which nobody is believed to know anything, as at the very first start.
const TRIES: u32 = 6;

/// An engine that takes longer to tell is passed over: its cache is known from its next readings on.
const ENGINE_TIME_LIMIT: Duration = Duration::from_millis(800);

/// The largest list of an engine.
const LIST_MAXIMUM_BYTES: usize = 1024 * 1024;

/// Learns what engines keep, once after the start.
pub async fn survey<P: Protocol>(traffic: Rc<Traffic<P>>) {
    while !traffic.knowledge.load().is_complete() {
        sleep(TRY_PAUSE).await;
    }
    for attempt in 0..TRIES {
        traffic.peer_notices.request_cached_parts().await;
        sleep(TRY_PAUSE).await;
        if traffic.peer_notices.knows_cached_parts() {
            log::info!(event = "kept_parts_learned", source = "peer", attempt; "");
            return;
        }
        // Each list costs a call and holds the engine up a little, so only the few readers ask, and only once.
        if attempt == 0 && traffic.knowledge.load().is_reader {
            ask_engines(&traffic).await;
        }
    }
}

async fn ask_engines<P: Protocol>(traffic: &Traffic<P>) {
    let began = Instant::now();
    let knowledge = traffic.knowledge.load_full();
    let engines = knowledge.directory.entries().filter(|entry| entry.back_end.stage.is_some());
    let (mut asked, mut parts) = (0, 0);
    for entry in engines {
        if !may_ask(traffic, entry) {
            continue;
        }
        let engine = &entry.back_end;
        asked += 1;
        if let Ok(Some(kept)) = timeout(ENGINE_TIME_LIMIT, list(traffic, engine)).await {
            parts += kept.len();
            traffic.peer_notices.record_cached_parts(&engine.id, kept);
        }
    }
    let took_ms = whole_millis(began.elapsed());
    log::info!(event = "kept_parts_learned", source = "engines", asked, parts, took_ms; "");
}

/// Whether an engine may be asked now; it is noted that it is.
fn may_ask<P>(traffic: &Traffic<P>, entry: &DirectoryEntry) -> bool {
    let now = traffic.clock.now();
    let mut notices = traffic.notices.lock();
    let is_usable = notices.usability(entry, now) == Usability::Usable;
    is_usable && notices.record_call(&entry.back_end.id, now).is_none()
}

/// What `engine` keeps of long prompts' shared parts; `None` when it does not tell.
async fn list<P: Protocol>(traffic: &Traffic<P>, engine: &BackEnd) -> Option<Vec<PromptPart>> {
    let connection = traffic.pool.lease(engine).await.ok()?;
    let request = get_request(engine, traffic.protocol.cached_parts_path())?;
    let (status, body) = connection.call(request, LIST_MAXIMUM_BYTES).await?;
    if status != StatusCode::OK {
        return None;
    }
    let report = traffic.protocol.read_cached_parts(&body)?;
    if !engine.id.may_be_life_of(report.started) {
        log::info!(event = "engine_is_another_life", back_end:% = engine.id, told_by = "kept_parts"; "");
        return None;
    }
    let mut parts = report.parts;
    parts.retain(|part| part.tokens >= PART_MINIMUM_TOKENS);
    Some(parts)
}

/// Smaller parts are not worth a choice of the engine that reads them.
const PART_MINIMUM_TOKENS: u32 = 1_000;
