//! The system as one node sees it, for operators.

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::authority::AuthorityStatus;
use havengate_core::control::{NodeControl, PoolStanding};
use havengate_core::dispatch::EngineAvailability;
use havengate_core::time::Timestamp;
use havengate_core::world::{EngineName, PoolId, ZoneName};

use crate::operators::{ConfigurationStatus, EngineStatus, MemberStatus, NodeStatus, PoolStatus, StatusAnswer};
use crate::traffic::PoolRegistry;

/// What the status needs besides control.
pub struct StatusContext {
    /// The time.
    pub now: Timestamp,
    /// Whether the node takes requests.
    pub readiness: crate::callers::Readiness,
    /// Streams to callers that are open.
    pub open_streams: u32,
    /// Time since the store last answered.
    pub store_last_seen: Option<Duration>,
    /// Requests that wait, by pool, at the pools that this node dispatches for.
    pub waiting: BTreeMap<PoolId, u32>,
}

/// Requests that wait here, by pool.
pub fn waiting_by_pool(registry: &PoolRegistry) -> BTreeMap<PoolId, u32> {
    let waiting = |(id, runtime): (PoolId, std::sync::Arc<crate::traffic::PoolRuntime>)| {
        let count = runtime.with_dispatcher(|dispatcher, _| dispatcher.waiting());
        (id, u32::try_from(count).unwrap_or(u32::MAX))
    };
    registry.all().into_iter().map(waiting).collect()
}

/// The status as control sees it.
pub fn status_of(control: &NodeControl, context: &StatusContext) -> StatusAnswer {
    let status = control.status();
    StatusAnswer {
        node: NodeStatus {
            address: status.me.address,
            incarnation: status.me.incarnation,
            zone: control.zone().clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            uptime: context.now.since(Timestamp::ZERO),
            readiness: context.readiness,
            open_streams: context.open_streams,
            store_last_seen: context.store_last_seen,
        },
        configuration: configuration_of(control),
        members: control.view().records().map(member_of).collect(),
        pools: control.pools().map(|standing| pool_of(control, standing, context)).collect(),
    }
}

fn configuration_of(control: &NodeControl) -> ConfigurationStatus {
    let status = control.replica().status();
    ConfigurationStatus {
        version: status.in_force.unwrap_or_default(),
        pending: status.pending.last().map(|pending| pending.version),
        waiting_for: status.missing_members.iter().map(|member| member.address).collect(),
    }
}

fn member_of(record: &havengate_core::membership::MemberRecord) -> MemberStatus {
    MemberStatus {
        address: record.member.address,
        incarnation: record.member.incarnation,
        zone: record.zone.clone(),
        state: record.state().to_string(),
        configuration: None,
    }
}

fn pool_of(control: &NodeControl, standing: &PoolStanding, context: &StatusContext) -> PoolStatus {
    let me = control.status().me;
    let owned = standing.is_owned_by(me);
    let authority = standing.control.as_ref().map(|control| control.status()).filter(|_| owned);
    let states = standing.control.as_ref().map(|control| control.engine_states(context.now)).unwrap_or_default();
    let state_of = |engine: &EngineName| states.iter().filter(|_| owned).find(|status| status.engine == *engine);
    let slots = standing.slots(control.configuration(), me, control.zone(), context.now);
    let engines = slots.into_iter().map(|slot| EngineStatus {
        zone: zone_of(control, &slot.name),
        role: slot.role,
        availability: owned.then(|| availability_word(slot.availability).to_owned()),
        in_flight: None,
        fence: authority.as_ref().and_then(|authority| fence_of(authority, &slot.name)),
        state: state_of(&slot.name).map(|status| status.state.code().to_owned()),
        order: state_of(&slot.name).and_then(|status| status.order),
        name: slot.name,
    });
    PoolStatus {
        pool: standing.pool.id.to_string(),
        model: standing.pool.id.model.clone(),
        owner: standing.owners.first().map(|owner| owner.address),
        term: authority.as_ref().and_then(|authority| authority.term),
        waiting: context.waiting.get(&standing.pool.id).copied().filter(|_| owned),
        engines: engines.collect(),
    }
}

fn zone_of(control: &NodeControl, engine: &EngineName) -> ZoneName {
    control.configuration().engine(engine).map(|engine| engine.zone.clone()).unwrap_or_default()
}

fn fence_of(authority: &AuthorityStatus, engine: &EngineName) -> Option<havengate_core::authority::Term> {
    let fenced = authority.fenced.iter().any(|fenced| &fenced.engine == engine);
    authority.term.filter(|_| fenced)
}

fn availability_word(availability: EngineAvailability) -> &'static str {
    match availability {
        EngineAvailability::Serving => "serving",
        EngineAvailability::Draining => "draining",
        EngineAvailability::Unavailable => "unavailable",
    }
}
