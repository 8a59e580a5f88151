//! Differences between two lists: ranges kept from the base list and inserted items.

use std::collections::HashMap;
use std::hash::Hash;

use speedy::{Readable, Writable};

/// A section of the target list.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ListStep<T> {
    /// A range of items of the base list.
    Keep {
        /// Index of the first item, from 0.
        from: u32,
        /// Number of items.
        count: u32,
    },
    /// Items that the base list doesn't contain.
    Insert(Vec<T>),
}

/// The changes between two lists, as the sections of the target list in order.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ListChanges<T> {
    steps: Vec<ListStep<T>>,
}

impl<T: Clone + Eq + Hash> ListChanges<T> {
    /// The changes that turn `base` into `target`.
    pub fn between(base: &[T], target: &[T]) -> Self {
        let indexes: HashMap<&T, usize> = base.iter().enumerate().map(|(index, item)| (item, index)).collect();
        let mut steps = Vec::new();
        for item in target {
            let index = indexes.get(item).and_then(|index| u32::try_from(*index).ok());
            match (index, steps.last_mut()) {
                (Some(index), Some(ListStep::Keep { from, count })) if *from + *count == index => *count += 1,
                (Some(index), _) => steps.push(ListStep::Keep { from: index, count: 1 }),
                (None, Some(ListStep::Insert(items))) => items.push(item.clone()),
                (None, _) => steps.push(ListStep::Insert(vec![item.clone()])),
            }
        }
        ListChanges { steps }
    }

    /// Returns the target list; `None` when a kept range exceeds `base`. Any other difference between `base` and the list
    /// that the changes were made from goes undetected.
    pub fn apply(self, base: &[T]) -> Option<Vec<T>> {
        let mut target = Vec::new();
        for step in self.steps {
            match step {
                ListStep::Keep { from, count } => {
                    let end = from.checked_add(count)?;
                    target.extend_from_slice(base.get(from as usize..end as usize)?);
                }
                ListStep::Insert(items) => target.extend(items),
            }
        }
        Some(target)
    }
}
