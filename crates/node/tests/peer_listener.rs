//! The socket on which peers connect.

use std::io::Read;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use havengate_core::membership::{Incarnation, Member};
use havengate_core::world::Address;
use havengate_node::peers::{ConnectionService, PeerListener};
use havengate_wire::{Hello, Purpose, read_hello, write_hello};

/// Reads each connection until its end.
struct Swallow(Member);

impl ConnectionService for Swallow {
    fn member(&self) -> Member {
        self.0
    }

    fn serve_control(&self, _: Member, mut stream: TcpStream) {
        let _ = stream.read_to_end(&mut Vec::new());
    }

    fn serve_forward(&self, peer: Member, stream: TcpStream) {
        self.serve_control(peer, stream);
    }
}

#[test]
fn a_listener_that_stops_cuts_the_connections_of_peers() {
    let any_port = Address("127.0.0.1:0".parse().expect("an address"));
    let member = Member { address: any_port, incarnation: Incarnation(1) };
    let listener = PeerListener::start(any_port, Arc::new(Swallow(member))).expect("a free port");
    let mut stream = TcpStream::connect(listener.address().0).expect("it listens");
    write_hello(&mut stream, Hello::new(member, Purpose::Control)).expect("it reads");
    read_hello(&mut stream).expect("it answers");

    listener.stop();

    stream.set_read_timeout(Some(Duration::from_secs(30))).expect("a timeout");
    let read = stream.read(&mut [0; 1]);
    assert!(matches!(read, Ok(0)), "the connection should have ended: {read:?}");
}
