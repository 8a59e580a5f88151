//! Records merge as a join-semilattice, messages are preserved by encoding and decoding, and settings that violate the
//! lease rules are rejected.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use havengate_core::membership::{
    Digest, Incarnation, Liveness, Member, MemberRecord, MembershipConfig, MembershipConfigError, MembershipMessage,
    MessageBody, Sequence, ZoneReport,
};
use havengate_core::world::Address;
use speedy::{Readable, Writable};

const SEEDS: std::ops::Range<u64> = 0..500;

/// A record as members write it: the content of a member's own record depends only on its incarnation and revision.
fn arbitrary_record(choices: &mut Unstructured) -> Result<MemberRecord> {
    let member = Member {
        address: Address(([10, 0, 0, 1], 7_000).into()),
        incarnation: Incarnation(choices.int_in_range(1..=2)?),
    };
    let revision = choices.int_in_range(0..=2)?;
    let unreachable = if revision == 1 { vec!["b".into()] } else { Vec::new() };
    Ok(MemberRecord {
        revision,
        liveness: *choices.choose(&[Liveness::Alive, Liveness::Suspect, Liveness::Dead])?,
        leaving: choices.ratio(1, 3)?,
        zone_report: (revision > 0).then_some(ZoneReport { unreachable }),
        ..MemberRecord::alive(member, "a".into())
    })
}

fn merged(one: &MemberRecord, other: &MemberRecord) -> MemberRecord {
    let mut result = one.clone();
    result.merge(other);
    result
}

#[test]
fn merging_is_commutative_associative_and_idempotent() {
    for seed in SEEDS {
        arbtest(|choices| {
            let (a, b, c) = (arbitrary_record(choices)?, arbitrary_record(choices)?, arbitrary_record(choices)?);
            assert_eq!(merged(&a, &b), merged(&b, &a));
            assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
            assert_eq!(merged(&merged(&a, &b), &b), merged(&a, &b));
            Ok(())
        })
        .seed(seed * 0x1_0000_0001 + 0x80);
    }
}

#[test]
fn leaving_and_death_are_final_within_an_incarnation_and_reset_by_a_later_one() {
    let member = Member { address: Address(([10, 0, 0, 1], 7_000).into()), incarnation: Incarnation(5) };
    let alive = MemberRecord { revision: 9, ..MemberRecord::alive(member, "a".into()) };
    let ended = MemberRecord { liveness: Liveness::Dead, leaving: true, revision: 0, ..alive.clone() };
    let after = merged(&alive, &ended);
    assert!(after.leaving && after.liveness == Liveness::Dead);
    let later = Member { incarnation: Incarnation(6), ..member };
    assert_eq!(merged(&after, &MemberRecord::alive(later, "a".into())), MemberRecord::alive(later, "a".into()));
    let mut unchanged = MemberRecord::alive(later, "a".into());
    assert!(!unchanged.merge(&ended));
}

#[test]
fn messages_are_preserved_by_the_codec_and_a_ping_is_small() {
    let member = Member { address: Address(([10, 0, 0, 1], 7_000).into()), incarnation: Incarnation(5) };
    let report = Some(ZoneReport { unreachable: vec!["b".into()] });
    let record = MemberRecord { zone_report: report, ..MemberRecord::alive(member, "a".into()) };
    let ping = MembershipMessage {
        incarnation: member.incarnation,
        joining: false,
        digest: Digest(7),
        body: MessageBody::Ping { sequence: Sequence(3) },
        records: Vec::new(),
    };
    let gossip = MembershipMessage { body: MessageBody::Gossip, records: vec![record; 24], ..ping.clone() };
    assert!(ping.encoded_bytes() <= 24, "{}", ping.encoded_bytes());
    for message in [ping, gossip] {
        let bytes = message.write_to_vec().expect("encodes");
        assert_eq!(bytes.len() as u64, message.encoded_bytes());
        assert!(bytes.len() <= 1_200, "does not fit a datagram: {}", bytes.len());
        assert_eq!(MembershipMessage::read_from_buffer(&bytes).expect("decodes"), message);
    }
}

#[test]
fn the_lease_must_end_before_others_can_declare_a_death() {
    let valid = MembershipConfig::default();
    assert_eq!(valid.validate(), Ok(()));
    let longest = valid.suspicion_timeout - valid.lease_margin();
    let too_long = MembershipConfig { lease: longest, ..valid.clone() };
    assert!(matches!(too_long.validate(), Err(MembershipConfigError::LeaseTooLong { .. })));
    let just_right = MembershipConfig { lease: longest - Duration::from_millis(1), ..valid.clone() };
    assert_eq!(just_right.validate(), Ok(()));
    let too_short = MembershipConfig { lease: Duration::from_millis(1_400), ..valid.clone() };
    assert!(matches!(too_short.validate(), Err(MembershipConfigError::LeaseTooShort { .. })));
    let zero = MembershipConfig { gossip_fanout: 0, ..valid.clone() };
    assert_eq!(zero.validate(), Err(MembershipConfigError::Zero { field: "gossip_fanout" }));
    let too_large = MembershipConfig { records_per_probe: 255, ..valid };
    assert!(matches!(too_large.validate(), Err(MembershipConfigError::TooLarge { .. })));
}
