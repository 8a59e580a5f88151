//! The connections of peers that are open, so that a node that stops cuts them.

use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Open connections. Once cut, no further ones are taken in.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenStreams {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    is_cut: bool,
    opened: u64,
    streams: BTreeMap<u64, TcpStream>,
}

/// Keeps a connection among the open ones until it is dropped.
#[derive(Debug)]
pub(super) struct OpenStream {
    streams: OpenStreams,
    number: u64,
}

impl OpenStreams {
    /// Takes a connection in.
    ///
    /// # Errors
    /// When the connections have been cut, or the socket has no second handle.
    pub(super) fn add(&self, stream: &TcpStream) -> io::Result<OpenStream> {
        let handle = stream.try_clone()?;
        let mut state = self.lock();
        if state.is_cut {
            return Err(io::ErrorKind::NotConnected.into());
        }
        state.opened += 1;
        let number = state.opened;
        state.streams.insert(number, handle);
        drop(state);
        Ok(OpenStream { streams: self.clone(), number })
    }

    /// Cuts all connections; whoever reads or writes one sees its end.
    pub(super) fn cut(&self) {
        let mut state = self.lock();
        state.is_cut = true;
        for stream in std::mem::take(&mut state.streams).into_values() {
            // Fails only when the other side has cut it already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.streams.lock().streams.remove(&self.number);
    }
}
