//! Accepts connections from peers and hands each to its service, on a thread of its own.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use havengate_core::membership::Member;
use havengate_core::world::Address;
use havengate_wire::{Hello, Purpose, WireError, read_hello, write_hello};

use super::open_streams::OpenStreams;

/// How long a peer may take for its introduction. A connection that says nothing would hold its thread for ever.
const HELLO_WITHIN: Duration = Duration::from_secs(2);

/// The pause after a failed accept, for example for want of file descriptors; without it the loop would spin.
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(50);

/// Serves the connections of peers.
pub trait ConnectionService: Send + Sync + 'static {
    /// This node, as it introduces itself.
    fn member(&self) -> Member;

    /// Serves a connection for control messages until it ends.
    fn serve_control(&self, peer: Member, stream: TcpStream);

    /// Serves a connection for requests until it ends.
    fn serve_forward(&self, peer: Member, stream: TcpStream);
}

/// The socket on which peers connect.
pub struct PeerListener {
    address: Address,
    stopped: Arc<AtomicBool>,
    streams: OpenStreams,
}

impl PeerListener {
    /// Listens on `address` and serves connections until it is stopped.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn start(address: Address, service: Arc<dyn ConnectionService>) -> io::Result<Self> {
        let listener = TcpListener::bind(address.0)?;
        let address = Address(listener.local_addr()?);
        let stopped = Arc::new(AtomicBool::new(false));
        let streams = OpenStreams::default();
        let acceptor = Acceptor { service, stopped: Arc::clone(&stopped), streams: streams.clone() };
        thread::Builder::new().name("peer-accept".to_owned()).spawn(move || acceptor.accept(&listener))?;
        Ok(PeerListener { address, stopped, streams })
    }

    /// Where peers connect.
    pub fn address(&self) -> Address {
        self.address
    }

    /// Accepts no further connections and cuts those that are open: peers that kept one would go on sending to this life
    /// of the node when the next one listens at the same address.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        self.streams.cut();
        // The accepting thread sees the flag only after its next accept: give it one.
        let _ = TcpStream::connect_timeout(&self.address.0, HELLO_WITHIN);
    }
}

impl Drop for PeerListener {
    fn drop(&mut self) {
        self.stop();
    }
}

/// The accepting thread's part of the listener.
struct Acceptor {
    service: Arc<dyn ConnectionService>,
    stopped: Arc<AtomicBool>,
    streams: OpenStreams,
}

impl Acceptor {
    fn accept(&self, listener: &TcpListener) {
        loop {
            let accepted = listener.accept();
            if self.stopped.load(Ordering::Acquire) {
                return;
            }
            match accepted.and_then(|(stream, _)| self.start(stream)) {
                Ok(()) => {}
                Err(error) => {
                    log::error!(error:% = error; "peer_accept_failed");
                    thread::sleep(PAUSE_AFTER_ERROR);
                }
            }
        }
    }

    /// Serves a connection on a thread of its own.
    fn start(&self, stream: TcpStream) -> io::Result<()> {
        let service = Arc::clone(&self.service);
        let open = self.streams.add(&stream)?;
        let serve_while_open = move || {
            serve(stream, &*service);
            drop(open);
        };
        thread::Builder::new().name("peer".to_owned()).spawn(serve_while_open).map(drop)
    }
}

fn serve(mut stream: TcpStream, service: &dyn ConnectionService) {
    match introduce(&mut stream, service) {
        Ok(hello) => match hello.purpose {
            Purpose::Control => service.serve_control(hello.member, stream),
            Purpose::Forward => service.serve_forward(hello.member, stream),
        },
        Err(error) => log::warn!(error:% = error; "peer_refused"),
    }
}

fn introduce(stream: &mut TcpStream, service: &dyn ConnectionService) -> Result<Hello, WireError> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(HELLO_WITHIN))?;
    stream.set_write_timeout(Some(HELLO_WITHIN))?;
    let hello = read_hello(stream)?;
    write_hello(stream, Hello::new(service.member(), hello.purpose))?;
    stream.set_read_timeout(None)?;
    Ok(hello)
}
