//! Tests of the token estimate and the block hashes of prompts.

use havengate_core::prompt::{PromptProfile, WORD_BYTES};
use havengate_core::request::BLOCK_TOKENS;

fn words(count: u32, word: &str) -> String {
    (0..count).map(|index| format!("{word}{index} ")).collect()
}

#[test]
fn long_words_count_as_several_tokens() {
    assert_eq!(PromptProfile::of("").tokens, 0);
    assert_eq!(PromptProfile::of("  one\ttwo\nthree ").tokens, 3);
    assert_eq!(PromptProfile::of(&"x".repeat(10 * WORD_BYTES + 1)).tokens, 11);
}

#[test]
fn prompts_share_only_the_blocks_of_their_common_prefix() {
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
fn only_complete_blocks_have_a_hash() {
    for count in [1, BLOCK_TOKENS - 1, BLOCK_TOKENS, BLOCK_TOKENS + 1, 5 * BLOCK_TOKENS - 1] {
        let profile = PromptProfile::of(&words(count, "w"));
        assert_eq!(profile.blocks.len() as u32, count / BLOCK_TOKENS, "{count} words");
    }
}
