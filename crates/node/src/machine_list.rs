//! Reads the platform's list of machines now and then. The list lags: it is a hint that a machine is leaving.

use std::io;
use std::sync::{Arc, Weak};
use std::thread;
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam::channel::Sender;
use havengate_core::control::ControlInput;

use crate::control::{ControlEvent, ControlSnapshot, SharedSnapshot};
use crate::platform::PlatformApi;

/// Time between two readings when the node reads the list.
const READ_EVERY: Duration = Duration::from_secs(5);

/// Starts the thread that reads the list; it ends with the node.
///
/// Only the owner of a pool reads: the platform serves few readers, and what one node learns, membership spreads.
///
/// # Errors
/// When the thread can't be started.
pub fn watch_machine_list(
    platform: Arc<dyn PlatformApi>,
    snapshot: SharedSnapshot,
    events: Sender<ControlEvent>,
) -> io::Result<()> {
    let snapshot = Arc::downgrade(&snapshot);
    thread::Builder::new().name("machine-list".to_owned()).spawn(move || {
        while let Some(reads) = reads_the_list(&snapshot) {
            if reads && !hint_leaving(&*platform, &events) {
                return;
            }
            thread::sleep(READ_EVERY);
        }
    })?;
    Ok(())
}

/// Whether this node owns the first pool, and so reads for all; `None` when the node is gone.
fn reads_the_list(snapshot: &Weak<ArcSwap<ControlSnapshot>>) -> Option<bool> {
    let snapshot = snapshot.upgrade()?.load_full();
    let first_owner = snapshot.routes.first().and_then(|route| route.owners.first());
    Some(first_owner == Some(&snapshot.me))
}

/// Tells control which machines are leaving; `false` when control has ended.
fn hint_leaving(platform: &dyn PlatformApi, events: &Sender<ControlEvent>) -> bool {
    let Some(machines) = platform.machines() else { return true };
    let leaving: Vec<_> = machines.iter().filter(|machine| machine.leaving).map(|machine| machine.address).collect();
    if leaving.is_empty() {
        return true;
    }
    events.send(ControlEvent::Input(ControlInput::MachinesLeaving(leaving))).is_ok()
}
