//! The system as one node sees it, for operators.

use std::collections::BTreeMap;
use std::time::Duration;

use havengate_core::authority::AuthorityStatus;
use havengate_core::configuration::{
    Configuration, ConfigurationStatus as ReplicaStatus, ConfigurationVersion, VersionState,
};
use havengate_core::control::{LocalPool, NodeControl};
use havengate_core::dispatch::EngineAvailability;
use havengate_core::time::Timestamp;
use havengate_core::world::{EngineName, Pool, PoolId, ZoneName};

use crate::operators::{
    AdmissionStatus, ConfigurationStatus, ConfirmAnswer, EngineStatus, MemberStatus, NodeStatus, PoolStatus,
    StatusAnswer,
};
use crate::traffic::{PoolRegistry, PoolRuntime};

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
    /// Claims and limits.
    pub admission: AdmissionStatus,
    /// The work at the pools that this node dispatches for.
    pub work: BTreeMap<PoolId, PoolWork>,
}

/// The work of one pool that this node dispatches for.
#[derive(Clone, Debug, Default)]
pub struct PoolWork {
    /// Requests that wait.
    pub waiting: u32,
    /// Requests placed on each engine that have not ended.
    pub in_flight: BTreeMap<EngineName, u32>,
}

/// The work at the pools that this node dispatches for.
pub fn work_by_pool(registry: &PoolRegistry, configuration: &Configuration) -> BTreeMap<PoolId, PoolWork> {
    let pools = configuration.pools();
    let work = |pool: &Pool| Some((pool.id.clone(), work_of(&*registry.get(&pool.id)?, pool)));
    pools.iter().filter_map(work).collect()
}

fn work_of(runtime: &PoolRuntime, pool: &Pool) -> PoolWork {
    let count = |requests: usize| u32::try_from(requests).unwrap_or(u32::MAX);
    runtime.with_dispatcher(|dispatcher, _| PoolWork {
        waiting: count(dispatcher.waiting()),
        in_flight: pool.engines.iter().map(|engine| (engine.clone(), count(dispatcher.in_flight(engine)))).collect(),
    })
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
        configuration: configuration_status(&control.replica().status()),
        members: control.view().records().map(member_of).collect(),
        pools: control.pools().map(|local_pool| pool_of(control, local_pool, context)).collect(),
        admission: context.admission.clone(),
    }
}

/// The configuration as operators see it, from what its replica tells.
pub fn configuration_status(replica: &ReplicaStatus) -> ConfigurationStatus {
    ConfigurationStatus {
        version: replica.in_force.unwrap_or_default(),
        pending: replica.pending.last().map(|pending| pending.version),
        waiting_for: replica.missing_members.iter().map(|member| member.address).collect(),
        missing_zones: replica.missing_zones.clone(),
    }
}

/// The answer to the confirmation of `version`, which is in `state`: accepted, or who and what holds it up.
pub fn confirm_answer(version: ConfigurationVersion, state: VersionState, replica: &ReplicaStatus) -> ConfirmAnswer {
    if state == VersionState::Accepted {
        return ConfirmAnswer::InForce { version };
    }
    let ConfigurationStatus { waiting_for, missing_zones, .. } = configuration_status(replica);
    ConfirmAnswer::Pending { version, waiting_for, missing_zones }
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

fn pool_of(control: &NodeControl, local_pool: &LocalPool, context: &StatusContext) -> PoolStatus {
    let me = control.status().me;
    let owned = local_pool.is_owned_by(me);
    let authority = local_pool.control.as_ref().map(|control| control.status()).filter(|_| owned);
    let states = local_pool.control.as_ref().map(|control| control.engine_states(context.now)).unwrap_or_default();
    let state_of = |engine: &EngineName| states.iter().filter(|_| owned).find(|status| status.engine == *engine);
    let work = context.work.get(&local_pool.pool.id).filter(|_| owned);
    let slots = local_pool.slots(control.configuration(), me, control.zone(), context.now);
    let engines = slots.into_iter().map(|slot| EngineStatus {
        zone: zone_of(control, &slot.name),
        role: slot.role,
        availability: owned.then(|| availability_word(slot.availability).to_owned()),
        in_flight: work.and_then(|work| work.in_flight.get(&slot.name).copied()),
        fence: authority.as_ref().and_then(|authority| fence_of(authority, &slot.name)),
        state: state_of(&slot.name).map(|status| status.state.code().to_owned()),
        order: state_of(&slot.name).and_then(|status| status.order),
        name: slot.name,
    });
    PoolStatus {
        pool: local_pool.pool.id.to_string(),
        model: local_pool.pool.id.model.clone(),
        owner: local_pool.owners.first().map(|owner| owner.address),
        term: authority.as_ref().and_then(|authority| authority.term),
        waiting: work.map(|work| work.waiting),
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
