//! The log: one event is one line, and every value can be read back from it.

use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use arbtest::arbitrary::{self, Unstructured};
use havengate_core::request::RequestId;
use havengate_node::logging::{Line, RequestScope, dispatch};
use havengate_node::settings::{LogLevel, LogSettings};
use log::{Level, Log, Record};

/// The lower half of a seed of `arbtest` is the number of random bytes to draw from, the upper half their start (not 0).
const RANDOM_BYTES: u64 = 4_096;
const RANDOM_STARTS: [u64; 8] = [1, 2, 3, 5, 8, 13, 21, 34];

/// Lines written and read back for each seed.
const TEXTS_A_SEED: usize = 100;

/// Characters that a line could be broken by, and some that it could not.
const CHARACTERS: [char; 20] = [
    'a', 'é', 'ह', '😀', ' ', '=', '"', '\\', '\n', '\r', '\t', '\0', '\u{1b}', '\u{7f}', '\u{85}', '\u{a0}',
    '\u{2028}', 'n', 'u', '0',
];

/// A logger whose lines are kept.
struct Captured {
    logger: Box<dyn Log>,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Captured {
    fn at(level: LogLevel) -> Self {
        let lines = Arc::new(Mutex::new(Vec::new()));
        let sink = Arc::clone(&lines);
        let output = fern::Output::call(move |record| sink.lock().expect("no panic").push(record.args().to_string()));
        let (_, logger) = dispatch(&LogSettings { level, timestamps: false }, output).into_log();
        Captured { logger, lines }
    }

    fn log(&self, level: Level, target: &str, event: &str) {
        let arguments = format_args!("{event}");
        self.logger.log(&Record::builder().level(level).target(target).args(arguments).build());
    }

    fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("no panic").clone()
    }
}

fn line_of(event: &str, pairs: &[(&str, &str)]) -> String {
    let arguments = format_args!("{event}");
    let record = Record::builder().level(Level::Info).args(arguments).key_values(&pairs).build();
    Line { record: &record, time: None, request: None }.to_string()
}

/// Reads a line back, as the documentation of the module describes it.
fn pairs_of(line: &str) -> Vec<(String, String)> {
    let mut rest = line;
    let mut pairs = Vec::new();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, length) = if after.starts_with('"') { quoted_value(after) } else { plain_value(after) };
        pairs.push((key.to_owned(), value));
        rest = after[length..].strip_prefix(' ').unwrap_or_default();
    }
    pairs
}

fn plain_value(text: &str) -> (String, usize) {
    let length = text.find(' ').unwrap_or(text.len());
    (text[..length].to_owned(), length)
}

fn quoted_value(text: &str) -> (String, usize) {
    let mut value = String::new();
    let mut characters = text.char_indices().skip(1);
    while let Some((index, character)) = characters.next() {
        match character {
            '"' => return (value, index + 1),
            '\\' => value.push(match characters.next().map(|(_, escaped)| escaped) {
                Some('n') => '\n',
                Some('r') => '\r',
                Some('t') => '\t',
                Some('u') => {
                    let digits: String = characters.by_ref().take(4).map(|(_, digit)| digit).collect();
                    char::from_u32(u32::from_str_radix(&digits, 16).expect("four digits")).expect("a character")
                }
                Some(other) => other,
                None => panic!("a backslash at the end of {text}"),
            }),
            other => value.push(other),
        }
    }
    panic!("no closing quote in {text}");
}

#[test]
fn a_line_holds_time_level_event_request_and_pairs() {
    let record = Record::builder()
        .level(Level::Warn)
        .args(format_args!("engine_lost"))
        .module_path(Some("havengate_node::engines"))
        .key_values(&("engine", "lekh-model-03"))
        .build();
    let time = Some(SystemTime::UNIX_EPOCH + Duration::from_millis(1_500));
    let line = Line { record: &record, time, request: Some(RequestId(0xabc)) }.to_string();
    let expected = "time=1970-01-01T00:00:01.500Z level=warn event=engine_lost module=havengate_node::engines \
        request=00000000000000000000000000000abc engine=lekh-model-03";
    assert_eq!(line, expected);
}

#[test]
fn the_event_and_the_request_may_be_pairs() {
    let pairs = [("engine", "a"), ("event", "engine_lost"), ("request", "7")];
    assert_eq!(line_of("", &pairs), "level=info event=engine_lost request=7 engine=a");
    assert_eq!(line_of("was it?", &pairs[..2]), "level=info event=engine_lost engine=a message=\"was it?\"");
}

#[test]
fn values_are_quoted_where_needed_and_only_there() {
    let pairs = [
        ("plain", "a/b:c#1.5ms"),
        ("empty", ""),
        ("spaces", "two words"),
        ("quotes", "say \"no\""),
        ("newline", "first\nsecond\r\n"),
        ("equals", "a=b"),
        ("backslash", "c:\\d"),
        ("escape", "\u{1b}[31m"),
        ("separator", "a\u{2028}b"),
        ("script", "हिमाल"),
    ];
    let expected = "level=info event=e plain=a/b:c#1.5ms empty=\"\" spaces=\"two words\" quotes=\"say \\\"no\\\"\" \
        newline=\"first\\nsecond\\r\\n\" equals=\"a=b\" backslash=\"c:\\\\d\" escape=\"\\u001b[31m\" \
        separator=\"a\\u2028b\" script=हिमाल";
    assert_eq!(line_of("e", &pairs), expected);
}

#[test]
fn keys_cannot_break_the_line() {
    assert_eq!(line_of("e", &[("a key=\n", "v")]), "level=info event=e a_key__=v");
}

fn any_text(unstructured: &mut Unstructured<'_>) -> arbitrary::Result<String> {
    let length = unstructured.int_in_range(0..=12)?;
    (0..length).map(|_| unstructured.choose(&CHARACTERS).copied()).collect()
}

#[test]
fn any_text_can_be_read_back_from_one_line() {
    for start in RANDOM_STARTS {
        arbtest::arbtest(|unstructured| {
            for _ in 0..TEXTS_A_SEED {
                let (event, value) = (any_text(unstructured)?, any_text(unstructured)?);
                let line = line_of(&event, &[("value", value.as_str()), ("last", "x")]);
                assert_eq!(line.lines().count(), 1, "{line:?}");
                let expected = [("level", "info"), ("event", &event), ("value", &value), ("last", "x")];
                let expected: Vec<_> = expected.map(|(key, value)| (key.to_owned(), value.to_owned())).into();
                assert_eq!(pairs_of(&line), expected, "{line:?}");
            }
            Ok(())
        })
        .seed(start << 32 | RANDOM_BYTES);
    }
}

#[test]
fn each_line_of_a_request_carries_its_identity() {
    let captured = Captured::at(LogLevel::Info);
    captured.log(Level::Info, "havengate_node", "before");
    {
        let _outer = RequestScope::enter(RequestId(1));
        captured.log(Level::Info, "havengate_node", "outer");
        {
            let _inner = RequestScope::enter(RequestId(2));
            captured.log(Level::Info, "havengate_node", "inner");
        }
        captured.log(Level::Info, "havengate_node", "outer_again");
    }
    captured.log(Level::Info, "havengate_node", "after");
    let id = |number: u128| format!("{number:032x}");
    let expected = [
        "level=info event=before".to_owned(),
        format!("level=info event=outer request={}", id(1)),
        format!("level=info event=inner request={}", id(2)),
        format!("level=info event=outer_again request={}", id(1)),
        "level=info event=after".to_owned(),
    ];
    assert_eq!(captured.lines(), expected);
}

#[test]
fn libraries_are_heard_from_warnings_on_and_at_trace_wholly() {
    let at_debug = Captured::at(LogLevel::Debug);
    for (level, target) in [
        (Level::Debug, "havengate_node::callers"),
        (Level::Trace, "havengate_node::callers"),
        (Level::Info, "ureq::unit"),
        (Level::Warn, "ureq::unit"),
    ] {
        at_debug.log(level, target, "e");
    }
    assert_eq!(at_debug.lines(), ["level=debug event=e", "level=warn event=e"]);

    let at_trace = Captured::at(LogLevel::Trace);
    at_trace.log(Level::Trace, "ureq::unit", "e");
    assert_eq!(at_trace.lines(), ["level=trace event=e"]);
}
