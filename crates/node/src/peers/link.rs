//! What all links to peers share: a gate that rehearsals close to cut nodes off from one another, and counters.

use std::sync::atomic::{AtomicU64, Ordering};

use havengate_core::world::Address;

/// Decides whether this node may reach a peer.
pub trait LinkGate: Send + Sync {
    /// Whether messages to the peer leave.
    fn is_open(&self, to: Address) -> bool;
}

/// The gate of a node in service: always open.
pub struct OpenGate;

impl LinkGate for OpenGate {
    fn is_open(&self, _to: Address) -> bool {
        true
    }
}

/// Control bytes and messages of this process, since its start. Answers to callers don't count.
#[derive(Debug, Default)]
pub struct LinkCounters {
    bytes_out: AtomicU64,
    bytes_in: AtomicU64,
    messages_out: AtomicU64,
    messages_in: AtomicU64,
    messages_dropped: AtomicU64,
}

/// The counters at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Bytes sent, payload only.
    pub bytes_out: u64,
    /// Bytes received, payload only.
    pub bytes_in: u64,
    /// Messages sent.
    pub messages_out: u64,
    /// Messages received.
    pub messages_in: u64,
    /// Messages dropped because the peer's queue was full or it could not be reached.
    pub messages_dropped: u64,
}

impl LinkCounters {
    /// Counts a message that left.
    pub fn sent(&self, bytes: usize) {
        self.messages_out.fetch_add(1, Ordering::Relaxed);
        self.bytes_out.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a message that came.
    pub fn received(&self, bytes: usize) {
        self.messages_in.fetch_add(1, Ordering::Relaxed);
        self.bytes_in.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a message that was dropped.
    pub fn dropped(&self) {
        self.messages_dropped.fetch_add(1, Ordering::Relaxed);
    }

    /// The counters now.
    pub fn counts(&self) -> LinkCounts {
        LinkCounts {
            bytes_out: self.bytes_out.load(Ordering::Relaxed),
            bytes_in: self.bytes_in.load(Ordering::Relaxed),
            messages_out: self.messages_out.load(Ordering::Relaxed),
            messages_in: self.messages_in.load(Ordering::Relaxed),
            messages_dropped: self.messages_dropped.load(Ordering::Relaxed),
        }
    }
}
