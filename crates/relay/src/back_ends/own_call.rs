//! Calls that a node makes to an engine for itself, not for a caller.

use bytes::Bytes;
use havengate_core::back_ends::BackEnd;
use http_body_util::{BodyExt, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode, Uri};

use super::pool::Lease;
use crate::protocol::RequestBody;

/// A request without a body to read something at `engine`; `None` when its path is none.
pub fn get_request(engine: &BackEnd, path: &'static str) -> Option<Request<RequestBody>> {
    let mut request = Request::new(RequestBody::default());
    *request.uri_mut() = path.parse::<Uri>().ok()?;
    set_host(engine, &mut request)?;
    Some(request)
}

/// Names `engine` as the one that `request` is for; `None` when its address can't be written.
pub fn set_host(engine: &BackEnd, request: &mut Request<RequestBody>) -> Option<()> {
    let host = HeaderValue::from_str(&engine.address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    Some(())
}

impl Lease {
    /// Makes one call and reads its whole answer, of `maximum_bytes` at most; `None` when there is none. The connection is
    /// kept after a whole answer.
    pub async fn call(mut self, request: Request<RequestBody>, maximum_bytes: usize) -> Option<(StatusCode, Bytes)> {
        let answer = self.sender()?.send_request(request).await.ok()?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), maximum_bytes).collect().await.ok()?;
        self.give_back();
        Some((status, body.to_bytes()))
    }
}
