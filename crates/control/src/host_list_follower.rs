//! Follows the platform's host list.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Limited;
use slog::Logger;
use slog::info;
use tokio_util::sync::CancellationToken;
use volo_http::client::Client;
use volo_http::client::ClientBuilder;
use volo_http::error::ClientError;
use zinniahinge_types::Name;
use zinniahinge_types::ServerEntry;

use crate::in_force::InForceCell;

/// How often the list is asked for. A leaving backend server must get no new work 3 s after the list shows it;
/// the entry process learns of a change at once.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time for one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest list in bytes; 640 backend servers take about 80 KB.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Polls the host list. An unchanged list costs a few hundred bytes, because it is asked for by its tag.
pub struct HostListFollower {
    /// IP address and port of the host list.
    pub address: Name,
    /// Receives the list. When the host list is unreachable, the last list stays.
    pub in_force: Arc<InForceCell>,
    /// Log.
    pub logger: Logger,
}

struct ListPoll {
    tag: Option<HeaderValue>,
    servers: Option<Vec<ServerEntry>>,
}

impl HostListFollower {
    /// Polls until `token` is cancelled.
    pub async fn run(self, token: CancellationToken) -> Result<(), ClientError> {
        let mut builder = ClientBuilder::new();
        builder.disable_tls(true);
        let client = builder.build()?;
        let mut tag = None;
        loop {
            let poll = tokio::time::timeout(POLL_TIMEOUT, self.poll(&client, tag.clone()));
            let Some(result) = token.run_until_cancelled(poll).await else {
                break;
            };
            if let Ok(Some(ListPoll {
                tag: new_tag,
                servers: Some(servers),
            })) = result
            {
                tag = new_tag;
                let count = servers.len();
                if self.in_force.set_servers(servers) {
                    info!(self.logger, "host list changed"; "servers" => count);
                }
            }
            let pause = tokio::time::sleep(POLL_INTERVAL);
            if token.run_until_cancelled(pause).await.is_none() {
                break;
            }
        }
        Ok(())
    }

    async fn poll(&self, client: &Client, tag: Option<HeaderValue>) -> Option<ListPoll> {
        let mut request = client.get(format!("http://{}/hosts", self.address));
        if let Some(tag) = &tag {
            request
                .headers_mut()
                .insert(header::IF_NONE_MATCH, tag.clone());
        }
        let response = request.send().await.ok()?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Some(ListPoll { tag, servers: None });
        }
        if !response.status().is_success() {
            return None;
        }
        let new_tag = response.headers().get(header::ETAG).cloned();
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES)
            .collect()
            .await
            .ok()?;
        let servers = serde_json::from_slice(&body.to_bytes()).ok()?;
        Some(ListPoll {
            tag: new_tag,
            servers: Some(servers),
        })
    }
}
