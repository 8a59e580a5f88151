//! Stores blocked requests, and blocked parts of prompts, in the platform's store, so that they outlive all nodes.
//!
//! Nodes announce blocked requests to each other. If all nodes stopped at once without a stored copy, the knowledge
//! would be lost, and a request that terminates engines would terminate as many again before it is detected.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use havengate_core::relay::{ContentId, ReportedTermination, TerminationNotice};
use havengate_core::store::StoreEra;
use havengate_core::time::{doubled, whole_millis};
use havengate_core::world::Address;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::engine_terminations::BlockScope;
use crate::metrics::RelayMetrics;
use crate::protocol::{BlockRecord, ControlStore, StoreError};

/// The most updates that wait to be written. Further ones are dropped and only announced to peers.
const PENDING_UPDATES_MAXIMUM: usize = 64;

/// The pause after a failed call to the store, doubled with each failure up to the maximum.
const PAUSE_MINIMUM: Duration = Duration::from_millis(400);
const PAUSE_MAXIMUM: Duration = Duration::from_secs(4);

/// The number of attempts per call. They span about a minute, longer than an ordinary outage of the store.
const ATTEMPTS_MAXIMUM: u32 = 16;

/// A change in whether a request is blocked, as detected by the traffic thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BlockUpdate {
    /// The request is blocked from now on.
    Blocked {
        /// The request.
        content: ContentId,
        /// The engines that terminated while running it.
        terminations: Vec<ReportedTermination>,
    },
    /// The request was blocked, and has now been answered in full.
    Cleared(ContentId),
}

/// The traffic thread's end of the channels to the store.
pub struct BlockStoreLink {
    /// Accepts updates to be written.
    pub updates: mpsc::Sender<BlockUpdate>,
    /// Yields the records that were read at startup.
    pub stored: mpsc::Receiver<TerminationNotice>,
}

/// The control thread's end of the channels.
pub struct BlockKeeperLink {
    scope: BlockScope,
    updates: mpsc::Receiver<BlockUpdate>,
    stored: mpsc::Sender<TerminationNotice>,
}

/// Creates the channels between the traffic thread and the block keeper.
pub fn block_links(scope: BlockScope) -> (BlockStoreLink, BlockKeeperLink) {
    let (updates_sender, updates) = mpsc::channel(PENDING_UPDATES_MAXIMUM);
    let (stored_sender, stored) = mpsc::channel(PENDING_UPDATES_MAXIMUM);
    (BlockStoreLink { updates: updates_sender, stored }, BlockKeeperLink { scope, updates, stored: stored_sender })
}

/// The most written records that a node remembers, since a store restored from an older snapshot may have lost them.
const REMEMBERED_WRITES_MAXIMUM: usize = 256;

/// The longest random delay before records are rewritten after a restore of the store. It spreads the load, as many
/// nodes may have records to write.
const REWRITE_DELAY_MAXIMUM: Duration = Duration::from_secs(2);

/// Writes the blocks that this node detects, and rewrites them after a restore of the store.
struct BlockKeeper<S> {
    scope: BlockScope,
    store: S,
    metrics: RelayMetrics,
    /// The last write for each request: the stored record, or `None` if it was removed.
    written: BTreeMap<ContentId, Option<BlockRecord>>,
}

/// Reads the blocked requests once at startup, then writes this node's updates until the process stops. Rewrites them
/// whenever a newer one of the store's `eras` is observed.
pub async fn run_block_keeper<S: ControlStore>(
    store: S,
    mut link: BlockKeeperLink,
    own: Address,
    metrics: RelayMetrics,
    mut eras: watch::Receiver<StoreEra>,
) {
    let mut keeper = BlockKeeper { scope: link.scope, store, metrics, written: BTreeMap::new() };
    keeper.read(&link, own).await;
    loop {
        tokio::select! {
            update = link.updates.recv() => match update {
                Some(BlockUpdate::Blocked { content, terminations }) => {
                    let record = BlockRecord { content, written_millis: unix_millis(), terminations };
                    keeper.write(content, Some(record)).await;
                }
                Some(BlockUpdate::Cleared(content)) => keeper.write(content, None).await,
                // The process is stopping.
                None => return,
            },
            // The sender lives as long as the control thread.
            _ = eras.changed() => keeper.rewrite_all().await,
        }
    }
}

impl<S: ControlStore> BlockKeeper<S> {
    async fn read(&mut self, link: &BlockKeeperLink, own: Address) {
        let listed = call_with_retries(&self.metrics, "blocks_read", async || self.store.list_blocks(self.scope).await);
        let listed = listed.await;
        for record in listed.unwrap_or_default() {
            let age = Duration::from_millis(unix_millis().saturating_sub(record.written_millis));
            // A node that still tracks an older one has it in its own state.
            if age >= self.scope.config().retention {
                let removed = async || self.store.remove_block(self.scope, record.content).await;
                call_with_retries(&self.metrics, "block_remove", removed).await;
                continue;
            }
            log::info!(event = "block_read", scope = self.scope.code(), content:% = record.content, age_ms = whole_millis(age); "");
            // The receiver is dropped only when the process stops.
            let _ = link.stored.send(notice_from_record(record, age, own)).await;
        }
    }

    async fn write(&mut self, content: ContentId, record: Option<BlockRecord>) {
        match &record {
            Some(record) => {
                let written = async || self.store.write_block(self.scope, record).await;
                call_with_retries(&self.metrics, "block_write", written).await;
            }
            None => {
                let removed = async || self.store.remove_block(self.scope, content).await;
                call_with_retries(&self.metrics, "block_remove", removed).await;
            }
        }
        if self.written.len() >= REMEMBERED_WRITES_MAXIMUM {
            self.written.pop_first();
        }
        self.written.insert(content, record);
    }

    async fn rewrite_all(&mut self) {
        if self.written.is_empty() {
            return;
        }
        log::info!(event = "blocks_written_again", blocks = self.written.len(); "");
        sleep(REWRITE_DELAY_MAXIMUM.mul_f64(fastrand::f64())).await;
        for (content, record) in self.written.clone() {
            self.write(content, record).await;
        }
    }
}

/// Retries a call until it succeeds or the attempts are used up; `None` in the latter case.
async fn call_with_retries<T>(
    metrics: &RelayMetrics,
    call: &'static str,
    mut make: impl AsyncFnMut() -> Result<T, StoreError>,
) -> Option<T> {
    for attempt in 0..ATTEMPTS_MAXIMUM {
        match make().await {
            Ok(answer) => {
                metrics.record_store_call(call, "ok");
                return Some(answer);
            }
            Err(error) => {
                metrics.record_store_call(call, "failed");
                let pause = doubled(PAUSE_MINIMUM, attempt, PAUSE_MAXIMUM);
                log::warn!(event = "block_store_failed", call, error:% = error, pause_ms = whole_millis(pause); "");
                sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }
    None
}

/// Converts a record to the notice that a peer would send now.
fn notice_from_record(record: BlockRecord, age: Duration, sender: Address) -> TerminationNotice {
    let age_micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
    let aged =
        |end: ReportedTermination| ReportedTermination { age_micros: end.age_micros.saturating_add(age_micros), ..end };
    TerminationNotice {
        sender,
        terminations: record.terminations.into_iter().map(aged).collect(),
        answered: Vec::new(),
    }
}

/// The wall-clock time. A clock error of a few seconds lengthens or shortens a block by as much.
fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, whole_millis)
}
