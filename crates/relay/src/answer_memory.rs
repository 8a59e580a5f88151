//! The memory of answers that are buffered: of back ends that have not sent all, and for callers that have not taken all.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};

/// An answer up to this size is buffered in any case.
const SMALL_ANSWER_MAXIMUM_BYTES: usize = 16 * 1024;

/// The memory that buffered answers use together. Clones share it.
#[derive(Clone, Debug)]
pub struct AnswerMemory {
    used: Arc<AtomicUsize>,
    maximum: usize,
}

impl AnswerMemory {
    /// A memory of `maximum` bytes.
    pub fn new(maximum: usize) -> Self {
        AnswerMemory { used: Arc::default(), maximum }
    }

    /// The bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Begins an answer.
    pub fn begin(&self) -> BufferedAnswer {
        BufferedAnswer { bytes: BytesMut::new(), counted: 0, memory: self.clone() }
    }
}

/// An answer, or its beginning, in memory. Dropping it frees the memory.
#[derive(Debug)]
pub struct BufferedAnswer {
    bytes: BytesMut,
    counted: usize,
    memory: AnswerMemory,
}

impl BufferedAnswer {
    /// The number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Whether the answer may grow by `additional` bytes.
    pub fn has_room(&self, additional: usize) -> bool {
        let grown = self.bytes.len() + additional;
        grown <= SMALL_ANSWER_MAXIMUM_BYTES || self.memory.used() + additional <= self.memory.maximum
    }

    /// Appends bytes, also beyond the maximum.
    pub fn append(&mut self, piece: &[u8]) {
        self.bytes.extend_from_slice(piece);
        self.memory.used.fetch_add(piece.len(), Ordering::Relaxed);
        self.counted += piece.len();
    }

    /// The bytes, which count as used until the last reference to them is dropped.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for BufferedAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for BufferedAnswer {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.counted, Ordering::Relaxed);
    }
}
