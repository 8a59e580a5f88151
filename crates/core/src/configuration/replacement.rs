//! The value of an item before and after a change.

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use speedy::{Context, Readable, Reader, Writable, Writer};

/// The value of one item before and after a change; `None` on one side means that the item is added or
/// removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Replacement<T> {
    /// The value that the change replaces.
    #[serde(default = "Option::default", skip_serializing_if = "Option::is_none")]
    pub from: Option<T>,
    /// The value after the change.
    #[serde(default = "Option::default", skip_serializing_if = "Option::is_none")]
    pub to: Option<T>,
}

impl<'a, C: Context, T: Readable<'a, C>> Readable<'a, C> for Replacement<T> {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        Ok(Replacement { from: Option::read_from(reader)?, to: Option::read_from(reader)? })
    }
}

impl<C: Context, T: Writable<C>> Writable<C> for Replacement<T> {
    fn write_to<W: ?Sized + Writer<C>>(&self, writer: &mut W) -> Result<(), C::Error> {
        self.from.write_to(writer)?;
        self.to.write_to(writer)
    }
}

/// The reason why a change can't be applied to this configuration. The configuration is unchanged.
#[derive(Clone, Debug, Display, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// {kind} `{name}` is not as the change expects it
    OtherValue {
        /// The kind of item.
        kind: &'static str,
        /// The item's name.
        name: String,
    },
    /// a change of a {kind} has neither an old nor a new value, or two that name different items
    Malformed {
        /// The kind of item.
        kind: &'static str,
    },
}
