//! Whether a request can still be in time, which decides the order of requests at engines.

/// Whether a request's first token is expected within its target.
///
/// Engines admit the more urgent requests first. A prompt that would be late anyway waits behind those that can be in
/// time: otherwise, all would be late under overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// It can be in time.
    InTime,
    /// It is late already, or will be.
    Late,
}

impl Urgency {
    /// Whether a prompt of this urgency waits behind one of `other`.
    pub fn waits_behind(self, other: Urgency) -> bool {
        self == Urgency::Late && other == Urgency::InTime
    }
}
