//! A pool in virtual time: nodes that control it, its engines, the store, and a network with faults between them.

mod checks;
mod engine;
mod node;
mod store;
pub mod world;
