//! Limits on what a node takes on, and how long it waits for others.

use std::time::Duration;

use bytesize::ByteSize;
use serde::{Deserialize, Serialize};

use super::check::ValueCheck;

/// How much a node takes on at once. Beyond a limit it refuses, and the refused request has not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections of callers open at once, idle ones included. Default: 1,024.
    ///
    /// Further ones are refused at once. It keeps the process below its limit of open files.
    pub caller_connections: u32,
    /// Requests of callers open at once, each on a thread of its own. Default: 480.
    ///
    /// Further ones are refused at once. It must be below `caller_connections`, so that the next request can still be
    /// refused with a reason.
    pub streams_maximum: u32,
    /// Requests of operators handled at once, each on a thread of its own. Default: 8.
    ///
    /// They are apart from the callers' threads, so that operators get through when callers fill theirs.
    pub operator_requests: u32,
    /// The largest body of a request. Default: 4 MiB, a manuscript of some 700,000 words.
    ///
    /// A body is held in memory as a whole until its request has been sent to an engine.
    pub body_maximum: ByteSize,
    /// All bodies of callers' requests in memory together. Default: 128 MiB.
    ///
    /// Without it, many callers with large bodies could fill the memory though each keeps to `body_maximum`.
    pub bodies_total_maximum: ByteSize,
    /// The largest head of a request: its line and all headers. Default: 16 KiB.
    ///
    /// Without it, a caller could fill the memory before the body's limit applies.
    pub header_maximum: ByteSize,
    /// The largest `max_tokens` that a caller may ask for. Default: 16,384 tokens.
    ///
    /// The tokens are reserved in an engine's KV cache, so one absurd request could block an engine.
    pub output_tokens_maximum: u32,
    /// Requests that wait in each pool that the node owns. Default: 1,000.
    ///
    /// A longer queue only turns into missed deadlines.
    pub queue_maximum: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            caller_connections: 1_024,
            streams_maximum: 480,
            operator_requests: 8,
            body_maximum: ByteSize::mib(4),
            bodies_total_maximum: ByteSize::mib(128),
            header_maximum: ByteSize::kib(16),
            output_tokens_maximum: 16_384,
            queue_maximum: 1_000,
        }
    }
}

impl Limits {
    pub(super) fn check(&self, check: &mut ValueCheck) {
        check.in_range("limits.caller_connections", self.caller_connections, 2..=65_536, |count| count);
        let streams_allowed = format!("1 or more, below limits.caller_connections ({})", self.caller_connections);
        let streams_fit = (1..self.caller_connections).contains(&self.streams_maximum);
        check.require(streams_fit, "limits.streams_maximum", self.streams_maximum, streams_allowed);
        check.in_range("limits.operator_requests", self.operator_requests, 2..=256, |count| count);
        let bodies = ByteSize::kib(1)..=ByteSize::mib(64);
        check.in_range("limits.body_maximum", self.body_maximum, bodies, |size| size);
        let total_allowed = format!("at least limits.body_maximum ({})", self.body_maximum);
        let total_fits = self.bodies_total_maximum >= self.body_maximum;
        check.require(total_fits, "limits.bodies_total_maximum", self.bodies_total_maximum, total_allowed);
        let headers = ByteSize::kib(1)..=ByteSize::mib(1);
        check.in_range("limits.header_maximum", self.header_maximum, headers, |size| size);
        check.in_range("limits.output_tokens_maximum", self.output_tokens_maximum, 1..=1_000_000, |count| count);
        check.in_range("limits.queue_maximum", self.queue_maximum, 1..=100_000, |count| count);
    }
}

const SHORTEST_WAIT: Duration = Duration::from_millis(1);
const LONGEST_WAIT: Duration = Duration::from_secs(3_600);

/// How long a node waits. Nothing in a node waits without end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Deadlines {
    /// The time for a whole answer when the caller names none. Default: 60 s.
    #[serde(with = "humantime_serde")]
    pub request_default: Duration,
    /// The longest time for an answer that a caller may name. Default: 5 min.
    ///
    /// It bounds how long a planned stop can take.
    #[serde(with = "humantime_serde")]
    pub request_maximum: Duration,
    /// The time in which a caller must have sent its whole request. Default: 10 s.
    ///
    /// Without it, callers that send a byte now and then would hold all connections.
    #[serde(with = "humantime_serde")]
    pub caller_read: Duration,
    /// The longest that one write to a caller may block. Default: 10 s.
    ///
    /// A caller that stops reading its answer would otherwise hold an engine's place in the batch.
    #[serde(with = "humantime_serde")]
    pub caller_write: Duration,
    /// How long a caller's connection may lie idle between two requests. Default: 30 s.
    ///
    /// An idle connection counts for `limits.caller_connections`.
    #[serde(with = "humantime_serde")]
    pub caller_idle: Duration,
    /// The time to connect to an engine. Default: 500 ms.
    #[serde(with = "humantime_serde")]
    pub engine_connect: Duration,
    /// The longest silence of an engine while it runs a request, the wait for the first token included. Default: 20 s.
    ///
    /// After it the answer counts as cut. It must cover the longest prompt at the head of a full batch.
    #[serde(with = "humantime_serde")]
    pub engine_silence: Duration,
    /// The time for one call to the platform, a watch's own wait not included. Default: 2 s.
    ///
    /// A write without an answer by then may have taken effect and is settled by reading back.
    #[serde(with = "humantime_serde")]
    pub platform: Duration,
    /// The longest that a planned stop waits for open requests. Default: 6 min.
    ///
    /// It must not be below `request_maximum` plus `caller_write`: every accepted request has ended by then, so a
    /// planned stop cuts off none.
    #[serde(with = "humantime_serde")]
    pub drain: Duration,
}

impl Default for Deadlines {
    fn default() -> Self {
        Deadlines {
            request_default: Duration::from_secs(60),
            request_maximum: Duration::from_secs(300),
            caller_read: Duration::from_secs(10),
            caller_write: Duration::from_secs(10),
            caller_idle: Duration::from_secs(30),
            engine_connect: Duration::from_millis(500),
            engine_silence: Duration::from_secs(20),
            platform: Duration::from_secs(2),
            drain: Duration::from_secs(360),
        }
    }
}

impl Deadlines {
    pub(super) fn check(&self, check: &mut ValueCheck) {
        let waits = [
            ("deadlines.request_default", self.request_default),
            ("deadlines.request_maximum", self.request_maximum),
            ("deadlines.caller_read", self.caller_read),
            ("deadlines.caller_write", self.caller_write),
            ("deadlines.caller_idle", self.caller_idle),
            ("deadlines.engine_connect", self.engine_connect),
            ("deadlines.engine_silence", self.engine_silence),
            ("deadlines.platform", self.platform),
            ("deadlines.drain", self.drain),
        ];
        for (key, wait) in waits {
            check.in_range(key, wait, SHORTEST_WAIT..=LONGEST_WAIT, humantime::format_duration);
        }
        self.check_order(check);
    }

    fn check_order(&self, check: &mut ValueCheck) {
        let maximum = humantime::format_duration(self.request_maximum);
        let default_allowed = format!("at most deadlines.request_maximum ({maximum})");
        let default_shown = humantime::format_duration(self.request_default);
        let default_fits = self.request_default <= self.request_maximum;
        check.require(default_fits, "deadlines.request_default", default_shown, default_allowed);

        let last_byte = self.request_maximum.saturating_add(self.caller_write);
        let last_byte_shown = humantime::format_duration(last_byte);
        let drain_allowed =
            format!("at least deadlines.request_maximum plus deadlines.caller_write ({last_byte_shown})");
        check.require(
            self.drain >= last_byte,
            "deadlines.drain",
            humantime::format_duration(self.drain),
            drain_allowed,
        );
    }
}
