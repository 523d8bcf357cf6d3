use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// Bytes that are passed on at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a link does with its connections. Bytes that are held back go on when the link heals, as after a partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Passes everything on.
    #[default]
    Open,
    /// Passes each chunk on after this time.
    Delayed(Duration),
    /// Holds back what goes to the server.
    CutToServer,
    /// Holds back what comes from the server.
    CutToClient,
    /// Holds everything back, and new connections get no further than the proxy.
    Silent,
    /// Ends all connections, and new ones at once.
    Reset,
}

/// A proxy on the loopback address in front of a server.
#[derive(Debug)]
pub struct LinkProxy {
    address: SocketAddr,
    mode: watch::Sender<LinkMode>,
}

#[derive(Clone, Copy)]
enum Direction {
    ToServer,
    ToClient,
}

impl LinkProxy {
    /// Starts in front of `server`.
    pub async fn start(server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(LinkMode::Open);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(serve(client, server, modes.clone()));
            }
        });
        Ok(Self { address, mode })
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what the link does from now on.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn serve(client: TcpStream, server: SocketAddr, mut modes: watch::Receiver<LinkMode>) {
    let passes = modes.wait_for(|mode| !matches!(mode, LinkMode::Silent));
    if passes.await.is_ok_and(|mode| *mode == LinkMode::Reset) {
        return;
    }
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let mut resets = modes.clone();
    let requests = pump(from_client, to_server, Direction::ToServer, modes.clone());
    let answers = pump(from_server, to_client, Direction::ToClient, modes);
    tokio::select! {
        // A closed half ends the whole connection only when both are done, so that the last answer gets through.
        _ = async { tokio::join!(requests, answers) } => {}
        _ = resets.wait_for(|mode| *mode == LinkMode::Reset) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut modes: watch::Receiver<LinkMode>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count) = from.read(&mut chunk).await {
        let Some(mode) = passing_mode(&mut modes, direction).await else {
            return;
        };
        if let LinkMode::Delayed(delay) = mode {
            tokio::time::sleep(delay).await;
        }
        // An end is passed on like bytes. A peer that is gone shows at the next read of the other direction.
        if count == 0 || to.write_all(&chunk[..count]).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
    }
}

/// Waits until the link passes bytes in the direction; `None` when the proxy is gone.
async fn passing_mode(
    modes: &mut watch::Receiver<LinkMode>,
    direction: Direction,
) -> Option<LinkMode> {
    let mode = modes.wait_for(|mode| passes(*mode, direction)).await;
    mode.ok().map(|mode| *mode)
}

fn passes(mode: LinkMode, direction: Direction) -> bool {
    !matches!(
        (mode, direction),
        (LinkMode::Silent, _)
            | (LinkMode::CutToServer, Direction::ToServer)
            | (LinkMode::CutToClient, Direction::ToClient)
    )
}
