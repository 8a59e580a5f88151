//! Header names of the callers' API, and parsing of request headers.

use std::time::Duration;

use havengate_core::request::RequestId;

use super::error::CallerError;
use super::handler::CallerLimits;
use crate::http_server::header::{HeaderName, HeaderValue};
use crate::http_server::{HeaderMap, Request};

/// Response header: the request ID, which every log line of the request carries.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Response header: `completed`, `not_run` or `may_have_run`. Absent from a stream, whose last event gives the outcome.
pub(super) const VERDICT: HeaderName = HeaderName::from_static("x-havengate-verdict");
/// Response header: set when the answer is replayed from an earlier request with the same idempotency key.
pub(super) const REPLAYED: HeaderName = HeaderName::from_static("x-havengate-replayed");
/// Response header: seconds to wait before a retry.
pub(super) const RETRY_AFTER: HeaderName = HeaderName::from_static("retry-after");
/// Response header: stops client libraries from retrying a request that may have run.
pub(super) const SHOULD_RETRY: HeaderName = HeaderName::from_static("x-should-retry");

const AUTHORIZATION: &str = "authorization";
const CONTRACT: &str = "x-request-contract";
const DEADLINE: &str = "x-request-deadline";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const PRIORITY: &str = "x-request-priority";

/// Longest idempotency key, in bytes. Bounded because claim holders keep keys in memory.
const IDEMPOTENCY_KEY_BYTES_MAXIMUM: usize = 255;

/// Sets a response header; does nothing if `value` is not a valid header value.
pub(super) fn insert(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Sets the request ID header.
pub(super) fn insert_request_id(headers: &mut HeaderMap, request: RequestId) {
    insert(headers, REQUEST_ID, &request.to_string());
}

/// Returns the key of the `authorization` header when its scheme is `Bearer`.
pub(super) fn bearer_key(request: &Request) -> Option<&str> {
    let (scheme, key) = request.header(AUTHORIZATION)?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Options that a request sets by headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RequestOptions {
    /// Time limit for the complete answer.
    pub(super) deadline: Duration,
    /// Set when the request must run at most once.
    pub(super) idempotency_key: Option<String>,
    /// Requested priority; it can only lower the contract's priority.
    pub(super) priority: Option<u8>,
    /// Contract to use instead of the tenant's default contract.
    pub(super) contract: Option<String>,
}

impl RequestOptions {
    /// Parses the headers of `request`.
    pub(super) fn read(request: &Request, limits: &CallerLimits) -> Result<Self, CallerError> {
        Ok(RequestOptions {
            deadline: deadline(request, limits)?,
            idempotency_key: idempotency_key(request)?,
            priority: priority(request)?,
            contract: single_value(request, CONTRACT)?.map(str::to_owned),
        })
    }
}

/// Returns the value of a header that may occur at most once.
fn single_value<'a>(request: &'a Request, name: &str) -> Result<Option<&'a str>, CallerError> {
    let mut values = request.headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(CallerError::invalid(format!("header `{name}` stands twice")));
    }
    let text = value.to_str().map_err(|_| CallerError::invalid(format!("header `{name}` is not visible ASCII")))?;
    Ok(Some(text))
}

fn deadline(request: &Request, limits: &CallerLimits) -> Result<Duration, CallerError> {
    let Some(text) = single_value(request, DEADLINE)? else { return Ok(limits.deadline_default) };
    let maximum = limits.deadline_maximum;
    let deadline = humantime::parse_duration(text).ok();
    let allowed = deadline.filter(|deadline| !deadline.is_zero() && *deadline <= maximum);
    allowed.ok_or_else(|| {
        let maximum = humantime::format_duration(maximum);
        CallerError::invalid(format!(
            "header `{DEADLINE}` is `{text}`; allowed: a duration such as `30s` or `250ms`, above 0 and up to {maximum}"
        ))
    })
}

fn idempotency_key(request: &Request) -> Result<Option<String>, CallerError> {
    let Some(key) = single_value(request, IDEMPOTENCY_KEY)? else { return Ok(None) };
    if key.is_empty() || key.len() > IDEMPOTENCY_KEY_BYTES_MAXIMUM {
        let length = key.len();
        return Err(CallerError::invalid(format!(
            "header `{IDEMPOTENCY_KEY}` has {length} characters; allowed: 1 to {IDEMPOTENCY_KEY_BYTES_MAXIMUM}"
        )));
    }
    Ok(Some(key.to_owned()))
}

fn priority(request: &Request) -> Result<Option<u8>, CallerError> {
    let Some(text) = single_value(request, PRIORITY)? else { return Ok(None) };
    let priority = text.parse().map_err(|_| {
        CallerError::invalid(format!("header `{PRIORITY}` is `{text}`; allowed: a whole number from 0 to 255"))
    })?;
    Ok(Some(priority))
}
