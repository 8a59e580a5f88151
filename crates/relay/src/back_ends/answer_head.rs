//! Checks of an answer's head that hold for HTTP, whatever the protocol of the back end.

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};

use crate::protocol::AnswerFault;

/// The longest time that a back end's announcement keeps an idle connection for.
const KEEP_ALIVE_MAXIMUM: Duration = Duration::from_secs(3_600);

/// Why an answer with this head can't be passed on: its status is no final one, or its body is framed in a way in which
/// its end can't be known; `None` if it can.
pub fn head_fault(status: StatusCode, headers: &HeaderMap) -> Option<AnswerFault> {
    if !(200..600).contains(&status.as_u16()) {
        return Some(AnswerFault::StatusUnknown);
    }
    let codings = headers.get_all(TRANSFER_ENCODING);
    let is_coded = codings.iter().next().is_some();
    let is_understood = !is_coded || is_chunked_only(codings.iter());
    let has_body_without_place = status == StatusCode::NO_CONTENT && (is_coded || announces_length(headers));
    (!is_understood || has_body_without_place).then_some(AnswerFault::FramingUnknown)
}

fn is_chunked_only<'h>(mut codings: impl Iterator<Item = &'h HeaderValue>) -> bool {
    let is_chunked = |coding: &HeaderValue| coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked");
    codings.next().is_some_and(is_chunked) && codings.next().is_none()
}

fn announces_length(headers: &HeaderMap) -> bool {
    headers.get_all(CONTENT_LENGTH).iter().any(|length| length.as_bytes().trim_ascii() != b"0")
}

/// How long the back end keeps an idle connection open, by its `Keep-Alive` headers: the shortest time that they name, up
/// to a maximum; `None` if they name none, or one that can't be read.
pub fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let times: Option<Vec<u64>> = headers.get_all("keep-alive").iter().map(keep_alive_seconds).collect();
    let shortest = times?.into_iter().min()?;
    Some(Duration::from_secs(shortest).min(KEEP_ALIVE_MAXIMUM))
}

fn keep_alive_seconds(value: &HeaderValue) -> Option<u64> {
    let text = value.to_str().ok()?;
    let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    timeout.unwrap_or(text).trim().parse().ok()
}
