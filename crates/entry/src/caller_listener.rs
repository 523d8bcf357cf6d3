//! Accepts connections from callers.

use std::fmt;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use arc_swap::ArcSwapOption;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use volo::net::Address;
use volo::net::conn::Conn;
use volo::net::conn::ConnInfo;
use volo::net::incoming::Incoming;
use volo::net::incoming::MakeIncoming;
use volo::net::tls::TlsAcceptor;

/// Time for a caller to send the header section of its first request, or to finish the TLS handshake. The HTTP
/// library has no limit of its own, so a caller that sends a byte a second would hold a connection for hours.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes that are looked at for the end of the header section. A longer section goes to the HTTP library, which
/// refuses it.
const PEEK_BYTES: usize = 64 * 1024;

/// Pause between two looks at a header section that is not complete.
const PEEK_PAUSE: Duration = Duration::from_millis(20);

/// Connections that are past the handshake and wait for the server.
const READY_LIMIT: usize = 1024;

/// How often the certificate files are looked at.
const CERTIFICATE_INTERVAL: Duration = Duration::from_secs(1);

/// Files of the certificate chain and the private key, PEM.
#[derive(Clone, Debug)]
pub struct CertificateFiles {
    /// Certificate chain.
    pub certificate: PathBuf,
    /// Private key.
    pub key: PathBuf,
}

/// Listens for callers. Handshakes run in tasks of their own, so that a slow caller holds up no other.
pub struct CallerListener {
    ready: mpsc::Receiver<Conn>,
}

impl fmt::Debug for CallerListener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerListener").finish_non_exhaustive()
    }
}

impl CallerListener {
    /// Starts to accept. With `files`, connections are TLS, and changed files are used for new connections.
    pub fn start(
        listener: TcpListener,
        files: Option<CertificateFiles>,
        logger: Logger,
        token: CancellationToken,
    ) -> io::Result<Self> {
        let acceptor = Arc::new(ArcSwapOption::<TlsAcceptor>::empty());
        if let Some(files) = files {
            acceptor.store(Some(Arc::new(load_acceptor(&files)?)));
            tokio::spawn(follow_certificate(
                files,
                acceptor.clone(),
                logger,
                token.clone(),
            ));
        }
        let (sender, ready) = mpsc::channel(READY_LIMIT);
        tokio::spawn(accept_loop(listener, acceptor, sender, token));
        Ok(Self { ready })
    }
}

impl Incoming for CallerListener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        match self.ready.recv().await {
            Some(conn) => Ok(Some(conn)),
            // The server asks again at once when there is no connection; after the end there never will be one.
            None => std::future::pending().await,
        }
    }
}

impl MakeIncoming for CallerListener {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

async fn accept_loop(
    listener: TcpListener,
    acceptor: Arc<ArcSwapOption<TlsAcceptor>>,
    sender: mpsc::Sender<Conn>,
    token: CancellationToken,
) {
    while let Some(accepted) = token.run_until_cancelled(listener.accept()).await {
        let Ok((stream, _peer)) = accepted else {
            // Out of file descriptors; accepting again at once would only spin.
            tokio::time::sleep(PEEK_PAUSE).await;
            continue;
        };
        let acceptor = acceptor.load_full();
        let sender = sender.clone();
        tokio::spawn(async move {
            let prepared = tokio::time::timeout(HEADER_TIMEOUT, prepare(stream, acceptor)).await;
            if let Ok(Some(conn)) = prepared {
                let _ = sender.send(conn).await;
            }
        });
    }
}

async fn prepare(stream: TcpStream, acceptor: Option<Arc<TlsAcceptor>>) -> Option<Conn> {
    match acceptor {
        Some(acceptor) => {
            let peer_addr = stream.peer_addr().ok().map(Address::from);
            let stream = acceptor.accept(stream).await.ok()?;
            Some(Conn::new(stream, ConnInfo { peer_addr }))
        }
        None => {
            wait_for_headers(&stream).await?;
            Some(Conn::from(stream))
        }
    }
}

/// Waits until the whole header section of the first request is there to be read.
async fn wait_for_headers(stream: &TcpStream) -> Option<()> {
    let mut buffer = vec![0_u8; 4096];
    let started = Instant::now();
    loop {
        let count = stream.peek(&mut buffer).await.ok()?;
        if count == 0 {
            return None;
        }
        let is_whole = buffer[..count]
            .windows(4)
            .any(|window| window == b"\r\n\r\n");
        if is_whole || buffer.len() >= PEEK_BYTES {
            return Some(());
        }
        if count == buffer.len() {
            buffer.resize(buffer.len() * 2, 0);
        } else if started.elapsed() < HEADER_TIMEOUT {
            tokio::time::sleep(PEEK_PAUSE).await;
        }
    }
}

// ----------------------------------------------------------------------------

fn load_acceptor(files: &CertificateFiles) -> io::Result<TlsAcceptor> {
    let CertificateFiles { certificate, key } = files;
    TlsAcceptor::from_pem(std::fs::read(certificate)?, std::fs::read(key)?)
}

fn modified(files: &CertificateFiles) -> Option<(SystemTime, SystemTime)> {
    let time = |path: &PathBuf| std::fs::metadata(path).ok()?.modified().ok();
    Some((time(&files.certificate)?, time(&files.key)?))
}

async fn follow_certificate(
    files: CertificateFiles,
    acceptor: Arc<ArcSwapOption<TlsAcceptor>>,
    logger: Logger,
    token: CancellationToken,
) {
    let mut known = modified(&files);
    while token
        .run_until_cancelled(tokio::time::sleep(CERTIFICATE_INTERVAL))
        .await
        .is_some()
    {
        let current = modified(&files);
        if current.is_none() || current == known {
            continue;
        }
        match load_acceptor(&files) {
            Ok(loaded) => {
                acceptor.store(Some(Arc::new(loaded)));
                known = current;
                info!(logger, "certificate reloaded");
            }
            Err(error) => warn!(logger, "certificate kept"; "error" => %error),
        }
    }
}
