//! Which connections a request has been sent over.

use std::cell::RefCell;
use std::rc::Rc;

/// Identifies a connection of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionNumber(pub u64);

/// The connections that a request has been sent over. Clones share the list.
#[derive(Clone, Debug, Default)]
pub struct UsedConnections {
    numbers: Rc<RefCell<Vec<ConnectionNumber>>>,
}

impl UsedConnections {
    /// Adds a connection.
    pub fn add(&self, number: ConnectionNumber) {
        self.numbers.borrow_mut().push(number);
    }

    /// Whether the request has been sent over this connection.
    pub fn contains(&self, number: ConnectionNumber) -> bool {
        self.numbers.borrow().contains(&number)
    }
}
