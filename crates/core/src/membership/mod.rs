//! Membership: which nodes are alive, which are leaving, and whether this node may still consider itself a member.
//!
//! [`Membership`] is a failure detector in the style of SWIM. `docs/adr/0002-membership.md` gives the rationale, and
//! `docs/MEMBERSHIP.md` explains its states to operators.

mod config;
mod detector;
mod gossip;
mod learn;
mod member;
mod message;
mod probe;
mod reach;
mod ready;
mod receive;
mod record;
mod rendezvous;
mod roster;
mod send;
mod standing;
mod timers;
mod view;

pub use config::{MembershipConfig, MembershipConfigError};
pub use detector::Membership;
pub use member::{Incarnation, Member};
pub use message::{Digest, MembershipMessage, MessageBody, Sequence, ZoneDigest};
pub use ready::{MembershipCounters, MembershipEvent, Outgoing, Ready};
pub use record::{Liveness, MemberRecord, MemberState, ZoneReport};
pub use rendezvous::{rank_by_address, rank_members, rank_pool_owners};
pub use standing::{Standing, SuspensionReason};
pub use view::View;
