//! Answers without a length to a request that the other side has not read: they are complete only if the other side ended the
//! connection in order.

use std::net::SocketAddr;
use std::time::Duration;

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

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\n\r\npart of a body";

const SMALL_BODY_BYTES: usize = 80;

/// Larger than the buffers of a connection on the loopback address, so that a write stays incomplete.
const LARGE_BODY_BYTES: usize = 16 * 1024 * 1024;

const SEND_LIMIT: Duration = Duration::from_secs(5);

/// Time within which all that the other side sent has arrived.
const ARRIVAL_TIME: Duration = Duration::from_millis(60);

/// What the other side does after its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AnswerEnd {
    /// Closes its sending side and stays.
    Finish,
    /// The same, reads the rest of the request after a while, and closes the connection.
    FinishAndDrain,
    /// Closes its sending side and resets the connection at once.
    FinishAndReset,
    /// Resets the connection.
    Reset,
    /// Closes the connection.
    Close,
}

struct EarlyCase {
    end: AnswerEnd,
    body_bytes: usize,
    /// Reads the request before it answers.
    reads_request: bool,
    /// The caller reads the body only after all has arrived.
    reads_late: bool,
    is_complete: bool,
}

async fn start(case: &EarlyCase) -> Outcome<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (end, reads_request, body_bytes) = (case.end, case.reads_request, case.body_bytes);
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await?;
        answer(stream, end, reads_request, body_bytes).await
    });
    Ok(address)
}

async fn answer(
    mut stream: TcpStream,
    end: AnswerEnd,
    reads_request: bool,
    body_bytes: usize,
) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    if reads_request {
        stream.read_exact(&mut vec![0; body_bytes]).await?;
    }
    stream.write_all(ANSWER).await?;
    if !matches!(end, AnswerEnd::Reset | AnswerEnd::Close) {
        stream.shutdown().await?;
    }
    if end == AnswerEnd::FinishAndDrain {
        tokio::time::sleep(2 * ARRIVAL_TIME).await;
        stream.read_exact(&mut vec![0; body_bytes]).await?;
    }
    if end == AnswerEnd::Finish {
        tokio::time::sleep(SEND_LIMIT).await;
    }
    if matches!(end, AnswerEnd::Reset | AnswerEnd::FinishAndReset) {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    }
    Ok(())
}

/// Guards against a part of a body that passes for the whole because the kernel reports the end of the stream and not the reset
/// behind it, or because the other side ended the connection while the request was still being written.
#[tokio::test]
async fn a_body_without_a_length_is_complete_only_after_an_orderly_end() -> Outcome {
    let case = |end, body_bytes, reads_request, reads_late, is_complete| EarlyCase {
        end,
        body_bytes,
        reads_request,
        reads_late,
        is_complete,
    };
    let cases = [
        case(AnswerEnd::Finish, SMALL_BODY_BYTES, true, false, true),
        case(AnswerEnd::Finish, SMALL_BODY_BYTES, true, true, true),
        case(AnswerEnd::Close, SMALL_BODY_BYTES, true, true, true),
        case(AnswerEnd::Reset, SMALL_BODY_BYTES, true, true, false),
        case(
            AnswerEnd::FinishAndReset,
            SMALL_BODY_BYTES,
            true,
            true,
            false,
        ),
        case(AnswerEnd::Close, SMALL_BODY_BYTES, false, true, false),
        case(
            AnswerEnd::FinishAndReset,
            SMALL_BODY_BYTES,
            false,
            true,
            false,
        ),
        case(AnswerEnd::Finish, LARGE_BODY_BYTES, false, false, false),
        case(AnswerEnd::Finish, LARGE_BODY_BYTES, false, true, false),
        case(
            AnswerEnd::FinishAndReset,
            LARGE_BODY_BYTES,
            false,
            true,
            false,
        ),
        case(
            AnswerEnd::FinishAndDrain,
            LARGE_BODY_BYTES,
            false,
            false,
            true,
        ),
        case(
            AnswerEnd::FinishAndDrain,
            LARGE_BODY_BYTES,
            false,
            true,
            true,
        ),
        case(AnswerEnd::Reset, LARGE_BODY_BYTES, false, true, false),
        case(AnswerEnd::Close, LARGE_BODY_BYTES, false, true, false),
    ];
    let mut wrong = Vec::new();
    for (index, case) in cases.iter().enumerate() {
        let address = start(case).await?;
        let pool = HttpPool::new(PoolSettings::default());
        let deadline = Instant::now() + SEND_LIMIT;
        let request = Request::post("/upload")
            .header("host", "server.example")
            .body(Full::new(vec![b'x'; case.body_bytes].into()))?;
        let sent = pool.send(address, request, ReuseRule::Any, None, deadline);
        let Ok(exchange) = sent.await else {
            if case.is_complete {
                wrong.push(format!("case {index}: no answer"));
            }
            continue;
        };
        if case.reads_late {
            tokio::time::sleep(ARRIVAL_TIME).await;
        }
        let body = exchange.response.into_body();
        let read = exchange.lease.read_body(body, 1000, deadline).await;
        if read.is_ok() != case.is_complete {
            let (end, bytes) = (case.end, case.body_bytes);
            wrong.push(format!("case {index}, {end:?} after {bytes}: {read:?}"));
        }
    }
    assert_that!(wrong, is_empty());
    Ok(())
}
