//! Connections to store readers, over which they send updates as soon as they have them.

use std::time::Duration;

use havengate_core::world::Address;
use tokio::time::sleep;

use super::fetcher::ConfigurationFetcher;
use super::learner::Learner;
use super::reader_role::ReaderRole;
use super::transfer::{CONNECT_TIME_LIMIT, PeersError, TransferTimeouts, ask, connect};

/// The longest that a reader waits for an update before it answers. An answer without one confirms this node's
/// knowledge.
const FEED_WAIT: Duration = Duration::from_millis(400);

/// The longest wait of a reader in another region. With [`FEED_WAIT`], knowledge would be 1.53 s old before the next
/// answer where the store and the reader are 60 ms away; at 1.6 s the node asks the store itself.
const DISTANT_FEED_WAIT: Duration = Duration::from_millis(250);

/// The time limit for the first byte of an answer, in addition to the wait.
const ANSWER_TIME_LIMIT: Duration = Duration::from_millis(500);

/// How often a node without a feed checks for a reader.
const FEED_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The pause after a failure to reach a reader. The next choice may be the same reader, if it is the only one.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);

/// Learns continuously from the reader that is at index `slot` of this node's feeds at the time.
pub async fn learn_from_feed(slot: usize, role: ReaderRole, learner: Learner, fetcher: ConfigurationFetcher) {
    loop {
        let Some(reader) = role.feed(slot) else {
            sleep(FEED_CHECK_INTERVAL).await;
            continue;
        };
        match follow_reader(reader, slot, &role, &learner, &fetcher).await {
            // Another reader is now assigned to this slot.
            Ok(()) => {}
            Err(error) => {
                role.suspend(reader);
                log::info!(event = "feed_lost", reader:% = reader, error:% = error; "");
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

async fn follow_reader(
    reader: Address,
    slot: usize,
    role: &ReaderRole,
    learner: &Learner,
    fetcher: &ConfigurationFetcher,
) -> Result<(), PeersError> {
    let mut stream = connect(reader, CONNECT_TIME_LIMIT).await?;
    let mut is_first = true;
    while role.feed(slot) == Some(reader) {
        // The first pull does not wait: its answer shows whether the reader has any knowledge.
        let longest_wait = if role.is_distant(reader) { DISTANT_FEED_WAIT } else { FEED_WAIT };
        let wait = if is_first { Duration::ZERO } else { longest_wait };
        let asked_at = learner.clock().now();
        let timeouts = TransferTimeouts::with_first_byte(wait + ANSWER_TIME_LIMIT);
        let pull = learner.pull_for(reader, learner.pull_of_directory(wait));
        let answer = learner.with_own_era(reader, ask(&mut stream, &pull, timeouts).await?);
        let confirmed_at = learner.confirmed_at(&answer, asked_at, answer.ages.directory_millis);
        fetcher.record_configuration_of(reader, answer.newest);
        learner.apply_answer(answer, asked_at);
        if role.is_stale(confirmed_at) {
            // Another reader may have newer knowledge. If none has, this one is used again and sends updates as soon as
            // it reaches the store.
            role.suspend(reader);
        }
        is_first = false;
    }
    Ok(())
}
