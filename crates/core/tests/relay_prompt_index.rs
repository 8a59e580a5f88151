//! What a node knows of the reading of prompts, from itself and from its peers.

use std::net::SocketAddr;
use std::time::Duration;

use havengate_core::back_ends::EngineStage;
use havengate_core::relay::{Prompt, PromptIndex, PromptIndexConfig, PromptPart};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, BackEndId};

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

fn cost(index: &PromptIndex, number: u8, now: Timestamp) -> u64 {
    index.cost(&engine(number), EngineStage::Prefill, &prompt(), now)
}

#[test]
fn an_engine_that_keeps_the_shared_part_reads_only_the_rest() {
    let mut index = index();
    assert_eq!(cost(&index, 1, START), 15_000);
    let reading = index.begin(&engine(1), &prompt(), START);
    index.end(reading, true, START);
    assert_eq!(cost(&index, 1, START), 3_000);
    let elsewhere = cost(&index, 2, START);
    assert!(3_000 < elsewhere && elsewhere < 15_000, "a part that is kept elsewhere is taken over: {elsewhere}");
}

#[test]
fn the_engine_that_used_a_part_last_is_its_keeper_for_others() {
    let mut index = index();
    let all = |_: &BackEndId| true;
    assert_eq!(index.keeper(&engine(3), &prompt(), all), None, "nobody keeps it yet");
    for (number, millis) in [(1, 0), (2, 10)] {
        let now = START + Duration::from_millis(millis);
        let reading = index.begin(&engine(number), &prompt(), now);
        index.end(reading, true, now);
    }
    assert_eq!(index.keeper(&engine(3), &prompt(), all), Some(&engine(2)));
    assert_eq!(index.keeper(&engine(3), &prompt(), |id| *id != engine(2)), Some(&engine(1)));
    assert_eq!(index.keeper(&engine(2), &prompt(), all), None, "it keeps the part itself");
}

#[test]
fn a_notice_that_is_told_again_brings_nothing_in_twice() {
    let (mut here, mut there) = (index(), index());
    there.set_cache_tokens(40_000);
    let reading = here.begin(&engine(1), &prompt(), START);
    here.end(reading, true, START);
    for sequence in 1..=20 {
        there.receive(here.notice(address(1), sequence, START), START);
    }
    assert_eq!(cost(&there, 1, START), 3_000, "the part was not pushed out by its own news");
}

#[test]
fn a_reading_that_failed_leaves_nothing() {
    let mut index = index();
    let reading = index.begin(&engine(1), &prompt(), START);
    index.end(reading, false, START);
    assert_eq!(cost(&index, 1, START), 15_000);
}

#[test]
fn a_backlog_shrinks_with_time_and_is_gone_when_its_end_is_heard() {
    let mut index = index();
    let reading = index.begin(&engine(1), &prompt(), START);
    let at = |index: &PromptIndex, millis: u64| index.backlog(&engine(1), START + Duration::from_millis(millis));
    assert!(at(&index, 0) > at(&index, 100));
    assert!(at(&index, 1_000) > 0.0, "an engine that is late is not free");
    assert!(at(&index, 60_000) <= 0.0, "a reading whose end is never heard does not count for ever");
    index.end(reading, true, START);
    assert!(at(&index, 0) <= 0.0);
}

#[test]
fn a_decode_engine_costs_more_for_the_same_prompt() {
    let index = index();
    let at = |stage| index.cost(&engine(1), stage, &prompt(), START);
    assert!(at(EngineStage::Decode) > at(EngineStage::Prefill));
}

#[test]
fn peers_learn_of_open_and_finished_readings() {
    let (mut here, mut there) = (index(), index());
    let reading = here.begin(&engine(1), &prompt(), START);
    there.receive(here.notice(address(1), 1, START), START);
    assert_eq!(there.backlog(&engine(1), START), here.backlog(&engine(1), START));
    here.end(reading, true, START);
    there.receive(here.notice(address(1), 2, START), START);
    assert_eq!(cost(&there, 1, START), 3_000);
}

#[test]
fn a_moved_cache_is_kept_at_its_new_engine_too() {
    let (mut here, mut there) = (index(), index());
    here.moved(&engine(2), &prompt(), START);
    there.receive(here.notice(address(1), 1, START), START);
    for index in [&here, &there] {
        assert_eq!(cost(index, 2, START), 3_000);
    }
}

#[test]
fn a_notice_that_was_overtaken_changes_nothing_and_a_restarted_sender_is_heard_again() {
    let (mut here, mut there) = (index(), index());
    let reading = here.begin(&engine(1), &prompt(), START);
    let early = here.notice(address(1), 1, START);
    here.end(reading, false, START);
    there.receive(here.notice(address(1), 2, START), START);
    there.receive(early, START);
    assert!(there.backlog(&engine(1), START) <= 0.0);
    let later = START + PromptIndexConfig::default().reading_maximum;
    let mut restarted = index();
    restarted.begin(&engine(3), &prompt(), later);
    there.receive(restarted.notice(address(1), 1, later), later);
    assert!(there.backlog(&engine(3), later) > 0.0);
}

#[test]
fn parts_beyond_the_cache_are_forgotten_oldest_first() {
    let mut index = index();
    index.set_cache_tokens(40_000);
    let prompt_of = |id: u64| {
        let parts = vec![PromptPart { id, tokens: 12_000 }, PromptPart { id: 1_000 + id, tokens: 3_000 }];
        Prompt { tokens: 15_000, output_tokens_maximum: 10, parts }
    };
    for id in 1..=5 {
        let now = START + Duration::from_secs(id);
        let reading = index.begin(&engine(1), &prompt_of(id), now);
        index.end(reading, true, now);
    }
    assert!(index.kept_tokens(&engine(1)) <= 40_000);
    let now = START + Duration::from_secs(6);
    assert_eq!(index.cost(&engine(1), EngineStage::Prefill, &prompt_of(5), now), 3_000);
    assert_eq!(index.cost(&engine(1), EngineStage::Prefill, &prompt_of(1), now), 15_000);
}

#[test]
fn an_engine_that_is_gone_is_forgotten() {
    let mut index = index();
    let reading = index.begin(&engine(1), &prompt(), START);
    index.end(reading, true, START);
    index.retain_engines(|id| *id != engine(1));
    assert_eq!(cost(&index, 1, START), 15_000);
}

#[test]
fn a_node_that_has_just_started_learns_what_engines_keep_and_for_how_long() {
    let mut here = index();
    let small = Prompt {
        tokens: 300,
        output_tokens_maximum: 1,
        parts: vec![PromptPart { id: 9, tokens: 200 }, PromptPart { id: 10, tokens: 100 }],
    };
    for prompt in [prompt(), small.clone()] {
        let reading = here.begin(&engine(1), &prompt, START);
        here.end(reading, true, START);
    }
    let mut there = index();
    here.kept_parts(50).for_each(|kept| there.adopt_kept(kept, START));
    assert_eq!(there.kept_tokens(&engine(1)), here.kept_tokens(&engine(1)));
    assert_eq!(cost(&there, 1, START), cost(&here, 1, START));
    let told: Vec<_> = here.kept_parts(50).collect();
    assert_eq!(there.kept_parts(50).collect::<Vec<_>>(), told, "it can tell the next one the same");
    // Told once more, or by another peer: nothing is brought in twice, and what is known here stays.
    told.into_iter().for_each(|kept| there.adopt_kept(kept, START));
    assert_eq!(there.kept_parts(50).collect::<Vec<_>>(), here.kept_parts(50).collect::<Vec<_>>());
    let newest_only: Vec<_> = here.kept_parts(1).collect();
    assert_eq!(newest_only[0].parts[0].part.id, 9, "those used last come first");
}
