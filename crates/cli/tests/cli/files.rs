//! `havengate check` and the command line itself: exit codes, and errors that say what is allowed.

use crate::support::{TemporaryFile, example, run};

const COMMANDS: [&str; 8] = ["node", "check", "status", "intent", "plan", "confirm", "policy", "drain"];

#[test]
fn help_names_every_command_and_the_exit_codes() {
    let help = run(&["--help"]);
    assert_eq!(help.code, 0);
    for command in COMMANDS {
        assert!(help.output.contains(&format!("\n    {command}")), "{command}: {}", help.output);
        let of_command = run(&[command, "--help"]);
        assert_eq!(of_command.code, 0, "{command}");
        assert!(of_command.output.contains("Usage: havengate"), "{command}: {}", of_command.output);
    }
    assert!(help.output.contains("Exit codes"), "{}", help.output);
    for command in ["node", "check", "status", "intent", "confirm", "drain"] {
        assert!(run(&[command, "--help"]).output.contains("Example"), "{command} shows no example");
    }
}

#[test]
fn wrong_arguments_exit_with_2_and_say_what_is_allowed() {
    for (arguments, expected) in [
        (vec!["serve"], "COMMAND"),
        (vec!["status", "--format", "yaml"], "allowed: text, json"),
        (vec!["status", "--node", "somewhere"], "somewhere"),
        (vec!["status", "--timeout", "soon"], "allowed: a duration above zero"),
        (vec!["status", "--timeout", "0s"], "allowed: a duration above zero"),
        (vec!["confirm"], "ID"),
        (vec!["check", "--kind", "recipe", "x.toml"], "allowed: settings, deployment, intent, experiment"),
    ] {
        let failed = run(&arguments);
        assert_eq!(failed.code, 2, "{arguments:?}: {failed:?}");
        assert!(failed.errors.contains(expected), "{arguments:?}: {failed:?}");
        assert_eq!(failed.output, "");
    }
}

#[test]
fn the_examples_are_valid() {
    for (name, kind) in [
        ("node.toml", "settings"),
        ("intent.toml", "intent"),
        ("himal-chhapai.toml", "deployment"),
        ("trag.toml", "deployment"),
        ("experiments/himal-waves.toml", "experiment"),
        ("experiments/trag-waves.toml", "experiment"),
    ] {
        let checked = run(&["check", "--format", "json", &example(name)]);
        assert_eq!(checked.code, 0, "{name}: {checked:?}");
        let report: serde_json::Value = serde_json::from_str(&checked.output).expect("JSON");
        assert_eq!(report["kind"], kind);
    }
}

#[test]
fn an_experiment_is_checked_against_its_deployment() {
    let experiment = example("experiments/trag-waves.toml");
    let its_own = run(&["check", &experiment, "--deployment", &example("trag.toml")]);
    assert_eq!(its_own.code, 0, "{its_own:?}");
    let another = run(&["check", &experiment, "--deployment", &example("himal-chhapai.toml")]);
    assert_eq!(another.code, 2, "{another:?}");
    assert!(another.errors.contains("`maintainers`"), "{another:?}");
}

#[test]
fn bad_files_exit_with_2_and_name_key_value_and_what_is_allowed() {
    let node = std::fs::read_to_string(example("node.toml")).expect("the example");
    let trag = std::fs::read_to_string(example("trag.toml")).expect("the example");
    let cases = [
        ("limit", node.replace("streams_maximum = 480", "streams_maximum = 1024"), "`limits.streams_maximum` is 1024"),
        ("unit", node.replace("\"4MiB\"", "\"4 furlongs\""), "body_maximum = \"4 furlongs\""),
        ("key", node.replace("request_default", "request_defualt"), "expected one of `request_default`"),
        ("missing", node.replace("zone =", "# zone ="), "`zone` is missing"),
        (
            "latency",
            trag.replace("client_latency = \"3ms\"", "client_latency = \"3h\""),
            "`client_latency` is 3h; allowed",
        ),
        ("intent", "[[roles]]\nmodle = \"x\"\n".to_owned(), "line 2, column 1: unknown field `modle`"),
        ("whole", "[configuration]\nengine = 3\n".to_owned(), "line 2"),
        (
            "reference",
            "[[configuration.engine]]\nname=\"a\"\naddress=\"127.0.0.1:1\"\nzone=\"z\"\nmodel=\"m\"\n".to_owned(),
            "engine a.zone is `z`; allowed: nothing yet",
        ),
        ("phase", "name = \"x\"\n[[phase]]\nname = \"x\"\nduration = \"0s\"\n".to_owned(), "duration"),
        ("toml", "zone = [".to_owned(), "line 1"),
        ("kind", "colour = \"red\"".to_owned(), "--kind"),
    ];
    for (name, text, expected) in cases {
        let file = TemporaryFile::new(&format!("bad-{name}.toml"), &text);
        let failed = run(&["check", file.path()]);
        assert_eq!(failed.code, 2, "{name}: {failed:?}");
        assert!(failed.errors.contains(expected), "{name}: {failed:?}");
        assert_eq!(failed.output, "", "{name}");
    }
}

#[test]
fn errors_are_json_when_asked_for() {
    let failed = run(&["check", "--format", "json", "does/not/exist.toml"]);
    assert_eq!(failed.code, 2);
    let body: serde_json::Value = serde_json::from_str(&failed.errors).expect("JSON");
    assert_eq!(body["code"], "bad_file");
    assert!(body["message"].as_str().is_some_and(|message| message.contains("does/not/exist.toml")), "{body}");
}

#[test]
fn a_node_does_not_start_with_settings_that_are_not_allowed() {
    let failed = run(&["node", "--settings", &example("node.toml"), "--peers-address", "0.0.0.0:8082"]);
    assert_eq!(failed.code, 2, "{failed:?}");
    assert!(failed.errors.contains("`peers_address` is 0.0.0.0:8082"), "{failed:?}");
    let nothing = run(&["node"]);
    assert_eq!(nothing.code, 2, "{nothing:?}");
    assert!(nothing.errors.contains("--zone"), "{nothing:?}");
}

#[test]
fn completions_come_for_shells() {
    let script = run(&["--bpaf-complete-style-bash"]);
    assert_eq!(script.code, 0);
    assert!(script.output.contains("complete"), "{script:?}");
}
