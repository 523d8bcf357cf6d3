use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Bytes that a connection may deliver before the head of the next answer is whole, interim answers included. Heads of
/// backend servers are a few hundred bytes.
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// Bytes taken in before other tasks get their turn. The HTTP library reads on as long as bytes come, and the time-out of a
/// request is a task of its own.
const BYTES_PER_TURN: usize = 64 * 1024;

/// Bytes that may still come before the head of an answer is whole.
#[derive(Clone, Debug)]
pub(crate) struct HeadBudget(Arc<AtomicUsize>);

impl HeadBudget {
    pub(crate) fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)))
    }

    /// A request is sent; the head of its answer comes next.
    pub(crate) fn await_head(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// The head is whole; whoever reads the body bounds it.
    pub(crate) fn head_is_whole(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// False if too much has come.
    fn spend(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return true;
        }
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        bytes <= left
    }
}

/// A connection that ends when its other side sends bytes without end instead of an answer.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TcpStream,
    budget: HeadBudget,
    /// Bytes read in this turn.
    turn: usize,
}

impl MeteredStream {
    pub(crate) fn new(stream: TcpStream, budget: HeadBudget) -> Self {
        Self {
            stream,
            budget,
            turn: 0,
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn >= BYTES_PER_TURN {
            self.turn = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        match polled {
            Poll::Pending => self.turn = 0,
            Poll::Ready(Err(_)) => {}
            Poll::Ready(Ok(())) => {
                let read = buffer.filled().len() - before;
                self.turn += read;
                if !self.budget.spend(read) {
                    let reason = "bytes without end in place of an answer's head";
                    return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
                }
            }
        }
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
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
