//! How one list becomes another, told by what is new in it.

use std::collections::HashMap;
use std::hash::Hash;

use speedy::{Readable, Writable};

/// A part of the new list.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ListStep<T> {
    /// So many items of the former list, from this one on.
    Keep {
        /// The place of the first one, from 0.
        from: u32,
        /// How many.
        count: u32,
    },
    /// Items that the former list doesn't have.
    Insert(Vec<T>),
}

/// The parts of the new list, in order.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ListChanges<T> {
    steps: Vec<ListStep<T>>,
}

impl<T: Clone + Eq + Hash> ListChanges<T> {
    /// What makes `target` of `base`.
    pub fn between(base: &[T], target: &[T]) -> Self {
        let places: HashMap<&T, usize> = base.iter().enumerate().map(|(place, item)| (item, place)).collect();
        let mut steps = Vec::new();
        for item in target {
            let place = places.get(item).and_then(|place| u32::try_from(*place).ok());
            match (place, steps.last_mut()) {
                (Some(place), Some(ListStep::Keep { from, count })) if *from + *count == place => *count += 1,
                (Some(place), _) => steps.push(ListStep::Keep { from: place, count: 1 }),
                (None, Some(ListStep::Insert(items))) => items.push(item.clone()),
                (None, _) => steps.push(ListStep::Insert(vec![item.clone()])),
            }
        }
        ListChanges { steps }
    }

    /// The new list; `None` when `base` is not the list that this was made from, as far as that shows.
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
