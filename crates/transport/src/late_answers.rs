use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Buf;
use bytes::BytesMut;
use http::HeaderName;

use crate::RequestKey;
use crate::carried_keys::CarriedKeys;

/// Longest head that is held back until it is complete. Heads from backend servers take a few hundred bytes.
const MAX_HELD_BYTES: usize = 16 * 1024;

/// Longest body of a late answer that is skipped.
const MAX_SKIPPED_BYTES: usize = 64 * 1024;

/// Most header fields of a head that is looked at.
const MAX_FIELDS: usize = 64;

/// What is known of the answer whose first bytes are held back.
#[derive(Debug, PartialEq, Eq)]
enum HeldAnswer {
    /// The head is not complete.
    Partial,
    /// It belongs to an earlier request of the connection, and takes this many bytes.
    Late(usize),
    /// It is the awaited one, or it can't be told.
    Due,
}

/// Takes answers to earlier requests out of the bytes that arrive on a connection before the answer that is due.
///
/// A server may send an answer twice, the second time when the next one is due. Only answers that name an earlier request of
/// the same connection and state their length are taken out; all else is left to the reader.
#[derive(Debug)]
pub(crate) struct LateAnswers {
    id_header: HeaderName,
    carried: CarriedKeys,
    /// Number of requests whose answer has begun.
    begun: usize,
    held: BytesMut,
    /// Bytes of a late answer that are still to come.
    skipping: usize,
    skipped: Arc<AtomicU64>,
}

impl LateAnswers {
    /// Looks for the ids of requests in `id_header`, and counts the answers that it takes out in `skipped`.
    pub(crate) fn new(
        id_header: HeaderName,
        carried: CarriedKeys,
        skipped: Arc<AtomicU64>,
    ) -> Self {
        Self {
            id_header,
            carried,
            begun: 0,
            held: BytesMut::new(),
            skipping: 0,
            skipped,
        }
    }

    /// Returns true while the answer to the present request has not begun.
    pub(crate) fn is_awaiting(&self) -> bool {
        self.carried.count() > self.begun
    }

    /// Takes in bytes that arrived while the answer is awaited.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
        loop {
            let dropped = self.skipping.min(self.held.len());
            self.held.advance(dropped);
            self.skipping -= dropped;
            if self.held.is_empty() {
                return;
            }
            match self.inspect() {
                HeldAnswer::Partial if self.held.len() < MAX_HELD_BYTES => return,
                HeldAnswer::Late(length) => {
                    self.skipping = length;
                    self.skipped.fetch_add(1, Ordering::Relaxed);
                }
                HeldAnswer::Partial | HeldAnswer::Due => {
                    self.release();
                    return;
                }
            }
        }
    }

    /// Holds nothing back until the next request.
    pub(crate) fn release(&mut self) {
        self.begun = self.carried.count();
        self.skipping = 0;
    }

    /// Moves bytes that are no longer held back to `buffer`, at most as many as it has room for; returns false if there are
    /// none.
    pub(crate) fn take_into(&mut self, buffer: &mut tokio::io::ReadBuf<'_>) -> bool {
        if self.is_awaiting() || self.held.is_empty() {
            return false;
        }
        let count = self.held.len().min(buffer.remaining());
        buffer.put_slice(&self.held[..count]);
        self.held.advance(count);
        true
    }

    fn inspect(&self) -> HeldAnswer {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Response::new(&mut fields);
        let head_length = match head.parse(&self.held) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return HeldAnswer::Partial,
            Err(_) => return HeldAnswer::Due,
        };
        let values = |name: &str| {
            let fields = head.headers.iter();
            let fields = fields.filter(|field| field.name.eq_ignore_ascii_case(name));
            let values = fields.map(|field| std::str::from_utf8(field.value).unwrap_or_default());
            values.map(str::trim).collect::<Vec<_>>()
        };
        let ids = values(self.id_header.as_str());
        let [id] = ids.as_slice() else {
            return HeldAnswer::Due;
        };
        let is_framed_otherwise = !values("transfer-encoding").is_empty()
            || matches!(head.code, None | Some(100..=199 | 204 | 304));
        let lengths = values("content-length");
        let length = match lengths.as_slice() {
            [length] if !is_framed_otherwise => length.parse::<usize>().ok(),
            _ => None,
        };
        match length {
            Some(length)
                if length <= MAX_SKIPPED_BYTES && self.carried.is_earlier(RequestKey::new(id)) =>
            {
                HeldAnswer::Late(head_length + length)
            }
            _ => HeldAnswer::Due,
        }
    }
}
