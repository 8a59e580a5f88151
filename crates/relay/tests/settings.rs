//! The settings of a node that relays.

use std::path::Path;

use havengate_core::relay::PlacementConfig;
use havengate_relay::settings::{RelaySettings, RelaySettingsError};

const BASE: &str = r#"
name = "node-1"
zone = "zone-1"
callers_address = "10.0.0.1:8000"
readiness_address = "10.0.0.1:8001"
peers_address = "10.0.0.1:8002"
notices_address = "10.0.0.1:8003"
store_address = "10.0.0.9:8000"
stop_grace_seconds = 8

[retry_budget]
ratio = 0.2
slack = 50
window_seconds = 10
"#;

fn parse(placement: &str) -> Result<RelaySettings, RelaySettingsError> {
    RelaySettings::parse(Path::new("settings.toml"), &format!("{BASE}\n{placement}"))
}

#[test]
fn placement_that_is_not_set_has_its_defaults() {
    assert_eq!(parse("").expect("the settings are right").placement, PlacementConfig::default());
}

#[test]
fn each_mechanism_of_placement_can_be_set() {
    let text = "[placement]\naffinity = false\ntakes_parts_over = false\ndecode_engines_read = false\n\
                orders_by_urgency = false\nrefuses_early = false\ndecode_interference = 2.5\nzone_advantage = 0\n\
                target_share = 1.0\nbacklog_per_request_milliseconds = 40";
    let set = PlacementConfig {
        affinity: false,
        takes_parts_over: false,
        decode_engines_read: false,
        decode_interference: 2.5,
        zone_advantage: 0.0,
        orders_by_urgency: false,
        refuses_early: false,
        target_share: 1.0,
        backlog_per_request_milliseconds: 40.0,
    };
    assert_eq!(parse(text).expect("the settings are right").placement, set);
}

#[test]
fn values_that_cannot_be_reckoned_with_and_unknown_keys_are_refused() {
    let wrong = [
        "decode_interference = 0",
        "zone_advantage = -1",
        "zone_advantage = 1e9",
        "target_share = nan",
        "backlog_per_request_milliseconds = 0",
        "backlog_per_request_milliseconds = -5",
        "affinity = 3",
        "luck = true",
    ];
    for line in wrong {
        assert!(parse(&format!("[placement]\n{line}")).is_err(), "{line}");
    }
}
