use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::StatusCode;
use http::header::ETAG;
use http::header::HeaderValue;
use http::header::IF_NONE_MATCH;
use serde::Deserialize;
use serde_json::json;
use volo_http::response::Response;
use zinniahinge_types::Name;
use zinniahinge_types::ServerEntry;
use zinniahinge_types::ServerState;

use crate::FaultKind;
use crate::ServedRequest;
use crate::reply::Refusal;
use crate::reply::json_reply;
use crate::reply::ok_reply;

/// The platform's host list. Readers see it as it was some time ago.
pub struct HostList {
    lag: Duration,
    boot: u32,
    versions: Mutex<VecDeque<ListVersion>>,
}

/// The list after one change.
#[derive(Clone, Debug)]
struct ListVersion {
    number: u64,
    changed_at: Instant,
    entries: BTreeMap<Name, ServerEntry>,
}

/// Body of `PUT /hosts/<server>`.
#[derive(Clone, Debug, Deserialize)]
struct HostRegistration {
    group: Name,
    address: Name,
    place: Name,
    #[serde(default = "default_state")]
    state: ServerState,
}

fn default_state() -> ServerState {
    ServerState::Live
}

impl HostList {
    /// Kinds of faults that apply to `GET /hosts`.
    pub const FAULTS: &[FaultKind] = &[
        FaultKind::Down,
        FaultKind::Slow,
        FaultKind::Pause,
        FaultKind::Garbage,
        FaultKind::CloseEarly,
    ];

    /// Empty list whose readers see changes `lag` late.
    pub fn new(lag: Duration) -> Arc<Self> {
        let empty = ListVersion {
            number: 0,
            changed_at: Instant::now(),
            entries: BTreeMap::new(),
        };
        Arc::new(Self {
            lag,
            // Entity tags of different runs differ.
            boot: rand::random(),
            versions: Mutex::new(VecDeque::from([empty])),
        })
    }

    /// Answers one request.
    pub async fn handle(self: Arc<Self>, request: ServedRequest) -> Response {
        let segments: Vec<&str> = request.path.split('/').skip(1).collect();
        let outcome = match (&request.method, segments.as_slice()) {
            (&Method::GET, ["hosts"]) => Ok(self.list(&request)),
            (&Method::PUT, ["hosts", server]) => self.register(server, &request),
            (&Method::POST, ["hosts", server, "leaving"]) => self.mark_leaving(server),
            (&Method::DELETE, ["hosts", server]) => self.remove(server),
            _ => Err(Refusal::not_found("no such path")),
        };
        outcome.unwrap_or_else(Response::from)
    }

    fn list(&self, request: &ServedRequest) -> Response {
        let version = self.visible_version();
        let tag = format!("\"{:08x}-{}\"", self.boot, version.number);
        let known = request.headers.get(IF_NONE_MATCH);
        let mut response = if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
            let mut response = Response::default();
            *response.status_mut() = StatusCode::NOT_MODIFIED;
            response
        } else {
            let entries: Vec<&ServerEntry> = version.entries.values().collect();
            json_reply(StatusCode::OK, &entries)
        };
        if let Ok(tag) = HeaderValue::from_str(&tag) {
            response.headers_mut().insert(ETAG, tag);
        }
        response
    }

    /// Newest version that is older than the lag. Versions before it are dropped.
    fn visible_version(&self) -> ListVersion {
        let mut versions = self.lock();
        while versions.len() > 1 && versions[1].changed_at.elapsed() >= self.lag {
            versions.pop_front();
        }
        versions[0].clone()
    }

    fn register(&self, server: &str, request: &ServedRequest) -> Result<Response, Refusal> {
        let registration: HostRegistration = request.json().map_err(Refusal::bad_request)?;
        let HostRegistration {
            group,
            address,
            place,
            state,
        } = registration;
        let entry = ServerEntry {
            server: server.into(),
            group,
            address,
            place,
            state,
        };
        self.change(|entries| {
            entries.insert(server.into(), entry);
            Some(())
        })
    }

    fn mark_leaving(&self, server: &str) -> Result<Response, Refusal> {
        self.change(|entries| {
            entries.get_mut(server)?.state = ServerState::Leaving;
            Some(())
        })
    }

    fn remove(&self, server: &str) -> Result<Response, Refusal> {
        self.change(|entries| entries.remove(server).map(drop))
    }

    fn change(
        &self,
        edit: impl FnOnce(&mut BTreeMap<Name, ServerEntry>) -> Option<()>,
    ) -> Result<Response, Refusal> {
        let mut versions = self.lock();
        let mut newest = versions[versions.len() - 1].clone();
        edit(&mut newest.entries).ok_or_else(|| Refusal::not_found("no such server"))?;
        newest.number += 1;
        newest.changed_at = Instant::now();
        versions.push_back(newest);
        Ok(ok_reply(&json!({})))
    }

    /// Versions, the visible one first; there is always one.
    fn lock(&self) -> MutexGuard<'_, VecDeque<ListVersion>> {
        self.versions.lock().unwrap_or_else(|e| e.into_inner())
    }
}
