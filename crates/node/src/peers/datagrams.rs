//! Datagrams between nodes, for membership: small, frequent, and allowed to get lost.

use std::io;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use havengate_core::world::Address;
use havengate_wire::{decode, encode};
use speedy::{LittleEndian, Readable, Writable};

use super::link::{LinkCounters, LinkGate};

/// The largest datagram that is read; larger ones are cut by the socket and fail to decode.
const DATAGRAM_MAXIMUM_BYTES: usize = 64 * 1024;

/// How often the receiving thread looks whether it should stop.
const STOP_CHECK_EVERY: Duration = Duration::from_millis(200);

/// Sends and receives datagrams on the node's address for peers.
pub struct DatagramLink {
    socket: UdpSocket,
    gate: Arc<dyn LinkGate>,
    counters: Arc<LinkCounters>,
    stopped: Arc<AtomicBool>,
}

impl DatagramLink {
    /// Binds `address` and hands each message that arrives to `receive`, on a thread of its own.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn start<Message>(
        address: Address,
        gate: Arc<dyn LinkGate>,
        counters: Arc<LinkCounters>,
        receive: impl Fn(Address, Message) + Send + 'static,
    ) -> io::Result<Self>
    where
        Message: for<'a> Readable<'a, LittleEndian> + 'static,
    {
        let socket = UdpSocket::bind(address.0)?;
        socket.set_read_timeout(Some(STOP_CHECK_EVERY))?;
        let stopped = Arc::new(AtomicBool::new(false));
        let receiver =
            Receiver { socket: socket.try_clone()?, counters: Arc::clone(&counters), stopped: Arc::clone(&stopped) };
        thread::Builder::new().name("datagrams".to_owned()).spawn(move || receiver.run(receive))?;
        Ok(DatagramLink { socket, gate, counters, stopped })
    }

    /// Sends a message; it may get lost.
    pub fn send(&self, to: Address, message: &impl Writable<LittleEndian>) {
        if !self.gate.is_open(to) {
            return;
        }
        let sent = encode(message).ok().and_then(|bytes| self.socket.send_to(&bytes, to.0).ok());
        match sent {
            Some(bytes) => self.counters.sent(bytes),
            None => self.counters.dropped(),
        }
    }
}

impl Drop for DatagramLink {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
    }
}

struct Receiver {
    socket: UdpSocket,
    counters: Arc<LinkCounters>,
    stopped: Arc<AtomicBool>,
}

impl Receiver {
    fn run<Message>(&self, receive: impl Fn(Address, Message))
    where
        Message: for<'a> Readable<'a, LittleEndian>,
    {
        let mut buffer = vec![0; DATAGRAM_MAXIMUM_BYTES];
        while !self.stopped.load(Ordering::Acquire) {
            let Ok((bytes, from)) = self.socket.recv_from(&mut buffer) else { continue };
            self.counters.received(bytes);
            match decode(&buffer[..bytes]) {
                Ok(message) => receive(Address(from), message),
                Err(error) => log::warn!(from:% = from, error:% = error; "datagram_malformed"),
            }
        }
    }
}
