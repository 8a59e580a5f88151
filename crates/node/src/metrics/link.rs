//! The traffic between nodes, read from the counters of the links whenever metrics are written.

use std::fmt;
use std::sync::Arc;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;

use super::labels::DirectionLabel;
use crate::peers::LinkCounters;

/// Writes the counters of the links to peers.
#[derive(Debug)]
pub(super) struct LinkCollector(pub(super) Arc<LinkCounters>);

impl Collector for LinkCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let counts = self.0.counts();
        let help = "Control messages between nodes; answers to callers don't count";
        encode_directions(&mut encoder, "control_messages", help, [counts.messages_in, counts.messages_out])?;
        let help = "Payload bytes of control messages between nodes";
        encode_directions(&mut encoder, "control_bytes", help, [counts.bytes_in, counts.bytes_out])?;
        let help = "Control messages that were dropped because a peer's queue was full or it could not be reached";
        let dropped = encoder.encode_descriptor("control_messages_dropped", help, None, MetricType::Counter)?;
        ConstCounter::new(counts.messages_dropped).encode(dropped)
    }
}

fn encode_directions(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    in_and_out: [u64; 2],
) -> Result<(), fmt::Error> {
    let mut family = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
    for (direction, count) in ["in", "out"].into_iter().zip(in_and_out) {
        ConstCounter::new(count).encode(family.encode_family(&DirectionLabel { direction })?)?;
    }
    Ok(())
}
