//! The origins of recent streams that a node knows: those that it relayed, and those that it keeps for other nodes.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::stream_origin::{StreamKey, StreamOrigin};
use crate::time::Timestamp;

/// The source of a stream's origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// This node relayed the stream's first event.
    Own,
    /// Another node, which relayed it.
    Peer,
}

/// What is known of where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginLookup {
    /// Nothing.
    Unknown,
    /// Several streams of different origins have this key.
    Ambiguous,
    /// It began there.
    Known {
        /// Where it began.
        origin: StreamOrigin,
        /// When it began.
        began: Timestamp,
        /// The source of this record.
        source: OriginSource,
    },
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    origin: StreamOrigin,
    began: Timestamp,
    source: OriginSource,
    is_ambiguous: bool,
}

/// The most streams whose origins are kept; beyond it, the oldest are forgotten.
const STREAMS_MAXIMUM: usize = 50_000;

/// The origins of recent streams.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    entries: HashMap<StreamKey, Entry>,
    /// The keys in the order in which they were added, with the time until which each is kept.
    order: VecDeque<(Timestamp, StreamKey)>,
}

impl OriginTable {
    /// Records where a stream began. Two streams with the same key and different origins can't be distinguished from then on.
    pub fn record(
        &mut self,
        stream: StreamKey,
        origin: StreamOrigin,
        began: Timestamp,
        source: OriginSource,
        kept_until: Timestamp,
    ) {
        if let Some(known) = self.entries.get_mut(&stream) {
            known.is_ambiguous |= known.origin != origin;
            return;
        }
        if self.order.len() >= STREAMS_MAXIMUM {
            self.forget_oldest();
        }
        self.entries.insert(stream, Entry { origin, began, source, is_ambiguous: false });
        self.order.push_back((kept_until, stream));
    }

    /// What is known of the stream.
    pub fn find(&self, stream: StreamKey) -> OriginLookup {
        match self.entries.get(&stream) {
            None => OriginLookup::Unknown,
            Some(Entry { is_ambiguous: true, .. }) => OriginLookup::Ambiguous,
            Some(Entry { origin, began, source, .. }) => {
                OriginLookup::Known { origin: *origin, began: *began, source: *source }
            }
        }
    }

    /// The origins of the streams of this node that began within `kept_for` before `now`.
    pub fn own_since(
        &self,
        kept_for: Duration,
        now: Timestamp,
    ) -> impl Iterator<Item = (StreamKey, StreamOrigin, Timestamp)> {
        let is_own = move |entry: &&Entry| entry.source == OriginSource::Own && now.since(entry.began) < kept_for;
        let own = self.entries.iter().filter(move |(_, entry)| is_own(entry));
        own.map(|(stream, entry)| (*stream, entry.origin, entry.began))
    }

    /// The number of streams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Forgets the streams whose time is over.
    pub fn tidy(&mut self, now: Timestamp) {
        while self.order.front().is_some_and(|(kept_until, _)| *kept_until <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, stream)) = self.order.pop_front() {
            self.entries.remove(&stream);
        }
    }
}
