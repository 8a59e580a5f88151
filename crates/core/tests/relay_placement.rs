//! Placement of requests on back ends.

mod support {
    pub mod relay_fixture;
}

use std::time::Duration;

use havengate_core::back_ends::{BackEnd, EngineStage, Usability};
use havengate_core::relay::{
    Candidate, PlacementConfig, Prompt, PromptIndex, PromptIndexConfig, PromptPart, Purpose, Urgency, place,
};
use havengate_core::time::Timestamp;
use support::relay_fixture::back_end;

fn prefill_engines(count: u8) -> Vec<BackEnd> {
    (1..=count).map(|number| back_end(number, Some(EngineStage::Prefill))).collect()
}

fn decode_engines(count: u8) -> Vec<BackEnd> {
    (1..=count).map(|number| back_end(number, Some(EngineStage::Decode))).collect()
}

fn candidate(back_end: &BackEnd) -> Candidate<'_> {
    Candidate { back_end, usability: Usability::Usable, healthy: true, connectable: true, in_flight: 0 }
}

const NOW: Timestamp = Timestamp::from_millis(10_000);

/// A time limit that every prefill meets.
const AMPLE_TIME: Option<Duration> = Some(Duration::from_secs(3_600));

/// A time limit that prefills meet unless many others are queued.
const ONE_SECOND: Option<Duration> = Some(Duration::from_secs(1));

/// A time limit that has already passed.
const NO_TIME: Option<Duration> = Some(Duration::ZERO);

fn index() -> PromptIndex {
    PromptIndex::new(PromptIndexConfig::default())
}

/// A long prompt whose first part is shared with others.
fn prompt(id: u64) -> Prompt {
    let parts = vec![PromptPart { id, tokens: 12_000 }, PromptPart { id: id + 1_000, tokens: 3_000 }];
    Prompt { tokens: 15_000, output_tokens_maximum: 10, parts }
}

fn placed(candidates: &[Candidate<'_>], purpose: &Purpose<'_>, seed: u64) -> Option<String> {
    let random = &mut fastrand::Rng::with_seed(seed);
    let placed = place(candidates, purpose, &PlacementConfig::default(), |_| false, random)?;
    Some(candidates[placed.index].back_end.id.to_string())
}

#[test]
fn all_nodes_place_a_new_part_on_the_same_engine() {
    let engines = prefill_engines(6);
    let candidates: Vec<Candidate<'_>> = engines.iter().map(candidate).collect();
    let index = index();
    for key in 0..50 {
        let purpose = Purpose::Prefill { prompt: &prompt(key), in_time: AMPLE_TIME, index: &index, now: NOW };
        let first = placed(&candidates, &purpose, 1);
        assert!(first.is_some());
        let reversed: Vec<Candidate<'_>> = candidates.iter().rev().copied().collect();
        assert_eq!(
            first,
            placed(&reversed, &purpose, 2),
            "the result depends on neither the order nor the node's random numbers"
        );
    }
}

#[test]
fn removing_an_engine_moves_only_its_own_parts() {
    let engines = prefill_engines(6);
    let candidates: Vec<Candidate<'_>> = engines.iter().map(candidate).collect();
    let index = index();
    for key in 0..200 {
        let purpose = Purpose::Prefill { prompt: &prompt(key), in_time: AMPLE_TIME, index: &index, now: NOW };
        let before = placed(&candidates, &purpose, 1).expect("there are engines");
        let after = placed(&candidates[1..], &purpose, 1).expect("there are engines");
        assert!(before == after || before == engines[0].id.as_str());
    }
}

#[test]
fn a_part_is_placed_where_it_is_cached_unless_that_engine_has_a_long_backlog() {
    let engines = prefill_engines(3);
    let candidates: Vec<Candidate<'_>> = engines.iter().map(candidate).collect();
    let mut index = index();
    let prefill_id = index.begin(&engines[1], &prompt(1), Urgency::InTime, NOW);
    index.end(prefill_id, true, NOW);
    let place_now = |index: &PromptIndex| {
        placed(&candidates, &Purpose::Prefill { prompt: &prompt(1), in_time: AMPLE_TIME, index, now: NOW }, 1)
    };
    assert_eq!(place_now(&index).as_deref(), Some(engines[1].id.as_str()));
    for key in 2..20 {
        index.begin(&engines[1], &prompt(key), Urgency::InTime, NOW);
    }
    assert_ne!(place_now(&index).as_deref(), Some(engines[1].id.as_str()));
}

#[test]
fn a_decode_engine_prefills_a_long_prompt_when_all_prefill_engines_have_a_long_backlog() {
    let (prefill, decode) = (back_end(1, Some(EngineStage::Prefill)), back_end(2, Some(EngineStage::Decode)));
    let candidates = [candidate(&prefill), candidate(&decode)];
    let mut index = index();
    let place_now = |index: &PromptIndex| {
        placed(&candidates, &Purpose::Prefill { prompt: &prompt(1), in_time: ONE_SECOND, index, now: NOW }, 1)
    };
    assert_eq!(place_now(&index).as_deref(), Some(prefill.id.as_str()));
    for key in 2..20 {
        index.begin(&prefill, &prompt(key), Urgency::InTime, NOW);
    }
    assert_eq!(place_now(&index).as_deref(), Some(decode.id.as_str()));
}

#[test]
fn requests_are_placed_on_the_stage_that_serves_them() {
    let (prefill, decode) = (back_end(1, Some(EngineStage::Prefill)), back_end(2, Some(EngineStage::Decode)));
    let application = back_end(3, None);
    let candidates = [candidate(&prefill), candidate(&decode), candidate(&application)];
    let placed_for = |purpose: &Purpose<'_>| placed(&candidates, purpose, 1);
    let index = index();
    let prefill_purpose = Purpose::Prefill { prompt: &prompt(1), in_time: AMPLE_TIME, index: &index, now: NOW };
    assert_eq!(placed_for(&prefill_purpose).as_deref(), Some(prefill.id.as_str()));
    assert_eq!(
        placed_for(&Purpose::Decode { near: None, index: &index, now: NOW }).as_deref(),
        Some(decode.id.as_str())
    );
    assert_eq!(placed_for(&Purpose::Application).as_deref(), Some(application.id.as_str()));
}

#[test]
fn failing_back_ends_come_after_healthy_ones_and_draining_ones_last() {
    let engines = decode_engines(3);
    let healthy = Candidate { in_flight: 30, ..candidate(&engines[0]) };
    let failing = Candidate { healthy: false, ..candidate(&engines[1]) };
    let draining = Candidate { usability: Usability::LastResort, ..candidate(&engines[2]) };
    let unusable = Candidate { usability: Usability::Unusable, ..candidate(&engines[0]) };
    let index = index();
    let purpose = Purpose::Decode { near: None, index: &index, now: NOW };
    let id = |index: usize| Some(engines[index].id.to_string());
    assert_eq!(placed(&[draining, failing, healthy], &purpose, 1), id(0));
    assert_eq!(placed(&[draining, failing], &purpose, 1), id(1));
    assert_eq!(placed(&[draining, unusable], &purpose, 1), id(2));
    assert_eq!(placed(&[unusable], &purpose, 1), None);
}

#[test]
fn back_ends_without_a_free_connection_or_with_an_earlier_attempt_are_excluded() {
    let engines = decode_engines(2);
    let full = Candidate { connectable: false, ..candidate(&engines[0]) };
    let index = index();
    let purpose = Purpose::Decode { near: None, index: &index, now: NOW };
    assert_eq!(placed(&[full], &purpose, 1), None);
    let candidates = [candidate(&engines[0]), candidate(&engines[1])];
    let random = &mut fastrand::Rng::with_seed(1);
    let avoid = |back_end: &BackEnd| back_end.id == engines[0].id;
    assert_eq!(
        place(&candidates, &purpose, &PlacementConfig::default(), avoid, random).map(|placed| placed.index),
        Some(1)
    );
}

#[test]
fn a_stream_is_placed_in_the_zone_of_its_prompt_unless_another_engine_has_far_fewer_requests() {
    let engines = decode_engines(2);
    let zone = engines[0].zone.clone();
    let index = index();
    let purpose = Purpose::Decode { near: Some(&zone), index: &index, now: NOW };
    let near = |in_flight| Candidate { in_flight, ..candidate(&engines[0]) };
    let advantage = PlacementConfig::default().zone_advantage as u32;
    assert_eq!(placed(&[near(advantage - 1), candidate(&engines[1])], &purpose, 1), Some(engines[0].id.to_string()));
    assert_eq!(placed(&[near(advantage + 1), candidate(&engines[1])], &purpose, 1), Some(engines[1].id.to_string()));
}

#[test]
fn equal_back_ends_are_chosen_at_random() {
    let engines = decode_engines(4);
    let candidates: Vec<Candidate<'_>> = engines.iter().map(candidate).collect();
    let index = index();
    let purpose = Purpose::Decode { near: None, index: &index, now: NOW };
    let chosen: std::collections::BTreeSet<_> = (0..100).map(|seed| placed(&candidates, &purpose, seed)).collect();
    assert_eq!(chosen.len(), engines.len());
}

#[test]
fn a_short_prompt_does_not_wait_behind_a_long_one() {
    let engines = decode_engines(2);
    let candidates = [candidate(&engines[0]), Candidate { in_flight: 5, ..candidate(&engines[1]) }];
    let mut index = index();
    index.begin(&engines[0], &prompt(1), Urgency::InTime, NOW);
    let purpose = Purpose::Decode { near: None, index: &index, now: NOW };
    assert_eq!(placed(&candidates, &purpose, 1).as_deref(), Some(engines[1].id.as_str()));
}

#[test]
fn each_mechanism_can_be_switched_off() {
    let (prefill, decode) = (back_end(1, Some(EngineStage::Prefill)), back_end(2, Some(EngineStage::Decode)));
    let other = back_end(3, Some(EngineStage::Prefill));
    let candidates = [candidate(&prefill), candidate(&decode), candidate(&other)];
    let mut index = index();
    let place_with = |index: &PromptIndex, config: &PlacementConfig| {
        let purpose = Purpose::Prefill { prompt: &prompt(1), in_time: ONE_SECOND, index, now: NOW };
        place(&candidates, &purpose, config, |_| false, &mut fastrand::Rng::with_seed(1)).map(|placed| placed.index)
    };
    let default = PlacementConfig::default();
    let first = place_with(&index, &default).expect("there are engines");
    let cache_peer = if first == 0 { &other } else { &prefill };
    index.record_cache_transfer(&cache_peer.id, &prompt(1), Duration::from_millis(12), NOW);
    assert_ne!(place_with(&index, &default), Some(first), "the prefill is placed where the part is cached");
    let without_affinity = PlacementConfig { affinity: false, ..default };
    assert_eq!(place_with(&index, &without_affinity), Some(first));
    for engine in [&prefill, &other] {
        (2..40).for_each(|key| {
            index.begin(engine, &prompt(key), Urgency::InTime, NOW);
        });
    }
    assert_eq!(place_with(&index, &default), Some(1));
    let always_sufficient = PlacementConfig { prefill_suffices_share: 1e3, ..default };
    assert_ne!(place_with(&index, &always_sufficient), Some(1));
    let prefill_only = PlacementConfig { decode_engines_read: false, ..default };
    assert_ne!(place_with(&index, &prefill_only), Some(1));
}

#[test]
fn values_out_of_range_are_rejected() {
    let default = PlacementConfig::default();
    assert_eq!(default.validate(), Ok(()));
    let wrong = [
        PlacementConfig { decode_interference: 0.0, ..default },
        PlacementConfig { prefill_suffices_share: -0.1, ..default },
        PlacementConfig { prefill_suffices_share: f64::NAN, ..default },
        PlacementConfig { zone_advantage: f64::NAN, ..default },
        PlacementConfig { zone_advantage: -1.0, ..default },
        PlacementConfig { target_share: f64::INFINITY, ..default },
        PlacementConfig { backlog_per_request_milliseconds: 0.0, ..default },
        PlacementConfig { backlog_per_request_milliseconds: f64::NAN, ..default },
        PlacementConfig { zone_hop_milliseconds: -1.0, ..default },
        PlacementConfig { region_hop_milliseconds: f64::NAN, ..default },
        PlacementConfig { zone_hop_requests: f64::INFINITY, ..default },
        PlacementConfig { region_hop_requests: 1e5, ..default },
    ];
    assert!(wrong.iter().all(|config| config.validate().is_err()));
}

#[test]
fn a_request_is_refused_only_where_it_would_queue() {
    let engines = prefill_engines(1);
    let candidates = [candidate(&engines[0])];
    let mut index = index();
    let place_now = |index: &PromptIndex| {
        let purpose = Purpose::Prefill { prompt: &prompt(1), in_time: NO_TIME, index, now: NOW };
        let random = &mut fastrand::Rng::with_seed(1);
        place(&candidates, &purpose, &PlacementConfig::default(), |_| false, random).expect("there is an engine")
    };
    for _ in 0..400 {
        let prefill_id = index.begin(&engines[0], &prompt(1), Urgency::Late, NOW);
        index.end(prefill_id, true, NOW + Duration::from_secs(60));
    }
    let left = Duration::from_secs(2);
    let idle = place_now(&index);
    assert!(
        idle.expected_time > left && !idle.should_refuse(left, None),
        "only a request sent there can correct the estimate"
    );
    let prefill_id = index.begin(&engines[0], &prompt(2), Urgency::InTime, NOW);
    let waiting = place_now(&index);
    assert!(waiting.should_refuse(left, None));
    let enough = 2 * waiting.expected_time;
    assert!(!waiting.should_refuse(enough, Some(1.0)) && waiting.should_refuse(enough, Some(2.5)));
    assert!(
        !idle.should_refuse(left, Some(2.5)),
        "a request that would not queue is not refused, however long late ones take"
    );
    index.end(prefill_id, true, NOW);
    assert!(!place_now(&index).should_refuse(left, None));
}

#[test]
fn a_prompt_that_would_be_late_everywhere_queues_behind_those_that_can_be_in_time() {
    let engines = prefill_engines(2);
    let candidates: Vec<Candidate<'_>> = engines.iter().map(candidate).collect();
    let mut index = index();
    let place_with_time_limit = |index: &PromptIndex, in_time: Option<Duration>, config: &PlacementConfig| {
        let purpose = Purpose::Prefill { prompt: &prompt(1), in_time, index, now: NOW };
        let random = &mut fastrand::Rng::with_seed(1);
        place(&candidates, &purpose, config, |_| false, random).expect("there are engines")
    };
    let default = PlacementConfig::default();
    let first = place_with_time_limit(&index, AMPLE_TIME, &default);
    assert_eq!(first.urgency, Urgency::InTime);
    assert_eq!(place_with_time_limit(&index, NO_TIME, &default).urgency, Urgency::Late);
    // Late prompts in the backlog do not delay prompts that can be in time, but do delay other late prompts.
    for key in 2..20 {
        index.begin(&engines[first.index], &prompt(key), Urgency::Late, NOW);
    }
    assert_eq!(place_with_time_limit(&index, AMPLE_TIME, &default).index, first.index);
    assert_ne!(place_with_time_limit(&index, NO_TIME, &default).index, first.index);
    let without_urgency_order = PlacementConfig { orders_by_urgency: false, ..default };
    assert_eq!(place_with_time_limit(&index, NO_TIME, &without_urgency_order).urgency, Urgency::InTime);
}

#[test]
fn a_route_without_a_target_is_never_late() {
    let config = PlacementConfig { target_share: 1.5, ..PlacementConfig::default() };
    let second = Duration::from_secs(1);
    assert_eq!(config.in_time(Duration::ZERO, second), None);
    assert_eq!(config.in_time(2 * second, second), Some(2 * second));
    assert_eq!(config.in_time(second, 3 * second), Some(Duration::ZERO), "a request that has waited longer is late");
    let engines = prefill_engines(1);
    let index = index();
    let purpose = Purpose::Prefill { prompt: &prompt(1), in_time: None, index: &index, now: NOW };
    let random = &mut fastrand::Rng::with_seed(1);
    let placed = place(&[candidate(&engines[0])], &purpose, &config, |_| false, random);
    assert_eq!(placed.expect("there is an engine").urgency, Urgency::InTime);
}

#[test]
fn decode_engines_are_left_out_while_a_prefill_engine_is_early_enough() {
    let (prefill, decode) = (back_end(1, Some(EngineStage::Prefill)), back_end(2, Some(EngineStage::Decode)));
    let candidates = [candidate(&prefill), candidate(&decode)];
    let mut index = index();
    // The prefill engine has a backlog of 300 ms, so the idle decode engine is faster.
    index.begin(
        &prefill,
        &Prompt { tokens: 30_000, output_tokens_maximum: 1, parts: Vec::new() },
        Urgency::InTime,
        NOW,
    );
    let prompt = Prompt { tokens: 3_000, output_tokens_maximum: 1, parts: Vec::new() };
    let chosen = |share: f64, in_time_millis: u64| {
        let config = PlacementConfig { prefill_suffices_share: share, target_share: 1.0, ..PlacementConfig::default() };
        let in_time = Some(Duration::from_millis(in_time_millis));
        let purpose = Purpose::Prefill { prompt: &prompt, in_time, index: &index, now: NOW };
        let random = &mut fastrand::Rng::with_seed(1);
        place(&candidates, &purpose, &config, |_| false, random).expect("there is a candidate").index
    };
    assert_eq!(chosen(0.0, 1_000), 1);
    assert_eq!(chosen(0.5, 1_000), 0, "330 ms are within half of the target");
    assert_eq!(chosen(0.5, 500), 1, "330 ms are not within 250");
}

#[test]
fn a_short_prompt_is_placed_only_on_an_idle_prefill_engine() {
    let engines = [
        back_end(1, Some(EngineStage::Prefill)),
        back_end(2, Some(EngineStage::Prefill)),
        back_end(3, Some(EngineStage::Decode)),
    ];
    let candidates: Vec<Candidate<'_>> = engines.iter().map(candidate).collect();
    let mut index = index();
    index.begin(&engines[0], &prompt(1), Urgency::InTime, NOW);
    for seed in 0..50 {
        let chosen = placed(&candidates, &Purpose::PrefillShort { index: &index, now: NOW }, seed);
        assert_eq!(chosen, Some(engines[1].id.to_string()));
    }
    index.begin(&engines[1], &prompt(2), Urgency::Late, NOW);
    assert_eq!(placed(&candidates, &Purpose::PrefillShort { index: &index, now: NOW }, 1), None);
}

#[test]
fn short_prompts_are_spread_over_all_idle_prefill_engines() {
    let engines = prefill_engines(8);
    let candidates: Vec<Candidate<'_>> = engines.iter().map(candidate).collect();
    let index = index();
    let chosen = |seed| placed(&candidates, &Purpose::PrefillShort { index: &index, now: NOW }, seed);
    let distinct: std::collections::BTreeSet<_> = (0..200).map(chosen).collect();
    assert_eq!(distinct.len(), 8);
}
