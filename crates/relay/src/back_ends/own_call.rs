//! Calls that a node makes to an engine on its own behalf, not for a caller.

use bytes::Bytes;
use havengate_core::back_ends::BackEnd;
use http_body_util::{BodyExt, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode, Uri};

use super::pool::{ConnectError, ConnectionPool, Lease};
use crate::protocol::{Protocol, RequestBody};

/// A GET request without a body to `path`; `None` when the path is invalid.
pub fn get_request(path: &'static str) -> Option<Request<RequestBody>> {
    let mut request = Request::new(RequestBody::default());
    *request.uri_mut() = path.parse::<Uri>().ok()?;
    Some(request)
}

/// Addresses `request` to `engine` alone; `None` when its address is not a valid header value.
pub fn address_to<P: Protocol>(
    protocol: &P,
    engine: &BackEnd,
    mut request: Request<RequestBody>,
) -> Option<Request<RequestBody>> {
    let host = HeaderValue::from_str(&engine.address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    protocol.address_call(request.headers_mut(), engine);
    Some(request)
}

/// A connection that has carried nothing yet, for one call.
///
/// The answer to a call of the node's own names no request. On a connection that had carried something else, a late or
/// surplus answer to that could stand for it, so the connection is new, and it is closed after the call.
pub struct OwnConnection {
    lease: Lease,
}

impl OwnConnection {
    /// Opens a connection to `engine`.
    ///
    /// # Errors
    /// When it can't be established.
    pub async fn open(pool: &ConnectionPool, engine: &BackEnd) -> Result<Self, ConnectError> {
        let lease = pool.lease_new(engine).await?;
        Ok(OwnConnection { lease })
    }

    /// Makes the call and reads its complete answer, of at most `maximum_bytes`; `None` when the call fails.
    pub async fn call(mut self, request: Request<RequestBody>, maximum_bytes: usize) -> Option<(StatusCode, Bytes)> {
        let answer = self.lease.sender()?.send_request(request).await.ok()?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), maximum_bytes).collect().await.ok()?;
        Some((status, body.to_bytes()))
    }
}
