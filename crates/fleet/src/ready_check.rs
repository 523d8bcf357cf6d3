use std::net::SocketAddr;

use tokio::net::TcpStream;
use volo_http::client::Client;

/// How a fleet finds out that a process is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadyCheck {
    /// It accepts connections. For stand-ins.
    Connect(SocketAddr),
    /// `/readyz` answers with success.
    Readyz(SocketAddr),
}

impl ReadyCheck {
    /// Asks once. A process that does not answer keeps this waiting, so bound it.
    pub(crate) async fn is_ready(&self, client: &Client) -> bool {
        match self {
            Self::Connect(address) => TcpStream::connect(address).await.is_ok(),
            Self::Readyz(address) => {
                let request = client.get(format!("http://{address}/readyz"));
                let answer = request.send().await;
                answer.is_ok_and(|answer| answer.status().is_success())
            }
        }
    }
}
