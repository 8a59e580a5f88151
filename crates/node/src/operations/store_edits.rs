//! Runs an edit of an object in the store to its end, on the caller's thread.

use std::thread;
use std::time::Duration;

use havengate_core::plan::{Edit, StoreEdit, StoreEditConfig, StoreEditEnd};

use crate::clock::Clock;
use crate::platform::PlatformApi;

/// How long an operator waits for a store that does not answer. The edit can be repeated safely.
const TIME_LIMIT: Duration = Duration::from_secs(10);

/// The shortest sleep between two steps.
const PAUSE: Duration = Duration::from_millis(5);

/// Runs `edit` to its end; blocks until then.
pub fn run_edit<E: Edit>(platform: &dyn PlatformApi, clock: Clock, edit: E) -> StoreEditEnd<E::Outcome> {
    let config = StoreEditConfig { time_limit: TIME_LIMIT, ..StoreEditConfig::default() };
    let mut running = StoreEdit::new(config, edit, clock.now());
    loop {
        if let Some(end) = running.end() {
            return end.clone();
        }
        if let Some(call) = running.take_ready() {
            let reply = platform.call(&call.request);
            running.step(call.token, reply, clock.now());
            continue;
        }
        let wait = running.next_tick().map_or(PAUSE, |next| next.since(clock.now()));
        thread::sleep(wait.max(PAUSE));
        running.tick(clock.now());
    }
}
