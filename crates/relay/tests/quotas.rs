//! Limits of tenants in the relay: units of requests that did not run are returned, and messages of unknown senders and
//! messages that are not awaited are dropped.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use havengate_core::quota::{
    LimitUnit, QuotaAnswer, QuotaConfig, QuotaGrant, QuotaRequest, TenantLimit, TenantLimitTable,
};
use havengate_core::relay::PeerNotice;
use havengate_core::world::{Address, TenantName};
use havengate_node::clock::Clock;
use havengate_relay::back_ends::SharedNotices;
use havengate_relay::knowledge::{Knowledge, SharedKnowledge};
use havengate_relay::metrics::RelayMetrics;
use havengate_relay::peer_notices::PeerNotices;
use havengate_relay::quotas::{QuotaPermit, Quotas};
use havengate_wire::{decode, encode};
use tokio::net::UdpSocket;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// The interval at which a condition is checked, and the number of checks before the test fails.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const POLLS_MAXIMUM: usize = 1_000;

/// The limit, and the tokens of a request: the home refills them in a minute, so what the rate adds during a test is far
/// less.
const PER_SECOND: u64 = 1_000;
const COST: u64 = 60_000;

/// The longest that a test waits for a message.
const TIME_LIMIT: Duration = Duration::from_secs(10);

/// How long a request waits for units before it is refused.
const WAIT_MAXIMUM: Duration = Duration::from_secs(1);

struct Node {
    address: Address,
    knowledge: SharedKnowledge,
    metrics: RelayMetrics,
    quotas: Quotas,
}

impl Node {
    /// A node without peers that exchanges the messages of limits but does not enforce them yet.
    async fn start() -> Node {
        let (metrics, clock) = (RelayMetrics::new(), Clock::start());
        let knowledge: SharedKnowledge = Arc::new(ArcSwap::from_pointee(Knowledge::nothing()));
        let notices = SharedNotices::default();
        let peer_notices = PeerNotices::new(Arc::clone(&knowledge), notices, clock, metrics.clone());
        let quotas = Quotas::new(Arc::clone(&knowledge), |_| 1.0, clock, metrics.clone());
        let mut address = free_address();
        // Another process may take the port before it is bound again.
        while peer_notices.exchange(address).await.is_err() {
            address = free_address();
        }
        peer_notices.exchange_quotas(&quotas);
        let node = Node { address, knowledge, metrics, quotas };
        node.set_knowledge(&[], Some(PER_SECOND));
        node
    }

    /// A node without peers that enforces the limit.
    async fn start_enforcing() -> Node {
        let node = Node::start().await;
        node.quotas.enforce(QuotaConfig::default(), node.address);
        node
    }

    /// Sets the peers and the limit of the tenant.
    fn set_knowledge(&self, peers: &[Address], per_second: Option<u64>) {
        let unit = LimitUnit::Tokens { default_cost: 200 };
        let limit = per_second.map(|per_second| (tenant(), TenantLimit { per_second, burst: per_second, unit }));
        let limits: TenantLimitTable = limit.into_iter().collect();
        self.knowledge.store(Arc::new(Knowledge {
            peers: Arc::new(peers.to_vec()),
            tenant_limits: Some(Arc::new(limits)),
            ..Knowledge::nothing()
        }));
    }

    /// Admits a request once the bucket is above zero.
    async fn admit(&self) -> QuotaPermit {
        for _ in 0..POLLS_MAXIMUM {
            if let Ok(permit) = self.quotas.admit(&tenant(), Some(COST), WAIT_MAXIMUM, "r").await {
                return permit.expect("the tenant has a limit");
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("the request was not admitted: {:?}", self.quotas.statuses());
    }

    /// Waits until the home has granted what was charged.
    async fn wait_until_settled(&self) {
        for _ in 0..POLLS_MAXIMUM {
            if self.quotas.statuses().iter().all(|status| status.balance == 0) {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("the debt was not settled: {:?}", self.quotas.statuses());
    }

    /// Waits until the node has dropped a message for this cause.
    async fn wait_for_drop(&self, cause: &str) {
        let label = format!("dropped_messages_total{{cause=\"{cause}\"}}");
        for _ in 0..POLLS_MAXIMUM {
            if self.metrics.encode().expect("metrics are text").contains(&label) {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("no message was dropped as {cause}");
    }
}

fn tenant() -> TenantName {
    "press".into()
}

fn free_address() -> Address {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("there is a free port");
    Address(socket.local_addr().expect("the socket is bound"))
}

/// A peer that the test simulates.
struct Peer {
    socket: UdpSocket,
    address: Address,
    /// The sequence number of the latest request that it received.
    sequence: u64,
}

impl Peer {
    async fn start() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("loopback can be bound");
        let address = Address(socket.local_addr().expect("the socket is bound"));
        Peer { socket, address, sequence: 0 }
    }

    async fn send(&self, to: &Node, message: &PeerNotice) {
        let bytes = encode(message).expect("the message can be encoded");
        self.socket.send_to(&bytes, to.address.0).await.expect("loopback accepts datagrams");
    }

    /// A request of this peer with this number.
    fn request(&self, sequence: u64) -> PeerNotice {
        let (sender, tenant) = (self.address, tenant());
        PeerNotice::QuotaRequest(QuotaRequest { sender, sequence, tenant, needed: 1, wanted: 1, returned: 0 })
    }

    /// A grant of this peer, as the answer to the request with this number.
    fn grant(&self, sequence: u64, tenant: TenantName, units: u64) -> PeerNotice {
        let answer = QuotaAnswer::Granted { units };
        PeerNotice::QuotaGrant(QuotaGrant { sender: self.address, sequence, tenant, answer })
    }

    /// Grants what the next request needs, and returns the units that it needed and those that it returned.
    async fn serve(&mut self, node: &Node) -> (u64, u64) {
        let mut buffer = [0; 1_400];
        loop {
            let received = timeout(TIME_LIMIT, self.socket.recv_from(&mut buffer)).await.expect("there is a request");
            let (length, _) = received.expect("the socket receives");
            let PeerNotice::QuotaRequest(request) = decode(&buffer[..length]).expect("the message is well-formed")
            else {
                continue;
            };
            // A repeated request was answered before.
            if request.sequence > self.sequence {
                self.sequence = request.sequence;
                self.send(node, &self.grant(request.sequence, request.tenant, request.needed)).await;
                return (request.needed, request.returned);
            }
        }
    }

    /// Grants a request what it needs, and returns its permit and the units that were returned for earlier requests.
    async fn admit(&mut self, node: &Node) -> (QuotaPermit, u64) {
        let (permit, (needed, returned)) = tokio::join!(node.admit(), self.serve(node));
        assert_eq!(needed, COST);
        (permit, returned)
    }
}

/// A node with a peer. The peer is the tenant's home if `peer_is_home`, otherwise the node is.
async fn start_with_peer(peer_is_home: bool) -> (Node, Peer) {
    let node = Node::start_enforcing().await;
    loop {
        let peer = Peer::start().await;
        node.set_knowledge(&[peer.address], Some(PER_SECOND));
        if node.quotas.statuses().iter().all(|status| (status.home == peer.address) == peer_is_home) {
            return (node, peer);
        }
    }
}

async fn run(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// Units that are not returned refuse later requests below the limit; those returned after a run let engines run more.
#[tokio::test]
async fn units_are_returned_when_the_request_certainly_did_not_run() {
    run(async {
        let (node, mut home) = start_with_peer(true).await;
        let (permit, _) = home.admit(&node).await;
        drop(permit);
        assert_eq!(home.serve(&node).await, (0, COST), "it was never sent");
        let (mut permit, _) = home.admit(&node).await;
        permit.begin_send();
        permit.send_declined();
        drop(permit);
        assert_eq!(home.serve(&node).await, (0, COST), "the only engine declined it");
        let (mut permit, _) = home.admit(&node).await;
        permit.begin_send();
        drop(permit);
        let (_permit, returned) = home.admit(&node).await;
        assert_eq!(returned, 0, "the caller hung up while an engine may have run it");
    })
    .await;
}

/// A retry that isn't charged lets engines run more than the limit.
#[tokio::test]
async fn a_send_after_a_run_counts_again() {
    run(async {
        let (node, mut home) = start_with_peer(true).await;
        let (mut permit, _) = home.admit(&node).await;
        permit.begin_send();
        permit.begin_send();
        assert_eq!(home.serve(&node).await, (COST, 0), "the first engine may have run it");
        node.wait_until_settled().await;
        permit.send_declined();
        assert_eq!(home.serve(&node).await, (0, COST), "the second engine declined it");
        permit.begin_send();
        drop(permit);
        assert_eq!(home.serve(&node).await, (COST, 0), "the third engine has it");
    })
    .await;
}

/// A request in two stages that counts twice halves the limit of a tenant with long prompts.
#[tokio::test]
async fn a_prefill_and_the_answer_after_it_count_once() {
    run(async {
        let (node, mut home) = start_with_peer(true).await;
        let (mut permit, _) = home.admit(&node).await;
        permit.begin_send();
        permit.prefill_completed();
        permit.begin_send();
        permit.send_declined();
        permit.begin_send();
        drop(permit);
        let (mut permit, returned) = home.admit(&node).await;
        assert_eq!(returned, 0, "one engine prefilled it, one declined it, one answers");
        permit.begin_send();
        permit.prefill_completed();
        permit.begin_send();
        permit.begin_send();
        assert_eq!(home.serve(&node).await, (COST, 0), "another engine runs all of it again");
    })
    .await;
}

/// Units that are kept for a caller that hung up are missing for others until they expire.
#[tokio::test]
async fn a_request_that_no_longer_waits_gets_no_units() {
    run(async {
        let (node, mut home) = start_with_peer(true).await;
        let tenant = tenant();
        let waiting = node.quotas.admit(&tenant, Some(COST / 2), WAIT_MAXIMUM, "r");
        tokio::select! {
            biased;
            _ = waiting => panic!("the home has granted nothing"),
            () = std::future::ready(()) => {}
        }
        let (permit, _) = home.admit(&node).await;
        drop(permit);
    })
    .await;
}

/// A node that is not the home has only what the home grants it.
#[tokio::test]
async fn a_node_gets_units_from_the_home() {
    run(async {
        let (one, other) = (Node::start_enforcing().await, Node::start_enforcing().await);
        one.set_knowledge(&[other.address], Some(PER_SECOND));
        other.set_knowledge(&[one.address], Some(PER_SECOND));
        let home_of = |node: &Node| node.quotas.statuses().first().map(|status| status.home);
        let (asking, home) = if home_of(&one) == Some(one.address) { (other, one) } else { (one, other) };
        assert_eq!(home_of(&asking), Some(home.address));
        asking.admit().await;
        let acts_as_home = |node: &Node| node.quotas.statuses().iter().all(|status| status.is_home);
        assert_eq!((acts_as_home(&asking), acts_as_home(&home)), (false, true));
    })
    .await;
}

/// A request that needs a permit without a limit waits for units that no node grants.
#[tokio::test]
async fn a_tenant_without_a_limit_needs_no_permit() {
    run(async {
        let node = Node::start_enforcing().await;
        let admit = async |tenant: &str| {
            node.quotas.admit(&tenant.into(), Some(COST), WAIT_MAXIMUM, "r").await.map(|permit| permit.is_some())
        };
        assert_eq!(admit("school").await, Ok(false));
        node.set_knowledge(&[], None);
        assert_eq!(admit("press").await, Ok(false), "the limit was removed");
        node.set_knowledge(&[], Some(PER_SECOND));
        node.quotas.suspend();
        assert_eq!(admit("press").await, Ok(false), "limits are not enforced");
    })
    .await;
}

/// Tenants come and go with the configuration; metrics of those that are gone would accumulate.
#[tokio::test]
async fn the_metrics_of_a_tenant_end_with_its_limit() {
    run(async {
        let node = Node::start_enforcing().await;
        drop(node.admit().await);
        node.quotas.set_metrics();
        let has_metrics = || node.metrics.encode().expect("metrics are text").contains("tenant=\"press\"");
        assert!(has_metrics());
        node.set_knowledge(&[], None);
        node.quotas.set_metrics();
        assert!(!has_metrics(), "{}", node.metrics.encode().expect("metrics are text"));
    })
    .await;
}

/// A node that handled them would keep state and send answers although its settings lack `[tenant_limits]`.
#[tokio::test]
async fn messages_are_dropped_while_limits_are_not_enforced() {
    run(async {
        let (node, peer) = (Node::start().await, Peer::start().await);
        node.set_knowledge(&[peer.address], Some(PER_SECOND));
        peer.send(&node, &peer.request(1)).await;
        node.wait_for_drop("not_enabled").await;
    })
    .await;
}

/// A process that is no peer could otherwise grant units.
#[tokio::test]
async fn messages_of_unknown_senders_are_dropped() {
    run(async {
        let (node, peer) = (Node::start_enforcing().await, Peer::start().await);
        peer.send(&node, &peer.grant(1, tenant(), COST)).await;
        node.wait_for_drop("unknown_sender").await;
    })
    .await;
}

/// A duplicated or late grant would otherwise add its units a second time.
#[tokio::test]
async fn a_grant_that_was_not_asked_for_is_dropped() {
    run(async {
        let (node, peer) = (Node::start_enforcing().await, Peer::start().await);
        node.set_knowledge(&[peer.address], Some(PER_SECOND));
        peer.send(&node, &peer.grant(1, tenant(), COST)).await;
        node.wait_for_drop("overtaken").await;
    })
    .await;
}

/// A delayed request would be granted although its sender no longer waits for the answer.
#[tokio::test]
async fn a_request_that_was_overtaken_is_dropped() {
    run(async {
        let (node, peer) = start_with_peer(false).await;
        for sequence in [2, 1] {
            peer.send(&node, &peer.request(sequence)).await;
        }
        node.wait_for_drop("overtaken").await;
    })
    .await;
}
