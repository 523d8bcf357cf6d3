//! No connection carries the same request twice, since the other side may repeat its answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
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

const ANSWER: &[u8] = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";

const SEND_LIMIT: Duration = Duration::from_secs(5);

/// Time within which a connection whose answer was read is idle.
const IDLE_PAUSE: Duration = Duration::from_millis(20);

struct KeyCase {
    /// Ids of the requests, one after the other; `None` for requests that are sent once.
    ids: Vec<Option<String>>,
    connections: u64,
}

/// Answers all requests of all connections.
async fn start_server() -> Outcome<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_all(stream));
        }
    });
    Ok(address)
}

async fn answer_all(mut stream: TcpStream) -> std::io::Result<()> {
    let mut text = Vec::new();
    loop {
        text.push(stream.read_u8().await?);
        if text.ends_with(b"\r\n\r\n") {
            text.clear();
            stream.write_all(ANSWER).await?;
        }
    }
}

/// Guards against a request that comes again on a connection on which a copy of its first answer may be due.
#[tokio::test]
async fn a_connection_carries_a_request_once() -> Outcome {
    let ids = |ids: &[&str]| ids.iter().map(|id| Some((*id).to_owned())).collect();
    let cases = [
        KeyCase {
            ids: ids(&["a", "b", "c"]),
            connections: 1,
        },
        KeyCase {
            ids: ids(&["a", "a"]),
            connections: 2,
        },
        // The second connection is the more recent one; the third request may use the first.
        KeyCase {
            ids: ids(&["a", "a", "b", "b", "a"]),
            connections: 3,
        },
        KeyCase {
            ids: vec![None, None, None],
            connections: 1,
        },
        KeyCase {
            ids: (0..256).map(|index| Some(index.to_string())).collect(),
            connections: 1,
        },
        KeyCase {
            ids: (0..257).map(|index| Some(index.to_string())).collect(),
            connections: 2,
        },
    ];
    let address = start_server().await?;
    for case in cases {
        let pool = HttpPool::new(PoolSettings::default());
        for id in &case.ids {
            let key = id.as_deref().map(RequestKey::new);
            let request = Request::builder().uri("/").body(Full::<Bytes>::default())?;
            let deadline = Instant::now() + SEND_LIMIT;
            let sent = pool
                .send(address, request, ReuseRule::Any, key, deadline)
                .await?;
            let body = sent.response.into_body();
            sent.lease.read_body(body, 1024, deadline).await?;
            while !pool.has_idle(address) && case.ids.len() < 256 {
                tokio::time::sleep(IDLE_PAUSE).await;
            }
            tokio::task::yield_now().await;
        }
        let opened = pool.connections_opened();
        assert_that!(opened, eq(case.connections), "{:?}", case.ids);
    }
    Ok(())
}
