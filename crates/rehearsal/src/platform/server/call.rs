//! Requests as calls of the platform's dialect.

use std::time::Duration;

use displaydoc::Display;
use havengate_core::store::{ObjectKey, Revision, StoreRequest};
use havengate_node::http_server::{Method, Request, StatusCode};
use havengate_node::platform::dialect::WriteRequest;

use super::super::model::Watch;

const OBJECTS_PATH: &str = "/objects/";
const MACHINES_PATH: &str = "/machines";

/// A call of the dialect.
pub(super) enum Call {
    Store(StoreRequest),
    Watch(Watch),
    Machines,
}

/// Why a request is no call of the dialect.
#[derive(Debug, Display, thiserror::Error)]
pub(super) enum CallError {
    /// no such call
    NoSuchCall,
    /// objects are read and written, nothing else
    MethodNotAllowed,
    /// `{0}` is not a number
    NotANumber(&'static str),
    /// the body can't be read: {0}
    Body(#[from] serde_json::Error),
}

impl CallError {
    pub(super) fn status(&self) -> StatusCode {
        match self {
            CallError::NoSuchCall => StatusCode::NOT_FOUND,
            CallError::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            CallError::NotANumber(_) | CallError::Body(_) => StatusCode::BAD_REQUEST,
        }
    }
}

impl Call {
    pub(super) fn parse(request: &Request) -> Result<Call, CallError> {
        if (&request.method, request.path()) == (&Method::GET, MACHINES_PATH) {
            return Ok(Call::Machines);
        }
        let key = request.path().strip_prefix(OBJECTS_PATH).ok_or(CallError::NoSuchCall)?;
        let key = ObjectKey(key.to_owned());
        match request.method {
            Method::GET => parse_read(key, request),
            Method::PUT => parse_write(key, &request.body),
            _ => Err(CallError::MethodNotAllowed),
        }
    }
}

fn parse_read(key: ObjectKey, request: &Request) -> Result<Call, CallError> {
    let Some(after) = request.query("after") else { return Ok(Call::Store(StoreRequest::Read { key })) };
    let after = Revision(parse_number("after", after)?);
    let wait = Duration::from_millis(parse_number("wait_ms", request.query("wait_ms").unwrap_or("0"))?);
    Ok(Call::Watch(Watch { key, after, wait }))
}

fn parse_write(key: ObjectKey, body: &[u8]) -> Result<Call, CallError> {
    let WriteRequest { expected, operation, value } = serde_json::from_slice(body)?;
    Ok(Call::Store(StoreRequest::CompareAndSet { key, expected, operation, value }))
}

fn parse_number(name: &'static str, text: &str) -> Result<u64, CallError> {
    text.parse().map_err(|_| CallError::NotANumber(name))
}
