//! The rate limit of announcements to peers.

use std::time::Duration;

use havengate_core::relay::{AnnouncementPace, AnnouncementPaceConfig};
use havengate_core::time::Timestamp;

const START: Timestamp = Timestamp::from_millis(10_000);

fn stays_within_the_limit(random: &mut arbtest::arbitrary::Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let config = AnnouncementPaceConfig { bytes_per_second: 50_000.0, burst: Duration::from_millis(500) };
    let mut pace = AnnouncementPace::new(config, START);
    let (mut now, mut sent, mut largest) = (START, 0, 0);
    for _ in 0..100 {
        now = now + pace.wait(now) + Duration::from_millis(random.int_in_range(0..=50)?);
        if pace.wait(now).is_zero() {
            let bytes = random.int_in_range(100..=400_000_usize)?;
            pace.spend(bytes, now);
            sent += bytes;
            largest = largest.max(bytes);
        }
        let span = now.since(START) + config.burst;
        let maximum = span.as_secs_f64() * config.bytes_per_second + largest as f64;
        assert!(sent as f64 <= maximum + 1.0, "{sent} bytes in {span:?}");
    }
    Ok(())
}

#[test]
fn sent_bytes_stay_within_the_limit_at_any_message_size_and_demand() {
    for seed in 1..=50_u64 {
        arbtest::arbtest(stays_within_the_limit).seed(seed << 32 | 0x800);
    }
}

#[test]
fn an_announcement_after_an_idle_period_is_sent_at_once() {
    let mut pace = AnnouncementPace::new(AnnouncementPaceConfig::default(), START);
    pace.spend(1_000_000, START);
    assert!(!pace.wait(START).is_zero());
    assert!(pace.wait(START + Duration::from_secs(60)).is_zero());
}
