//! Which peers get which stream of prefill notices in a deployment over several regions.

use std::collections::{BTreeMap, BTreeSet};

use super::peer_notice::PrefillNotice;
use super::prompt_index::PromptIndex;
use crate::time::Timestamp;
use crate::world::{Address, RegionName, Topology, ZoneName};

/// A stream of prefill notices.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PrefillStream {
    /// All prefills.
    Complete,
    /// The prefills of the engines of one region.
    OfRegion(RegionName),
}

/// The sender of prefill notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoticeSender {
    /// The address where it receives notices.
    pub address: Address,
    /// The sequence number of its last notice.
    pub sequence: u64,
}

impl NoticeSender {
    /// Advances to the sequence number of the next notice.
    pub fn advance(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}

/// The stream that each peer gets: that of its region, or the complete one while its region is not known.
#[derive(Clone, Debug, Default)]
pub struct PrefillAudience {
    topology: Topology,
    streams: BTreeMap<Address, PrefillStream>,
}

impl PrefillAudience {
    /// An audience without peers.
    pub fn new(topology: Topology) -> Self {
        PrefillAudience { topology, streams: BTreeMap::new() }
    }

    /// The next notice of each stream for `peers` in their `zones`, with its receivers.
    pub fn next_notices(
        &mut self,
        index: &mut PromptIndex,
        sender: &mut NoticeSender,
        peers: &[Address],
        zones: &BTreeMap<Address, ZoneName>,
        now: Timestamp,
    ) -> Vec<(PrefillNotice, Vec<Address>)> {
        for stream in self.update(peers, zones) {
            index.resume(&stream);
        }
        let regions = self.topology.regions().into_iter().cloned().map(PrefillStream::OfRegion);
        let streams: Vec<PrefillStream> = [PrefillStream::Complete].into_iter().chain(regions).collect();
        let mut notices = Vec::new();
        for stream in &streams {
            let sequence = sender.advance();
            // A stream without receivers advances as well, since a peer may change to it.
            let notice = match stream {
                PrefillStream::Complete => Some(index.notice(sender.address, sequence, now)),
                PrefillStream::OfRegion(region) => index.region_notice(region, sender.address, sequence, now),
            };
            let receivers = self.receivers(stream);
            notices.extend(notice.filter(|_| !receivers.is_empty()).map(|notice| (notice, receivers)));
        }
        notices
    }

    /// Assigns a stream to each of `peers` by its zone. Returns the streams that some peer gets in place of another one
    /// from now on.
    fn update(&mut self, peers: &[Address], zones: &BTreeMap<Address, ZoneName>) -> BTreeSet<PrefillStream> {
        let stream_of = |peer: &Address| {
            let region = zones.get(peer).and_then(|zone| self.topology.region_of(zone));
            region.map_or(PrefillStream::Complete, |region| PrefillStream::OfRegion(region.clone()))
        };
        let streams: BTreeMap<Address, PrefillStream> = peers.iter().map(|peer| (*peer, stream_of(peer))).collect();
        let before = std::mem::replace(&mut self.streams, streams);
        let is_changed =
            |(peer, stream): &(&Address, &PrefillStream)| before.get(*peer).is_some_and(|old| old != *stream);
        self.streams.iter().filter(is_changed).map(|(_, stream)| stream.clone()).collect()
    }

    fn receivers(&self, stream: &PrefillStream) -> Vec<Address> {
        self.streams.iter().filter(|(_, of_peer)| *of_peer == stream).map(|(peer, _)| *peer).collect()
    }
}
