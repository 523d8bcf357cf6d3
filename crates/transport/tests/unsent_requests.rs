//! A request of which the other side has read anything is never sent a second time, and never reported as unsent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http::Request;
use http_body_util::Full;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use zinniahinge_transport::HttpPool;
use zinniahinge_transport::PoolSettings;
use zinniahinge_transport::ReuseRule;

type Outcome<T = ()> = std::result::Result<T, Box<dyn std::error::Error>>;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Size of the marked request with a small body.
const SMALL_REQUEST_BYTES: usize = 148;

/// Larger than the buffers of a connection on the loopback address, so that a write stays incomplete.
const LARGE_BODY_BYTES: usize = 8 * 1024 * 1024;

const SEND_LIMIT: Duration = Duration::from_secs(5);

/// When the other side ends a connection.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    /// After this many bytes of the marked request.
    AfterBytes(usize),
    /// This long after the answer before the marked request.
    AfterIdle(Duration),
}

struct EndCase {
    end: ConnectionEnd,
    is_reset: bool,
    is_reused: bool,
    body_bytes: usize,
}

/// Ends its first connection as `case` says, and answers on all others. Keeps how many bytes of the marked request each
/// connection got.
struct ByteCounter {
    address: SocketAddr,
    counts: Arc<Mutex<Vec<usize>>>,
}

impl ByteCounter {
    async fn start(case: &EndCase) -> Outcome<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let counter = Self {
            address: listener.local_addr()?,
            counts: Arc::default(),
        };
        let (counts, end, is_reset, is_reused) = (
            counter.counts.clone(),
            case.end,
            case.is_reset,
            case.is_reused,
        );
        tokio::spawn(async move {
            let mut is_first = true;
            while let Ok((mut stream, _)) = listener.accept().await {
                let end = std::mem::take(&mut is_first).then_some(end);
                let counts = counts.clone();
                tokio::spawn(async move {
                    if end.is_some() && is_reused {
                        let _ = read_warm_up(&mut stream).await;
                    }
                    let bytes = read_marked(&mut stream, end).await;
                    counts
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(bytes);
                    if end.is_none() {
                        let _ = stream.write_all(ANSWER).await;
                    } else if is_reset {
                        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    }
                });
            }
        });
        Ok(counter)
    }

    fn counts(&self) -> Vec<usize> {
        self.counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Answers the request before the marked one.
async fn read_warm_up(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await?);
    }
    stream.write_all(ANSWER).await
}

/// Reads the marked request until `end`, or else to its last byte; returns how much of it came.
async fn read_marked(stream: &mut TcpStream, end: Option<ConnectionEnd>) -> usize {
    let limit = match end {
        Some(ConnectionEnd::AfterIdle(idle)) => {
            tokio::time::sleep(idle).await;
            0
        }
        Some(ConnectionEnd::AfterBytes(bytes)) => bytes,
        None => usize::MAX,
    };
    let mut buffer = vec![0; 64 * 1024];
    let mut count = 0;
    while count < limit {
        let most = buffer.len().min(limit - count);
        let bytes = stream.read(&mut buffer[..most]).await.unwrap_or(0);
        count += bytes;
        let is_last = end.is_none() && buffer[..bytes].ends_with(b"!");
        if bytes == 0 || is_last {
            break;
        }
    }
    count
}

fn request(path: &str, body: Vec<u8>) -> Outcome<Request<Full<Bytes>>> {
    let request = Request::builder().method("POST").uri(path);
    Ok(request
        .header("host", "server.example")
        .body(Full::new(body.into()))?)
}

/// Plays one case; returns what is wrong.
async fn play(case: &EndCase) -> Outcome<Option<String>> {
    let counter = ByteCounter::start(case).await?;
    let pool = HttpPool::new(PoolSettings::default());
    let deadline = Instant::now() + SEND_LIMIT;
    if case.is_reused {
        let warm_up = request("/warm-up", Vec::new())?;
        let exchange = pool
            .send(counter.address, warm_up, ReuseRule::Any, None, deadline)
            .await?;
        let body = exchange.response.into_body();
        exchange.lease.read_body(body, 10, deadline).await?;
        // The connection returns to its pool in a task of its own.
        for _ in 0..100 {
            if pool.has_idle(counter.address) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    let mut body = vec![b'x'; case.body_bytes];
    body.push(b'!');
    let marked = request("/marked", body)?;
    let sent = pool
        .send(counter.address, marked, ReuseRule::Any, None, deadline)
        .await;
    let is_unsent = sent
        .as_ref()
        .err()
        .is_some_and(|failure| failure.is_unsent());
    let outcome = format!("{:?}", sent.as_ref().map(|_| ()));
    drop(sent);
    tokio::time::sleep(Duration::from_millis(20)).await;
    let counts = counter.counts();
    let reached = counts.iter().filter(|count| **count > 0).count();
    let is_wrong = reached > 1 || (is_unsent && reached > 0);
    let (end, is_reset, is_reused) = (case.end, case.is_reset, case.is_reused);
    Ok(is_wrong.then(|| {
        format!("{end:?}, reset {is_reset}, reused {is_reused}: {outcome}, bytes {counts:?}")
    }))
}

async fn check(ends: impl Iterator<Item = ConnectionEnd>, body_bytes: usize) -> Outcome {
    let mut wrong = Vec::new();
    for end in ends {
        for (is_reset, is_reused) in [(false, false), (true, false), (false, true), (true, true)] {
            let case = EndCase {
                end,
                is_reset,
                is_reused,
                body_bytes,
            };
            wrong.extend(play(&case).await?);
        }
    }
    assert_that!(wrong, is_empty());
    Ok(())
}

/// Guards against a request that is sent again after a connection ended before, within or behind it.
#[tokio::test]
async fn a_request_that_was_read_in_part_is_not_sent_again() -> Outcome {
    let ends = (0..=SMALL_REQUEST_BYTES).map(ConnectionEnd::AfterBytes);
    check(ends, 80).await
}

/// Guards against the same while much of the request is still to be written.
#[tokio::test]
async fn a_request_that_was_written_in_part_is_not_sent_again() -> Outcome {
    let ends = [0, 1, 1000, 100_000, 4_000_000];
    check(
        ends.into_iter().map(ConnectionEnd::AfterBytes),
        LARGE_BODY_BYTES,
    )
    .await
}

/// Guards against the same when the other side ends an idle connection as the request is written.
#[tokio::test]
async fn a_request_on_a_connection_that_is_just_closed_is_not_sent_twice() -> Outcome {
    let ends = (0..150).map(|step| ConnectionEnd::AfterIdle(Duration::from_micros(step * 20)));
    check(ends, 80).await
}
