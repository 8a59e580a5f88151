//! Accepts tunnels of peers and connects them to back ends.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use havengate_core::back_ends::{BackEnd, Usability};
use havengate_core::paths::{TunnelAnswer, TunnelRequest};
use havengate_core::time::whole_millis;
use havengate_core::world::Address;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep};

use super::Tunnels;
use super::copy::{TunnelEnd, copy_both_ways};
use crate::back_ends::set_liveness;
use crate::callers::Traffic;
use crate::callers::planned_stop::StopPhase;
use crate::control::transfer::{SILENCE_TIME_LIMIT, TransferTimeouts, read_small_message, write_message};

/// The most connections whose first message is awaited at the same time; further ones are closed.
const UNAUTHORIZED_MAXIMUM: usize = 64;

/// The time limit for the first message, and for the answer to be accepted.
const GREETING_TIME_LIMIT: Duration = Duration::from_millis(500);

/// The largest first message.
const GREETING_MAXIMUM_BYTES: usize = 1_024;

/// The pause after a failed accept, most likely because no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How long a tunnel counts as open after its back end closed it, so that the peer can ask how it ended.
const END_QUERY_TIME: Duration = Duration::from_millis(200);

/// Accepts tunnels on `listener`; never returns.
pub async fn serve_tunnels<P: 'static>(traffic: Rc<Traffic<P>>, listener: TcpListener) {
    let greetings = Rc::new(Semaphore::new(UNAUTHORIZED_MAXIMUM));
    loop {
        let (stream, source) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (traffic, greetings) = (Rc::clone(&traffic), Rc::clone(&greetings));
        tokio::task::spawn_local(async move {
            let Ok(permit) = greetings.try_acquire() else {
                return;
            };
            let greeted = greet(&traffic, stream, source.ip()).await;
            drop(permit);
            if let Some(tunnel) = greeted {
                tunnel.run().await;
            }
        });
    }
}

/// A tunnel that is connected to its back end.
struct ServedTunnel {
    tunnels: Tunnels,
    request: TunnelRequest,
    peer: Address,
    near: TcpStream,
    far: TcpStream,
}

/// Reads the first message of a connection and answers it; `None` unless the tunnel is connected.
async fn greet<P>(traffic: &Traffic<P>, mut near: TcpStream, source: IpAddr) -> Option<ServedTunnel> {
    let timeouts = TransferTimeouts::with_first_byte(GREETING_TIME_LIMIT);
    near.set_nodelay(true).ok()?;
    set_liveness(&near, SILENCE_TIME_LIMIT);
    // The sender of a malformed message gets no answer.
    let request: TunnelRequest = read_small_message(&mut near, GREETING_MAXIMUM_BYTES, timeouts).await.ok()?;
    if let Some(answer) = end_of_tunnel(traffic, &request, source).await {
        // A peer without the answer takes the end as unproven.
        let _ = write_message(&mut near, &answer, timeouts).await;
        return None;
    }
    let authorized = authorize(traffic, &request, source);
    let connected = match authorized {
        Ok((peer, back_end)) => {
            traffic.pool.open_direct(&back_end).await.map(|far| (peer, far)).map_err(|_| TunnelAnswer::Unreachable)
        }
        Err(answer) => Err(answer),
    };
    let answer = connected.as_ref().map_or_else(|answer| *answer, |_| TunnelAnswer::Connected);
    traffic.metrics.paths().record_tunnel_served(answer.code());
    if answer != TunnelAnswer::Connected {
        let (tunnel, back_end) = (request.id, &request.back_end);
        log::warn!(event = "tunnel_refused", tunnel:% = tunnel, back_end:% = back_end, source:% = source, answer = answer.code(); "");
    }
    write_message(&mut near, &answer, timeouts).await.ok()?;
    let (peer, far) = connected.ok()?;
    Some(ServedTunnel { tunnels: traffic.tunnels.clone(), request, peer, near, far })
}

/// The answer to a request that repeats the one of an ended tunnel; `None` for a request for a new tunnel.
async fn end_of_tunnel<P>(traffic: &Traffic<P>, request: &TunnelRequest, source: IpAddr) -> Option<TunnelAnswer> {
    let (opened_at, ended_at) = traffic.tunnels.shared.ended.borrow().find(request, source)?;
    let listed = traffic.knowledge.load().directory.get(&request.back_end).map(|entry| entry.back_end.clone());
    let is_proven = match listed {
        Some(back_end) => traffic.pool.prove_life_after_close(&back_end, opened_at, ended_at).await.is_complete(),
        None => false,
    };
    Some(if is_proven { TunnelAnswer::EndedInOrder } else { TunnelAnswer::EndUnproven })
}

/// The peer that may open the tunnel, and the back end to connect to.
fn authorize<P>(
    traffic: &Traffic<P>,
    request: &TunnelRequest,
    source: IpAddr,
) -> Result<(Address, BackEnd), TunnelAnswer> {
    let now = traffic.clock.now();
    let grants = traffic.tunnels.shared.grants.borrow();
    let peer = grants.authorize(request.token, source, now).ok_or(TunnelAnswer::Unauthorized)?;
    if traffic.stop.has_begun(StopPhase::Draining) || !grants.has_room() {
        return Err(TunnelAnswer::Busy);
    }
    let knowledge = traffic.knowledge.load();
    let listed = knowledge.directory.get(&request.back_end);
    let usable = listed.filter(|entry| traffic.notices.lock().usability(entry, now) != Usability::Unusable);
    let back_end = usable.map(|entry| entry.back_end.clone()).ok_or(TunnelAnswer::Unlisted)?;
    Ok((peer, back_end))
}

impl ServedTunnel {
    /// Copies bytes until one of the connections ends.
    async fn run(self) {
        let ServedTunnel { tunnels, request, peer, near, far } = self;
        let (tunnel, back_end) = (request.id, &request.back_end);
        log::info!(event = "tunnel_served", tunnel:% = tunnel, back_end:% = back_end, peer:% = peer; "");
        tunnels.shared.grants.borrow_mut().record_opened();
        let began = Instant::now();
        let copied = copy_both_ways(near, far, || {
            tunnels.shared.ended.borrow_mut().record(request.clone(), peer.0.ip(), began);
        });
        let copied = copied.await;
        // A stopping process waits for open tunnels, and the peer may ask how this one ended.
        if copied.end == TunnelEnd::BackEndClosed {
            sleep(END_QUERY_TIME).await;
        }
        tunnels.shared.grants.borrow_mut().record_closed();
        let (bytes, end) = (copied.bytes, copied.end.code());
        tunnels.shared.metrics.paths().record_tunnel_bytes(bytes);
        let took_ms = whole_millis(began.elapsed());
        log::info!(event = "tunnel_ended", tunnel:% = tunnel, back_end:% = back_end, peer:% = peer, end, bytes, took_ms; "");
    }
}
