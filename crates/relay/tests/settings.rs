//! The settings of a relaying node.

use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};

use std::time::Duration;

use havengate_core::relay::PlacementConfig;
use havengate_core::stages::{StagePolicyConfig, StagePolicyName};
use havengate_relay::control::DutyLeaseSettings;
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

fn parse(section: &str) -> Result<RelaySettings, RelaySettingsError> {
    RelaySettings::parse(Path::new("settings.toml"), &format!("{BASE}\n{section}"))
}

/// The settings file with these settings of the environment.
fn parse_with_added(added: &str) -> Result<RelaySettings, RelaySettingsError> {
    static FILES: AtomicUsize = AtomicUsize::new(0);
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("havengate-settings-{}-{number}.toml", std::process::id()));
    std::fs::write(&path, BASE).expect("the file can be written");
    let settings = RelaySettings::load_with(&path, added);
    std::fs::remove_file(&path).expect("the file can be removed");
    settings
}

/// Failure: a node ignores the tables that are passed separately from its file, or refuses to start with them.
#[test]
fn added_tables_are_appended_to_the_file() {
    let settings = parse_with_added("").expect("the settings are valid");
    assert!(settings.tenant_limits.is_none() && settings.zone_regions.is_empty());
    let added = "\n[tenant_limits]\n[zone_regions]\n\"zone-1\" = \"east\"\nzone-2 = \"west\"\n";
    let settings = parse_with_added(added).expect("the settings are valid");
    assert!(settings.tenant_limits.is_some());
    assert_eq!((settings.zone_regions.len(), settings.topology().spans_regions()), (2, true));
    assert_eq!(settings.retry_budget.window_seconds, 10.0, "the file still applies");
}

/// Failure: a misspelt added key is ignored, so that limits are silently not enforced.
#[test]
fn unknown_added_keys_and_tables_are_refused_with_their_names() {
    let cases = [
        ("[tenant_limits]\nburst_factor = 2\n", "burst_factor"),
        ("[tenant_limit]\n", "tenant_limit"),
        // Without a table of its own, a key would belong to the last table of the file.
        ("enforce_limits = true\n", "enforce_limits"),
        ("[zone_regions]\nzone-1 = 7\n", "zone-1"),
        ("[retry_budget]\nratio = 0.1\n", "retry_budget"),
    ];
    for (added, name) in cases {
        let error = parse_with_added(added).expect_err("the settings are invalid").to_string();
        assert!(error.contains(name), "{error} does not name {name}");
    }
}

#[test]
fn missing_placement_settings_use_the_defaults() {
    assert_eq!(parse("").expect("the settings are valid").placement, PlacementConfig::default());
}

#[test]
fn every_placement_setting_can_be_set() {
    let text = "[placement]\naffinity = false\ntakes_parts_over = false\ndecode_engines_read = false\n\
                prefill_suffices_share = 0.5\nshort_prompts_apart = true\n\
                orders_by_urgency = false\nrefuses_early = false\ndecode_interference = 2.5\nzone_advantage = 0\n\
                target_share = 1.0\nbacklog_per_request_milliseconds = 40\n\
                zone_hop_milliseconds = 10\nregion_hop_milliseconds = 200\nzone_hop_requests = 1\n\
                region_hop_requests = 5.5\nregion_streams_peers = 9";
    let expected = PlacementConfig {
        affinity: false,
        takes_parts_over: false,
        decode_engines_read: false,
        prefill_suffices_share: 0.5,
        short_prompts_apart: true,
        decode_interference: 2.5,
        zone_advantage: 0.0,
        orders_by_urgency: false,
        refuses_early: false,
        target_share: 1.0,
        backlog_per_request_milliseconds: 40.0,
        zone_hop_milliseconds: 10.0,
        region_hop_milliseconds: 200.0,
        zone_hop_requests: 1.0,
        region_hop_requests: 5.5,
        region_streams_peers: 9,
    };
    assert_eq!(parse(text).expect("the settings are valid").placement, expected);
}

#[test]
fn invalid_placement_values_and_unknown_keys_are_rejected() {
    let invalid = [
        "decode_interference = 0",
        "prefill_suffices_share = -1",
        "zone_advantage = -1",
        "zone_advantage = 1e9",
        "target_share = nan",
        "backlog_per_request_milliseconds = 0",
        "backlog_per_request_milliseconds = -5",
        "zone_hop_milliseconds = -1",
        "region_hop_milliseconds = nan",
        "region_hop_milliseconds = 10001",
        "zone_hop_requests = inf",
        "region_hop_requests = -8",
        "affinity = 3",
        "luck = true",
    ];
    for line in invalid {
        assert!(parse(&format!("[placement]\n{line}")).is_err(), "{line}");
    }
}

#[test]
fn missing_stage_settings_use_the_defaults_and_invalid_values_are_rejected() {
    let settings = parse("").expect("the settings are valid");
    assert_eq!(settings.stages, StagePolicyConfig::default());
    assert_eq!(settings.duty_lease, DutyLeaseSettings::default());
    let text = "[stages]\npolicy = \"fixed\"\nprefill_share = 0.4\n[stage_lease]\nhand_over_milliseconds = 2500";
    let settings = parse(text).expect("the settings are valid");
    assert_eq!((settings.stages.policy, settings.stages.prefill_share), (StagePolicyName::Fixed, 0.4));
    assert_eq!(settings.duty_settings().lease.lease().hand_over, Duration::from_millis(2_500));
    let invalid = [
        "[stages]\npolicy = \"guess\"",
        "[stages]\nprefill_share = 2",
        "[stages]\nunknown = 1",
        "[duty_lease]\nhand_over_milliseconds = -1",
        "[stage_lease]\nhand_over_milliseconds = 1e9",
    ];
    for text in invalid {
        assert!(parse(text).is_err(), "{text}");
    }
}
