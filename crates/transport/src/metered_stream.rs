use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::late_answers::LateAnswers;

/// Largest number of bytes that a connection may deliver before the head of the next response is complete, interim
/// responses included. Heads from backend servers take a few hundred bytes.
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// Number of bytes read before the task yields to others. The HTTP library keeps reading while bytes are available, and
/// the time-out of a request can fire only if its own task gets to run.
const YIELD_AFTER_BYTES: usize = 64 * 1024;

/// Counts the bytes that may still arrive before the head of a response is complete. Clones share the count.
#[derive(Clone, Debug)]
pub(crate) struct HeadBudget(Arc<AtomicUsize>);

impl HeadBudget {
    /// Creates a budget of [`MAX_HEAD_BYTES`].
    pub(crate) fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)))
    }

    /// Restores the full budget. Called before a request is sent, since a response head comes next.
    pub(crate) fn start_head(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit. Called when a response head is complete, since the reader of the body limits the body.
    pub(crate) fn finish_head(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Returns true after the limit was lifted and until the next request.
    fn is_head_finished(&self) -> bool {
        self.0.load(Ordering::Relaxed) == usize::MAX
    }

    /// Takes `bytes` from the budget. Returns false if more bytes arrived than were left.
    fn spend(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return true;
        }
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        bytes <= left
    }
}

/// Size of the buffer for bytes that are held back while a response is awaited.
const READ_CHUNK_BYTES: usize = 2 * 1024;

/// What became of the bytes that were last offered to the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteState {
    /// It took all of them.
    Done,
    /// It takes no more bytes, though some are left to be written.
    Outstanding,
    /// It failed before it took all of them.
    Failed,
}

/// Wraps a connection, fails it if the other side sends endless bytes instead of a response head, and takes late answers to
/// earlier requests out.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TcpStream,
    budget: HeadBudget,
    late: Option<LateAnswers>,
    /// Bytes read since this task last yielded.
    read_since_yield: usize,
    write: WriteState,
    /// Reader that waits for an outstanding write, because the end of the stream is held back until then.
    end_reader: Option<Waker>,
    /// Error that ended the connection while bytes were held back; it follows them.
    failure: Option<io::Error>,
}

impl MeteredStream {
    /// Wraps `stream`. The caller keeps a clone of `budget` to mark where response heads start and end. Without `late`,
    /// all bytes are passed on.
    pub(crate) fn new(stream: TcpStream, budget: HeadBudget, late: Option<LateAnswers>) -> Self {
        Self {
            stream,
            budget,
            late,
            read_since_yield: 0,
            write: WriteState::Done,
            end_reader: None,
            failure: None,
        }
    }

    /// Reads while a response is awaited, and passes on what is not part of a late answer.
    fn poll_awaited(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if self
                .late
                .as_mut()
                .is_some_and(|late| late.take_into(buffer))
            {
                return Poll::Ready(Ok(()));
            }
            let mut chunk = [0; READ_CHUNK_BYTES];
            let mut chunk = ReadBuf::new(&mut chunk);
            let polled = self.poll_metered(context, &mut chunk);
            let Some(late) = &mut self.late else {
                return polled;
            };
            match polled {
                Poll::Ready(Ok(())) if !chunk.filled().is_empty() => late.push(chunk.filled()),
                // The connection ends; what was held back comes first.
                Poll::Ready(ended) => {
                    late.release();
                    if !late.take_into(buffer) {
                        return Poll::Ready(ended);
                    }
                    self.failure = ended.err();
                    return Poll::Ready(Ok(()));
                }
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    fn poll_metered(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_since_yield >= YIELD_AFTER_BYTES {
            self.read_since_yield = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        if let Some(failure) = self.failure.take() {
            return Poll::Ready(Err(failure));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        match polled {
            Poll::Pending => self.read_since_yield = 0,
            Poll::Ready(Err(_)) => {}
            Poll::Ready(Ok(())) => {
                let read = buffer.filled().len() - before;
                if read == 0 && buffer.remaining() > 0 {
                    return self.poll_end(context);
                }
                self.read_since_yield += read;
                if !self.budget.spend(read) {
                    let reason = "response head exceeds the limit of 256 KiB";
                    return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
                }
            }
        }
        polled
    }

    /// Holds the end of a stream back while the request is still being written and the head of its response is complete.
    ///
    /// The other side may read the rest of the request after its response. If it resets the connection instead, the write
    /// fails, and the response with it.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.write == WriteState::Outstanding && self.budget.is_head_finished() {
            self.end_reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(self.check_end())
    }

    /// Returns an error if the other side did not end the connection in order, so that a body without a length is not taken
    /// for complete.
    ///
    /// The kernel reports the end of the stream, and not a reset that followed it. Bytes of a request that the other side has
    /// not taken when it ends the connection lead to a reset, too.
    fn check_end(&self) -> io::Result<()> {
        if self.write != WriteState::Done {
            let reason = "connection ended while the request was being written";
            return Err(io::Error::new(io::ErrorKind::ConnectionReset, reason));
        }
        self.stream.take_error()?.map_or(Ok(()), Err)
    }

    /// Notes whether the connection took all `offered` bytes, and wakes the reader if it waits for that.
    fn record_write(&mut self, offered: usize, written: &Poll<io::Result<usize>>) {
        self.write = match written {
            Poll::Ready(Ok(count)) if *count >= offered => WriteState::Done,
            Poll::Ready(Err(_)) if self.write == WriteState::Outstanding => WriteState::Failed,
            // The connection ends, and no bytes were left to be written before.
            Poll::Ready(Err(_)) => self.write,
            Poll::Pending | Poll::Ready(Ok(_)) => WriteState::Outstanding,
        };
        if self.write != WriteState::Outstanding
            && let Some(reader) = self.end_reader.take()
        {
            reader.wake();
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let Some(late) = &mut this.late else {
            return this.poll_metered(context, buffer);
        };
        if late.is_awaiting() {
            return this.poll_awaited(context, buffer);
        }
        if late.take_into(buffer) {
            return Poll::Ready(Ok(()));
        }
        this.poll_metered(context, buffer)
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(bytes.len(), &written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        let offered = slices.iter().map(|slice| slice.len()).sum();
        self.record_write(offered, &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
