//! A quantile of a stream of positive samples, held as one number.

/// How far the first sample moves an estimate, as a factor's logarithm: the prior may be wrong by ten times.
const FIRST_STEP: f64 = 0.7;

/// How far a sample moves an estimate that has seen many: engines change slowly.
const LAST_STEP: f64 = 0.04;

/// An estimate as metrics and logs show it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The value.
    pub value: f64,
    /// The samples that it rests on; 0: the prior.
    pub samples: u32,
}

/// A quantile of a stream of positive samples, which each sample moves a little.
#[derive(Clone, Copy, Debug)]
pub struct QuantileEstimate {
    /// The logarithms of the prior and of the value.
    prior: f64,
    logarithm: f64,
    quantile: f64,
    samples: u32,
}

impl QuantileEstimate {
    /// An estimate for which nothing was seen yet.
    pub fn new(prior: f64, quantile: f64) -> Self {
        QuantileEstimate { prior: prior.ln(), logarithm: prior.ln(), quantile, samples: 0 }
    }

    /// The value.
    pub fn value(&self) -> f64 {
        self.logarithm.exp()
    }

    /// What is left of the estimate when only this share of what it has learned counts, and the prior for the rest.
    pub fn decayed(mut self, share: f64) -> Self {
        self.logarithm = self.prior + (self.logarithm - self.prior) * share;
        self
    }

    /// The value and what it rests on.
    pub fn estimate(&self) -> Estimate {
        Estimate { value: self.value(), samples: self.samples }
    }

    /// Takes a sample in. However far off it is, it moves the estimate by one step at most.
    pub fn observe(&mut self, sample: f64) {
        if !sample.is_finite() || sample <= 0.0 {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let step = (FIRST_STEP / f64::from(self.samples).sqrt()).max(LAST_STEP);
        let direction = if sample.ln() > self.logarithm { self.quantile } else { self.quantile - 1.0 };
        self.logarithm += step * direction;
    }
}
