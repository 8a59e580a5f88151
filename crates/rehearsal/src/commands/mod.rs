//! The subcommands of havengate-rehearsal.

pub mod compare;
pub mod live;
mod policy_argument;
pub mod scale;
pub mod simulate;

use bpaf::Bpaf;

/// Rehearses a havengate deployment on one machine
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Runs nodes, stand-in engines and a stand-in platform on loopback
    #[bpaf(command)]
    Live(#[bpaf(external(live::live_options))] live::LiveOptions),
    /// Runs the control of many nodes in virtual time and measures what it costs
    #[bpaf(command)]
    Scale(#[bpaf(external(scale::scale_options))] scale::ScaleOptions),
    /// Simulates an experiment on a deployment in virtual time
    #[bpaf(command)]
    Simulate(#[bpaf(external(simulate::simulate_options))] simulate::SimulateOptions),
    /// Compares policies on an experiment over several seeds
    #[bpaf(command)]
    Compare(#[bpaf(external(compare::compare_options))] compare::CompareOptions),
}
