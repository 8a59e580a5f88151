//! Which request an engine's end is put down to, out of all that ran there.
//!
//! A request that ends its engines takes others with it: those that ran beside it. They are broken off as often as chance
//! puts them there; the culprit is there each time. So an end is put down to one request only, the one under which most
//! engines have ended, and no longer counts against those beside it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::content::ContentId;
use crate::time::Timestamp;

/// An engine that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineTermination {
    /// When.
    pub at: Timestamp,
    /// What ran there, and when it was sent there.
    pub runs: BTreeMap<ContentId, Timestamp>,
}

/// A request that ends are put down to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attribution {
    /// The request.
    pub content: ContentId,
    /// The ends that count against it, also those that are put down to another one as well.
    pub terminations: usize,
    /// The last of them.
    pub last: Timestamp,
}

/// When ends count against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttributionRules {
    /// The ends that it takes.
    pub least: usize,
    /// Engines that end within this time of each other ended for one reason, as those of a rack do, and count once; unless the
    /// request was sent to the second one only after the first had ended.
    pub one_moment: Duration,
}

/// The requests that `ends`, the oldest first, are put down to.
///
/// The one with most ends goes first, and what is put down to it counts no more for the rest. Where two have equally many,
/// and the ends of one would leave too few for the other, nobody can tell which it was: neither is blamed, since the next end
/// tells, until there are twice as many as it takes.
pub fn attribute_terminations(ends: &[EngineTermination], rules: &AttributionRules) -> Vec<Attribution> {
    let weigh = |content: &ContentId, indices: &BTreeSet<usize>| weight(ends, *content, indices, rules.one_moment);
    let all = ends_by_content(ends);
    let mut open = all.clone();
    let mut blamed = Vec::new();
    loop {
        open.retain(|content, indices| weigh(content, indices) >= rules.least);
        let Some(most) = open.iter().map(|(content, indices)| weigh(content, indices)).max() else {
            return blamed;
        };
        let leaders: BTreeMap<ContentId, BTreeSet<usize>> =
            open.extract_if(.., |content, indices| weigh(content, indices) == most).collect();
        for (content, indices) in &leaders {
            let leaves_enough = |(other, theirs): (&ContentId, &BTreeSet<usize>)| {
                other == content || weigh(other, &(theirs - indices)) >= rules.least
            };
            if most >= 2 * rules.least || leaders.iter().all(leaves_enough) {
                let last = indices.iter().map(|index| ends[*index].at).max().unwrap_or_default();
                blamed.push(Attribution { content: *content, terminations: weigh(content, &all[content]), last });
                open.values_mut().for_each(|open| *open = &*open - indices);
            }
        }
    }
}

/// The ends among `indices` that count against a request: each for itself, but those of one moment together.
fn weight(ends: &[EngineTermination], content: ContentId, indices: &BTreeSet<usize>, one_moment: Duration) -> usize {
    let mut counted = 0;
    let mut last: Option<Timestamp> = None;
    for end in indices.iter().map(|index| &ends[*index]) {
        let is_apart = |last: Timestamp| end.at.since(last) >= one_moment || end.runs[&content] >= last;
        if last.is_none_or(is_apart) {
            counted += 1;
            last = Some(end.at);
        }
    }
    counted
}

fn ends_by_content(ends: &[EngineTermination]) -> BTreeMap<ContentId, BTreeSet<usize>> {
    let mut by_content: BTreeMap<ContentId, BTreeSet<usize>> = BTreeMap::new();
    for (index, end) in ends.iter().enumerate() {
        for content in end.runs.keys() {
            by_content.entry(*content).or_default().insert(index);
        }
    }
    by_content
}
