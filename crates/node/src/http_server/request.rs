//! Requests as handlers see them, and how their bodies are read within limits.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use hyper::{HeaderMap, Method, Uri};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::refusal::ServerRefusal;

/// A request with its whole body.
pub struct Request {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The header lines.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Vec<u8>,
    /// The body's share of the server's memory, given back when the request is dropped.
    _share: Option<OwnedSemaphorePermit>,
}

impl Request {
    /// The path, with its leading slash.
    pub fn path(&self) -> &str {
        self.uri.path()
    }

    /// The value of `name` in the query, as it was written; the first one counts.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.uri.query()?.split('&');
        pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// The value of the header `name`, when there is one that is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// What bounds the reading of a body.
#[derive(Clone)]
pub(super) struct BodyLimits {
    pub(super) maximum: usize,
    pub(super) timeout: Duration,
    /// The bytes that all bodies may have together, one permit each.
    pub(super) total: Arc<Semaphore>,
}

/// Reads the body of `request` within `limits`.
pub(super) async fn read_request(
    request: hyper::Request<Incoming>,
    limits: &BodyLimits,
) -> Result<Request, ServerRefusal> {
    if request.version() != hyper::Version::HTTP_11 {
        return Err(ServerRefusal::HttpVersion);
    }
    let (head, body) = request.into_parts();
    let reading = read_body(body, limits);
    let (body, share) =
        tokio::time::timeout(limits.timeout, reading).await.map_err(|_| ServerRefusal::BodyTimeout)??;
    Ok(Request { method: head.method, uri: head.uri, headers: head.headers, body, _share: share })
}

async fn read_body(
    mut body: Incoming,
    limits: &BodyLimits,
) -> Result<(Vec<u8>, Option<OwnedSemaphorePermit>), ServerRefusal> {
    let too_large = ServerRefusal::BodyTooLarge { maximum: limits.maximum };
    if body.size_hint().lower() > limits.maximum as u64 {
        return Err(too_large);
    }
    let mut bytes = Vec::new();
    let mut share: Option<OwnedSemaphorePermit> = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ServerRefusal::BodyUnreadable)?;
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > limits.maximum {
            return Err(too_large);
        }
        let more = take_share(&data, &limits.total)?;
        match &mut share {
            Some(share) => share.merge(more),
            None => share = Some(more),
        }
        bytes.extend_from_slice(&data);
    }
    Ok((bytes, share))
}

fn take_share(data: &Bytes, total: &Arc<Semaphore>) -> Result<OwnedSemaphorePermit, ServerRefusal> {
    let permits = u32::try_from(data.len()).map_err(|_| ServerRefusal::TooManyBodies)?;
    Arc::clone(total).try_acquire_many_owned(permits).map_err(|_| ServerRefusal::TooManyBodies)
}
