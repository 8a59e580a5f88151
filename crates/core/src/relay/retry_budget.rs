//! The retry budget that all nodes share. Each node spends at most its own share, so no messages are needed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// The length of the slices that windows are counted in.
const SLICE: Duration = Duration::from_millis(250);

/// Limits of the retry budget of one service, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRetryBudgetConfig {
    /// Repeats allowed per request, from 0 to 1.
    pub ratio: f64,
    /// Repeats in a window beyond the ratio, over all nodes.
    pub slack: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

/// The share of the slack that a node may spend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetShare {
    /// The maximum number of nodes that may have spent in the present window, this one included.
    pub nodes: u32,
}

/// The factor on each node's share of the slack. A process may have spent its share just before a restart, which its next
/// incarnation doesn't know: halved shares keep one restart of every node within a window inside the full slack.
const SLACK_FACTOR: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct Slice {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// One node's retry budget for one service.
///
/// Invariant: in every span of the window's length, this node's repeats are at most `ratio` times the mean of its requests
/// in that span and in the one before it, plus its share of the slack. A mean with fixed weights is additive over nodes:
/// together they stay within `ratio` times the larger of the two spans' requests, plus the slack. The maximum of the two
/// spans at each node is not additive: when callers move between nodes, each node counts its own largest span, and the sum
/// is up to twice that of any one span (580 repeats where 534 are allowed, in a test with eight nodes).
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    config: SharedRetryBudgetConfig,
    share: BudgetShare,
    slices: VecDeque<Slice>,
}

impl SharedRetryBudget {
    /// An unspent budget.
    pub fn new(config: SharedRetryBudgetConfig, share: BudgetShare) -> Self {
        SharedRetryBudget { config, share, slices: VecDeque::new() }
    }

    /// Changes the node's share when nodes join or leave.
    pub fn set_share(&mut self, share: BudgetShare) {
        self.share = share;
    }

    /// Changes the limits; earlier requests and repeats still count.
    pub fn set_config(&mut self, config: SharedRetryBudgetConfig) {
        self.config = config;
    }

    /// Records a caller's request for the service.
    pub fn record_request(&mut self, now: Timestamp) {
        self.slice(now).requests += 1;
    }

    /// Spends one repeat; `false` when the budget is used up.
    #[must_use]
    pub fn try_repeat(&mut self, now: Timestamp) -> bool {
        let allowed = self.left(now) >= 1.0;
        if allowed {
            self.slice(now).repeats += 1;
        }
        allowed
    }

    /// The remaining repeats at `now`; may be fractional.
    ///
    /// A repeat counts in every window that contains it, including those that end later. The budget has to hold in each of
    /// them even if no further request arrives.
    pub fn left(&self, now: Timestamp) -> f64 {
        let counts = CountsByAge::new(&self.slices, slice_number(now), self.slices_retained());
        let slack_share = self.config.slack * SLACK_FACTOR / f64::from(self.share.nodes.max(1));
        let window = self.window_slices();
        let remaining_in = |later: usize| {
            let allowed = self.config.ratio * counts.mean_requests_in(window, later);
            allowed + slack_share - counts.repeats_in(window, later)
        };
        (0..=window).map(remaining_in).fold(f64::INFINITY, f64::min).max(0.0)
    }

    fn window_slices(&self) -> usize {
        usize::try_from(self.config.window.as_micros() / SLICE.as_micros()).unwrap_or(usize::MAX)
    }

    /// The number of slices that windows which have not ended yet, and the windows before them, can cover.
    fn slices_retained(&self) -> usize {
        2 * self.window_slices()
    }

    fn slice(&mut self, now: Timestamp) -> &mut Slice {
        let number = slice_number(now);
        if self.slices.back().is_none_or(|slice| slice.number < number) {
            self.slices.push_back(Slice { number, requests: 0, repeats: 0 });
        }
        let retained = self.slices_retained() as u64;
        while self.slices.front().is_some_and(|slice| slice.number + retained < number) {
            self.slices.pop_front();
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}

/// Prefix sums of requests and repeats: entry `n` is the sum of the `n` newest slices.
struct CountsByAge {
    requests: Vec<u32>,
    repeats: Vec<u32>,
}

impl CountsByAge {
    fn new(slices: &VecDeque<Slice>, current: u64, retained: usize) -> Self {
        let mut requests = vec![0; retained + 1];
        let mut repeats = vec![0; retained + 1];
        for slice in slices {
            let age = usize::try_from(current.saturating_sub(slice.number)).unwrap_or(usize::MAX);
            if age < retained {
                requests[age + 1] += slice.requests;
                repeats[age + 1] += slice.repeats;
            }
        }
        for newest in 1..=retained {
            requests[newest] += requests[newest - 1];
            repeats[newest] += repeats[newest - 1];
        }
        CountsByAge { requests, repeats }
    }

    /// Repeats in a window that ends `later` slices from now. Its first slice may be only partly inside, and counts.
    fn repeats_in(&self, window: usize, later: usize) -> f64 {
        f64::from(self.repeats[window - later + 1])
    }

    /// The mean of the requests in a window that ends `later` slices from now and in the one before it, as far as they
    /// are known. The first slice of the two may be only partly inside, and doesn't count.
    fn mean_requests_in(&self, window: usize, later: usize) -> f64 {
        f64::from(self.requests[2 * window - later]) / 2.0
    }
}

fn slice_number(now: Timestamp) -> u64 {
    now.as_micros() / SLICE.as_micros() as u64
}
