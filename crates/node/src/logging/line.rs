//! Writes a log record as one line of `key=value` pairs.

use std::fmt::{self, Write};
use std::time::SystemTime;

use havengate_core::request::RequestId;
use log::kv::{self, Key, Value, VisitSource};

/// A record as one line, without the newline at its end.
pub struct Line<'a> {
    /// The event's name and its pairs.
    pub record: &'a log::Record<'a>,
    /// When the event happened; `None` leaves the time out.
    pub time: Option<SystemTime>,
    /// The request that the event belongs to.
    pub request: Option<RequestId>,
}

impl fmt::Display for Line<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(time) = self.time {
            write!(formatter, "time={} ", humantime::format_rfc3339_millis(time))?;
        }
        let level = self.record.level().as_str().to_lowercase();
        let message = self.record.args().to_string();
        let event = self.pair(EVENT).unwrap_or_else(|| message.clone());
        write!(formatter, "level={level} event={}", Quoted(&event))?;
        if let Some(module) = self.record.module_path() {
            write!(formatter, " module={module}")?;
        }
        if let Some(request) = self.pair(REQUEST).or(self.request.map(|request| request.to_string())) {
            write!(formatter, " request={}", Quoted(&request))?;
        }
        self.record.key_values().visit(&mut PairWriter { formatter }).map_err(|_| fmt::Error)?;
        if !message.is_empty() && message != event {
            write!(formatter, " message={}", Quoted(&message))?;
        }
        Ok(())
    }
}

/// The pair that names the event; without it, the message does.
const EVENT: &str = "event";

/// The pair that names the request; without it, the thread's scope does.
const REQUEST: &str = "request";

impl Line<'_> {
    fn pair(&self, key: &str) -> Option<String> {
        self.record.key_values().get(Key::from_str(key)).map(|value| value.to_string())
    }
}

struct PairWriter<'a, 'b> {
    formatter: &'a mut fmt::Formatter<'b>,
}

impl<'kvs> VisitSource<'kvs> for PairWriter<'_, '_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        if matches!(key.as_str(), EVENT | REQUEST) {
            return Ok(());
        }
        self.formatter.write_char(' ')?;
        for character in key.as_str().chars() {
            self.formatter.write_char(if is_key_character(character) { character } else { '_' })?;
        }
        write!(self.formatter, "={}", Quoted(&value.to_string()))?;
        Ok(())
    }
}

fn is_key_character(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '_' | '.' | '-')
}

/// A value, in quotes where the line could not be split into its pairs otherwise.
struct Quoted<'a>(&'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.0.is_empty() && !self.0.contains(needs_quotes) {
            return formatter.write_str(self.0);
        }
        formatter.write_char('"')?;
        for character in self.0.chars() {
            write_escaped(formatter, character)?;
        }
        formatter.write_char('"')
    }
}

fn needs_quotes(character: char) -> bool {
    character.is_whitespace() || character.is_control() || matches!(character, '"' | '=' | '\\')
}

fn write_escaped(formatter: &mut fmt::Formatter<'_>, character: char) -> fmt::Result {
    match character {
        '"' => formatter.write_str("\\\""),
        '\\' => formatter.write_str("\\\\"),
        '\n' => formatter.write_str("\\n"),
        '\r' => formatter.write_str("\\r"),
        '\t' => formatter.write_str("\\t"),
        ' ' => formatter.write_char(' '),
        // Some readers end a line at Unicode's own separators too, and terminals act on control characters.
        other if other.is_control() || other.is_whitespace() => write!(formatter, "\\u{:04x}", u32::from(other)),
        other => formatter.write_char(other),
    }
}
