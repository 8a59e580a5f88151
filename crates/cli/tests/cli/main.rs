//! Runs the built `havengate` binary.

mod files;
mod node_process;
mod operators_api;
mod support;
