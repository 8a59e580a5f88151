//! Faults of a stand-in engine.

use std::time::Duration;

use fastrand::Rng;

/// How a stand-in engine misbehaves. Shares go from 0, never, to 1, always.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineFaults {
    /// Time that each answer is held back before it begins.
    pub answer_delay: Duration,
    /// The share of requests refused as `full`.
    pub refusal: f64,
    /// The share of lines before which the stream is cut.
    pub cut: f64,
    /// The share of lines that are sent twice.
    pub doubled_line: f64,
    /// The share of lines before which a line of another request is sent.
    pub foreign_line: f64,
}

/// The faults that strike one line of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LineFaults {
    pub(super) cut: bool,
    pub(super) doubled: bool,
    pub(super) foreign: bool,
}

impl EngineFaults {
    pub(super) fn refuses(&self, random: &mut Rng) -> bool {
        random.f64() < self.refusal
    }

    pub(super) fn of_line(&self, random: &mut Rng) -> LineFaults {
        LineFaults {
            cut: random.f64() < self.cut,
            doubled: random.f64() < self.doubled_line,
            foreign: random.f64() < self.foreign_line,
        }
    }
}
