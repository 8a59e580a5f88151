//! What the machine of a node has, and the shares that callers may use of it.

use std::ops::RangeInclusive;

use serde::Deserialize;

/// The most that one caller's connection needs beside bodies: the buffer for a request head, or that for the part of an
/// answer that the caller has not taken yet.
pub const CONNECTION_BUFFER_BYTES: usize = 64 * 1024;

/// Callers may have this many connections on a machine of any size.
const CALLER_CONNECTIONS_MINIMUM: usize = 16;

const MEGABYTE: usize = 1024 * 1024;

/// The machine of a node, as its settings have it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(default, deny_unknown_fields)]
pub struct Machine {
    /// The memory that the process may use, in MiB.
    pub memory_megabytes: usize,
    /// The file descriptors that the process may open.
    pub descriptors: usize,
}

impl Default for Machine {
    fn default() -> Self {
        Machine { memory_megabytes: 256, descriptors: 4_096 }
    }
}

impl Machine {
    /// The range of `memory_megabytes`.
    pub const MEMORY_MEGABYTES: RangeInclusive<usize> = 1..=1_048_576;

    /// The range of `descriptors`.
    pub const DESCRIPTORS: RangeInclusive<usize> = 1..=16_777_216;

    /// The bytes that the bodies of callers' requests may use together: a quarter of the memory.
    pub fn bodies_maximum_bytes(&self) -> usize {
        self.memory_megabytes * MEGABYTE / 4
    }

    /// The bytes that buffered answers may use together before further ones are passed on as they arrive: an eighth of
    /// the memory.
    pub fn answers_maximum_bytes(&self) -> usize {
        self.memory_megabytes * MEGABYTE / 8
    }

    /// The connections of callers that may be open at once: their buffers use at most a third of the memory, and half
    /// of the descriptors stay for back ends, peers and the store.
    pub fn caller_connections_maximum(&self) -> usize {
        let by_memory = self.memory_megabytes * MEGABYTE / 3 / CONNECTION_BUFFER_BYTES;
        by_memory.min(self.descriptors / 2).max(CALLER_CONNECTIONS_MINIMUM)
    }
}
