//! The havengate-rehearsal binary.
fn main() {}
