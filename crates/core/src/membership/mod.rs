//! Membership: which nodes are alive, which are leaving, and whether this node may still count itself among them.

mod member;

pub use member::{Incarnation, Member};
