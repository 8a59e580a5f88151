//! Stand-ins, load, faults and experiments that rehearse a havengate deployment on one machine.

pub mod checker;
pub mod compare;
pub mod deployment;
pub mod engine;
pub mod experiment;
pub mod live;
pub mod platform;
pub mod scale;
pub mod simulate;
pub mod stand_in;
