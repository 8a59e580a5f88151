//! Dispatch: which request runs on which engine of a pool, and when.
//!
//! A [`Dispatcher`] is a state machine for one pool. The caller hands in requests and what engines answer, and carries
//! out the actions that [`Dispatcher::poll`] returns.

mod dispatcher;

pub use dispatcher::{
    AttemptOutcome, DispatchAction, DispatchConfig, Dispatcher, EngineAvailability, EngineEvent, EngineSlot, Placement,
    Revocation,
};
