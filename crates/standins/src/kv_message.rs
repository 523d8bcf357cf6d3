//! Messages of the JSON gateway as the service reads and writes them.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use serde_with::DisplayFromStr;
use serde_with::PickFirst;
use serde_with::base64::Base64;
use serde_with::serde_as;

use crate::kv_store::KeyRange;
use crate::kv_store::StoreChange;
use crate::kv_store::StoreRecord;

#[serde_as]
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    #[serde_as(as = "Base64")]
    pub range_end: Vec<u8>,
}

impl RangeRequest {
    pub fn into_range(self) -> KeyRange {
        KeyRange {
            start: self.key,
            end: self.range_end,
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    #[default]
    Version,
    Create,
    Mod,
    Value,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

#[serde_as]
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    pub target: CompareTarget,
    pub result: CompareResult,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub mod_revision: u64,
}

#[serde_as]
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub lease: i64,
}

#[derive(Clone, Debug, Deserialize)]
pub enum RequestOp {
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeRequest),
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    DeleteRange(RangeRequest),
}

impl RequestOp {
    /// The change that the operation makes; `None` for a read.
    pub fn change(&self) -> Option<StoreChange> {
        match self.clone() {
            Self::Range(_) => None,
            Self::Put(PutRequest { key, value, lease }) => {
                Some(StoreChange::Put { key, value, lease })
            }
            Self::DeleteRange(request) => Some(StoreChange::Delete(request.into_range())),
        }
    }

    /// Key of a put.
    pub fn put_key(&self) -> Option<&[u8]> {
        match self {
            Self::Put(request) => Some(&request.key),
            _ => None,
        }
    }
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    pub compare: Vec<Compare>,
    pub success: Vec<RequestOp>,
    pub failure: Vec<RequestOp>,
}

#[serde_as]
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    #[serde(rename = "ID")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub id: i64,
    #[serde(rename = "TTL")]
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub ttl_seconds: u64,
}

#[derive(Clone, Debug, Default, Deserialize)]
pub struct WatchRequest {
    pub create_request: WatchCreateRequest,
}

#[serde_as]
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    #[serde_as(as = "Base64")]
    pub range_end: Vec<u8>,
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub start_revision: u64,
    pub progress_notify: bool,
}

#[serde_as]
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct CompactionRequest {
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    pub revision: u64,
}

// ----------------------------------------------------------------------------------------------

pub fn write_header(revision: u64) -> Value {
    json!({ "cluster_id": "1", "member_id": "1", "revision": revision.to_string(), "raft_term": "1" })
}

/// A record. Fields with default values are left out, as the service does.
pub fn write_record(record: &StoreRecord) -> Value {
    let mut written = json!({
        "key": STANDARD.encode(&record.key),
        "mod_revision": record.mod_revision.to_string(),
    });
    if record.create_revision > 0 {
        written["create_revision"] = record.create_revision.to_string().into();
        written["version"] = record.version.to_string().into();
    }
    if !record.value.is_empty() {
        written["value"] = STANDARD.encode(&record.value).into();
    }
    if record.lease != 0 {
        written["lease"] = record.lease.to_string().into();
    }
    written
}

pub fn write_range(records: &[StoreRecord]) -> Value {
    if records.is_empty() {
        return json!({});
    }
    let written: Vec<Value> = records.iter().map(write_record).collect();
    json!({ "kvs": written, "count": records.len().to_string() })
}

pub fn write_event(record: &StoreRecord) -> Value {
    let kv = write_record(record);
    if record.version == 0 {
        json!({ "type": "DELETE", "kv": kv })
    } else {
        json!({ "kv": kv })
    }
}
