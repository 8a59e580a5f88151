//! Follows the directory and the configuration in the store, where that is this node's to do: read once, then watch; read
//! again when history is lost.

use std::time::Duration;

use havengate_core::store::{Position, StoreEra};
use havengate_core::time::whole_millis;
use tokio::sync::watch;
use tokio::time::sleep;

use super::learner::{Learner, Source};
use super::reader_role::ReaderRole;
use crate::metrics::RelayMetrics;
use crate::protocol::{ControlStore, StoreError};

/// How long a watch waits. Its end confirms what is known, at this node and at those that it feeds, so it bounds the age of
/// their knowledge; a watch that was cut in silence is noticed after this time and a little more.
const WATCH_WAIT: Duration = Duration::from_millis(800);

/// Changes that come together are taken together: each call has a price. Far below the time in which a back end that
/// leaves must get nothing new.
const DIRECTORY_PAUSE: Duration = Duration::from_millis(150);

/// How often a node that does not read the store looks whether it has to.
const IDLE_PAUSE: Duration = Duration::from_millis(50);

const BACK_OFF_MINIMUM: Duration = Duration::from_millis(60);
const BACK_OFF_MAXIMUM: Duration = Duration::from_millis(500);

/// The longest pause of a node that only asks because nobody else can tell it: the readers ask as well, and there are many
/// such nodes.
const BACK_OFF_MAXIMUM_OF_OTHERS: Duration = Duration::from_secs(2);

/// The longest pause of a node that knows nothing yet: it refuses every request meanwhile.
const BACK_OFF_MAXIMUM_AT_START: Duration = Duration::from_millis(120);

fn back_off_maximum(role: &ReaderRole, knows_something: bool) -> Duration {
    match (knows_something, role.is_reader()) {
        (false, _) => BACK_OFF_MAXIMUM_AT_START,
        (true, true) => BACK_OFF_MAXIMUM,
        (true, false) => BACK_OFF_MAXIMUM_OF_OTHERS,
    }
}

/// The pauses between failed calls, and whether the store is regarded as lost.
struct StoreAccess {
    call: &'static str,
    metrics: RelayMetrics,
    back_off: Duration,
    lost: bool,
    /// Whether the store lost its history since a watch last succeeded.
    lost_history: bool,
    stands_in: bool,
}

impl StoreAccess {
    fn new(call: &'static str, metrics: RelayMetrics) -> Self {
        StoreAccess { call, metrics, back_off: BACK_OFF_MINIMUM, lost: false, lost_history: false, stands_in: false }
    }

    /// Notes whether the node asks although others are to tell it, because what it knows is stale.
    fn note_standing_in(&mut self, stands_in: bool, age: Option<Duration>) {
        if stands_in != self.stands_in {
            self.stands_in = stands_in;
            let age_ms = age.map(whole_millis);
            log::info!(event = "store_asked_as_stale", call = self.call, asks = stands_in, age_ms:? = age_ms; "");
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
        self.metrics.record_store_call(self.call, label_of(error));
        if !self.lost {
            self.lost = true;
            log::warn!(event = "store_lost", call = self.call, error:% = error; "");
        }
        self.pause(back_off_maximum).await;
    }

    /// Notes that the history is gone. The first time all is read anew at once; a store that has none even then is asked less often.
    async fn history_gone(&mut self, back_off_maximum: Duration) {
        self.metrics.record_store_call(self.call, label_of(&StoreError::HistoryGone));
        if self.lost_history {
            self.pause(back_off_maximum).await;
            return;
        }
        self.lost_history = true;
        log::info!(event = "store_history_gone", call = self.call; "");
    }

    async fn pause(&mut self, back_off_maximum: Duration) {
        // Nodes that lost the store at the same moment must not come back at the same moment.
        sleep(self.back_off.mul_f64(0.5 + fastrand::f64())).await;
        self.back_off = (2 * self.back_off).min(back_off_maximum);
    }
}

fn label_of(error: &StoreError) -> &'static str {
    match error {
        StoreError::Unreachable(_) => "unreachable",
        StoreError::Refused(_) => "refused",
        StoreError::Throttled => "throttled",
        StoreError::HistoryGone => "history_gone",
        StoreError::PreviousEra => "former_era",
        StoreError::Malformed(_) => "malformed",
    }
}

/// Follows the directory for ever, while `role` has it read the store.
pub async fn follow_directory<S: ControlStore>(
    mut store: S,
    role: ReaderRole,
    learner: Learner,
    metrics: RelayMetrics,
) {
    let mut access = StoreAccess::new("directory", metrics);
    let mut eras = learner.eras();
    let mut needs_listing = false;
    loop {
        while !role.reads(learner.knowledge().directory_confirmed_at) {
            access.note_standing_in(false, None);
            sleep(IDLE_PAUSE).await;
        }
        access.note_standing_in(!role.is_reader(), learner.age_of(learner.knowledge().directory_confirmed_at));
        // What peers have told meanwhile counts: the watch goes on from there.
        let after = learner.directory_position().filter(|_| !needs_listing);
        let now = || learner.clock().now();
        let result = match after {
            None => list_unless_told(&mut store, &learner).await,
            Some(position) => tokio::select! {
                changes = store.watch_back_ends(position, WATCH_WAIT) => {
                    changes.map(|changes| learner.apply_changes(changes, now(), Source::Store))
                }
                () = newer_era(&mut eras, position) => {
                    needs_listing = true;
                    continue;
                }
            },
        };
        let succeeded = result.is_ok();
        needs_listing = settle(result, needs_listing, &mut access, back_off_maximum(&role, after.is_some())).await;
        if succeeded {
            sleep(DIRECTORY_PAUSE).await;
        }
    }
}

/// Waits until a peer, or another call, has told a newer era than that of `position`. Each is told once: it may be a mistake.
async fn newer_era(eras: &mut watch::Receiver<StoreEra>, position: Position) {
    loop {
        // The sender lives as long as the learner.
        let _ = eras.changed().await;
        if *eras.borrow_and_update() > position.era {
            return;
        }
    }
}

/// Lists the directory, unless a peer tells the whole of it meanwhile: a list may take long while many nodes start.
async fn list_unless_told<S: ControlStore>(store: &mut S, learner: &Learner) -> Result<(), StoreError> {
    let mut news = learner.news();
    let known_before = learner.directory_position();
    let told = async {
        while known_before.is_some() || learner.directory_position().is_none() {
            // The sender lives as long as the learner.
            let _ = news.changed().await;
        }
    };
    tokio::select! {
        listing = store.list_back_ends() => {
            learner.adopt_own_listing(listing?, known_before.unwrap_or_default(), learner.clock().now());
            Ok(())
        }
        () = told => Ok(()),
    }
}

/// Follows the configuration for ever, while `role` has it read the store.
pub async fn follow_configuration<S: ControlStore>(
    mut store: S,
    role: ReaderRole,
    learner: Learner,
    metrics: RelayMetrics,
) {
    let mut access = StoreAccess::new("configuration", metrics);
    let mut eras = learner.eras();
    let mut needs_reading = false;
    loop {
        while !role.reads(learner.configuration_confirmed_at()) {
            access.note_standing_in(false, None);
            sleep(IDLE_PAUSE).await;
        }
        access.note_standing_in(!role.is_reader(), learner.age_of(learner.configuration_confirmed_at()));
        let asked_at = learner.clock().now();
        // What peers have told meanwhile counts: a node that only wants it confirmed is not sent all of it.
        let after = learner.configuration_at().filter(|_| !needs_reading);
        let result = match after {
            None => store.read_configuration().await,
            Some(position) => tokio::select! {
                read = store.watch_configuration(position, WATCH_WAIT) => read,
                () = newer_era(&mut eras, position) => {
                    needs_reading = true;
                    continue;
                }
            },
        };
        let result = result.map(|read| {
            // A configuration may have been on its way for long.
            let confirmed_at = if read.configuration.is_some() { asked_at } else { learner.clock().now() };
            if let Some(configuration) = read.configuration {
                learner.adopt_configuration(configuration);
            }
            learner.set_configuration_at(read.position);
            learner.confirm_configuration(confirmed_at);
            learner.show_configuration(asked_at);
        });
        let maximum = back_off_maximum(&role, learner.knowledge().configuration.is_some());
        needs_reading = settle(result, needs_reading, &mut access, maximum).await;
    }
}

/// Notes how a call ended, and pauses after a failure. Returns whether all has to be read anew: when the history was lost,
/// or when it had to be and the call failed.
async fn settle(
    result: Result<(), StoreError>,
    read_anew: bool,
    access: &mut StoreAccess,
    back_off_maximum: Duration,
) -> bool {
    match result {
        Ok(()) => {
            access.succeeded(!read_anew);
            false
        }
        Err(StoreError::HistoryGone) => {
            access.history_gone(back_off_maximum).await;
            true
        }
        Err(error) => {
            access.failed(&error, back_off_maximum).await;
            read_anew
        }
    }
}
