//! Messages between nodes, each in one datagram.

use std::io;
use std::rc::Rc;

use havengate_core::world::Address;
use havengate_wire::{decode, encode};
use speedy::{LittleEndian, Readable, Writable};
use tokio::net::UdpSocket;

use crate::metrics::{NodeMessageKind, RelayMetrics};

/// A larger datagram could be fragmented on its way. Messages of variable length are truncated to fit.
pub const DATAGRAM_MAXIMUM_BYTES: usize = 1_400;

/// The bytes of the IPv4 and UDP headers.
const DATAGRAM_OVERHEAD_BYTES: usize = 28;

/// A socket for messages between nodes. Clones share it.
#[derive(Clone)]
pub struct Datagrams {
    socket: Rc<UdpSocket>,
    metrics: RelayMetrics,
}

impl Datagrams {
    /// Binds a socket at `address` for receiving and sending messages.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn bind(address: Address, metrics: RelayMetrics) -> io::Result<Self> {
        Ok(Datagrams { socket: Rc::new(UdpSocket::bind(address.0).await?), metrics })
    }

    /// Sends `message` to each of `receivers` and returns the bytes that were sent. A failed send is counted and
    /// otherwise handled like a lost datagram.
    pub async fn send<M: Writable<LittleEndian>>(
        &self,
        message: &M,
        kind: NodeMessageKind,
        receivers: &[Address],
    ) -> usize {
        let Some(bytes) = self.encode_within_limit(message) else {
            return 0;
        };
        let mut sent = 0;
        for receiver in receivers {
            match self.socket.send_to(&bytes, receiver.0).await {
                Ok(_) => sent += 1,
                Err(_) => self.metrics.record_dropped_message("not_sent"),
            }
        }
        let total_bytes = sent * (bytes.len() + DATAGRAM_OVERHEAD_BYTES);
        self.metrics.record_node_messages(kind, sent, total_bytes);
        total_bytes
    }

    /// Receives the next message. Datagrams that do not decode are dropped and counted.
    pub async fn receive<M: for<'a> Readable<'a, LittleEndian>>(&self) -> M {
        let mut buffer = [0; DATAGRAM_MAXIMUM_BYTES];
        loop {
            // The error belongs to a datagram that was sent earlier to a port without a listener.
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            match decode(&buffer[..length]) {
                Ok(message) => return message,
                Err(_) => self.metrics.record_dropped_message("malformed"),
            }
        }
    }

    fn encode_within_limit<M: Writable<LittleEndian>>(&self, message: &M) -> Option<Vec<u8>> {
        match encode(message) {
            Ok(bytes) if bytes.len() <= DATAGRAM_MAXIMUM_BYTES => Some(bytes),
            Ok(bytes) => {
                self.metrics.record_dropped_message("too_large");
                log::warn!(event = "message_too_large", bytes = bytes.len(); "");
                None
            }
            Err(error) => {
                self.metrics.record_dropped_message("unwritable");
                log::error!(event = "message_unwritable", error:% = error; "");
                None
            }
        }
    }
}
