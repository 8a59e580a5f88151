//! Runs the built `havengate` binary.

mod files;
mod operators_api;
mod support;
