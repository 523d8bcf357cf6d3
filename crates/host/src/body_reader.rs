use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body::Body;
use http_body_util::LengthLimitError;
use hyper::body::Incoming;
use zinniahinge_serving::CallerLimits;
use zinniahinge_transport::collect_body;

use crate::caller_response::Refusal;
use crate::caller_response::RefusalKind;
use crate::caller_response::Result;

/// Most bytes of request bodies that are held at once; a third of the memory of a small host.
const MAX_RESERVED_BYTES: usize = 48 * 1024 * 1024;

/// Reads request bodies, and bounds the memory that the bodies of all requests take together.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyReader {
    reserved: Arc<AtomicUsize>,
}

/// Part of the body memory that a request in progress takes; dropping it gives the memory back.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    reserved: Arc<AtomicUsize>,
    count: usize,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.reserved.fetch_sub(self.count, Ordering::AcqRel);
    }
}

impl BodyReader {
    /// Reads a body to its end within the size and the time of `limits`.
    ///
    /// Refuses bodies that are too large, break off or come too slowly, and requests for which no body memory is left.
    /// A body without a stated length reserves the largest allowed size until it is read.
    pub(crate) async fn read(
        &self,
        body: Incoming,
        limits: &CallerLimits,
    ) -> Result<(Bytes, BodyReservation)> {
        let stated = body.size_hint().lower();
        if stated > limits.body_bytes as u64 {
            return Err(Refusal::not_run(RefusalKind::BodyTooLarge));
        }
        let expected = match body.size_hint().exact() {
            Some(exact) => exact as usize,
            None => limits.body_bytes,
        };
        let mut reservation = self.reserve(expected)?;
        let collect = collect_body(body, limits.body_bytes);
        let bytes = match tokio::time::timeout(limits.read_timeout, collect).await {
            Ok(Ok(collected)) => collected,
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return Err(Refusal::not_run(RefusalKind::BodyTooLarge));
            }
            Ok(Err(_)) => return Err(Refusal::not_run(RefusalKind::BodyBroken)),
            Err(_) => return Err(Refusal::not_run(RefusalKind::BodyTooSlow)),
        };
        reservation.shrink(bytes.len());
        Ok((bytes, reservation))
    }

    /// Reserves `count` bytes of body memory, or refuses the request as overload.
    fn reserve(&self, count: usize) -> Result<BodyReservation> {
        let before = self.reserved.fetch_add(count, Ordering::AcqRel);
        let reservation = BodyReservation {
            reserved: self.reserved.clone(),
            count,
        };
        if before + count > MAX_RESERVED_BYTES {
            return Err(Refusal::not_run(RefusalKind::Overloaded));
        }
        Ok(reservation)
    }
}

impl BodyReservation {
    /// Gives back what exceeds `count` bytes.
    fn shrink(&mut self, count: usize) {
        let freed = self.count.saturating_sub(count);
        self.reserved.fetch_sub(freed, Ordering::AcqRel);
        self.count -= freed;
    }
}
