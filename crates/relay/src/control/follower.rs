//! Follows the directory and the configuration in the store: read once, then watch; read again when history is lost.

use std::time::Duration;

use havengate_core::store::Revision;
use tokio::time::sleep;

use super::learner::{Learner, Source};
use crate::metrics::RelayMetrics;
use crate::protocol::{ControlStore, StoreError};

/// How long a watch of the directory waits. A heartbeat alone is often no change, so most watches end by this time; it
/// bounds the age of the directory.
const DIRECTORY_WAIT: Duration = Duration::from_millis(1_500);

/// Changes that come together are taken together: each call has a price. Far below the time in which a back end that
/// leaves must get nothing new.
const DIRECTORY_PAUSE: Duration = Duration::from_millis(150);

/// How long a watch of the configuration waits. A watch that was cut in silence is noticed after this time; peers tell
/// of a new configuration much sooner.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(2_500);

const BACK_OFF_MINIMUM: Duration = Duration::from_millis(60);
const BACK_OFF_MAXIMUM: Duration = Duration::from_millis(500);

/// The pauses between failed calls, and whether the store is regarded as lost.
struct StoreAccess {
    call: &'static str,
    metrics: RelayMetrics,
    back_off: Duration,
    lost: bool,
}

impl StoreAccess {
    fn new(call: &'static str, metrics: RelayMetrics) -> Self {
        StoreAccess { call, metrics, back_off: BACK_OFF_MINIMUM, lost: false }
    }

    fn succeeded(&mut self) {
        self.metrics.record_store_call(self.call, "ok");
        self.back_off = BACK_OFF_MINIMUM;
        if self.lost {
            self.lost = false;
            log::info!(event = "store_regained", call = self.call; "");
        }
    }

    async fn failed(&mut self, error: &StoreError) {
        self.metrics.record_store_call(self.call, label_of(error));
        if !self.lost {
            self.lost = true;
            log::warn!(event = "store_lost", call = self.call, error:% = error; "");
        }
        // Nodes that lost the store at the same moment must not come back at the same moment.
        sleep(self.back_off.mul_f64(0.5 + fastrand::f64())).await;
        self.back_off = (2 * self.back_off).min(BACK_OFF_MAXIMUM);
    }
}

fn label_of(error: &StoreError) -> &'static str {
    match error {
        StoreError::Unreachable(_) => "unreachable",
        StoreError::Refused(_) => "refused",
        StoreError::HistoryGone => "history_gone",
        StoreError::Malformed(_) => "malformed",
    }
}

/// Follows the directory for ever.
pub async fn follow_directory<S: ControlStore>(mut store: S, learner: Learner, metrics: RelayMetrics) {
    let mut access = StoreAccess::new("directory", metrics);
    let mut after: Option<Revision> = None;
    loop {
        let result = match after {
            None => store.list_back_ends().await.map(|listing| {
                let revision = listing.revision;
                learner.adopt_listing(listing, Source::Store);
                revision
            }),
            Some(revision) => store.watch_back_ends(revision, DIRECTORY_WAIT).await.map(|changes| {
                let revision = changes.revision;
                learner.apply_changes(changes);
                revision
            }),
        };
        after = next_revision(result, after, &mut access).await;
        if after.is_some() {
            sleep(DIRECTORY_PAUSE).await;
        }
    }
}

/// Follows the configuration for ever.
pub async fn follow_configuration<S: ControlStore>(mut store: S, learner: Learner, metrics: RelayMetrics) {
    let mut access = StoreAccess::new("configuration", metrics);
    let mut after: Option<Revision> = None;
    loop {
        let result = match after {
            None => store.read_configuration().await,
            Some(revision) => store.watch_configuration(revision, CONFIGURATION_WAIT).await,
        };
        let result = result.map(|read| {
            if let Some(configuration) = read.configuration {
                learner.adopt_configuration(configuration, Source::Store);
            }
            read.revision
        });
        after = next_revision(result, after, &mut access).await;
    }
}

/// Where to go on from: a lost history needs a new read, any other failure the same call again.
async fn next_revision(
    result: Result<Revision, StoreError>,
    after: Option<Revision>,
    access: &mut StoreAccess,
) -> Option<Revision> {
    match result {
        Ok(revision) => {
            access.succeeded();
            Some(revision)
        }
        Err(StoreError::HistoryGone) => {
            log::info!(event = "store_history_gone", call = access.call; "");
            access.metrics.record_store_call(access.call, "history_gone");
            None
        }
        Err(error) => {
            access.failed(&error).await;
            after
        }
    }
}
