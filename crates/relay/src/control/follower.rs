//! Follows the directory and the configuration in the store while this node's role requires it: reads once, then
//! watches, and reads again when the store has lost its history.

use std::time::Duration;

use havengate_core::store::{Position, StoreEra};
use havengate_core::time::whole_millis;
use tokio::sync::watch;
use tokio::time::sleep;

use super::learner::{Learner, Source};
use super::limit_exchange::LimitExchange;
use super::reader_role::ReaderRole;
use super::version_exchange::VersionExchange;
use crate::metrics::RelayMetrics;
use crate::protocol::{ControlStore, StoreChanges, StoreError, StoreListing};

/// How long a watch waits. Its end confirms the knowledge of this node and of those that it feeds, so it bounds the age
/// of that knowledge. A watch whose connection is lost silently is detected slightly later than this.
const WATCH_WAIT: Duration = Duration::from_millis(800);

/// The pause between calls, which batches changes because each call has a cost. It is far below the time within which a
/// draining back end must stop receiving new requests.
const DIRECTORY_PAUSE: Duration = Duration::from_millis(150);

/// How often a node that does not read the store checks whether it has to.
const IDLE_PAUSE: Duration = Duration::from_millis(50);

const BACK_OFF_MINIMUM: Duration = Duration::from_millis(60);
const BACK_OFF_MAXIMUM: Duration = Duration::from_millis(500);

/// The longest pause of a node that is not a reader and asks only because no peer has current knowledge: the readers
/// ask as well, and there are many such nodes.
const BACK_OFF_MAXIMUM_OF_NON_READERS: Duration = Duration::from_secs(2);

/// The longest pause of a node that has no knowledge yet, as it refuses every request until then.
const BACK_OFF_MAXIMUM_AT_START: Duration = Duration::from_millis(120);

fn back_off_maximum(role: &ReaderRole, has_knowledge: bool) -> Duration {
    match (has_knowledge, role.is_reader()) {
        (false, _) => BACK_OFF_MAXIMUM_AT_START,
        (true, true) => BACK_OFF_MAXIMUM,
        (true, false) => BACK_OFF_MAXIMUM_OF_NON_READERS,
    }
}

/// The state of one kind of call: the backoff after failures, and whether the store is considered lost.
struct StoreAccess {
    call: &'static str,
    metrics: RelayMetrics,
    back_off: Duration,
    lost: bool,
    /// Whether the store has lost its history since the last successful watch.
    lost_history: bool,
    /// Whether the node asks although it is not a reader, because its knowledge is stale.
    asks_as_stale: bool,
}

impl StoreAccess {
    fn new(call: &'static str, metrics: RelayMetrics) -> Self {
        StoreAccess {
            call,
            metrics,
            back_off: BACK_OFF_MINIMUM,
            lost: false,
            lost_history: false,
            asks_as_stale: false,
        }
    }

    /// Records whether the node asks although it is not a reader, because its knowledge is stale.
    fn record_asking_as_stale(&mut self, asks_as_stale: bool, age: Option<Duration>) {
        if asks_as_stale != self.asks_as_stale {
            self.asks_as_stale = asks_as_stale;
            let age_ms = age.map(whole_millis);
            log::info!(event = "store_asked_as_stale", call = self.call, asks = asks_as_stale, age_ms:? = age_ms; "");
        }
    }

    fn succeeded(&mut self, is_watch: bool) {
        self.metrics.record_store_call(self.call, "ok");
        self.lost_history &= !is_watch;
        if !self.lost_history {
            self.back_off = BACK_OFF_MINIMUM;
        }
        if self.lost {
            self.lost = false;
            log::info!(event = "store_regained", call = self.call; "");
        }
    }

    async fn failed(&mut self, error: &StoreError, back_off_maximum: Duration) {
        self.metrics.record_store_call(self.call, error_label(error));
        if !self.lost {
            self.lost = true;
            log::warn!(event = "store_lost", call = self.call, error:% = error; "");
        }
        self.pause(back_off_maximum).await;
    }

    /// Records that the store has lost its history. The first time, the caller reads everything again at once; a store
    /// that still has no history after that is asked with backoff.
    async fn history_gone(&mut self, back_off_maximum: Duration) {
        self.metrics.record_store_call(self.call, error_label(&StoreError::HistoryGone));
        if self.lost_history {
            self.pause(back_off_maximum).await;
            return;
        }
        self.lost_history = true;
        log::info!(event = "store_history_gone", call = self.call; "");
    }

    async fn pause(&mut self, back_off_maximum: Duration) {
        // Jitter: nodes that lost the store at the same moment must not retry at the same moment.
        sleep(self.back_off.mul_f64(0.5 + fastrand::f64())).await;
        self.back_off = (2 * self.back_off).min(back_off_maximum);
    }
}

fn error_label(error: &StoreError) -> &'static str {
    match error {
        StoreError::Unreachable(_) => "unreachable",
        StoreError::Refused(_) => "refused",
        StoreError::Throttled => "throttled",
        StoreError::HistoryGone => "history_gone",
        StoreError::PreviousEra => "former_era",
        StoreError::Malformed(_) => "malformed",
    }
}

/// Follows the directory whenever `role` requires reading the store; never returns.
pub async fn follow_directory<S: ControlStore>(
    mut store: S,
    role: ReaderRole,
    learner: Learner,
    versions: VersionExchange,
    metrics: RelayMetrics,
) {
    let mut access = StoreAccess::new("directory", metrics);
    let mut eras = learner.eras();
    let mut needs_listing = false;
    loop {
        while !role.must_read(learner.knowledge().directory_confirmed_at) && !versions.must_read_store() {
            access.record_asking_as_stale(false, None);
            sleep(IDLE_PAUSE).await;
        }
        let confirmed_at = learner.knowledge().directory_confirmed_at;
        access.record_asking_as_stale(!role.is_reader() && role.must_read(confirmed_at), learner.age_of(confirmed_at));
        let needs_versions = versions.must_read_store();
        if needs_versions {
            versions.record_store_read();
        }
        // The position includes updates received from peers meanwhile; the watch continues from there.
        let after = learner.directory_position().filter(|_| !needs_listing && !needs_versions);
        let now = || learner.clock().now();
        let result = match after {
            None => list_unless_received(&mut store, &learner).await,
            Some(position) => tokio::select! {
                changes = store.watch_back_ends(position, WATCH_WAIT) => {
                    changes.map(|StoreChanges { changes, versions }| {
                        learner.record_versions(&versions, changes.position);
                        learner.apply_changes(changes, now(), Source::Store);
                    })
                }
                () = newer_era(&mut eras, position) => {
                    needs_listing = true;
                    continue;
                }
            },
        };
        let succeeded = result.is_ok();
        needs_listing = finish_call(result, needs_listing, &mut access, back_off_maximum(&role, after.is_some())).await;
        if succeeded {
            sleep(DIRECTORY_PAUSE).await;
        }
    }
}

/// Waits until a peer or another call reports an era newer than that of `position`. Each era is reported once, as the
/// report may be wrong.
async fn newer_era(eras: &mut watch::Receiver<StoreEra>, position: Position) {
    loop {
        // The sender lives as long as the learner.
        let _ = eras.changed().await;
        if *eras.borrow_and_update() > position.era {
            return;
        }
    }
}

/// Lists the directory, unless a peer sends all of it first: a listing may take long while many nodes start. An
/// incomplete listing is better than none, but replaces no directory.
async fn list_unless_received<S: ControlStore>(store: &mut S, learner: &Learner) -> Result<(), StoreError> {
    let mut updates = learner.updates();
    let known_before = learner.directory_position();
    let received = async {
        while known_before.is_some() || learner.directory_position().is_none() {
            // The sender lives as long as the learner.
            let _ = updates.changed().await;
        }
    };
    tokio::select! {
        listing = store.list_back_ends() => {
            let StoreListing { listing, versions, is_complete } = listing?;
            if !is_complete && learner.directory_position().is_some() {
                return Err(StoreError::Malformed("the list of back ends is incomplete".to_owned()));
            }
            learner.record_versions(&versions, listing.position);
            learner.adopt_store_listing(listing, known_before.unwrap_or_default(), learner.clock().now());
            Ok(())
        }
        () = received => Ok(()),
    }
}

/// Follows the configuration whenever `role` requires reading the store; never returns.
pub async fn follow_configuration<S: ControlStore>(
    mut store: S,
    role: ReaderRole,
    learner: Learner,
    limits: LimitExchange,
    metrics: RelayMetrics,
) {
    let mut access = StoreAccess::new("configuration", metrics);
    let mut eras = learner.eras();
    let mut needs_read = false;
    loop {
        while !role.must_read(learner.configuration_confirmed_at()) && !limits.must_read_store() {
            access.record_asking_as_stale(false, None);
            sleep(IDLE_PAUSE).await;
        }
        let asks_as_stale = !role.is_reader() && role.must_read(learner.configuration_confirmed_at());
        access.record_asking_as_stale(asks_as_stale, learner.age_of(learner.configuration_confirmed_at()));
        let needs_limits = limits.must_read_store();
        if needs_limits {
            limits.report_store_read();
        }
        let asked_at = learner.clock().now();
        // The position includes updates received from peers meanwhile, so a node that only needs a confirmation is not
        // sent the full configuration.
        let after = learner.configuration_position().filter(|_| !needs_read && !needs_limits);
        let result = match after {
            None => store.read_configuration().await,
            Some(position) => tokio::select! {
                read = store.watch_configuration(position, WATCH_WAIT) => read,
                () = newer_era(&mut eras, position) => {
                    needs_read = true;
                    continue;
                }
            },
        };
        let result = result.map(|read| {
            // The transfer of a configuration may have taken long, so only the time of the request is certain.
            let confirmed_at = if read.configuration.is_some() { asked_at } else { learner.clock().now() };
            if let Some(configuration) = read.configuration {
                learner.adopt_configuration(configuration);
            }
            learner.set_configuration_position(read.position);
            learner.confirm_configuration(confirmed_at);
            learner.mark_configuration_current(asked_at);
            if after.is_none() {
                limits.record_store_read();
            }
        });
        let maximum = back_off_maximum(&role, learner.knowledge().configuration.is_some());
        needs_read = finish_call(result, needs_read, &mut access, maximum).await;
    }
}

/// Records the result of a call, and pauses after a failure. Returns whether everything has to be read again: when the
/// history was lost, or when a required read failed.
async fn finish_call(
    result: Result<(), StoreError>,
    needed_read: bool,
    access: &mut StoreAccess,
    back_off_maximum: Duration,
) -> bool {
    match result {
        Ok(()) => {
            access.succeeded(!needed_read);
            false
        }
        Err(StoreError::HistoryGone) => {
            access.history_gone(back_off_maximum).await;
            true
        }
        Err(error) => {
            access.failed(&error, back_off_maximum).await;
            needed_read
        }
    }
}
