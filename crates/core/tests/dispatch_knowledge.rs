//! A dispatcher's estimates of its engines: cached prefixes from delayed events, load from delayed reports.

mod dispatch_support;

use std::time::Duration;

use dispatch_support::{LONG, SHORT, dispatcher, engine_name, request, slots};
use havengate_core::dispatch::{DispatchAction, DispatchConfig, Dispatcher, EngineEvent, ReportedLoad};
use havengate_core::policy::{PoolLimits, RoleCounts};
use havengate_core::request::{BlockHash, RequestProfile};
use havengate_core::time::Timestamp;
use havengate_core::world::EngineRole::{Decode, Mixed, Prefill};
use havengate_core::world::{EngineName, EnginePerformance};

const BATCH: u32 = 32;

fn with_prefix(id: u128, prefix: u64) -> RequestProfile {
    let blocks = (0..15).map(|block| BlockHash(prefix * 100 + block)).collect();
    RequestProfile { blocks, ..request(id, SHORT, 1_950, 10) }
}

fn placed_on(dispatcher: &mut Dispatcher, profile: RequestProfile, now: Timestamp) -> EngineName {
    let request = profile.id;
    dispatcher.submit(profile, now).expect("accepted");
    let actions = dispatcher.poll(now);
    let decode_engine = |action: &DispatchAction| match action {
        DispatchAction::Start { request: started, placement, .. } if *started == request => {
            Some(placement.decode.clone())
        }
        _ => None,
    };
    actions.iter().find_map(decode_engine).expect("a start")
}

#[test]
fn a_prompt_is_placed_where_its_prefix_was_placed_or_reported_as_cached() {
    for removal in [
        EngineEvent::CacheGap { engine: engine_name(2) },
        EngineEvent::CacheRemoved { engine: engine_name(2), blocks: (100..115).map(BlockHash).collect() },
    ] {
        let mut dispatcher = dispatcher(DispatchConfig::default(), "prefix_affinity", &[Mixed; 3]);
        let now = Timestamp::ZERO;
        let first = placed_on(&mut dispatcher, with_prefix(1, 1), now);
        assert_eq!(placed_on(&mut dispatcher, with_prefix(2, 1), now), first, "it follows the earlier placement");
        let reported = EngineEvent::CacheStored { engine: engine_name(2), blocks: (200..215).map(BlockHash).collect() };
        dispatcher.step(reported, now);
        assert_eq!(placed_on(&mut dispatcher, with_prefix(3, 2), now), engine_name(2), "it follows the report");
        dispatcher.step(removal, now);
    }
}

#[test]
fn a_gap_in_cache_events_clears_the_estimated_prefixes() {
    let mut dispatcher = dispatcher(DispatchConfig::default(), "cost", &[Mixed; 3]);
    let now = Timestamp::ZERO;
    let blocks: Vec<BlockHash> = (100..115).map(BlockHash).collect();
    dispatcher.step(EngineEvent::CacheStored { engine: engine_name(2), blocks }, now);
    dispatcher.step(EngineEvent::CacheGap { engine: engine_name(2) }, now);
    assert_eq!(placed_on(&mut dispatcher, with_prefix(1, 1), now), engine_name(0), "no engine has a known prefix");
}

fn report(engine: usize, requests: u32, age: Duration) -> EngineEvent {
    let load = ReportedLoad { age, requests, ..ReportedLoad::default() };
    EngineEvent::Load { engine: engine_name(engine), load }
}

fn started(dispatcher: &mut Dispatcher, now: Timestamp) -> usize {
    dispatcher.poll(now).iter().filter(|action| matches!(action, DispatchAction::Start { .. })).count()
}

#[test]
fn external_load_uses_capacity_until_its_report_expires() {
    let config = DispatchConfig::default();
    let lifetime = config.load_report_lifetime;
    let mut dispatcher = dispatcher(config, "cost", &[Mixed]);
    let now = Timestamp::from_millis(1_000);
    dispatcher.step(report(0, BATCH - 2, Duration::ZERO), now);
    for id in 0..5 {
        dispatcher.submit(request(id, LONG, 10, 10), now).expect("accepted");
    }
    assert_eq!(started(&mut dispatcher, now), 2);
    for id in 0..2 {
        dispatcher.step(EngineEvent::FirstToken { request: request(id, LONG, 0, 0).id }, now);
    }
    let later = now + lifetime + Duration::from_millis(1);
    assert_eq!(started(&mut dispatcher, later), 3);
}

#[test]
fn a_late_report_of_own_load_is_not_counted_as_external_load() {
    let mut dispatcher = dispatcher(DispatchConfig::default(), "cost", &[Mixed]);
    let now = Timestamp::from_millis(1_000);
    for id in 0..20 {
        dispatcher.submit(request(id, LONG, 10, 10), now).expect("accepted");
    }
    assert_eq!(started(&mut dispatcher, now), 20);
    let ended = now + Duration::from_secs(1);
    for id in 0..20 {
        let outcome = havengate_core::dispatch::AttemptOutcome::Completed;
        dispatcher.step(EngineEvent::Ended { request: request(id, LONG, 0, 0).id, outcome }, ended);
    }
    let reported = ended + Duration::from_secs(1);
    dispatcher.step(report(0, 20, Duration::from_millis(1_500)), reported);
    for id in 100..132 {
        dispatcher.submit(request(id, LONG, 10, 10), reported).expect("accepted");
    }
    assert_eq!(started(&mut dispatcher, reported), BATCH as usize, "the report is from the time when the first 20 ran");
}

#[test]
fn a_long_prompt_is_split_and_a_short_one_runs_whole_where_that_is_faster() {
    let roles = [Prefill, Decode, Mixed];
    let mut dispatcher = dispatcher(DispatchConfig::default(), "cost", &roles);
    dispatcher.submit(request(1, LONG, 12_000, 10), Timestamp::ZERO).expect("accepted");
    dispatcher.submit(request(2, SHORT, 200, 10), Timestamp::ZERO).expect("accepted");
    let actions = dispatcher.poll(Timestamp::ZERO);
    let placement_of = |id: u128| {
        actions.iter().find_map(|action| match action {
            DispatchAction::Start { request, placement, .. } if request.0 == id => Some(placement.clone()),
            _ => None,
        })
    };
    let (long, short) = (placement_of(1).expect("started"), placement_of(2).expect("started"));
    assert_eq!((long.prefill, long.decode), (Some(engine_name(0)), engine_name(1)));
    assert_eq!((short.prefill, short.decode), (None, engine_name(2)));
    assert_eq!(dispatcher.in_flight(&engine_name(0)), 1);
    dispatcher.step(EngineEvent::FirstToken { request: request(1, LONG, 0, 0).id }, Timestamp::from_millis(1_600));
    assert_eq!(dispatcher.in_flight(&engine_name(0)), 0, "the request leaves the prefill engine at its first token");
}

#[test]
fn demand_includes_arriving_and_waiting_requests() {
    let mut dispatcher = dispatcher(DispatchConfig::default(), "cost", &[Mixed]);
    for tenth in 0..300_u64 {
        let now = Timestamp::from_millis(tenth * 100);
        let _ = dispatcher.submit(request(u128::from(tenth), LONG, 1_000, 50), now);
    }
    let limits = PoolLimits {
        roles: RoleCounts { mixed: 1, ..RoleCounts::default() },
        prefill_floor: 1,
        decode_floor: 1,
        performance: EnginePerformance::default(),
    };
    let demand = dispatcher.demand(&limits, Timestamp::from_millis(30_000));
    assert!((9_000.0..11_500.0).contains(&demand.prefill_tokens_per_second), "{demand:?}");
    assert!((450.0..575.0).contains(&demand.decode_tokens_per_second), "{demand:?}");
    assert!(demand.waiting_prefill_tokens >= 100_000, "{demand:?}");
    assert_eq!(demand.token_interval, Duration::from_millis(100));
    assert_eq!(slots(&[Mixed]).len(), usize::from(demand.roles.total()));
}
