//! The havengate binary.
fn main() {}
