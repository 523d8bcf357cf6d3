use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use serde::de::DeserializeOwned;

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct ServedRequest {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query parameters, percent-decoded.
    pub query: Vec<(String, String)>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl ServedRequest {
    /// Value of a query parameter.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        let (_, value) = self.query.iter().find(|(key, _)| key == name)?;
        Some(value)
    }

    /// Numeric value of a query parameter.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query_value(name)?.parse().ok()
    }

    /// Body as JSON; an empty body reads as an empty object.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        let body: &[u8] = if self.body.is_empty() {
            b"{}"
        } else {
            &self.body
        };
        serde_json::from_slice(body).map_err(|e| e.to_string())
    }
}

/// Splits a query into decoded names and values.
pub(crate) fn parse_query(query: &str) -> Vec<(String, String)> {
    query
        .split('&')
        .filter(|pair| !pair.is_empty())
        .map(|pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            (percent_decode(name), percent_decode(value))
        })
        .collect()
}

fn percent_decode(text: &str) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let escape = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        let byte = escape.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (first, byte) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                rest = &tail[2..];
            }
            (b'+', _) => {
                decoded.push(b' ');
                rest = tail;
            }
            (first, _) => {
                decoded.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
