//! Parts of prompts that are blocked because engines terminated while running requests with them.
//!
//! Failure: one part terminated each engine that began to answer a request with it; as the requests were all different,
//! no request was blocked. These tests guard against blocking too little, and against blocking the parts that sound
//! requests share with lethal ones.

use std::time::Duration;

use havengate_core::relay::{
    ContentId, EngineTag, EngineTerminations, EngineTerminationsConfig, Prompt, PromptPart, SharedPart, TerminatedRun,
};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, BackEndId, ServiceName};

const NOW: Timestamp = Timestamp::from_millis(100_000_000);
const SECOND: Duration = Duration::from_secs(1);
const RAN: Duration = Duration::from_millis(60);

fn part(name: &str) -> ContentId {
    ContentId::of([name.as_bytes()])
}

fn engine(number: usize) -> EngineTag {
    EngineTag::from(&BackEndId::new(format!("engine-{number}")))
}

fn node(number: u8) -> Address {
    Address(std::net::SocketAddr::from(([10, 0, 0, number], 8_000)))
}

fn terminations() -> EngineTerminations {
    EngineTerminations::new(EngineTerminationsConfig::for_parts())
}

/// Records that engine `number` terminated at `at` while it ran requests with these parts.
fn terminate(terminations: &mut EngineTerminations, number: usize, at: Timestamp, parts: &[&str]) {
    let runs: Vec<TerminatedRun> =
        parts.iter().map(|name| TerminatedRun { content: part(name), sent_at: at - RAN }).collect();
    terminations.record_termination(engine(number), &runs, at);
}

fn is_blocked(terminations: &EngineTerminations, parts: &[&str], now: Timestamp) -> bool {
    terminations.parts_blocked_until(parts.iter().map(|name| part(name)), now).is_some()
}

#[test]
fn the_third_termination_blocks_the_part_and_not_the_sound_first_one() {
    let mut known = terminations();
    for number in 0..3 {
        assert!(!is_blocked(&known, &["first", "lethal"], NOW + 3 * SECOND));
        let at = NOW + number as u32 * SECOND;
        known.record_answered(part("first"), at - SECOND / 2);
        terminate(&mut known, number, at, &["first", "lethal"]);
    }
    let now = NOW + 3 * SECOND;
    assert!(is_blocked(&known, &["first", "lethal"], now));
    assert!(is_blocked(&known, &["other", "lethal", "more"], now));
    assert!(!is_blocked(&known, &["first"], now));
}

#[test]
fn a_sound_part_at_more_terminations_than_the_lethal_one_is_not_blocked() {
    let mut known = terminations();
    known.record_answered(part("first"), NOW);
    for number in 0..4 {
        let at = NOW + (1 + number as u32) * Duration::from_millis(100);
        let parts: &[&str] = if number == 0 { &["first"] } else { &["first", "lethal"] };
        terminate(&mut known, number, at, parts);
    }
    assert!(is_blocked(&known, &["lethal"], NOW + SECOND));
    assert!(!is_blocked(&known, &["first"], NOW + SECOND), "it was answered half a second before");
}

#[test]
fn parts_with_the_same_terminations_are_blocked_together_until_an_answer_tells_them_apart() {
    let mut known = terminations();
    for number in 0..3 {
        terminate(&mut known, number, NOW + number as u32 * SECOND, &["first", "lethal"]);
    }
    let now = NOW + 3 * SECOND;
    assert!(is_blocked(&known, &["first", "lethal"], now));
    assert!(!is_blocked(&known, &["first"], now), "sound requests have this part alone");
    known.record_answered(part("first"), now);
    assert!(is_blocked(&known, &["other", "lethal"], now), "only one part is left");
}

#[test]
fn the_culprit_among_paired_parts_is_found_by_a_further_termination() {
    let mut known = terminations();
    for number in 0..3 {
        terminate(&mut known, number, NOW + number as u32 * SECOND, &["lethal", "paired"]);
    }
    terminate(&mut known, 3, NOW + 3 * SECOND, &["lethal", "another"]);
    let now = NOW + 4 * SECOND;
    assert!(is_blocked(&known, &["lethal", "new"], now));
    assert!(!is_blocked(&known, &["paired"], now));
}

#[test]
fn two_lethal_parts_are_blocked_each_by_its_own_terminations() {
    let mut known = terminations();
    for number in 0..6 {
        let lethal = if number % 2 == 0 { "one" } else { "two" };
        terminate(&mut known, number, NOW + number as u32 * SECOND, &[lethal]);
    }
    let now = NOW + 6 * SECOND;
    assert!(is_blocked(&known, &["one"], now) && is_blocked(&known, &["two"], now));
}

#[test]
fn two_lethal_parts_that_run_beside_each_other_are_both_blocked_after_five_terminations() {
    let mut known = terminations();
    // Each also terminates an engine alone, so neither explains the other's terminations.
    for (number, parts) in
        [&["one", "two"][..], &["one", "two"], &["one", "two"], &["one"], &["two"]].iter().enumerate()
    {
        terminate(&mut known, number, NOW + number as u32 * SECOND, parts);
    }
    for number in 5..7 {
        terminate(&mut known, number, NOW + number as u32 * SECOND, &["one", "two"]);
    }
    let now = NOW + 7 * SECOND;
    assert!(is_blocked(&known, &["one"], now) && is_blocked(&known, &["two"], now));
}

#[test]
fn engines_of_a_rack_that_terminate_together_block_no_part() {
    let mut known = terminations();
    for number in 0..8 {
        terminate(&mut known, number, NOW + number as u32 * Duration::from_millis(5), &["common", "rare"]);
    }
    assert!(!is_blocked(&known, &["common", "rare"], NOW + SECOND));
}

#[test]
fn a_part_in_complete_answers_is_not_blocked_however_many_engines_terminate() {
    let mut known = terminations();
    for number in 0..20 {
        let at = NOW + number as u32 * SECOND;
        known.record_answered(part("common"), at - SECOND / 2);
        terminate(&mut known, number, at, &["common"]);
    }
    assert!(!is_blocked(&known, &["common"], NOW + 20 * SECOND));
}

#[test]
fn a_part_that_was_sound_until_a_moment_ago_is_blocked_by_the_first_termination_after_two_seconds() {
    let mut known = terminations();
    known.record_answered(part("lethal"), NOW);
    for number in 0..5 {
        terminate(&mut known, number, NOW + (1 + number as u32) * Duration::from_millis(100), &["lethal"]);
    }
    assert!(!is_blocked(&known, &["lethal"], NOW + SECOND));
    terminate(&mut known, 5, NOW + 10 * SECOND, &["lethal"]);
    assert!(is_blocked(&known, &["lethal"], NOW + 10 * SECOND));
}

#[test]
fn blocks_grow_and_the_sixth_termination_ends_all_attempts_for_a_day() {
    let mut known = terminations();
    let mut at = NOW;
    let mut blocked_minutes = Vec::new();
    for number in 0..6 {
        terminate(&mut known, number, at, &["lethal"]);
        if let Some((_, until)) = known.parts_blocked_until([part("lethal")].into_iter(), at) {
            blocked_minutes.push(until.since(at).as_secs() / 60);
            assert_eq!(known.lapsed_part([part("lethal")].into_iter(), at), None);
            at = until;
            assert_eq!(known.lapsed_part([part("lethal")].into_iter(), at), Some(part("lethal")));
        }
        at = at + SECOND;
    }
    assert_eq!(blocked_minutes, [10, 20, 40, 24 * 60]);
}

#[test]
fn a_peer_that_counts_terminations_against_a_sound_part_is_told() {
    let (mut mistaken, mut knows) = (terminations(), terminations());
    knows.record_answered(part("sound"), NOW + 3 * SECOND);
    for number in 0..3 {
        terminate(&mut mistaken, number, NOW + (1 + number as u32) * SECOND, &["sound"]);
    }
    let now = NOW + 4 * SECOND;
    assert!(is_blocked(&mistaken, &["sound"], now));
    let reported = mistaken.attribution_notice(node(1), now).expect("a blocked part is reported");
    knows.receive(&reported, now);
    assert!(!is_blocked(&knows, &["sound"], now), "this node has seen an answer");
    knows.announce_sound(&reported, now);
    let answer = knows.notice(node(2), now).expect("the answer is announced");
    mistaken.receive(&answer, now);
    assert!(!is_blocked(&mistaken, &["sound"], now));
}

#[test]
fn a_caller_that_invents_parts_takes_bounded_memory() {
    let config = EngineTerminationsConfig { terminations_maximum: 16, ..EngineTerminationsConfig::for_parts() };
    let mut known = EngineTerminations::new(config);
    for number in 0..100 {
        let runs: Vec<TerminatedRun> = (0..1_000_u32)
            .map(|invented| TerminatedRun {
                content: ContentId::of([&(number as u32 * 1_000 + invented).to_le_bytes()[..]]),
                sent_at: NOW - RAN,
            })
            .collect();
        known.record_termination(engine(number), &runs, NOW + number as u32 * SECOND);
    }
    assert_eq!(known.len(), 16);
    let mut notices = 0;
    while known.notice(node(1), NOW).is_some() {
        notices += 1;
    }
    assert!(notices <= 2 * config.pending_maximum / config.notice_maximum + 2, "{notices}");
}

fn prompt(ids: &[u64]) -> Prompt {
    let parts = ids.iter().map(|id| PromptPart { id: *id, tokens: 10 }).collect();
    Prompt { parts, ..Prompt::default() }
}

#[test]
fn the_parts_of_a_prompt_are_all_but_the_last_each_once_and_of_one_service() {
    let (one, other) = (ServiceName::new("one"), ServiceName::new("other"));
    let ids = |parts: Vec<SharedPart>| parts.iter().map(|part| part.id).collect::<Vec<_>>();
    assert_eq!(ids(SharedPart::of_prompt(&one, &prompt(&[1, 2, 2, 1, 3]))), [1, 2]);
    assert_eq!(ids(SharedPart::of_prompt(&one, &prompt(&[1]))), [0; 0]);
    assert_eq!(ids(SharedPart::of_prompt(&one, &prompt(&[]))), [0; 0]);
    let long: Vec<u64> = (0..1_000).collect();
    let kept = ids(SharedPart::of_prompt(&one, &prompt(&long)));
    assert_eq!((kept.len(), kept[0], kept[15]), (16, 0, 998), "the middle is left out");
    assert_ne!(SharedPart::new(&one, 1).content, SharedPart::new(&other, 1).content);
}
