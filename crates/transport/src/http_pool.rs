use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::header::CONNECTION;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::ConnectionLease;
use crate::PoolSettings;
use crate::PooledExchange;
use crate::Result;
use crate::SendFailure;
use crate::metered_stream::HeadBudget;
use crate::metered_stream::MeteredStream;

/// Header in which the other side states how long it keeps an idle connection.
const KEEP_ALIVE: &str = "keep-alive";

/// Bytes that are read ahead on a connection; one line of a head must fit.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Probes that may be lost before the kernel ends a silent connection.
const LOST_PROBES: u32 = 2;

/// Which idle connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReuseRule {
    /// Any idle connection.
    Any,
    /// Only one that has been idle for less than this. The other side may close an idle connection just as the
    /// request is written, and then nobody knows whether the request was read.
    IdleLessThan(Duration),
    /// None: a new connection.
    Never,
}

/// Kept HTTP/1.1 connections by address. Clones share them.
#[derive(Clone)]
pub struct HttpPool {
    settings: Arc<PoolSettings>,
    idle: Arc<IdleTable>,
    opened: Arc<AtomicU64>,
}

struct IdleConnection {
    line: PooledLine,
    since: Instant,
    until: Instant,
}

/// A connection that requests can be sent on.
pub(crate) struct PooledLine {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    budget: HeadBudget,
}

/// Idle connections by address.
pub(crate) struct IdleTable {
    connections: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    max_idle: usize,
}

impl IdleTable {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn put(&self, address: SocketAddr, line: PooledLine, idle_time: Duration) {
        let now = Instant::now();
        let mut connections = self.lock();
        let list = connections.entry(address).or_default();
        list.retain(|idle| idle.until > now && !idle.line.sender.is_closed());
        if list.len() < self.max_idle {
            list.push(IdleConnection {
                line,
                since: now,
                until: now + idle_time,
            });
        }
    }

    /// The connection that was used last: the others run into their idle time, so that few are kept.
    fn take(&self, address: SocketAddr, rule: ReuseRule) -> Option<PooledLine> {
        let now = Instant::now();
        let mut connections = self.lock();
        let list = connections.get_mut(&address)?;
        while let Some(idle) = list.pop() {
            let young = match rule {
                ReuseRule::Any => true,
                ReuseRule::IdleLessThan(limit) => now.duration_since(idle.since) < limit,
                ReuseRule::Never => false,
            };
            let sender = &idle.line.sender;
            if idle.until <= now || sender.is_closed() || !sender.is_ready() {
                continue;
            }
            if !young {
                list.push(idle);
                return None;
            }
            return Some(idle.line);
        }
        connections.remove(&address);
        None
    }
}

impl fmt::Debug for HttpPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpPool").finish_non_exhaustive()
    }
}

impl HttpPool {
    /// A pool without connections.
    pub fn new(settings: PoolSettings) -> Self {
        let max_idle = settings.max_idle;
        Self {
            settings: Arc::new(settings),
            idle: Arc::new(IdleTable {
                connections: Mutex::default(),
                max_idle,
            }),
            opened: Arc::default(),
        }
    }

    /// Connections set up so far.
    pub fn connections_opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// True if a request to `address` can use a kept connection.
    pub fn has_idle(&self, address: SocketAddr) -> bool {
        let now = Instant::now();
        let connections = self.idle.lock();
        let list = connections.get(&address);
        list.is_some_and(|list| {
            let mut idle = list.iter();
            idle.any(|idle| idle.until > now && !idle.line.sender.is_closed())
        })
    }

    /// Sends `request` and waits for the head of the answer until `deadline`.
    ///
    /// A request that a kept connection turns out not to have written goes out on another one.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        rule: ReuseRule,
        deadline: Instant,
    ) -> Result<PooledExchange> {
        let mut request = request;
        while let Some(line) = self.idle.take(address, rule) {
            match self.exchange(line, address, request, deadline).await {
                Ok(exchange) => return Ok(exchange),
                Err((_, Some(unsent))) => request = unsent,
                Err((failure, None)) => return Err(failure),
            }
        }
        let line = self.connect(address, deadline).await?;
        let sent = self.exchange(line, address, request, deadline).await;
        sent.map_err(|(failure, _)| failure)
    }

    async fn exchange(
        &self,
        mut line: PooledLine,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<PooledExchange, (SendFailure, Option<Request<Full<Bytes>>>)> {
        line.budget.await_head();
        let answer = line.sender.try_send_request(request);
        let answer = tokio::time::timeout_at(deadline, answer).await;
        let response = match answer {
            Err(_) => return Err((SendFailure::TimedOut, None)),
            Ok(Err(mut error)) => {
                let unsent = error.take_message();
                let failure = match unsent {
                    Some(_) => SendFailure::not_sent(error.error()),
                    None => SendFailure::unanswered(error.error()),
                };
                return Err((failure, unsent));
            }
            Ok(Ok(response)) => response,
        };
        line.budget.head_is_whole();
        let lease = ConnectionLease {
            line,
            address,
            idle_time: self.idle_time(response.headers()),
            idle: self.idle.clone(),
        };
        Ok(PooledExchange { response, lease })
    }

    async fn connect(&self, address: SocketAddr, deadline: Instant) -> Result<PooledLine> {
        let limit = Instant::now() + self.settings.connect_timeout;
        let connect = TcpStream::connect(address);
        let stream = match tokio::time::timeout_at(limit.min(deadline), connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(SendFailure::not_sent(error)),
            Err(_) => return Err(SendFailure::not_sent("connecting took too long")),
        };
        self.watch_silence(&stream).map_err(SendFailure::not_sent)?;
        let budget = HeadBudget::new();
        let stream = MeteredStream::new(stream, budget.clone());
        let shaken = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream));
        let shaken = shaken.await;
        let (sender, connection) = shaken.map_err(SendFailure::not_sent)?;
        self.opened.fetch_add(1, Ordering::Relaxed);
        // Ends with the last sender; errors reach the request that is on the connection.
        tokio::spawn(connection);
        Ok(PooledLine { sender, budget })
    }

    /// A host without power, or behind a partition, sends nothing at all; the kernel then has to end the connection.
    fn watch_silence(&self, stream: &TcpStream) -> io::Result<()> {
        let PoolSettings {
            unacknowledged_timeout,
            probe_interval,
            ..
        } = &*self.settings;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(stream);
        socket.set_tcp_user_timeout(Some(*unacknowledged_timeout))?;
        let probes = TcpKeepalive::new()
            .with_time(*probe_interval)
            .with_interval(*probe_interval)
            .with_retries(LOST_PROBES);
        socket.set_tcp_keepalive(&probes)
    }

    fn idle_time(&self, headers: &HeaderMap) -> Duration {
        let field = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let closes = field(CONNECTION.as_str()).is_some_and(|value| {
            value
                .split(',')
                .any(|item| item.trim().eq_ignore_ascii_case("close"))
        });
        if closes {
            return Duration::ZERO;
        }
        let stated = field(KEEP_ALIVE).and_then(stated_seconds);
        let whole = stated.map_or(self.settings.idle_time, Duration::from_secs);
        whole * self.settings.idle_percent / 100
    }
}

fn stated_seconds(value: &str) -> Option<u64> {
    let mut items = value.split(',');
    items.find_map(|item| item.trim().strip_prefix("timeout=")?.parse().ok())
}
