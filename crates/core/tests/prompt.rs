//! The estimate of prompts.

use havengate_core::prompt::{PromptProfile, WORD_BYTES};
use havengate_core::request::BLOCK_TOKENS;

fn words(count: u32, word: &str) -> String {
    (0..count).map(|index| format!("{word}{index} ")).collect()
}

#[test]
fn words_are_counted_and_long_ones_count_more() {
    assert_eq!(PromptProfile::of("").tokens, 0);
    assert_eq!(PromptProfile::of("  one\ttwo\nthree ").tokens, 3);
    assert_eq!(PromptProfile::of(&"x".repeat(10 * WORD_BYTES + 1)).tokens, 11);
}

#[test]
fn prompts_with_a_common_start_share_its_blocks_only() {
    let start = words(2 * BLOCK_TOKENS, "start");
    let one = PromptProfile::of(&format!("{start}{}", words(BLOCK_TOKENS, "one")));
    let other = PromptProfile::of(&format!("{start}{}", words(BLOCK_TOKENS, "other")));
    assert_eq!(one.blocks.len(), 3);
    assert_eq!(one.blocks[..2], other.blocks[..2]);
    assert_ne!(one.blocks[2], other.blocks[2]);
    let shifted = PromptProfile::of(&format!("first {start}"));
    assert!(shifted.blocks.iter().all(|block| !one.blocks.contains(block)));
}

#[test]
fn a_block_has_a_hash_once_it_is_full() {
    for count in [1, BLOCK_TOKENS - 1, BLOCK_TOKENS, BLOCK_TOKENS + 1, 5 * BLOCK_TOKENS - 1] {
        let profile = PromptProfile::of(&words(count, "w"));
        assert_eq!(profile.blocks.len() as u32, count / BLOCK_TOKENS, "{count} words");
    }
}
