//! The outcome of a duty call.

/// The outcome of a duty call, which names the holder of the lease and its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyAnswer {
    /// The receiver accepted the call.
    Taken,
    /// Refused: the receiver has seen a higher term, or it can't provide what the call asks for.
    Conflict,
    /// Refused: the receiver gets too many calls at present.
    Throttled,
    /// Refused, and an equal call would be refused as well.
    NotUnderstood,
    /// The call has not left this node.
    NotSent,
    /// The outcome is unknown: the call may take effect, possibly later.
    Unknown,
}

impl DutyAnswer {
    /// The value that logs and metrics use.
    pub fn code(self) -> &'static str {
        match self {
            DutyAnswer::Taken => "taken",
            DutyAnswer::Conflict => "conflict",
            DutyAnswer::Throttled => "throttled",
            DutyAnswer::NotUnderstood => "not_understood",
            DutyAnswer::NotSent => "not_sent",
            DutyAnswer::Unknown => "unknown",
        }
    }
}
