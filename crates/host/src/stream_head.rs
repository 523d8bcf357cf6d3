use http::HeaderMap;
use http::StatusCode;
use http::header;

/// What the head of an event stream says about its body. The streams of several servers can be joined only if it is equal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StreamHead {
    status: StatusCode,
    /// Media type without parameters, in lower case.
    media_type: Option<String>,
}

impl StreamHead {
    pub(crate) fn new(status: StatusCode, headers: &HeaderMap) -> Self {
        let content_type = headers.get(header::CONTENT_TYPE);
        let media_type = content_type.map(|value| {
            let text = String::from_utf8_lossy(value.as_bytes());
            let essence = text.split(';').next().unwrap_or_default();
            essence.trim().to_ascii_lowercase()
        });
        Self { status, media_type }
    }
}
