//! Exchange of peer notices between nodes, over real UDP sockets.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use havengate_core::back_ends::{BackEnd, BackEndState, Directory, DirectoryListing, EngineStage};
use havengate_core::relay::{ContentId, Prompt, PromptPart, TerminatedRun, Urgency};
use havengate_core::store::{Position, Revision};
use havengate_core::world::{Address, BackEndId, Topology};
use havengate_node::clock::Clock;
use havengate_relay::back_ends::SharedNotices;
use havengate_relay::knowledge::{Knowledge, SharedKnowledge};
use havengate_relay::metrics::RelayMetrics;
use havengate_relay::peer_notices::PeerNotices;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// The interval at which a condition is checked, and the number of checks before the test fails.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const POLLS_MAXIMUM: usize = 1_000;

struct Node {
    address: Address,
    knowledge: SharedKnowledge,
    metrics: RelayMetrics,
    peer_notices: PeerNotices,
    clock: Clock,
}

impl Node {
    async fn start() -> Node {
        let metrics = RelayMetrics::new();
        let knowledge: SharedKnowledge = Arc::new(ArcSwap::from_pointee(Knowledge::nothing()));
        let clock = Clock::start();
        let peer_notices = PeerNotices::new(Arc::clone(&knowledge), SharedNotices::default(), clock, metrics.clone());
        let mut address = free_address();
        // Another process may take the port before it is bound again.
        while peer_notices.exchange(address).await.is_err() {
            address = free_address();
        }
        Node { address, knowledge, metrics, peer_notices, clock }
    }

    fn set_peers(&self, peers: &[&Node]) {
        let peers = Arc::new(peers.iter().map(|peer| peer.address).collect());
        self.knowledge.store(Arc::new(Knowledge { peers, ..Knowledge::nothing() }));
    }

    /// Sets the peers with their zones, for a node in `own_zone`; the zones that begin alike are in one region.
    fn set_peers_in_zones(&self, own_zone: &str, peers: &[(&Node, &str)], engines: &[BackEnd]) {
        let zones = ["east-a", "east-b", "west-a", "west-b"];
        let regions = zones.map(|zone| (zone.into(), zone.split('-').next().unwrap_or_default().into()));
        self.peer_notices.set_topology(Topology::new(own_zone.into(), regions.into()));
        self.peer_notices.use_region_streams_from(1);
        let peer_zones = Arc::new(peers.iter().map(|(peer, zone)| (peer.address, (*zone).into())).collect());
        let peers = Arc::new(peers.iter().map(|(peer, _)| peer.address).collect());
        let mut directory = Directory::new();
        let listing = DirectoryListing {
            position: Position::from(Revision(1)),
            back_ends: engines.to_vec(),
            malformed: Vec::new(),
        };
        directory.adopt(listing, self.clock.now());
        let directory = Arc::new(directory);
        self.knowledge.store(Arc::new(Knowledge { peers, peer_zones, directory, ..Knowledge::nothing() }));
    }

    fn has_dropped(&self, cause: &str) -> bool {
        let text = self.metrics.encode().expect("metrics are text");
        text.contains(&format!("dropped_messages_total{{cause=\"{cause}\"}}"))
    }

    fn cached_tokens(&self) -> u32 {
        self.peer_notices.with_index(|index| index.cached_tokens_of(&engine().id, &prompt()))
    }
}

fn free_address() -> Address {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("there is a free port");
    Address(socket.local_addr().expect("the socket is bound"))
}

fn engine() -> BackEnd {
    BackEnd {
        id: "engine-1".into(),
        service: "model".into(),
        address: Address(SocketAddr::from(([10, 0, 0, 1], 80))),
        zone: "zone".into(),
        slots: 8,
        state: BackEndState::Ready,
        stage: Some(EngineStage::Prefill),
        preemptible: false,
    }
}

fn prompt() -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    Prompt { tokens: 9_000, output_tokens_maximum: 2, parts: vec![part(1, 4_000), part(2, 2_000), part(3, 3_000)] }
}

fn engine_in(zone: &str) -> BackEnd {
    BackEnd { id: BackEndId::new(format!("engine-{zone}")), zone: zone.into(), ..engine() }
}

fn cached_tokens_of(node: &Node, engine: &BackEnd) -> u32 {
    node.peer_notices.with_index(|index| index.cached_tokens_of(&engine.id, &prompt()))
}

async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..POLLS_MAXIMUM {
        if condition() {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("the condition did not become true in time");
}

/// Records that `node` could not reach the engine, and has reached another one since.
fn record_proven_failure(node: &Node) {
    node.peer_notices.record_unreachable(&engine());
    node.peer_notices.record_path_proof(&engine_in("other"));
}

/// Guards against nodes that take back ends from others: those that lose their own paths announced all back ends.
#[tokio::test]
async fn a_back_end_is_not_suspected_while_its_reporters_reach_no_other() {
    let test = async {
        let (one, two, three) = (Node::start().await, Node::start().await, Node::start().await);
        one.set_peers(&[&two, &three]);
        two.set_peers(&[&one, &three]);
        three.set_peers(&[&one, &two]);
        for node in [&one, &two] {
            node.peer_notices.record_unreachable(&engine());
            node.peer_notices.record_unreachable(&engine_in("other"));
            // The answer of a back end says nothing about the paths to itself before.
            node.peer_notices.record_path_proof(&BackEnd { stage: None, ..engine() });
        }
        one.peer_notices.begin(&engine(), &prompt(), Urgency::InTime).end(true);
        two.peer_notices.begin(&engine(), &prompt(), Urgency::InTime).end(true);
        // These notices were sent after any report.
        wait_until(|| three.cached_tokens() > 0).await;
        sleep(POLL_INTERVAL).await;
        assert!(!three.peer_notices.is_suspected(&engine().id, three.clock.now()));
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn only_notices_from_known_peers_are_applied_and_dropped_messages_are_counted() {
    let test = async {
        let (here, there) = (Node::start().await, Node::start().await);
        here.set_peers(&[&there]);
        here.peer_notices.begin(&engine(), &prompt(), Urgency::InTime).end(true);
        wait_until(|| there.has_dropped("unknown_sender")).await;
        assert_eq!(there.cached_tokens(), 0);
        there.set_peers(&[&here]);
        here.peer_notices.begin(&engine(), &prompt(), Urgency::InTime).end(true);
        wait_until(|| there.cached_tokens() == 6_000).await;
        let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("there is a free port");
        unknown_sender.send_to(&[0xff; 40], there.address.0).expect("loopback takes datagrams");
        wait_until(|| there.has_dropped("malformed")).await;
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_back_end_that_two_nodes_could_not_reach_is_suspected_by_a_third() {
    let test = async {
        let (one, two, three) = (Node::start().await, Node::start().await, Node::start().await);
        one.set_peers(&[&two, &three]);
        two.set_peers(&[&one, &three]);
        three.set_peers(&[&one, &two]);
        // Reports expire soon, so they are repeated until they have arrived.
        wait_until(|| {
            record_proven_failure(&one);
            record_proven_failure(&two);
            three.peer_notices.is_suspected(&engine().id, three.clock.now())
        })
        .await;
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn unreachable_notices_from_unknown_senders_are_ignored() {
    let test = async {
        let (one, two, three) = (Node::start().await, Node::start().await, Node::start().await);
        one.set_peers(&[&three]);
        two.set_peers(&[&three]);
        three.set_peers(&[&one]);
        wait_until(|| {
            record_proven_failure(&one);
            record_proven_failure(&two);
            three.has_dropped("unknown_sender")
        })
        .await;
        assert!(!three.peer_notices.is_suspected(&engine().id, three.clock.now()));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a peer that goes on blocking a cleared request. A node that had cleared the request received a peer's
/// attribution of earlier terminations to it and queued its answer, but did not wake the task that sends it. This test
/// failed on that code.
#[tokio::test]
async fn a_peer_that_missed_a_complete_answer_is_notified_when_it_repeats_the_attribution() {
    let test = async {
        let (here, there) = (Node::start().await, Node::start().await);
        let popular_content = ContentId::of([&b"asked by many"[..]]);
        let record_terminations = |node: &Node, engines: u32| {
            for number in 0..engines {
                let sent_at = node.clock.now();
                let runs = [TerminatedRun { content: popular_content, sent_at }];
                let engine = BackEndId::new(format!("ended-{number}"));
                node.peer_notices.engine_terminations().record_termination(&engine, &runs, node.clock.now());
            }
        };
        record_terminations(&here, 1);
        record_terminations(&there, 3);
        // Terminations are announced as ages, to which the delay of the message adds: the answer has to be clearly
        // later.
        sleep(20 * POLL_INTERVAL).await;
        here.peer_notices.engine_terminations().record_answered(popular_content);
        assert_eq!(there.peer_notices.engine_terminations().blocked_count(), 1);
        // Both have sent all pending announcements, to no receiver, before they know each other.
        wait_until(|| {
            !here.peer_notices.engine_terminations().has_pending()
                && !there.peer_notices.engine_terminations().has_pending()
        })
        .await;
        here.set_peers(&[&there]);
        there.set_peers(&[&here]);
        wait_until(|| there.peer_notices.engine_terminations().blocked_count() == 0).await;
        assert!(!here.peer_notices.engine_terminations().is_suspect(popular_content));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against prefill notices that use up the pace by crossing regions where no node sends requests to the engine.
#[tokio::test]
async fn nodes_of_several_regions_announce_prefills_only_to_the_region_of_the_engine() {
    let test = async {
        let (here, near, far) = (Node::start().await, Node::start().await, Node::start().await);
        let engines = ["east-b", "west-a"].map(engine_in);
        here.set_peers_in_zones("east-a", &[(&near, "east-b"), (&far, "west-a")], &engines);
        near.set_peers(&[&here]);
        far.set_peers(&[&here]);
        here.peer_notices.begin(&engines[0], &prompt(), Urgency::InTime).end(true);
        here.peer_notices.record_cache_transfer(&engines[1].id, &prompt(), Duration::from_millis(20), 1.0);
        wait_until(|| cached_tokens_of(&near, &engines[0]) == 6_000 && cached_tokens_of(&far, &engines[1]) == 6_000)
            .await;
        assert_eq!((cached_tokens_of(&near, &engines[1]), cached_tokens_of(&far, &engines[0])), (0, 0));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against engines that the nodes next to them skip although they serve: with a link that is cut in one direction,
/// nodes of another region can't reach them and announce it.
#[tokio::test]
async fn nodes_of_another_region_do_not_make_an_engine_suspected() {
    let test = async {
        let (one, two, here) = (Node::start().await, Node::start().await, Node::start().await);
        // The senders know no zones yet, so that they announce to all.
        one.set_peers(&[&here]);
        two.set_peers(&[&here]);
        here.set_peers_in_zones("east-a", &[(&one, "west-a"), (&two, "west-b")], &[]);
        wait_until(|| {
            record_proven_failure(&one);
            record_proven_failure(&two);
            here.has_dropped("other_region")
        })
        .await;
        assert!(!here.peer_notices.is_suspected(&engine().id, here.clock.now()));
        here.set_peers_in_zones("east-a", &[(&one, "east-a"), (&two, "east-b")], &[]);
        wait_until(|| {
            record_proven_failure(&one);
            record_proven_failure(&two);
            here.peer_notices.is_suspected(&engine().id, here.clock.now())
        })
        .await;
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against cached parts of other regions, whose changes the node would not be notified of.
#[tokio::test]
async fn a_node_that_has_just_started_is_sent_the_cached_parts_of_its_region() {
    let test = async {
        let (here, newcomer) = (Node::start().await, Node::start().await);
        let engines = ["east-b", "west-a"].map(engine_in);
        here.set_peers_in_zones("east-a", &[(&newcomer, "west-b")], &engines);
        newcomer.set_peers_in_zones("west-b", &[(&here, "east-a")], &engines);
        for engine in &engines {
            here.peer_notices.record_cached_parts(&engine.id, prompt().parts);
        }
        newcomer.peer_notices.request_cached_parts().await;
        // The engines are announced in the order of their names.
        wait_until(|| cached_tokens_of(&newcomer, &engines[1]) == 6_000).await;
        assert_eq!(cached_tokens_of(&newcomer, &engines[0]), 0);
    };
    LocalSet::new().run_until(test).await;
}
