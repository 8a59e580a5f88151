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
    /// The number of terminations from which on two requests are both blocked if the culprit can't be determined.
    pub undecided_maximum: usize,
    /// Whether the contents are parts of requests, which may contain several of them. Parts with the same terminations are
    /// then attributed together, and a request is blocked only if it contains all of them.
    pub are_parts: bool,
}

impl AttributionRules {
    /// Rules for whole requests, of which an engine runs each by itself.
    pub const fn for_requests(threshold: usize, coincidence_window: Duration) -> Self {
        AttributionRules { threshold, coincidence_window, undecided_maximum: 2 * threshold, are_parts: false }
    }
}

/// Returns the requests that `terminations`, sorted oldest first, are attributed to.
///
/// The request with the most terminations is handled first, and terminations attributed to it do not count against the
/// others. If two requests have equally many, and removing those of one would leave the other below the threshold, the
/// culprit can't be determined: nothing is attributed to either until another termination distinguishes them, or until
/// both reach `undecided_maximum`.
pub fn attribute_terminations(terminations: &[EngineTermination], rules: &AttributionRules) -> Vec<Attribution> {
    let count = |content: &ContentId, indices: &BTreeSet<usize>| {
        distinct_terminations(terminations, *content, indices, rules.coincidence_window)
    };
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

/// Counts the terminations among `indices` against a request; those within one coincidence window count once.
fn distinct_terminations(
    terminations: &[EngineTermination],
    content: ContentId,
    indices: &BTreeSet<usize>,
    coincidence_window: Duration,
) -> usize {
    let mut counted = 0;
    let mut last: Option<Timestamp> = None;
    for termination in indices.iter().map(|index| &terminations[*index]) {
        let is_distinct =
            |last: Timestamp| termination.at.since(last) >= coincidence_window || termination.runs[&content] >= last;
        if last.is_none_or(is_distinct) {
            counted += 1;
            last = Some(termination.at);
        }
    }
    counted
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
