//! Does to a running deployment what a schedule says, and notes what a checker must know of it.

use std::collections::BTreeMap;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, bounded};
use havengate_core::world::{EngineName, ModelName};
use havengate_node::node::StopOutcome;
use havengate_node::platform::dialect::MachineEntry;

use super::bootstrap::{confirm_intent, role_intent};
use super::cluster::Cluster;
use super::fault_schedule::Event;
use super::load::sleep_until;
use crate::checker::{Departure, Disturbance};
use crate::experiment::FaultKind;
use crate::platform::model::{Availability, PlatformFaults};

/// How long the consequences of a failure may cut off requests: until all nodes have noticed and a killed node's work
/// has passed to others.
const AFTERMATH: Duration = Duration::from_secs(8);

/// The share of replies that the platform's store loses.
const LOST_REPLIES: f64 = 0.5;

/// How long a new node may try to get the addresses of the one before.
const START_WITHIN: Duration = Duration::from_secs(10);
const START_EVERY: Duration = Duration::from_millis(200);

/// What was done to a deployment.
#[derive(Clone, Debug, Default)]
pub struct FaultHistory {
    /// Failures that may have cut requests off.
    pub disturbances: Vec<Disturbance>,
    /// When engines announced that they leave.
    pub departures: BTreeMap<EngineName, Vec<Departure>>,
    /// What was done, a line each.
    pub notes: Vec<String>,
    /// Planned stops of nodes that cut requests off.
    pub forced_stops: Vec<String>,
}

/// Does the events of a schedule.
pub struct FaultDriver<'a> {
    cluster: &'a mut Cluster,
    start: Instant,
    history: FaultHistory,
    drains: BTreeMap<usize, JoinHandle<StopOutcome>>,
}

enum Step<'a> {
    Begin(&'a Event),
    End(&'a Event),
}

impl<'a> FaultDriver<'a> {
    /// A driver whose times count from `start`.
    pub fn new(cluster: &'a mut Cluster, start: Instant) -> Self {
        FaultDriver { cluster, start, history: FaultHistory::default(), drains: BTreeMap::new() }
    }

    /// Does `events` at their times and returns after the last.
    pub fn run(mut self, events: &[Event]) -> FaultHistory {
        let begins = events.iter().map(|event| (event.begins(), Step::Begin(event)));
        let ends = events.iter().map(|event| (event.ends(), Step::End(event)));
        let mut steps: Vec<_> = begins.chain(ends).collect();
        steps.sort_by_key(|(at, _)| *at);
        for (at, step) in steps {
            sleep_until(self.start, at);
            match step {
                Step::Begin(event) => self.begin(event),
                Step::End(event) => self.end(event),
            }
        }
        self.history
    }

    fn begin(&mut self, event: &Event) {
        match event {
            Event::Fault(fault) => {
                self.note(format!("begins: {:?}", fault.kind));
                self.disturb(&fault.kind, fault.duration);
                self.begin_fault(&fault.kind);
            }
            Event::RoleChange { model, .. } => self.change_roles(model, true),
        }
    }

    fn end(&mut self, event: &Event) {
        match event {
            Event::Fault(fault) => {
                self.end_fault(&fault.kind);
                self.note(format!("ends: {:?}", fault.kind));
            }
            Event::RoleChange { model, .. } => self.change_roles(model, false),
        }
    }

    fn note(&mut self, what: String) {
        self.history.notes.push(format!("{:.1} s {what}", self.start.elapsed().as_secs_f64()));
    }

    /// Notes a failure that may cut off requests.
    fn disturb(&mut self, kind: &FaultKind, lasts: Duration) {
        let is_abrupt = matches!(
            kind,
            FaultKind::EngineCrash { .. }
                | FaultKind::EnginePause { .. }
                | FaultKind::NodeKill { .. }
                | FaultKind::ZoneCut { .. }
        );
        if is_abrupt {
            let from = self.start.elapsed();
            self.history.disturbances.push(Disturbance { from, until: from + lasts + AFTERMATH });
        }
    }

    fn begin_fault(&mut self, kind: &FaultKind) {
        match kind {
            FaultKind::EngineCrash { engine } => self.cluster.engines[engine].kill(),
            FaultKind::EnginePause { engine } => self.cluster.engines[engine].pause(),
            FaultKind::EngineLeaving { engine } => self.set_leaving(engine, true),
            FaultKind::StoreOutage {} => {
                self.set_platform(PlatformFaults { availability: Availability::Refusing, ..PlatformFaults::default() });
            }
            FaultKind::StoreRepliesLost {} => {
                self.set_platform(PlatformFaults { lost_write_replies: LOST_REPLIES, ..PlatformFaults::default() });
            }
            FaultKind::NodeKill { machine } => self.kill_node(*machine),
            FaultKind::NodeDrain { machine } => self.drain_node(*machine),
            FaultKind::ZoneCut { zone } => self.cluster.zone_cut.set(Some(zone.clone())),
            FaultKind::NodePause { .. } | FaultKind::LoadReportLag { .. } => {
                self.note("left out: threads of one process can't be paused, nor lags be changed".to_owned());
            }
        }
    }

    fn end_fault(&mut self, kind: &FaultKind) {
        match kind {
            FaultKind::EngineCrash { engine } => {
                if let Err(error) = self.cluster.engines[engine].restart() {
                    self.note(format!("{engine} does not restart: {error}"));
                }
            }
            FaultKind::EnginePause { engine } => self.cluster.engines[engine].resume(),
            FaultKind::EngineLeaving { engine } => self.set_leaving(engine, false),
            FaultKind::StoreOutage {} | FaultKind::StoreRepliesLost {} => self.set_platform(PlatformFaults::default()),
            FaultKind::NodeKill { machine } => self.start_node(*machine),
            FaultKind::NodeDrain { machine } => {
                self.await_drain(*machine);
                self.start_node(*machine);
            }
            FaultKind::ZoneCut { .. } => self.cluster.zone_cut.set(None),
            FaultKind::NodePause { .. } | FaultKind::LoadReportLag { .. } => {}
        }
    }

    fn set_leaving(&mut self, engine: &EngineName, leaving: bool) {
        let handle = &self.cluster.engines[engine];
        handle.set_leaving(leaving);
        let now = handle.now();
        let departures = self.history.departures.entry(engine.clone()).or_default();
        match departures.last_mut() {
            Some(departure) if !leaving => departure.revoked_at = Some(now),
            _ => departures.push(Departure { announced_at: now, revoked_at: None }),
        }
    }

    fn set_platform(&self, faults: PlatformFaults) {
        let reply_delay = self.cluster.deployment.platform.call_latency;
        self.cluster.platform.set_faults(PlatformFaults { reply_delay, ..faults });
    }

    fn kill_node(&mut self, machine: usize) {
        let address = self.cluster.deployment.machines[machine].peers_address;
        if let Some(node) = self.cluster.nodes.remove(&address) {
            node.stop();
        }
    }

    /// Begins a planned stop, which the machine list announces, late.
    fn drain_node(&mut self, machine: usize) {
        self.list_machine(machine, true);
        let address = self.cluster.deployment.machines[machine].peers_address;
        let Some(node) = self.cluster.nodes.remove(&address) else { return };
        let drain = thread::spawn(move || {
            let (_open, never): (_, Receiver<()>) = bounded(0);
            node.drain(&never)
        });
        self.drains.insert(machine, drain);
    }

    fn await_drain(&mut self, machine: usize) {
        let Some(drain) = self.drains.remove(&machine) else { return };
        match drain.join() {
            Ok(StopOutcome::Drained) => self.note(format!("machine {machine}: drained")),
            outcome => self.history.forced_stops.push(format!("machine {machine}: {outcome:?}")),
        }
        self.list_machine(machine, false);
    }

    fn list_machine(&self, machine: usize, leaving: bool) {
        let machine = &self.cluster.deployment.machines[machine];
        let entry = MachineEntry { address: machine.peers_address, zone: machine.zone.clone(), leaving };
        self.cluster.platform.set_machine(entry);
    }

    fn start_node(&mut self, machine: usize) {
        let machine = self.cluster.deployment.machines[machine].clone();
        let until = Instant::now() + START_WITHIN;
        while let Err(error) = self.cluster.start_node(&machine) {
            if Instant::now() >= until {
                self.note(format!("node at {} does not start: {error}", machine.peers_address));
                return;
            }
            thread::sleep(START_EVERY);
        }
    }

    /// Asks an available node for another split of a model's engines, or for the first one.
    fn change_roles(&mut self, model: &ModelName, changed: bool) {
        let intent = role_intent(&self.cluster.deployment.configuration, model, changed);
        let operators = self.cluster.deployment.machines.iter();
        let mut operators = operators.filter(|machine| self.cluster.nodes.contains_key(&machine.peers_address));
        let answer = match operators.next() {
            Some(machine) => confirm_intent(machine.operators_address, &intent),
            None => Err("no node is left".to_owned()),
        };
        self.note(format!("roles of {model} {}: {answer:?}", if changed { "changed" } else { "changed back" }));
    }
}
