//! The exchange of where streams began.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use havengate_core::relay::PeerNotice;
use havengate_core::resumption::{
    OriginAnswer, OriginLookup, OriginNotice, OriginQuery, OriginSearch, OriginSource, RankedPeers, ReportedOrigin,
    ReportedVersion, ServiceTag, StreamKey, StreamOrigin,
};
use havengate_core::time::Timestamp;
use havengate_core::world::Address;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};

use super::PeerNotices;
use crate::metrics::NodeMessageKind;
use crate::stream_origins::StreamOrigins;

/// How often it is checked whether a service has several versions since.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// After this time, peers that have not answered are queried again: a datagram may be lost.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The longest wait for answers. Two nodes in different regions are up to 60 ms apart.
const SEARCH_TIME_LIMIT: Duration = Duration::from_millis(250);

/// The longest wait for answers if this node knows of a single version, which a peer may know better.
const CONFIRMATION_TIME_LIMIT: Duration = Duration::from_millis(60);

/// The peers of this node, by distance.
struct PeersByDistance {
    near: Vec<Address>,
    distant: Vec<Address>,
}

impl PeersByDistance {
    fn ranked(&self) -> RankedPeers<'_> {
        RankedPeers { near: &self.near, distant: &self.distant }
    }
}

impl PeerNotices {
    /// Starts to exchange where streams began.
    pub fn exchange_origins(&self, origins: &StreamOrigins) {
        if self.shared.origins.set(origins.clone()).is_ok() {
            tokio::task::spawn_local(self.clone().publish_earlier_origins(origins.clone()));
        }
    }

    /// Sends the replicas of a stream where it began, if its service has several versions.
    pub async fn publish_origin(&self, stream: StreamKey, origin: StreamOrigin, began: Timestamp) {
        let now = self.shared.clock.now();
        let needs_origins = self.shared.knowledge.load().versions.needs_origins(origin.service, now);
        if let Some(sender) = self.sender().filter(|_| needs_origins) {
            let replicas = self.peers_by_distance().ranked().replicas(stream);
            let origins = vec![report(stream, origin, began, now)];
            let notice = PeerNotice::StreamOrigins(OriginNotice { sender, origins });
            self.send(&notice, NodeMessageKind::Origins, &replicas).await;
        }
    }

    /// Queries peers about where a stream began and adds their answers to `search`, until it is over.
    pub async fn search_origin(&self, search: &mut OriginSearch, stream: StreamKey, service: ServiceTag) {
        let mut unanswered = self.peers_by_distance().ranked().queried(stream);
        let answers = self.shared.origins.get().and_then(|origins| origins.begin_search(stream));
        if unanswered.is_empty() {
            return;
        }
        let (Some(sender), Some(mut answers)) = (self.sender(), answers) else {
            search.distrust_versions();
            return;
        };
        let queried = unanswered.len();
        let query = PeerNotice::OriginQuery(OriginQuery { sender, stream, service });
        let time_limit = if search.has_single_version() { CONFIRMATION_TIME_LIMIT } else { SEARCH_TIME_LIMIT };
        let ends_at = Instant::now() + time_limit;
        while Instant::now() < ends_at {
            self.send(&query, NodeMessageKind::Origins, &unanswered).await;
            let retry_at = ends_at.min(Instant::now() + RETRY_INTERVAL);
            while let Ok(Some(answer)) = timeout_at(retry_at, answers.recv()).await {
                unanswered.retain(|peer| *peer != answer.sender);
                let is_over = search.receive(&answer, &self.shared.knowledge.load().versions);
                if is_over || unanswered.is_empty() {
                    return;
                }
            }
        }
        if 2 * unanswered.len() > queried {
            // Those that have not answered may know of a version that this node and the others don't know.
            search.distrust_versions();
        }
    }

    /// Keeps the origins that a peer has sent.
    pub(super) fn receive_origins(&self, notice: &OriginNotice) {
        let Some(origins) = self.shared.origins.get() else {
            return;
        };
        let (now, kept_for) = (self.shared.clock.now(), self.shared.knowledge.load().versions.kept_for());
        for reported in notice.origins.iter().take(OriginNotice::ORIGINS_MAXIMUM) {
            let began = now - Duration::from_millis(u64::from(reported.age_millis));
            origins.record(reported.stream, reported.origin, began, OriginSource::Peer, now + kept_for);
        }
    }

    /// Answers a peer that queries where a stream began.
    pub(super) async fn answer_origin_query(&self, query: OriginQuery) {
        let (Some(sender), Some(origins)) = (self.sender(), self.shared.origins.get()) else {
            return;
        };
        let now = self.shared.clock.now();
        let origin = match origins.find(query.stream) {
            OriginLookup::Known { origin, began, .. } => Some(report(query.stream, origin, began, now)),
            OriginLookup::Unknown | OriginLookup::Ambiguous => None,
        };
        let versions = self.shared.knowledge.load().versions.clone();
        let known = versions.of_service(query.service).into_iter().flat_map(|known| known.iter());
        let reported = known.map(|(key, departed_at)| ReportedVersion {
            key,
            departed_millis: departed_at.map(|at| saturating_millis(now.since(at))),
        });
        let answer = OriginAnswer {
            sender,
            stream: query.stream,
            origin,
            versions: reported.take(OriginAnswer::VERSIONS_MAXIMUM).collect(),
            covered_millis: saturating_millis(versions.covered(now)),
        };
        self.send(&PeerNotice::OriginAnswer(answer), NodeMessageKind::Origins, &[query.sender]).await;
    }

    /// Passes a peer's answer to the search that waits for it.
    pub(super) fn receive_origin_answer(&self, answer: &OriginAnswer) {
        let is_awaited = self.shared.origins.get().is_some_and(|origins| origins.receive_answer(answer));
        if !is_awaited {
            self.shared.metrics.record_dropped_message("overtaken");
        }
    }

    /// Sends the replicas where earlier streams of this node began as soon as their service has several versions; never
    /// returns.
    async fn publish_earlier_origins(self, origins: StreamOrigins) {
        let mut ticks = interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut published: BTreeSet<ServiceTag> = BTreeSet::new();
        loop {
            ticks.tick().await;
            let now = self.shared.clock.now();
            origins.tidy(now);
            let needing = self.services_needing_origins(now);
            let added: BTreeSet<ServiceTag> = needing.difference(&published).copied().collect();
            published = needing;
            if !added.is_empty() {
                self.publish_origins_of(&origins, &added, now).await;
            }
        }
    }

    fn services_needing_origins(&self, now: Timestamp) -> BTreeSet<ServiceTag> {
        let knowledge = self.shared.knowledge.load();
        let services = knowledge.configuration.iter().flat_map(|active| &active.configuration.services);
        let tags = services.map(|service| ServiceTag::from(&service.name));
        tags.filter(|service| knowledge.versions.needs_origins(*service, now)).collect()
    }

    async fn publish_origins_of(&self, origins: &StreamOrigins, services: &BTreeSet<ServiceTag>, now: Timestamp) {
        let Some(sender) = self.sender() else {
            return;
        };
        let kept_for = self.shared.knowledge.load().versions.kept_for();
        let peers = self.peers_by_distance();
        let mut by_replica: BTreeMap<Address, Vec<ReportedOrigin>> = BTreeMap::new();
        origins.with_table(|table| {
            for (stream, origin, began) in table.own_since(kept_for, now) {
                let replicas =
                    if services.contains(&origin.service) { peers.ranked().replicas(stream) } else { vec![] };
                for replica in replicas {
                    by_replica.entry(replica).or_default().push(report(stream, origin, began, now));
                }
            }
        });
        for (replica, reported) in by_replica {
            for origins in reported.chunks(OriginNotice::ORIGINS_MAXIMUM) {
                let notice = PeerNotice::StreamOrigins(OriginNotice { sender, origins: origins.to_vec() });
                self.send(&notice, NodeMessageKind::Origins, &[replica]).await;
            }
        }
    }

    fn peers_by_distance(&self) -> PeersByDistance {
        let peers = self.shared.knowledge.load().peers.clone();
        let (distant, near) = peers.iter().partition(|peer| self.is_in_other_region(**peer));
        PeersByDistance { near, distant }
    }
}

fn report(stream: StreamKey, origin: StreamOrigin, began: Timestamp, now: Timestamp) -> ReportedOrigin {
    ReportedOrigin { stream, origin, age_millis: saturating_millis(now.since(began)) }
}

fn saturating_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
