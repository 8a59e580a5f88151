//! The relay of opaque requests.
//!
//! A node takes requests that it doesn't look into, finds their route, places them on a back end and passes the answer
//! on. What callers, back ends and the store speak is behind the traits of [`protocol`]; what is decided is in
//! `havengate-core`. All requests are tasks on one traffic thread; a control thread follows the store and the peers,
//! and publishes what it knows as one immutable value.

pub mod back_ends;
pub mod broken_runs;
mod cache_survey;
pub mod callers;
pub mod control;
pub mod datagrams;
pub mod demand;
pub mod engine_ends;
pub mod knowledge;
pub mod metrics;
pub mod peer_notices;
pub mod process;
pub mod protocol;
pub mod settings;
pub mod usage;
