//! A node of which only the control is real.

use std::time::{Duration, Instant};

use havengate_core::control::{ControlAction, ControlConfig, ControlInput, ControlMessage, NodeControl, NodeIdentity};
use havengate_core::membership::{Incarnation, Member, MembershipMessage};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, ZoneName};
use speedy::{LittleEndian, Writable};

use super::run::ScaleError;

/// What travels between hollow nodes.
#[derive(Clone, Debug)]
pub enum ScaleMessage {
    /// A datagram of the failure detector.
    Datagram(MembershipMessage),
    /// A control message.
    Peer(Member, ControlMessage),
}

impl ScaleMessage {
    /// Its bytes on the wire, without those of IP, UDP and TCP.
    pub fn bytes(&self) -> u64 {
        match self {
            ScaleMessage::Datagram(message) => message.encoded_bytes(),
            ScaleMessage::Peer(_, message) => {
                let bytes = Writable::<LittleEndian>::bytes_needed(message);
                FRAME_BYTES + bytes.map_or(0, |bytes| bytes as u64)
            }
        }
    }
}

/// The length before each message on a TCP connection.
const FRAME_BYTES: u64 = 4;

/// What one hollow node has sent, and the time that its control has taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Bytes of the failure detector.
    pub membership_bytes: u64,
    /// Bytes of control messages.
    pub control_bytes: u64,
    /// Messages of both kinds.
    pub messages: u64,
    /// Calls to the store.
    pub store_calls: u64,
    /// Calls to engines.
    pub engine_calls: u64,
    /// Processor time, as the time that calls of the control took on this machine.
    pub busy: Duration,
}

impl Usage {
    /// What has been used since `earlier`.
    pub fn since(&self, earlier: &Usage) -> Usage {
        Usage {
            membership_bytes: self.membership_bytes - earlier.membership_bytes,
            control_bytes: self.control_bytes - earlier.control_bytes,
            messages: self.messages - earlier.messages,
            store_calls: self.store_calls - earlier.store_calls,
            engine_calls: self.engine_calls - earlier.engine_calls,
            busy: self.busy.saturating_sub(earlier.busy),
        }
    }
}

/// One hollow node.
pub struct HollowNode {
    /// Its control.
    pub control: NodeControl,
    /// What it has used.
    pub usage: Usage,
}

impl HollowNode {
    /// A process that starts at `now`.
    ///
    /// # Errors
    /// When the settings of control are wrong.
    pub fn start(
        address: Address,
        zone: ZoneName,
        seeds: Vec<Address>,
        now: Timestamp,
        seed: u64,
    ) -> Result<Self, ScaleError> {
        let member = Member { address, incarnation: Incarnation(now.as_micros() + 1) };
        let identity = NodeIdentity { member, zone, seeds };
        let control = NodeControl::new(ControlConfig::default(), identity, now, seed)?;
        Ok(HollowNode { control, usage: Usage::default() })
    }

    /// Hands an input to the control.
    pub fn step(&mut self, input: ControlInput, now: Timestamp) {
        let started = Instant::now();
        self.control.step(input, now);
        self.usage.busy += started.elapsed();
    }

    /// Lets time pass, and rejoins when the node has been suspended.
    pub fn tick(&mut self, now: Timestamp) {
        let started = Instant::now();
        self.control.tick(now);
        if self.control.status().standing.must_rejoin() {
            self.control.rejoin(Incarnation(now.as_micros() + 1), now);
        }
        self.usage.busy += started.elapsed();
    }

    /// What the control wants done; what is sent is counted.
    pub fn take_actions(&mut self) -> Vec<ControlAction> {
        let actions = self.control.take_ready();
        for action in &actions {
            match action {
                ControlAction::Store { .. } => self.usage.store_calls += 1,
                ControlAction::RaiseFence { .. }
                | ControlAction::SendOrder { .. }
                | ControlAction::QueryEngine { .. } => self.usage.engine_calls += 1,
                ControlAction::SendDatagram { .. } | ControlAction::SendPeer { .. } => {}
            }
        }
        actions
    }

    /// Counts a message that is sent.
    pub fn count_sent(&mut self, message: &ScaleMessage) {
        self.usage.messages += 1;
        match message {
            ScaleMessage::Datagram(_) => self.usage.membership_bytes += message.bytes(),
            ScaleMessage::Peer(..) => self.usage.control_bytes += message.bytes(),
        }
    }
}
