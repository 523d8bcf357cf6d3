//! Key ring that can be replaced while messages are sent, so that keys rotate without a restart.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio_util::sync::CancellationToken;

use crate::KeyRing;
use crate::PeerError;
use crate::Result;

/// Interval between two reads of the file.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Shares the current key ring between the senders and receivers of a process; all clones see a replaced ring.
///
/// The ring comes from a file, which [`Self::follow`] reads again, or from memory.
#[derive(Clone)]
pub struct SharedKeyRing {
    path: PathBuf,
    ring: Arc<ArcSwap<KeyRing>>,
}

impl SharedKeyRing {
    /// Reads the key ring from a file. Fails if the file cannot be read or is malformed.
    pub fn open(path: impl Into<PathBuf>) -> Result<Self> {
        let path = path.into();
        let text = read_file(&path)?;
        let ring = parse_ring(&path, &text)?;
        Ok(Self {
            path,
            ring: Arc::new(ArcSwap::from_pointee(ring)),
        })
    }

    /// Creates a key ring that has no file; [`Self::replace`] changes it.
    pub fn in_memory(ring: KeyRing) -> Self {
        Self {
            path: PathBuf::new(),
            ring: Arc::new(ArcSwap::from_pointee(ring)),
        }
    }

    /// Replaces the key ring for all clones. Messages that are being sent or checked keep the ring they started with.
    pub fn replace(&self, ring: KeyRing) {
        self.ring.store(Arc::new(ring));
    }

    /// Returns the current key ring.
    pub fn ring(&self) -> Arc<KeyRing> {
        self.ring.load_full()
    }

    /// Reads the file every second and replaces the ring when it changes, until `token` is cancelled.
    ///
    /// If the file cannot be read or is malformed, the current ring stays in use.
    pub async fn follow(self, logger: Logger, token: CancellationToken) {
        let mut last_text = read_file(&self.path).unwrap_or_default();
        while token
            .run_until_cancelled(tokio::time::sleep(RELOAD_INTERVAL))
            .await
            .is_some()
        {
            let Ok(text) = read_file(&self.path) else {
                continue;
            };
            if text == last_text {
                continue;
            }
            match parse_ring(&self.path, &text) {
                Ok(ring) => {
                    info!(logger, "peer key ring reloaded"; "signing_key" => &*ring.signing_key().id);
                    self.ring.store(Arc::new(ring));
                }
                Err(error) => {
                    warn!(logger, "peer key ring file is invalid; keeping the current keys"; "error" => %error)
                }
            }
            last_text = text;
        }
    }
}

fn read_file(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|error| key_ring_error(path, error.to_string()))
}

fn parse_ring(path: &Path, text: &str) -> Result<KeyRing> {
    KeyRing::parse(text).map_err(|cause| key_ring_error(path, cause))
}

fn key_ring_error(path: &Path, cause: String) -> PeerError {
    PeerError::KeyRing {
        path: path.display().to_string(),
        cause,
    }
}
