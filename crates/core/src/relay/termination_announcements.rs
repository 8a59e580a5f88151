//! What a node still has to announce to its peers about engines that terminated.

use std::collections::VecDeque;

use super::content::ContentId;
use super::engine_tag::EngineTag;
use super::engine_terminations::TerminatedRun;
use super::termination_notice::{AnsweredContent, ReportedRun, ReportedTermination, TerminationNotice};
use crate::time::Timestamp;
use crate::world::Address;

/// An announcement that is not sent yet, or is to be sent again.
#[derive(Clone, Copy, Debug)]
struct PendingAnnouncement {
    announcement: Announcement,
    remaining: u32,
}

#[derive(Clone, Copy, Debug)]
enum Announcement {
    Terminated { engine: EngineTag, run: TerminatedRun, at: Timestamp },
    Answered { content: ContentId, at: Timestamp },
}

/// The announcements that are pending, oldest first. When there are too many, the oldest are dropped.
#[derive(Clone, Debug)]
pub(super) struct TerminationAnnouncements {
    maximum: usize,
    transmissions: u32,
    pending: VecDeque<PendingAnnouncement>,
}

impl TerminationAnnouncements {
    /// No announcements yet. Each is sent `transmissions` times.
    pub(super) fn new(maximum: usize, transmissions: u32) -> Self {
        TerminationAnnouncements { maximum, transmissions, pending: VecDeque::new() }
    }

    /// Announces that `engine` terminated at `at` while running `runs`.
    pub(super) fn add_termination(&mut self, engine: EngineTag, runs: &[TerminatedRun], at: Timestamp) {
        for run in runs {
            self.add(Announcement::Terminated { engine, run: *run, at });
        }
    }

    /// Announces a complete answer.
    pub(super) fn add_answer(&mut self, content: ContentId, at: Timestamp) {
        self.add(Announcement::Answered { content, at });
    }

    /// Whether the announcement of an answer is pending.
    pub(super) fn has_answer(&self, content: ContentId) -> bool {
        let announces = |pending: &PendingAnnouncement| matches!(pending.announcement, Announcement::Answered { content: answered, .. } if answered == content);
        self.pending.iter().any(announces)
    }

    /// Whether nothing is pending.
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the next notice, of up to `maximum` announcements; `None` when nothing is pending.
    pub(super) fn next_notice(&mut self, sender: Address, maximum: usize, now: Timestamp) -> Option<TerminationNotice> {
        let mut notice = TerminationNotice { sender, terminations: Vec::new(), answered: Vec::new() };
        let announced = self.pending.len().min(maximum);
        for pending in self.pending.drain(..announced).collect::<Vec<_>>() {
            match pending.announcement {
                Announcement::Terminated { engine, run, at } => add_run(&mut notice.terminations, engine, run, at, now),
                Announcement::Answered { content, at } => {
                    notice.answered.push(AnsweredContent { content, age_micros: age(at, now) });
                }
            }
            if pending.remaining > 1 {
                self.pending.push_back(PendingAnnouncement { remaining: pending.remaining - 1, ..pending });
            }
        }
        (announced > 0).then_some(notice)
    }

    fn add(&mut self, announcement: Announcement) {
        self.pending.push_back(PendingAnnouncement { announcement, remaining: self.transmissions });
        let excess = self.pending.len().saturating_sub(self.maximum);
        self.pending.drain(..excess);
    }
}

/// Adds a run to the reported termination of its engine.
pub(super) fn add_run(
    terminations: &mut Vec<ReportedTermination>,
    engine: EngineTag,
    run: TerminatedRun,
    at: Timestamp,
    now: Timestamp,
) {
    let ran_micros = u32::try_from(at.since(run.sent_at).as_micros()).unwrap_or(u32::MAX);
    let reported = ReportedRun { content: run.content, ran_micros };
    match terminations.iter_mut().find(|termination| termination.engine == engine) {
        Some(termination) => termination.runs.push(reported),
        None => terminations.push(ReportedTermination { engine, age_micros: age(at, now), runs: vec![reported] }),
    }
}

fn age(at: Timestamp, now: Timestamp) -> u64 {
    u64::try_from(now.since(at).as_micros()).unwrap_or(u64::MAX)
}
