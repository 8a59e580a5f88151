//! One failure detector, message by message: what renews its lease, what ends its incarnation, and which nodes become
//! members.

use std::time::Duration;

use havengate_core::membership::{
    Digest, Incarnation, Liveness, Member, MemberRecord, Membership, MembershipConfig, MembershipMessage, MessageBody,
    Ready, Sequence, Standing, SuspensionReason,
};
use havengate_core::time::Timestamp;
use havengate_core::world::Address;

const START: Timestamp = Timestamp::from_millis(1_000);
const ROUND_TRIP: Duration = Duration::from_millis(150);

fn member(index: u8) -> Member {
    Member { address: Address(([10, 0, 0, index], 7_000).into()), incarnation: Incarnation(100) }
}

fn message(body: MessageBody, records: Vec<MemberRecord>) -> MembershipMessage {
    MembershipMessage { incarnation: Incarnation(100), joining: false, digest: Digest(0), body, records }
}

fn record(index: u8) -> MemberRecord {
    MemberRecord::alive(member(index), "zone".into())
}

fn sequence_of(ready: &Ready) -> Sequence {
    let mut sequences = ready.messages.iter().filter_map(|outgoing| match outgoing.message.body {
        MessageBody::Ping { sequence } | MessageBody::Join { sequence } => Some(sequence),
        _ => None,
    });
    sequences.next_back().expect("a ping or a join request was sent")
}

/// Returns node 1, joined through node 2, and the time at which it joined.
fn joined() -> (Membership, Timestamp) {
    let seeds = vec![member(2).address];
    let node = Membership::new(MembershipConfig::default(), member(1), "zone".into(), seeds, START, 1);
    let mut node = node.expect("valid settings");
    node.tick(START);
    let sequence = sequence_of(&node.take_ready());
    let now = START + ROUND_TRIP;
    node.step(member(2).address, message(MessageBody::Ack { sequence }, vec![record(2)]), now);
    assert_eq!(node.standing(), Standing::Trusted);
    node.take_ready();
    (node, now)
}

/// Runs the node until it pings its peer; returns the time and the sequence of the ping.
fn next_probe(node: &mut Membership) -> (Timestamp, Sequence) {
    loop {
        let now = node.next_tick().expect("not suspended");
        node.tick(now);
        let ready = node.take_ready();
        let pings = ready.messages.iter().any(|outgoing| matches!(outgoing.message.body, MessageBody::Ping { .. }));
        if pings {
            return (now, sequence_of(&ready));
        }
    }
}

#[test]
fn the_lease_starts_when_the_acknowledged_message_was_sent() {
    let lease = MembershipConfig::default().lease;
    let (mut node, _) = joined();
    assert_eq!(node.trusted_until(), Some(START + ROUND_TRIP + lease), "a peer became known at the acknowledgement");
    let (sent_at, sequence) = next_probe(&mut node);
    let ack = message(MessageBody::Ack { sequence }, Vec::new());
    node.step(member(2).address, ack.clone(), sent_at + ROUND_TRIP);
    assert_eq!(node.trusted_until(), Some(sent_at + lease));
    node.step(member(2).address, ack, sent_at + 2 * ROUND_TRIP);
    assert_eq!(node.trusted_until(), Some(sent_at + lease), "a duplicate acknowledgement renews nothing");
}

#[test]
fn an_acknowledgement_that_carries_a_suspicion_or_comes_from_a_joining_node_renews_nothing() {
    let (mut node, _) = joined();
    let before = node.trusted_until();
    let (sent_at, sequence) = next_probe(&mut node);
    let suspicion = MemberRecord { liveness: Liveness::Suspect, revision: 9, ..record(1) };
    node.step(member(2).address, message(MessageBody::Ack { sequence }, vec![suspicion]), sent_at + ROUND_TRIP);
    assert_eq!(node.trusted_until(), before);
    assert_eq!(node.counters().refutations, 1);
    assert!(node.view().record(member(1).address).is_some_and(|own| own.revision > 9));
    let (sent_at, sequence) = next_probe(&mut node);
    let joining = MembershipMessage { joining: true, ..message(MessageBody::Ack { sequence }, Vec::new()) };
    node.step(member(2).address, joining, sent_at + ROUND_TRIP);
    assert_eq!(node.trusted_until(), before);
}

#[test]
fn a_suspended_node_is_silent_until_it_rejoins_with_a_higher_incarnation() {
    let (mut node, now) = joined();
    let later_incarnation = Member { incarnation: Incarnation(500), ..member(1) };
    let gossip = message(MessageBody::Gossip, vec![MemberRecord::alive(later_incarnation, "zone".into())]);
    node.step(member(2).address, gossip, now);
    assert_eq!(node.standing(), Standing::Suspended { reason: SuspensionReason::Superseded });
    assert_eq!((node.trusted_until(), node.next_tick()), (None, None));
    node.take_ready();
    node.tick(now + Duration::from_secs(1));
    node.step(member(2).address, message(MessageBody::Ping { sequence: Sequence(1) }, Vec::new()), now);
    assert!(node.take_ready().messages.is_empty());
    assert_eq!(node.rejoin(Incarnation(200), now).incarnation, Incarnation(501));
    assert_eq!(node.standing(), Standing::Suspended { reason: SuspensionReason::Joining });
}

#[test]
fn a_node_whose_lease_expires_suspends_itself() {
    let (mut node, _) = joined();
    let until = node.trusted_until().expect("trusted");
    let mut now = START;
    while now < until {
        assert_eq!(node.standing(), Standing::Trusted);
        now = node.next_tick().expect("not suspended");
        assert!(now <= until, "the node must be woken when its lease expires");
        node.tick(now);
    }
    assert_eq!(node.standing(), Standing::Suspended { reason: SuspensionReason::LeaseExpired });
}

#[test]
fn a_joining_node_is_not_yet_a_member_and_its_previous_incarnation_is_dead() {
    let (mut node, now) = joined();
    let restarted = Member { incarnation: Incarnation(300), ..member(2) };
    let join = MessageBody::Join { sequence: Sequence(9) };
    let request = MembershipMessage { incarnation: restarted.incarnation, joining: true, ..message(join, Vec::new()) };
    node.step(restarted.address, request, now);
    assert_eq!(node.view().state(restarted), None);
    assert!(node.view().record(restarted.address).is_some_and(|known| known.liveness == Liveness::Dead));
    let answered = |ready: Ready| {
        ready.messages.iter().any(|outgoing| outgoing.message.body == MessageBody::Ack { sequence: Sequence(9) })
    };
    assert!(answered(node.take_ready()));
}
