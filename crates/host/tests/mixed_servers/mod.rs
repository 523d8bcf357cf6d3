//! Backend servers that answer early, break off or send any status, as the case of each request says.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use zinniahinge_platform::ATTEMPT_ID;
use zinniahinge_platform_standins::AnswerFraming;
use zinniahinge_platform_standins::CallerRequest;
use zinniahinge_platform_standins::PlatformStore;
use zinniahinge_platform_standins::SIGNATURE_HEADER;

use crate::common::Outcome;

/// Size of an upload, bytes. Larger than the receive buffer of a connection.
pub const UPLOAD_BYTES: usize = 900_000;

/// Receive buffer of a server that leaves uploads unread, bytes.
const TIGHT_BUFFER_BYTES: u32 = 8 * 1024;

/// Time for which a server reads the rest of an upload.
const READ_ON_LIMIT: Duration = Duration::from_secs(10);

/// How a server ends a connection after its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlanEnd {
    /// Resets it.
    Reset,
    /// Closes it with the rest of the upload unread.
    Close,
    /// Closes its sending side, and resets the connection after the pause.
    HalfClose,
    /// Reads the rest of the upload after the pause, and keeps the connection.
    ReadOn,
}

/// How a server answers one request.
#[derive(Clone, Copy, Debug)]
pub struct AnswerPlan {
    pub status: &'static str,
    pub framing: AnswerFraming,
    /// Bytes of the upload that it reads before it answers.
    pub reads: usize,
    /// Sends the whole body, and not the first half of it.
    pub is_whole: bool,
    /// Pause between the answer and the end.
    pub pause: Duration,
    pub end: PlanEnd,
}

/// A request and how the servers answer it.
pub struct MixedCase {
    pub plan: AnswerPlan,
    pub path: &'static str,
    pub upload_bytes: usize,
    pub is_chunked: bool,
    pub expects_continue: bool,
}

impl MixedCase {
    pub fn new(plan: AnswerPlan, path: &'static str) -> Self {
        Self {
            plan,
            path,
            upload_bytes: UPLOAD_BYTES,
            is_chunked: false,
            expects_continue: false,
        }
    }

    fn is_model(&self) -> bool {
        !matches!(self.path, "/app/x" | "/book/x")
    }

    /// True if the request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        matches!(self.path, "/app/x" | "/resume/stream/x")
    }
}

/// Servers that answer each request as the case says whose index its id begins with.
#[derive(Clone)]
pub struct MixedServers {
    pub cases: Arc<Vec<MixedCase>>,
    /// Ids of the requests that ran.
    pub runs: Arc<Mutex<Vec<String>>>,
    /// What came in place of the rest of an upload.
    pub wrong_bytes: Arc<Mutex<Vec<String>>>,
    /// Uploads that were read to their end after the answer.
    pub read_on: Arc<Mutex<usize>>,
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl MixedServers {
    pub fn new(cases: Vec<MixedCase>) -> Self {
        Self {
            cases: Arc::new(cases),
            runs: Arc::default(),
            wrong_bytes: Arc::default(),
            read_on: Arc::default(),
        }
    }

    /// Starts one server and writes its entry.
    pub fn start(&self, store: &PlatformStore, id: &str, service: &str, is_tight: bool) -> Outcome {
        let socket = TcpSocket::new_v4()?;
        if is_tight {
            socket.set_recv_buffer_size(TIGHT_BUFFER_BYTES)?;
        }
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let listener = socket.listen(256)?;
        let address = listener.local_addr()?;
        let models = if service == "llm" {
            r#"[{"name":"m1","version":1,"adapters":[]}]"#
        } else {
            "[]"
        };
        store.put_entry(
            id,
            format!(
                r#"{{"service":"{service}","address":"{address}","zone":"a","version":"v1","slots":64,"state":"ready",
                "cold_left_ms":0,"seq":1,"born":1700000000000,"stage":"colocated","models":{models},
                "resident":{{"in_host_memory":[],"on_local_disk":["m1"]}}}}"#
            ),
        );
        tokio::spawn(self.clone().accept(listener));
        Ok(())
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let servers = self.clone();
            tokio::spawn(async move {
                // The host may close the connection first.
                let _ = servers.serve(stream).await;
            });
        }
    }

    async fn serve(self, mut stream: TcpStream) -> std::io::Result<()> {
        loop {
            let head = read_head(&mut stream).await?;
            let header = |name: &str| {
                let mut values = head.lines().filter_map(|line| line.strip_prefix(name));
                values.next().unwrap_or_default().trim().to_owned()
            };
            let id = header(&format!("{ATTEMPT_ID}:"));
            let Some(case) = id.split('-').next().and_then(|index| index.parse().ok()) else {
                return self.answer_platform(&mut stream, &head).await;
            };
            let case: &MixedCase = &self.cases[usize::min(case, self.cases.len() - 1)];
            lock(&self.runs).push(id.clone());
            let length = header("content-length:").parse().unwrap_or(0);
            let read = length.min(case.plan.reads);
            self.read_upload(&mut stream, &id, 0..read).await?;
            stream.write_all(&answer_bytes(case, &id)).await?;
            match case.plan.end {
                PlanEnd::ReadOn => {
                    tokio::time::sleep(case.plan.pause).await;
                    let rest = self.read_upload(&mut stream, &id, read..length);
                    tokio::time::timeout(READ_ON_LIMIT, rest).await??;
                    *lock(&self.read_on) += usize::from(read < length);
                    continue;
                }
                PlanEnd::HalfClose => stream.shutdown().await?,
                PlanEnd::Reset | PlanEnd::Close => {}
            }
            tokio::time::sleep(case.plan.pause).await;
            if case.plan.end != PlanEnd::Close {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
            }
            return Ok(());
        }
    }

    /// Answers a report, an order or a health check, and notes bytes that are no request.
    async fn answer_platform(&self, stream: &mut TcpStream, head: &str) -> std::io::Result<()> {
        let (status, body) = if head.starts_with("get /report") {
            let report = r#"{"models":[{"name":"m1","version":1,"adapters":[]}],"busy":false,"seq":0,
                "born":1700000000000,"queued":0,"running":0,"runs":[]}"#;
            (200, report)
        } else if head.starts_with("get /health") {
            (200, "")
        } else if head.starts_with("post /order") {
            (409, "")
        } else {
            lock(&self.wrong_bytes).push(format!("no request: {head}"));
            return Ok(());
        };
        let length = body.len();
        let answer = format!(
            "HTTP/1.1 {status} Status\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        stream.write_all(answer.as_bytes()).await
    }

    /// Reads a range of an upload and compares it with what the caller sent.
    async fn read_upload(
        &self,
        stream: &mut TcpStream,
        id: &str,
        range: std::ops::Range<usize>,
    ) -> std::io::Result<()> {
        let mut buffer = vec![0; 32 * 1024];
        let mut at = range.start;
        while at < range.end {
            let most = buffer.len().min(range.end - at);
            let count = stream.read(&mut buffer[..most]).await?;
            if count == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let expected = upload_part(id, at, count);
            if buffer[..count] != expected {
                let found = String::from_utf8_lossy(&buffer[..count.min(80)]).into_owned();
                lock(&self.wrong_bytes).push(format!("{id} at {at}: {found}"));
            }
            at += count;
        }
        Ok(())
    }
}

/// Reads the head of a request, in lower case.
async fn read_head(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&head).to_lowercase())
}

/// Bytes of the upload of the request `id` from `at` on.
fn upload_part(id: &str, at: usize, count: usize) -> Vec<u8> {
    let pattern = format!("{id}.").into_bytes();
    (at..at + count)
        .map(|index| pattern[index % pattern.len()])
        .collect()
}

/// The whole body of the answer to the request `id`.
pub fn answer_body(case: &MixedCase, id: &str) -> String {
    if case.is_model() {
        let event = |number| format!("id: {id}/{number}\ndata: event {number}\n\n");
        (1..=6).map(event).collect()
    } else {
        format!("answer to {id} ").repeat(40)
    }
}

/// What a server sends for an answer, up to its end or to the middle of its body.
fn answer_bytes(case: &MixedCase, id: &str) -> Vec<u8> {
    let plan = case.plan;
    let body = answer_body(case, id);
    let sent = if plan.is_whole {
        &*body
    } else if case.is_model() {
        // Between two events, where only the end of the connection tells that events are missing.
        let middle = body
            .match_indices("\n\n")
            .nth(2)
            .map_or(0, |(at, _)| at + 2);
        &body[..middle]
    } else {
        &body[..body.len() / 2]
    };
    let (framing, sent) = match plan.framing {
        AnswerFraming::Length => (
            format!("Content-Length: {}\r\n", body.len()),
            sent.to_owned(),
        ),
        AnswerFraming::Close => (String::new(), sent.to_owned()),
        AnswerFraming::Chunks => {
            let last = if plan.is_whole { "0\r\n\r\n" } else { "" };
            let chunk = format!("{:x}\r\n{sent}\r\n{last}", sent.len());
            ("Transfer-Encoding: chunked\r\n".to_owned(), chunk)
        }
    };
    let media_type = if case.is_model() {
        "text/event-stream"
    } else {
        "text/plain"
    };
    let status = plan.status;
    format!(
        "HTTP/1.1 {status} Status\r\n{framing}Content-Type: {media_type}\r\n{ATTEMPT_ID}: {id}\r\n\
         {SIGNATURE_HEADER}: seal-{id}\r\n\r\n{sent}"
    )
    .into_bytes()
}

/// The request of a case as it goes over the wire.
pub fn request_bytes(case: &MixedCase, id: &str) -> Vec<u8> {
    let mut request = CallerRequest {
        body: upload_part(id, 0, case.upload_bytes),
        model: case.is_model().then_some("m1"),
        deadline_ms: 3000,
        ..CallerRequest::new(id, case.path)
    };
    if case.expects_continue {
        request.headers.push(("Expect", "100-continue".to_owned()));
    }
    let bytes = request.to_bytes();
    if !case.is_chunked {
        return bytes;
    }
    let head = &bytes[..bytes.len() - request.body.len()];
    let length = format!("Content-Length: {}", request.body.len());
    let head = String::from_utf8_lossy(head).replace(&length, "Transfer-Encoding: chunked");
    let mut chunked = head.into_bytes();
    for chunk in request.body.chunks(50_000) {
        chunked.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        chunked.extend_from_slice(chunk);
        chunked.extend_from_slice(b"\r\n");
    }
    chunked.extend_from_slice(b"0\r\n\r\n");
    chunked
}
