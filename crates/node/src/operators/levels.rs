//! Metrics that are levels, taken from the node's status when they are asked for.

use super::admission_messages::AdmissionStatus;
use super::messages::{EngineStatus, PoolStatus, StatusAnswer};
use crate::metrics::{MemberStateLabel, Metrics, PoolLabel, TenantLabel};

/// Sets the levels in `metrics` to what `status` tells. A pool that is no longer the node's own loses its levels.
pub(super) fn record_levels(metrics: &Metrics, status: &StatusAnswer) {
    let version = i64::try_from(status.configuration.version.0).unwrap_or(i64::MAX);
    metrics.configuration_version.set(version);
    metrics.members.clear();
    for member in &status.members {
        metrics.members.get_or_create(&MemberStateLabel { state: member.state.clone() }).inc();
    }
    metrics.queue_length.clear();
    metrics.in_flight.clear();
    record_admission(metrics, &status.admission);
    status.pools.iter().for_each(|pool| record_pool(metrics, pool));
}

fn record_admission(metrics: &Metrics, status: &AdmissionStatus) {
    let claims = status.claims;
    metrics.slot_map_version.set(i64::try_from(claims.slot_map.0).unwrap_or(i64::MAX));
    metrics.claim_slots_held.set(i64::from(claims.slots_held));
    metrics.claim_slots_voting.set(i64::from(claims.slots_voting));
    metrics.claim_records.set(i64::from(claims.records));
    metrics.claim_answer_bytes.set(i64::try_from(claims.answer_bytes).unwrap_or(i64::MAX));
    metrics.tenant_permits.clear();
    for tenant in &status.tenants {
        let label = TenantLabel { tenant: tenant.tenant.to_string() };
        metrics.tenant_permits.get_or_create(&label).set(i64::from(tenant.permits_in_use));
    }
}

fn record_pool(metrics: &Metrics, pool: &PoolStatus) {
    let label = PoolLabel { pool: pool.pool.clone() };
    // Only the owner of a pool knows what waits in it.
    let Some(waiting) = pool.waiting else { return };
    metrics.queue_length.get_or_create(&label).set(i64::from(waiting));
    metrics.in_flight.get_or_create(&label).set(pool.engines.iter().map(in_flight).sum());
}

fn in_flight(engine: &EngineStatus) -> i64 {
    engine.in_flight.map_or(0, i64::from)
}
