//! The mean over seeds and how sure it is.

use serde::Serialize;

/// A mean with the half-width of its 95 % interval by Student's t.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Interval {
    /// The mean.
    pub mean: f64,
    /// Half the width of the interval; 0 with a single value, which tells nothing of the spread.
    pub half_width: f64,
}

/// The 0.975 quantile of Student's t for 1, 2, ... degrees of freedom (tables of any statistics textbook).
const T_975: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131, 2.120,
    2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];

/// The quantile for more degrees of freedom than the table has: that of the normal distribution.
const NORMAL_975: f64 = 1.960;

impl Interval {
    /// The interval of the mean of `values`.
    pub fn of(values: &[f64]) -> Self {
        let count = values.len() as f64;
        if values.is_empty() {
            return Interval::default();
        }
        let mean = values.iter().sum::<f64>() / count;
        if values.len() == 1 {
            return Interval { mean, half_width: 0.0 };
        }
        let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0);
        let quantile = T_975.get(values.len() - 2).copied().unwrap_or(NORMAL_975);
        Interval { mean, half_width: quantile * (variance / count).sqrt() }
    }
}
