//! What a send without an answer says of the back end.

use havengate_core::world::Address;
use havengate_relay::back_ends::SendFailure;
use havengate_relay::protocol::{CacheSource, SendStage};

fn text() -> String {
    "why".to_owned()
}

fn decode() -> SendStage {
    let address = Address(std::net::SocketAddr::from(([10, 0, 0, 1], 80)));
    SendStage::Decode(CacheSource { address, handle: "handle".to_owned() })
}

#[test]
fn a_back_end_that_cannot_be_connected_to_or_acknowledges_nothing_is_told_to_others() {
    for failure in [SendFailure::NotSent(text()), SendFailure::Silent(text())] {
        for stage in [SendStage::Whole, SendStage::Prefill, decode()] {
            assert!(failure.should_warn_peers(&stage), "{failure} {stage:?}");
        }
    }
}

#[test]
fn a_prompt_that_an_engine_broke_off_is_told_and_an_answer_that_was_lost_is_not() {
    assert!(SendFailure::Lost(text()).should_warn_peers(&SendStage::Prefill));
    assert!(!SendFailure::Lost(text()).should_warn_peers(&SendStage::Whole));
    assert!(!SendFailure::Lost(text()).should_warn_peers(&decode()));
}

#[test]
fn a_request_whose_time_ran_out_says_nothing_of_the_engine_that_had_much_to_do() {
    for failure in [SendFailure::TimedOut, SendFailure::NoTime] {
        for stage in [SendStage::Whole, SendStage::Prefill, decode()] {
            assert!(!failure.should_warn_peers(&stage), "{failure} {stage:?}");
        }
    }
}
