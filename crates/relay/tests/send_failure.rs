//! Which failures of a send are announced to peers.

use havengate_core::world::Address;
use havengate_relay::back_ends::SendFailure;
use havengate_relay::protocol::{CacheSource, SendStage};

fn error_text() -> String {
    "why".to_owned()
}

fn decode_stage() -> SendStage {
    let address = Address(std::net::SocketAddr::from(([10, 0, 0, 1], 80)));
    SendStage::Decode(CacheSource { address, handle: "handle".to_owned() })
}

#[test]
fn failed_connections_and_missing_acknowledgements_are_announced() {
    for failure in [SendFailure::NotSent(error_text()), SendFailure::Silent(error_text())] {
        for stage in [SendStage::Complete, SendStage::Prefill, decode_stage()] {
            assert!(failure.should_warn_peers(&stage), "{failure} {stage:?}");
        }
    }
}

#[test]
fn interrupted_prefills_are_announced_and_lost_answers_are_not() {
    assert!(SendFailure::Lost(error_text()).should_warn_peers(&SendStage::Prefill));
    assert!(!SendFailure::Lost(error_text()).should_warn_peers(&SendStage::Complete));
    assert!(!SendFailure::Lost(error_text()).should_warn_peers(&decode_stage()));
}

#[test]
fn timeouts_are_not_announced() {
    for failure in [SendFailure::TimedOut, SendFailure::NoTime] {
        for stage in [SendStage::Complete, SendStage::Prefill, decode_stage()] {
            assert!(!failure.should_warn_peers(&stage), "{failure} {stage:?}");
        }
    }
}
