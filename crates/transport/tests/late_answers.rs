//! Answers to earlier requests of a connection that come once more when another answer is due.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http::HeaderName;
use http::Method;
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use zinniahinge_transport::HttpPool;
use zinniahinge_transport::PoolSettings;
use zinniahinge_transport::RequestKey;
use zinniahinge_transport::ReuseRule;

type Outcome<T = ()> = std::result::Result<T, Box<dyn std::error::Error>>;

const ID: HeaderName = HeaderName::from_static("x-id");

const SEND_LIMIT: Duration = Duration::from_secs(5);

/// Time within which a connection is idle after its answer, and between two parts of the bytes that follow.
const PAUSE: Duration = Duration::from_millis(5);

const REFUSAL: &str = "HTTP/1.1 503 Full\r\nX-Id: first\r\nContent-Length: 4\r\n\r\nbusy";

const OWN: &str = "HTTP/1.1 200 OK\r\nX-Id: second\r\nContent-Length: 2\r\n\r\nok";

struct CopyCase {
    method: Method,
    /// What precedes the second request's own answer.
    before: String,
    /// Id, body and number of skipped answers that the second request gets; `None` if it fails.
    seen: Option<(&'static str, &'static str, u64)>,
}

/// Answers the first request of a connection with a refusal, and the second one with `bytes`, in two parts.
async fn start_server(bytes: String, split: usize) -> Outcome<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        if let Ok((mut stream, _)) = listener.accept().await {
            let _ = answer_twice(&mut stream, bytes.as_bytes(), split).await;
        }
    });
    Ok(address)
}

async fn answer_twice(stream: &mut TcpStream, bytes: &[u8], split: usize) -> std::io::Result<()> {
    let is_head = read_head(stream).await?.starts_with(b"HEAD");
    let first = if is_head {
        REFUSAL.trim_end_matches("busy")
    } else {
        REFUSAL
    };
    stream.write_all(first.as_bytes()).await?;
    read_head(stream).await?;
    let (early, late) = bytes.split_at(split.min(bytes.len()));
    stream.write_all(early).await?;
    if !early.is_empty() && !late.is_empty() {
        tokio::time::sleep(PAUSE).await;
    }
    stream.write_all(late).await
}

async fn read_head(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await?);
    }
    Ok(text)
}

/// Sends the first request with `method`, then the second one; returns the second one's id, body and skipped answers.
async fn ask_twice(method: Method, bytes: &str, split: usize) -> Outcome<(String, Bytes, u64)> {
    let address = start_server(bytes.to_owned(), split).await?;
    let pool = HttpPool::new(PoolSettings {
        id_header: Some(ID),
        ..PoolSettings::default()
    });
    let deadline = Instant::now() + SEND_LIMIT;
    let request = |method| {
        Request::builder()
            .method(method)
            .uri("/")
            .body(Full::<Bytes>::default())
    };
    let key = Some(RequestKey::new("first"));
    let first = pool.send(address, request(method)?, ReuseRule::Any, key, deadline);
    let first = first.await?;
    let body = first.response.into_body();
    first.lease.read_body(body, 1024, deadline).await?;
    while !pool.has_idle(address) {
        tokio::time::sleep(PAUSE).await;
    }
    let key = Some(RequestKey::new("second"));
    let second = pool.send(
        address,
        request(Method::GET)?,
        ReuseRule::Any,
        key,
        deadline,
    );
    let second = second.await?;
    let id = second.response.headers().get(ID);
    let id = id.map_or("", |id| id.to_str().unwrap_or_default());
    let (id, late_answers) = (id.to_owned(), second.late_answers);
    let body = second.response.into_body();
    let body = second.lease.read_body(body, 1024, deadline).await?;
    Ok((id, body, late_answers))
}

/// Guards against a request that fails because an answer to an earlier one came again, and against an answer that is skipped
/// although it may be the due one.
#[tokio::test]
async fn only_answers_to_earlier_requests_are_skipped() -> Outcome {
    let case = |before: &str, seen| CopyCase {
        method: Method::GET,
        before: before.to_owned(),
        seen,
    };
    let empty = "HTTP/1.1 503 Full\r\nx-id:first\r\ncontent-length:0\r\n\r\n";
    let cases = [
        case("", Some(("second", "ok", 0))),
        case(REFUSAL, Some(("second", "ok", 1))),
        case(empty, Some(("second", "ok", 1))),
        case(
            &format!("{REFUSAL}{empty}{REFUSAL}"),
            Some(("second", "ok", 3)),
        ),
        // Of another request, of none, of two, of unknown length: left to the reader.
        case(
            "HTTP/1.1 503 Full\r\nX-Id: third\r\nContent-Length: 0\r\n\r\n",
            Some(("third", "", 0)),
        ),
        case(
            "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
            Some(("", "", 0)),
        ),
        case(
            "HTTP/1.1 503 Full\r\nX-Id: first\r\nX-Id: second\r\nContent-Length: 0\r\n\r\n",
            Some(("first", "", 0)),
        ),
        case(
            "HTTP/1.1 503 Full\r\nX-Id: first\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            Some(("first", "", 0)),
        ),
        CopyCase {
            method: Method::HEAD,
            before: "HTTP/1.1 503 Full\r\nX-Id: first\r\nContent-Length: 4\r\n\r\n".to_owned(),
            seen: Some(("first", "HTTP", 0)),
        },
        case("no answer\r\n\r\n", None),
    ];
    for CopyCase {
        method,
        before,
        seen,
    } in cases
    {
        let bytes = format!("{before}{OWN}");
        for split in 0..bytes.len() {
            let asked = ask_twice(method.clone(), &bytes, split).await.ok();
            let expected = seen.map(|(id, body, late)| (id.to_owned(), body.into(), late));
            assert_that!(asked, eq(&expected), "{before:?}, split at {split}");
        }
    }
    Ok(())
}

/// Guards against a response that looks complete, or a request that waits until its deadline, because the connection ended
/// within a late answer or behind it.
#[tokio::test]
async fn an_end_of_the_connection_behind_a_late_answer_is_a_failure() -> Outcome {
    for bytes in 1..REFUSAL.len() + OWN.len() {
        let cut = &format!("{REFUSAL}{OWN}")[..bytes];
        let started = Instant::now();
        let asked = ask_twice(Method::GET, cut, 0).await;
        assert_that!(asked.is_err(), eq(true), "{cut:?}");
        assert_that!(started.elapsed(), lt(SEND_LIMIT / 2), "{cut:?}");
    }
    Ok(())
}
