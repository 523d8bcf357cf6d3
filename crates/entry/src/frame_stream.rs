//! Body of a streamed answer, fed through a channel.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures::Stream;
use http_body::Frame;
use thiserror::Error;
use tokio::sync::mpsc;
use volo_http::body::Body;

/// Chunks that wait between the backend server and the caller. A slow caller slows the backend server's stream
/// instead of filling memory.
const CHANNEL_CHUNKS: usize = 16;

/// Ends a chunked answer without its last chunk, so that the caller's HTTP library sees it as cut.
#[derive(Debug, Error)]
#[error("the answer was cut")]
pub struct CutAnswer;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Sending side of a [`FrameStream`].
pub type FrameSender = mpsc::Sender<Result<Bytes, CutAnswer>>;

/// Stream of body frames.
pub struct FrameStream {
    receiver: mpsc::Receiver<Result<Bytes, CutAnswer>>,
}

/// A body and the channel that feeds it.
pub fn channel_body() -> (FrameSender, Body) {
    let (sender, receiver) = mpsc::channel(CHANNEL_CHUNKS);
    (sender, Body::from_stream(FrameStream { receiver }))
}

impl Stream for FrameStream {
    type Item = Result<Frame<Bytes>, BoxError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let chunk = futures::ready!(self.receiver.poll_recv(cx));
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data).map_err(Into::into)))
    }
}
