//! A small deployment over real sockets, under load, while an engine crashes, a node stops in a planned way and engines
//! change their roles. It checks guarantees and sums, never how long something took.

use std::path::Path;
use std::time::Duration;

use havengate_core::world::Address;
use havengate_rehearsal::deployment::Deployment;
use havengate_rehearsal::experiment::{Fault, FaultKind};
use havengate_rehearsal::live::{Event, LiveSummary, Rehearsal, mild_experiment, rehearse};

/// Added to the ports of the example: this test's own, below those that the system gives out.
const PORT_OFFSET: u16 = 5_000;
const LOAD: Duration = Duration::from_secs(12);

/// The print cooperative on ports of its own, with short role changes.
fn deployment() -> Deployment {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/himal-chhapai.toml");
    let mut deployment = Deployment::load(&example).expect("the example is valid");
    move_ports(&mut deployment.platform.address);
    for machine in &mut deployment.machines {
        let addresses = [&mut machine.callers_address, &mut machine.operators_address, &mut machine.peers_address];
        addresses.into_iter().for_each(move_ports);
    }
    deployment.configuration.engines.iter_mut().for_each(|engine| move_ports(&mut engine.address));
    for model in &mut deployment.configuration.models {
        model.performance.role_change = Duration::from_millis(500);
    }
    deployment
}

fn move_ports(address: &mut Address) {
    address.0.set_port(address.0.port() + PORT_OFFSET);
}

fn fault(at: u64, seconds: u64, kind: FaultKind) -> Event {
    Event::Fault(Fault { at: Duration::from_secs(at), duration: Duration::from_secs(seconds), kind })
}

fn rehearsed(events: Vec<Event>) -> LiveSummary {
    let deployment = deployment();
    let experiment = mild_experiment(&deployment, LOAD);
    let rehearsal = Rehearsal { deployment, experiment, duration: LOAD, rate_scale: 1.0, seed: 11, events };
    rehearse(rehearsal).expect("the deployment starts")
}

#[test]
fn crash_planned_stop_and_role_change_under_load_break_no_guarantee() {
    let change =
        Event::RoleChange { at: Duration::from_secs(1), until: Duration::from_secs(8), model: "lekh-model".into() };
    let summary = rehearsed(vec![
        change,
        fault(3, 3, FaultKind::EngineCrash { engine: "lekh-model-03".into() }),
        fault(5, 5, FaultKind::NodeDrain { machine: 2 }),
    ]);
    assert!(summary.is_balanced(), "sums don't match: {summary:#?}");
    assert!(summary.completed > 0, "nothing was served: {summary:#?}");
    assert_eq!(summary.violations, Vec::<String>::new(), "{summary:#?}");
}
