//! The relay of opaque requests.
//!
//! A node accepts requests whose bodies it doesn't interpret, finds their route, places them on a back end and forwards
//! the answer. The traits of [`protocol`] abstract the protocols of callers, back ends and the store; the decisions are
//! made in `havengate-core`. All requests are tasks on one traffic thread. A control thread follows the store and the
//! peers, and publishes its view as one immutable value.

pub mod answer_memory;
pub mod back_ends;
pub mod broken_runs;
mod cache_survey;
pub mod callers;
pub mod control;
pub mod datagrams;
pub mod demand;
pub mod engine_terminations;
pub mod fleet_reach;
mod hop_by_hop;
pub mod knowledge;
pub mod machine;
pub mod metrics;
pub mod paths;
pub mod peer_notices;
pub mod process;
pub mod protocol;
pub mod quotas;
pub mod settings;
pub mod stream_origins;
pub mod tunnels;
pub mod usage;
