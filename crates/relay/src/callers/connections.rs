//! The connections of callers that are open at once.
//!
//! When there are too many, the one that has made no progress for the longest time is closed for a new one. A connection
//! whose request may run is never closed for another.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use tokio::sync::Notify;

/// The open connections of callers. Clones share them.
#[derive(Clone)]
pub struct CallerConnections {
    table: Rc<RefCell<Table>>,
}

struct Table {
    maximum: usize,
    next_id: u64,
    connections: BTreeMap<u64, Rc<ConnectionProgress>>,
}

/// What happens on a connection.
pub struct ConnectionProgress {
    /// Whether a request on it is read in full and its answer not handed over yet.
    is_running: Cell<bool>,
    /// Whether an answer was handed over and is not written yet.
    is_unwritten: Cell<bool>,
    /// When bytes were last received or sent, or an answer was handed over.
    last: Cell<Instant>,
    is_closed: Cell<bool>,
    closed: Notify,
}

impl ConnectionProgress {
    fn new() -> Self {
        ConnectionProgress {
            is_running: Cell::new(false),
            is_unwritten: Cell::new(false),
            last: Cell::new(Instant::now()),
            is_closed: Cell::new(false),
            closed: Notify::new(),
        }
    }

    /// Records that bytes were received or sent.
    pub fn record(&self) {
        self.last.set(Instant::now());
    }

    /// Records that all bytes handed over so far are written to the connection.
    pub fn record_written(&self) {
        self.is_unwritten.set(false);
    }

    fn close(&self) {
        self.is_closed.set(true);
        self.closed.notify_one();
    }
}

impl CallerConnections {
    /// At most `maximum` connections.
    pub fn new(maximum: usize) -> Self {
        CallerConnections { table: Rc::new(RefCell::new(Table { maximum, next_id: 0, connections: BTreeMap::new() })) }
    }

    /// The number of open connections.
    pub fn count(&self) -> usize {
        self.table.borrow().connections.len()
    }

    /// The number of connections with an answer that was handed over and is not written yet.
    pub fn unwritten(&self) -> usize {
        self.table.borrow().connections.values().filter(|progress| progress.is_unwritten.get()).count()
    }

    /// Counts a new connection, for which another one may be closed. `None` if requests run on all of them.
    pub fn open(&self) -> Option<OpenConnection> {
        let mut table = self.table.borrow_mut();
        if table.connections.len() >= table.maximum && !table.close_idle() {
            return None;
        }
        let id = table.next_id;
        table.next_id += 1;
        let progress = Rc::new(ConnectionProgress::new());
        table.connections.insert(id, Rc::clone(&progress));
        Some(OpenConnection { connections: self.clone(), id, progress })
    }
}

impl Table {
    /// Closes the connection that has made no progress for the longest time; false if requests run on all of them.
    fn close_idle(&mut self) -> bool {
        let idle = self.connections.iter().filter(|(_, progress)| !progress.is_running.get());
        let Some(id) = idle.min_by_key(|(_, progress)| progress.last.get()).map(|(id, _)| *id) else {
            return false;
        };
        if let Some(progress) = self.connections.remove(&id) {
            let idle_ms = progress.last.get().elapsed().as_millis();
            log::warn!(event = "connection_evicted", idle_ms, connections = self.connections.len(); "");
            progress.close();
        }
        true
    }
}

/// An open connection, counted until it is dropped.
pub struct OpenConnection {
    connections: CallerConnections,
    id: u64,
    progress: Rc<ConnectionProgress>,
}

impl OpenConnection {
    /// The progress on this connection, for its socket.
    pub fn progress(&self) -> Rc<ConnectionProgress> {
        Rc::clone(&self.progress)
    }

    /// Waits until the connection has to be closed for another one.
    pub async fn closed(&self) {
        while !self.progress.is_closed.get() {
            self.progress.closed.notified().await;
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.table.borrow_mut().connections.remove(&self.id);
    }
}

/// A request on a connection, until its answer is handed over.
pub struct ConnectionRequest {
    progress: Rc<ConnectionProgress>,
}

impl ConnectionRequest {
    /// Begins a request that is not read in full yet.
    pub fn begin(progress: Rc<ConnectionProgress>) -> Self {
        ConnectionRequest { progress }
    }

    /// Records that the request is read in full: from now on it may run.
    pub fn runs(&self) {
        self.progress.is_running.set(true);
    }
}

impl Drop for ConnectionRequest {
    fn drop(&mut self) {
        self.progress.is_running.set(false);
        self.progress.is_unwritten.set(true);
        self.progress.record();
    }
}
