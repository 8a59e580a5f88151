//! One fixed message of each kind that relaying nodes send each other.

use havengate_core::authority::Term;
use havengate_core::back_ends::{
    AnnouncedLimit, BackEnd, BackEndState, DirectoryChange, DirectoryChanges, DirectoryListing, DirectoryUpdate,
    DrainNotice, DrainingBackEnd, EngineStage, LimitNotice, RequestRate,
};
use havengate_core::duties::usage::{UsageCountsMessage, WindowNumber};
use havengate_core::paths::{PathGroup, TunnelAnswer, TunnelId, TunnelOffer, TunnelQuery, TunnelRequest, TunnelToken};
use havengate_core::quota::{
    LimitUnit, NamedLimit, QuotaAnswer, QuotaGrant, QuotaRequest, ReachReport, TenantLimit, TenantLimitNotice,
    TenantLimitQuery,
};
use havengate_core::relay::{
    AnnouncedPart, AnsweredContent, CachedParts, ContentId, EngineTag, FinishedPrefill, OpenPrefills, PeerNotice,
    PrefillNotice, PrefillTotals, PromptPart, ReportedRun, ReportedTermination, TerminationNotice, UnreachableNotice,
};
use havengate_core::replication::{
    ConfigurationChanges, ConfigurationUpdate, Digest, KnowledgeAges, LocationNotice, PackedUpdate, PeerAddresses,
    PeerMessage, Pull, PullAnswer, ReachNotice, StageNotice,
};
use havengate_core::resumption::{
    BackEndTag, OriginAnswer, OriginNotice, OriginQuery, ReportedOrigin, ReportedVersion, ServiceTag, SoftwareVersion,
    StreamKey, StreamOrigin, VersionKey, VersionNotice, VersionQuery,
};
use havengate_core::routing::{
    CallerLimits, ConfigurationNumber, EngineTraits, FleetLimits, KeyDigest, Price, RequestKind, Route,
    ServiceDescription, TenantAccess, TrafficConfiguration, WeightedService,
};
use havengate_core::stages::{DemandReport, ServiceDemand};
use havengate_core::store::{Position, Revision};
use havengate_core::world::{
    Address, BackEndId, BackEndName, RouteName, ServiceName, StartMoment, TenantName, ZoneName,
};
use havengate_wire::{decode, encode};
use speedy::{LittleEndian, Readable, Writable};
use std::net::SocketAddr;
use std::time::Duration;

/// Whether bytes decode to a given message.
type DecodeCheck = Box<dyn Fn(&[u8]) -> bool>;

/// A message as the current code encodes it, and a check whether bytes decode to the same message.
pub struct Sample {
    /// The name in the records of layouts.
    pub name: &'static str,
    /// The encoded message.
    pub bytes: Vec<u8>,
    /// Whether bytes decode to this message.
    pub is_decoded_from: DecodeCheck,
}

fn sample<M>(name: &'static str, message: M) -> Sample
where
    M: for<'a> Readable<'a, LittleEndian> + Writable<LittleEndian> + PartialEq + 'static,
{
    let bytes = encode(&message).expect("the message can be encoded");
    Sample { name, bytes, is_decoded_from: Box::new(move |bytes| decode::<M>(bytes).is_ok_and(|read| read == message)) }
}

/// All samples.
pub fn samples() -> Vec<Sample> {
    let mut samples = vec![
        sample("peer.digest", PeerMessage::Digest(digest())),
        sample("peer.demand", PeerMessage::Demand(demand())),
        sample("peer.stages", PeerMessage::Stages(stages())),
        sample("peer.usage", PeerMessage::Usage(usage())),
        sample("peer.usage_wanted", PeerMessage::UsageWanted(address(1))),
        sample("peer.tenant_limits_wanted", PeerMessage::TenantLimitsWanted(tenant_limit_query())),
        sample("peer.tenant_limits", PeerMessage::TenantLimits(tenant_limits())),
        sample("peer.locations", PeerMessage::Locations(locations())),
        sample("peer.duty_unavailable", PeerMessage::DutyUnavailable(address(1))),
        sample("peer.versions_wanted", PeerMessage::VersionsWanted(version_query())),
        sample("peer.versions", PeerMessage::Versions(versions())),
        sample("peer.reach", PeerMessage::Reach(reach())),
        sample("pull.all", Pull { configuration: Some(ConfigurationNumber(0)), ..pull() }),
        sample("pull.directory", pull()),
        sample("answer.nothing", PullAnswer::default()),
        sample("answer.changes", answer(DirectoryUpdate::Changes(changes()))),
        sample("answer.listing", answer(DirectoryUpdate::Listing(listing()))),
        sample("news.whole", ConfigurationUpdate::Full(configuration(9))),
        sample("news.changes", configuration_changes()),
    ];
    samples.extend(peer_notices());
    samples
}

fn peer_notices() -> Vec<Sample> {
    let sender = address(1);
    let part = PromptPart { id: 0x1122_3344_5566, tokens: 13_300 };
    let notice = PrefillNotice {
        sender,
        sequence: 77,
        open: vec![OpenPrefills { engine: tag(3), tokens: 4_000, late_tokens: 120, age_millis: 35 }],
        first_finished: 12,
        finished: vec![FinishedPrefill { engine: tag(4), shared_parts: vec![part], tokens: 17_000 }],
    };
    let cached = CachedParts { engine: back_end_id(), parts: vec![AnnouncedPart { part, added_since: 5 }] };
    let run = ReportedRun { content: content(), ran_micros: 900 };
    let terminations = TerminationNotice {
        sender,
        terminations: vec![ReportedTermination { engine: tag(5), age_micros: 1_000, runs: vec![run] }],
        answered: vec![AnsweredContent { content: content(), age_micros: 2_000 }],
    };
    let draining = DrainingBackEnd { back_end: back_end_id(), age_millis: 250 };
    let limit = |limit| AnnouncedLimit { back_end: back_end_id(), limit, age_millis: 250 };
    vec![
        sample("readings.notice", PeerNotice::Prefills(notice)),
        sample("readings.ask_kept", PeerNotice::RequestCachedParts { sender }),
        sample("readings.kept", PeerNotice::CachedParts(cached)),
        sample(
            "readings.unreachable",
            PeerNotice::Unreachable(UnreachableNotice { sender, back_ends: vec![(tag(6), 90)] }),
        ),
        sample("readings.ends", PeerNotice::Terminations(terminations.clone())),
        sample("readings.part_ends", PeerNotice::PartTerminations(terminations)),
        sample("readings.leaving", PeerNotice::Drains(DrainNotice { sender, back_ends: vec![draining] })),
        sample(
            "readings.limits",
            PeerNotice::Limits(LimitNotice { sender, limits: vec![limit(RequestRate::per_second(3.3)), limit(None)] }),
        ),
        sample("readings.quota_request", PeerNotice::QuotaRequest(quota_request(sender))),
        sample("readings.quota_grant", PeerNotice::QuotaGrant(quota_grant(sender))),
        sample("readings.tunnel_query", PeerNotice::TunnelQuery(TunnelQuery { sender, group: path_group() })),
        sample("readings.tunnel_offer", PeerNotice::TunnelOffer(tunnel_offer(sender))),
        sample("readings.tunnels_end", PeerNotice::TunnelsEnd { sender }),
        sample("readings.stream_origins", PeerNotice::StreamOrigins(stream_origins(sender))),
        sample("readings.origin_query", PeerNotice::OriginQuery(origin_query(sender))),
        sample("readings.origin_answer", PeerNotice::OriginAnswer(origin_answer(sender))),
        sample("tunnel.request", tunnel_request()),
        sample("tunnel.answer", TunnelAnswer::Unlisted),
        sample("tunnel.ended_in_order", TunnelAnswer::EndedInOrder),
        sample("tunnel.end_unproven", TunnelAnswer::EndUnproven),
    ]
}

fn reach() -> ReachNotice {
    ReachNotice { sender: address(1), report: ReachReport { peers: 3, most_peers: 19, most_age_seconds: 40 } }
}

fn back_end_tag() -> BackEndTag {
    BackEndTag::from(&back_end_id())
}

fn version_query() -> VersionQuery {
    VersionQuery { sender: address(1), back_ends: vec![back_end_tag(), back_end_tag()] }
}

fn versions() -> VersionNotice {
    let versions = vec![(Some(SoftwareVersion::new("v1.2")), vec![back_end_tag()]), (None, vec![back_end_tag()])];
    VersionNotice { sender: address(1), position: Position::from(Revision(41)), versions }
}

fn reported_origin() -> ReportedOrigin {
    let version = VersionKey::Version(SoftwareVersion::new("v1.2").fingerprint());
    let origin = StreamOrigin { service: ServiceTag::from(&ServiceName::new("model")), version };
    ReportedOrigin { stream: StreamKey::new(None, b"9c41d07be2a35f68"), origin, age_millis: 250 }
}

fn stream_origins(sender: Address) -> OriginNotice {
    OriginNotice { sender, origins: vec![reported_origin()] }
}

fn origin_query(sender: Address) -> OriginQuery {
    let ReportedOrigin { stream, origin, .. } = reported_origin();
    OriginQuery { sender, stream, service: origin.service }
}

fn origin_answer(sender: Address) -> OriginAnswer {
    let origin = reported_origin();
    let serving = ReportedVersion { key: origin.origin.version, departed_millis: None };
    let departed = ReportedVersion { key: VersionKey::BackEnd(back_end_tag()), departed_millis: Some(900) };
    OriginAnswer {
        sender,
        stream: origin.stream,
        origin: Some(origin),
        versions: vec![serving, departed],
        covered_millis: 30_000,
    }
}

fn path_group() -> PathGroup {
    PathGroup { service: ServiceName::new("model"), stage: Some(EngineStage::Decode) }
}

fn tunnel_offer(sender: Address) -> TunnelOffer {
    let zone = ZoneName::new("zone-1");
    TunnelOffer { sender, zone, group: path_group(), token: TunnelToken(17, 4), open: 3 }
}

fn tunnel_request() -> TunnelRequest {
    TunnelRequest { token: TunnelToken(17, 4), id: TunnelId(9), back_end: BackEndId::new("engine-a") }
}

fn quota_request(sender: Address) -> QuotaRequest {
    let tenant = TenantName::from("school");
    QuotaRequest { sender, sequence: 91, tenant, needed: 17_000, wanted: 40_000, returned: 250 }
}

fn quota_grant(sender: Address) -> QuotaGrant {
    let answer = QuotaAnswer::Exhausted { retry_after_millis: 180 };
    QuotaGrant { sender, sequence: 91, tenant: TenantName::from("school"), answer }
}

fn tenant_limit_query() -> TenantLimitQuery {
    TenantLimitQuery { sender: address(1), version: ConfigurationNumber(9) }
}

fn tenant_limits() -> TenantLimitNotice {
    let unit = LimitUnit::Tokens { default_cost: 200 };
    let limit = TenantLimit { per_second: 47_000, burst: 94_000, unit };
    let limits = vec![NamedLimit { tenant: TenantName::from("school"), limit }];
    TenantLimitNotice { sender: address(1), version: ConfigurationNumber(9), part: 0, parts: 2, limits }
}

fn locations() -> LocationNotice {
    LocationNotice { sender: address(1), locations: vec![(address(2), ZoneName::from("north-a"))] }
}

fn address(number: u8) -> Address {
    Address(SocketAddr::from(([10, 0, 0, number], 7_000)))
}

fn addresses(number: u8) -> PeerAddresses {
    PeerAddresses { control: address(number), notices: address(number + 100) }
}

fn back_end_id() -> BackEndId {
    BackEndId::of_incarnation(BackEndName::new("engine-a"), Some(StartMoment(1_700_000_000_123)))
}

fn tag(number: u32) -> EngineTag {
    EngineTag::from_number(number)
}

fn content() -> ContentId {
    ContentId::of([b"a body".as_slice()])
}

fn digest() -> Digest {
    Digest {
        sender: addresses(1),
        configuration: ConfigurationNumber(9),
        directory: Position::from(Revision(1_234)),
        peers: vec![addresses(2), addresses(3)],
    }
}

fn demand() -> DemandReport {
    DemandReport {
        sender: address(1),
        incarnation: 42,
        services: vec![(ServiceName::new("model"), ServiceDemand { prefill_tokens: 70_000, answer_millis: 3_100 })],
        isolated_prefills: PrefillTotals { tokens: 17_000, micros: 250_000 },
    }
}

fn stages() -> StageNotice {
    StageNotice {
        sender: address(1),
        term: Term(8),
        engines: vec![(back_end_id(), EngineStage::Decode), (BackEndId::new("engine-b"), EngineStage::Prefill)],
    }
}

fn usage() -> UsageCountsMessage {
    UsageCountsMessage {
        sender: address(1),
        incarnation: 42,
        window: WindowNumber(353_445_120),
        counts: vec![(TenantName::new("press"), 412)],
    }
}

fn pull() -> Pull {
    Pull { configuration: None, directory: Position::from(Revision(1_234)), wait_millis: 400 }
}

fn answer(directory: DirectoryUpdate) -> PullAnswer {
    PullAnswer {
        newest: ConfigurationNumber(9),
        newest_at: Some(Position::from(Revision(1_200))),
        configuration: vec![PackedUpdate { version: ConfigurationNumber(9), bytes: vec![1, 2, 3] }],
        directory: Some(directory),
        ages: KnowledgeAges {
            configuration_millis: Some(10),
            configuration_current_millis: None,
            directory_millis: Some(20),
        },
        waited_millis: 400,
    }
}

fn back_end(stage: Option<EngineStage>, state: BackEndState) -> BackEnd {
    BackEnd {
        id: back_end_id(),
        service: ServiceName::new("model"),
        address: address(9),
        zone: ZoneName::new("zone-1"),
        slots: 48,
        state,
        stage,
        preemptible: true,
    }
}

fn changes() -> DirectoryChanges {
    let name = BackEndName::new("engine-c");
    DirectoryChanges {
        position: Position::from(Revision(1_240)),
        changes: vec![
            DirectoryChange::Put(back_end(Some(EngineStage::Prefill), BackEndState::Ready)),
            DirectoryChange::Gone(name.clone()),
            DirectoryChange::Malformed(name),
        ],
    }
}

fn listing() -> DirectoryListing {
    DirectoryListing {
        position: Position::from(Revision(1_240)),
        back_ends: vec![back_end(None, BackEndState::Draining)],
        malformed: vec![BackEndName::new("engine-c")],
    }
}

fn route(name: &str, kind: RequestKind) -> Route {
    Route {
        name: RouteName::new(name),
        host: "app.example".to_owned(),
        path_prefix: format!("/{name}/"),
        kind,
        time_limit: Duration::from_millis(4_000),
        target_latency: Duration::from_millis(200),
        target_pause: Some(Duration::from_millis(150)),
        attempts_maximum: 2,
        priority: 1,
        is_public: false,
        services: vec![WeightedService { service: ServiceName::new("model"), weight: 3 }],
    }
}

fn configuration(version: u64) -> TrafficConfiguration {
    let fleet = FleetLimits {
        minimum: 1,
        maximum: 40,
        boot_time: Duration::from_secs(3),
        preemptible_price: Price(300),
        zone_prices: vec![(ZoneName::new("zone-1"), Price::FULL)],
    };
    let service = ServiceDescription {
        name: ServiceName::new("model"),
        connections_maximum: 300,
        engines: Some(EngineTraits { slots: 48, cache_tokens: 495_255 }),
        fleet: Some(fleet),
    };
    let tenant =
        TenantAccess { name: TenantName::new("press"), keys: vec![KeyDigest::of(b"a key")], priority: Some(2) };
    TrafficConfiguration {
        version: ConfigurationNumber(version),
        routes: vec![
            route("safe", RequestKind::Repeatable),
            route("once", RequestKind::Once),
            route(&format!("stream-{version}"), RequestKind::Stream { resumable: true }),
        ],
        services: vec![service],
        limits: CallerLimits {
            head_maximum_bytes: 16_384,
            body_maximum_bytes: 1_000_000,
            head_time_limit: Duration::from_secs(3),
            idle_time_limit: Duration::from_secs(15),
        },
        tenants: Some(vec![tenant]),
        tenant_limits: None,
    }
}

fn configuration_changes() -> ConfigurationUpdate {
    let changes = ConfigurationChanges::between(&configuration(8), &configuration(9));
    ConfigurationUpdate::Changes(changes.expect("the configurations can be fingerprinted"))
}
