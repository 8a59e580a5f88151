//! This node's finished prefills whose announcements to peers are pending.

use std::collections::VecDeque;

use super::engine_tag::EngineTag;
use super::peer_notice::FinishedPrefill;
use crate::world::RegionName;

/// The bytes of a finished prefill in a notice without its parts.
const FINISHED_BASE_BYTES: usize = 12;

/// The bytes of one part in a notice.
const PART_BYTES: usize = 12;

/// The most numbers that a notice to a region skips between two finished prefills. Each takes [`FINISHED_BASE_BYTES`];
/// beyond this number, another notice is smaller.
const SKIPPED_MAXIMUM: u64 = 16;

/// Finished prefills in a notice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct AnnouncedPrefills {
    /// The number of the first one, or that of the next finished prefill if there is none.
    pub(super) first: u64,
    /// The prefills, with consecutive numbers.
    pub(super) prefills: Vec<FinishedPrefill>,
}

#[derive(Clone, Debug)]
struct PendingPrefill {
    number: u64,
    prefill: FinishedPrefill,
    /// The region of the engine; `None`: it is announced only in the complete stream.
    region: Option<RegionName>,
    /// The number of announcements in the complete stream.
    announced_complete: u32,
    /// The number of announcements in the stream of `region`.
    announced_in_region: u32,
}

impl PendingPrefill {
    fn bytes(&self) -> usize {
        FINISHED_BASE_BYTES + self.prefill.shared_parts.len() * PART_BYTES
    }
}

/// Finished prefills whose announcements are pending, in the complete stream or in that of a region.
///
/// A prefill has the same number in both streams: a peer remembers only the last number that it has applied, so it can
/// change from one stream to the other without applying a prefill twice or skipping one.
#[derive(Clone, Debug, Default)]
pub(super) struct FinishedPrefills {
    /// The number of prefills that have finished so far, which is the number of the last one.
    count: u64,
    pending: VecDeque<PendingPrefill>,
}

impl FinishedPrefills {
    /// Adds a prefill at an engine of `region`; beyond `maximum` pending ones, the oldest are dropped.
    pub(super) fn push(&mut self, prefill: FinishedPrefill, region: Option<RegionName>, maximum: usize) {
        self.count += 1;
        self.pending.push_back(PendingPrefill {
            number: self.count,
            prefill,
            region,
            announced_complete: 0,
            announced_in_region: 0,
        });
        let excess = self.pending.len().saturating_sub(maximum);
        self.pending.drain(..excess);
    }

    /// Whether no announcement is pending.
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// The next prefills of the complete stream, at most `bytes` in a notice but at least one. Each is announced
    /// `announcements` times.
    pub(super) fn next_of_complete(&mut self, bytes: usize, announcements: u32) -> AnnouncedPrefills {
        let mut left = bytes;
        let mut announced = AnnouncedPrefills { first: self.count + 1, prefills: Vec::new() };
        for pending in self.pending.iter_mut().filter(|pending| pending.announced_complete < announcements) {
            if announced.prefills.is_empty() {
                announced.first = pending.number;
            } else if pending.bytes() > left {
                break;
            }
            left = left.saturating_sub(pending.bytes());
            pending.announced_complete += 1;
            announced.prefills.push(pending.prefill.clone());
        }
        self.remove_announced(announcements);
        announced
    }

    /// The next prefills of the stream of `region`, like [`FinishedPrefills::next_of_complete`].
    pub(super) fn next_of_region(
        &mut self,
        region: &RegionName,
        bytes: usize,
        announcements: u32,
    ) -> AnnouncedPrefills {
        let mut left = bytes;
        let mut announced = AnnouncedPrefills { first: self.count + 1, prefills: Vec::new() };
        let is_due = |pending: &&mut PendingPrefill| {
            pending.region.as_ref() == Some(region) && pending.announced_in_region < announcements
        };
        for pending in self.pending.iter_mut().filter(is_due) {
            if announced.prefills.is_empty() {
                announced.first = pending.number;
            }
            let skipped = pending.number - announced.first - announced.prefills.len() as u64;
            let size = pending.bytes() + skipped as usize * FINISHED_BASE_BYTES;
            if !announced.prefills.is_empty() && (skipped > SKIPPED_MAXIMUM || size > left) {
                break;
            }
            left = left.saturating_sub(size);
            pending.announced_in_region += 1;
            announced.prefills.extend((0..skipped).map(|_| placeholder(pending.prefill.engine)));
            announced.prefills.push(pending.prefill.clone());
        }
        self.remove_announced(announcements);
        announced
    }

    /// Restarts the complete stream at the first prefill that is pending in the stream of its region, for a peer that
    /// got the latter until now.
    pub(super) fn resume_complete(&mut self, announcements: u32) {
        let is_pending =
            |pending: &PendingPrefill| pending.region.is_some() && pending.announced_in_region < announcements;
        let first = self.pending.iter().position(is_pending).unwrap_or(self.pending.len());
        self.pending.range_mut(first..).for_each(|pending| pending.announced_complete = 0);
    }

    /// Restarts the stream of `region` at the first prefill that is pending in the complete stream, for a peer that got
    /// the latter until now.
    pub(super) fn resume_region(&mut self, region: &RegionName, announcements: u32) {
        let missing = self.pending.iter_mut().filter(|pending| pending.announced_complete < announcements);
        missing
            .filter(|pending| pending.region.as_ref() == Some(region))
            .for_each(|pending| pending.announced_in_region = 0);
    }

    fn remove_announced(&mut self, announcements: u32) {
        let is_announced = |pending: &PendingPrefill| {
            pending.announced_complete >= announcements
                && (pending.region.is_none() || pending.announced_in_region >= announcements)
        };
        while self.pending.front().is_some_and(is_announced) {
            self.pending.pop_front();
        }
    }
}

/// Stands for a prefill that doesn't concern the receivers, so that the numbers in a notice are consecutive. Receivers
/// apply it without effect, as it has no tokens and names the engine of the prefill after it.
fn placeholder(engine: EngineTag) -> FinishedPrefill {
    FinishedPrefill { engine, shared_parts: Vec::new(), tokens: 0 }
}
