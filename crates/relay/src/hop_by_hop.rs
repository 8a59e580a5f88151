//! Removes hop-by-hop headers, which are not forwarded.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

const CONNECTION_HEADERS: [HeaderName; 7] =
    [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION];
const CONNECTION_HEADERS_BY_NAME: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Removes hop-by-hop headers from a request, but none that `is_end_to_end`, whatever its `Connection` header lists.
/// `Content-Length` is removed too: it is set again from the body, which may have been sent in chunks.
pub fn strip_request(headers: &mut HeaderMap, is_end_to_end: impl Fn(&HeaderName) -> bool) {
    strip_connection(headers, is_end_to_end);
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
}

/// Removes hop-by-hop headers from a back end's answer. `Content-Length` is removed too: it is set again from the body,
/// which may have been received in chunks and be of another length. Only an answer that has no body by its nature, as that
/// to a `HEAD` request, keeps its length.
pub fn strip_answer(headers: &mut HeaderMap, has_body: bool) {
    let is_coded = headers.contains_key(TRANSFER_ENCODING);
    strip_connection(headers, |_| false);
    if has_body || is_coded || !has_one_length(headers) {
        headers.remove(CONTENT_LENGTH);
    }
}

fn has_one_length(headers: &HeaderMap) -> bool {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let is_number = |length: &HeaderValue| length.to_str().is_ok_and(|text| text.parse::<u64>().is_ok());
    lengths.next().is_some_and(is_number) && lengths.next().is_none()
}

fn strip_connection(headers: &mut HeaderMap, is_end_to_end: impl Fn(&HeaderName) -> bool) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !is_end_to_end(name))
        .collect();
    for name in listed.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS_BY_NAME {
        headers.remove(name);
    }
}
