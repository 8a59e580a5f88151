//! Blocked requests in the store, where they outlast all nodes.
//!
//! Nodes tell each other of what is blocked. When all of them end at once nobody knows any more, and a request that ends
//! engines would end as many again as it took to find it out.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use havengate_core::relay::{ContentId, ReportedTermination, TerminationNotice};
use havengate_core::store::StoreEra;
use havengate_core::time::{doubled, whole_millis};
use havengate_core::world::Address;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::metrics::RelayMetrics;
use crate::protocol::{BlockRecord, ControlStore, StoreError};

/// What waits to be written at most; more is dropped, and only told to peers.
const NEWS_MAXIMUM: usize = 64;

/// The pause after a call to the store failed, doubled with each failure up to the maximum.
const PAUSE_MINIMUM: Duration = Duration::from_millis(400);
const PAUSE_MAXIMUM: Duration = Duration::from_secs(4);

/// How often a call is tried: some minute, longer than the store is away on an ordinary day.
const TRIES: u32 = 16;

/// A record that is older is of no use to anybody: whoever still knows of the request keeps it by itself.
const RECORD_KEPT: Duration = Duration::from_secs(7_200);

/// What the traffic thread has learned of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BlockUpdate {
    /// It is blocked from now on.
    Blocked {
        /// The request.
        content: ContentId,
        /// The engines that ended under it.
        ends: Vec<ReportedTermination>,
    },
    /// It was blocked, and was answered whole.
    Cleared(ContentId),
}

/// The traffic thread's end of the way to the store.
pub struct BlockStoreLink {
    /// Takes what is to be written.
    pub updates: mpsc::Sender<BlockUpdate>,
    /// Hands out what was read at the start.
    pub stored: mpsc::Receiver<TerminationNotice>,
}

/// The control thread's end.
pub struct BlockKeeperLink {
    updates: mpsc::Receiver<BlockUpdate>,
    stored: mpsc::Sender<TerminationNotice>,
}

/// The way between the traffic thread and the store.
pub fn block_links() -> (BlockStoreLink, BlockKeeperLink) {
    let (updates_sender, updates) = mpsc::channel(NEWS_MAXIMUM);
    let (stored_sender, stored) = mpsc::channel(NEWS_MAXIMUM);
    (BlockStoreLink { updates: updates_sender, stored }, BlockKeeperLink { updates, stored: stored_sender })
}

/// What a node remembers of what it has written; a store that goes back to an older copy may have lost it.
const WRITTEN_MAXIMUM: usize = 256;

/// Writes again come within this time after the store went back, at a random moment: many nodes may have something to write.
const WRITTEN_AGAIN_WITHIN: Duration = Duration::from_secs(2);

/// Writes what this node finds out of requests, and again what the store has lost of it.
struct BlockKeeper<S> {
    store: S,
    metrics: RelayMetrics,
    /// The last of what was written: a record that was kept, or `None` for one that was removed.
    written: BTreeMap<ContentId, Option<BlockRecord>>,
}

/// Reads what is blocked once, at the start, then writes for ever what this node finds out; and writes it again in each further one of the
/// store's `eras`.
pub async fn keep_blocks<S: ControlStore>(
    store: S,
    mut link: BlockKeeperLink,
    own: Address,
    metrics: RelayMetrics,
    mut eras: watch::Receiver<StoreEra>,
) {
    let mut keeper = BlockKeeper { store, metrics, written: BTreeMap::new() };
    keeper.read(&link, own).await;
    loop {
        tokio::select! {
            news = link.updates.recv() => match news {
                Some(BlockUpdate::Blocked { content, ends }) => {
                    let record = BlockRecord { content, written_millis: unix_millis(), ends };
                    keeper.write(content, Some(record)).await;
                }
                Some(BlockUpdate::Cleared(content)) => keeper.write(content, None).await,
                // The process is ending.
                None => return,
            },
            // The sender lives as long as the control thread.
            _ = eras.changed() => keeper.write_again().await,
        }
    }
}

impl<S: ControlStore> BlockKeeper<S> {
    async fn read(&mut self, link: &BlockKeeperLink, own: Address) {
        let listed = persist(&self.metrics, "blocks_read", async || self.store.list_blocks().await).await;
        for record in listed.unwrap_or_default() {
            let age = Duration::from_millis(unix_millis().saturating_sub(record.written_millis));
            if age >= RECORD_KEPT {
                let removed = async || self.store.remove_block(record.content).await;
                persist(&self.metrics, "block_remove", removed).await;
                continue;
            }
            log::info!(event = "block_read", content:% = record.content, age_ms = whole_millis(age); "");
            // The process is ending when nobody takes it.
            let _ = link.stored.send(notice_of(record, age, own)).await;
        }
    }

    async fn write(&mut self, content: ContentId, record: Option<BlockRecord>) {
        match &record {
            Some(record) => {
                persist(&self.metrics, "block_write", async || self.store.keep_block(record).await).await;
            }
            None => {
                persist(&self.metrics, "block_remove", async || self.store.remove_block(content).await).await;
            }
        }
        if self.written.len() >= WRITTEN_MAXIMUM {
            self.written.pop_first();
        }
        self.written.insert(content, record);
    }

    async fn write_again(&mut self) {
        if self.written.is_empty() {
            return;
        }
        log::info!(event = "blocks_written_again", blocks = self.written.len(); "");
        sleep(WRITTEN_AGAIN_WITHIN.mul_f64(fastrand::f64())).await;
        for (content, record) in self.written.clone() {
            self.write(content, record).await;
        }
    }
}

/// Makes a call until it succeeds, or has been tried often enough.
async fn persist<T>(
    metrics: &RelayMetrics,
    call: &'static str,
    mut make: impl AsyncFnMut() -> Result<T, StoreError>,
) -> Option<T> {
    for tries in 0..TRIES {
        match make().await {
            Ok(answer) => {
                metrics.record_store_call(call, "ok");
                return Some(answer);
            }
            Err(error) => {
                metrics.record_store_call(call, "failed");
                let pause = doubled(PAUSE_MINIMUM, tries, PAUSE_MAXIMUM);
                log::warn!(event = "block_store_failed", call, error:% = error, pause_ms = whole_millis(pause); "");
                sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }
    None
}

/// What a record tells, as a peer would tell it now.
fn notice_of(record: BlockRecord, age: Duration, sender: Address) -> TerminationNotice {
    let age_micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
    let older =
        |end: ReportedTermination| ReportedTermination { age_micros: end.age_micros.saturating_add(age_micros), ..end };
    TerminationNotice { sender, ends: record.ends.into_iter().map(older).collect(), served: Vec::new() }
}

/// The time of day. A few seconds more or less make a block as much longer or shorter.
fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, whole_millis)
}
