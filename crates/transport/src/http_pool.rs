use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
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
use crate::RequestKey;
use crate::Result;
use crate::SendFailure;
use crate::carried_keys::CarriedKeys;
use crate::late_answers::LateAnswers;
use crate::metered_stream::HeadBudget;
use crate::metered_stream::MeteredStream;

/// Header in which the other side states for how long it keeps an idle connection open.
const KEEP_ALIVE: &str = "keep-alive";

/// Longest idle time that is taken from that header. The other side may state any number of seconds.
const MAX_STATED_IDLE_TIME: Duration = Duration::from_secs(600);

/// Size of the read buffer of a connection. Each line of a response head must fit into it.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Number of lost probes after which the kernel ends a silent connection.
const MAX_LOST_PROBES: u32 = 2;

/// Status codes of final responses. The HTTP library takes any number of three digits from 100 on.
const FINAL_STATUSES: Range<u16> = 200..600;

/// Says which idle connections a request may reuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReuseRule {
    /// Any idle connection may be reused.
    Any,
    /// Only a connection that has been idle for less than this time may be reused. The other side may close an idle
    /// connection just as the request is written, and then nobody knows whether it has read the request.
    IdleLessThan(Duration),
    /// The request always uses a new connection.
    Never,
}

/// Sends requests over pooled HTTP/1.1 connections, which it keeps by address. Clones share the connections.
#[derive(Clone)]
pub struct HttpPool {
    settings: Arc<PoolSettings>,
    idle: Arc<IdleTable>,
    opened: Arc<AtomicU64>,
}

/// Holds a connection that waits for its next request.
struct IdleConnection {
    connection: PooledConnection,
    /// When it became idle.
    since: Instant,
    /// When it must no longer be reused.
    until: Instant,
}

/// Holds the sending side of a connection, the byte budget of its response heads and the keys of its requests.
pub(crate) struct PooledConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    budget: HeadBudget,
    pub(crate) carried: CarriedKeys,
    /// Number of answers to earlier requests that were skipped.
    late_answers: Arc<AtomicU64>,
}

/// Keeps idle connections by address, in the order in which they became idle.
pub(crate) struct IdleTable {
    connections: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// Largest number of idle connections per address.
    max_idle: usize,
}

impl IdleTable {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps a connection for at most `idle_time`, or closes it if the address already has enough. Expired
    /// connections of the address are dropped.
    pub(crate) fn put(
        &self,
        address: SocketAddr,
        connection: PooledConnection,
        idle_time: Duration,
    ) {
        let now = Instant::now();
        let mut connections = self.lock();
        let list = connections.entry(address).or_default();
        list.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
        if list.len() < self.max_idle {
            list.push(IdleConnection {
                connection,
                since: now,
                until: now + idle_time,
            });
        }
    }

    /// Takes the most recently used connection that `rule` allows and that has not carried the request `key`. The others
    /// then reach the end of their idle time, so that the pool shrinks when the load falls.
    fn take(
        &self,
        address: SocketAddr,
        rule: ReuseRule,
        key: Option<RequestKey>,
    ) -> Option<PooledConnection> {
        let now = Instant::now();
        let mut connections = self.lock();
        let list = connections.get_mut(&address)?;
        for index in (0..list.len()).rev() {
            let IdleConnection {
                connection,
                since,
                until,
            } = &list[index];
            let sender = &connection.sender;
            if *until <= now || sender.is_closed() || !sender.is_ready() {
                list.remove(index);
                continue;
            }
            let is_allowed = match rule {
                ReuseRule::Any => true,
                ReuseRule::IdleLessThan(limit) => now.duration_since(*since) < limit,
                ReuseRule::Never => false,
            };
            if !is_allowed {
                return None;
            }
            // The other side may send its answer twice, and the second copy would pass for the answer to this send.
            if key.is_none_or(|key| !connection.carried.contains(key)) {
                return Some(list.remove(index).connection);
            }
        }
        if list.is_empty() {
            connections.remove(&address);
        }
        None
    }
}

impl fmt::Debug for HttpPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpPool").finish_non_exhaustive()
    }
}

impl HttpPool {
    /// Creates a pool without connections.
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

    /// Returns the number of connections that were set up since the pool was created.
    pub fn connections_opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Returns true if there is an idle connection to `address` that a request can reuse.
    pub fn has_idle(&self, address: SocketAddr) -> bool {
        let now = Instant::now();
        let connections = self.idle.lock();
        let list = connections.get(&address);
        list.is_some_and(|list| {
            let mut idle = list.iter();
            idle.any(|idle| idle.until > now && !idle.connection.sender.is_closed())
        })
    }

    /// Sends `request` and waits until `deadline` for the head of the response.
    ///
    /// If a reused connection fails before a byte of the request was written, the request is sent on another
    /// connection. A new connection is tried once. The error says whether the request may have been received.
    ///
    /// `key` identifies the request if it may be sent more than once. No connection carries it twice.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        rule: ReuseRule,
        key: Option<RequestKey>,
        deadline: Instant,
    ) -> Result<PooledExchange> {
        let mut request = request;
        while let Some(connection) = self.idle.take(address, rule, key) {
            match self
                .exchange(connection, address, request, key, deadline)
                .await
            {
                Ok(exchange) => {
                    return Ok(PooledExchange {
                        is_reused: true,
                        ..exchange
                    });
                }
                Err((_, Some(unsent))) => request = unsent,
                Err((failure, None)) => return Err(failure),
            }
        }
        let connection = self.connect(address, deadline).await?;
        let sent = self
            .exchange(connection, address, request, key, deadline)
            .await;
        sent.map_err(|(failure, _)| failure)
    }

    /// Sends a request on one connection. On failure, the error comes with the request if none of it was written.
    async fn exchange(
        &self,
        mut connection: PooledConnection,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        key: Option<RequestKey>,
        deadline: Instant,
    ) -> Result<PooledExchange, (SendFailure, Option<Request<Full<Bytes>>>)> {
        if let Some(key) = key {
            let has_body = request.method() != Method::HEAD;
            connection.carried.insert(key, has_body);
        }
        let skipped_before = connection.late_answers.load(Ordering::Relaxed);
        connection.budget.start_head();
        let answer = connection.sender.try_send_request(request);
        let answer = tokio::time::timeout_at(deadline, answer).await;
        let response = match answer {
            Err(_) => return Err((SendFailure::TimedOut, None)),
            Ok(Err(mut error)) => {
                let unsent = error.take_message();
                let failure = match unsent {
                    Some(_) => SendFailure::not_sent(error.error()),
                    None if error.error().is_parse() => {
                        SendFailure::invalid_response(error.error())
                    }
                    None => SendFailure::unanswered(error.error()),
                };
                return Err((failure, unsent));
            }
            Ok(Ok(response)) => response,
        };
        connection.budget.finish_head();
        let status = response.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            let reason = format!("status {status} is none of a final response");
            return Err((SendFailure::invalid_response(reason), None));
        }
        let late_answers = connection.late_answers.load(Ordering::Relaxed) - skipped_before;
        let lease = ConnectionLease {
            connection,
            address,
            idle_time: self.idle_time(response.headers()),
            idle: self.idle.clone(),
        };
        Ok(PooledExchange {
            response,
            lease,
            is_reused: false,
            late_answers,
        })
    }

    /// Sets up a new connection within the connect time-out or until `deadline`, whichever ends first.
    async fn connect(&self, address: SocketAddr, deadline: Instant) -> Result<PooledConnection> {
        let limit = Instant::now() + self.settings.connect_timeout;
        let connect = TcpStream::connect(address);
        let stream = match tokio::time::timeout_at(limit.min(deadline), connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(SendFailure::not_sent(error)),
            Err(_) => return Err(SendFailure::not_sent("connection not set up in time")),
        };
        self.detect_dead_peer(&stream)
            .map_err(SendFailure::not_sent)?;
        let budget = HeadBudget::new();
        let carried = CarriedKeys::default();
        let late = self.settings.id_header.clone();
        let late_answers = Arc::<AtomicU64>::default();
        let late = late.map(|name| LateAnswers::new(name, carried.clone(), late_answers.clone()));
        let stream = MeteredStream::new(stream, budget.clone(), late);
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream));
        let handshake = handshake.await;
        let (sender, connection) = handshake.map_err(SendFailure::not_sent)?;
        self.opened.fetch_add(1, Ordering::Relaxed);
        // The task ends when the sender is dropped. Its errors also reach the request that is on the connection.
        tokio::spawn(connection);
        Ok(PooledConnection {
            sender,
            budget,
            carried,
            late_answers,
        })
    }

    /// Makes the kernel end the connection if the other side is silent. A host that lost power or is cut off by a
    /// network partition sends nothing at all, not even a reset.
    fn detect_dead_peer(&self, stream: &TcpStream) -> io::Result<()> {
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
            .with_retries(MAX_LOST_PROBES);
        socket.set_tcp_keepalive(&probes)
    }

    /// Returns the time for which the connection may be reused, from the headers of its response; zero if it must be
    /// closed.
    fn idle_time(&self, headers: &HeaderMap) -> Duration {
        let field = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let is_closing = field(CONNECTION.as_str()).is_some_and(|value| {
            value
                .split(',')
                .any(|item| item.trim().eq_ignore_ascii_case("close"))
        });
        if is_closing {
            return Duration::ZERO;
        }
        let stated = field(KEEP_ALIVE).and_then(stated_seconds);
        let kept = stated.map_or(self.settings.idle_time, Duration::from_secs);
        kept.min(MAX_STATED_IDLE_TIME) * self.settings.idle_percent / 100
    }
}

/// Reads the time-out from a `Keep-Alive` header, in seconds.
fn stated_seconds(value: &str) -> Option<u64> {
    let mut items = value.split(',');
    items.find_map(|item| item.trim().strip_prefix("timeout=")?.parse().ok())
}
