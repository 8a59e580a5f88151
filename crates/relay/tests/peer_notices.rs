//! What nodes tell each other of readings, over real datagrams.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use havengate_core::back_ends::{BackEnd, BackEndState, EngineStage};
use havengate_core::relay::{ContentId, Prompt, PromptPart, TerminatedRun, Urgency};
use havengate_core::world::{Address, BackEndId};
use havengate_node::clock::Clock;
use havengate_relay::back_ends::SharedNotices;
use havengate_relay::knowledge::{Knowledge, SharedKnowledge};
use havengate_relay::metrics::RelayMetrics;
use havengate_relay::peer_notices::PeerNotices;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// How often a condition is looked at, and how often in all before the test fails.
const POLL: Duration = Duration::from_millis(10);
const POLLS: usize = 1_000;

struct Node {
    address: Address,
    knowledge: SharedKnowledge,
    metrics: RelayMetrics,
    readings: PeerNotices,
    clock: Clock,
}

impl Node {
    async fn start() -> Node {
        let metrics = RelayMetrics::new();
        let knowledge: SharedKnowledge = Arc::new(ArcSwap::from_pointee(Knowledge::nothing()));
        let clock = Clock::start();
        let readings = PeerNotices::new(Arc::clone(&knowledge), SharedNotices::default(), clock, metrics.clone());
        let mut address = free_address();
        // Another process may take the port between the two.
        while readings.exchange(address).await.is_err() {
            address = free_address();
        }
        Node { address, knowledge, metrics, readings, clock }
    }

    fn knows(&self, peers: &[&Node]) {
        let peers = Arc::new(peers.iter().map(|peer| peer.address).collect());
        self.knowledge.store(Arc::new(Knowledge { peers, ..Knowledge::nothing() }));
    }

    fn dropped(&self, cause: &str) -> bool {
        let text = self.metrics.encode().expect("metrics are text");
        text.contains(&format!("dropped_messages_total{{cause=\"{cause}\"}}"))
    }

    fn keeps(&self) -> u32 {
        self.readings.with_index(|index| index.kept_tokens_of(&engine().id, &prompt()))
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

async fn until(condition: impl Fn() -> bool) {
    for _ in 0..POLLS {
        if condition() {
            return;
        }
        sleep(POLL).await;
    }
    panic!("the condition never held");
}

#[tokio::test]
async fn only_known_peers_are_believed_and_what_is_dropped_is_counted() {
    let test = async {
        let (here, there) = (Node::start().await, Node::start().await);
        here.knows(&[&there]);
        here.readings.begin(&engine(), &prompt(), Urgency::InTime).end(true);
        until(|| there.dropped("unknown_sender")).await;
        assert_eq!(there.keeps(), 0);
        there.knows(&[&here]);
        here.readings.begin(&engine(), &prompt(), Urgency::InTime).end(true);
        until(|| there.keeps() == 6_000).await;
        let stranger = UdpSocket::bind("127.0.0.1:0").expect("there is a free port");
        stranger.send_to(&[0xff; 40], there.address.0).expect("loopback takes datagrams");
        until(|| there.dropped("malformed")).await;
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_back_end_that_two_nodes_could_not_reach_is_passed_over_by_a_third() {
    let test = async {
        let (one, two, three) = (Node::start().await, Node::start().await, Node::start().await);
        one.knows(&[&two, &three]);
        two.knows(&[&one, &three]);
        three.knows(&[&one, &two]);
        // What was told is soon forgotten, so it is told until it has arrived.
        until(|| {
            one.readings.record_unreachable(&engine().id);
            two.readings.record_unreachable(&engine().id);
            three.readings.is_suspected(&engine().id, three.clock.now())
        })
        .await;
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn what_a_stranger_could_not_reach_counts_for_nothing() {
    let test = async {
        let (one, two, three) = (Node::start().await, Node::start().await, Node::start().await);
        one.knows(&[&three]);
        two.knows(&[&three]);
        three.knows(&[&one]);
        until(|| {
            one.readings.record_unreachable(&engine().id);
            two.readings.record_unreachable(&engine().id);
            three.dropped("unknown_sender")
        })
        .await;
        assert!(!three.readings.is_suspected(&engine().id, three.clock.now()));
    };
    LocalSet::new().run_until(test).await;
}

/// A node that had cleared a request and heard a peer blame it for the ends before queued its answer, and did not wake the task that
/// sends it: the peer went on blocking the request. The evidence: this test, on the code as it was.
#[tokio::test]
async fn a_peer_that_missed_a_whole_answer_is_told_when_it_goes_on_blaming() {
    let test = async {
        let (here, there) = (Node::start().await, Node::start().await);
        let popular = ContentId::of([&b"asked by many"[..]]);
        let ends = |node: &Node, engines: u32| {
            for number in 0..engines {
                let sent_at = node.clock.now();
                let runs = [TerminatedRun { content: popular, sent_at }];
                let engine = BackEndId::new(format!("ended-{number}"));
                node.readings.engine_terminations().note_ended(&engine, &runs, node.clock.now());
            }
        };
        ends(&here, 1);
        ends(&there, 3);
        // Ends are told as ages, which a message on its way makes longer: the answer has to come clearly later.
        sleep(20 * POLL).await;
        here.readings.engine_terminations().note_served(popular);
        assert_eq!(there.readings.engine_terminations().blocked(), 1);
        // Both have told all that they had, to nobody, before they know of each other.
        until(|| {
            !here.readings.engine_terminations().has_untold() && !there.readings.engine_terminations().has_untold()
        })
        .await;
        here.knows(&[&there]);
        there.knows(&[&here]);
        until(|| there.readings.engine_terminations().blocked() == 0).await;
        assert!(!here.readings.engine_terminations().is_suspect(popular));
    };
    LocalSet::new().run_until(test).await;
}
