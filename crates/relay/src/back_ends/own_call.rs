//! Calls that a node makes to an engine on its own behalf, not for a caller.

use bytes::Bytes;
use havengate_core::back_ends::BackEnd;
use http_body_util::{BodyExt, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode, Uri};

use super::pool::Lease;
use crate::protocol::RequestBody;

/// A GET request to `engine` without a body; `None` when the path or the address is invalid.
pub fn get_request(engine: &BackEnd, path: &'static str) -> Option<Request<RequestBody>> {
    let mut request = Request::new(RequestBody::default());
    *request.uri_mut() = path.parse::<Uri>().ok()?;
    set_host(engine, &mut request)?;
    Some(request)
}

/// Sets the `Host` header of `request` to the address of `engine`; `None` when the address is not a valid header value.
pub fn set_host(engine: &BackEnd, request: &mut Request<RequestBody>) -> Option<()> {
    let host = HeaderValue::from_str(&engine.address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    Some(())
}

impl Lease {
    /// Makes one call and reads its complete answer, of at most `maximum_bytes`; `None` when the call fails. The
    /// connection is returned to the pool after a complete answer.
    pub async fn call(mut self, request: Request<RequestBody>, maximum_bytes: usize) -> Option<(StatusCode, Bytes)> {
        let answer = self.sender()?.send_request(request).await.ok()?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), maximum_bytes).collect().await.ok()?;
        self.give_back();
        Some((status, body.to_bytes()))
    }
}
