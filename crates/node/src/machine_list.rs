//! Reads the platform's list of machines now and then. The list lags: it is a hint that a machine is leaving.

use std::io;
use std::sync::{Arc, Weak};
use std::thread;
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam::channel::Sender;
use havengate_core::claims::SLOT_MAP_KEY;
use havengate_core::control::ControlInput;
use havengate_core::membership::rank_members;

use crate::admission::Admission;
use crate::control::{ControlEvent, ControlSnapshot, SharedSnapshot};
use crate::platform::PlatformApi;

/// Time between two readings when the node reads the list.
const READ_EVERY: Duration = Duration::from_secs(1);

/// Starts the thread that reads the list; it ends with the node.
///
/// Only the node that proposes slot maps reads: the platform serves few readers, and what one node learns, membership
/// and slot map spread.
///
/// # Errors
/// When the thread can't be started.
pub fn watch_machine_list(
    platform: Arc<dyn PlatformApi>,
    snapshot: SharedSnapshot,
    admission: Arc<Admission>,
    events: Sender<ControlEvent>,
) -> io::Result<()> {
    let snapshot = Arc::downgrade(&snapshot);
    thread::Builder::new().name("machine-list".to_owned()).spawn(move || {
        while let Some(reads) = reads_the_list(&snapshot) {
            if reads && !read(&*platform, &admission, &events) {
                return;
            }
            thread::sleep(READ_EVERY);
        }
    })?;
    Ok(())
}

/// Whether this node reads for all; `None` when the node is gone.
fn reads_the_list(snapshot: &Weak<ArcSwap<ControlSnapshot>>) -> Option<bool> {
    let snapshot = snapshot.upgrade()?.load_full();
    let live = snapshot.nodes.iter().filter(|node| node.may_own).map(|node| node.member);
    let first = rank_members(SLOT_MAP_KEY.as_bytes(), live).first().copied();
    Some(first == Some(snapshot.me))
}

/// Reads the list once; `false` when control has ended.
fn read(platform: &dyn PlatformApi, admission: &Admission, events: &Sender<ControlEvent>) -> bool {
    let Some(machines) = platform.machines() else { return true };
    admission.set_listed(machines.iter().map(|machine| machine.address).collect());
    let leaving: Vec<_> = machines.iter().filter(|machine| machine.leaving).map(|machine| machine.address).collect();
    leaving.is_empty() || events.send(ControlEvent::Input(ControlInput::MachinesLeaving(leaving))).is_ok()
}
