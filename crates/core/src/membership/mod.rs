//! Membership: which nodes are alive, which are leaving, and whether this node may still count itself among them.

mod member;
mod record;
mod rendezvous;
mod view;

pub use member::{Incarnation, Member};
pub use record::{Liveness, MemberRecord, MemberState};
pub use rendezvous::{rank_by_address, rank_members, rank_pool_owners};
pub use view::View;
