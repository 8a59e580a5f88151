//! Status of claims and limits for operators.

use havengate_core::claims::SlotStatus;
use havengate_core::world::Tenant;

use super::state::AdmissionState;
use crate::operators::{AdmissionStatus, ClaimStatus, TenantStatus};

impl AdmissionState {
    /// Returns the claims that this node holds and the permits in use by those of `tenants` that have limits.
    pub fn status(&self, tenants: &[Tenant]) -> AdmissionStatus {
        let limited = tenants.iter().filter(|tenant| tenant.limits.is_some());
        let in_use = |tenant: &Tenant| TenantStatus {
            tenant: tenant.name.clone(),
            permits_in_use: self.limiter.running(&tenant.name),
        };
        AdmissionStatus { claims: self.claim_status(), tenants: limited.map(in_use).collect() }
    }

    fn claim_status(&self) -> ClaimStatus {
        let slots: Vec<SlotStatus> = self.holder.status();
        let voting = slots.iter().filter(|slot| slot.votes).count();
        ClaimStatus {
            slot_map: self.keeper.map().version,
            slots_held: count(slots.len()),
            slots_voting: count(voting),
            records: count(self.holder.records()),
            answer_bytes: u64::try_from(self.holder.answer_bytes()).unwrap_or(u64::MAX),
        }
    }
}

fn count(items: usize) -> u32 {
    u32::try_from(items).unwrap_or(u32::MAX)
}
