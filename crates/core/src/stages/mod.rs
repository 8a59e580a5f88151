//! Which engines read prompts and which answer: who decides it, on what demand, and how engines change.
//!
//! One node at a time holds the [`Lease`] that orders to engines need. [`DemandTable`] sums up what all nodes ask of the
//! engines, [`StagePolicy`] turns that into how many engines are to read, and [`StageChanges`] brings them there one step
//! at a time. Everything here is without I/O: `docs/adr/0013-stages.md` has the reasons.

mod changes;
mod demand;
mod lease;
mod ordered_ends;
mod policy;

pub use changes::{ChangeEnd, ChangesConfig, OrderAnswer, StageChange, StageChanges, StageOrder, StagedEngine};
pub use demand::{DemandCounters, DemandReport, DemandTable, DemandTableConfig, ServiceDemand};
pub use lease::{HolderId, Lease, LeaseConfig, LeaseRecord, LeaseStep, LeaseWrite};
pub use ordered_ends::{OrderedEnds, OrderedEndsConfig};
pub use policy::{
    ServiceLoad, StageCounts, StageDecision, StagePolicy, StagePolicyConfig, StagePolicyConfigError, StagePolicyName,
};

use crate::membership::rank_by_address;
use crate::world::Address;

/// Ranks the nodes that decide on stages.
const DECIDERS_KEY: &[u8] = b"deciders on stages";

/// The nodes that are told of demand: the one that decides, and the one that is next, so that it knows when it has to.
pub const DECIDERS: usize = 2;

/// The nodes among `own` and its `peers` that are told of demand, the one that decides first.
pub fn deciders(own: Address, peers: &[Address]) -> Vec<Address> {
    let mut ranked = rank_by_address(DECIDERS_KEY, peers.iter().copied().chain([own]), |address| *address);
    ranked.truncate(DECIDERS);
    ranked
}
