//! A node's life as a process: SIGTERM or SIGINT starts a planned stop, a second one forces it.

use std::io;
use std::thread;

use crossbeam::channel::{Receiver, Sender, bounded, select};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::node::{Node, StopOutcome};

/// Signals that are taken in before the node has looked at them; more change nothing.
const SIGNALS_MAXIMUM: usize = 2;

/// Runs the node until a signal or an operator stops it, and the stop has ended.
///
/// # Errors
/// When the signals can't be received.
pub fn run_until_stopped(node: Node) -> io::Result<StopOutcome> {
    let signals = receive_signals()?;
    wait_for_stop(&node, &signals);
    Ok(node.drain(&signals))
}

fn wait_for_stop(node: &Node, signals: &Receiver<()>) {
    select! {
        recv(signals) -> _ => log::info!(by = "signal"; "stop_asked"),
        recv(node.drain_asked()) -> _ => log::info!(by = "operator"; "stop_asked"),
    }
}

fn receive_signals() -> io::Result<Receiver<()>> {
    let (sender, receiver) = bounded(SIGNALS_MAXIMUM);
    let signals = Signals::new([SIGTERM, SIGINT])?;
    thread::Builder::new().name("signals".to_owned()).spawn(move || pass_on(signals, &sender))?;
    Ok(receiver)
}

fn pass_on(mut signals: Signals, sender: &Sender<()>) {
    for _ in signals.forever() {
        // A full channel already holds the first signal and the one that forces the stop.
        let _ = sender.try_send(());
    }
}
