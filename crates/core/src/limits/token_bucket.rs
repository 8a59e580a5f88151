//! A token bucket with a variable rate.

use std::time::Duration;

use crate::time::Timestamp;

/// Work in tokens that may be admitted now. The balance is negative after a request for more work than the bucket holds.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    balance: f64,
    rate: f64,
    burst: Duration,
    filled_at: Timestamp,
}

impl TokenBucket {
    /// An empty bucket without a rate.
    pub fn new(burst: Duration, now: Timestamp) -> Self {
        TokenBucket { balance: 0.0, rate: 0.0, burst, filled_at: now }
    }

    /// Changes the rate, in tokens per second.
    pub fn set_rate(&mut self, rate: f64, now: Timestamp) {
        self.fill(now);
        self.rate = rate;
    }

    /// Adds tokens in addition to the rate; they may exceed the capacity that the rate allows.
    pub fn add(&mut self, tokens: f64) {
        self.balance += tokens;
    }

    /// Returns tokens that were taken and not used, up to the capacity.
    pub fn refund(&mut self, tokens: f64, now: Timestamp) {
        self.fill(now);
        self.balance = (self.balance + tokens).min(self.capacity().max(self.balance));
    }

    /// Takes tokens if they are available, or if the bucket is full and its capacity is less than `tokens`.
    #[must_use]
    pub fn try_take(&mut self, tokens: f64, now: Timestamp) -> bool {
        self.fill(now);
        let required = self.required_balance(tokens);
        let is_available = self.balance >= required && (self.rate > 0.0 || self.balance >= tokens);
        if is_available {
            self.balance -= tokens;
        }
        is_available
    }

    /// Takes tokens whether they are available or not: missing tokens become a debt.
    pub fn take(&mut self, tokens: f64, now: Timestamp) {
        self.fill(now);
        self.balance -= tokens;
    }

    /// Takes up to `tokens`, as many as are available, and returns their number.
    pub fn take_up_to(&mut self, tokens: f64, now: Timestamp) -> f64 {
        self.fill(now);
        let taken = tokens.min(self.balance).max(0.0);
        self.balance -= taken;
        taken
    }

    /// Time until [`TokenBucket::try_take`] succeeds at the current rate; `None` without a rate.
    pub fn wait_for(&self, tokens: f64) -> Option<Duration> {
        let missing = (self.required_balance(tokens) - self.balance).max(0.0);
        (self.rate > 0.0).then(|| Duration::from_secs_f64((missing / self.rate).min(3_600.0)))
    }

    /// Tokens that were taken and have not accrued yet.
    pub fn debt(&self) -> f64 {
        (-self.balance).max(0.0)
    }

    fn required_balance(&self, tokens: f64) -> f64 {
        tokens.min(self.capacity())
    }

    fn capacity(&self) -> f64 {
        self.rate * self.burst.as_secs_f64()
    }

    fn fill(&mut self, now: Timestamp) {
        let accrued = self.rate * now.since(self.filled_at).as_secs_f64();
        self.filled_at = now.max(self.filled_at);
        self.balance = (self.balance + accrued).min(self.capacity().max(self.balance));
    }
}
