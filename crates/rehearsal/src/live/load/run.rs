//! Sends the planned requests at their times, by a bounded number of threads.

use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use havengate_core::world::Address;

use super::caller::Caller;
use super::planned::PlannedCall;
use crate::checker::CallRecord;

/// The most requests in flight. Beyond it requests are sent later than planned, as by callers behind a proxy.
const IN_FLIGHT_MAXIMUM: usize = 256;

/// Where callers reach the nodes that they know to be in service.
#[derive(Clone, Debug)]
pub struct CallerTargets {
    addresses: Arc<Mutex<Vec<Address>>>,
}

impl CallerTargets {
    /// All of `addresses`.
    pub fn new(addresses: Vec<Address>) -> Self {
        CallerTargets { addresses: Arc::new(Mutex::new(addresses)) }
    }

    fn pick(&self, draw: u64) -> Option<Address> {
        let addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        let index = draw.checked_rem(addresses.len() as u64)?;
        addresses.get(index as usize).copied()
    }
}

/// What a load has sent and what came of it.
#[derive(Clone, Debug, Default)]
pub struct LoadHistory {
    /// Requests that were handed to callers.
    pub offered: u64,
    /// What became of them, by their end.
    pub calls: Vec<CallRecord>,
}

/// Sends `calls`, whose times count from `start`, and waits until each has an outcome.
pub fn run_load(calls: Vec<PlannedCall>, targets: &CallerTargets, start: Instant) -> LoadHistory {
    let (work, incoming) = bounded::<PlannedCall>(0);
    let (records, results) = unbounded();
    let in_flight = IN_FLIGHT_MAXIMUM.min(calls.len());
    let mut offered = 0;
    thread::scope(|scope| {
        for _ in 0..in_flight {
            let (incoming, records) = (incoming.clone(), records.clone());
            scope.spawn(move || serve(&incoming, &records, targets, start));
        }
        drop((incoming, records));
        offered = hand_out(calls, &work, start);
        drop(work);
    });
    LoadHistory { offered, calls: results.into_iter().collect() }
}

fn hand_out(calls: Vec<PlannedCall>, work: &Sender<PlannedCall>, start: Instant) -> u64 {
    let mut offered = 0;
    for call in calls {
        sleep_until(start, call.at);
        if work.send(call).is_err() {
            break;
        }
        offered += 1;
    }
    offered
}

fn serve(incoming: &Receiver<PlannedCall>, records: &Sender<CallRecord>, targets: &CallerTargets, start: Instant) {
    let caller = Caller::new(start);
    for call in incoming {
        let Some(node) = targets.pick(call.node) else { continue };
        if records.send(caller.call(&call, node)).is_err() {
            return;
        }
    }
}

/// Sleeps until `at` after `start`.
pub(in crate::live) fn sleep_until(start: Instant, at: Duration) {
    thread::sleep(at.saturating_sub(start.elapsed()));
}
