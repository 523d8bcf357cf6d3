//! Headers of the request that goes to a backend server.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;
use zinniahinge_types::RequestId;

use crate::caller_key::CallerKey;

/// Header that identifies the request to the backend server; a server that answers with another id
/// answered another request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Request headers that are passed on. A list of allowed names cannot leak a key in a header that nobody
/// thought of.
const PASSED_REQUEST_HEADERS: [&str; 8] = [
    "accept",
    "accept-language",
    "content-type",
    "user-agent",
    "traceparent",
    "tracestate",
    "if-match",
    "if-none-match",
];

/// Response headers that are not passed on, because they describe one connection.
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers to send to the backend server. Drops any value that contains the caller's key.
pub fn request_headers(
    headers: &HeaderMap,
    key: Option<&CallerKey>,
    request_id: RequestId,
) -> HeaderMap {
    let mut passed = HeaderMap::new();
    for name in PASSED_REQUEST_HEADERS {
        for value in headers.get_all(name) {
            if key.is_none_or(|key| !key.occurs_in(value.as_bytes())) {
                passed.append(HeaderName::from_static(name), value.clone());
            }
        }
    }
    if let Ok(value) = HeaderValue::try_from(request_id.to_string()) {
        passed.insert(REQUEST_ID_HEADER, value);
    }
    passed
}

/// Headers of the backend server's answer that go to the caller.
pub fn response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    for name in HOP_HEADERS {
        passed.remove(name);
    }
    passed.remove(header::CONTENT_LENGTH);
    passed
}

/// False if the answer names another request than `request_id`.
pub fn is_own_answer(headers: &HeaderMap, request_id: RequestId) -> bool {
    match headers.get(REQUEST_ID_HEADER) {
        Some(value) => value.as_bytes() == request_id.to_string().as_bytes(),
        None => true,
    }
}
