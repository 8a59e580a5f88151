//! How the operating system notices that the other end of a connection is gone.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// The shortest time without data after which keep-alive probes are sent: the operating system counts in whole seconds.
const KEEP_ALIVE_MINIMUM: Duration = Duration::from_secs(1);

/// Lets the connection fail when the other end acknowledges nothing for `time_limit`: neither data that was sent nor, on
/// a connection without data, keep-alive probes.
///
/// The time limit of unacknowledged data also ends keep-alive probes, whatever their number: the first check after it has
/// passed ends the connection. Probes are sent at half of it, in whole seconds, so that one that is lost, or meets a silent machine, is
/// followed by another.
pub fn set_liveness(stream: &TcpStream, time_limit: Duration) {
    let socket = SockRef::from(stream);
    let interval = (time_limit / 2).max(KEEP_ALIVE_MINIMUM);
    let keep_alive = TcpKeepalive::new().with_time(interval).with_interval(interval);
    let set = socket.set_tcp_user_timeout(Some(time_limit)).and_then(|()| socket.set_tcp_keepalive(&keep_alive));
    if let Err(error) = set {
        log::debug!(event = "liveness_not_set", error:% = error; "");
    }
}
