//! What a node does with its peers' connections.

use std::net::TcpStream;
use std::sync::Arc;

use crossbeam::channel::{Sender, TrySendError};
use havengate_core::control::ControlInput;
use havengate_core::membership::Member;
use havengate_wire::PeerMessage;

use crate::admission::Admission;
use crate::control::{ControlEvent, CurrentMember};
use crate::peers::{ConnectionService, LinkCounters, receive_control, serve_forward};
use crate::traffic::PoolRegistry;

/// Serves the connections of peers: control messages go to the control thread, requests to the pools.
pub struct NodeService {
    /// This process as it introduces itself.
    pub member: CurrentMember,
    /// The pools that this node dispatches for.
    pub pools: Arc<PoolRegistry>,
    /// Claims and limits.
    pub admission: Arc<Admission>,
    /// The control thread.
    pub events: Sender<ControlEvent>,
    /// Counts control bytes and messages.
    pub counters: Arc<LinkCounters>,
}

impl ConnectionService for NodeService {
    fn member(&self) -> Member {
        **self.member.load()
    }

    fn serve_control(&self, peer: Member, stream: TcpStream) {
        receive_control(stream, &self.counters, |message: PeerMessage| match message {
            PeerMessage::Control(message) => self.hand_over(ControlInput::Peer { from: peer, message }),
            other => self.admission.receive(peer.address, other),
        });
    }

    fn serve_forward(&self, peer: Member, stream: TcpStream) {
        if let Err(error) = serve_forward(stream, &*self.pools) {
            log::debug!(peer:% = peer, error:% = error; "forward_connection_ended");
        }
    }
}

impl NodeService {
    /// Hands a peer's message to control; it is dropped when control is behind, since peers repeat what matters.
    pub fn hand_over(&self, input: ControlInput) {
        match self.events.try_send(ControlEvent::Input(input)) {
            Ok(()) | Err(TrySendError::Disconnected(_)) => {}
            Err(TrySendError::Full(_)) => self.counters.dropped(),
        }
    }
}
