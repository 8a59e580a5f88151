//! An announcement of stage changes fits one datagram.

use havengate_core::authority::Term;
use havengate_core::back_ends::EngineStage;
use havengate_core::replication::{PeerMessage, StageNotice};
use havengate_core::stages::ChangesConfig;
use havengate_core::world::{Address, BackEndId};
use havengate_relay::datagrams::DATAGRAM_MAXIMUM_BYTES;
use havengate_wire::encode;

#[test]
fn all_engines_that_may_change_at_once_fit_one_announcement() {
    let name = |number: usize| BackEndId::new(format!("{number:030}"));
    let engines = (0..ChangesConfig::default().concurrent_maximum).map(|number| (name(number), EngineStage::Prefill));
    let sender = Address(std::net::SocketAddr::from(([10, 0, 0, 1], 8_000)));
    let notice = StageNotice { sender, term: Term(u64::MAX), engines: engines.collect() };
    let bytes = encode(&PeerMessage::Stages(notice)).expect("the message can be encoded");
    assert!(bytes.len() <= DATAGRAM_MAXIMUM_BYTES, "{} bytes", bytes.len());
}
