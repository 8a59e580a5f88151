//! What fails, or is changed on purpose, and when.

use std::time::Duration;

use fastrand::Rng;
use havengate_core::world::ModelName;

use crate::deployment::Deployment;
use crate::experiment::{Fault, FaultKind};

/// Time from the start of the load to the first event, and from the end of one event to the next.
const GAP: Duration = Duration::from_secs(3);

/// How long a fault lasts.
const FAULT_SECONDS: std::ops::RangeInclusive<u64> = 2..=5;

/// Time at the end of the load in which nothing begins, so that its consequences are seen.
const QUIET_END: Duration = Duration::from_secs(2);

/// Something that is done to a running deployment.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Something fails.
    Fault(Fault),
    /// Operators give other roles to the engines of a model; at the end they give back the first ones.
    RoleChange {
        /// When, from the start of the load.
        at: Duration,
        /// When it is taken back.
        until: Duration,
        /// The model.
        model: ModelName,
    },
}

impl Event {
    /// When it begins.
    pub fn begins(&self) -> Duration {
        match self {
            Event::Fault(fault) => fault.at,
            Event::RoleChange { at, .. } => *at,
        }
    }

    /// When it ends.
    pub fn ends(&self) -> Duration {
        match self {
            Event::Fault(fault) => fault.at + fault.duration,
            Event::RoleChange { until, .. } => *until,
        }
    }
}

/// Events one after the other for `duration`, of all kinds in turn and in random order. Equal seeds give equal events.
pub fn seeded_events(deployment: &Deployment, duration: Duration, seed: u64) -> Vec<Event> {
    let mut random = Rng::with_seed(seed);
    let mut events = Vec::new();
    let mut at = GAP;
    loop {
        for kind in round(deployment, &mut random) {
            let lasts = Duration::from_secs(random.u64(FAULT_SECONDS));
            if at + lasts + QUIET_END > duration {
                return events;
            }
            events.push(match kind {
                RoundEntry::Fault(kind) => Event::Fault(Fault { at, duration: lasts, kind }),
                RoundEntry::RoleChange(model) => Event::RoleChange { at, until: at + lasts, model },
            });
            at += lasts + GAP;
        }
    }
}

enum RoundEntry {
    Fault(FaultKind),
    RoleChange(ModelName),
}

/// One event of each kind, in random order.
fn round(deployment: &Deployment, random: &mut Rng) -> Vec<RoundEntry> {
    let configuration = &deployment.configuration;
    let mut engine = || configuration.engines[random.usize(..configuration.engines.len())].name.clone();
    let engines = [engine(), engine(), engine()];
    let [crashed, paused, leaving] = engines;
    let mut machine = || random.usize(..deployment.machines.len());
    let (killed, drained) = (machine(), machine());
    let zone = configuration.zones[random.usize(..configuration.zones.len())].name.clone();
    let model = configuration.models[random.usize(..configuration.models.len())].name.clone();
    let faults = [
        FaultKind::EngineCrash { engine: crashed },
        FaultKind::EnginePause { engine: paused },
        FaultKind::EngineLeaving { engine: leaving },
        FaultKind::StoreOutage {},
        FaultKind::StoreRepliesLost {},
        FaultKind::NodeKill { machine: killed },
        FaultKind::NodeDrain { machine: drained },
        FaultKind::ZoneCut { zone },
    ];
    let mut entries: Vec<RoundEntry> = faults.into_iter().map(RoundEntry::Fault).collect();
    entries.push(RoundEntry::RoleChange(model));
    random.shuffle(&mut entries);
    entries
}
