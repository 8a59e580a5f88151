//! The decision logic of havengate, without I/O, clocks or threads.
//!
//! Every module is a state machine: the caller passes an event and the current time, and receives the actions to
//! perform. The same code therefore runs in the node, in property tests and in simulations in virtual time.

pub mod answer_end;
pub mod authority;
pub mod back_ends;
pub mod claims;
pub mod configuration;
pub mod control;
pub mod dispatch;
pub mod duties;
pub mod gateway;
pub mod limits;
pub mod membership;
pub mod paths;
pub mod plan;
pub mod policy;
pub mod prompt;
pub mod quota;
pub mod relay;
pub mod replication;
pub mod request;
pub mod resumption;
pub mod routing;
pub mod simulation;
pub mod stages;
pub mod store;
pub mod time;
pub mod verdict;
pub mod world;
