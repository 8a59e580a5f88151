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
/// Invariant: in every span of the window's length, this node's repeats are at most `ratio` times the mean of its requests
/// in that span and in the one before it, plus its part of the slack. A mean with fixed weights adds up over
/// nodes: together they stay within `ratio` times the larger of the two spans' requests, plus the slack. The larger one at
/// each node by itself would not: where callers go over from some nodes to others, each counts its own best span, and the
/// sum is up to twice that of any one span (580 repeats where 534 are allowed, in a test with eight nodes).
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
        let allowed = self.left(now) >= 1.0;
        if allowed {
            self.slice(now).repeats += 1;
        }
        allowed
    }

    /// Repeats that are left at `now`, with fractions.
    ///
    /// A repeat counts in every window that it lies in, also in those that end later. The budget has to hold in each of them
    /// even if nothing more is asked.
    pub fn left(&self, now: Timestamp) -> f64 {
        let counts = CountsByAge::new(&self.slices, slice_number(now), self.slices_kept());
        let part = self.config.slack * PART_OF_SLACK / f64::from(self.share.nodes.max(1));
        let window = self.window_slices();
        let left_in = |later: usize| {
            let paid = self.config.ratio * counts.requests_in_mean(window, later);
            paid + part - counts.repeats_in(window, later)
        };
        (0..=window).map(left_in).fold(f64::INFINITY, f64::min).max(0.0)
    }

    fn window_slices(&self) -> usize {
        usize::try_from(self.config.window.as_micros() / SLICE.as_micros()).unwrap_or(usize::MAX)
    }

    /// The slices that a window which has not ended yet, or the one before it, may lie in.
    fn slices_kept(&self) -> usize {
        2 * self.window_slices()
    }

    fn slice(&mut self, now: Timestamp) -> &mut Slice {
        let number = slice_number(now);
        if self.slices.back().is_none_or(|slice| slice.number < number) {
            self.slices.push_back(Slice { number, requests: 0, repeats: 0 });
        }
        let kept = self.slices_kept() as u64;
        while self.slices.front().is_some_and(|slice| slice.number + kept < number) {
            self.slices.pop_front();
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}

/// Requests and repeats summed over the newest slices: entry `n` is the sum of the `n` newest ones.
struct CountsByAge {
    requests: Vec<u32>,
    repeats: Vec<u32>,
}

impl CountsByAge {
    fn new(slices: &VecDeque<Slice>, current: u64, kept: usize) -> Self {
        let mut requests = vec![0; kept + 1];
        let mut repeats = vec![0; kept + 1];
        for slice in slices {
            let age = usize::try_from(current.saturating_sub(slice.number)).unwrap_or(usize::MAX);
            if age < kept {
                requests[age + 1] += slice.requests;
                repeats[age + 1] += slice.repeats;
            }
        }
        for newest in 1..=kept {
            requests[newest] += requests[newest - 1];
            repeats[newest] += repeats[newest - 1];
        }
        CountsByAge { requests, repeats }
    }

    /// Repeats in a window that ends `later` slices from now. Its first slice may lie in it in part, and counts.
    fn repeats_in(&self, window: usize, later: usize) -> f64 {
        f64::from(self.repeats[window - later + 1])
    }

    /// The mean of the requests in a window that ends `later` slices from now and in the one before it, as far as they
    /// are known. The first slice of the two may lie in them in part, and doesn't count.
    fn requests_in_mean(&self, window: usize, later: usize) -> f64 {
        f64::from(self.requests[2 * window - later]) / 2.0
    }
}

fn slice_number(now: Timestamp) -> u64 {
    now.as_micros() / SLICE.as_micros() as u64
}
