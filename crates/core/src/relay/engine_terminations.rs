//! Engines that ended while they ran requests, as all nodes have seen them, and the requests that are blocked for it.
//!
//! A request may end each engine that begins to run it. Its caller sends it again, to any node, and each copy would end some
//! engines more, with all that runs there. Attempts are limited for each copy, so only what is kept of its content from
//! one copy to the next, at all nodes, puts an end to it.
//!
//! What is kept is bounded, and lapses: a request that was blocked may be tried again after a time that doubles with
//! each further end, and one that is answered whole is cleared at all nodes.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use super::attribution::{Attribution, AttributionRules, EngineTermination, attribute_terminations};
use super::content::ContentId;
use super::engine_tag::EngineTag;
use super::termination_notice::{AnsweredContent, ReportedRun, ReportedTermination, TerminationNotice};
use crate::time::{Timestamp, doubled};
use crate::world::Address;

/// Limits of [`EngineTerminations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineTerminationsConfig {
    /// When ends count against a request, and how many block it. One or two may be chance: an engine ends, and a
    /// request that was repeated meets the next end. Its moment is longer than nodes differ in when they notice an end.
    pub rules: AttributionRules,
    /// How long a request is blocked after the last end, when it has come to the number that blocks it.
    pub first_block: Duration,
    /// The longest block; each further end doubles it up to this.
    pub longest_block: Duration,
    /// How long an end counts. Longer than the longest block, so that a request that is tried again is not new.
    pub kept: Duration,
    /// The ends that are kept; the oldest go first.
    pub ends_maximum: usize,
    /// The requests that are kept for one end: more than an engine runs at a time.
    pub contents_maximum: usize,
    /// The requests that are remembered as cleared; the oldest go first.
    pub cleared_maximum: usize,
    /// The pairs of an end and a request that wait to be told; the oldest go first.
    pub untold_maximum: usize,
    /// The pairs that one notice tells, so that it fits into a datagram.
    pub told_maximum: usize,
    /// How often each is told, against loss.
    pub tells: u32,
}

impl Default for EngineTerminationsConfig {
    fn default() -> Self {
        EngineTerminationsConfig {
            rules: AttributionRules { least: 3, one_moment: Duration::from_millis(50) },
            first_block: Duration::from_secs(120),
            longest_block: Duration::from_secs(3_600),
            kept: Duration::from_secs(7_200),
            ends_maximum: 512,
            contents_maximum: 64,
            cleared_maximum: 256,
            untold_maximum: 512,
            told_maximum: 40,
            tells: 2,
        }
    }
}

/// A request that an engine ran when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TerminatedRun {
    /// The request.
    pub content: ContentId,
    /// When it was sent there.
    pub sent_at: Timestamp,
}

/// Something that peers are still to be told of.
#[derive(Clone, Copy, Debug)]
struct Untold {
    news: News,
    tells: u32,
}

#[derive(Clone, Copy, Debug)]
enum News {
    Ended { engine: EngineTag, run: TerminatedRun, at: Timestamp },
    Served { content: ContentId, at: Timestamp },
}

/// Engines that ended, and the requests that are blocked for it.
#[derive(Clone, Debug)]
pub struct EngineTerminations {
    config: EngineTerminationsConfig,
    /// Oldest first, as they were learned.
    ends: VecDeque<(EngineTag, EngineTermination)>,
    /// In how many of `ends` a request is.
    counts: HashMap<ContentId, usize>,
    blamed: BTreeMap<ContentId, Attribution>,
    /// Requests that were answered whole after engines had ended under them, and when; oldest first. A peer that did not hear of
    /// it may go on telling of the ends before.
    cleared: VecDeque<(ContentId, Timestamp)>,
    untold: VecDeque<Untold>,
}

impl Default for EngineTerminations {
    fn default() -> Self {
        EngineTerminations::new(EngineTerminationsConfig::default())
    }
}

impl EngineTerminations {
    /// No engine has ended.
    pub fn new(config: EngineTerminationsConfig) -> Self {
        EngineTerminations {
            config,
            ends: VecDeque::new(),
            counts: HashMap::new(),
            blamed: BTreeMap::new(),
            cleared: VecDeque::new(),
            untold: VecDeque::new(),
        }
    }

    /// Notes that `engine` ended at `at` while it did `runs` for this node. Returns the requests that are blocked from now on.
    pub fn record_termination(&mut self, engine: EngineTag, runs: &[TerminatedRun], at: Timestamp) -> Vec<Attribution> {
        let tells = self.config.tells;
        for run in runs {
            self.untold.push_back(Untold { news: News::Ended { engine, run: *run, at }, tells });
        }
        self.bound_untold();
        self.insert(engine, at, runs);
        self.weigh_anew()
    }

    /// Takes in what a peer tells. Returns the requests that are blocked from now on.
    pub fn receive(&mut self, notice: &TerminationNotice, now: Timestamp) -> Vec<Attribution> {
        for end in &notice.terminations {
            let at = now - Duration::from_micros(end.age_micros);
            let run = |told: &ReportedRun| TerminatedRun {
                content: told.content,
                sent_at: at - Duration::from_micros(u64::from(told.ran_micros)),
            };
            let runs: Vec<TerminatedRun> = end.runs.iter().map(run).collect();
            self.tell_cleared_again(&runs, at);
            self.insert(end.engine, at, &runs);
        }
        for served in &notice.answered {
            let served_at = now - Duration::from_micros(served.age_micros);
            if self.clear(served.content, served_at) {
                self.remember_cleared(served.content, served_at);
            }
        }
        self.weigh_anew()
    }

    /// Notes that a request was answered whole: it doesn't end its engines, so it only ran beside one that does, or on engines
    /// that ended for another reason. Returns the requests that are blocked from now on, since the ends are now put down to them;
    /// `None` when no engine had ended under it.
    pub fn record_answered(&mut self, content: ContentId, now: Timestamp) -> Option<Vec<Attribution>> {
        if !self.clear(content, now) {
            return None;
        }
        self.remember_cleared(content, now);
        self.tell_served(content, now);
        Some(self.weigh_anew())
    }

    /// Whether engines' ends are put down to a request, also when its block has lapsed.
    pub fn is_attributed(&self, content: ContentId) -> bool {
        self.blamed.contains_key(&content)
    }

    /// Whether an engine has ended under a request.
    pub fn is_suspect(&self, content: ContentId) -> bool {
        self.counts.contains_key(&content)
    }

    /// Until when a request is blocked; `None` when it isn't.
    pub fn blocked_until(&self, content: ContentId, now: Timestamp) -> Option<Timestamp> {
        let until = self.block_end(self.blamed.get(&content)?);
        (now < until).then_some(until)
    }

    /// The requests that are blocked at `now`.
    pub fn blocked_count(&self, now: Timestamp) -> usize {
        self.blamed.values().filter(|blamed| now < self.block_end(blamed)).count()
    }

    /// What peers are to be told next; `None` when there is nothing.
    pub fn notice(&mut self, sender: Address, now: Timestamp) -> Option<TerminationNotice> {
        let mut notice = TerminationNotice { sender, terminations: Vec::new(), answered: Vec::new() };
        let told = self.untold.len().min(self.config.told_maximum);
        for untold in self.untold.drain(..told).collect::<Vec<_>>() {
            match untold.news {
                News::Ended { engine, run, at } => add_run(&mut notice.terminations, engine, run, at, now),
                News::Served { content, at } => {
                    notice.answered.push(AnsweredContent { content, age_micros: age(at, now) });
                }
            }
            if untold.tells > 1 {
                self.untold.push_back(Untold { tells: untold.tells - 1, ..untold });
            }
        }
        (told > 0).then_some(notice)
    }

    /// The ends that a request is blamed for, to be kept where they outlast all nodes; `None` when it isn't blamed.
    pub fn attributed_terminations(&self, content: ContentId, now: Timestamp) -> Option<Vec<ReportedTermination>> {
        self.blamed.get(&content)?;
        let mut ends = Vec::new();
        self.add_ends_of(content, self.config.told_maximum, now, &mut ends);
        Some(ends)
    }

    /// Whether peers are still to be told of something.
    pub fn has_pending(&self) -> bool {
        !self.untold.is_empty()
    }

    /// The requests that are blamed, and the ends that they are blamed for, for a node that has just started or was out of reach:
    /// as many as one notice tells, those with the last ends first.
    pub fn attribution_notice(&self, sender: Address, now: Timestamp) -> Option<TerminationNotice> {
        let mut blamed: Vec<&Attribution> = self.blamed.values().collect();
        blamed.sort_by_key(|blamed| std::cmp::Reverse(blamed.last));
        let mut ends = Vec::new();
        let mut left = self.config.told_maximum;
        for Attribution { content, .. } in blamed {
            left -= self.add_ends_of(*content, left, now, &mut ends);
        }
        (!ends.is_empty()).then(|| TerminationNotice { sender, terminations: ends, answered: Vec::new() })
    }

    /// Adds up to `most` ends under a request to `told`; returns how many there were.
    fn add_ends_of(
        &self,
        content: ContentId,
        most: usize,
        now: Timestamp,
        told: &mut Vec<ReportedTermination>,
    ) -> usize {
        let of_content = |(engine, end): &(EngineTag, EngineTermination)| {
            let sent_at = *end.runs.get(&content)?;
            Some((*engine, TerminatedRun { content, sent_at }, end.at))
        };
        let ends = self.ends.iter().filter_map(of_content).take(most);
        ends.map(|(engine, run, at)| add_run(told, engine, run, at, now)).count()
    }

    /// Forgets what no longer counts. Returns the requests that are blocked from now on, since what is left is put down to them.
    pub fn tidy(&mut self, now: Timestamp) -> Vec<Attribution> {
        let kept = self.config.kept;
        let before = self.ends.len();
        while self.ends.front().is_some_and(|(_, end)| now.since(end.at) >= kept) {
            self.forget_oldest();
        }
        self.cleared.retain(|(_, at)| now.since(*at) < kept);
        if self.ends.len() < before { self.weigh_anew() } else { Vec::new() }
    }

    /// The ends that are kept.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Whether no end is kept.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    fn insert(&mut self, engine: EngineTag, at: Timestamp, runs: &[TerminatedRun]) {
        let index = match self.ends.iter().rposition(|(known, _)| *known == engine) {
            Some(index) => index,
            None => {
                if self.ends.len() >= self.config.ends_maximum {
                    self.forget_oldest();
                }
                self.ends.push_back((engine, EngineTermination { at, runs: BTreeMap::new() }));
                self.ends.len() - 1
            }
        };
        let cleared = &self.cleared;
        let was_cleared =
            |content: &ContentId, at| cleared.iter().any(|(other, cleared_at)| other == content && at <= *cleared_at);
        let (_, end) = &mut self.ends[index];
        // Whoever noticed first is nearest to the truth.
        end.at = end.at.min(at);
        for TerminatedRun { content, sent_at } in runs {
            let is_known = end.runs.contains_key(content);
            if !is_known && !was_cleared(content, end.at) && end.runs.len() < self.config.contents_maximum {
                end.runs.insert(*content, *sent_at);
                *self.counts.entry(*content).or_default() += 1;
            }
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, end)) = self.ends.pop_front() {
            end.runs.keys().for_each(|content| self.discount(*content));
        }
    }

    /// Takes a request out of all ends up to `until`; whether it was in any.
    fn clear(&mut self, content: ContentId, until: Timestamp) -> bool {
        let mut cleared = 0;
        for (_, end) in self.ends.iter_mut().filter(|(_, end)| end.at <= until) {
            cleared += usize::from(end.runs.remove(&content).is_some());
        }
        (0..cleared).for_each(|_| self.discount(content));
        cleared > 0
    }

    fn remember_cleared(&mut self, content: ContentId, at: Timestamp) {
        self.cleared.retain(|(other, _)| *other != content);
        if self.cleared.len() >= self.config.cleared_maximum {
            self.cleared.pop_front();
        }
        self.cleared.push_back((content, at));
    }

    /// A peer that blames a request for an end before its whole answer has not heard of that answer.
    fn tell_cleared_again(&mut self, runs: &[TerminatedRun], end_at: Timestamp) {
        let is_waiting = |content: ContentId| {
            let tells_of =
                |untold: &Untold| matches!(untold.news, News::Served { content: told, .. } if told == content);
            self.untold.iter().any(tells_of)
        };
        let is_blamed_wrongly = |(content, at): &&(ContentId, Timestamp)| {
            end_at <= *at && runs.iter().any(|run| run.content == *content) && !is_waiting(*content)
        };
        let again: Vec<(ContentId, Timestamp)> = self.cleared.iter().filter(is_blamed_wrongly).copied().collect();
        again.into_iter().for_each(|(content, at)| self.tell_served(content, at));
    }

    fn tell_served(&mut self, content: ContentId, at: Timestamp) {
        self.untold.push_back(Untold { news: News::Served { content, at }, tells: self.config.tells });
        self.bound_untold();
    }

    fn discount(&mut self, content: ContentId) {
        let Some(count) = self.counts.get_mut(&content) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&content);
        }
    }

    /// Puts the ends down to requests anew, after any of them has changed: what one request is cleared of may decide for another
    /// one. Returns those that are blamed now and weren't before.
    fn weigh_anew(&mut self) -> Vec<Attribution> {
        let ends = if self.counts.keys().any(|content| self.may_be_blamed(content)) {
            self.ends_that_may_count()
        } else {
            Vec::new()
        };
        let blamed = attribute_terminations(&ends, &self.config.rules);
        let blamed = blamed.into_iter().map(|blamed| (blamed.content, blamed)).collect();
        let before = std::mem::replace(&mut self.blamed, blamed);
        self.blamed.values().filter(|blamed| !before.contains_key(&blamed.content)).copied().collect()
    }

    fn may_be_blamed(&self, content: &ContentId) -> bool {
        self.counts.get(content).is_some_and(|count| *count >= self.config.rules.least)
    }

    /// The ends in the order of time, without the requests that can't be blamed.
    fn ends_that_may_count(&self) -> Vec<EngineTermination> {
        let of_suspects = |(_, end): &(EngineTag, EngineTermination)| {
            let runs = end.runs.iter().filter(|(content, _)| self.may_be_blamed(content));
            EngineTermination { at: end.at, runs: runs.map(|(content, sent_at)| (*content, *sent_at)).collect() }
        };
        let mut ends: Vec<EngineTermination> = self.ends.iter().map(of_suspects).collect();
        ends.sort_by_key(|end| end.at);
        ends
    }

    fn block_end(&self, blamed: &Attribution) -> Timestamp {
        let further = u32::try_from(blamed.terminations.saturating_sub(self.config.rules.least)).unwrap_or(u32::MAX);
        blamed.last + doubled(self.config.first_block, further, self.config.longest_block)
    }

    fn bound_untold(&mut self) {
        let beyond = self.untold.len().saturating_sub(self.config.untold_maximum);
        self.untold.drain(..beyond);
    }
}

fn add_run(ends: &mut Vec<ReportedTermination>, engine: EngineTag, run: TerminatedRun, at: Timestamp, now: Timestamp) {
    let ran_micros = u32::try_from(at.since(run.sent_at).as_micros()).unwrap_or(u32::MAX);
    let told = ReportedRun { content: run.content, ran_micros };
    match ends.iter_mut().find(|end| end.engine == engine) {
        Some(end) => end.runs.push(told),
        None => ends.push(ReportedTermination { engine, age_micros: age(at, now), runs: vec![told] }),
    }
}

fn age(at: Timestamp, now: Timestamp) -> u64 {
    u64::try_from(now.since(at).as_micros()).unwrap_or(u64::MAX)
}
