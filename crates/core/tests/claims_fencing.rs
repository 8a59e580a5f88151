//! Single rules of claims: what a holder grants after it was fenced, restarted or added to a slot again, and which
//! grants a claimer counts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use havengate_core::claims::{
    CandidateHolder, ClaimAnswer, ClaimClient, ClaimConfig, ClaimConfigError, ClaimHolder, ClaimMessage, ClaimOutcome,
    ClaimRefusal, ClaimReply, ClaimRequest, HeldClaim, MapVersion, OutcomeReport, RecordedAnswer, RecordedOutcome,
    SlotIndex, SlotMap, SlotObservation, TakeOverReply, TakeOverRequest,
};
use havengate_core::membership::{Incarnation, Member};
use havengate_core::request::{FinishReason, IdempotencyKey, RequestId};
use havengate_core::time::Timestamp;
use havengate_core::verdict::{NotRun, NotRunReason, Verdict};
use havengate_core::world::{Address, ZoneName};

const TIME_LEFT: Duration = Duration::from_secs(10);

fn config() -> ClaimConfig {
    ClaimConfig::default()
}

fn candidate(index: u8, incarnation: u64) -> CandidateHolder {
    let address = Address(SocketAddr::from(([127, 0, 0, index + 1], 7000)));
    let member = Member { address, incarnation: Incarnation(incarnation) };
    CandidateHolder { member, zone: ZoneName::new(format!("zone-{index}")) }
}

fn key() -> IdempotencyKey {
    IdempotencyKey { tenant: "tenant".into(), key: "ticket".to_owned() }
}

fn slot() -> SlotIndex {
    SlotIndex::of(&key())
}

fn claim(request: u128, version: u64) -> ClaimRequest {
    ClaimRequest { key: key(), request: RequestId(request), version: MapVersion(version), time_left: TIME_LEFT }
}

fn not_run() -> RecordedOutcome {
    RecordedOutcome { verdict: Verdict::NotRun(NotRun::new(NotRunReason::NoEngine)), answer: None }
}

fn completed(text: &str) -> RecordedOutcome {
    let answer = RecordedAnswer { text: text.to_owned(), tokens: 1, finish: FinishReason::Stop };
    RecordedOutcome { verdict: Verdict::Completed, answer: Some(answer) }
}

fn outcome(request: u128, outcome: RecordedOutcome) -> ClaimMessage {
    ClaimMessage::Outcome(OutcomeReport { key: key(), request: RequestId(request), outcome })
}

/// Three holders of the first map, in their first incarnation, by address.
struct Holders {
    map: SlotMap,
    holders: BTreeMap<Address, ClaimHolder>,
    now: Timestamp,
}

impl Holders {
    fn new() -> Self {
        let nodes: Vec<CandidateHolder> = (0..3).map(|index| candidate(index, 1)).collect();
        let mut holders = Holders { map: SlotMap::initial(&nodes), holders: BTreeMap::new(), now: Timestamp::ZERO };
        (0..3).for_each(|index| holders.start(index, 1));
        holders
    }

    fn start(&mut self, index: u8, incarnation: u64) {
        let member = candidate(index, incarnation).member;
        let mut holder = ClaimHolder::new(member, config(), self.now);
        holder.adopt(&self.map);
        self.holders.insert(member.address, holder);
    }

    fn holder(&mut self, index: u8) -> &mut ClaimHolder {
        self.holders.get_mut(&candidate(index, 0).member.address).expect("a holder")
    }

    fn claim(&mut self, index: u8, request: u128, version: u64) -> ClaimAnswer {
        let now = self.now;
        self.holder(index).claim(claim(request, version), now).answer
    }

    fn send(&mut self, index: u8, message: ClaimMessage) -> Option<ClaimMessage> {
        let now = self.now;
        self.holder(index).step(candidate(9, 1).member.address, message, now)
    }

    /// Runs the takeover of `new_holder` from those of `sources` that it asks.
    fn take_over(&mut self, new_holder: u8, sources: &[u8]) {
        let now = self.now;
        for _ in 0..10 {
            for envelope in self.holder(new_holder).poll(now) {
                let Some(source) = sources.iter().find(|source| candidate(**source, 0).member.address == envelope.to)
                else {
                    continue;
                };
                let from = candidate(new_holder, 0).member.address;
                if let Some(reply) = self.holder(*source).step(from, envelope.message, now) {
                    self.holder(new_holder).step(envelope.to, reply, now);
                }
            }
        }
        self.holder(new_holder).poll(now);
    }

    fn votes(&mut self, index: u8) -> bool {
        self.holder(index).status().iter().any(|status| status.slot == slot() && status.votes)
    }

    /// Replaces `lost` in the map; `live` are the nodes that may hold slots from then on.
    fn replan(&mut self, lost: &[u8], live: &[CandidateHolder], settled: bool) {
        let dead: BTreeSet<Address> = lost.iter().map(|index| candidate(*index, 0).member.address).collect();
        let settled = if settled { (0..256).map(SlotIndex).collect() } else { BTreeSet::new() };
        let observation = SlotObservation { live: live.to_vec(), dead, settled, ..SlotObservation::default() };
        self.map = self.map.replan(&observation).expect("a changed map");
    }
}

fn fence(version: u64) -> ClaimMessage {
    let new_holder = candidate(3, 1).member;
    ClaimMessage::TakeOver(TakeOverRequest { slot: slot(), version: MapVersion(version), new_holder, after: None })
}

#[test]
fn a_fenced_holder_grants_nothing_in_older_versions() {
    let mut holders = Holders::new();
    assert!(matches!(holders.claim(0, 1, 1), ClaimAnswer::Granted(_)));
    assert!(holders.send(0, fence(2)).is_some());
    assert_eq!(holders.claim(0, 2, 1), ClaimAnswer::Refused(ClaimRefusal::OlderVersion));
    assert_eq!(holders.claim(0, 2, 2), ClaimAnswer::Refused(ClaimRefusal::UnknownVersion));
    assert!(!holders.votes(0));
    assert!(holders.send(0, fence(1)).is_none(), "a new holder of an older version received claims");
}

#[test]
fn the_end_of_the_quarantine_does_not_let_a_restarted_holder_vote() {
    let mut holders = Holders::new();
    holders.start(0, 2);
    holders.take_over(0, &[1]);
    holders.now = holders.now + config().quarantine() * 3;
    holders.take_over(0, &[1]);
    assert_eq!(holders.claim(0, 1, 1), ClaimAnswer::Refused(ClaimRefusal::Abstaining));
    holders.now = holders.now + config().takeover_interval;
    holders.take_over(0, &[1, 2]);
    assert!(matches!(holders.claim(0, 1, 1), ClaimAnswer::Granted(_)));
}

#[test]
fn a_restarted_holder_knows_the_claims_that_it_had_granted() {
    let mut holders = Holders::new();
    holders.claim(0, 1, 1);
    holders.claim(1, 1, 1);
    holders.start(0, 2);
    holders.take_over(0, &[1, 2]);
    assert_eq!(holders.claim(0, 2, 1), ClaimAnswer::Held(HeldClaim::InProgress));
}

#[test]
fn a_process_restarted_after_its_clock_was_set_back_gets_no_claims() {
    let mut holders = Holders::new();
    holders.start(0, 5);
    holders.take_over(0, &[1, 2]);
    assert!(holders.votes(0));
    holders.start(0, 4);
    holders.take_over(0, &[1, 2]);
    assert!(!holders.votes(0));
}

#[test]
fn the_default_limits_are_valid_and_a_retention_shorter_than_an_attempt_is_not() {
    assert_eq!(config().validate(), Ok(()));
    let short = ClaimConfig { retention: config().attempt_timeout, ..config() };
    assert_eq!(short.validate(), Err(ClaimConfigError::RetentionTooShort));
}

#[test]
fn a_process_that_rejoins_under_a_later_incarnation_keeps_its_claims() {
    let mut holders = Holders::new();
    holders.claim(0, 1, 1);
    holders.holder(0).rejoin(candidate(0, 2).member);
    assert_eq!(holders.claim(0, 2, 1), ClaimAnswer::Held(HeldClaim::InProgress));
    assert!(holders.votes(0));
}

#[test]
fn two_restarted_holders_take_no_claims_over_from_each_other() {
    let mut holders = Holders::new();
    holders.start(0, 2);
    holders.start(1, 2);
    holders.take_over(0, &[1, 2]);
    holders.take_over(1, &[0, 2]);
    assert!(!holders.votes(0) && !holders.votes(1));
}

#[test]
fn holders_added_again_wait_until_all_claims_of_the_lost_majority_have_expired() {
    let mut holders = Holders::new();
    holders.start(0, 2);
    holders.start(1, 2);
    let live: Vec<CandidateHolder> =
        [(0, 2), (1, 2), (2, 1)].map(|(index, incarnation)| candidate(index, incarnation)).to_vec();
    holders.replan(&[0, 1], &live, false);
    let map = holders.map.clone();
    (0..3).for_each(|index| holders.holder(index).adopt(&map));
    holders.take_over(0, &[1, 2]);
    holders.now = holders.now + config().quarantine() - Duration::from_millis(1);
    holders.take_over(0, &[1, 2]);
    assert!(!holders.votes(0), "voted before the end of the quarantine");
    holders.now = holders.now + Duration::from_millis(1);
    holders.take_over(0, &[1, 2]);
    assert!(holders.votes(0));
}

#[test]
fn a_new_holder_does_not_count_the_quarantine_before_it_has_fenced_a_majority() {
    let mut holders = Holders::new();
    let live: Vec<CandidateHolder> = (1..4).map(|index| candidate(index, 1)).collect();
    holders.replan(&[0], &live, true);
    holders.start(3, 1);
    holders.take_over(3, &[1]);
    holders.now = holders.now + config().quarantine() * 3;
    holders.take_over(3, &[1]);
    assert!(!holders.votes(3), "two old holders may still grant claims in the old version");
    holders.now = holders.now + config().takeover_interval;
    holders.take_over(3, &[1, 2]);
    assert!(holders.votes(3));
}

#[test]
fn claims_from_an_earlier_membership_in_a_slot_do_not_count() {
    let mut holders = Holders::new();
    let nodes: Vec<CandidateHolder> = (0..4).map(|index| candidate(index, 1)).collect();
    holders.replan(&[0], &nodes[1..], true);
    holders.replan(&[3], &nodes[..3], true);
    let readded = holders.map.slots[usize::from(slot().0)].current.clone();
    assert_eq!(readded.holders.iter().filter(|holder| holder.since == MapVersion(3)).count(), 1);
    // Holder 0 still uses the first map; it lacks the claims that were granted while node 3 replaced it.
    holders.start(1, 2);
    holders.take_over(1, &[0, 2]);
    assert!(!holders.votes(1), "took over from a holder that lacks the claims of the intermediate version");
}

#[test]
fn map_changes_apply_only_to_the_version_that_they_start_from_or_a_later_one() {
    let nodes: Vec<CandidateHolder> = (0..5).map(|index| candidate(index, 1)).collect();
    let mut holders = Holders::new();
    let first = holders.map.clone();
    holders.replan(&[0], &nodes[1..4], true);
    let second = holders.map.clone();
    holders.replan(&[1], &nodes[2..], true);
    let third = holders.map.clone();
    let mut map = first.clone();
    assert!(!map.apply(third.changes_since(second.version)), "changes with a gap before them were applied");
    assert!(map.apply(second.changes_since(first.version)) && map == second);
    assert!(map.apply(third.changes_since(first.version)) && map == third);
    assert!(!map.apply(second.changes_since(first.version)), "an older map was adopted");
    let mut none = SlotMap::default();
    assert!(!none.apply(third.changes_since(second.version)));
    assert!(none.apply(third.changes_since(MapVersion::default())) && none == third);
}

/// The outcomes of a client's claim after the given answers, as (holder, answer), have arrived at `now`.
fn outcomes_after(answers: &[(u8, ClaimAnswer)], now: Timestamp) -> Vec<ClaimOutcome> {
    let nodes: Vec<CandidateHolder> = (0..3).map(|index| candidate(index, 1)).collect();
    let mut client = ClaimClient::new(config());
    client.adopt(&SlotMap::initial(&nodes), Timestamp::ZERO);
    client.claim(key(), RequestId(1), Timestamp::ZERO + TIME_LEFT, Timestamp::ZERO).expect("a claim");
    for (holder, answer) in answers {
        let reply = ClaimReply { request: RequestId(1), version: MapVersion(1), answer: answer.clone() };
        client.step(candidate(*holder, 1).member.address, ClaimMessage::ClaimReply(reply), now);
    }
    client.poll(now).decisions.into_iter().map(|decision| decision.outcome).collect()
}

/// A grant by a holder that knows the given incarnations, by holder.
fn granted(incarnations: [u64; 3]) -> ClaimAnswer {
    let nodes: Vec<CandidateHolder> = (0..3).map(|index| candidate(index, 1)).collect();
    let map = SlotMap::initial(&nodes);
    let order = map.slots[usize::from(slot().0)].current.addresses().collect::<Vec<_>>();
    let incarnation = |address: &Address| {
        let index = (0..3u8).find(|index| candidate(*index, 0).member.address == *address).unwrap_or_default();
        Incarnation(incarnations[usize::from(index)])
    };
    ClaimAnswer::Granted(order.iter().map(incarnation).collect())
}

#[test]
fn two_grants_win_and_one_does_not() {
    assert_eq!(outcomes_after(&[(0, granted([1, 1, 1]))], Timestamp::ZERO), vec![]);
    let both = [(0, granted([1, 1, 1])), (1, granted([1, 1, 1]))];
    assert_eq!(outcomes_after(&both, Timestamp::ZERO), vec![ClaimOutcome::Won]);
}

#[test]
fn a_grant_of_a_previous_incarnation_does_not_count() {
    let before_and_after_a_restart = [(0, granted([1, 1, 1])), (1, granted([2, 1, 1]))];
    assert_eq!(outcomes_after(&before_and_after_a_restart, Timestamp::ZERO), vec![]);
}

#[test]
fn a_grant_after_the_attempt_has_timed_out_does_not_count() {
    let both = [(0, granted([1, 1, 1])), (1, granted([1, 1, 1]))];
    let outcomes = outcomes_after(&both, Timestamp::ZERO + config().attempt_timeout);
    assert!(
        matches!(&outcomes[..], [ClaimOutcome::Refused(refusal)] if refusal.reason == NotRunReason::KeyUnclaimable)
    );
}

#[test]
fn a_repeat_receives_the_recorded_answer_or_the_known_status() {
    let ended = [(2, ClaimAnswer::Held(HeldClaim::Ended(completed("thrice"))))];
    assert_eq!(outcomes_after(&ended, Timestamp::ZERO), vec![ClaimOutcome::Repeated(completed("thrice"))]);
    let overdue = [0, 1].map(|holder| (holder, ClaimAnswer::Held(HeldClaim::Overdue)));
    let [ClaimOutcome::Repeated(unknown)] = &outcomes_after(&overdue, Timestamp::ZERO)[..] else {
        panic!("no outcome")
    };
    assert_eq!(unknown.verdict.code(), "may_have_run");
    let in_progress = [0, 1].map(|holder| (holder, ClaimAnswer::Held(HeldClaim::InProgress)));
    let [ClaimOutcome::Refused(refusal)] = &outcomes_after(&in_progress, Timestamp::ZERO)[..] else {
        panic!("no outcome")
    };
    assert_eq!(refusal.reason, NotRunReason::KeyInProgress);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn a_released_key_is_free_for_other_requests_but_not_for_delayed_duplicates_of_the_claim() {
    let mut holders = Holders::new();
    holders.claim(0, 1, 1);
    holders.send(0, outcome(1, not_run()));
    assert_eq!(holders.claim(0, 1, 1), ClaimAnswer::Refused(ClaimRefusal::Released));
    assert!(matches!(holders.claim(0, 2, 1), ClaimAnswer::Granted(_)));
    holders.send(0, outcome(1, not_run()));
    assert_eq!(
        holders.claim(0, 3, 1),
        ClaimAnswer::Held(HeldClaim::InProgress),
        "a request that did not hold the key released it"
    );
}

#[test]
fn a_key_is_kept_for_the_retention_and_no_longer() {
    let mut holders = Holders::new();
    holders.claim(0, 1, 1);
    holders.send(0, outcome(1, completed("done")));
    holders.now = holders.now + config().retention - Duration::from_millis(1);
    assert_eq!(holders.claim(0, 2, 1), ClaimAnswer::Held(HeldClaim::Ended(completed("done"))));
    holders.now = holders.now + Duration::from_millis(1);
    assert!(matches!(holders.claim(0, 2, 1), ClaimAnswer::Granted(_)));
}

#[test]
fn a_full_holder_refuses_new_keys_and_evicts_none() {
    let config = ClaimConfig { records_maximum: 1, answer_memory_maximum: 3, ..config() };
    let mut holder = ClaimHolder::new(candidate(0, 1).member, config, Timestamp::ZERO);
    holder.adopt(&SlotMap::initial(&[candidate(0, 1)]));
    assert!(matches!(holder.claim(claim(1, 1), Timestamp::ZERO).answer, ClaimAnswer::Granted(_)));
    let other = ClaimRequest { key: IdempotencyKey { key: "other".to_owned(), ..key() }, ..claim(2, 1) };
    assert_eq!(holder.claim(other, Timestamp::ZERO).answer, ClaimAnswer::Refused(ClaimRefusal::Full));
    holder.step(candidate(9, 1).member.address, outcome(1, completed("long")), Timestamp::ZERO);
    let kept = holder.claim(claim(3, 1), Timestamp::ZERO).answer;
    assert_eq!(kept, ClaimAnswer::Held(HeldClaim::Ended(RecordedOutcome { answer: None, ..completed("") })));
}

#[test]
fn pages_of_two_incarnations_are_not_combined() {
    let mut holders = Holders::new();
    holders.start(0, 2);
    let now = holders.now;
    holders.holder(0).poll(now);
    let page = |incarnation: u64, after: Option<IdempotencyKey>, is_last: bool| {
        ClaimMessage::TakeOverReply(TakeOverReply {
            slot: slot(),
            version: MapVersion(1),
            incarnation: Incarnation(incarnation),
            complete_since: Some(MapVersion(1)),
            after,
            records: Vec::new(),
            is_last,
        })
    };
    let (one, two) = (candidate(1, 1).member.address, candidate(2, 1).member.address);
    holders.holder(0).step(one, page(1, None, false), now);
    holders.holder(0).step(one, page(2, None, true), now);
    holders.holder(0).step(two, page(1, None, true), now);
    assert!(!holders.votes(0), "the page of the second incarnation was used as the last page of the first");
    holders.holder(0).step(one, page(2, None, true), now);
    assert!(holders.votes(0));
}
