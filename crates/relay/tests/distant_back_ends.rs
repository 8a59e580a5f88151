//! Connections to back ends in another region, whose first packet may be lost.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use havengate_core::back_ends::{BackEnd, BackEndState};
use havengate_core::world::{Address, Topology};
use havengate_relay::back_ends::{ConnectError, ConnectionPool, PoolLimits};
use socket2::{Domain, Socket, Type};
use tokio::task::LocalSet;

/// The time limit of one attempt, and a number of attempts that outlasts any pause of the test machine.
const CONNECT_TIME_LIMIT: Duration = Duration::from_millis(20);
const ATTEMPTS: u32 = 1_000;

fn back_end(address: SocketAddr) -> BackEnd {
    BackEnd {
        id: "app-1".into(),
        service: "app".into(),
        address: Address(address),
        zone: "west-a".into(),
        slots: 8,
        state: BackEndState::Ready,
        stage: None,
        preemptible: false,
    }
}

fn pool(region_of_back_end: &str) -> ConnectionPool {
    let limits =
        PoolLimits { connect_time_limit: CONNECT_TIME_LIMIT, distant_attempts: ATTEMPTS, ..PoolLimits::default() };
    let regions = [("east-a", "east"), ("west-a", region_of_back_end), ("north-a", "north")];
    let regions = regions.map(|(zone, region)| (zone.into(), region.into()));
    ConnectionPool::new(limits).in_topology(Topology::new("east-a".into(), regions.into()))
}

/// A listener with a full queue: the system drops the first packet of each further connection, as a lossy link does.
fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket can be created");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("loopback can be bound");
    socket.listen(0).expect("the socket can listen");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("the listener has an address");
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, 10 * CONNECT_TIME_LIMIT) {
        queued.push(stream);
    }
    (listener, queued)
}

/// Guards against a back end that is ejected, and announced to be unreachable, because one packet was lost between two
/// regions.
#[tokio::test]
async fn only_a_connection_to_another_region_is_attempted_again() {
    let test = async {
        let (listener, queued) = full_listener();
        let back_end = back_end(listener.local_addr().expect("the listener has an address"));
        let near = pool("east").check(&back_end).await;
        assert!(matches!(near, Err(ConnectError::TimedOut)), "{near:?}");
        let accepting = std::thread::spawn(move || {
            std::thread::sleep(3 * CONNECT_TIME_LIMIT);
            // The queue drains, and the next attempt succeeds.
            (0..=queued.len()).for_each(|_| drop(listener.accept()));
        });
        pool("west").check(&back_end).await.expect("a later attempt succeeds");
        accepting.join().expect("all connections were accepted");
    };
    LocalSet::new().run_until(test).await;
}
