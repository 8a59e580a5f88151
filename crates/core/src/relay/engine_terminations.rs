//! Engines that terminated while running requests, as observed by all nodes, and the requests that are blocked as their
//! cause.
//!
//! A request may terminate each engine that begins to run it. Its caller sends it again, to any node, and each copy
//! would terminate further engines and interrupt all that runs there. Attempts are limited per copy, so only a record
//! of the content that outlives the copies and is shared by all nodes stops this.
//!
//! The record is bounded and expires: a blocked request may be tried again after a time that doubles with each further
//! termination, and a request that receives a complete answer is cleared at all nodes.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use super::answered_contents::AnsweredContents;
use super::attribution::{Attribution, EngineTermination, attribute_terminations, companions};
use super::content::ContentId;
use super::engine_tag::EngineTag;
use super::engine_terminations_config::EngineTerminationsConfig;
use super::termination_announcements::{TerminationAnnouncements, add_run};
use super::termination_notice::{ReportedRun, ReportedTermination, TerminationNotice};
use crate::time::{Timestamp, doubled};
use crate::world::Address;

/// A request that an engine was running when it terminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TerminatedRun {
    /// The request.
    pub content: ContentId,
    /// When it was sent to the engine.
    pub sent_at: Timestamp,
}

/// Engines that terminated, and the requests that are blocked as their cause.
#[derive(Clone, Debug)]
pub struct EngineTerminations {
    pub(super) config: EngineTerminationsConfig,
    /// In the order in which they were learned, oldest first.
    pub(super) terminations: VecDeque<(EngineTag, EngineTermination)>,
    /// The number of `terminations` that contain a request.
    counts: HashMap<ContentId, usize>,
    attributions: BTreeMap<ContentId, Attribution>,
    /// The parts that are attributed together with each attributed one.
    companions: BTreeMap<ContentId, Vec<ContentId>>,
    /// What was answered completely a short time ago.
    answered: AnsweredContents,
    /// Requests that received a complete answer after engines had terminated while running them, with the time of the
    /// answer; oldest first. A peer that did not receive that update may continue to report the terminations before it.
    cleared: VecDeque<(ContentId, Timestamp)>,
    announcements: TerminationAnnouncements,
}

impl Default for EngineTerminations {
    fn default() -> Self {
        EngineTerminations::new(EngineTerminationsConfig::default())
    }
}

impl EngineTerminations {
    /// Creates a record without terminations.
    pub fn new(config: EngineTerminationsConfig) -> Self {
        EngineTerminations {
            config,
            terminations: VecDeque::new(),
            counts: HashMap::new(),
            attributions: BTreeMap::new(),
            companions: BTreeMap::new(),
            answered: AnsweredContents::new(config.answer_validity),
            cleared: VecDeque::new(),
            announcements: TerminationAnnouncements::new(config.pending_maximum, config.transmissions),
        }
    }

    /// Records that `engine` terminated at `at` while running `runs` for this node. Returns the requests that are newly
    /// blocked.
    pub fn record_termination(&mut self, engine: EngineTag, runs: &[TerminatedRun], at: Timestamp) -> Vec<Attribution> {
        self.announcements.add_termination(engine, runs, at);
        self.insert(engine, at, runs);
        self.update_attributions()
    }

    /// Applies a peer's notice. Returns the requests that are newly blocked.
    pub fn receive(&mut self, notice: &TerminationNotice, now: Timestamp) -> Vec<Attribution> {
        for termination in &notice.terminations {
            let at = now - Duration::from_micros(termination.age_micros);
            let run = |reported: &ReportedRun| TerminatedRun {
                content: reported.content,
                sent_at: at - Duration::from_micros(u64::from(reported.ran_micros)),
            };
            let runs: Vec<TerminatedRun> = termination.runs.iter().map(run).collect();
            self.announce_cleared_again(&runs, at);
            self.insert(termination.engine, at, &runs);
        }
        for answered in &notice.answered {
            let answered_at = now - Duration::from_micros(answered.age_micros);
            self.answered.record(answered.content, answered_at);
            if self.clear(answered.content, answered_at) {
                self.record_cleared(answered.content, answered_at);
            }
        }
        self.update_attributions()
    }

    /// Announces the contents in a peer's `notice` that were answered completely here a short time ago: the peer counts
    /// terminations against them because it has not seen an answer.
    pub fn announce_sound(&mut self, notice: &TerminationNotice, now: Timestamp) {
        for termination in &notice.terminations {
            let at = now - Duration::from_micros(termination.age_micros);
            for run in &termination.runs {
                if self.answered.is_sound(run.content, at) && !self.announcements.has_answer(run.content) {
                    self.announcements.add_answer(run.content, at);
                }
            }
        }
    }

    /// Records that a request received a complete answer: it doesn't terminate its engines, so it only ran beside a
    /// request that does, or on engines that terminated for another reason. Returns the requests that are newly blocked
    /// because the terminations are now attributed to them; `None` when no engine had terminated while running the
    /// request.
    pub fn record_answered(&mut self, content: ContentId, now: Timestamp) -> Option<Vec<Attribution>> {
        let attributions = self.record_answered_silently(content, now)?;
        self.announcements.add_answer(content, now);
        Some(attributions)
    }

    /// Like `record_answered`, without an announcement to peers.
    pub fn record_answered_silently(&mut self, content: ContentId, now: Timestamp) -> Option<Vec<Attribution>> {
        self.answered.record(content, now);
        if !self.clear(content, now) {
            return None;
        }
        self.record_cleared(content, now);
        Some(self.update_attributions())
    }

    /// Whether terminations are attributed to a request, even if its block has expired.
    pub fn is_attributed(&self, content: ContentId) -> bool {
        self.attributions.contains_key(&content)
    }

    /// The number of engines that have terminated while running a request.
    pub fn terminations_of(&self, content: ContentId) -> usize {
        self.counts.get(&content).copied().unwrap_or_default()
    }

    /// Whether an engine has terminated while running a request.
    pub fn is_suspect(&self, content: ContentId) -> bool {
        self.counts.contains_key(&content)
    }

    /// Returns when the block of a request expires; `None` when it isn't blocked.
    pub fn blocked_until(&self, content: ContentId, now: Timestamp) -> Option<Timestamp> {
        let until = self.block_expiry(self.attributions.get(&content)?);
        (now < until).then_some(until)
    }

    /// When the block of a request with these parts expires, and the part that blocks it; `None` when it isn't blocked.
    pub fn parts_blocked_until(
        &self,
        parts: impl Iterator<Item = ContentId> + Clone,
        now: Timestamp,
    ) -> Option<(ContentId, Timestamp)> {
        let attributed = self.attributed_parts(parts);
        attributed.filter_map(|part| Some((part, self.blocked_until(part, now)?))).max_by_key(|(_, until)| *until)
    }

    /// A part of a request with these parts whose block has lapsed; `None` when there is none.
    pub fn lapsed_part(&self, parts: impl Iterator<Item = ContentId> + Clone, now: Timestamp) -> Option<ContentId> {
        self.attributed_parts(parts).find(|part| self.blocked_until(*part, now).is_none())
    }

    /// The parts of a request that terminations are attributed to, without those that are attributed together with
    /// another one that the request doesn't have.
    fn attributed_parts<'p>(
        &'p self,
        parts: impl Iterator<Item = ContentId> + Clone + 'p,
    ) -> impl Iterator<Item = ContentId> + 'p {
        let all = parts.clone();
        let is_present = move |companion: &ContentId| all.clone().any(|part| part == *companion);
        let companions_of = |part: &ContentId| self.companions.get(part).map_or(&[][..], Vec::as_slice);
        parts.filter(move |part| self.is_attributed(*part) && companions_of(part).iter().all(&is_present))
    }

    /// Whether any termination is attributed to any content.
    pub fn has_attributions(&self) -> bool {
        !self.attributions.is_empty()
    }

    /// The number of requests that are blocked at `now`.
    pub fn blocked_count(&self, now: Timestamp) -> usize {
        self.attributions.values().filter(|attribution| now < self.block_expiry(attribution)).count()
    }

    /// Returns the next notice to peers; `None` when nothing is pending.
    pub fn notice(&mut self, sender: Address, now: Timestamp) -> Option<TerminationNotice> {
        self.announcements.next_notice(sender, self.config.notice_maximum, now)
    }

    /// Returns the terminations that are attributed to a request, for storage outside the nodes; `None` when there are
    /// none.
    pub fn attributed_terminations(&self, content: ContentId, now: Timestamp) -> Option<Vec<ReportedTermination>> {
        self.attributions.get(&content)?;
        let mut terminations = Vec::new();
        self.add_terminations_of(content, self.config.notice_maximum, now, &mut terminations);
        Some(terminations)
    }

    /// Whether announcements to peers are pending.
    pub fn has_pending(&self) -> bool {
        !self.announcements.is_empty()
    }

    /// Returns a notice of the attributed requests with their terminations, for a node that has just started or was
    /// unreachable: as many as fit into one notice, those with the most recent terminations first.
    pub fn attribution_notice(&self, sender: Address, now: Timestamp) -> Option<TerminationNotice> {
        let mut attributions: Vec<&Attribution> = self.attributions.values().collect();
        attributions.sort_by_key(|attribution| std::cmp::Reverse(attribution.last));
        let mut terminations = Vec::new();
        let mut left = self.config.notice_maximum;
        for Attribution { content, .. } in attributions {
            left -= self.add_terminations_of(*content, left, now, &mut terminations);
        }
        (!terminations.is_empty()).then(|| TerminationNotice { sender, terminations, answered: Vec::new() })
    }

    /// Adds up to `maximum` terminations that contain a request to `reported`; returns the number added.
    fn add_terminations_of(
        &self,
        content: ContentId,
        maximum: usize,
        now: Timestamp,
        reported: &mut Vec<ReportedTermination>,
    ) -> usize {
        let of_content = |(engine, termination): &(EngineTag, EngineTermination)| {
            let sent_at = *termination.runs.get(&content)?;
            Some((*engine, TerminatedRun { content, sent_at }, termination.at))
        };
        let terminations = self.terminations.iter().filter_map(of_content).take(maximum);
        terminations.map(|(engine, run, at)| add_run(reported, engine, run, at, now)).count()
    }

    /// Removes expired entries. Returns the requests that are newly blocked because the remaining terminations are
    /// attributed to them.
    pub fn tidy(&mut self, now: Timestamp) -> Vec<Attribution> {
        let retention = self.config.retention;
        let before = self.terminations.len();
        while self.terminations.front().is_some_and(|(_, termination)| now.since(termination.at) >= retention) {
            self.remove_oldest();
        }
        self.cleared.retain(|(_, at)| now.since(*at) < retention);
        if self.terminations.len() < before { self.update_attributions() } else { Vec::new() }
    }

    /// The number of stored terminations.
    pub fn len(&self) -> usize {
        self.terminations.len()
    }

    /// Whether no termination is stored.
    pub fn is_empty(&self) -> bool {
        self.terminations.is_empty()
    }

    fn insert(&mut self, engine: EngineTag, at: Timestamp, runs: &[TerminatedRun]) {
        let index = match self.terminations.iter().rposition(|(known, _)| *known == engine) {
            Some(index) => index,
            None => {
                if self.terminations.len() >= self.config.terminations_maximum {
                    self.remove_oldest();
                }
                self.terminations.push_back((engine, EngineTermination { at, runs: BTreeMap::new() }));
                self.terminations.len() - 1
            }
        };
        let cleared = &self.cleared;
        let was_cleared =
            |content: &ContentId, at| cleared.iter().any(|(other, cleared_at)| other == content && at <= *cleared_at);
        let (_, termination) = &mut self.terminations[index];
        // The earliest report is closest to the actual time.
        termination.at = termination.at.min(at);
        for TerminatedRun { content, sent_at } in runs {
            let is_known = termination.runs.contains_key(content);
            if !is_known
                && !was_cleared(content, termination.at)
                && termination.runs.len() < self.config.contents_maximum
            {
                termination.runs.insert(*content, *sent_at);
                *self.counts.entry(*content).or_default() += 1;
            }
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, termination)) = self.terminations.pop_front() {
            termination.runs.keys().for_each(|content| self.decrement_count(*content));
        }
    }

    /// Removes a request from all terminations up to `until`; returns whether any contained it.
    fn clear(&mut self, content: ContentId, until: Timestamp) -> bool {
        let mut cleared = 0;
        for (_, termination) in self.terminations.iter_mut().filter(|(_, termination)| termination.at <= until) {
            cleared += usize::from(termination.runs.remove(&content).is_some());
        }
        (0..cleared).for_each(|_| self.decrement_count(content));
        cleared > 0
    }

    fn record_cleared(&mut self, content: ContentId, at: Timestamp) {
        self.cleared.retain(|(other, _)| *other != content);
        if self.cleared.len() >= self.config.cleared_maximum {
            self.cleared.pop_front();
        }
        self.cleared.push_back((content, at));
    }

    /// Announces an answer again when a peer reports its request for a termination before that answer: the peer has not
    /// received the announcement.
    fn announce_cleared_again(&mut self, runs: &[TerminatedRun], terminated_at: Timestamp) {
        let is_reported_wrongly = |(content, at): &&(ContentId, Timestamp)| {
            terminated_at <= *at
                && runs.iter().any(|run| run.content == *content)
                && !self.announcements.has_answer(*content)
        };
        let again: Vec<(ContentId, Timestamp)> = self.cleared.iter().filter(is_reported_wrongly).copied().collect();
        again.into_iter().for_each(|(content, at)| self.announcements.add_answer(content, at));
    }

    fn decrement_count(&mut self, content: ContentId) {
        let Some(count) = self.counts.get_mut(&content) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&content);
        }
    }

    /// Attributes the terminations to requests again after a change: clearing one request may decide the attribution to
    /// another one. Returns the requests that are attributed now and weren't before.
    fn update_attributions(&mut self) -> Vec<Attribution> {
        let terminations = if self.counts.keys().any(|content| self.is_candidate(content)) {
            self.relevant_terminations()
        } else {
            Vec::new()
        };
        let attributions = attribute_terminations(&terminations, &self.config.rules);
        let attributions: BTreeMap<ContentId, Attribution> =
            attributions.into_iter().map(|attribution| (attribution.content, attribution)).collect();
        if self.config.rules.are_parts {
            let together = |content: &ContentId| companions(&terminations, *content, attributions.keys().copied());
            self.companions = attributions.keys().map(|content| (*content, together(content))).collect();
        }
        let before = std::mem::replace(&mut self.attributions, attributions);
        self.attributions.values().filter(|attribution| !before.contains_key(&attribution.content)).copied().collect()
    }

    fn reaches_threshold(&self, content: &ContentId) -> bool {
        self.counts.get(content).is_some_and(|count| *count >= self.config.rules.threshold)
    }

    /// Whether terminations may be attributed to a content: there are enough of them, and the last one did not come shortly
    /// after a complete answer. Where many engines terminate at the same time, sound contents have no answers in between.
    fn is_candidate(&self, content: &ContentId) -> bool {
        if !self.reaches_threshold(content) {
            return false;
        }
        let with_content = self.terminations.iter().filter(|(_, termination)| termination.runs.contains_key(content));
        let last = with_content.map(|(_, termination)| termination.at).max().unwrap_or_default();
        !self.answered.is_sound(*content, last)
    }

    /// Returns the terminations in chronological order, with the contents that may be their cause.
    fn relevant_terminations(&self) -> Vec<EngineTermination> {
        let candidates: BTreeSet<ContentId> =
            self.counts.keys().filter(|content| self.is_candidate(content)).copied().collect();
        let of_candidates = |(_, termination): &(EngineTag, EngineTermination)| {
            let runs = termination.runs.iter().filter(|(content, _)| candidates.contains(content));
            EngineTermination {
                at: termination.at,
                runs: runs.map(|(content, sent_at)| (*content, *sent_at)).collect(),
            }
        };
        let mut terminations: Vec<EngineTermination> = self.terminations.iter().map(of_candidates).collect();
        terminations.sort_by_key(|termination| termination.at);
        terminations
    }

    fn block_expiry(&self, attribution: &Attribution) -> Timestamp {
        if attribution.terminations >= self.config.final_terminations {
            return attribution.last + self.config.longest_block;
        }
        let further =
            u32::try_from(attribution.terminations.saturating_sub(self.config.rules.threshold)).unwrap_or(u32::MAX);
        attribution.last + doubled(self.config.first_block, further, self.config.longest_block)
    }
}
