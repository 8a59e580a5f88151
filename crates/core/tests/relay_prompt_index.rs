//! A node's estimate of open prefills and cached prompt parts, from its own requests and its peers' notices.

mod support {
    pub mod relay_fixture;
}

use std::net::SocketAddr;
use std::time::Duration;

use havengate_core::back_ends::{BackEnd, EngineStage};
use havengate_core::relay::{PrefillId, Prompt, PromptIndex, PromptIndexConfig, PromptPart, Urgency};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, BackEndId};
use support::relay_fixture::back_end;

const START: Timestamp = Timestamp::from_millis(10_000);
const SHARED: PromptPart = PromptPart { id: 7, tokens: 12_000 };

fn engine(number: u8) -> BackEndId {
    BackEndId::new(format!("engine-{number}"))
}

fn address(number: u8) -> Address {
    Address(SocketAddr::from(([10, 0, 0, number], 7_000)))
}

fn prompt() -> Prompt {
    let own = PromptPart { id: 99, tokens: 3_000 };
    Prompt { tokens: 15_000, output_tokens_maximum: 10, parts: vec![SHARED, own] }
}

fn index() -> PromptIndex {
    PromptIndex::new(PromptIndexConfig::default())
}

fn prefill_back_end(number: u8) -> BackEnd {
    BackEnd { id: engine(number), ..back_end(number, Some(EngineStage::Prefill)) }
}

fn begin(index: &mut PromptIndex, number: u8, prompt: &Prompt, now: Timestamp) -> PrefillId {
    index.begin(&prefill_back_end(number), prompt, Urgency::InTime, now)
}

fn prefill(index: &mut PromptIndex, number: u8, prompt: &Prompt, now: Timestamp) {
    let id = begin(index, number, prompt, now);
    index.end(id, true, now);
}

/// The tokens of the prompt that an engine has to prefill.
fn uncached_tokens(index: &PromptIndex, number: u8) -> u32 {
    prompt().tokens - index.cached_tokens_of(&engine(number), &prompt())
}

fn backlog(index: &PromptIndex, number: u8, urgency: Urgency, now: Timestamp) -> f64 {
    index.backlog(&engine(number), EngineStage::Prefill, urgency, now)
}

fn back_ends() -> Vec<BackEnd> {
    (1..=3).map(prefill_back_end).collect()
}

/// The number of the engine among `usable` that `prefill_engine` fetches cached parts from.
fn cache_peer(index: &PromptIndex, prefill_engine: u8, usable: &[u8]) -> Option<u8> {
    let back_ends = back_ends();
    let others = back_ends.iter().filter(|back_end| usable.iter().any(|number| back_end.id == engine(*number)));
    let found = index.cache_peer(&engine(prefill_engine), &prompt(), others)?;
    (1..=3).find(|number| engine(*number) == found.id)
}

#[test]
fn an_engine_that_caches_the_shared_part_prefills_only_the_rest() {
    let mut index = index();
    assert_eq!(uncached_tokens(&index, 1), 15_000);
    prefill(&mut index, 1, &prompt(), START);
    assert_eq!(uncached_tokens(&index, 1), 3_000);
    assert_eq!(uncached_tokens(&index, 2), 15_000);
}

#[test]
fn cached_tokens_count_up_to_the_first_missing_part() {
    let chain = |ids: &[u64]| {
        let mut parts: Vec<PromptPart> = ids.iter().map(|id| PromptPart { id: *id, tokens: 2_000 }).collect();
        parts.push(PromptPart { id: 99, tokens: 1_000 });
        Prompt { tokens: 2_000 * ids.len() as u32 + 1_000, output_tokens_maximum: 1, parts }
    };
    let mut index = index();
    prefill(&mut index, 1, &chain(&[1, 2]), START);
    let cached = |ids: &[u64]| index.cached_tokens_of(&engine(1), &chain(ids));
    assert_eq!(cached(&[1, 2]), 4_000);
    assert_eq!(cached(&[1, 3]), 2_000, "the common start is cached");
    assert_eq!(cached(&[1, 2, 3]), 4_000);
    assert_eq!(cached(&[3, 2]), 0, "a part counts only with all before it");
}

#[test]
fn the_cache_peer_is_the_engine_that_caches_most_and_used_it_last() {
    let mut index = index();
    assert_eq!(cache_peer(&index, 3, &[1, 2, 3]), None, "no engine caches it yet");
    for (number, millis) in [(1, 0), (2, 10)] {
        prefill(&mut index, number, &prompt(), START + Duration::from_millis(millis));
    }
    assert_eq!(cache_peer(&index, 3, &[1, 2, 3]), Some(2));
    assert_eq!(cache_peer(&index, 3, &[1, 3]), Some(1));
    assert_eq!(cache_peer(&index, 2, &[1, 2, 3]), None, "it caches the part itself");
}

#[test]
fn a_repeated_notice_adds_no_tokens_twice() {
    let (mut here, mut there) = (index(), index());
    there.set_cache_tokens(40_000);
    prefill(&mut here, 1, &prompt(), START);
    let notice = here.notice(address(1), 1, START);
    for sequence in 1..=20 {
        there.receive(havengate_core::relay::PrefillNotice { sequence, ..notice.clone() }, START);
    }
    assert_eq!(uncached_tokens(&there, 1), 3_000, "the part was not evicted by repeated notices of itself");
}

#[test]
fn a_finished_prefill_is_announced_again_in_case_the_first_notice_is_lost() {
    let (mut here, mut there) = (index(), index());
    prefill(&mut here, 1, &prompt(), START);
    let _lost = here.notice(address(1), 1, START);
    assert!(here.has_pending());
    there.receive(here.notice(address(1), 2, START), START);
    assert_eq!(uncached_tokens(&there, 1), 3_000);
    assert!(!here.has_pending(), "the number of announcements is limited");
}

#[test]
fn a_failed_prefill_caches_nothing() {
    let mut index = index();
    let id = begin(&mut index, 1, &prompt(), START);
    index.end(id, false, START);
    assert_eq!(uncached_tokens(&index, 1), 15_000);
}

#[test]
fn a_backlog_shrinks_with_time_and_is_empty_once_the_prefill_has_ended() {
    let mut index = index();
    let id = begin(&mut index, 1, &prompt(), START);
    let at = |index: &PromptIndex, millis| backlog(index, 1, Urgency::Late, START + Duration::from_millis(millis));
    assert!(at(&index, 0) > at(&index, 100));
    assert!(at(&index, 1_000) > 0.0, "an overdue prefill still counts");
    assert!(at(&index, 60_000) <= 0.0, "a prefill whose end is never reported stops counting");
    index.end(id, true, START);
    assert!(at(&index, 0) <= 0.0);
}

#[test]
fn prompts_are_prefilled_one_after_the_other() {
    let mut index = index();
    for _ in 0..10 {
        begin(&mut index, 1, &prompt(), START);
    }
    let rate = index.model().rate(EngineStage::Prefill);
    let later = START + Duration::from_millis(100);
    assert!((backlog(&index, 1, Urgency::Late, later) - (150_000.0 - 100.0 * rate)).abs() < 1.0);
    let first = begin(&mut index, 2, &prompt(), START);
    begin(&mut index, 2, &prompt(), START);
    index.end(first, true, later);
    assert!((backlog(&index, 2, Urgency::Late, later) - 15_000.0).abs() < 1.0, "the second begins when the first ends");
}

#[test]
fn prompts_in_time_do_not_wait_behind_late_ones() {
    let (mut here, mut there) = (index(), index());
    here.begin(&prefill_back_end(1), &prompt(), Urgency::Late, START);
    here.begin(&prefill_back_end(1), &prompt(), Urgency::InTime, START);
    there.receive(here.notice(address(1), 1, START), START);
    for index in [&here, &there] {
        assert!((backlog(index, 1, Urgency::InTime, START) - 15_000.0).abs() < 1.0);
        assert!((backlog(index, 1, Urgency::Late, START) - 30_000.0).abs() < 1.0);
    }
}

#[test]
fn peers_learn_of_open_and_finished_prefills() {
    let (mut here, mut there) = (index(), index());
    let id = begin(&mut here, 1, &prompt(), START);
    there.receive(here.notice(address(1), 1, START), START);
    assert_eq!(backlog(&there, 1, Urgency::Late, START), backlog(&here, 1, Urgency::Late, START));
    here.end(id, true, START);
    there.receive(here.notice(address(1), 2, START), START);
    assert_eq!(uncached_tokens(&there, 1), 3_000);
}

#[test]
fn a_transferred_cache_counts_at_its_new_engine_too() {
    let (mut here, mut there) = (index(), index());
    here.record_cache_transfer(&engine(2), &prompt(), Duration::from_millis(15), START);
    there.receive(here.notice(address(1), 1, START), START);
    for index in [&here, &there] {
        assert_eq!(uncached_tokens(index, 2), 3_000);
    }
}

#[test]
fn an_overtaken_notice_is_ignored_and_a_restarted_sender_is_accepted() {
    let (mut here, mut there) = (index(), index());
    let id = begin(&mut here, 1, &prompt(), START);
    let early = here.notice(address(1), 1, START);
    here.end(id, false, START);
    assert!(there.receive(here.notice(address(1), 2, START), START));
    assert!(!there.receive(early, START));
    assert!(backlog(&there, 1, Urgency::Late, START) <= 0.0);
    let later = START + PromptIndexConfig::default().prefill_maximum;
    let mut restarted = index();
    begin(&mut restarted, 3, &prompt(), later);
    there.receive(restarted.notice(address(1), 1, later), later);
    assert!(backlog(&there, 3, Urgency::Late, later) > 0.0);
}

#[test]
fn a_notice_stays_within_its_maximum_size_and_the_rest_is_sent_with_the_next() {
    let (mut here, mut there) = (index(), index());
    let prompt_of = |id: u64| Prompt {
        tokens: 5_000,
        output_tokens_maximum: 1,
        parts: vec![PromptPart { id, tokens: 4_000 }, PromptPart { id: 10_000 + id, tokens: 1_000 }],
    };
    for id in 0..200 {
        prefill(&mut here, (id % 3) as u8, &prompt_of(id), START);
    }
    for number in 0..=255 {
        for _ in 0..20 {
            begin(&mut here, number, &prompt(), START);
        }
    }
    let mut sequence = 0;
    while here.has_pending() {
        sequence += 1;
        assert!(sequence < 100, "the pending announcements are exhausted");
        let notice = here.notice(address(1), sequence, START);
        let bytes = speedy::Writable::write_to_vec(&notice).expect("a notice can be written").len();
        assert!(bytes <= PromptIndexConfig::default().notice_bytes, "{bytes} bytes");
        there.receive(notice, START);
    }
    let received = (0..200).filter(|id| there.cached_tokens_of(&engine((id % 3) as u8), &prompt_of(*id)) > 0).count();
    let known = (0..200).filter(|id| here.cached_tokens_of(&engine((id % 3) as u8), &prompt_of(*id)) > 0).count();
    assert_eq!(received, known, "each finished prefill is received");
}

#[test]
fn a_silent_peer_expires() {
    let (mut here, mut there) = (index(), index());
    begin(&mut here, 1, &prompt(), START);
    there.receive(here.notice(address(1), 5, START), START);
    let later = START + PromptIndexConfig::default().peer_expiry;
    there.retain_engines([&engine(1)].into_iter(), later);
    let mut reused = index();
    begin(&mut reused, 1, &prompt(), later);
    assert!(
        there.receive(reused.notice(address(1), 1, later), later),
        "another node at that address begins a new sequence"
    );
}

#[test]
fn parts_beyond_the_cache_capacity_are_removed_oldest_first() {
    let mut index = index();
    index.set_cache_tokens(40_000);
    let prompt_of = |id: u64| {
        let parts = vec![PromptPart { id, tokens: 12_000 }, PromptPart { id: 1_000 + id, tokens: 3_000 }];
        Prompt { tokens: 15_000, output_tokens_maximum: 10, parts }
    };
    for id in 1..=5 {
        let now = START + Duration::from_secs(id);
        prefill(&mut index, 1, &prompt_of(id), now);
    }
    assert!(index.cached_tokens(&engine(1)) <= 40_000);
    assert_eq!(index.cached_tokens_of(&engine(1), &prompt_of(5)), 12_000);
    assert_eq!(index.cached_tokens_of(&engine(1), &prompt_of(1)), 0);
}

#[test]
fn an_absent_engine_is_removed() {
    let mut index = index();
    prefill(&mut index, 1, &prompt(), START);
    index.retain_engines([&engine(2)].into_iter(), START);
    assert_eq!(uncached_tokens(&index, 1), 15_000);
}

#[test]
fn a_node_that_has_just_started_learns_cached_parts_and_their_order_of_use() {
    let mut here = index();
    let small = Prompt {
        tokens: 300,
        output_tokens_maximum: 1,
        parts: vec![PromptPart { id: 9, tokens: 200 }, PromptPart { id: 10, tokens: 100 }],
    };
    for prompt in [prompt(), small.clone()] {
        prefill(&mut here, 1, &prompt, START);
    }
    let mut there = index();
    let engines = [engine(1)];
    here.cached_parts(engines.iter(), 50).for_each(|parts| there.merge_cached_parts(parts, START));
    assert_eq!(there.cached_tokens(&engine(1)), here.cached_tokens(&engine(1)));
    assert_eq!(uncached_tokens(&there, 1), uncached_tokens(&here, 1));
    let announced: Vec<_> = here.cached_parts(engines.iter(), 50).collect();
    assert_eq!(
        there.cached_parts(engines.iter(), 50).collect::<Vec<_>>(),
        announced,
        "it announces the same parts to the next node"
    );
    // A repeated announcement, also from another peer, adds nothing, and known parts are not changed.
    announced.into_iter().for_each(|parts| there.merge_cached_parts(parts, START));
    assert_eq!(
        there.cached_parts(engines.iter(), 50).collect::<Vec<_>>(),
        here.cached_parts(engines.iter(), 50).collect::<Vec<_>>()
    );
    let newest_only: Vec<_> = here.cached_parts(engines.iter(), 1).collect();
    assert_eq!(newest_only[0].parts[0].part.id, 9, "the most recently used come first");
}
