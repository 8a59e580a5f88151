//! Header names of the callers' API, and the values in requests' headers.

use std::time::Duration;

use havengate_core::request::RequestId;

use super::error::CallerError;
use super::handler::CallerLimits;
use crate::http_server::header::{HeaderName, HeaderValue};
use crate::http_server::{HeaderMap, Request};

/// In answers: the request's identity, which is in every log line of the request.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// In answers: `completed`, `not_run` or `may_have_run`. A stream has none: its end tells.
pub(super) const VERDICT: HeaderName = HeaderName::from_static("x-havengate-verdict");
/// In answers: whether the answer comes from the record of an earlier request with the same idempotency key.
pub(super) const REPLAYED: HeaderName = HeaderName::from_static("x-havengate-replayed");
/// In answers: seconds after which it makes sense to ask again.
pub(super) const RETRY_AFTER: HeaderName = HeaderName::from_static("retry-after");
/// In answers: tells client libraries not to repeat by themselves a request that may have run.
pub(super) const SHOULD_RETRY: HeaderName = HeaderName::from_static("x-should-retry");

const AUTHORIZATION: &str = "authorization";
const CONTRACT: &str = "x-request-contract";
const DEADLINE: &str = "x-request-deadline";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const PRIORITY: &str = "x-request-priority";

/// The longest idempotency key: claim holders keep keys in memory.
const IDEMPOTENCY_KEY_BYTES_MAXIMUM: usize = 255;

/// Sets a header of an answer; a value that no header can have is left out.
pub(super) fn insert(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Sets the header that names the request.
pub(super) fn insert_request_id(headers: &mut HeaderMap, request: RequestId) {
    insert(headers, REQUEST_ID, &request.to_string());
}

/// The bearer key.
pub(super) fn bearer_key(request: &Request) -> Option<&str> {
    let (scheme, key) = request.header(AUTHORIZATION)?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// What a request's headers ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RequestOptions {
    /// The time for the whole answer.
    pub(super) deadline: Duration,
    /// Present when the request must run at most once.
    pub(super) idempotency_key: Option<String>,
    /// A priority below the contract's.
    pub(super) priority: Option<u8>,
    /// Another contract than the tenant's own.
    pub(super) contract: Option<String>,
}

impl RequestOptions {
    /// Reads the headers of `request`.
    pub(super) fn read(request: &Request, limits: &CallerLimits) -> Result<Self, CallerError> {
        Ok(RequestOptions {
            deadline: deadline(request, limits)?,
            idempotency_key: idempotency_key(request)?,
            priority: priority(request)?,
            contract: single(request, CONTRACT)?.map(str::to_owned),
        })
    }
}

/// The value of a header that may stand once.
fn single<'a>(request: &'a Request, name: &str) -> Result<Option<&'a str>, CallerError> {
    let mut values = request.headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(CallerError::invalid(format!("header `{name}` stands twice")));
    }
    let text = value.to_str().map_err(|_| CallerError::invalid(format!("header `{name}` is not visible ASCII")))?;
    Ok(Some(text))
}

fn deadline(request: &Request, limits: &CallerLimits) -> Result<Duration, CallerError> {
    let Some(text) = single(request, DEADLINE)? else { return Ok(limits.deadline_default) };
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
    let Some(key) = single(request, IDEMPOTENCY_KEY)? else { return Ok(None) };
    if key.is_empty() || key.len() > IDEMPOTENCY_KEY_BYTES_MAXIMUM {
        let length = key.len();
        return Err(CallerError::invalid(format!(
            "header `{IDEMPOTENCY_KEY}` has {length} characters; allowed: 1 to {IDEMPOTENCY_KEY_BYTES_MAXIMUM}"
        )));
    }
    Ok(Some(key.to_owned()))
}

fn priority(request: &Request) -> Result<Option<u8>, CallerError> {
    let Some(text) = single(request, PRIORITY)? else { return Ok(None) };
    let priority = text.parse().map_err(|_| {
        CallerError::invalid(format!("header `{PRIORITY}` is `{text}`; allowed: a whole number from 0 to 255"))
    })?;
    Ok(Some(priority))
}
