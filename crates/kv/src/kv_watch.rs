use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use futures::StreamExt;
use futures::stream;
use futures::stream::BoxStream;
use http_body_util::BodyExt;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use volo_http::body::Body;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;

use crate::CallKind;
use crate::KvError;
use crate::Result;
use crate::gateway_message::EventType;
use crate::gateway_message::GatewayEvent;
use crate::gateway_message::WatchCreateRequest;
use crate::gateway_message::WatchLine;
use crate::gateway_message::WatchRequest;
use crate::gateway_message::WatchResponse;
use crate::gateway_message::encode;
use crate::gateway_message::encode_prefix_end;
use crate::gateway_transport::GatewayTransport;

/// Limits one line of a watch, which is one message. A transaction carries up to 1.5 MB, and base64
/// adds a third.
const MAX_LINE_BYTES: usize = 8 * 1024 * 1024;

/// Stream of changes in revision order, which ends after the first error.
pub type WatchStream = BoxStream<'static, Result<WatchEvent>>;

/// Change of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchEvent {
    /// Key of the record.
    pub key: Name,
    /// What happened to the record.
    pub change: WatchChange,
    /// Store revision of the change.
    pub mod_revision: Revision,
}

/// Kind of a change to a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchChange {
    /// The record was created or overwritten.
    Put {
        /// New content of the record.
        value: Bytes,
        /// Store revision at which the record was created.
        create_revision: Revision,
    },
    /// The record was removed.
    Deleted,
}

pub(crate) fn open_watch(
    transport: Arc<GatewayTransport>,
    prefix: &str,
    from_revision: Revision,
    token: CancellationToken,
) -> WatchStream {
    let reader = WatchReader {
        transport,
        prefix: prefix.into(),
        body: None,
        buffer: BytesMut::new(),
        queue: VecDeque::new(),
        order: EventOrder {
            from_revision,
            last_revision: 0,
            versions: HashMap::new(),
        },
        token,
        ended: false,
    };
    stream::unfold(reader, |mut reader| async move {
        let item = reader.next_item().await?;
        Some((item, reader))
    })
    .boxed()
}

// ----------------------------------------------------------------------------------------------

struct WatchReader {
    transport: Arc<GatewayTransport>,
    prefix: Name,
    body: Option<Body>,
    buffer: BytesMut,
    queue: VecDeque<WatchEvent>,
    order: EventOrder,
    token: CancellationToken,
    ended: bool,
}

impl WatchReader {
    async fn next_item(&mut self) -> Option<Result<WatchEvent>> {
        if self.ended {
            return None;
        }
        let token = self.token.clone();
        let item = tokio::select! {
            biased;
            () = token.cancelled() => return None,
            item = self.read_event() => item,
        };
        self.ended = item.is_err();
        Some(item)
    }

    async fn read_event(&mut self) -> Result<WatchEvent> {
        loop {
            if let Some(event) = self.queue.pop_front() {
                return Ok(event);
            }
            let line = self.read_line().await?;
            self.transport.record_contact(Instant::now());
            self.accept_line(&line)?;
        }
    }

    async fn read_line(&mut self) -> Result<BytesMut> {
        let mut searched = 0;
        loop {
            if let Some(end) = self.buffer[searched..].iter().position(|b| *b == b'\n') {
                return Ok(self.buffer.split_to(searched + end + 1));
            }
            searched = self.buffer.len();
            if searched > MAX_LINE_BYTES {
                return Err(KvError::watch_lost("watch message is longer than 8 MiB"));
            }
            let chunk = self.read_chunk().await?;
            self.buffer.extend_from_slice(&chunk);
        }
    }

    async fn read_chunk(&mut self) -> Result<Bytes> {
        let body = match &mut self.body {
            Some(body) => body,
            None => {
                let body = self.connect().await?;
                self.body.insert(body)
            }
        };
        let frame = match self.transport.watch_idle_timeout() {
            Some(idle) => timeout(idle, body.frame())
                .await
                .map_err(|_| KvError::watch_lost("nothing received within the idle timeout"))?,
            None => body.frame().await,
        };
        let frame = frame
            .ok_or_else(|| KvError::watch_lost("service closed the stream"))?
            .map_err(KvError::watch_lost)?;
        Ok(frame.into_data().unwrap_or_default())
    }

    async fn connect(&self) -> Result<Body> {
        let create_request = WatchCreateRequest {
            key: encode(self.prefix.as_bytes()),
            range_end: encode_prefix_end(&self.prefix),
            start_revision: self.order.from_revision.to_string(),
            progress_notify: true,
        };
        let request = WatchRequest { create_request };
        self.transport
            .open_stream(CallKind::Watch, "/v3/watch", &request)
            .await
            .map_err(KvError::watch_lost)
    }

    fn accept_line(&mut self, line: &[u8]) -> Result<()> {
        let line: WatchLine = serde_json::from_slice(line).map_err(KvError::watch_lost)?;
        if let Some(error) = line.error {
            return Err(KvError::watch_lost(error.message));
        }
        let response = line
            .result
            .ok_or_else(|| KvError::watch_lost("watch message has no result"))?;
        let WatchResponse {
            canceled,
            cancel_reason,
            compact_revision,
            events,
            header,
        } = response;
        if compact_revision > 0 {
            return Err(KvError::WatchCompacted {
                compacted: compact_revision,
            });
        }
        if canceled {
            return Err(KvError::watch_lost(cancel_reason));
        }
        for event in &events {
            if event.kv.mod_revision > header.revision {
                return Err(KvError::watch_lost(
                    "event has a higher revision than its message",
                ));
            }
            let event = self.order.accept(event)?;
            self.queue.push_back(event);
        }
        Ok(())
    }
}

// ----------------------------------------------------------------------------------------------

/// Detects skipped and repeated events by their revisions and by the write count of each key.
struct EventOrder {
    from_revision: Revision,
    last_revision: Revision,
    /// Number of writes since the creation of each key; 0 once the key was deleted.
    versions: HashMap<Name, u64>,
}

impl EventOrder {
    fn accept(&mut self, event: &GatewayEvent) -> Result<WatchEvent> {
        let key: Name = event.kv.decode_key().map_err(KvError::watch_lost)?.into();
        let revision = event.kv.mod_revision;
        let is_out_of_order = revision < self.last_revision || revision < self.from_revision;
        if is_out_of_order || self.skips_event(&key, event) {
            let key = key.to_string();
            return Err(KvError::WatchGap { key, revision });
        }
        self.last_revision = revision;
        let change = match event.event_type {
            EventType::Put => {
                self.versions.insert(key.clone(), event.kv.version);
                WatchChange::Put {
                    value: event.kv.decode_value().map_err(KvError::watch_lost)?,
                    create_revision: event.kv.create_revision,
                }
            }
            EventType::Delete => {
                self.versions.insert(key.clone(), 0);
                WatchChange::Deleted
            }
        };
        Ok(WatchEvent {
            key,
            change,
            mod_revision: revision,
        })
    }

    fn skips_event(&self, key: &Name, event: &GatewayEvent) -> bool {
        let last_version = self.versions.get(key).copied();
        match event.event_type {
            // A delete event does not carry the number of writes before it.
            EventType::Delete => last_version == Some(0),
            EventType::Put => match last_version {
                Some(last_version) => event.kv.version != last_version + 1,
                None => {
                    // Without a start revision, earlier writes may have come before the watch.
                    let has_start_revision = self.from_revision > 0;
                    let created_here = event.kv.create_revision >= self.from_revision;
                    has_start_revision && created_here && event.kv.version != 1
                }
            },
        }
    }
}
