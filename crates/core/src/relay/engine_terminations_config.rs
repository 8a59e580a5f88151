//! The limits of what is recorded of engines that terminated while running requests.

use std::time::Duration;

use super::attribution::AttributionRules;

/// Limits of [`super::EngineTerminations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineTerminationsConfig {
    /// When terminations count against a request, and how many block it. One or two may be chance: an engine
    /// terminates, and the repeated request is running on the next engine that terminates. The coincidence window is
    /// longer than the difference between the times at which nodes notice the same termination; the burst window is
    /// longer than the engines of a rack that loses power take to terminate.
    pub rules: AttributionRules,
    /// How long a request is blocked after the last termination, once it has reached the threshold.
    pub first_block: Duration,
    /// The longest block; each further termination doubles the duration up to this limit.
    pub longest_block: Duration,
    /// How long a termination counts. Longer than the longest block, so that the terminations of a request that is
    /// tried again still count.
    pub retention: Duration,
    /// The maximum number of stored terminations; the oldest are dropped first.
    pub terminations_maximum: usize,
    /// The maximum number of requests stored per termination: more than an engine runs at a time.
    pub contents_maximum: usize,
    /// The maximum number of requests recorded as cleared; the oldest are dropped first.
    pub cleared_maximum: usize,
    /// The maximum number of pending announcements, each a termination with one request or an answer; the oldest are
    /// dropped first.
    pub pending_maximum: usize,
    /// The maximum number of announcements in one notice, so that it fits into a datagram.
    pub notice_maximum: usize,
    /// How often each announcement is sent, since datagrams may be lost.
    pub transmissions: u32,
    /// How long after a complete answer terminations alone don't block a content. They count once a later one comes.
    pub answer_validity: Duration,
    /// The number of terminations from which on a block lasts for `longest_block`.
    pub final_terminations: usize,
}

impl EngineTerminationsConfig {
    /// Limits for parts of prompts.
    ///
    /// Parts are shared: most of those that an engine ran are in complete answers all the time. A part that terminates
    /// engines stays so, while its requests are new ones each time, so blocks are long, and from the sixth termination on
    /// there are no more attempts.
    pub fn for_parts() -> Self {
        EngineTerminationsConfig {
            rules: AttributionRules {
                // Many requests share a part, so its terminations within a short time are no chance.
                burst_window: Duration::ZERO,
                undecided_maximum: 5,
                are_parts: true,
                ..EngineTerminationsConfig::default().rules
            },
            first_block: Duration::from_secs(600),
            longest_block: Duration::from_secs(86_400),
            retention: Duration::from_secs(86_400),
            contents_maximum: 192,
            answer_validity: Duration::from_secs(2),
            final_terminations: 6,
            ..EngineTerminationsConfig::default()
        }
    }
}

impl Default for EngineTerminationsConfig {
    fn default() -> Self {
        EngineTerminationsConfig {
            rules: AttributionRules::for_requests(3, Duration::from_millis(50), Duration::from_millis(400)),
            first_block: Duration::from_secs(120),
            longest_block: Duration::from_secs(3_600),
            retention: Duration::from_secs(7_200),
            terminations_maximum: 512,
            contents_maximum: 64,
            cleared_maximum: 256,
            pending_maximum: 512,
            notice_maximum: 40,
            transmissions: 2,
            answer_validity: Duration::ZERO,
            final_terminations: usize::MAX,
        }
    }
}
