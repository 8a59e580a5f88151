//! The settings of a node: the example, defaults, flags over the file, and errors that name key, value and range.

use std::path::Path;
use std::time::Duration;

use havengate_core::world::ZoneName;
use havengate_node::settings::{
    InvalidValue, LogLevel, Settings, SettingsError, SettingsLayer, TomlFileError, parse_toml,
};

const REQUIRED: &str = r#"
zone = "patan"
callers_address = "127.0.0.1:1"
operators_address = "127.0.0.1:2"
peers_address = "127.0.0.1:3"
platform_address = "127.0.0.1:4"
"#;

fn parse(text: &str) -> Result<Settings, SettingsError> {
    let settings = Settings::from_layer(parse_toml(Path::new("node.toml"), text)?)?;
    settings.validate()?;
    Ok(settings)
}

fn parse_with(extra: &str) -> Result<Settings, SettingsError> {
    parse(&format!("{REQUIRED}{extra}"))
}

fn only_problem(extra: &str) -> InvalidValue {
    let Err(SettingsError::Invalid(problems)) = parse_with(extra) else { panic!("{extra:?} was not found invalid") };
    let [problem] = problems.as_slice() else { panic!("more than one problem: {problems:?}") };
    problem.clone()
}

fn malformed(text: &str) -> (usize, String, String) {
    match parse(text) {
        Err(SettingsError::File(TomlFileError::Malformed { line, text, reason, .. })) => (line, text, reason),
        other => panic!("{text:?} gave {other:?}"),
    }
}

#[test]
fn the_example_is_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/node.toml");
    let settings = Settings::load(&path).expect("the example is valid");
    assert_eq!(settings.zone, ZoneName::from("patan"));
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.deadlines.request_maximum, Duration::from_secs(300));
}

#[test]
fn what_is_left_out_has_defaults_that_are_valid() {
    let settings = parse(REQUIRED).expect("the required keys suffice");
    assert_eq!(settings.limits, Default::default());
    assert_eq!(settings.deadlines, Default::default());
    assert!(settings.seeds.is_empty());
}

#[test]
fn durations_and_sizes_are_written_with_units() {
    let settings = parse_with("[limits]\nbody_maximum = \"64MiB\"\n[deadlines]\nengine_connect = \"250ms\"")
        .expect("units are understood");
    assert_eq!(settings.limits.body_maximum.as_u64(), 64 * 1_024 * 1_024);
    assert_eq!(settings.deadlines.engine_connect, Duration::from_millis(250));
}

#[test]
fn unknown_keys_are_refused_with_line_and_known_keys() {
    for (extra, known) in [
        ("callers_adress = \"127.0.0.1:1\"", "callers_address"),
        ("[limits]\nbody_maximun = \"1MiB\"", "body_maximum"),
        ("[deadlines]\ndrian = \"1s\"", "drain"),
        ("[log]\ncolour = true", "timestamps"),
    ] {
        let text = format!("{REQUIRED}{extra}");
        let (line, line_text, reason) = malformed(&text);
        assert_eq!(text.lines().nth(line - 1).map(str::trim), Some(line_text.as_str()));
        assert_eq!(line, text.lines().count());
        assert!(reason.contains("unknown field") && reason.contains(known), "{reason}");
    }
}

#[test]
fn values_of_the_wrong_type_are_refused_with_line_and_expectation() {
    for (extra, expected) in [
        ("[deadlines]\ndrain = \"soon\"", "duration"),
        ("[limits]\nbody_maximum = \"64 parsecs\"", "parsecs"),
        ("[limits]\nqueue_maximum = -1", "u32"),
        ("[log]\nlevel = \"loud\"", "info"),
        ("seeds = [\"somewhere\"]", "socket address"),
    ] {
        let (line, text, reason) = malformed(&format!("{REQUIRED}{extra}"));
        assert_eq!(line, REQUIRED.lines().count() + extra.lines().count());
        assert_eq!(text, extra.lines().last().unwrap_or_default());
        assert!(reason.contains(expected), "{extra:?} gave {reason:?}");
    }
}

#[test]
fn a_missing_key_is_named_with_its_flag() {
    let text = REQUIRED.replace("peers_address", "# peers_address");
    let error = parse(&text).expect_err("peers_address is required");
    assert_eq!(error, SettingsError::Missing { key: "peers_address" });
    assert!(error.to_string().contains("--peers-address"), "{error}");
}

#[test]
fn values_out_of_range_are_named_with_what_is_allowed() {
    let streams = only_problem("[limits]\ncaller_connections = 10\nstreams_maximum = 10");
    assert_eq!((streams.key.as_str(), streams.value.as_str()), ("limits.streams_maximum", "10"));
    assert!(streams.allowed.contains("below limits.caller_connections (10)"), "{streams}");

    let body = only_problem("[limits]\nbody_maximum = \"100MiB\"");
    assert_eq!(body.to_string(), "`limits.body_maximum` is 100.0 MiB; allowed: 1.0 KiB to 64.0 MiB");

    let total = only_problem("[limits]\nbody_maximum = \"2MiB\"\nbodies_total_maximum = \"1MiB\"");
    assert_eq!(
        total.to_string(),
        "`limits.bodies_total_maximum` is 1.0 MiB; allowed: at least limits.body_maximum (2.0 MiB)"
    );

    let silence = only_problem("[deadlines]\nengine_silence = \"2h\"");
    assert_eq!(silence.to_string(), "`deadlines.engine_silence` is 2h; allowed: 1ms to 1h");
}

#[test]
fn a_planned_stop_may_not_wait_for_less_than_the_longest_request() {
    let drain = only_problem("[deadlines]\nrequest_maximum = \"5m\"\ncaller_write = \"10s\"\ndrain = \"5m 9s\"");
    assert_eq!(drain.key, "deadlines.drain");
    assert!(drain.allowed.contains("5m 10s"), "{drain}");
    let enough = "[deadlines]\nrequest_maximum = \"5m\"\ncaller_write = \"10s\"\ndrain = \"5m 10s\"";
    parse_with(enough).expect("the sum suffices");
}

#[test]
fn listeners_may_not_share_an_address_and_peers_need_a_reachable_one() {
    let shared = parse(&REQUIRED.replace("127.0.0.1:2", "127.0.0.1:1")).expect_err("one address twice");
    assert!(shared.to_string().contains("other than that of `callers_address`"), "{shared}");
    for unreachable in ["0.0.0.0:3", "127.0.0.1:0", "[::]:3"] {
        let error = parse(&REQUIRED.replace("127.0.0.1:3", unreachable)).expect_err("peers can't connect");
        assert!(error.to_string().starts_with(&format!("`peers_address` is {unreachable}")), "{error}");
    }
    let chosen = REQUIRED.replace("127.0.0.1:1", "127.0.0.1:0").replace("127.0.0.1:2", "127.0.0.1:0");
    parse(&chosen).expect("callers' and operators' ports may be left to the system");
}

#[test]
fn every_problem_is_named_in_one_run() {
    let text = "[limits]\nqueue_maximum = 0\noperator_requests = 0";
    let Err(SettingsError::Invalid(problems)) = parse_with(text) else { panic!("two limits are zero") };
    let keys: Vec<&str> = problems.iter().map(|problem| problem.key.as_str()).collect();
    assert_eq!(keys, ["limits.operator_requests", "limits.queue_maximum"]);
}

#[test]
fn flags_win_over_the_file_and_the_rest_of_the_file_stays() {
    let file: SettingsLayer =
        parse_toml(Path::new("node.toml"), &format!("{REQUIRED}[log]\ntimestamps = false")).expect("a valid file");
    let mut flags = SettingsLayer { zone: Some(ZoneName::from("thamel")), ..SettingsLayer::default() };
    flags.log.level = Some(LogLevel::Debug);
    let settings = Settings::from_layer(flags.over(file)).expect("all required keys are there");
    assert_eq!(settings.zone, ZoneName::from("thamel"));
    assert_eq!(settings.callers_address.0.port(), 1);
    assert_eq!(settings.log.level, LogLevel::Debug);
    assert!(!settings.log.timestamps);
}

#[test]
fn a_file_that_cannot_be_read_is_named() {
    let error = Settings::load(Path::new("does/not/exist.toml")).expect_err("there is no such file");
    assert!(error.to_string().starts_with("does/not/exist.toml can't be read"), "{error}");
}

/// The rows of docs/SETTINGS.md for a table of settings: keys with their defaults.
fn documented(table: &str) -> Vec<(String, String)> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let page = std::fs::read_to_string(page).expect("the page on settings");
    let prefix = format!("| `{table}.");
    let row = |line: &str| {
        let (key, rest) = line.strip_prefix(&prefix)?.split_once('`')?;
        Some((key.to_owned(), rest.split('|').nth(1)?.trim().to_owned()))
    };
    page.lines().filter_map(row).collect()
}

#[test]
fn the_page_on_settings_has_every_key_with_its_default() {
    let defaults = Settings::from_layer(parse_toml(Path::new("node.toml"), REQUIRED).expect("a valid file"));
    let defaults = defaults.expect("all required keys are there");
    let limits = toml::Table::try_from(&defaults.limits).expect("a table");
    let deadlines = toml::Table::try_from(&defaults.deadlines).expect("a table");
    for (name, table) in [("limits", limits), ("deadlines", deadlines)] {
        let written = |(key, value): (&String, &toml::Value)| {
            let value = value.as_str().map_or_else(|| value.to_string(), |text| text.replace(".0 ", " "));
            (key.clone(), value)
        };
        let mut expected: Vec<(String, String)> = table.iter().map(written).collect();
        let mut found = documented(name);
        expected.sort();
        found.sort();
        assert_eq!(found, expected, "{name}");
    }
}
