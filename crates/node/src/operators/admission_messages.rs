//! The part of the status that tells of idempotency keys and tenants' limits.

use havengate_core::claims::MapVersion;
use havengate_core::world::TenantName;
use serde::{Deserialize, Serialize};

/// What a node holds of the claims of idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimStatus {
    /// The version of the slot map that the node goes by; 0 before it has one, and then no key can be claimed.
    pub slot_map: MapVersion,
    /// Slots of which the map makes the node a holder.
    pub slots_held: u32,
    /// Held slots in which the node votes; the others are still being taken over.
    pub slots_voting: u32,
    /// Keys that the node remembers.
    pub records: u32,
    /// Bytes of recorded answers that the node keeps.
    pub answer_bytes: u64,
}

/// The limits of one tenant at the node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantStatus {
    /// A tenant that has limits.
    pub tenant: TenantName,
    /// Its requests that run now through this node.
    pub permits_in_use: u32,
}

/// Claims and limits at a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionStatus {
    /// Idempotency keys.
    pub claims: ClaimStatus,
    /// The tenants with limits.
    pub tenants: Vec<TenantStatus>,
}
