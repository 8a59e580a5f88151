//! The exchange of a configuration's limits between nodes: splitting a table into notices and assembling it from them.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use havengate_core::quota::{
    DroppedPart, LimitTableAssembly, LimitUnit, NamedLimit, TenantLimit, TenantLimitNotice, TenantLimitTable,
    split_into_notices,
};
use havengate_core::replication::PeerMessage;
use havengate_core::routing::ConfigurationNumber;
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, TenantName};
use speedy::Writable;

const NOW: Timestamp = Timestamp::from_millis(10_000);
const VERSION: ConfigurationNumber = ConfigurationNumber(7);
const DATAGRAM_MAXIMUM_BYTES: usize = 1_400;

fn later(millis: u64) -> Timestamp {
    NOW + Duration::from_millis(millis)
}

fn sender(last: u8) -> Address {
    Address(([10, 0, 0, last], 8_000).into())
}

fn limit(per_second: u64) -> TenantLimit {
    TenantLimit { per_second, burst: per_second, unit: LimitUnit::Tokens { default_cost: 200 } }
}

/// A table of tenants with names of this length.
fn table(tenants: usize, name_bytes: usize) -> TenantLimitTable {
    let name = |index| TenantName::new(format!("{index:0>name_bytes$}"));
    (0..tenants).map(|index| (name(index), limit(1_000 + index as u64))).collect()
}

fn notices(tenants: usize) -> Vec<TenantLimitNotice> {
    split_into_notices(&table(tenants, 20), sender(1), VERSION)
}

/// An assembly that lacks the limits of [`VERSION`].
fn assembly() -> LimitTableAssembly {
    let mut assembly = LimitTableAssembly::new();
    assembly.set_in_force(VERSION, false, NOW);
    assembly
}

fn any_table_fits_datagrams(random: &mut Unstructured<'_>) -> Result<()> {
    let count = random.int_in_range(0..=300_usize)?;
    let mut limits = Vec::new();
    for index in 0..count {
        let length = random.int_in_range(1..=200_usize)?;
        limits.push((TenantName::new(format!("{index:0>length$}")), limit(random.int_in_range(1..=u64::MAX)?)));
    }
    let table: TenantLimitTable = limits.into_iter().collect();
    let address = Address("[2001:db8::1]:65535".parse().expect("an address"));
    let mut parts = split_into_notices(&table, address, VERSION);
    for part in &parts {
        let bytes = PeerMessage::TenantLimits(part.clone()).write_to_vec().expect("the notice can be written");
        assert!(bytes.len() <= DATAGRAM_MAXIMUM_BYTES, "{} bytes", bytes.len());
        assert!(part.limits.len() <= TenantLimitNotice::LIMITS_MAXIMUM);
    }
    // The parts arrive in any order, each of them any number of times, with a part of another version in between.
    let mut assembly = assembly();
    let mut received = None;
    while !parts.is_empty() {
        let index = random.choose_index(parts.len())?;
        let part = if random.ratio(1, 3)? { parts[index].clone() } else { parts.swap_remove(index) };
        let old = TenantLimitNotice { version: ConfigurationNumber(6), ..part.clone() };
        assert_eq!(assembly.receive(old, NOW), Err(DroppedPart::Old));
        match assembly.receive(part, NOW) {
            Ok(complete) => received = received.or(complete),
            Err(dropped) => assert_eq!(dropped, DroppedPart::Repeated),
        }
    }
    assert_eq!(received, Some(table));
    Ok(())
}

/// Failure: a table is split into notices that are too large to be sent, or is assembled incompletely.
#[test]
fn any_table_is_assembled_from_its_parts_in_any_order() {
    for seed in 1..=60_u64 {
        arbtest::arbtest(any_table_fits_datagrams).seed(seed << 32 | 0x1000);
    }
}

#[test]
fn a_configuration_without_limits_is_sent_as_one_empty_part() {
    let parts = notices(0);
    assert_eq!((parts.len(), parts[0].parts), (1, 1));
    assert_eq!(assembly().receive(parts[0].clone(), NOW), Ok(Some(TenantLimitTable::default())));
}

#[test]
fn a_table_with_a_name_longer_than_a_datagram_is_not_sent() {
    assert!(split_into_notices(&table(2, 1_400), sender(1), VERSION).is_empty());
}

#[test]
fn a_table_is_assembled_from_parts_of_different_senders() {
    let mut assembly = assembly();
    let mut parts = notices(40);
    parts[1].sender = sender(2);
    assert_eq!(assembly.receive(parts[0].clone(), NOW), Ok(None));
    assert_eq!(assembly.receive(parts[1].clone(), NOW), Ok(Some(table(40, 20))));
    assert_eq!((assembly.missing(), assembly.waiting_since()), (None, None));
}

/// Failure: a late or forged part completes a table of a mixture of versions, or with tenants missing.
#[test]
fn parts_that_do_not_fit_are_dropped() {
    let with = |change: fn(&mut TenantLimitNotice)| {
        let mut part = notices(40)[1].clone();
        change(&mut part);
        part
    };
    let cases: [(TenantLimitNotice, DroppedPart); 11] = [
        (with(|part| part.version = ConfigurationNumber(6)), DroppedPart::Old),
        (with(|part| part.version = ConfigurationNumber(8)), DroppedPart::NotWanted),
        (with(|part| part.part = 2), DroppedPart::WrongNumber),
        (with(|part| part.parts = 3), DroppedPart::WrongNumber),
        (with(|part| (part.part, part.parts) = (0, 0)), DroppedPart::WrongNumber),
        (with(|part| part.part = 0), DroppedPart::Repeated),
        (with(|part| part.limits.clear()), DroppedPart::Malformed),
        (with(|part| part.limits.reverse()), DroppedPart::Malformed),
        (with(|part| part.limits[1] = part.limits[0].clone()), DroppedPart::Malformed),
        (with(|part| part.limits[0].limit.per_second = 0), DroppedPart::Malformed),
        (with(|part| part.limits.extend(notices(25)[0].limits.clone())), DroppedPart::Malformed),
    ];
    for (part, cause) in cases {
        let mut assembly = assembly();
        assert_eq!(assembly.receive(notices(40)[0].clone(), NOW), Ok(None));
        assert_eq!(assembly.receive(part.clone(), NOW), Err(cause), "{part:?}");
        assert_eq!(assembly.receive(notices(40)[1].clone(), NOW), Ok(Some(table(40, 20))), "{part:?}");
    }
}

/// Failure: a notice that claims 65,535 parts takes up memory until the next configuration.
#[test]
fn a_part_of_too_many_is_dropped() {
    let part = TenantLimitNotice { parts: u16::MAX, ..notices(40)[0].clone() };
    assert_eq!(assembly().receive(part, NOW), Err(DroppedPart::Malformed));
}

/// Failure: after one notice with a wrong number of parts, all others are dropped until the next configuration.
#[test]
fn parts_that_are_not_completed_within_a_second_are_discarded() {
    let mut assembly = assembly();
    let malformed = TenantLimitNotice { parts: 3, ..notices(40)[0].clone() };
    assert_eq!(assembly.receive(malformed, NOW), Ok(None));
    assembly.set_in_force(VERSION, false, later(999));
    assert_eq!(assembly.receive(notices(40)[0].clone(), later(999)), Err(DroppedPart::WrongNumber));
    assembly.set_in_force(VERSION, false, later(1_000));
    assert_eq!(assembly.waiting_since(), Some(NOW), "discarding parts does not delay the read of the store");
    assert_eq!(assembly.receive(notices(40)[0].clone(), later(1_000)), Ok(None));
    assembly.set_in_force(VERSION, false, later(1_999));
    assert_eq!(assembly.receive(notices(40)[1].clone(), later(1_999)), Ok(Some(table(40, 20))));
}

/// Failure: a tenant in two parts has one of two limits, depending on the order of arrival.
#[test]
fn a_table_with_a_tenant_in_two_parts_is_dropped_and_assembled_again() {
    let mut assembly = assembly();
    let mut forged = notices(40)[1].clone();
    forged.limits[0] = NamedLimit { limit: limit(5), ..notices(40)[0].limits[0].clone() };
    assert_eq!(assembly.receive(forged, NOW), Ok(None));
    assert_eq!(assembly.receive(notices(40)[0].clone(), NOW), Err(DroppedPart::Malformed));
    assert_eq!(assembly.missing(), Some(VERSION));
    assert_eq!(assembly.receive(notices(40)[0].clone(), NOW), Ok(None));
    assert_eq!(assembly.receive(notices(40)[1].clone(), NOW), Ok(Some(table(40, 20))));
}

#[test]
fn nothing_is_missing_without_a_configuration_or_with_its_limits() {
    let mut assembly = LimitTableAssembly::new();
    assembly.set_in_force(ConfigurationNumber::default(), false, NOW);
    assert_eq!(assembly.missing(), None);
    assembly.set_in_force(VERSION, true, NOW);
    assert_eq!(assembly.missing(), None);
    assert_eq!(assembly.receive(notices(1)[0].clone(), NOW), Err(DroppedPart::Repeated));
}

/// Failure: parts of the previous configuration complete the table of a newer one.
#[test]
fn a_newer_configuration_discards_the_parts_of_the_previous_one() {
    let mut assembly = assembly();
    assert_eq!(assembly.receive(notices(40)[0].clone(), NOW), Ok(None));
    assembly.set_in_force(ConfigurationNumber(8), false, NOW);
    assert_eq!(assembly.missing(), Some(ConfigurationNumber(8)));
    let part = |index: usize| TenantLimitNotice { version: ConfigurationNumber(8), ..notices(40)[index].clone() };
    assert_eq!(assembly.receive(part(1), NOW), Ok(None));
    assert_eq!(assembly.receive(part(0), NOW), Ok(Some(table(40, 20))));
}

/// Failure: with a new configuration every second, a node whose peers don't have the limits never reads the store.
#[test]
fn newer_configurations_do_not_extend_the_wait_but_parts_and_reads_do() {
    let mut assembly = assembly();
    assembly.set_in_force(ConfigurationNumber(8), false, later(1_000));
    assert_eq!(assembly.waiting_since(), Some(NOW));
    let part = TenantLimitNotice { version: ConfigurationNumber(8), ..notices(40)[0].clone() };
    assert_eq!(assembly.receive(part, later(1_200)), Ok(None));
    assert_eq!(assembly.waiting_since(), Some(later(1_200)));
    assembly.restart_wait(later(3_500));
    assert_eq!(assembly.waiting_since(), Some(later(3_500)));
    assembly.set_in_force(ConfigurationNumber(8), true, later(4_000));
    assembly.restart_wait(later(4_100));
    assert_eq!(assembly.waiting_since(), None);
}
