//! How many lines a second may be logged: ordinary ones are left out first, failures last.

use std::time::Duration;

use log::Level;

/// Limits of a [`LineBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineBudgetConfig {
    /// Lines a second that may be logged for long.
    pub lines_per_second: f64,
    /// Lines that may be logged at once after a quiet time.
    pub burst: f64,
    /// The share of the burst that only warnings and errors may use, from 0 to 1.
    pub kept_for_failures: f64,
}

impl Default for LineBudgetConfig {
    fn default() -> Self {
        // A node of a quarter of a core takes some 50 requests a second, with one or two lines each.
        LineBudgetConfig { lines_per_second: 200.0, burst: 400.0, kept_for_failures: 0.5 }
    }
}

/// What may still be logged.
///
/// Invariant: over any period, lines are at most `lines_per_second` times the period plus `burst`.
#[derive(Clone, Debug)]
pub struct LineBudget {
    config: LineBudgetConfig,
    balance: f64,
    counted_until: Duration,
}

impl LineBudget {
    /// A full budget.
    pub fn new(config: LineBudgetConfig) -> Self {
        LineBudget { config, balance: config.burst, counted_until: Duration::ZERO }
    }

    /// Whether a line of `level` may be logged at `now`, a time since any fixed start; if so, it is counted.
    #[must_use]
    pub fn admit(&mut self, level: Level, now: Duration) -> bool {
        let passed = now.saturating_sub(self.counted_until);
        self.counted_until = self.counted_until.max(now);
        let filled = self.balance + passed.as_secs_f64() * self.config.lines_per_second;
        self.balance = filled.min(self.config.burst);
        let kept = if level <= Level::Warn { 0.0 } else { self.config.burst * self.config.kept_for_failures };
        let admitted = self.balance >= kept + 1.0;
        if admitted {
            self.balance -= 1.0;
        }
        admitted
    }
}
