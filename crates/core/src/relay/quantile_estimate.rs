//! A streaming estimate of a quantile of positive samples, stored as one number.

/// The step of the first sample, in natural logarithms: the prior may be wrong by a factor of ten.
const FIRST_STEP: f64 = 0.7;

/// The smallest step, reached after many samples: engines change slowly.
const LAST_STEP: f64 = 0.04;

/// An estimate as exported to metrics and logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The value.
    pub value: f64,
    /// The number of samples behind it; 0: the prior.
    pub samples: u32,
}

/// A quantile of a stream of positive samples. Each sample moves it by one step.
#[derive(Clone, Copy, Debug)]
pub struct QuantileEstimate {
    /// The logarithm of the prior; `logarithm` is that of the value.
    prior: f64,
    logarithm: f64,
    quantile: f64,
    samples: u32,
}

impl QuantileEstimate {
    /// An estimate without samples.
    pub fn new(prior: f64, quantile: f64) -> Self {
        QuantileEstimate { prior: prior.ln(), logarithm: prior.ln(), quantile, samples: 0 }
    }

    /// The value.
    pub fn value(&self) -> f64 {
        self.logarithm.exp()
    }

    /// The estimate moved towards the prior, so that only this share of its distance from the prior remains.
    pub fn decayed(mut self, share: f64) -> Self {
        self.logarithm = self.prior + (self.logarithm - self.prior) * share;
        self
    }

    /// The value and its number of samples.
    pub fn estimate(&self) -> Estimate {
        Estimate { value: self.value(), samples: self.samples }
    }

    /// Records a sample. An outlier moves the estimate by one step at most.
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
