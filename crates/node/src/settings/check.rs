//! Checks on values, with errors that name the key, the value and what is allowed.

use std::fmt;
use std::ops::RangeInclusive;

use displaydoc::Display;
use havengate_core::world::Address;

/// `{key}` is {value}; allowed: {allowed}
#[derive(Clone, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub struct InvalidValue {
    /// The key as it is written in the file, with the tables that it stands in: `limits.body_maximum`.
    pub key: String,
    /// The value that was given, as people write it.
    pub value: String,
    /// The values that would be accepted, in words.
    pub allowed: String,
}

/// Collects what is wrong with a set of values, so that one run names all of it.
#[derive(Clone, Debug, Default)]
pub struct ValueCheck {
    problems: Vec<InvalidValue>,
}

impl ValueCheck {
    /// A check that has found nothing yet.
    pub fn new() -> Self {
        ValueCheck::default()
    }

    /// Records `key` with `value` unless `holds`.
    pub fn require(&mut self, holds: bool, key: &str, value: impl fmt::Display, allowed: impl fmt::Display) {
        if !holds {
            let (value, allowed) = (value.to_string(), allowed.to_string());
            self.problems.push(InvalidValue { key: key.to_owned(), value, allowed });
        }
    }

    /// Requires that `value` lies in `range`; `show` writes the value and the ends of the range as people do.
    pub fn in_range<T: PartialOrd + Copy, D: fmt::Display>(
        &mut self,
        key: &str,
        value: T,
        range: RangeInclusive<T>,
        show: impl Fn(T) -> D,
    ) {
        let allowed = format!("{} to {}", show(*range.start()), show(*range.end()));
        self.require(range.contains(&value), key, show(value), allowed);
    }

    /// Requires an address that others can connect to: a specified IP number and a port other than 0.
    pub fn reachable(&mut self, key: &str, address: Address) {
        let reachable = !address.0.ip().is_unspecified() && address.0.port() != 0;
        let allowed = "an IP number that others can connect to (not 0.0.0.0 or ::) with a port from 1 to 65535";
        self.require(reachable, key, address, allowed);
    }

    /// Everything that was found.
    ///
    /// # Errors
    /// The problems, in the order in which they were found, when there are any.
    pub fn finish(self) -> Result<(), Vec<InvalidValue>> {
        if self.problems.is_empty() { Ok(()) } else { Err(self.problems) }
    }
}
