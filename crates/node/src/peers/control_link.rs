//! Control messages between nodes over TCP: one connection for each peer and direction, opened when it is needed.
//!
//! A message may get lost with its connection, or arrive twice; the state machines behind it repeat what matters.

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use havengate_core::world::Address;
use havengate_wire::{Hello, Purpose, WireError, read_counted_frame, read_hello, write_frame, write_hello};
use speedy::{LittleEndian, Readable, Writable};

use super::link::{LinkCounters, LinkGate};
use crate::control::CurrentMember;

/// Messages that wait for one peer. A peer that takes nothing in must not take this node's memory.
const QUEUE_MAXIMUM: usize = 256;

/// How long an idle connection and its thread are kept.
const IDLE_FOR: Duration = Duration::from_secs(30);

/// How long connecting and each write may take.
const SEND_WITHIN: Duration = Duration::from_millis(500);

/// Sends control messages to peers.
pub struct ControlLink<Message> {
    me: CurrentMember,
    gate: Arc<dyn LinkGate>,
    counters: Arc<LinkCounters>,
    queues: Mutex<BTreeMap<Address, Sender<Message>>>,
}

impl<Message: Writable<LittleEndian> + Send + 'static> ControlLink<Message> {
    /// A link that introduces itself as `me`.
    pub fn new(me: CurrentMember, gate: Arc<dyn LinkGate>, counters: Arc<LinkCounters>) -> Self {
        ControlLink { me, gate, counters, queues: Mutex::new(BTreeMap::new()) }
    }

    /// Sends a message without waiting; it may get lost.
    pub fn send(&self, to: Address, message: Message) {
        if !self.gate.is_open(to) {
            return;
        }
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(to).or_insert_with(|| self.open(to));
        match queue.try_send(message) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => self.counters.dropped(),
            Err(TrySendError::Disconnected(message)) => {
                *queue = self.open(to);
                // The new queue is empty, so there is room.
                let _ = queue.try_send(message);
            }
        }
    }

    fn open(&self, to: Address) -> Sender<Message> {
        let (queue, messages) = bounded(QUEUE_MAXIMUM);
        let sender = PeerSender { me: Arc::clone(&self.me), to, counters: Arc::clone(&self.counters), stream: None };
        let spawned = thread::Builder::new().name("control-out".to_owned()).spawn(move || sender.run(&messages));
        if let Err(error) = spawned {
            log::error!(peer:% = to, error:% = error; "control_thread_failed");
        }
        queue
    }
}

struct PeerSender {
    me: CurrentMember,
    to: Address,
    counters: Arc<LinkCounters>,
    stream: Option<TcpStream>,
}

impl PeerSender {
    /// Sends until the link is dropped or nothing has been sent for a while.
    fn run<Message: Writable<LittleEndian>>(mut self, messages: &Receiver<Message>) {
        while let Ok(message) = messages.recv_timeout(IDLE_FOR) {
            let reused = self.stream.is_some();
            let mut sent = self.send(&message);
            if sent.is_err() && reused {
                // The peer had closed the idle connection; a new one tells whether it is still there.
                sent = self.send(&message);
            }
            match sent {
                Ok(bytes) => self.counters.sent(bytes),
                Err(_) => self.counters.dropped(),
            }
        }
    }

    fn send<Message: Writable<LittleEndian>>(&mut self, message: &Message) -> Result<usize, WireError> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => self.connect()?,
        };
        let bytes = write_frame(&mut stream, message)?;
        self.stream = Some(stream);
        Ok(bytes)
    }

    fn connect(&self) -> Result<TcpStream, WireError> {
        let mut stream = TcpStream::connect_timeout(&self.to.0, SEND_WITHIN)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(SEND_WITHIN))?;
        stream.set_write_timeout(Some(SEND_WITHIN))?;
        write_hello(&mut stream, Hello::new(**self.me.load(), Purpose::Control))?;
        read_hello(&mut stream)?;
        Ok(stream)
    }
}

/// Reads control messages from a peer's connection and hands each to `receive`, until the connection ends.
pub fn receive_control<Message>(mut stream: TcpStream, counters: &LinkCounters, receive: impl Fn(Message))
where
    Message: for<'a> Readable<'a, LittleEndian>,
{
    loop {
        match read_counted_frame(&mut stream) {
            Ok((message, bytes)) => {
                counters.received(bytes);
                receive(message);
            }
            Err(WireError::Io(_)) => return,
            Err(error) => {
                log::warn!(error:% = error; "control_message_malformed");
                return;
            }
        }
    }
}
