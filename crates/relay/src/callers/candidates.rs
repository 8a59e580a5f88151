//! The back ends that a request may be sent to, by this node's local view.

use std::time::Duration;

use havengate_core::back_ends::{BackEnd, DirectoryEntry, EngineStage, Usability};
use havengate_core::relay::{Candidate, Placed, PlacementRules, Purpose, place};
use havengate_core::resumption::VersionKey;
use havengate_core::time::Timestamp;
use havengate_core::world::{BackEndId, ServiceName};

use super::traffic::Traffic;
use crate::knowledge::Knowledge;

/// Chooses the back end of `service` that a request is sent to, other than those in `tried`, and returns it with the
/// expected time until the prompt is prefilled there. With a `version`, only back ends of that one may answer; any may prefill
/// the prompt.
pub fn choose_back_end<P>(
    traffic: &Traffic<P>,
    knowledge: &Knowledge,
    service: &ServiceName,
    purpose: &Purpose<'_>,
    tried: &[BackEndId],
    version: Option<VersionKey>,
) -> Option<(BackEnd, Placed)> {
    let candidates = candidates(traffic, knowledge, service, traffic.clock.now());
    let may_answer = |id: &BackEndId| version.is_none_or(|version| knowledge.versions.key_of(id) == version);
    let is_of_version = |back_end: &BackEnd| back_end.stage == Some(EngineStage::Prefill) || may_answer(&back_end.id);
    let avoid = |back_end: &BackEnd| tried.contains(&back_end.id) || !is_of_version(back_end);
    let (config, topology) = (traffic.placement(), traffic.topology());
    let rules = PlacementRules { config: &config, topology: Some(&topology) };
    let placed = traffic.with_random(|random| place(&candidates, purpose, rules, avoid, random))?;
    Some((candidates[placed.index].back_end.clone(), placed))
}

fn candidates<'k, P>(
    traffic: &Traffic<P>,
    knowledge: &'k Knowledge,
    service: &ServiceName,
    now: Timestamp,
) -> Vec<Candidate<'k>> {
    let connections_maximum = connections_maximum(knowledge, service);
    let entries = knowledge.directory.of_service(service);
    let notices = traffic.notices.lock();
    entries
        .map(|entry| {
            let id = &entry.back_end.id;
            Candidate {
                back_end: &entry.back_end,
                usability: match notices.usability(entry, now) {
                    // An engine that changes its stage refuses what it can't run before the change, so it is a last
                    // resort.
                    Usability::Usable if knowledge.is_changing(&entry.back_end, now) => Usability::LastResort,
                    usability => usability,
                },
                healthy: traffic.loads.admits(id, now) && !traffic.peer_notices.is_suspected(id, now),
                connectable: traffic.pool.open(id) < connections_maximum || traffic.pool.idle(id) > 0,
                in_flight: traffic.loads.in_flight(id),
            }
        })
        .collect()
}

/// The time until the first back end that can answer leaves its backoff, if all of them are backing off; else `None`.
pub fn backoff_remaining<P>(traffic: &Traffic<P>, service: &ServiceName) -> Option<Duration> {
    let knowledge = traffic.knowledge.load();
    let answers = |entry: &&DirectoryEntry| entry.back_end.stage != Some(EngineStage::Prefill);
    let entries = knowledge.directory.of_service(service).filter(answers);
    traffic.notices.lock().wait_until_available(entries, traffic.clock.now())
}

/// This node's share of the connections that a back end accepts from all nodes together.
fn connections_maximum(knowledge: &Knowledge, service: &ServiceName) -> u32 {
    let description = knowledge.configuration.as_ref().and_then(|active| active.configuration.service(service));
    let maximum = description.map_or(u32::MAX, |description| description.connections_maximum);
    (maximum / knowledge.nodes.max(1)).max(1)
}
