//! Lookup, comparison and replacement of items in a configuration's lists by key.

use std::collections::BTreeMap;

use super::content::{PolicyChoice, TrialArm};
use super::replacement::{ChangeError, Replacement};
use crate::world::{Contract, Engine, Link, Model, Tenant, Zone};

/// An element of a configuration list with a key that is unique in the list.
pub(super) trait Item: Clone + PartialEq {
    /// The name of this kind of item in messages to operators.
    const KIND: &'static str;

    /// The item's key, unique in its list.
    fn key(&self) -> String;

    /// Whether both items have the same key. Does not allocate, since lists of thousands of items are searched with it.
    fn has_same_key(&self, other: &Self) -> bool;
}

macro_rules! named_item {
    ($($type:ty => $kind:literal),+ $(,)?) => {
        $(impl Item for $type {
            const KIND: &'static str = $kind;

            fn key(&self) -> String {
                self.name.to_string()
            }

            fn has_same_key(&self, other: &Self) -> bool {
                self.name == other.name
            }
        })+
    };
}

named_item!(
    Zone => "zone",
    Model => "model",
    Engine => "engine",
    Contract => "contract",
    Tenant => "tenant",
    PolicyChoice => "role policy",
    TrialArm => "arm",
);

impl Item for Link {
    const KIND: &'static str = "link";

    fn key(&self) -> String {
        let (low, high) = if self.from <= self.to { (&self.from, &self.to) } else { (&self.to, &self.from) };
        format!("{low} - {high}")
    }

    fn has_same_key(&self, other: &Self) -> bool {
        let same = self.from == other.from && self.to == other.to;
        same || (self.from == other.to && self.to == other.from)
    }
}

/// Returns the replacements that turn `old` into `new`, sorted by key. The order of items in the lists is ignored.
pub(super) fn replacements<T: Item>(old: &[T], new: &[T]) -> impl Iterator<Item = Replacement<T>> {
    let mut by_key: BTreeMap<String, Replacement<T>> = BTreeMap::new();
    for item in old {
        by_key.insert(item.key(), Replacement { from: Some(item.clone()), to: None });
    }
    for item in new {
        let entry = by_key.entry(item.key()).or_insert(Replacement { from: None, to: None });
        entry.to = Some(item.clone());
    }
    by_key.into_values().filter(|replacement| replacement.from != replacement.to)
}

/// Applies one replacement to a list.
///
/// # Errors
/// When the list does not contain the old value, or already contains the item to be added.
pub(super) fn replace_item<T: Item>(items: &mut Vec<T>, replacement: &Replacement<T>) -> Result<(), ChangeError> {
    let target = target_item(replacement).ok_or(ChangeError::Malformed { kind: T::KIND })?;
    let position = items.iter().position(|item| item.has_same_key(target));
    if position.map(|position| &items[position]) != replacement.from.as_ref() {
        return Err(ChangeError::OtherValue { kind: T::KIND, name: target.key() });
    }
    match (position, &replacement.to) {
        (Some(position), Some(to)) => items[position] = to.clone(),
        (Some(position), None) => drop(items.remove(position)),
        (None, Some(to)) => items.push(to.clone()),
        (None, None) => {}
    }
    Ok(())
}

/// The item that the replacement changes; `None` when its two sides have different keys or both are absent.
fn target_item<T: Item>(replacement: &Replacement<T>) -> Option<&T> {
    match (&replacement.from, &replacement.to) {
        (Some(from), Some(to)) if !from.has_same_key(to) => None,
        (from, to) => from.as_ref().or(to.as_ref()),
    }
}
