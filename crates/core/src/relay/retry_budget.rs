//! The budget for repeats that all nodes share: each node spends at most its own part, so that no message is needed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// The windows are counted in slices of this length.
const SLICE: Duration = Duration::from_millis(250);

/// Limits of the budget of one service, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRetryBudgetConfig {
    /// Repeats that each request pays for, from 0 to 1.
    pub ratio: f64,
    /// Repeats in a window beyond the ratio, over all nodes.
    pub slack: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

/// The part of the slack that a node may spend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetShare {
    /// The most nodes that may have spent in the present window, this one included.
    pub nodes: u32,
}

/// A process may have spent its part just before it was restarted, unknown to its next life: parts are halved, so that
/// one restart of every node within a window stays within the whole slack.
const PART_OF_SLACK: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct Slice {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// What one node may spend on repeats to one service.
///
/// Invariant: in every span of the window's length, this node's repeats are at most `ratio` times its requests in that
/// span plus its part of the slack. Summed over the nodes, that is the shared budget.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    config: SharedRetryBudgetConfig,
    share: BudgetShare,
    slices: VecDeque<Slice>,
}

impl SharedRetryBudget {
    /// A budget of which nothing is spent.
    pub fn new(config: SharedRetryBudgetConfig, share: BudgetShare) -> Self {
        SharedRetryBudget { config, share, slices: VecDeque::new() }
    }

    /// Changes the node's part, as nodes come and go.
    pub fn set_share(&mut self, share: BudgetShare) {
        self.share = share;
    }

    /// Changes the limits; requests and repeats so far still count.
    pub fn set_config(&mut self, config: SharedRetryBudgetConfig) {
        self.config = config;
    }

    /// Notes a caller's request for the service.
    pub fn record_request(&mut self, now: Timestamp) {
        self.slice(now).requests += 1;
    }

    /// Takes one repeat out of the budget; `false` when it is used up.
    #[must_use]
    pub fn try_repeat(&mut self, now: Timestamp) -> bool {
        let allowed = f64::from(self.repeats(now)) + 1.0 <= self.allowance(now);
        if allowed {
            self.slice(now).repeats += 1;
        }
        allowed
    }

    /// Repeats that are left at `now`, with fractions.
    pub fn left(&self, now: Timestamp) -> f64 {
        (self.allowance(now) - f64::from(self.repeats(now))).max(0.0)
    }

    /// What may be spent in the window that ends now.
    ///
    /// A repeat counts in every window that it lies in, also those that end later. Each of them is weighed against the
    /// requests of that window, of the one before it or of the one half a window before it, whichever has the most. So
    /// only as many requests count as every window with this repeat in it can still show.
    fn allowance(&self, now: Timestamp) -> f64 {
        let window = self.window_slices();
        let end = slice_number(now) + 1;
        let shown = (0..=window / 2).map(|passed| {
            let late = self.requests(end.saturating_sub(window - passed), end);
            let early_end = end.saturating_sub(window / 2 - passed);
            late.max(self.requests(early_end.saturating_sub(window), early_end))
        });
        let part = self.config.slack * PART_OF_SLACK / f64::from(self.share.nodes.max(1));
        self.config.ratio * f64::from(shown.min().unwrap_or(0)) + part
    }

    /// Requests in the slices from `first` up to, but without, `end`.
    fn requests(&self, first: u64, end: u64) -> u32 {
        let counted = self.slices.iter().filter(|slice| (first..end).contains(&slice.number));
        counted.map(|slice| slice.requests).sum()
    }

    /// Repeats in the window that ends now; one slice more, since its oldest may lie in the window in part.
    fn repeats(&self, now: Timestamp) -> u32 {
        let oldest = (slice_number(now) + 1).saturating_sub(self.window_slices() + 1);
        self.slices.iter().filter(|slice| slice.number >= oldest).map(|slice| slice.repeats).sum()
    }

    fn window_slices(&self) -> u64 {
        (self.config.window.as_micros() / SLICE.as_micros()) as u64
    }

    fn slice(&mut self, now: Timestamp) -> &mut Slice {
        let number = slice_number(now);
        if self.slices.back().is_none_or(|slice| slice.number < number) {
            self.slices.push_back(Slice { number, requests: 0, repeats: 0 });
        }
        let kept = 2 * self.window_slices();
        while self.slices.front().is_some_and(|slice| slice.number + kept < number) {
            self.slices.pop_front();
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}

fn slice_number(now: Timestamp) -> u64 {
    now.as_micros() / SLICE.as_micros() as u64
}
