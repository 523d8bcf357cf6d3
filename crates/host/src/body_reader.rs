use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body::Body;
use http_body_util::LengthLimitError;
use hyper::body::Incoming;
use zinniahinge_serving::CallerLimits;
use zinniahinge_transport::collect_body;

use crate::answer::Refusal;
use crate::answer::RefusalKind;
use crate::answer::Result;

/// Bytes of bodies that are held at once; a third of the memory of a small host.
const MAX_HELD_BYTES: usize = 48 * 1024 * 1024;

/// Bytes of bodies that all requests hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyReader {
    held: Arc<AtomicUsize>,
}

/// Counts a body while its request is under way.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    held: Arc<AtomicUsize>,
    count: usize,
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.held.fetch_sub(self.count, Ordering::AcqRel);
    }
}

impl BodyReader {
    /// Reads a whole body within `limits`.
    pub(crate) async fn read(
        &self,
        body: Incoming,
        limits: &CallerLimits,
    ) -> Result<(Bytes, HeldBytes)> {
        let stated = body.size_hint().lower();
        if stated > limits.body_bytes as u64 {
            return Err(Refusal::not_run(RefusalKind::BodyTooLarge));
        }
        let expected = match body.size_hint().exact() {
            Some(exact) => exact as usize,
            None => limits.body_bytes,
        };
        let mut guard = self.hold(expected)?;
        let collect = collect_body(body, limits.body_bytes);
        let bytes = match tokio::time::timeout(limits.read_timeout, collect).await {
            Ok(Ok(collected)) => collected,
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return Err(Refusal::not_run(RefusalKind::BodyTooLarge));
            }
            Ok(Err(_)) => return Err(Refusal::not_run(RefusalKind::BodyBroken)),
            Err(_) => return Err(Refusal::not_run(RefusalKind::BodyTooSlow)),
        };
        guard.shrink(bytes.len());
        Ok((bytes, guard))
    }

    fn hold(&self, count: usize) -> Result<HeldBytes> {
        let before = self.held.fetch_add(count, Ordering::AcqRel);
        let guard = HeldBytes {
            held: self.held.clone(),
            count,
        };
        if before + count > MAX_HELD_BYTES {
            return Err(Refusal::not_run(RefusalKind::Overloaded));
        }
        Ok(guard)
    }
}

impl HeldBytes {
    fn shrink(&mut self, count: usize) {
        let freed = self.count.saturating_sub(count);
        self.held.fetch_sub(freed, Ordering::AcqRel);
        self.count -= freed;
    }
}
