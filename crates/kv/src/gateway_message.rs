//! Messages of the JSON gateway of etcd v3. The service omits fields that have their default value.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::PickFirst;
use serde_with::serde_as;
use zinniahinge_types::Revision;

use crate::KvEntry;

pub(crate) fn encode(data: &[u8]) -> String {
    STANDARD.encode(data)
}

/// Returns the first key after all keys that start with `prefix`, in base64.
pub(crate) fn encode_prefix_end(prefix: &str) -> String {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return encode(&end);
        }
    }
    // The service takes a single zero byte as the end of the key space.
    encode(&[0])
}

#[derive(Debug, Default, Serialize)]
pub(crate) struct RangeRequest {
    pub key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<String>,
}

#[serde_as]
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ResponseHeader {
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub revision: Revision,
}

#[serde_as]
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct KeyValue {
    pub key: String,
    pub value: String,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub mod_revision: Revision,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub create_revision: Revision,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub version: u64,
}

impl KeyValue {
    /// Returns the key as text, or an error message if it is not base64 of UTF-8.
    pub fn decode_key(&self) -> Result<String, String> {
        let key = STANDARD.decode(&self.key).map_err(|e| e.to_string())?;
        String::from_utf8(key).map_err(|e| e.to_string())
    }

    pub fn decode_value(&self) -> Result<Bytes, String> {
        let value = STANDARD.decode(&self.value).map_err(|e| e.to_string())?;
        Ok(Bytes::from(value))
    }

    pub fn decode(&self) -> Result<KvEntry, String> {
        Ok(KvEntry {
            key: self.decode_key()?.into(),
            value: self.decode_value()?,
            mod_revision: self.mod_revision,
            create_revision: self.create_revision,
        })
    }
}

/// Response to a range request. The header is required, because every response of the service has
/// one and JSON without it comes from something else.
#[derive(Debug, Deserialize)]
pub(crate) struct RangeResponse {
    pub header: ResponseHeader,
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

#[derive(Debug, Serialize)]
pub(crate) struct Compare {
    pub key: String,
    pub target: &'static str,
    pub result: &'static str,
    pub mod_revision: String,
}

#[derive(Debug, Serialize)]
pub(crate) struct PutRequest {
    pub key: String,
    pub value: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lease: Option<String>,
}

#[derive(Debug, Serialize)]
pub(crate) enum RequestOp {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    DeleteRange(RangeRequest),
}

#[derive(Debug, Default, Serialize)]
pub(crate) struct TxnRequest {
    pub compare: Vec<Compare>,
    pub success: Vec<RequestOp>,
    pub failure: Vec<RequestOp>,
}

/// Response to a range request inside a transaction; the service leaves its header empty.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeResult {
    pub kvs: Vec<KeyValue>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ResponseOp {
    pub response_range: Option<RangeResult>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct TxnResponse {
    pub header: ResponseHeader,
    #[serde(default)]
    pub succeeded: bool,
    #[serde(default)]
    pub responses: Vec<ResponseOp>,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchRequest {
    pub create_request: WatchCreateRequest,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchCreateRequest {
    pub key: String,
    pub range_end: String,
    pub start_revision: String,
    pub progress_notify: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchLine {
    pub result: Option<WatchResponse>,
    pub error: Option<GatewayError>,
}

#[serde_as]
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchResponse {
    pub header: ResponseHeader,
    pub canceled: bool,
    pub cancel_reason: String,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub compact_revision: Revision,
    pub events: Vec<GatewayEvent>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum EventType {
    #[default]
    Put,
    Delete,
}

#[derive(Debug, Deserialize)]
pub(crate) struct GatewayEvent {
    #[serde(default, rename = "type")]
    pub event_type: EventType,
    pub kv: KeyValue,
}

#[serde_as]
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseResponse {
    #[serde(rename = "ID")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub id: i64,
    #[serde(rename = "TTL")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub ttl_seconds: i64,
}

/// Response to a keep-alive. The gateway treats a keep-alive as a stream, so its only response is
/// wrapped like a stream message.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseStreamResponse {
    pub result: Option<LeaseResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct GatewayError {
    pub code: u32,
    pub message: String,
}
