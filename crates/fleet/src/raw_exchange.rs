use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::TestAnswer;
use crate::fleet_error::Result;
use crate::fleet_error::system;

/// Connection of a caller that sends bytes as it likes.
#[derive(Debug)]
pub struct RawExchange {
    stream: TcpStream,
}

impl RawExchange {
    /// Connects.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(system("connect"))?;
        Ok(Self { stream })
    }

    /// Sends bytes at once.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<()> {
        let sent = self.stream.write_all(bytes).await;
        sent.map_err(system("send"))
    }

    /// Sends one byte per `interval` until all are sent or the other side closes; the time `limit`
    /// bounds it. Returns true if the other side closed or answered.
    pub async fn trickle(&mut self, bytes: &[u8], interval: Duration, limit: Duration) -> bool {
        let send = async {
            for byte in bytes {
                if self.stream.write_all(&[*byte]).await.is_err() {
                    return true;
                }
                let mut answer = [0; 1];
                let peek = self.stream.peek(&mut answer);
                if tokio::time::timeout(interval, peek).await.is_ok() {
                    return true;
                }
            }
            false
        };
        tokio::time::timeout(limit, send).await.unwrap_or(false)
    }

    /// Reads one answer with a stated length, or to the end of the connection, for at most `limit`.
    /// `None` if no header section came.
    pub async fn read(&mut self, limit: Duration) -> Option<TestAnswer> {
        let mut received = Vec::new();
        let read = async {
            let mut buffer = [0; 16 * 1024];
            loop {
                match self.stream.read(&mut buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(count) => received.extend_from_slice(&buffer[..count]),
                }
                if parse(&received).is_some_and(|answer| answer.is_complete) {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(limit, read).await;
        parse(&received)
    }
}

fn parse(received: &[u8]) -> Option<TestAnswer> {
    let end = received.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let mut headers = HeaderMap::new();
    for line in lines {
        let (name, value) = line.split_once(':')?;
        let name = HeaderName::try_from(name).ok()?;
        headers.append(name, HeaderValue::try_from(value.trim()).ok()?);
    }
    let body = &received[end + 4..];
    let length = headers.get(http::header::CONTENT_LENGTH);
    let length: Option<usize> = length.and_then(|length| length.to_str().ok()?.parse().ok());
    Some(TestAnswer {
        status,
        headers,
        is_complete: length.is_some_and(|length| body.len() >= length),
        body: Bytes::copy_from_slice(body),
    })
}
