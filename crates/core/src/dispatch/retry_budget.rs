//! A retry budget: a token bucket that is filled by traffic, so that retries stay a bounded share of it under failures.

/// Limits of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries that each first attempt adds to the budget, from 0 to 1. With 0.1, retries are at most a tenth of the
    /// traffic.
    pub ratio: f64,
    /// The highest balance, which is also the initial one. It bounds a burst of retries.
    pub burst: f64,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        RetryBudgetConfig { ratio: 0.1, burst: 10.0 }
    }
}

impl RetryBudgetConfig {
    /// Whether the limits are valid: a ratio from 0 to 1 and a burst that is finite and not negative.
    pub fn is_valid(&self) -> bool {
        (0.0..=1.0).contains(&self.ratio) && self.burst.is_finite() && self.burst >= 0.0
    }
}

/// A token bucket of retries: first attempts add to it and retries withdraw from it.
///
/// Over any period, retries are at most `ratio` times the first attempts of the period plus `burst`: a withdrawal needs
/// a whole token, and tokens come from first attempts only.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget with a full balance.
    pub fn new(config: RetryBudgetConfig) -> Self {
        RetryBudget { config, balance: config.burst }
    }

    /// Records a first attempt, which adds [`RetryBudgetConfig::ratio`] to the balance.
    pub fn record_first_attempt(&mut self) {
        self.balance = (self.balance + self.config.ratio).min(self.config.burst);
    }

    /// Withdraws one retry; `false` if the budget is used up and the request must not be retried.
    #[must_use]
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }

    /// The remaining retries, including a fraction.
    pub fn balance(&self) -> f64 {
        self.balance
    }
}
