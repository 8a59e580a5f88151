//! A token bucket whose rate changes.

use std::time::Duration;

use crate::time::Timestamp;

/// Work in tokens that may be admitted now. The balance is negative after a request of more work than the bucket holds.
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

    /// Changes the rate, in tokens a second.
    pub fn set_rate(&mut self, rate: f64, now: Timestamp) {
        self.fill(now);
        self.rate = rate;
    }

    /// Adds tokens that come on top of the rate; they may exceed what the rate alone could save up.
    pub fn add(&mut self, tokens: f64) {
        self.balance += tokens;
    }

    /// Gives back tokens that were taken and not used.
    pub fn refund(&mut self, tokens: f64, now: Timestamp) {
        self.fill(now);
        self.balance = (self.balance + tokens).min(self.capacity().max(self.balance));
    }

    /// Takes tokens if they are there, or if the bucket is full and could never hold so many.
    #[must_use]
    pub fn try_take(&mut self, tokens: f64, now: Timestamp) -> bool {
        self.fill(now);
        let needed = self.needed(tokens);
        let is_there = self.balance >= needed && (self.rate > 0.0 || self.balance >= tokens);
        if is_there {
            self.balance -= tokens;
        }
        is_there
    }

    /// Takes tokens whether they are there or not: what is missing becomes a debt.
    pub fn take(&mut self, tokens: f64, now: Timestamp) {
        self.fill(now);
        self.balance -= tokens;
    }

    /// Takes as many of the tokens as are there.
    pub fn take_up_to(&mut self, tokens: f64, now: Timestamp) -> f64 {
        self.fill(now);
        let taken = tokens.min(self.balance).max(0.0);
        self.balance -= taken;
        taken
    }

    /// Time until [`TokenBucket::try_take`] succeeds at the present rate; `None` without a rate.
    pub fn wait_for(&self, tokens: f64) -> Option<Duration> {
        let missing = (self.needed(tokens) - self.balance).max(0.0);
        (self.rate > 0.0).then(|| Duration::from_secs_f64((missing / self.rate).min(3_600.0)))
    }

    /// Tokens that were taken and not yet earned.
    pub fn debt(&self) -> f64 {
        (-self.balance).max(0.0)
    }

    fn needed(&self, tokens: f64) -> f64 {
        tokens.min(self.capacity())
    }

    fn capacity(&self) -> f64 {
        self.rate * self.burst.as_secs_f64()
    }

    fn fill(&mut self, now: Timestamp) {
        let earned = self.rate * now.since(self.filled_at).as_secs_f64();
        self.filled_at = now.max(self.filled_at);
        self.balance = (self.balance + earned).min(self.capacity().max(self.balance));
    }
}
