//! A budget for retries: a token bucket that is filled by traffic, so that retries stay a share of it in any storm.

/// Limits of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries that each first attempt pays for, from 0 to 1. With 0.1, retries are at most a tenth of the traffic.
    pub ratio: f64,
    /// The most retries that may be saved up in quiet times; also the balance at the start. It bounds a burst.
    pub burst: f64,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        RetryBudgetConfig { ratio: 0.1, burst: 10.0 }
    }
}

impl RetryBudgetConfig {
    /// Whether the limits make sense: a ratio from 0 to 1 and a burst that is finite and not negative.
    pub fn is_valid(&self) -> bool {
        (0.0..=1.0).contains(&self.ratio) && self.burst.is_finite() && self.burst >= 0.0
    }
}

/// Counts what traffic has paid in and retries have used.
///
/// Over any period, retries are at most `ratio` times the first attempts of the period plus `burst`: a withdrawal needs
/// a whole token, and tokens come from first attempts only.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    balance: f64,
}

impl RetryBudget {
    /// A budget with a full balance.
    pub fn new(config: RetryBudgetConfig) -> Self {
        RetryBudget { config, balance: config.burst }
    }

    /// Records a first attempt, which pays for a part of a retry.
    pub fn record_first_attempt(&mut self) {
        self.balance = (self.balance + self.config.ratio).min(self.config.burst);
    }

    /// Takes one retry out of the budget; `false` when the budget is used up and the request must not be retried.
    #[must_use]
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }

    /// Retries that are left, with fractions.
    pub fn balance(&self) -> f64 {
        self.balance
    }
}
