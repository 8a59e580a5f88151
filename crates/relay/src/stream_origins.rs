//! Where the streams of this node and of its peers began, and the searches for origins that this node doesn't know.

use std::cell::RefCell;
use std::rc::Rc;

use havengate_core::resumption::{OriginAnswer, OriginLookup, OriginSource, OriginTable, StreamKey, StreamOrigin};
use havengate_core::time::Timestamp;
use tokio::sync::mpsc;

/// The most searches at a time. Beyond it, an origin that this node doesn't know remains unknown.
const SEARCHES_MAXIMUM: usize = 256;

/// The answers that one search may leave unread; there are fewer queried peers.
const UNREAD_ANSWERS_MAXIMUM: usize = 32;

/// The origins of streams. Clones share the state.
#[derive(Clone, Default)]
pub struct StreamOrigins {
    shared: Rc<Shared>,
}

#[derive(Default)]
struct Shared {
    table: RefCell<OriginTable>,
    searches: RefCell<Vec<(StreamKey, mpsc::Sender<OriginAnswer>)>>,
}

impl StreamOrigins {
    /// Records where a stream began.
    pub fn record(
        &self,
        stream: StreamKey,
        origin: StreamOrigin,
        began: Timestamp,
        source: OriginSource,
        kept_until: Timestamp,
    ) {
        self.shared.table.borrow_mut().record(stream, origin, began, source, kept_until);
    }

    /// What this node knows of a stream.
    pub fn find(&self, stream: StreamKey) -> OriginLookup {
        self.shared.table.borrow().find(stream)
    }

    /// Calls `read` with the table.
    pub fn with_table<T>(&self, read: impl FnOnce(&OriginTable) -> T) -> T {
        read(&self.shared.table.borrow())
    }

    /// The number of streams whose origin is known.
    pub fn len(&self) -> usize {
        self.shared.table.borrow().len()
    }

    /// Whether no stream's origin is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Forgets the streams whose time is over.
    pub fn tidy(&self, now: Timestamp) {
        self.shared.table.borrow_mut().tidy(now);
    }

    /// Starts to collect the answers of peers about a stream until the receiver is dropped; `None` if there are too many
    /// searches.
    pub fn begin_search(&self, stream: StreamKey) -> Option<mpsc::Receiver<OriginAnswer>> {
        let mut searches = self.shared.searches.borrow_mut();
        searches.retain(|(_, answers)| !answers.is_closed());
        if searches.len() >= SEARCHES_MAXIMUM {
            return None;
        }
        let (sender, receiver) = mpsc::channel(UNREAD_ANSWERS_MAXIMUM);
        searches.push((stream, sender));
        Some(receiver)
    }

    /// Passes an answer to the searches for its stream. Returns whether there was any.
    pub fn receive_answer(&self, answer: &OriginAnswer) -> bool {
        let searches = self.shared.searches.borrow();
        let of_stream = searches.iter().filter(|(stream, _)| *stream == answer.stream);
        of_stream.fold(false, |received, (_, answers)| answers.try_send(answer.clone()).is_ok() || received)
    }
}
