//! The text of `havengate status` and `havengate drain`.

use std::time::Duration;

use havengate_core::world::EngineRole;
use havengate_node::operators::{
    AdmissionStatus, ConfigurationStatus, DrainAnswer, EngineStatus, MemberStatus, NodeStatus, PoolStatus, StatusAnswer,
};

use super::table::{missing_text, or_dash, table};
use crate::output::Report;

impl Report for StatusAnswer {
    fn text(&self) -> String {
        let pools: Vec<String> = self.pools.iter().map(pool_text).collect();
        let parts = [
            node_text(&self.node),
            configuration_text(&self.configuration),
            members_text(&self.members),
            admission_text(&self.admission),
            pools.join("\n\n"),
        ];
        parts.join("\n\n")
    }
}

impl Report for DrainAnswer {
    fn text(&self) -> String {
        format!("draining: the node takes no new work and exits once its {} open streams have ended", self.open_streams)
    }
}

fn node_text(node: &NodeStatus) -> String {
    let seen = node.store_last_seen.map(rounded).map(humantime::format_duration);
    let store = seen.map_or("store not heard of here".to_owned(), |seen| format!("store last answered {seen} ago"));
    [
        format!("node {} in {}, {}", node.address, node.zone, node.readiness),
        format!("version {}, up {}", node.version, humantime::format_duration(rounded(node.uptime))),
        format!("{} open streams, {store}", node.open_streams),
    ]
    .join("\n")
}

fn configuration_text(configuration: &ConfigurationStatus) -> String {
    let in_force = format!("configuration {} in force here", configuration.version.0);
    let Some(pending) = configuration.pending else { return format!("{in_force}{}", zones_text(configuration)) };
    let missing = missing_text(&configuration.waiting_for, &configuration.missing_zones);
    format!("{in_force}, {} pending, waiting for: {missing}", pending.0)
}

/// Zones that would hold up the next change, while none is pending.
fn zones_text(configuration: &ConfigurationStatus) -> String {
    if configuration.missing_zones.is_empty() {
        return String::new();
    }
    format!("; a change would wait for: {}", missing_text(&[], &configuration.missing_zones))
}

fn members_text(members: &[MemberStatus]) -> String {
    let row = |member: &MemberStatus| {
        let version = member.configuration.map_or(String::new(), |version| format!("configuration {}", version.0));
        vec![member.address.to_string(), member.zone.to_string(), member.state.clone(), version]
    };
    table(&["MEMBER", "ZONE", "STATE", ""], &members.iter().map(row).collect::<Vec<_>>())
}

fn admission_text(admission: &AdmissionStatus) -> String {
    let claims = admission.claims;
    let keys = format!(
        "slot map {}, {} slots held, {} voting, {} keys remembered",
        claims.slot_map.0, claims.slots_held, claims.slots_voting, claims.records
    );
    if admission.tenants.is_empty() {
        return keys;
    }
    let in_use = admission.tenants.iter().map(|tenant| format!("{} {}", tenant.tenant, tenant.permits_in_use));
    format!("{keys}\npermits in use: {}", in_use.collect::<Vec<_>>().join(", "))
}

fn pool_text(pool: &PoolStatus) -> String {
    let owner = or_dash(pool.owner);
    let (term, waiting) = (or_dash(pool.term.map(|term| term.0)), or_dash(pool.waiting));
    let head = format!("pool {}, owner {owner}, term {term}, {waiting} waiting", pool.pool);
    if pool.engines.iter().all(is_owned_elsewhere) {
        return format!("{head}\n{}; the owner knows more", roles_text(&pool.engines));
    }
    let rows: Vec<Vec<String>> = pool.engines.iter().map(engine_row).collect();
    let engines = table(&["ENGINE", "ZONE", "ROLE", "STATE", "IN FLIGHT", "FENCE", "ORDER"], &rows);
    format!("{head}\n{engines}")
}

/// Whether this node knows nothing of the engine but what the configuration says.
fn is_owned_elsewhere(engine: &EngineStatus) -> bool {
    engine.availability.is_none() && engine.in_flight.is_none()
}

/// Engines counted by their roles.
fn roles_text(engines: &[EngineStatus]) -> String {
    let count = |role: EngineRole| engines.iter().filter(|engine| engine.role == role).count();
    let roles = [EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed].into_iter();
    let counts = roles.map(|role| (role, count(role))).filter(|(_, count)| *count > 0);
    counts.map(|(role, count)| format!("{count} {role}")).collect::<Vec<_>>().join(", ")
}

fn engine_row(engine: &EngineStatus) -> Vec<String> {
    vec![
        engine.name.to_string(),
        engine.zone.to_string(),
        engine.role.to_string(),
        or_dash(engine.state.as_deref().or(engine.availability.as_deref())),
        or_dash(engine.in_flight),
        or_dash(engine.fence.map(|term| term.0)),
        or_dash(engine.order.map(|order| format!("{}.{}", order.term.0, order.sequence))),
    ]
}

/// Milliseconds are enough for people.
fn rounded(duration: Duration) -> Duration {
    Duration::from_millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
