//! Attributes the termination of an engine to one of the requests that ran there.
//!
//! A request that terminates its engines also interrupts the requests that run beside it. The others are interrupted
//! only when they happen to run on the same engine; the culprit is present each time. So a termination is attributed to
//! one request only, the one during whose runs the most engines terminated, and then no longer counts against the
//! others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::content::ContentId;
use crate::time::Timestamp;

/// An engine that has terminated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineTermination {
    /// The time of the termination.
    pub at: Timestamp,
    /// The requests that ran there, with the time at which each was sent.
    pub runs: BTreeMap<ContentId, Timestamp>,
}

/// A request that terminations are attributed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attribution {
    /// The request.
    pub content: ContentId,
    /// The number of terminations that count against it, including those that are also attributed to another request.
    pub terminations: usize,
    /// The time of the last of them.
    pub last: Timestamp,
}

/// When terminations count against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttributionRules {
    /// The number of terminations at which a request is blocked.
    pub threshold: usize,
    /// Terminations within this time of each other, as when several engines of one rack fail, are assumed to have a
    /// common cause and count once, unless the request was sent to the second engine only after the first had
    /// terminated.
    pub coincidence_window: Duration,
    /// Terminations within this time of the first of them count once if there are signs of a common cause: two of them
    /// coincide, or an engine without the request terminates at the same time. Engines of one rack may fail one after the
    /// other for longer than the coincidence window, and a request that is sent from one to the next runs at several.
    pub burst_window: Duration,
    /// The number of terminations from which on two requests are both blocked if the culprit can't be determined.
    pub undecided_maximum: usize,
    /// Whether the contents are parts of requests, which may contain several of them. Parts with the same terminations are
    /// then attributed together, and a request is blocked only if it contains all of them.
    pub are_parts: bool,
}

impl AttributionRules {
    /// Rules for whole requests, of which an engine runs each by itself.
    pub const fn for_requests(threshold: usize, coincidence_window: Duration, burst_window: Duration) -> Self {
        AttributionRules {
            threshold,
            coincidence_window,
            burst_window,
            undecided_maximum: 2 * threshold,
            are_parts: false,
        }
    }
}

/// Returns the requests that `terminations`, sorted oldest first, are attributed to.
///
/// The request with the most terminations is handled first, and terminations attributed to it do not count against the
/// others. If two requests have equally many, and removing those of one would leave the other below the threshold, the
/// culprit can't be determined: nothing is attributed to either until another termination distinguishes them, or until
/// both reach `undecided_maximum`.
pub fn attribute_terminations(terminations: &[EngineTermination], rules: &AttributionRules) -> Vec<Attribution> {
    let count =
        |content: &ContentId, indices: &BTreeSet<usize>| count_distinct(terminations, *content, indices, rules).counted;
    let all = terminations_by_content(terminations);
    let mut unattributed = all.clone();
    let mut attributions = Vec::new();
    loop {
        unattributed.retain(|content, indices| count(content, indices) >= rules.threshold);
        let Some(most) = unattributed.iter().map(|(content, indices)| count(content, indices)).max() else {
            return attributions;
        };
        let leaders: BTreeMap<ContentId, BTreeSet<usize>> =
            unattributed.extract_if(.., |content, indices| count(content, indices) == most).collect();
        for (content, indices) in &leaders {
            let leaves_enough = |(other, theirs): (&ContentId, &BTreeSet<usize>)| {
                let is_companion = rules.are_parts && theirs == indices;
                other == content || is_companion || count(other, &(theirs - indices)) >= rules.threshold
            };
            if most >= rules.undecided_maximum || leaders.iter().all(leaves_enough) {
                let last = indices.iter().map(|index| terminations[*index].at).max().unwrap_or_default();
                attributions.push(Attribution { content: *content, terminations: count(content, &all[content]), last });
                unattributed.values_mut().for_each(|remaining| *remaining = &*remaining - indices);
            }
        }
    }
}

/// The other contents with the same terminations as `content`.
pub(super) fn companions(
    terminations: &[EngineTermination],
    content: ContentId,
    others: impl Iterator<Item = ContentId>,
) -> Vec<ContentId> {
    let has_same = |other: &ContentId| {
        let is_same = |end: &EngineTermination| end.runs.contains_key(&content) == end.runs.contains_key(other);
        *other != content && terminations.iter().all(is_same)
    };
    others.filter(has_same).collect()
}

/// The terminations that count against a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DistinctTerminations {
    /// How many count.
    pub counted: usize,
    /// The last one that counts, or would without a common cause.
    last: Option<Timestamp>,
    /// The last one of an engine that did not run the request.
    last_without: Option<Timestamp>,
    burst: Option<Burst>,
}

/// Terminations within a short time.
#[derive(Clone, Copy, Debug)]
struct Burst {
    began: Timestamp,
    /// How many of them count without a common cause.
    counted: usize,
    has_common_cause: bool,
}

impl DistinctTerminations {
    /// Adds the termination of an engine that ran the request, which was sent to it at `sent_at`.
    fn record(&mut self, at: Timestamp, sent_at: Timestamp, rules: &AttributionRules) {
        let is_near = |other: Timestamp| at.since(other) < rules.coincidence_window;
        let coincides = self.last.is_some_and(|last| is_near(last) && sent_at < last);
        let shows_common_cause = coincides || self.last_without.is_some_and(is_near);
        if !coincides {
            self.last = Some(at);
        }
        match &mut self.burst {
            Some(burst) if at.since(burst.began) < rules.burst_window => {
                burst.counted += usize::from(!coincides);
                burst.has_common_cause |= shows_common_cause;
            }
            _ if coincides => {}
            _ => {
                self.end_burst();
                self.burst = Some(Burst { began: at, counted: 1, has_common_cause: shows_common_cause });
            }
        }
    }

    /// Adds the termination of an engine that did not run the request.
    fn record_without(&mut self, at: Timestamp, rules: &AttributionRules) {
        self.last_without = Some(at);
        let is_near = self.last.is_some_and(|last| at.since(last) < rules.coincidence_window);
        if let Some(burst) = &mut self.burst {
            burst.has_common_cause |= is_near && at.since(burst.began) < rules.burst_window;
        }
    }

    fn end_burst(&mut self) {
        if let Some(burst) = self.burst {
            self.counted += if burst.has_common_cause { 1 } else { burst.counted };
        }
    }

    /// When a further termination would count again, if those of the last burst have a common cause.
    pub fn burst_ends_at(&self, rules: &AttributionRules) -> Option<Timestamp> {
        let burst = self.burst.filter(|burst| burst.has_common_cause)?;
        Some(burst.began + rules.burst_window)
    }
}

/// Counts the terminations among `indices` against a request; `terminations` are sorted oldest first.
pub(super) fn count_distinct(
    terminations: &[EngineTermination],
    content: ContentId,
    indices: &BTreeSet<usize>,
    rules: &AttributionRules,
) -> DistinctTerminations {
    let mut distinct = DistinctTerminations::default();
    for (index, termination) in terminations.iter().enumerate() {
        match termination.runs.get(&content) {
            Some(sent_at) if indices.contains(&index) => distinct.record(termination.at, *sent_at, rules),
            // It is attributed to another request.
            Some(_) => {}
            None => distinct.record_without(termination.at, rules),
        }
    }
    distinct.end_burst();
    distinct
}

fn terminations_by_content(terminations: &[EngineTermination]) -> BTreeMap<ContentId, BTreeSet<usize>> {
    let mut by_content: BTreeMap<ContentId, BTreeSet<usize>> = BTreeMap::new();
    for (index, termination) in terminations.iter().enumerate() {
        for content in termination.runs.keys() {
            by_content.entry(*content).or_default().insert(index);
        }
    }
    by_content
}
