//! Where a stream may go on, by what nodes know of software versions and of where it began.

use std::collections::BTreeSet;
use std::time::Duration;

use arbtest::arbitrary::{Result as Arbitrary, Unstructured};
use arbtest::arbtest;
use havengate_core::back_ends::{BackEnd, BackEndState, Directory, DirectoryListing, EngineStage};

use havengate_core::resumption::{
    BackEndTag, BackEndVersion, FoundOrigin, OriginAnswer, OriginEvidence, OriginLookup, OriginNotice, OriginSearch,
    OriginSource, OriginTable, RankedPeers, ReportedOrigin, ReportedVersion, ServiceTag, SoftwareVersion, StreamKey,
    StreamOrigin, VersionKey, VersionKnowledge, VersionNotice, VersionQuery, VersionTable,
};
use havengate_core::store::{Position, Revision, StoreEra};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, BackEndId, BackEndName, ServiceName, StartMoment, TenantName, ZoneName};

const KEPT_FOR: Duration = Duration::from_secs(30);
const SERVICE: &str = "model";

const HISTORIES: u64 = 2_000;

/// The random bytes of one history.
const HISTORY_BYTES: u64 = 0x800;

/// A back end of the tests, by its number, its start and its version; `None`: its entry names none.
type Engine = (u32, Option<u64>, Option<&'static str>);

fn seconds(seconds: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_secs(seconds)
}

fn id((number, started, _): Engine) -> BackEndId {
    BackEndId::of_incarnation(BackEndName::new(format!("engine-{number}")), started.map(StartMoment))
}

fn service() -> ServiceName {
    ServiceName::new(SERVICE)
}

fn tag() -> ServiceTag {
    ServiceTag::from(&service())
}

fn back_end(engine: Engine) -> BackEnd {
    BackEnd {
        id: id(engine),
        service: service(),
        address: address(engine.0 as u16),
        zone: ZoneName::new("zone"),
        slots: 8,
        state: BackEndState::Ready,
        stage: Some(EngineStage::Decode),
        preemptible: false,
    }
}

fn address(port: u16) -> Address {
    format!("10.0.0.1:{port}").parse().expect("it is an address")
}

fn position(revision: u64) -> Position {
    Position::new(StoreEra::default(), Revision(revision))
}

fn listing(revision: u64, engines: &[Engine]) -> DirectoryListing {
    DirectoryListing {
        position: position(revision),
        back_ends: engines.iter().copied().map(back_end).collect(),
        malformed: Vec::new(),
    }
}

fn key(version: &str) -> VersionKey {
    VersionKey::Version(SoftwareVersion::new(version).fingerprint())
}

fn only(engine: Engine) -> VersionKey {
    VersionKey::BackEnd(BackEndTag::from(&id(engine)))
}

/// A node's directory with its version table.
#[derive(Default)]
struct View {
    directory: Directory,
    table: VersionTable,
    revision: u64,
}

impl View {
    /// The view of a node that has read these engines from the store at `now`.
    fn of(engines: &[Engine], now: Timestamp) -> Self {
        let mut view = View::default();
        view.read(engines, now);
        view
    }

    /// Reads the engines from the store.
    fn read(&mut self, engines: &[Engine], now: Timestamp) {
        for engine in engines {
            let version = engine.2.map(SoftwareVersion::new);
            let entry = BackEndVersion { back_end: id(*engine), service: service(), version };
            self.table.record(&entry, position(self.revision + 1), now);
        }
        self.learn(engines, now);
    }

    /// Gets the engines from a peer, without versions.
    fn learn(&mut self, engines: &[Engine], now: Timestamp) {
        self.revision += 1;
        self.directory.adopt(listing(self.revision, engines), now);
        self.table.apply_directory(&self.directory, KEPT_FOR, now);
    }

    fn search(&self, lookup: OriginLookup, now: Timestamp) -> OriginSearch {
        OriginSearch::begin(lookup, tag(), false, &self.table, now)
    }

    /// The answer of this node to a query, with `origin`.
    fn answer(&self, origin: Option<ReportedOrigin>, now: Timestamp) -> OriginAnswer {
        let millis = |duration: Duration| duration.as_millis() as u32;
        let known = self.table.of_service(tag()).into_iter().flat_map(|versions| versions.iter());
        let versions = known.map(|(key, departed)| ReportedVersion {
            key,
            departed_millis: departed.map(|departed| millis(now.since(departed))),
        });
        OriginAnswer {
            sender: address(1),
            stream: StreamKey::new(None, b"s"),
            origin,
            versions: versions.take(OriginAnswer::VERSIONS_MAXIMUM).collect(),
            covered_millis: millis(self.table.covered(now)),
        }
    }
}

fn known(version: VersionKey, began: Timestamp) -> OriginLookup {
    OriginLookup::Known { origin: StreamOrigin { service: tag(), version }, began, source: OriginSource::Own }
}

fn found_version(found: Option<FoundOrigin>) -> Option<(VersionKey, OriginEvidence)> {
    found.map(|found| (found.origin.version, found.evidence))
}

const V1: Engine = (1, None, Some("v1"));
const V2: Engine = (2, None, Some("v2"));

#[test]
fn a_stream_of_known_origin_goes_on_there() {
    let view = View::of(&[V1, V2], seconds(1));
    let search = view.search(known(key("v2"), seconds(2)), seconds(5));
    assert!(!search.should_query_peers());
    let found = search.end().expect("it is known");
    assert_eq!(
        (found.origin.version, found.evidence, found.age),
        (key("v2"), OriginEvidence::Own, Some(Duration::from_secs(3)))
    );
}

#[test]
fn a_stream_of_unknown_origin_goes_on_only_where_no_other_version_can_have_begun_it() {
    let mut view = View::of(&[V1], seconds(1));
    let end = |view: &View, now: Timestamp| found_version(view.search(OriginLookup::Unknown, now).end());
    assert_eq!(end(&view, seconds(20)), None, "another version may have left before the node started");
    assert_eq!(end(&view, seconds(31)), Some((key("v1"), OriginEvidence::OnlyVersion)));
    view.read(&[V1, V2], seconds(40));
    assert_eq!(end(&view, seconds(50)), None);
    view.read(&[V2], seconds(60));
    assert_eq!(end(&view, seconds(80)), None, "v1 has begun streams that are still resumed");
    assert_eq!(end(&view, seconds(92)), Some((key("v2"), OriginEvidence::OnlyVersion)));
    view.read(&[V1], seconds(100));
    assert_eq!(end(&view, seconds(101)), None, "v1 is back, and v2 has just left");
}

#[test]
fn versions_that_may_have_come_and_left_unseen_count() {
    let mut view = View::of(&[V1], seconds(1));
    view.table.interrupt(seconds(50));
    assert_eq!(view.search(OriginLookup::Unknown, seconds(60)).end(), None);
    assert!(view.search(OriginLookup::Unknown, seconds(81)).end().is_some());
}

#[test]
fn peers_that_have_run_for_longer_vouch_for_a_single_version_and_may_name_another_one() {
    let new = View::of(&[V1], seconds(100));
    let old = View::of(&[V1], seconds(1));
    let mut search = new.search(OriginLookup::Unknown, seconds(101));
    assert!(!search.receive(&old.answer(None, seconds(101)), &new.table));
    assert_eq!(found_version(search.end()), Some((key("v1"), OriginEvidence::OnlyVersion)));
    let mut ahead = View::of(&[V1], seconds(1));
    ahead.read(&[V1, V2], seconds(101));
    let mut search = new.search(OriginLookup::Unknown, seconds(101));
    search.receive(&old.answer(None, seconds(101)), &new.table);
    search.receive(&ahead.answer(None, seconds(101)), &new.table);
    assert_eq!(search.end(), None, "a peer knows of v2");
    let mut search = old.search(OriginLookup::Unknown, seconds(101));
    search.distrust_versions();
    assert_eq!(search.end(), None, "too few peers have answered");
}

#[test]
fn a_stream_that_may_have_begun_in_another_service_goes_on_nowhere() {
    let view = View::of(&[V1], seconds(1));
    let search = OriginSearch::begin(OriginLookup::Unknown, tag(), true, &view.table, seconds(60));
    assert_eq!(search.end(), None);
    let search = OriginSearch::begin(known(key("v1"), seconds(5)), tag(), true, &view.table, seconds(60));
    assert_eq!(found_version(search.end()), Some((key("v1"), OriginEvidence::Own)));
}

#[test]
fn two_streams_of_one_name_and_different_origins_go_on_nowhere() {
    let view = View::of(&[V1, V2], seconds(1));
    let mut table = OriginTable::default();
    let stream = StreamKey::new(None, b"s");
    let mut record = |version: &str| {
        let origin = StreamOrigin { service: tag(), version: key(version) };
        table.record(stream, origin, seconds(2), OriginSource::Own, seconds(32));
        table.find(stream)
    };
    assert!(matches!(record("v1"), OriginLookup::Known { .. }));
    assert!(matches!(record("v1"), OriginLookup::Known { .. }), "a repetition changes nothing");
    let lookup = record("v2");
    assert_eq!(lookup, OriginLookup::Ambiguous);
    let search = view.search(lookup, seconds(3));
    assert!(!search.should_query_peers());
    assert_eq!(search.end(), None);
}

#[test]
fn a_name_means_another_stream_for_another_tenant() {
    let tenant = |name: &str| StreamKey::new(Some(&TenantName::new(name)), b"id");
    assert_ne!(tenant("one"), tenant("other"));
    assert_ne!(tenant("one"), StreamKey::new(None, b"id"));
    assert_ne!(StreamKey::new(Some(&TenantName::new("a")), b"bc"), StreamKey::new(Some(&TenantName::new("ab")), b"c"));
    assert_ne!(tenant("one"), StreamKey::new(None, b"oneid"));
}

#[test]
fn origins_are_forgotten_after_their_time() {
    let mut table = OriginTable::default();
    let origin = StreamOrigin { service: tag(), version: key("v1") };
    for number in 0..60_000_u32 {
        let stream = StreamKey::new(None, &number.to_le_bytes());
        table.record(stream, origin, seconds(1), OriginSource::Peer, seconds(31 + u64::from(number) / 30_000));
    }
    assert_eq!(table.len(), 50_000, "memory is bounded");
    assert_eq!(table.find(StreamKey::new(None, &0_u32.to_le_bytes())), OriginLookup::Unknown, "the oldest went first");
    table.tidy(seconds(31));
    assert_eq!(table.len(), 30_000);
    table.tidy(seconds(32));
    assert!(table.is_empty());
}

#[test]
fn a_stream_begun_at_a_back_end_of_unknown_version_goes_on_once_the_version_is_known() {
    let mut view = View::of(&[V1], seconds(1));
    view.learn(&[V1, V2], seconds(40));
    assert_eq!(view.table.key_of(&id(V2)), only(V2));
    assert_eq!(view.table.unknown().collect::<Vec<_>>(), [BackEndTag::from(&id(V2))]);
    let origin = known(view.table.key_of(&id(V2)), seconds(41));
    assert_eq!(found_version(view.search(origin, seconds(42)).end()), Some((only(V2), OriginEvidence::Own)));
    view.table.receive(
        BackEndTag::from(&id(V2)),
        &VersionKnowledge::Announced(SoftwareVersion::new("v2")),
        position(2),
        seconds(43),
    );
    view.table.summarize();
    assert_eq!(found_version(view.search(origin, seconds(44)).end()), Some((key("v2"), OriginEvidence::Own)));
    view.read(&[V1, (2, None, Some("v3"))], seconds(45));
    assert_eq!(view.search(origin, seconds(46)).end(), None, "the back end has had two versions");
    assert_eq!(view.table.possible(tag(), seconds(46)), BTreeSet::from([key("v1"), key("v2"), key("v3")]));
}

/// Guards against versions that one back end gets from another one with the same tag.
#[test]
fn no_two_of_many_back_ends_share_a_tag() {
    let mut tags = BTreeSet::new();
    for number in 0..300 {
        for started in std::iter::once(None).chain((0..100).map(Some)) {
            assert!(
                tags.insert(BackEndTag::from(&id((number, started, None)))),
                "engine {number} started at {started:?}"
            );
        }
    }
    let short = |name: &str, started| BackEndId::of_incarnation(BackEndName::new(name), Some(StartMoment(started)));
    assert_ne!(BackEndTag::from(&short("e16", 16)), BackEndTag::from(&short("e17", 17)));
}

#[test]
fn a_back_end_that_starts_again_is_another_one() {
    let [first, second] = [(1, Some(10), Some("v1")), (1, Some(20), Some("v2"))];
    let mut view = View::of(&[first], seconds(1));
    let origin = known(only(first), seconds(2));
    view.read(&[second], seconds(40));
    assert_eq!(found_version(view.search(origin, seconds(41)).end()), Some((key("v1"), OriginEvidence::Own)));
    assert_eq!(view.table.key_of(&id(second)), key("v2"));
}

#[test]
fn the_version_of_a_back_end_without_a_start_is_forgotten_when_a_peer_announces_a_change() {
    let started = (1, Some(10), Some("v1"));
    let mut view = View::of(&[started, V2], seconds(1));
    view.table.forget_unless_incarnation(&id(started), position(2), seconds(2));
    view.table.forget_unless_incarnation(&id(V2), position(2), seconds(2));
    assert_eq!(view.table.version_of(&id(started)).label(), "v1");
    assert_eq!(view.table.version_of(&id(V2)).label(), "unknown");
    let receive = |view: &mut View, version: &str, as_of: u64| {
        let version = VersionKnowledge::Announced(SoftwareVersion::new(version));
        view.table.receive(BackEndTag::from(&id(V2)), &version, position(as_of), seconds(3));
        view.table.summarize();
        view.table.version_of(&id(V2)).label().to_owned()
    };
    assert_eq!(receive(&mut view, "v2", 1), "unknown", "the answer is from before the change");
    assert_eq!(receive(&mut view, "v2", 2), "v2");
    assert_eq!(view.table.possible(tag(), seconds(4)), BTreeSet::from([key("v1"), key("v2")]));
    view.table.forget_unless_incarnation(&id(V2), position(3), seconds(3));
    assert_eq!(receive(&mut view, "v3", 3), "v3");
    assert_eq!(view.table.possible(tag(), seconds(4)), BTreeSet::from([key("v1"), key("v2"), key("v3")]));
    assert_eq!(view.table.resolve(only(V2), seconds(4)), None, "it has had two versions");
    assert_eq!(receive(&mut view, "v2", 2), "v3", "an older answer changes nothing");
    assert_eq!(receive(&mut view, "v4", 4), "v4", "a peer announces a change that the directory doesn't show");
}

/// Guards against a version that a back end without a start has got after it began the stream.
#[test]
fn a_stream_of_an_unknown_version_is_not_attributed_to_a_later_one_of_its_back_end() {
    let began = |at: u64| known(only(V2), seconds(at));
    let late = View::of(&[V1, V2], seconds(20));
    assert_eq!(late.search(began(5), seconds(25)).end(), None, "this node has not known the back end then");
    let at_20 = found_version(late.search(began(20), seconds(25)).end());
    assert_eq!(at_20, Some((key("v2"), OriginEvidence::Own)));
    let mut present = View::default();
    present.learn(&[V1, V2], seconds(1));
    present.table.forget_unless_incarnation(&id(V2), position(2), seconds(10));
    present.read(&[V1, V2], seconds(12));
    assert_eq!(present.search(began(5), seconds(25)).end(), None, "its entry has changed since");
    let at_11 = found_version(present.search(began(11), seconds(25)).end());
    assert_eq!(at_11, Some((key("v2"), OriginEvidence::Own)));
}

#[test]
fn answers_about_versions_name_what_is_known() {
    let mut view = View::of(&[V1, V2, (3, None, None)], seconds(1));
    view.learn(&[V1, V2, (3, None, None), (4, None, None)], seconds(2));
    let queried: Vec<BackEndTag> = (1..=5).map(|number| BackEndTag::from(&id((number, None, None)))).collect();
    let notices = VersionNotice::answers(address(1), position(2), &queried, |tag| view.table.known_version(tag));
    let versions: Vec<_> = notices.into_iter().flat_map(|notice| notice.versions).collect();
    let expected: [(Option<SoftwareVersion>, Vec<BackEndTag>); 3] = [
        (None, vec![queried[2]]),
        (Some(SoftwareVersion::new("v1")), vec![queried[0]]),
        (Some(SoftwareVersion::new("v2")), vec![queried[1]]),
    ];
    assert_eq!(versions.len(), expected.len());
    assert!(expected.iter().all(|group| versions.contains(group)), "{versions:?}");
}

#[test]
fn the_largest_messages_fit_into_a_datagram() {
    let version = |number: u8| SoftwareVersion::new(&format!("{}{number}", "\u{1f600}".repeat(40)));
    let tags: Vec<BackEndTag> =
        (0..VersionQuery::BACK_ENDS_MAXIMUM as u32).map(|number| BackEndTag::from(&id((number, None, None)))).collect();
    let versions: Vec<VersionKnowledge> = (0..250).map(|number| VersionKnowledge::Announced(version(number))).collect();
    let one_version = VersionNotice::answers(address(1), position(2), &tags, |_| Some(&versions[0]));
    let all_different = VersionNotice::answers(address(1), position(2), &tags, |tag| {
        let number = tags.iter().position(|other| *other == tag)?;
        versions.get(number)
    });
    let origin = ReportedOrigin {
        stream: StreamKey::new(None, b"s"),
        origin: StreamOrigin { service: tag(), version: key("v1") },
        age_millis: 1,
    };
    let answer = OriginAnswer {
        sender: address(1),
        stream: origin.stream,
        origin: Some(origin),
        versions: vec![ReportedVersion { key: key("v1"), departed_millis: Some(1) }; OriginAnswer::VERSIONS_MAXIMUM],
        covered_millis: 1,
    };
    let notice = OriginNotice { sender: address(1), origins: vec![origin; OriginNotice::ORIGINS_MAXIMUM] };
    let query = VersionQuery { sender: address(1), back_ends: tags };
    let mut sizes: Vec<usize> = one_version.iter().chain(&all_different).map(size).collect();
    sizes.extend([size(&answer), size(&notice), size(&query)]);
    assert!(sizes.iter().all(|bytes| *bytes <= 1_300), "{:?}", sizes.iter().max());
}

fn size(message: &impl speedy::Writable<speedy::LittleEndian>) -> usize {
    message.write_to_vec().expect("it can be written").len()
}

#[test]
fn replicas_are_asked_by_any_node_and_spread_over_all() {
    let all: Vec<Address> = (1..=40).map(address).collect();
    let others = |own: Address| all.iter().copied().filter(|peer| *peer != own).collect::<Vec<_>>();
    let mut used = BTreeSet::new();
    for number in 0..500_u32 {
        let stream = StreamKey::new(None, &number.to_le_bytes());
        let replicas = RankedPeers { near: &others(all[0]), distant: &[] }.replicas(stream);
        assert_eq!(replicas.len(), 3);
        for own in [all[1], all[17]] {
            let queried = RankedPeers { near: &others(own), distant: &[] }.queried(stream);
            let missed = replicas.iter().filter(|replica| **replica != own && !queried.contains(replica)).count();
            assert_eq!(missed, 0);
        }
        used.extend(replicas);
    }
    assert_eq!(used.len(), 39, "every other node is a replica of some stream");
    let two = RankedPeers { near: &all[..2], distant: &all[2..4] };
    assert_eq!(two.replicas(StreamKey::new(None, b"s")).len(), 3, "two near ones and a distant one");
}

/// Draws the engines that serve from each second on, out of three versions.
fn draw_history(random: &mut Unstructured<'_>) -> Arbitrary<Vec<Vec<Engine>>> {
    const VERSIONS: [Option<&str>; 4] = [Some("v1"), Some("v2"), Some("v3"), None];
    let mut engines: Vec<Engine> = vec![(0, Some(0), Some("v1"))];
    let mut history = Vec::new();
    for second in 0..80 {
        if random.ratio(1, 6)? {
            let started = random.arbitrary::<bool>()?.then_some(second);
            engines.push((random.int_in_range(0..=5)?, started, *random.choose(&VERSIONS)?));
        }
        if engines.len() > 1 && random.ratio(1, 6)? {
            engines.remove(random.choose_index(engines.len())?);
        }
        // A name has one entry: the last.
        let mut names = BTreeSet::new();
        engines.reverse();
        engines.retain(|engine| names.insert(engine.0));
        engines.reverse();
        history.push(engines.clone());
    }
    Ok(history)
}

/// Whatever serves when, and whatever nodes know of it: a stream goes on only at the version that began it, as long as one
/// node that answers knows all versions.
#[test]
fn no_stream_goes_on_at_another_version_than_the_one_that_began_it() {
    for seed in 0..HISTORIES {
        arbtest(stream_of_a_random_history).seed(seed << 32 | HISTORY_BYTES);
    }
}

fn stream_of_a_random_history(random: &mut Unstructured<'_>) -> Arbitrary<()> {
    let history = draw_history(random)?;
    let began = random.int_in_range(35..=60_usize)?;
    let resumed = began + random.int_in_range(0..=19_usize)?;
    let begun_at = *random.choose(&history[began])?;
    let at = |second: usize| seconds(second as u64 + 1);
    // The node that began the stream, the one that resumes it, and one that answers; each with a delay.
    let mut views: [View; 3] = Default::default();
    let starts = [0, random.int_in_range(0..=resumed)?, 0];
    let delays = [0, random.int_in_range(0..=3_usize)?, 0];
    let passes_versions = [true, random.arbitrary::<bool>()?, true];
    for second in 0..=resumed {
        for (number, view) in views.iter_mut().enumerate() {
            let Some(seen) = second.checked_sub(delays[number]).filter(|_| second >= starts[number]) else {
                continue;
            };
            match passes_versions[number] {
                true => view.read(&history[seen], at(second)),
                false => view.learn(&history[seen], at(second)),
            }
        }
        if second == began {
            let origin = views[0].table.key_of(&id(begun_at));
            let has_changed = views[0].table.resolve(only(begun_at), at(began)).is_none();
            assert!(has_changed || origin == begun_at.2.map_or(only(begun_at), key));
        }
    }
    let version = begun_at.2.map_or(only(begun_at), key);
    let lookup = if random.ratio(1, 3)? { known(version, at(began)) } else { OriginLookup::Unknown };
    let mut search = views[1].search(lookup, at(resumed));
    if search.should_query_peers() {
        let reported = ReportedOrigin {
            stream: StreamKey::new(None, b"s"),
            origin: StreamOrigin { service: tag(), version },
            age_millis: ((resumed - began) * 1_000) as u32,
        };
        let origin = random.arbitrary::<bool>()?.then_some(reported);
        search.receive(&views[2].answer(origin, at(resumed)), &views[1].table);
    }
    if let Some(found) = search.end() {
        // A back end without a version is the only one that writes as it does.
        let is_same = found.origin.version == version || found.origin.version == only(begun_at);
        assert!(is_same, "begun at {begun_at:?}, goes on at {found:?}");
    }
    Ok(())
}
